package health

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func key(i int) Key { return Key{Server: fmt.Sprint(i), Model: "m"} }

func newTestTable(servers int) *Table {
	t := New(DefaultConfig, begin)
	for i := range servers {
		t.Add(key(i), begin)
	}
	return t
}

// good ends attempts of ordinary speed on all servers but one.
func good(t *Table, servers, but int, now time.Time) {
	for range 20 {
		for i := range servers {
			if i != but {
				t.Ended(key(i), Outcome{Ratio: 1}, now)
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
}

func TestAFailingServerIsEjected(t *testing.T) {
	table := newTestTable(12)
	for range DefaultConfig.FailuresInRow {
		if w := table.Weight(key(3), begin); w != 1 {
			t.Fatalf("weight %v before the verdict", w)
		}
		table.Ended(key(3), Outcome{Failed: true}, begin)
	}
	if w := table.Weight(key(3), begin); w != 0 {
		t.Fatalf("weight %v", w)
	}
}

func TestASlowServerIsEjectedThoughItNeverFails(t *testing.T) {
	table := newTestTable(12)
	good(table, 12, 3, begin)
	for range DefaultConfig.MinSamples {
		table.Ended(key(3), Outcome{Ratio: 4}, begin.Add(3*time.Second))
	}
	if w := table.Weight(key(3), begin.Add(3*time.Second)); w != 0 {
		t.Fatalf("weight %v", w)
	}
	if w := table.Weight(Key{Server: "3", Model: "other"}, begin); w != 1 {
		t.Fatalf("another model on the server has weight %v", w)
	}
}

func TestServersThatAreAllSlowStay(t *testing.T) {
	table := newTestTable(12)
	now := begin
	for range 30 {
		for i := range 12 {
			table.Ended(key(i), Outcome{Ratio: 6}, now)
		}
		now = now.Add(100 * time.Millisecond)
	}
	for i := range 12 {
		if table.Weight(key(i), now) != 1 {
			t.Fatalf("server %d is out", i)
		}
	}
}

func TestATrialReturnsAServerAndARampFollows(t *testing.T) {
	table := newTestTable(12)
	for range DefaultConfig.FailuresInRow {
		table.Ended(key(3), Outcome{Failed: true}, begin)
	}
	now := begin.Add(DefaultConfig.EjectFor)
	if w := table.Weight(key(3), now); w != DefaultConfig.TrialShare {
		t.Fatalf("weight %v on trial", w)
	}
	for range DefaultConfig.TrialSuccesses {
		table.Ended(key(3), Outcome{}, now)
	}
	if w := table.Weight(key(3), now); w != rampFloor {
		t.Fatalf("weight %v at the ramp's begin", w)
	}
	if w := table.Weight(key(3), now.Add(DefaultConfig.Ramp)); w != 1 {
		t.Fatalf("weight %v at the ramp's end", w)
	}
}

func TestAFailedTrialEjectsForLonger(t *testing.T) {
	table := newTestTable(12)
	for range DefaultConfig.FailuresInRow {
		table.Ended(key(3), Outcome{Failed: true}, begin)
	}
	now := begin.Add(DefaultConfig.EjectFor)
	table.Ended(key(3), Outcome{Failed: true}, now)
	if w := table.Weight(key(3), now.Add(DefaultConfig.EjectFor)); w != 0 {
		t.Fatalf("weight %v after the first length", w)
	}
	if w := table.Weight(key(3), now.Add(2*DefaultConfig.EjectFor)); w == 0 {
		t.Fatal("no second trial")
	}
}

func TestANewServerRampsUpAndTheFirstOnesDoNot(t *testing.T) {
	table := newTestTable(2)
	now := begin.Add(time.Minute)
	table.Add(key(7), now)
	if table.Weight(key(0), now) != 1 || table.Weight(key(7), now) != rampFloor || table.Weight(key(7), now.Add(DefaultConfig.Ramp)) != 1 {
		t.Fatal("weights of old and new servers")
	}
}

func TestOldEvidenceOfSlownessFades(t *testing.T) {
	table := newTestTable(4)
	good(table, 4, 3, begin)
	for range 2 * DefaultConfig.MinSamples {
		table.Ended(key(3), Outcome{Ratio: 2}, begin.Add(2*time.Second))
	}
	fresh := table.Slowdown(key(3), begin.Add(2*time.Second))
	faded := table.Slowdown(key(3), begin.Add(2*time.Second+DefaultConfig.Memory))
	if fresh < 1.5 || faded > 1.1 {
		t.Fatalf("slowdown %v, later %v", fresh, faded)
	}
}

// TestOneSampleSaysLittle: 88 VMs that each ask an engine about once a second saw
// engines "three times slower" which were the only ones to keep a prompt's parts.
func TestOneSampleSaysLittle(t *testing.T) {
	table := newTestTable(4)
	good(table, 4, 3, begin)
	table.Ended(key(3), Outcome{Ratio: 5}, begin.Add(time.Second))
	if slow := table.Slowdown(key(3), begin.Add(time.Second)); slow > 1.5 {
		t.Fatalf("slowdown %v after one slow answer", slow)
	}
}

// Whatever happens, no more than the largest share of servers is out.
func TestTheFleetIsNeverEjectedWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "servers")
		table, now := newTestTable(n), begin
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			o := Outcome{Failed: rapid.Bool().Draw(t, "failed"), Ratio: rapid.Float64Range(0, 20).Draw(t, "ratio")}
			table.Ended(key(rapid.IntRange(0, n-1).Draw(t, "server")), o, now)
			out := 0
			for i := range n {
				if table.Weight(key(i), now) == 0 {
					out++
				}
			}
			if float64(out) > DefaultConfig.MaxEjected*float64(n) {
				t.Fatalf("%d of %d are out", out, n)
			}
		}
	})
}
