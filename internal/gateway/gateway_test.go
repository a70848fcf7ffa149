package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/coordination/topicview"
	"coltsfootpath.example/coltsfootpath/internal/loopback"
	"coltsfootpath.example/coltsfootpath/internal/protocol/relayapi"
	"coltsfootpath.example/coltsfootpath/internal/state/storelog"
	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// testTimeout bounds each wait.
const testTimeout = 20 * time.Second

// documentTemplate is the operator's document. The path of each route describes
// how its requests may be handled.
const documentTemplate = `{"version":%d,"routes":[
{"name":"r-once","host":"a.example","pathPrefix":"/once/","kind":"non_idempotent","timeoutMs":3000,"latencyTargetMs":500,"service":"s","maxAttempts":1},
{"name":"r-again","host":"a.example","pathPrefix":"/again/","kind":"idempotent","timeoutMs":3000,"latencyTargetMs":100,"service":"s","maxAttempts":2},
{"name":"r-deep","host":"a.example","pathPrefix":"/again/deep/","kind":"non_idempotent","timeoutMs":3000,"latencyTargetMs":100,"service":"s","maxAttempts":1},
{"name":"r-stream","host":"a.example","pathPrefix":"/stream/","kind":"stream","resumable":true,"gapAimMs":300,"timeoutMs":3000,"latencyTargetMs":300,"service":"s","maxAttempts":2},
{"name":"r-fixed","host":"a.example","pathPrefix":"/fixedstream/","kind":"stream","gapAimMs":300,"timeoutMs":3000,"latencyTargetMs":300,"service":"s","maxAttempts":1},
{"name":"r-public","host":"a.example","pathPrefix":"/public/","kind":"idempotent","timeoutMs":3000,"service":"s","maxAttempts":1,"public":true}],
"services":[{"name":"s","healthPath":"/healthz","maxConns":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4096,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"w","apiKeys":["key-w"],"priority":1,"unit":"tokens","plainTokens":10,"ratePerS":0,"burst":0},
{"name":"small","apiKeys":["key-small"],"unit":"tokens","plainTokens":10,"ratePerS":10,"burst":20}]}`

// fixture holds a store with backend servers, and the nodes' log lines.
type fixture struct {
	t     testing.TB
	store *platformtest.Store
	logs  *logBuffer
}

// logBuffer collects the log lines of the nodes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) hasLine(parts ...string) bool { return l.countLines(parts...) > 0 }

func (l *logBuffer) countLines(parts ...string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for line := range strings.Lines(l.text.String()) {
		found := true
		for _, p := range parts {
			found = found && strings.Contains(line, p)
		}
		if found {
			count++
		}
	}
	return count
}

// lastLines returns the last lines of the log.
func (l *logBuffer) lastLines(count int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := slices.Collect(strings.Lines(l.text.String()))
	return strings.Join(lines[max(len(lines)-count, 0):], "")
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{t: t, store: platformtest.NewStore(), logs: &logBuffer{}}
	t.Cleanup(f.store.Close)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(f.logs.lastLines(loggedLines))
		}
	})
	f.putDocument(1)
	return f
}

// loggedLines is the number of the nodes' last log lines that a failed test prints.
const loggedLines = 150

func (f *fixture) putDocument(version int) {
	f.store.Put(platform.OperatorTopic, platform.DocumentKey, documentJSON(version))
}

func documentJSON(version int) []byte { return fmt.Appendf(nil, documentTemplate, version) }

// addServer starts a backend server and registers it in the store.
func (f *fixture) addServer(id string, chooseBehavior func(n int, r platformtest.Run) platformtest.Behavior) *platformtest.Server {
	s := platformtest.NewServer(id, chooseBehavior)
	f.t.Cleanup(s.Close)
	f.store.Put(platform.ServersTopic, id, s.Registration("s", "zone-a", "ready"))
	return s
}

