package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/standin/cloud"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpclient"
)

const testToken = "branches-token"

func testDocument() *document.Document {
	sum := sha256.Sum256([]byte(testToken))
	doc := &document.Document{
		Services: []document.Service{
			{Name: "assistant", Kind: document.ModelService, Serving: "v1", Versions: []document.Version{{Name: "v1", Model: "m"}},
				Routes: []document.Route{{Name: "ask", Repeatable: true}, {Name: "hidden", Repeatable: true}}},
			{Name: "ledger", Kind: document.PlainService, Serving: "v1", Versions: []document.Version{{Name: "v1"}},
				Routes: []document.Route{{Name: "deposit"}}},
		},
		Workspaces: []document.Workspace{{
			Name: "branches", TokenSHA256: hex.EncodeToString(sum[:]), RequestsPerSecond: 1000, Burst: 1000,
			Routes: []string{"assistant/ask", "ledger/deposit"},
		}},
	}
	doc.SetDefaults()
	return doc
}

// startNode starts the node of entry-1 with in-process stand-ins and waits for
// the document.
func startNode(t testing.TB, log *logservice.Log) *Node {
	t.Helper()
	return startNodeAs(t, "entry-1", log, cloud.New(cloud.Config{}))
}

// startNodeAs starts a node with the given VM name and cloud and waits for the
// document.
func startNodeAs(t testing.TB, vm string, log *logservice.Log, vms *cloud.Cloud) *Node {
	t.Helper()
	record, err := control.Encode(control.Record{
		Writer:   control.WriterID{Incarnation: "test", Sequence: 1},
		Document: &control.DocumentSubmission{Document: testDocument()},
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(context.Background(), control.Stream, [][]byte{record}); err != nil {
		t.Fatal(err)
	}
	var settings Settings
	settings.Schema()
	settings.VM, settings.AvailabilityZone = vm, "zone-a"
	settings.Listen, settings.PeerListen, settings.MetricsListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.Workers, settings.MaxBodyBytes = 8, 2048
	client := httpclient.New()
	n, err := Start(settings, Dependencies{
		Log: log, Cloud: vms, Engine: httpclient.NewEngine(client),
		Service: httpclient.NewPlainService(client), Clock: ports.SystemClock{},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := n.controlFollower.WaitFor(ctx, 1); err != nil {
		t.Fatal(err)
	}
	return n
}

func TestInvalidInputIsRejectedWithCode(t *testing.T) {
	n := startNode(t, logservice.New(logservice.Config{}))
	tests := []struct {
		name, path, workspace, token, key, body string
		code                                    callerapi.Code
	}{
		{"malformed JSON", "assistant/routes/ask", "branches", testToken, "k1", "{", callerapi.MalformedRequest},
		{"no prompt", "assistant/routes/ask", "branches", testToken, "k1", `{"max_tokens":1}`, callerapi.MalformedRequest},
		{"too many tokens", "assistant/routes/ask", "branches", testToken, "k1", `{"prompt":"a","max_tokens":99999999}`, callerapi.MalformedRequest},
		{"unknown service", "nothing/routes/ask", "branches", testToken, "k1", "{}", callerapi.UnknownService},
		{"unknown route", "assistant/routes/nothing", "branches", testToken, "k1", "{}", callerapi.UnknownRoute},
		{"route not allowed", "assistant/routes/hidden", "branches", testToken, "k1", "{}", callerapi.RouteNotAllowed},
		{"unknown workspace", "assistant/routes/ask", "nobody", testToken, "k1", "{}", callerapi.UnknownWorkspace},
		{"wrong token", "assistant/routes/ask", "branches", "wrong", "k1", "{}", callerapi.Unauthenticated},
		{"missing key", "ledger/routes/deposit", "branches", testToken, "", "{}", callerapi.MissingKey},
		{"long key", "ledger/routes/deposit", "branches", testToken, strings.Repeat("k", 200), "{}", callerapi.MalformedRequest},
		{"oversized body", "assistant/routes/ask", "branches", testToken, "k1", `{"prompt":"` + strings.Repeat("a", 2500) + `"}`, callerapi.BodyTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, "http://"+n.CallerAddress()+"/v1/services/"+tt.path, strings.NewReader(tt.body))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set(callerapi.WorkspaceHeader, tt.workspace)
			req.Header.Set("Authorization", "Bearer "+tt.token)
			req.Header.Set(callerapi.IdempotencyKeyHeader, tt.key)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			var answer callerapi.ErrorAnswer
			if err := json.Unmarshal(data, &answer); err != nil {
				t.Fatalf("status %d: %s", resp.StatusCode, data)
			}
			if answer.Error.Code != tt.code || answer.Error.Run != callerapi.NotRun || resp.StatusCode != tt.code.Status() {
				t.Fatalf("status %d, %+v", resp.StatusCode, answer.Error)
			}
		})
	}
}

func TestDepositWithTheLogDownIsNotRun(t *testing.T) {
	log := logservice.New(logservice.Config{})
	n := startNode(t, log)
	log.SetFaults(logservice.Faults{Outage: true})
	req, err := http.NewRequest(http.MethodPost, "http://"+n.CallerAddress()+"/v1/services/ledger/routes/deposit", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(callerapi.WorkspaceHeader, "branches")
	req.Header.Set("Authorization", "Bearer "+testToken)
	req.Header.Set(callerapi.IdempotencyKeyHeader, "deposit-1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var answer callerapi.ErrorAnswer
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	if answer.Error.Code != callerapi.LogUnavailable || answer.Error.Run != callerapi.NotRun || answer.Error.RetryAfterMillis == 0 {
		t.Fatalf("%+v", answer.Error)
	}
}

// TestCallerRetryOfModelRequestIsNotRun: an earlier request with the key may have run at
// another entry VM.
func TestCallerRetryOfModelRequestIsNotRun(t *testing.T) {
	n := startNode(t, logservice.New(logservice.Config{}))
	for _, retry := range []bool{false, true} {
		req, err := http.NewRequest(http.MethodPost, "http://"+n.CallerAddress()+"/v1/services/assistant/routes/ask", strings.NewReader(`{"prompt":" ","max_tokens":5}`))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set(callerapi.WorkspaceHeader, "branches")
		req.Header.Set("Authorization", "Bearer "+testToken)
		req.Header.Set(callerapi.IdempotencyKeyHeader, "k")
		want := callerapi.NotRun
		if retry {
			req.Header.Set(callerapi.ResendHeader, "true")
			want = callerapi.RunUnknown
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var got callerapi.ErrorAnswer
		if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
			t.Fatal(err)
		}
		if got.Error.Run != want {
			t.Errorf("caller retry %v: %+v", retry, got)
		}
	}
}
