package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var spanConfig = WindowConfig{Ratio: 0.2, Reserve: 10, Length: 10 * time.Second}

// TestABurstOfFaultsDrawsWhatTheSpanHasPaidFor: traffic runs well for a while,
// then every answer is broken for a moment. Seen on emac-hokkaido-grown scale-2,
// where a VM could draw two retries at once after 140 requests, and one in fifty
// requests failed for want of a retry.
func TestABurstOfFaultsDrawsWhatTheSpanHasPaidFor(t *testing.T) {
	w := NewWindows(spanConfig, func() int { return 60 })
	now := start
	for range 140 {
		w.First("s", now)
		now = now.Add(70 * time.Millisecond)
	}
	drawn := 0
	for w.Take("s", now) {
		drawn++
	}
	if drawn < 25 {
		t.Fatalf("%d retries for 140 requests in the span", drawn)
	}
}

// TestNoSpanExceedsItsBound: whatever the traffic and the faults are, no span has
// more retries than its own requests, with those of the span before, allow.
func TestNoSpanExceedsItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const holders = 4
		var all []*Windows
		for range holders {
			all = append(all, NewWindows(spanConfig, func() int { return holders }))
		}
		type event struct {
			at    time.Time
			first bool
		}
		var events []event
		now := start
		for range rapid.IntRange(50, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "passed")) * time.Millisecond)
			w := all[rapid.IntRange(0, holders-1).Draw(t, "holder")]
			if rapid.Bool().Draw(t, "first") {
				w.First("s", now)
				events = append(events, event{now, true})
			} else if w.Take("s", now) {
				events = append(events, event{at: now})
			}
		}
		for i, last := range events {
			if last.first {
				continue
			}
			firsts, retries := 0.0, 0.0
			for _, e := range events[:i+1] {
				passed := last.at.Sub(e.at)
				switch {
				case e.first && passed <= 2*spanConfig.Length:
					firsts++
				case !e.first && passed < spanConfig.Length-spanConfig.Length/windowBins:
					retries++
				}
			}
			if most := spanConfig.Ratio*firsts + spanConfig.Reserve; retries > most {
				t.Fatalf("%v retries in a span that allows %v", retries, most)
			}
		}
	})
}

func TestARetryThatWasNotSentIsGivenBack(t *testing.T) {
	w := NewWindows(WindowConfig{Reserve: 1, Length: time.Second}, func() int { return 1 })
	if !w.Take("s", start) || w.Take("s", start) {
		t.Fatal("the reserve is not one retry")
	}
	w.GiveBack("s", start)
	if !w.Take("s", start) {
		t.Fatal("what was given back is not there")
	}
}

func TestNewBoundsHoldAtOnce(t *testing.T) {
	w := NewWindows(WindowConfig{Reserve: 1, Length: time.Second}, func() int { return 1 })
	w.Take("s", start)
	w.SetConfig(WindowConfig{Reserve: 2, Length: time.Second})
	if !w.Take("s", start) || w.Take("s", start) {
		t.Error("the new reserve is not two retries, one of which was drawn")
	}
}