// serveConnections registers a backend server that calls serve with each connection.
func (f *fixture) serveConnections(id string, serve func(c net.Conn)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	entry := platformtest.NewServer(id, nil)
	f.store.Put(platform.ServersTopic, id, entry.RegistrationAt(listener.Addr().String(), "s", "zone-a", "ready"))
	entry.Close()
}

func always(b platformtest.Behavior) func(int, platformtest.Run) platformtest.Behavior {
	return func(int, platformtest.Run) platformtest.Behavior { return b }
}

func (f *fixture) settings(vm string) Settings {
	addresses, err := loopback.FreeAddresses(5)
	if err != nil {
		f.t.Fatal(err)
	}
	var settings Settings
	settings.Schema()
	settings.VM, settings.AvailabilityZone, settings.FirstStart = vm, "zone-a", true
	settings.CallerAddress, settings.ReadyAddress, settings.DirectoryAddress, settings.PeerAddress, settings.MetricsAddress = addresses[0], addresses[1], addresses[2], addresses[3], addresses[4]
	settings.StoreAddress, settings.CloudAddress = f.store.Address(), f.store.Address()
	return settings
}

// startNode starts a node and waits until it is ready and has the given number of
// servers.
func (f *fixture) startNode(vm string, servers int) *Node {
	f.t.Helper()
	n, err := Start(f.settings(vm), f.logs)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(n.Close)
	f.eventually("node is ready", func() bool { return n.Ready() && n.backends.count() == servers })
	return n
}

func (f *fixture) eventually(condition string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("timed out waiting for condition: %s", condition)
}

// call describes a caller's request.
type call struct {
	method, path, key, id, body string
	header                      map[string]string
}

func (c call) request(t testing.TB, ctx context.Context, n *Node) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+n.settings.CallerAddress+c.path, strings.NewReader(c.body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("Coltsfootpath-Request-Id", c.id)
	r.Header.Set("Coltsfootpath-Deadline-Ms", "2500")
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	for k, v := range c.header {
		r.Header.Set(k, v)
	}
	return r
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// do sends a call over a new connection.
func do(t testing.TB, n *Node, c call) reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(c.request(t, ctx, n))
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(body), err}
}

func TestAnswerIsForwardedUnchanged(t *testing.T) {
	f := newFixture(t)
	s := f.addServer("s-1", nil)
	n := f.startNode("vm-1", 1)
	got := do(t, n, call{method: "POST", path: "/again/x%2Fy//z?q=%20", key: "key-w", id: "id-1", body: "some body"})
	if got.status != http.StatusOK || got.body != "answer of s-1 to id-1" || got.header.Get("Coltsfootpath-Engine-Seal") != "seal-s-1" {
		t.Fatalf("got %+v", got)
	}
	run := s.Runs()[0]
	if run.Target != "/again/x%2Fy//z?q=%20" || run.Body != "some body" || run.Method != "POST" {
		t.Errorf("the server received %+v", run)
	}
	if run.Header.Get("Coltsfootpath-Tenant") != "w" || run.Header.Get("Authorization") != "" {
		t.Errorf("headers %v", run.Header)
	}
}

func TestReservedRequestHeadersAreDropped(t *testing.T) {
	f := newFixture(t)
	s := f.addServer("s-1", nil)
	n := f.startNode("vm-1", 1)
	sent := map[string]string{
		"Coltsfootpath-Kv-Hold": "1", "Coltsfootpath-Pin-Ms": "1", "Coltsfootpath-Kv-Backup": "1", "Kv-From": "1", "Kv-Fetch": "1",
		"Coltsfootpath-Tenant": "other", "Coltsfootpath-Expect-Version": "9", "Coltsfootpath-Request-Priority": "0",
		"X-Own": "kept", "X-Hop": "dropped", "Connection": "X-Hop",
	}
	do(t, n, call{method: "GET", path: "/again/x", key: "key-w", id: "id-1", header: sent})
	got := s.Runs()[0].Header
	for name := range sent {
		if value := got.Get(name); value == sent[name] && name != "X-Own" {
			t.Errorf("%s: %q reached the server", name, value)
		}
	}
	if got.Get("X-Own") != "kept" || got.Get("Coltsfootpath-Expect-Engine") != "s-1" {
		t.Errorf("headers %v", got)
	}
}

