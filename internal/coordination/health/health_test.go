package health

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func key(i int) Key { return Key{Server: fmt.Sprint(i), Model: "m"} }

func newTestTable(servers int) *Table {
	t := New(DefaultConfig, startTime)
	for i := range servers {
		t.Add(key(i), startTime)
	}
	return t
}

// recordGoodAttempts records attempts of ordinary speed on all servers except one.
func recordGoodAttempts(t *Table, servers, except int, now time.Time) {
	for range 20 {
		for i := range servers {
			if i != except {
				t.RecordOutcome(key(i), Outcome{Ratio: 1}, now)
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
}

func TestFailingServerIsEjected(t *testing.T) {
	table := newTestTable(12)
	for range DefaultConfig.MaxConsecutiveFailures {
		if w := table.Weight(key(3), startTime); w != 1 {
			t.Fatalf("weight %v before the ejection, want 1", w)
		}
		table.RecordOutcome(key(3), Outcome{Failed: true}, startTime)
	}
	if w := table.Weight(key(3), startTime); w != 0 {
		t.Fatalf("weight %v after the failures, want 0", w)
	}
}

func TestSlowServerIsEjected(t *testing.T) {
	table := newTestTable(12)
	recordGoodAttempts(table, 12, 3, startTime)
	for range DefaultConfig.MinSamples {
		table.RecordOutcome(key(3), Outcome{Ratio: 4}, startTime.Add(3*time.Second))
	}
	if w := table.Weight(key(3), startTime.Add(3*time.Second)); w != 0 {
		t.Fatalf("weight %v after the slow attempts, want 0", w)
	}
	if w := table.Weight(Key{Server: "3", Model: "other"}, startTime); w != 1 {
		t.Fatalf("another model on the server has weight %v, want 1", w)
	}
}

func TestUniformlySlowServersAreNotEjected(t *testing.T) {
	table := newTestTable(12)
	now := startTime
	for range 30 {
		for i := range 12 {
			table.RecordOutcome(key(i), Outcome{Ratio: 6}, now)
		}
		now = now.Add(100 * time.Millisecond)
	}
	for i := range 12 {
		if table.Weight(key(i), now) != 1 {
			t.Fatalf("server %d is ejected", i)
		}
	}
}

func TestTrialIsFollowedByRamp(t *testing.T) {
	table := newTestTable(12)
	for range DefaultConfig.MaxConsecutiveFailures {
		table.RecordOutcome(key(3), Outcome{Failed: true}, startTime)
	}
	now := startTime.Add(DefaultConfig.EjectionTime)
	if w := table.Weight(key(3), now); w != DefaultConfig.TrialWeight {
		t.Fatalf("weight %v on trial", w)
	}
	for range DefaultConfig.TrialSuccesses {
		table.RecordOutcome(key(3), Outcome{}, now)
	}
	if w := table.Weight(key(3), now); w != minRampWeight {
		t.Fatalf("weight %v at the start of the ramp", w)
	}
	if w := table.Weight(key(3), now.Add(DefaultConfig.RampTime)); w != 1 {
		t.Fatalf("weight %v at the end of the ramp", w)
	}
}

func TestFailedTrialDoublesEjectionTime(t *testing.T) {
	table := newTestTable(12)
	for range DefaultConfig.MaxConsecutiveFailures {
		table.RecordOutcome(key(3), Outcome{Failed: true}, startTime)
	}
	now := startTime.Add(DefaultConfig.EjectionTime)
	table.RecordOutcome(key(3), Outcome{Failed: true}, now)
	if w := table.Weight(key(3), now.Add(DefaultConfig.EjectionTime)); w != 0 {
		t.Fatalf("weight %v after the first ejection time, want 0", w)
	}
	if w := table.Weight(key(3), now.Add(2*DefaultConfig.EjectionTime)); w == 0 {
		t.Fatal("no second trial after twice the ejection time")
	}
}

func TestOnlyServersAddedLaterRampUp(t *testing.T) {
	table := newTestTable(2)
	now := startTime.Add(time.Minute)
	table.Add(key(7), now)
	if table.Weight(key(0), now) != 1 || table.Weight(key(7), now) != minRampWeight || table.Weight(key(7), now.Add(DefaultConfig.RampTime)) != 1 {
		t.Fatal("want weight 1 for an old server and a ramp for a new one")
	}
}

func TestSlowdownDecaysWithoutSamples(t *testing.T) {
	table := newTestTable(4)
	recordGoodAttempts(table, 4, 3, startTime)
	for range 2 * DefaultConfig.MinSamples {
		table.RecordOutcome(key(3), Outcome{Ratio: 2}, startTime.Add(2*time.Second))
	}
	recent := table.Slowdown(key(3), startTime.Add(2*time.Second))
	decayed := table.Slowdown(key(3), startTime.Add(2*time.Second+DefaultConfig.SlowdownDecayTime))
	if recent < 1.5 || decayed > 1.1 {
		t.Fatalf("slowdown %v, later %v", recent, decayed)
	}
}

// TestSingleSampleBarelyChangesSlowdown guards against a slowdown that follows few
// samples: 88 VMs that each called an engine about once a second measured a
// slowdown of 3 for engines that were the only ones with a prompt's parts in their
// cache.
func TestSingleSampleBarelyChangesSlowdown(t *testing.T) {
	table := newTestTable(4)
	recordGoodAttempts(table, 4, 3, startTime)
	table.RecordOutcome(key(3), Outcome{Ratio: 5}, startTime.Add(time.Second))
	if slowdown := table.Slowdown(key(3), startTime.Add(time.Second)); slowdown > 1.5 {
		t.Fatalf("slowdown %v after one slow answer", slowdown)
	}
}

// TestEjectedShareIsBounded checks that random outcomes never eject more than the
// maximum share of the servers.
func TestEjectedShareIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "servers")
		table, now := newTestTable(n), startTime
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			o := Outcome{Failed: rapid.Bool().Draw(t, "failed"), Ratio: rapid.Float64Range(0, 20).Draw(t, "ratio")}
			table.RecordOutcome(key(rapid.IntRange(0, n-1).Draw(t, "server")), o, now)
			ejectedCount := 0
			for i := range n {
				if table.Weight(key(i), now) == 0 {
					ejectedCount++
				}
			}
			if float64(ejectedCount) > DefaultConfig.MaxEjectedShare*float64(n) {
				t.Fatalf("%d of %d servers are ejected", ejectedCount, n)
			}
		}
	})
}
