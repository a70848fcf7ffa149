package gateway

import (
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/cost"
	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
)

// TestLateFirstTokensAreCounted: the orders of servers follow the answers that begin late, but
// only those that more servers would have made faster.
func TestLateFirstTokensAreCounted(t *testing.T) {
	const target = time.Second
	startedAt := time.Unix(1_900_000_000, 0)
	for name, c := range map[string]struct {
		sends, moves   int
		uncachedTokens float64
		target, took   time.Duration
		answered, late float64
	}{
		"in time":             {1, 0, 1000, target, target / 2, 1, 0},
		"late":                {1, 0, 1000, target, 2 * target, 1, 1},
		"a long prompt":       {1, 0, 100_000, target, 2 * target, 0, 0},
		"after a failed send": {2, 0, 1000, target, 2 * target, 0, 0},
		"after a silence":     {1, 1, 1000, target, 2 * target, 0, 0},
		"no latency target":   {1, 0, 1000, 0, 2 * target, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			work := newWorkMeter()
			q := &request{node: &Node{work: work, backends: &backendTable{costs: cost.NewModel()}}, service: "s", startedAt: startedAt, route: &deployment.Route{LatencyTarget: c.target}}
			q.sentCount, q.moves, q.uncachedTokens = c.sends, c.moves, c.uncachedTokens
			q.countFirstToken(startedAt.Add(c.took))
			if answered, late := work.total(answeredTotal("s")), work.total(lateTotal("s")); answered != c.answered || late != c.late {
				t.Errorf("%v answers counted, %v of them late, want %v and %v", answered, late, c.answered, c.late)
			}
		})
	}
}

// TestDigestsCarryAnswerTotals: what a node counts reaches the node that holds the lease, and
// is not taken for work.
func TestDigestsCarryAnswerTotals(t *testing.T) {
	sender, receiver := newWorkMeter(), newWorkMeter()
	report := func() {
		var entries []gossip.Work
		for name, total := range sender.ownTotals() {
			entries = append(entries, gossip.Work{Service: shortHash(name), Millis: uint64(total)})
		}
		receiver.update("vm-1", entries)
	}
	sender.add("s", 100)
	sender.add(answeredTotal("s"), 1)
	sender.add(lateTotal("s"), 0)
	report()
	sender.add("s", 50)
	sender.add(answeredTotal("s"), 4)
	sender.add(lateTotal("s"), 3)
	report()
	if work, answered, late := receiver.total("s"), receiver.total(answeredTotal("s")), receiver.total(lateTotal("s")); work != 50 || answered != 4 || late != 3 {
		t.Errorf("received %v ms of work, %v answers, %v late ones, want 50, 4 and 3", work, answered, late)
	}
}