func TestRejections(t *testing.T) {
	f := newFixture(t)
	s := f.addServer("s-1", nil)
	n := f.startNode("vm-1", 1)
	for _, c := range []struct {
		name   string
		call   call
		status int
	}{
		{"no route", call{method: "GET", path: "/none/", key: "key-w", id: "1"}, http.StatusNotFound},
		{"no key", call{method: "GET", path: "/again/x", id: "2"}, http.StatusUnauthorized},
		{"wrong key", call{method: "GET", path: "/again/x", key: "other", id: "3"}, http.StatusUnauthorized},
		{"no id", call{method: "GET", path: "/again/x", key: "key-w"}, http.StatusBadRequest},
		{"long body", call{method: "POST", path: "/again/x", key: "key-w", id: "4", body: strings.Repeat("x", 5000)}, http.StatusRequestEntityTooLarge},
		{"long head", call{method: "GET", path: "/again/x", key: "key-w", id: "5", header: map[string]string{"X-Long": strings.Repeat("x", 20000)}}, http.StatusRequestHeaderFieldsTooLarge},
	} {
		if got := do(t, n, c.call); got.status != c.status {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
	if got := do(t, n, call{method: "GET", path: "/public/x", id: "6"}); got.status != http.StatusOK {
		t.Errorf("public: %+v", got)
	}
	if len(s.Runs()) != 1 {
		t.Errorf("%d runs, want 1", len(s.Runs()))
	}
	f.eventually("rejection is logged", func() bool { return f.logs.hasLine("request refused", "reason=unknown-key", "status=401") })
}

// TestConflictingLengthsCloseConnection sends a request with another one smuggled
// into its body, in the two ways in which the gateway and a server could disagree
// on the length.
func TestConflictingLengthsCloseConnection(t *testing.T) {
	f := newFixture(t)
	s := f.addServer("s-1", nil)
	n := f.startNode("vm-1", 1)
	inner := "POST /once/inner HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-w\r\nColtsfootpath-Request-Id: smuggled\r\nContent-Length: 0\r\n\r\n"
	for _, lengths := range []string{
		fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n", len(inner)),
		fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(inner)),
	} {
		c, err := net.Dial("tcp", n.settings.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		body := inner
		if strings.Contains(lengths, "chunked") {
			body = "0\r\n\r\n" + inner
		}
		fmt.Fprintf(c, "POST /again/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-w\r\nColtsfootpath-Request-Id: outer\r\n%s\r\n%s", lengths, body)
		_ = c.SetReadDeadline(time.Now().Add(testTimeout))
		data, _ := io.ReadAll(c)
		if !strings.HasPrefix(string(data), "HTTP/1.1 400") || strings.Count(string(data), "HTTP/1.1") != 1 {
			t.Errorf("%q: got %q", lengths, data)
		}
		c.Close()
	}
	for _, run := range s.Runs() {
		t.Errorf("the server ran %+v", run)
	}
}

func TestRepeatableRequestIsRetried(t *testing.T) {
	for _, e := range []platformtest.Behavior{platformtest.ServerError, platformtest.RejectNotRun, platformtest.ResetBeforeAnswer, platformtest.TruncateAnswer, platformtest.NoAnswer, platformtest.OmitSeal} {
		f := newFixture(t)
		first := func(n int, r platformtest.Run) platformtest.Behavior { return e }
		bad, good := f.addServer("bad", first), f.addServer("good", nil)
		n := f.startNode("vm-1", 2)
		for i := range 8 {
			if got := do(t, n, call{method: "GET", path: "/again/x", key: "key-w", id: fmt.Sprint("id-", i)}); got.status != http.StatusOK || got.header.Get("Coltsfootpath-Engine-Seal") != "seal-good" {
				t.Errorf("behavior %+v: %+v", e, got)
			}
		}
		if len(good.Runs()) != 8 {
			t.Errorf("behavior %+v: %d runs at the good server, %d at the bad one", e, len(good.Runs()), len(bad.Runs()))
		}
	}
}

// TestRequestsSucceedWhileMostServersAreUnreachable: entries of stopped servers
// remain while the store is unavailable. 2,100 requests were rejected after six
// attempts on such servers, although 30 other servers were running. Seen on
// emac-hokkaido-grown trouble-3.
func TestRequestsSucceedWhileMostServersAreUnreachable(t *testing.T) {
	f := newFixture(t)
	f.addServer("s-live", nil)
	unreachable, err := loopback.FreeAddresses(14)
	if err != nil {
		t.Fatal(err)
	}
	for i, address := range unreachable {
		entry := platformtest.NewServer("unused", nil)
		f.store.Put(platform.ServersTopic, fmt.Sprint("s-gone-", i), entry.RegistrationAt(address, "s", "zone-a", "ready"))
		entry.Close()
	}
	n := f.startNode("vm-1", 1+len(unreachable))
	for i := range 4 {
		if got := do(t, n, call{method: "POST", path: "/once/x", key: "key-w", id: fmt.Sprint("r-", i)}); got.status != http.StatusOK {
			t.Errorf("request %d: status %d", i, got.status)
		}
	}
}

// TestNonRepeatableRequestRunsAtMostOnce covers each failure after which it is
// unknown whether the server ran the request.
func TestNonRepeatableRequestRunsAtMostOnce(t *testing.T) {
	for _, e := range []platformtest.Behavior{platformtest.ServerError, platformtest.ResetBeforeAnswer, platformtest.TruncateAnswer, platformtest.OmitSeal} {
		f := newFixture(t)
		a, b := f.addServer("a", always(e)), f.addServer("b", always(e))
		n := f.startNode("vm-1", 2)
		got := do(t, n, call{method: "POST", path: "/once/x", key: "key-w", id: "id-1", body: "x"})
		if runs := len(a.Runs()) + len(b.Runs()); runs != 1 {
			t.Errorf("behavior %+v: %d runs, want 1", e, runs)
		}
		want := http.StatusBadGateway
		if e == platformtest.ServerError {
			want = http.StatusInternalServerError
		}
		if got.status != want {
			t.Errorf("behavior %+v: %+v", e, got)
		}
	}
}

// TestRequestRejectedByFullServersDidNotRun: all servers reject the request for
// lack of capacity. The gateway must answer 503 with Retry-After, and no server
// may have run the request.
func TestRequestRejectedByFullServersDidNotRun(t *testing.T) {
	f := newFixture(t)
	a, b := f.addServer("a", always(platformtest.RejectNotRun)), f.addServer("b", always(platformtest.RejectNotRun))
	n := f.startNode("vm-1", 2)
	got := do(t, n, call{method: "POST", path: "/once/x", key: "key-w", id: "id-1", body: "x"})
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || len(a.Runs())+len(b.Runs()) != 0 {
		t.Fatalf("got %+v", got)
	}
}

func eventText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString(platformtest.Event(i))
	}
	return b.String()
}

