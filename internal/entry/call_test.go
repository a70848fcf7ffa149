package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/invariant"
	"coltsfootpath.example/coltsfootpath/internal/loopback"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/standin/cloud"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/internal/standin/service"
	"coltsfootpath.example/coltsfootpath/internal/state/calls"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/transport/http1/http1test"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpclient"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
)

// ledgerCluster runs entry nodes and one ledger service over sockets.
type ledgerCluster struct {
	log    *logservice.Log
	ledger *service.Service
	nodes  []*Node
}

func newLedgerCluster(t *testing.T, nodes int) *ledgerCluster {
	t.Helper()
	ledger := service.New(1)
	server, err := httpserver.Start(httpserver.Config{Name: "ledger", Address: "127.0.0.1:0", Handler: ledger.Handler(), MaxBodyBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	b := newClusterOf(t, server.Address(), nodes)
	b.ledger = ledger
	return b
}

// newClusterOf starts entry nodes that send calls of the ledger service to address.
func newClusterOf(t *testing.T, address string, nodes int) *ledgerCluster {
	t.Helper()
	b := &ledgerCluster{log: logservice.New(logservice.Config{})}
	vms := cloud.New(cloud.Config{})
	vms.Add(ports.VM{ID: "ledger-1", Role: ports.ServiceRole, Service: "ledger", Address: address, AvailabilityZone: "zone-a"})
	appendDocument(t, b.log)
	for i := range nodes {
		b.nodes = append(b.nodes, b.start(t, fmt.Sprintf("entry-%d", i+1), vms))
	}
	return b
}

func appendDocument(t *testing.T, log *logservice.Log) {
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
}

func (b *ledgerCluster) start(t *testing.T, name string, vms ports.Cloud) *Node {
	t.Helper()
	var settings Settings
	settings.Schema()
	settings.VM, settings.AvailabilityZone = name, "zone-a"
	settings.Listen, settings.PeerListen, settings.MetricsListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.Workers = 8
	client := httpclient.New()
	n, err := Start(settings, Dependencies{
		Log: b.log, Cloud: vms, Engine: httpclient.NewEngine(client),
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
	for len(n.backends.View().Servers) == 0 {
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			t.Fatal("the ledger server was not listed in time")
		}
	}
	return n
}

// deposit describes one request to the ledger's deposit route.
type deposit struct {
	key, body, issuedAt string
	callerRetry         bool
}

func (d deposit) send(n *Node) (callerapi.CallAnswer, *callerapi.Error, error) {
	url := "http://" + n.CallerAddress() + "/v1/services/ledger/routes/deposit"
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(d.body))
	if err != nil {
		return callerapi.CallAnswer{}, nil, err
	}
	req.Header.Set(callerapi.WorkspaceHeader, "branches")
	req.Header.Set("Authorization", "Bearer "+testToken)
	req.Header.Set(callerapi.IdempotencyKeyHeader, d.key)
	if d.issuedAt != "" {
		req.Header.Set(callerapi.KeyIssuedAtHeader, d.issuedAt)
	}
	if d.callerRetry {
		req.Header.Set(callerapi.ResendHeader, "true")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callerapi.CallAnswer{}, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return callerapi.CallAnswer{}, nil, err
	}
	if resp.StatusCode == http.StatusOK {
		var answer callerapi.CallAnswer
		return answer, nil, json.Unmarshal(data, &answer)
	}
	var answer callerapi.ErrorAnswer
	return callerapi.CallAnswer{}, &answer.Error, json.Unmarshal(data, &answer)
}

// TestRacingDepositsRunOnce sends each deposit to three VMs at once while the
// log loses answers, and checks that no deposit runs twice.
func TestRacingDepositsRunOnce(t *testing.T) {
	b := newLedgerCluster(t, 3)
	b.log.SetFaults(logservice.Faults{AnswerLossRatio: 0.3})
	breaches := invariant.BreachCount()
	const deposits = 30
	var sent sync.WaitGroup
	var mu sync.Mutex
	served := map[string]int{}
	for i := range deposits {
		d := deposit{key: fmt.Sprintf("deposit-%d", i), body: `{"cents":500}`, callerRetry: true}
		for _, n := range b.nodes {
			sent.Go(func() {
				_, rejection, err := d.send(n)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					t.Errorf("%s: %v", d.key, err)
				}
				if rejection == nil {
					served[d.key]++
				} else if rejection.Run != callerapi.RunUnknown {
					t.Errorf("%s: caller retry got %+v, want an error with an unknown run", d.key, rejection)
				}
			})
		}
	}
	sent.Wait()
	runs := b.ledger.Runs()
	for key := range served {
		if n := runs["deposit/"+key]; n != 1 {
			t.Errorf("%s was served and ran %d times, want 1", key, n)
		}
	}
	for key, n := range runs {
		if n > 1 {
			t.Errorf("%s ran %d times, want at most 1", key, n)
		}
	}
	if len(served) == 0 || invariant.BreachCount() != breaches {
		t.Errorf("%d deposits served, %d invariant breaches", len(served), invariant.BreachCount()-breaches)
	}
}

// TestLostServiceAnswerIsUnknownEverywhere loses the service's answer to a
// call. No VM may then answer "not run" or run the call again.
func TestLostServiceAnswerIsUnknownEverywhere(t *testing.T) {
	b := newLedgerCluster(t, 2)
	b.ledger.SetFaults(service.Faults{AnswerLossRatio: 1})
	d := deposit{key: "deposit-1", body: "{}"}
	for _, n := range []*Node{b.nodes[0], b.nodes[1], b.nodes[0]} {
		if _, rejection, err := d.send(n); err != nil || rejection == nil || rejection.Code != callerapi.OutcomeUnknown || rejection.Run != callerapi.RunUnknown {
			t.Fatalf("%+v %v", rejection, err)
		}
	}
	if n := b.ledger.Runs()["deposit/deposit-1"]; n != 1 {
		t.Errorf("deposit ran %d times, want 1", n)
	}
}

// TestInvalidRejectionIsBelieved: a service rejects a call in an answer that RFC 9112 does not allow.
// The call may have run.
func TestInvalidRejectionIsBelieved(t *testing.T) {
	for name, answer := range http1test.InvalidAnswers(http.StatusServiceUnavailable, "full") {
		address, stop, err := loopback.Serve(answer)
		if err != nil {
			t.Fatal(err)
		}
		n := newClusterOf(t, address, 1).nodes[0]
		if _, rejection, err := (deposit{key: "deposit-1", body: "{}"}).send(n); err != nil || rejection == nil || rejection.Code != callerapi.OutcomeUnknown || rejection.Run != callerapi.RunUnknown {
			t.Errorf("%s: %+v, error %v", name, rejection, err)
		}
		n.Close()
		stop()
	}
}

// TestOwnerKilledBeforeItsOutcome appends the claim of a VM that was killed
// before it could log an outcome, so its call may have run. Another VM must
// neither run the call again nor answer "not run".
func TestOwnerKilledBeforeItsOutcome(t *testing.T) {
	b := newLedgerCluster(t, 2)
	claim := calls.Claim{ID: calls.ID{Workspace: "branches", Key: "deposit-1"}, Token: "dead", VM: "entry-9"}
	claim.Fingerprint = fingerprint(depositTarget(t, b.nodes[0]), []byte("{}"))
	record, err := calls.Encode(calls.Record{At: time.Now(), Claim: &claim})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.log.Append(context.Background(), calls.Stream, [][]byte{record}); err != nil {
		t.Fatal(err)
	}
	_, rejection, err := deposit{key: "deposit-1", body: "{}"}.send(b.nodes[1])
	if err != nil || rejection == nil || rejection.Run != callerapi.RunUnknown || rejection.RetryAfterMillis == 0 {
		t.Fatalf("%+v %v", rejection, err)
	}
	if n := len(b.ledger.Runs()); n != 0 {
		t.Errorf("ledger has run %d deposits, want none", n)
	}
}

func depositTarget(t *testing.T, n *Node) target {
	t.Helper()
	doc := n.control.State().Document
	svc, ok := doc.Service("ledger")
	if !ok {
		t.Fatal("no ledger service in the document")
	}
	route, _ := svc.Route("deposit")
	return target{service: svc, route: route}
}

func TestKeyIssueTimes(t *testing.T) {
	b := newLedgerCluster(t, 1)
	now := time.Now().UTC()
	tests := []struct {
		name string
		d    deposit
		code callerapi.Code
		run  callerapi.RunStatus
	}{
		{"first", deposit{key: "k1", body: "{}", issuedAt: now.Format(time.RFC3339Nano)}, "", ""},
		{"same key and time", deposit{key: "k1", body: "{}", issuedAt: now.Format(time.RFC3339Nano), callerRetry: true}, "", ""},
		{"different time", deposit{key: "k1", body: "{}", issuedAt: now.Add(time.Second).Format(time.RFC3339Nano)}, callerapi.KeyConflict, callerapi.RunUnknown},
		{"different body", deposit{key: "k1", body: "[]", issuedAt: now.Format(time.RFC3339Nano)}, callerapi.KeyConflict, callerapi.NotRun},
		{"invalid time", deposit{key: "k2", body: "{}", issuedAt: "yesterday"}, callerapi.MalformedRequest, callerapi.NotRun},
		{"future", deposit{key: "k3", body: "{}", issuedAt: now.Add(time.Hour).Format(time.RFC3339Nano)}, callerapi.MalformedRequest, callerapi.RunUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, rejection, err := tt.d.send(b.nodes[0])
			if err != nil {
				t.Fatal(err)
			}
			if rejection == nil {
				rejection = &callerapi.Error{}
			}
			if rejection.Code != tt.code || rejection.Run != tt.run {
				t.Errorf("%+v", rejection)
			}
		})
	}
}

// TestCallerRetryInOutageIsRunUnknown checks a caller retry at a VM that can't
// read the log. The first request's answer may have been lost, so the VM must
// not answer "not run" only because it has not seen the claim.
func TestCallerRetryInOutageIsRunUnknown(t *testing.T) {
	b := newLedgerCluster(t, 1)
	b.log.SetFaults(logservice.Faults{Outage: true})
	_, rejection, err := deposit{key: "k1", body: "{}", callerRetry: true}.send(b.nodes[0])
	if err != nil || rejection == nil || rejection.Code != callerapi.LogUnavailable || rejection.Run != callerapi.RunUnknown || rejection.RetryAfterMillis == 0 {
		t.Fatalf("%+v %v", rejection, err)
	}
}

// TestTasksStartOnlyWhileOpen checks that no task starts after close, and that
// close waits for the running ones.
func TestTasksStartOnlyWhileOpen(t *testing.T) {
	var ts tasks
	release, ended := make(chan struct{}), false
	ts.start(func() { <-release; ended = true })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := ts.drain(ctx); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	close(release)
	ts.close()
	if !ended {
		t.Error("close did not wait for the running task")
	}
	if ts.start(func() {}) {
		t.Error("a task was started after close")
	}
}
