package entry

import (
	"context"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/answer"
	"coltsfootpath.example/coltsfootpath/internal/invariant"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/internal/state/requests"
)

// TestAppendWithGapBreachesInvariant checks that tokens beyond the end of a
// run's answer breach the invariant, and that contiguous tokens and a frame of
// a superseded attempt don't.
func TestAppendWithGapBreachesInvariant(t *testing.T) {
	n := startNode(t, logservice.New(logservice.Config{}))
	now := n.clock.Now()
	req, _, err := n.requests.Open(requests.Spec{ID: requests.ID{Workspace: "branches", Key: "k"}}, nil, now)
	if err != nil {
		t.Fatal(err)
	}
	r := &requestRun{node: n, req: req, openedAt: now, lastTokenAt: now, core: answer.New(answer.DefaultLimits, now.Add(time.Minute), nil)}
	r.core.Step(answer.Start{})
	r.core.Step(answer.Move{Attempt: 1})
	before := invariant.BreachCount()
	r.handleEvent(context.Background(), attemptEvent{Event: answer.Frame{Attempt: 1, Tokens: []string{"late"}}})
	r.append(answer.Append{Offset: 0, Tokens: []string{"a"}})
	if got := invariant.BreachCount() - before; got != 0 {
		t.Fatalf("%d breaches by a contiguous append, want 0", got)
	}
	r.append(answer.Append{Offset: 5, Tokens: []string{"f"}})
	if got := invariant.BreachCount() - before; got != 1 {
		t.Errorf("%d breaches by an append with a gap, want 1", got)
	}
}
