package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/coordination/routing"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
)

func TestTooShortDeadlineIsRejectedAtOnceAndKeyStaysFree(t *testing.T) {
	n := startNode(t, logservice.New(logservice.Config{}))
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, "http://"+n.CallerAddress()+"/v1/services/assistant/routes/ask",
			strings.NewReader(`{"prompt":"a b c","max_tokens":5,"deadline_ms":1}`))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set(callerapi.WorkspaceHeader, "branches")
		req.Header.Set("Authorization", "Bearer "+testToken)
		req.Header.Set(callerapi.IdempotencyKeyHeader, "question-1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		var answer callerapi.ErrorAnswer
		err = json.NewDecoder(resp.Body).Decode(&answer)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		if answer.Error.Code != callerapi.DeadlineTooShort || answer.Error.Run != callerapi.NotRun || resp.Header.Get("Retry-After") == "" {
			t.Fatalf("got %+v, Retry-After %q", answer.Error, resp.Header.Get("Retry-After"))
		}
	}
	if open := n.requests.OpenCount(); open != 0 {
		t.Fatalf("%d requests are open, want none", open)
	}
}

func TestAttemptOutcomeForServerHealth(t *testing.T) {
	startedAt := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	choice := routing.Choice{NominalBetweenTokens: 10 * time.Millisecond, FirstToken: 100 * time.Millisecond}
	answered := attemptMeter{choice: choice, startedAt: startedAt}
	for i := range 5 {
		answered.addTokens(1, startedAt.Add(time.Duration(i+1)*40*time.Millisecond))
	}
	noTokens := attemptMeter{choice: choice, startedAt: startedAt}
	tests := []struct {
		name   string
		meter  attemptMeter
		result attemptResult
		after  time.Duration
		want   health.Outcome
		counts bool
	}{
		{"answer gives the speed", answered, attemptDone, time.Second, health.Outcome{Ratio: 4}, true},
		{"attempt failure", noTokens, attemptFailed, time.Second, health.Outcome{Failed: true}, true},
		{"early cancellation does not count", noTokens, attemptCancelled, time.Second, health.Outcome{}, false},
		{"long wait without tokens counts as a failure", noTokens, attemptCancelled, 3 * time.Second, health.Outcome{Failed: true}, true},
	}
	for _, tt := range tests {
		got, counts := tt.meter.outcome(tt.result, startedAt.Add(tt.after))
		if got != tt.want || counts != tt.counts {
			t.Errorf("%s: outcome %+v, counts %v", tt.name, got, counts)
		}
	}
}