// TestResumableStreamContinuesOnAnotherServer breaks the first answer off within
// its second event. The caller must receive each event once, under the first
// head.
func TestResumableStreamContinuesOnAnotherServer(t *testing.T) {
	f := newFixture(t)
	first := func(_ int, r platformtest.Run) platformtest.Behavior {
		if r.LastEvent < 0 {
			return platformtest.TruncateAnswer
		}
		return platformtest.CompleteAnswer
	}
	a, b := f.addServer("a", first), f.addServer("b", first)
	n := f.startNode("vm-1", 2)
	got := do(t, n, call{method: "POST", path: "/stream/x", key: "key-w", id: "id-1", body: "x"})
	if got.err != nil || got.status != http.StatusOK || got.body != eventText(1, platformtest.EventCount) {
		t.Fatalf("got %+v", got)
	}
	runs := append(a.Runs(), b.Runs()...)
	if len(runs) != 2 || runs[0].LastEvent+runs[1].LastEvent != 0 {
		t.Errorf("runs %+v", runs)
	}
}

// TestBrokenStreamDoesNotLookComplete: the answer to a caller is aborted if its
// stream breaks off and must not be resumed.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	f := newFixture(t)
	a, b := f.addServer("a", always(platformtest.TruncateAnswer)), f.addServer("b", always(platformtest.TruncateAnswer))
	n := f.startNode("vm-1", 2)
	got := do(t, n, call{method: "POST", path: "/fixedstream/x", key: "key-w", id: "id-1", body: "x"})
	if got.err == nil {
		t.Errorf("the broken answer looks complete: %+v", got)
	}
	if got.body != eventText(1, 1) || len(a.Runs())+len(b.Runs()) != 1 {
		t.Errorf("got %q", got.body)
	}
}

