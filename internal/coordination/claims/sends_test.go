package claims

import (
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/invariant"
	"coltsfootpath.example/coltsfootpath/internal/state/calls"
)

// TestBreachesAreDetected checks that each assertion can fail.
func TestBreachesAreDetected(t *testing.T) {
	claim := func(token string) calls.Claim { return calls.Claim{ID: calls.ID{Key: "k"}, Token: token} }
	outcome := calls.Record{Outcome: &calls.Outcome{ID: calls.ID{Key: "k"}, Token: "a"}}
	now := time.Now()
	tests := []struct {
		name   string
		do     func(s *sentCalls)
		breach uint64
	}{
		{"one send", func(s *sentCalls) { s.add(claim("a"), now); s.add(claim("a"), now) }, 0},
		{"two claims of a key sent", func(s *sentCalls) { s.add(claim("a"), now); s.add(claim("b"), now) }, 1},
		{"a second claim after one that certainly did not run", func(s *sentCalls) { s.add(claim("a"), now); s.remove(claim("a")); s.add(claim("b"), now) }, 0},
		{"not run after a send", func(s *sentCalls) { s.add(claim("a"), now); s.checkResult(claim("a"), calls.ResultNotRun) }, 1},
		{"not run without a send", func(s *sentCalls) { s.checkResult(claim("a"), calls.ResultNotRun) }, 0},
		{"ran without a claim", func(*sentCalls) { checkInvariants(calls.RanWithoutClaim, 1, outcome) }, 1},
		{"ran after its claim ended", func(*sentCalls) { checkInvariants(calls.RanAfterNotRun, 1, outcome) }, 1},
		{"taken", func(*sentCalls) { checkInvariants(calls.Applied, 1, outcome) }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := invariant.BreachCount()
			tt.do(newSentCalls())
			if got := invariant.BreachCount() - before; got != tt.breach {
				t.Errorf("%d breaches, want %d", got, tt.breach)
			}
		})
	}
}

func TestSendsAreBounded(t *testing.T) {
	s := newSentCalls()
	now := time.Now()
	for i := range 1000 {
		at := now.Add(time.Duration(i) * time.Minute)
		s.add(calls.Claim{ID: calls.ID{Key: at.String()}, Token: at.String()}, at)
	}
	if len(s.byKey) > 12 || len(s.order) > 12 {
		t.Errorf("%d keys, %d in order", len(s.byKey), len(s.order))
	}
}
