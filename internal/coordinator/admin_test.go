package coordinator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/coordinator"
	"coltsfootpath.example/coltsfootpath/internal/ctl"
	"coltsfootpath.example/coltsfootpath/internal/protocol/adminapi"
	"coltsfootpath.example/coltsfootpath/internal/standin/cloud"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

const adminToken = "admin-test-token-0001"

func startCoordinator(t *testing.T, log *logservice.Log) *ctl.AdminClient {
	t.Helper()
	var set coordinator.Settings
	set.Schema()
	set.VM, set.AdminToken, set.SubmitTimeout = "entry-1", adminToken, time.Second
	set.AdminListen, set.PeerListen, set.MetricsListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	c, err := coordinator.Start(set, coordinator.Dependencies{Log: log, Cloud: cloud.New(cloud.Config{}), Clock: ports.SystemClock{}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return &ctl.AdminClient{Address: c.AdminAddress(), Token: adminToken}
}

func documentWithMove(t *testing.T) json.RawMessage {
	t.Helper()
	start := time.Now().Add(time.Hour).UTC()
	data, err := json.Marshal(document.Document{
		Services: []document.Service{{
			Name: "assistant", Kind: document.ModelService, Serving: "v1",
			Versions: []document.Version{{Name: "v1", Model: "m1"}, {Name: "v2", Model: "m2"}},
			Routes:   []document.Route{{Name: "ask", Priority: document.Normal, Repeatable: true}},
			Target:   document.Target{FirstTokenMillis: 1700, BetweenTokenMillis: 33, AnswerMillis: 1000},
		}},
		Workspaces: []document.Workspace{},
		Moves: []document.Move{{
			Name: "to-v2", Service: "assistant", From: "v1", To: "v2", Start: start, Deadline: start.Add(time.Hour),
			Guard: document.Guard{FailureIncrease: 0.02, Slowdown: 1.5},
		}},
		Fleet: document.Fleet{MaxVMs: 1},
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func cancelResult(t *testing.T, c *ctl.AdminClient, move string) adminapi.SubmitResult {
	t.Helper()
	answer, err := c.CancelMove(context.Background(), adminapi.CancelRequest{Move: move, Operator: "petra"})
	if err != nil {
		t.Fatal(err)
	}
	return answer.Result
}

// TestOperatorCancelsAMove cancels moves over HTTP: one that doesn't exist, one
// while the log is down, an active one, and a cancelled one again.
func TestOperatorCancelsAMove(t *testing.T) {
	log := logservice.New(logservice.Config{})
	c := startCoordinator(t, log)
	submitted, err := c.Submit(context.Background(), adminapi.SubmitRequest{Operator: "petra", Document: documentWithMove(t)})
	if err != nil || submitted.Result != adminapi.Accepted {
		t.Fatalf("%+v %v", submitted, err)
	}
	if got := cancelResult(t, c, "nothing"); got != adminapi.Conflict {
		t.Errorf("a move that doesn't exist: %s", got)
	}
	log.SetFaults(logservice.Faults{Outage: true})
	if got := cancelResult(t, c, "to-v2"); got != adminapi.NotSubmitted {
		t.Errorf("with the log down: %s", got)
	}
	log.SetFaults(logservice.Faults{})
	if got := cancelResult(t, c, "to-v2"); got != adminapi.Accepted {
		t.Errorf("an active move: %s", got)
	}
	if got := cancelResult(t, c, "to-v2"); got != adminapi.Conflict {
		t.Errorf("a move that is already cancelled: %s", got)
	}
}

// TestEveryAdminPathRequiresTheToken requests each path without a token, with a
// wrong one, and with the right one without the "Bearer" prefix.
func TestEveryAdminPathRequiresTheToken(t *testing.T) {
	c := startCoordinator(t, logservice.New(logservice.Config{}))
	paths := []string{adminapi.DocumentPath, adminapi.StatusPath, adminapi.MovesPath, adminapi.CancelPath, adminapi.BurnPath}
	for _, path := range paths {
		for _, token := range []string{"", "Bearer ", "Bearer wrong", adminToken} {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				req, err := http.NewRequest(method, "http://"+c.Address+path, nil)
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("Authorization", token)
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
				if resp.StatusCode != http.StatusUnauthorized {
					t.Errorf("%s %s with %q: status %d", method, path, token, resp.StatusCode)
				}
			}
		}
	}
}