// TestSurplusAnswerIsDiscarded keeps a connection to a server that answers each
// request twice. The surplus answer must not reach the next caller.
func TestSurplusAnswerIsDiscarded(t *testing.T) {
	f := newFixture(t)
	f.addServer("s-1", always(platformtest.DuplicateAnswer))
	n := f.startNode("vm-1", 1)
	for i := range 30 {
		id := fmt.Sprint("id-", i)
		got := do(t, n, call{method: "GET", path: "/again/x", key: "key-w", id: id})
		if got.status != http.StatusOK || got.body != "answer of s-1 to "+id {
			t.Fatalf("%s: %+v", id, got)
		}
	}
}

func TestAnswerWithoutLengthIsForwarded(t *testing.T) {
	f := newFixture(t)
	f.addServer("s-1", always(platformtest.OmitLength))
	n := f.startNode("vm-1", 1)
	if got := do(t, n, call{method: "GET", path: "/again/x", key: "key-w", id: "i"}); got.status != http.StatusOK || got.body != "answer of s-1 to i" {
		t.Fatalf("got %+v", got)
	}
}

func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	f := newFixture(t)
	s := f.addServer("s-1", always(platformtest.NoAnswer))
	n := f.startNode("vm-1", 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		f.eventually("the request runs", func() bool { return len(s.Runs()) == 1 })
		cancel()
	}()
	c := call{method: "POST", path: "/once/x", key: "key-w", id: "id-1", body: "x"}
	if _, err := http.DefaultClient.Do(c.request(t, ctx, n)); err == nil {
		t.Fatal("a cancelled request got an answer")
	}
	f.eventually("the server's connection is closed", func() bool { return s.Abandoned() == 1 })
}

// TestTimeoutAfterSendingIsGatewayTimeout: a request that was sent must not be
// reported as not run.
func TestTimeoutAfterSendingIsGatewayTimeout(t *testing.T) {
	f := newFixture(t)
	f.addServer("s-1", always(platformtest.NoAnswer))
	n := f.startNode("vm-1", 1)
	got := do(t, n, call{method: "POST", path: "/once/x", key: "key-w", id: "id-1", header: map[string]string{"Coltsfootpath-Deadline-Ms": "300"}})
	if got.status != http.StatusGatewayTimeout {
		t.Fatalf("got %+v", got)
	}
}

