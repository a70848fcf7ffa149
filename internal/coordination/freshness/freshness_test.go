package freshness

import (
	"fmt"
	"testing"
	"time"
)

const (
	// digestInterval and earlyDigestGap are those of the gateway.
	digestInterval = 200 * time.Millisecond
	earlyDigestGap = 40 * time.Millisecond
	// transit bounds a digest's way and a store's or peer's answer.
	transit = 30 * time.Millisecond
)

// TestHopsExceedBound adds up the waits that a change meets on its way to the last VM, with
// one fault at a time, and with a relay that fails besides.
func TestHopsExceedBound(t *testing.T) {
	for _, bound := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 6 * time.Second} {
		s := Schedule{bound}
		first, second, other := Role{IsReader: true, Readers: 4}, Role{IsReader: true, Rank: 1, Readers: 4}, Role{Spread: 1}
		toPeer := earlyDigestGap + transit + s.WakeupGrace() + transit
		relayFails := s.RelayTimeout() + transit
		// VMs whose hub does not read the store learn of a record one hop later. Neither of
		// them has a held read to leave.
		throughHub := 2 * (earlyDigestGap + transit + transit)
		for name, sum := range map[string]time.Duration{
			"held reads silent":                     s.DoubtAge(first) + transit + toPeer,
			"held reads silent, relay fails":        s.DoubtAge(first) + transit + toPeer + relayFails,
			"held reads silent, first reader stuck": s.DoubtAge(second) + transit + toPeer,
			"held reads silent, digest lost":        s.DoubtAge(first) + transit + toPeer + digestInterval,
			"held reads silent, first check fails":  s.DoubtAge(first) + s.RepeatAfter(0) + transit + toPeer,
			"digest lost, relay fails":              transit + toPeer + digestInterval + relayFails,
			"readers say that they read":            s.DoubtAge(other) + transit,
			"held reads silent, through a hub":      s.DoubtAge(first) + transit + throughHub + digestInterval + relayFails,
		} {
			if sum > bound {
				t.Errorf("%s: %v, bound %v", name, sum, bound)
			}
		}
	}
}

// TestHopsAfterReturnExceedBound adds up the waits between the return of a store that has
// answered nobody and the time at which the last VM is up to date.
func TestHopsAfterReturnExceedBound(t *testing.T) {
	for _, bound := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 6 * time.Second} {
		s := Schedule{bound}
		other := Role{Spread: 1}
		toPeer := earlyDigestGap + transit + transit
		for name, sum := range map[string]time.Duration{
			"a call was made just before":                   s.RepeatAfter(1) + transit,
			"a call was rejected just before":               s.FailurePause(100) + transit,
			"a peer's call was made just before":            s.RepeatAfter(1) + transit + toPeer,
			"a peer's call was made just before, it sticks": s.RepeatAfter(1) + transit + toPeer + s.RelayTimeout() + transit,
			"two peers stick, the store rejects this VM":    s.RepeatAfter(1) + transit + toPeer + 2*s.RelayRepeatAfter() + transit,
			"the store was silent for a moment":             s.DoubtAge(other) + transit,
		} {
			if sum > bound {
				t.Errorf("%s: %v, bound %v", name, sum, bound)
			}
		}
	}
}

// TestReadsEndInStep: after a record that all readers receive together, their reads end one
// after another, also in the rounds that follow.
func TestReadsEndInStep(t *testing.T) {
	for readers := 1; readers <= 12; readers++ {
		t.Run(fmt.Sprint(readers, " readers"), func(t *testing.T) {
			s := Schedule{2 * time.Second}
			var ends []time.Duration
			for rank := range readers {
				r := Role{IsReader: true, Rank: rank, Readers: readers}
				end := s.HoldTime(r, true)
				for range 3 {
					ends = append(ends, end)
					end += s.HoldTime(r, false)
				}
			}
			if longest := longestGap(ends); longest > s.DoubtAge(Role{IsReader: true})-digestInterval-transit {
				t.Errorf("no read ends for %v: %v", longest, ends)
			}
		})
	}
}

// longestGap returns the longest time without an end before the last one of the second
// round, from the start on.
func longestGap(ends []time.Duration) time.Duration {
	longest, last := time.Duration(0), time.Duration(0)
	for {
		next := time.Duration(1 << 62)
		for _, e := range ends {
			if e > last {
				next = min(next, e)
			}
		}
		if next == 1<<62 || next > maxHoldTime {
			return longest
		}
		longest, last = max(longest, next-last), next
	}
}
