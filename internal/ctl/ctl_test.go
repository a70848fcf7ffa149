package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/coordination/lease"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/coordinator"
	"coltsfootpath.example/coltsfootpath/internal/protocol/adminapi"
	"coltsfootpath.example/coltsfootpath/internal/standin/cloud"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

const (
	testToken    = "test-admin-token-0001"
	demoDocument = "../../demo/document.json"
)

// testCoordinator is a coordinator that uses a stand-in log.
type testCoordinator struct {
	log         *logservice.Log
	coordinator *coordinator.Coordinator
}

func startTestCoordinator(t *testing.T, log *logservice.Log, change ...func(*coordinator.Settings)) *testCoordinator {
	t.Helper()
	var set coordinator.Settings
	set.Schema()
	set.VM, set.AdminToken = "entry-1", testToken
	set.AdminListen, set.PeerListen, set.MetricsListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	set.SubmitTimeout = 500 * time.Millisecond
	set.CheckpointInterval = time.Second
	for _, f := range change {
		f(&set)
	}
	c, err := coordinator.Start(set, coordinator.Dependencies{Log: log, Cloud: cloud.New(cloud.Config{}), Clock: ports.SystemClock{}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return &testCoordinator{log: log, coordinator: c}
}

// run runs coltsfootctl and returns its exit code and output.
func (a *testCoordinator) run(t *testing.T, args ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	cmd := Command()
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	cmd.SetArgs(append([]string{"--admin", a.coordinator.AdminAddress(), "-o", "json"}, args...))
	err := cmd.Execute()
	var coded *app.ExitError
	switch {
	case err == nil:
		return app.ExitOK, out.String()
	case errors.As(err, &coded):
		return coded.Code, out.String() + err.Error()
	}
	return app.ExitUsage, out.String() + err.Error()
}

// expect runs coltsfootctl and fails the test unless it exits with the code and
// its output contains part. It returns the output.
func (a *testCoordinator) expect(t *testing.T, code int, part string, args ...string) string {
	t.Helper()
	got, out := a.run(t, args...)
	if got != code || !strings.Contains(out, part) {
		t.Fatalf("%v: exit code %d, want %d and %q:\n%s", args, got, code, part, out)
	}
	return out
}

func decodeSubmitAnswer(t *testing.T, out string) adminapi.SubmitAnswer {
	t.Helper()
	var answer adminapi.SubmitAnswer
	if err := json.NewDecoder(strings.NewReader(out)).Decode(&answer); err != nil {
		t.Fatal(err, out)
	}
	return answer
}

func TestDocumentCommands(t *testing.T) {
	t.Setenv(tokenEnv, testToken)
	a := startTestCoordinator(t, logservice.New(logservice.Config{}))
	first := decodeSubmitAnswer(t, a.expect(t, app.ExitOK, "accepted", "document", "submit", demoDocument, "--operator", "anna"))
	base := strconv.FormatUint(first.Revision, 10)

	a.expect(t, app.ExitUsage, "--base is needed", "document", "submit", demoDocument, "--operator", "bert")
	second := decodeSubmitAnswer(t, a.expect(t, app.ExitOK, "accepted", "document", "submit", demoDocument, "--operator", "bert", "--base", base))
	rejected := decodeSubmitAnswer(t, a.expect(t, app.ExitConflict, "another document came first", "document", "submit", demoDocument, "--operator", "carl", "--base", base))
	if rejected.Revision != second.Revision || rejected.Operator != "bert" {
		t.Fatalf("the conflicting submission names %+v, the accepted one is %+v", rejected, second)
	}
	a.expect(t, app.ExitConflict, "no such base", "document", "submit", demoDocument, "--operator", "carl", "--base", "99999")

	a.expect(t, app.ExitOK, `"operator": "anna"`, "document", "show", "--revision", base)
	a.expect(t, app.ExitOK, `"operator": "bert"`, "document", "show")
	a.expect(t, app.ExitFailed, "is not among the last", "document", "show", "--revision", "99999")
	if out := a.expect(t, app.ExitOK, `"operator": "anna"`, "document", "history"); strings.Index(out, "bert") > strings.Index(out, "anna") {
		t.Fatal("the newest revision is not first:\n", out)
	}
	only := a.expect(t, app.ExitOK, `"services"`, "document", "show", "--only-document")
	if _, err := document.Decode([]byte(only)); err != nil {
		t.Fatal(err)
	}
	a.log.Trim(control.Stream, second.Revision)
	a.expect(t, app.ExitFailed, "no longer keeps", "document", "show", "--revision", base)
	a.expect(t, app.ExitOK, `"complete": true`, "status")
}

func TestFailuresAreReportedToOperators(t *testing.T) {
	t.Setenv(tokenEnv, testToken)
	a := startTestCoordinator(t, logservice.New(logservice.Config{}))
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte(`{"services": 1, "extra": 2}`), 0o600); err != nil {
		t.Fatal(err)
	}
	a.expect(t, app.ExitInvalid, "extra", "document", "submit", bad)
	a.expect(t, app.ExitInvalid, "services", "document", "check", bad)
	a.expect(t, app.ExitInvalid, `"operator"`, "document", "submit", demoDocument, "--operator", " ")
	a.expect(t, app.ExitUsage, "no such file", "document", "check", bad+"x")
	a.log.SetFaults(logservice.Faults{Outage: true})
	a.expect(t, app.ExitUnavailable, "not_submitted", "document", "submit", demoDocument, "--operator", "anna")
	a.log.SetFaults(logservice.Faults{SlowMillis: 60_000})
	a.expect(t, app.ExitUnavailable, "unknown", "document", "submit", demoDocument, "--operator", "anna")
	t.Setenv(tokenEnv, testToken+"x")
	a.expect(t, app.ExitFailed, "token is missing or wrong", "document", "show")
	a.coordinator.Close()
	a.expect(t, app.ExitUnavailable, "call coordinator", "document", "show")
}

// TestRequestBodiesAreBounded sends oversized and malformed bodies, which
// coltsfootctl itself doesn't send.
func TestRequestBodiesAreBounded(t *testing.T) {
	a := startTestCoordinator(t, logservice.New(logservice.Config{}))
	for _, test := range []struct {
		body   string
		status int
		part   string
	}{
		{`{"operator":"` + strings.Repeat("a", 2*document.MaxBytes) + `"}`, http.StatusRequestEntityTooLarge, "too large"},
		{`{"operator":"anna","document":{"x":"` + strings.Repeat("a", document.MaxBytes) + `"}}`, http.StatusUnprocessableEntity, "bytes long"},
		{`{"operator":"` + strings.Repeat("a", adminapi.MaxOperatorBytes+1) + `","document":{}}`, http.StatusUnprocessableEntity, "operator"},
		{`{"operator":`, http.StatusBadRequest, "decode body"},
	} {
		req, err := http.NewRequest(http.MethodPost, "http://"+a.coordinator.AdminAddress()+adminapi.DocumentPath, strings.NewReader(test.body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+testToken)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		answer, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != test.status || !strings.Contains(string(answer), test.part) {
			t.Errorf("%.40s: status %d, want %d and %q: %.200s %v", test.body, resp.StatusCode, test.status, test.part, answer, err)
		}
	}
}

// TestCoordinatorStartsFromACheckpoint trims all records that a checkpoint of the
// lease holder covers, and starts another coordinator.
func TestCoordinatorStartsFromACheckpoint(t *testing.T) {
	t.Setenv(tokenEnv, testToken)
	log := logservice.New(logservice.Config{})
	a := startTestCoordinator(t, log)
	first := decodeSubmitAnswer(t, a.expect(t, app.ExitOK, "accepted", "document", "submit", demoDocument, "--operator", "anna"))
	checkpoint := waitForCheckpoint(t, log, first.Revision)
	log.Trim(control.Stream, checkpoint.Offset+1)
	b := startTestCoordinator(t, log)
	out := b.expect(t, app.ExitOK, "accepted", "document", "submit", demoDocument, "--operator", "bert", "--base", strconv.FormatUint(first.Revision, 10))
	if decodeSubmitAnswer(t, out).Revision <= first.Revision {
		t.Fatal(out)
	}
}

// TestRollingReplacementOfCoordinators replaces coordinators one after another
// while the log retains fewer records than one of them appends.
func TestRollingReplacementOfCoordinators(t *testing.T) {
	const retained, documents, replacements = 24, 10, 3
	t.Setenv(tokenEnv, testToken)
	log := logservice.New(logservice.Config{RetainRecords: retained})
	frequentCheckpoints := func(s *coordinator.Settings) {
		s.CheckpointRecords = retained / 4
		s.Lease = lease.Config{Duration: time.Second, Margin: 100 * time.Millisecond, MaxOrderTime: 100 * time.Millisecond, ClockError: 0.01}
		s.SubmitTimeout = 20 * time.Second
	}
	a := startTestCoordinator(t, log, frequentCheckpoints)
	base := uint64(0)
	for range replacements {
		for range documents {
			out := a.expect(t, app.ExitOK, "accepted", "document", "submit", demoDocument, "--operator", "anna", "--base", strconv.FormatUint(base, 10))
			base = decodeSubmitAnswer(t, out).Revision
		}
		waitForCheckpoint(t, log, base)
		next := startTestCoordinator(t, log, frequentCheckpoints)
		a.coordinator.Close()
		a = next
	}
	a.expect(t, app.ExitOK, `"accepted"`, "document", "submit", demoDocument, "--operator", "bert", "--base", strconv.FormatUint(base, 10))
	if out := a.expect(t, app.ExitOK, "bert", "document", "history"); strings.Count(out, "anna") != replacements*documents {
		t.Fatal("the history is incomplete:\n", out)
	}
}

// waitForCheckpoint reads the log until a checkpoint covers the offset, and
// returns that checkpoint.
func waitForCheckpoint(t *testing.T, log *logservice.Log, covers uint64) *control.Checkpoint {
	t.Helper()
	next := uint64(1)
	for {
		batch, err := log.Read(context.Background(), control.Stream, next, time.Minute)
		var trimmed *ports.TrimmedError
		if errors.As(err, &trimmed) {
			next = trimmed.Earliest
			continue
		}
		if err != nil || len(batch.Records) == 0 {
			t.Fatal("no checkpoint: ", err)
		}
		for _, r := range batch.Records {
			record, err := control.Decode(r.Data)
			if err != nil {
				t.Fatal(err)
			}
			if c := record.Checkpoint; c != nil && c.Offset >= covers {
				return c
			}
		}
		next = batch.Next
	}
}

func TestHelpAndCompletion(t *testing.T) {
	var out bytes.Buffer
	for _, args := range [][]string{{"--help"}, {"completion", "bash"}} {
		cmd := Command()
		cmd.SetOut(&out)
		cmd.SetArgs(args)
		if err := cmd.Execute(); err != nil {
			t.Fatal(err)
		}
	}
	for _, part := range []string{"Exit codes", "document history", "completion", "__start_coltsfootctl"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("help and completion don't contain %q", part)
		}
	}
}
