package entry

import (
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

func tokenGaps(late, all int) []time.Duration {
	out := make([]time.Duration, all)
	for i := range out {
		out[i] = 20 * time.Millisecond
		if i < late {
			out[i] = 40 * time.Millisecond
		}
	}
	return out
}

func TestMeetsTarget(t *testing.T) {
	target := document.Target{FirstTokenMillis: 1700, BetweenTokenMillis: 33, AnswerMillis: 1000}
	tests := []struct {
		name string
		o    Observation
		want bool
	}{
		{"on time", Observation{Code: servedCode, FirstToken: time.Second, BetweenTokens: tokenGaps(5, 100)}, true},
		{"first token late", Observation{Code: servedCode, FirstToken: 2 * time.Second}, false},
		{"tokens late", Observation{Code: servedCode, FirstToken: time.Second, BetweenTokens: tokenGaps(6, 100)}, false},
		{"failed", Observation{Code: callerapi.BackendFailed, FirstToken: time.Second}, false},
		{"call on time", Observation{Code: servedCode, Answer: time.Second}, true},
		{"call late", Observation{Code: servedCode, Answer: 2 * time.Second}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := meetsTarget(tt.o, target); got != tt.want {
				t.Errorf("meetsTarget returned %v", got)
			}
		})
	}
}

func TestCallerErrorsDoNotCountAsBurn(t *testing.T) {
	n := startNode(t, logservice.New(logservice.Config{}))
	n.observeRequest(Observation{Service: "ledger", Code: callerapi.LimitReached})
	n.observeRequest(Observation{Service: "ledger", Code: callerapi.NoCapacity})
	got := n.burn.snapshot(n.clock.Now()).Rows[0].Counts[0]
	if got.Answers != 1 || got.BadAnswers != 1 {
		t.Errorf("counted %+v", got)
	}
}