func TestQuotaRejectionHasRetryAfter(t *testing.T) {
	f := newFixture(t)
	f.addServer("s-1", nil)
	n := f.startNode("vm-1", 1)
	rejected := 0
	for i := range 6 {
		got := do(t, n, call{method: "GET", path: "/again/x", key: "key-small", id: fmt.Sprint(i)})
		if got.status == http.StatusTooManyRequests {
			rejected++
			if got.header.Get("Retry-After") == "" {
				t.Error("rejection without a Retry-After header")
			}
		}
	}
	if rejected < 3 {
		t.Errorf("%d of 6 requests rejected, want at least 3", rejected)
	}
}

func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	f := newFixture(t)
	a, b := f.addServer("a", nil), f.addServer("b", nil)
	n := f.startNode("vm-1", 2)
	f.store.Put(platform.ServersTopic, "a", a.Registration("s", "zone-a", "draining"))
	f.eventually("the entry of the leaving server is applied", func() bool { return f.logs.hasLine("servers entry", "server=a", "leaving=true") })
	for i := range 20 {
		if got := do(t, n, call{method: "GET", path: "/again/x", key: "key-w", id: fmt.Sprint(i)}); got.status != http.StatusOK {
			t.Errorf("request %d: status %d, %v", i, got.status, got.err)
		}
	}
	if len(a.Runs()) != 0 || len(b.Runs()) != 20 {
		t.Errorf("%d runs on the leaving server and %d on the other, want 0 and 20", len(a.Runs()), len(b.Runs()))
	}
}

// TestRecordMissingFromListingIsRead: the store's listing lacks a record that its
// end offset counts, as when a record arrives while the listing is composed.
func TestRecordMissingFromListingIsRead(t *testing.T) {
	f := newFixture(t)
	f.addServer("a", nil)
	b := platformtest.NewServer("b", nil)
	t.Cleanup(b.Close)
	f.store.Put(platform.ServersTopic, "b", b.Registration("s", "zone-a", "ready"))
	f.store.OmitFromNextListing("b")
	f.startNode("vm-1", 2)
}

func TestMalformedServerEntriesAreIgnored(t *testing.T) {
	f := newFixture(t)
	f.addServer("a", nil)
	for i, text := range []string{`{`, `{"service":5}`, `{"service":"s","address":"127.0.0.1:1","zone":"z","slots":1,"state":"odd"}`, `null`, `[]`} {
		f.store.Put(platform.ServersTopic, fmt.Sprint("foreign-", i), []byte(text))
	}
	n := f.startNode("vm-1", 1)
	f.store.Put(platform.ServersTopic, "a", []byte(`{"service":7}`))
	f.eventually("the malformed entries are logged", func() bool {
		return f.logs.hasLine("servers unreadable", "server=foreign-4") && f.logs.hasLine("servers unreadable", "server=a")
	})
	if n.backends.count() != 1 {
		t.Errorf("%d servers, want 1", n.backends.count())
	}
}

// TestNodeWithoutStoreReadsFromPeer: the store rejects all calls after the first
// node has read it; the second node starts after that.
func TestNodeWithoutStoreReadsFromPeer(t *testing.T) {
	f := newFixture(t)
	f.addServer("a", nil)
	first := f.startNode("vm-1", 1)
	f.store.RejectAll(http.StatusServiceUnavailable)
	second, err := Start(f.settings("vm-2"), f.logs)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(second.Close)
	second.members.add(first.members.identity())
	f.eventually("the second node is ready", second.Ready)
	if got := do(t, second, call{method: "GET", path: "/again/x", key: "key-w", id: "i"}); got.status != http.StatusOK {
		t.Errorf("got %+v", got)
	}
}

// TestDocumentIsReadFromStoreWhenPeersDoNotAnswer: many nodes read a large
// document from a peer with a slow link. 12 nodes repeated such calls, which took
// half a second each, and the nodes that read the store cancelled their reads to
// call the peer too. Seen on emac-hokkaido-grown trouble-2 --small (CONFIG,
// DENIED).
func TestDocumentIsReadFromStoreWhenPeersDoNotAnswer(t *testing.T) {
	const peers = 12
	f := newFixture(t)
	f.addServer("a", nil)
	// This name is last in the order in which VMs become readers.
	n := f.startNode("z", 1)
	var digests []*gossip.Digest
	for i := range peers {
		// The peer accepts connections and never answers.
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		d := &gossip.Digest{ReadsStore: true}
		d.VM, d.Incarnation, d.AvailabilityZone, d.PeerAddress = string(rune('a'+i)), 1, "zone-a", listener.Addr().String()
		digests = append(digests, d)
	}
	receiveDigests := func(end storelog.Position) {
		for _, d := range digests {
			d.Sequence++
			d.DocumentEnd = end
			copied := *d
			n.members.handleDigest(&copied, n.now())
		}
	}
	f.eventually("the node relies on its peers for reading", func() bool {
		receiveDigests(1)
		return n.members.mayRelyOnReaders()
	})
	f.putDocument(2)
	f.eventually("the new document is active", func() bool {
		receiveDigests(2)
		return n.document.Load().Version == 2
	})
}

// TestRelayReportsKeysDeletedBeforeItStarted: a node that has read only the
// newest record of each key can't list the keys deleted before. Servers stayed in
// use for that reason after all nodes had restarted. Seen in fault searches.
func TestRelayReportsKeysDeletedBeforeItStarted(t *testing.T) {
	f := newFixture(t)
	f.addServer("a", nil)
	b := f.addServer("b", nil)
	old := f.startNode("vm-1", 2)
	f.store.RejectAll(http.StatusServiceUnavailable)
	f.eventually("the store is unavailable", func() bool { return f.logs.hasLine("store lost", "keyed.servers") })
	f.store.Put(platform.ServersTopic, "a", nil)
	f.store.Put(platform.ServersTopic, "b", b.Registration("s", "zone-a", "ready"))
	relay := topicview.New(topicview.Config{Version: serverRecordVersion})
	relay.ApplyListing([]topicview.Record{{Key: "b", Value: b.Registration("s", "zone-a", "ready"), Position: 3}}, 4, old.now())
	records, full := relay.Since(old.serverFollower.end())
	old.serverFollower.applyReply(&relayapi.RecordsReply{Records: records, End: relay.End(), Full: full})
	f.eventually("the deleted server is removed", func() bool { return f.logs.hasLine("servers gone", "server=a") })
}

// TestStartingNodeRestoresMoveStatus: the status must be restored before any node
// holds the lease. After all VMs had lost power, 1,500 requests were rejected
// because all servers were of the version moved to. Seen on detsporenie-tt-grown
// trouble-1.
func TestStartingNodeRestoresMoveStatus(t *testing.T) {
	f := newFixture(t)
	s := platformtest.NewServer("s-1", nil)
	t.Cleanup(s.Close)
	entry := strings.Replace(string(s.Registration("s", "zone-a", "ready")), `"v1"`, `"v2"`, 1)
	f.store.Put(platform.ServersTopic, "s-1", []byte(entry))
	f.store.Put(platform.OperatorTopic, platform.MoveKeyPrefix+"s", []byte(`{"service":"s","target":"v2","durationS":10}`))
	key, value, err := platform.MoveStatus("s", "v2", platform.MoveDone)
	if err != nil {
		t.Fatal(err)
	}
	f.store.Put(platform.StatusTopic, key, value)
	f.store.AppendRecord(dutyTopic, []byte(`{"vm":"another","incarnation":1,"claim":true}`))
	n := f.startNode("vm-1", 1)
	f.eventually("the request is served", func() bool {
		return do(t, n, call{method: "GET", path: "/again/x", key: "key-w", id: "r-1"}).status == http.StatusOK
	})
	if _, _, holds := n.duties.leaseState(n.now()); holds {
		t.Error("the request was served only after this node had acquired the lease")
	}
}

func TestNodeRecoversFromTrimmedTopic(t *testing.T) {
	f := newFixture(t)
	f.addServer("a", nil)
	n := f.startNode("vm-1", 1)
	f.store.RejectAll(http.StatusServiceUnavailable)
	f.eventually("the store is unavailable", func() bool { return f.logs.hasLine("store lost") })
	f.putDocument(2)
	f.store.Trim(platform.OperatorTopic)
	f.store.RejectAll(0)
	f.eventually("the new document is active", func() bool { return n.document.Load().Version == 2 })
}

func TestUsageReportsAreConsistent(t *testing.T) {
	f := newFixture(t)
	f.addServer("a", nil)
	n := f.startNode("vm-1", 1)
	n.settings.UsageWindow = time.Second
	m := f.startNode("vm-2", 1)
	m.settings.UsageWindow = time.Second
	f.eventually("both nodes have discovered each other", func() bool { return n.members.count() == 2 && m.members.count() == 2 })
	for i := range 12 {
		node := n
		if i%3 == 0 {
			node = m
		}
		do(t, node, call{method: "GET", path: "/again/x", key: "key-w", id: fmt.Sprint(i)})
	}
	total := func() int {
		sum := 0
		for _, w := range f.store.Windows() {
			reports := f.store.UsageReports(w)
			for _, r := range reports {
				if fmt.Sprint(r.Counts) != fmt.Sprint(reports[0].Counts) {
					t.Errorf("window %d reported both as %v and as %v", w, reports[0].Counts, r.Counts)
				}
			}
			sum += reports[0].Counts["w"]
		}
		return sum
	}
	f.eventually("all requests are reported", func() bool { return total() == 12 })
}

func TestDrainServesNewRequestsAndEnds(t *testing.T) {
	f := newFixture(t)
	f.addServer("a", nil)
	n := f.startNode("vm-1", 1)
	ended := make(chan error, 1)
	go func() { ended <- n.Drain(context.Background()) }()
	f.eventually("the node is not ready", func() bool { return !n.Ready() })
	got := do(t, n, call{method: "GET", path: "/again/x", key: "key-w", id: "i"})
	if got.status != http.StatusOK {
		t.Errorf("got %+v", got)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the drain did not end")
	}
}

// TestClosingNodeRejectsNewRequests holds a long request open beyond the time for
// which a draining node serves. A request that arrives then could not be answered
// in time.
func TestClosingNodeRejectsNewRequests(t *testing.T) {
	f := newFixture(t)
	s := f.addServer("a", func(n int, _ platformtest.Run) platformtest.Behavior {
		if n == 0 {
			return platformtest.NoAnswer
		}
		return platformtest.CompleteAnswer
	})
	n := f.startNode("vm-1", 1)
	go do(t, n, call{method: "POST", path: "/once/long", key: "key-w", id: "long"})
	f.eventually("the long request runs", func() bool { return len(s.Runs()) == 1 })
	ended := make(chan error, 1)
	go func() { ended <- n.Drain(context.Background()) }()
	f.eventually("the node rejects new requests", n.closing.Load)
	got := do(t, n, call{method: "POST", path: "/once/new", key: "key-w", id: "new"})
	if got.err == nil && (got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "") || len(s.Runs()) != 1 {
		t.Errorf("got %+v, %d runs", got, len(s.Runs()))
	}
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the drain did not end")
	}
}

func TestKeepAliveConnectionServesManyRequests(t *testing.T) {
	f := newFixture(t)
	f.addServer("a", nil)
	n := f.startNode("vm-1", 1)
	c, err := net.Dial("tcp", n.settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	reader := bufio.NewReader(c)
	for i := range 20 {
		fmt.Fprintf(c, "GET /again/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-w\r\nColtsfootpath-Request-Id: id-%d\r\n\r\n", i)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || string(body) != fmt.Sprintf("answer of a to id-%d", i) {
			t.Fatalf("%q, %v", body, err)
		}
	}
}
