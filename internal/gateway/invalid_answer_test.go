package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// scriptedServer is a backend server that gives its answers as bytes.
type scriptedServer struct {
	id    string
	trial *answerFormTrial
}

func (s *scriptedServer) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for broken := ""; ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if broken != "" {
			s.trial.t.Errorf("%s %s was sent on the connection of the broken answer to %s", r.Method, r.URL.Path, broken)
		}
		id := r.Header.Get("Coltsfootpath-Request-Id")
		if id == "" {
			_, _ = io.WriteString(c, s.trial.answerToCheck())
			continue
		}
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		answer, isBroken, ends := s.trial.answerTo(s.id, id, last)
		_, _ = io.WriteString(c, answer)
		if ends {
			return
		}
		if isBroken {
			broken = id
		}
	}
}

// scriptedRequest describes the answers to one request. The first run is answered in the given
// form, later ones in the usual one.
type scriptedRequest struct {
	id, path string
	form     answerForm
	framing  string
	status   string
	// statements are fields of the first answer.
	statements []string
	// isBroken is set if the first answer is broken.
	isBroken bool
}

func (r scriptedRequest) String() string {
	return fmt.Sprintf("%s, %s, %s, status %s", r.form.name, r.path, r.framing, r.status)
}

func (r scriptedRequest) isStream() bool { return strings.Contains(r.path, "stream") }

// isWhole reports whether a body is the one of a success.
func (r scriptedRequest) isWhole(body string) bool {
	if r.isStream() {
		return body == eventText(1, platformtest.EventCount)
	}
	return body == "answer of s-1 to "+r.id || body == "answer of s-2 to "+r.id
}

// answerFormTrial sends requests to servers that answer in unusual forms.
type answerFormTrial struct {
	*fixture
	node  *Node
	nodes []*Node
	// links are those of node to the servers if it sends requests through another node.
	links *links

	mu sync.Mutex
	// checkField is a field of answers to checks.
	checkField string
	requests   map[string]scriptedRequest
	runs       map[string]int
}

// answerTo returns the bytes of the next answer to a request, whether they are broken, and whether
// the connection ends with them.
func (b *answerFormTrial) answerTo(server, id string, lastEvent int) (answer string, isBroken, ends bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
	r := b.requests[id]
	h := usualAnswer{status: "200 OK", framing: byLength, body: "answer of " + server + " to " + id}
	h.fields = []string{"Coltsfootpath-Request-Id: " + id, "Coltsfootpath-Engine-Seal: seal", "X-Own: own", fmt.Sprintf("X-Run: %d", b.runs[id])}
	if r.isStream() {
		h.body = ""
		for i := lastEvent + 1; i <= platformtest.EventCount; i++ {
			h.body += platformtest.Event(i)
		}
	}
	if b.runs[id] > 1 || r.form.encode == nil {
		return h.encode(), false, false
	}
	h.status, h.framing, h.fields = r.status, r.framing, append(h.fields, r.statements...)
	if !strings.HasPrefix(h.status, "200") {
		h.body = "failure"
	}
	return r.form.encode(h), r.isBroken, h.framing == unframed || r.form.closes
}

// answerToCheck returns the answer to a check.
func (b *answerFormTrial) answerToCheck() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return "HTTP/1.1 200 OK\r\n" + b.checkField + "Content-Length: 2\r\n\r\n{}"
}

// newAnswerFormTrial starts a node that is linked to the servers, or one that sends requests
// through another node.
func newAnswerFormTrial(t *testing.T, isTunneled bool) *answerFormTrial {
	b := &answerFormTrial{fixture: newFixture(t), requests: map[string]scriptedRequest{}, runs: map[string]int{}}
	serverIDs := []string{"s-1", "s-2"}
	for _, id := range serverIDs {
		b.serveConnections(id, (&scriptedServer{id: id, trial: b}).serve)
	}
	b.links = newLinks()
	dials := []func(context.Context, *net.Dialer, string) (net.Conn, error){nil}
	if isTunneled {
		dials = append(dials, b.links.dial)
	}
	for i, dial := range dials {
		n := newNode(b.settings(fmt.Sprint("vm-", i)), b.logs)
		if dial != nil {
			n.backends.dial = dial
		}
		if err := n.start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		b.nodes = append(b.nodes, n)
	}
	for _, n := range b.nodes {
		b.eventually("nodes are ready and know each other", func() bool {
			return n.Ready() && n.backends.count() == len(serverIDs) && n.members.count() == len(b.nodes)
		})
		settings := n.settings
		settings.RetrySlack = 10_000
		n.Reload(settings)
	}
	b.node = b.nodes[len(b.nodes)-1]
	if isTunneled {
		b.links.set(linksRefuse)
		b.eventually("the cut is noticed", func() bool {
			do(t, b.node, call{method: "POST", path: "/again/x", key: "key-w", id: "first", body: "first"})
			return b.node.usesTunnels("s")
		})
	}
	return b
}

// send sends a request and returns its answer, nil if none was received, and the number of runs.
func (b *answerFormTrial) send(r scriptedRequest) (resp *http.Response, body string, runs int, err error) {
	b.mu.Lock()
	b.requests[r.id] = r
	b.mu.Unlock()
	conn, err := rawCallers[0].open(b.node, r.path+r.id, r.id, "body "+r.id, 2500*time.Millisecond)
	if err != nil {
		b.t.Fatal(err)
	}
	defer conn.Close()
	resp, err = http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		body = string(data)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return resp, body, b.runs[r.id], err
}

// checkBroken sends a request whose first answer is broken, and checks what its caller gets.
func (b *answerFormTrial) checkBroken(r scriptedRequest) {
	r.isBroken = true
	resp, body, runs, err := b.send(r)
	mayRetry := r.path == "/again/" || r.path == "/stream/"
	switch {
	case mayRetry:
		if err != nil || resp.StatusCode != http.StatusOK || !r.isWhole(body) || runs != 2 || !r.isStream() && resp.Header.Get("X-Run") != "2" {
			b.t.Errorf("%s: %s, error %v, %q after %d runs, want the answer of the second run", r, describeHead(resp), err, body, runs)
		}
	case runs != 1:
		b.t.Errorf("%s: %d runs, want 1", r, runs)
	case err != nil:
		// A stream that has begun is broken off. The head that has begun it was valid.
		if resp == nil || !r.isStream() || r.form.isHeadInvalid() {
			b.t.Errorf("%s: error %v", r, err)
		}
	case resp.StatusCode != http.StatusBadGateway || body != "" || resp.Header.Get("Retry-After") != "" || resp.Header.Get("Coltsfootpath-Not-Run") != "" || resp.Header.Get("X-Own") != "":
		b.t.Errorf("%s: %s, %q, want 502 without a statement", r, describeHead(resp), body)
	}
}

// checkWhole sends a request whose answers are valid, and checks that its caller gets one.
func (b *answerFormTrial) checkWhole(r scriptedRequest) {
	resp, body, _, err := b.send(r)
	if err != nil || resp.StatusCode != http.StatusOK || !r.isWhole(body) {
		b.t.Errorf("%s: %s, error %v, %q, want the whole answer", r, describeHead(resp), err, body)
	}
}

func describeHead(resp *http.Response) string {
	if resp == nil {
		return "no answer"
	}
	return fmt.Sprintf("status %d, fields %q", resp.StatusCode, resp.Header)
}

// checkStatements checks that nothing was believed that a broken head has stated.
func (b *answerFormTrial) checkStatements() {
	for _, line := range []string{"servers announced-leaving", "servers backoff", "servers limit", "servers brittle", "attempt not-run"} {
		if b.logs.hasLine(line) {
			b.t.Errorf("%q was logged: the statement in a broken head is believed", line)
		}
	}
	for _, n := range b.nodes {
		for _, p := range n.backends.probeCandidates("s", n.now()) {
			if n.backends.isLimited(p.server) || n.places.isBrittle(p.server) || n.backends.cold.IsCold(p.server.id, n.now()) {
				b.t.Errorf("%s: the limits in a broken head are believed", p.server.id)
			}
		}
		if got := len(n.backends.probeCandidates("s", n.now())); got != 2 {
			b.t.Errorf("%s may send requests to %d of 2 servers", n.settings.VM, got)
		}
	}
}

// forEach calls check with a request for each form, kind of route and framing.
func forEach(forms []answerForm, check func(scriptedRequest), change func(*scriptedRequest)) {
	count := 0
	for _, form := range forms {
		for _, path := range []string{"/once/", "/again/", "/stream/", "/fixedstream/"} {
			for _, framing := range []string{byLength, byChunks, unframed} {
				if form.framing == "" || form.framing == framing {
					count++
					r := scriptedRequest{id: fmt.Sprint("id-", count), path: path, form: form, framing: framing, status: "200 OK"}
					change(&r)
					check(r)
				}
			}
		}
	}
}

// TestInvalidAnswerIsPassedOn: an answer that RFC 9112 does not allow must be treated as broken on
// each kind of route, whether it states success or failure, directly and through a tunnel.
func TestInvalidAnswerIsPassedOn(t *testing.T) {
	t.Parallel()
	for _, isTunneled := range []bool{false, true} {
		for _, status := range []string{"200 OK", "404 Not OK", "500 Not OK", "503 Not OK"} {
			t.Run(fmt.Sprintf("tunnel %v, %s", isTunneled, status[:3]), func(t *testing.T) {
				t.Parallel()
				forEach(allInvalidAnswers(), newAnswerFormTrial(t, isTunneled).checkBroken, func(r *scriptedRequest) { r.status = status })
			})
		}
	}
}

// TestStatementInInvalidHeadIsBelieved: nothing that a broken head states about its server or its
// request must be used, neither by the node that sent the request nor by one that tunnels it.
func TestStatementInInvalidHeadIsBelieved(t *testing.T) {
	t.Parallel()
	for _, isTunneled := range []bool{false, true} {
		for _, v := range []struct {
			name, status string
			statements   []string
		}{
			{"leaving", "200 OK", []string{"Server-Leaving: 1"}},
			{"limits", "200 OK", []string{"Server-Limit: 1", "Server-Brittle: 1", "Coltsfootpath-Cold-Ms: 60000"}},
			{"backoff", "503 Not OK", []string{"Retry-After: 60"}},
			{"not run", "503 Not OK", []string{"Coltsfootpath-Not-Run: 1"}},
		} {
			t.Run(fmt.Sprintf("tunnel %v, %s", isTunneled, v.name), func(t *testing.T) {
				t.Parallel()
				b := newAnswerFormTrial(t, isTunneled)
				forms := slices.DeleteFunc(allInvalidAnswers(), func(f answerForm) bool { return !f.isHeadInvalid() })
				forEach(forms, b.checkBroken, func(r *scriptedRequest) { r.status, r.statements = v.status, v.statements })
				b.checkStatements()
			})
		}
	}
}

// TestInvalidAnswerToCheckCountsAgainstLinks: an answer to a check that is broken is no check
// passed, but it shows that the server is reached.
func TestInvalidAnswerToCheckCountsAgainstLinks(t *testing.T) {
	t.Parallel()
	b := newAnswerFormTrial(t, true)
	b.mu.Lock()
	b.checkField = "X Note: v\r\n"
	b.mu.Unlock()
	b.links.set(linksUp)
	b.eventually("the links are restored", func() bool { return !b.node.links.IsCut("s") })
	for _, p := range b.node.backends.probeCandidates("s", b.node.now()) {
		connection, err := b.node.connectReplacement(t.Context(), p, b.node.checkRequest(p))
		if err == nil {
			connection.Release()
			t.Errorf("%s has passed a check with a broken answer", p.server.id)
		}
		if b.node.links.HasFailed("s", p.server.id) || b.node.links.IsSuspected("s") {
			t.Errorf("%s: the broken answer to a check counts against the links", p.server.id)
		}
	}
}

// TestUnusualAnswerIsLost: callers get answers that are unusual and valid.
func TestUnusualAnswerIsLost(t *testing.T) {
	t.Parallel()
	for _, isTunneled := range []bool{false, true} {
		t.Run(fmt.Sprint("tunnel ", isTunneled), func(t *testing.T) {
			t.Parallel()
			b := newAnswerFormTrial(t, isTunneled)
			lost := b.logs.countLines("attempt lost")
			forEach(validAnswers, b.checkWhole, func(*scriptedRequest) {})
			if now := b.logs.countLines("attempt lost"); now > lost {
				t.Errorf("%d attempts were lost", now-lost)
			}
		})
	}
}

// TestUnusualFieldsAreChanged: unusual fields that RFC 9112 allows reach callers as the server has
// sent them, in answers of success and of failure.
func TestUnusualFieldsAreChanged(t *testing.T) {
	t.Parallel()
	want := http.Header{
		"X-Bytes": {"\xe9\xff\x80"}, "X-Empty": {""}, "X-Blanks": {"a \t b"}, "X-Marks": {"\"(;:,\\"}, "X-Twice": {"1", "2"}, "X!#$%&'*+-.^_`|~": {"v"},
	}
	for i := range 300 {
		want[fmt.Sprint("X-Field-", i)] = []string{fmt.Sprint("value ", i)}
	}
	var fields []string
	for name, values := range want {
		for _, v := range values {
			fields = append(fields, name+": \t"+v+" ")
		}
	}
	for _, isTunneled := range []bool{false, true} {
		b := newAnswerFormTrial(t, isTunneled)
		for _, status := range []string{"200", "404"} {
			forEach(validAnswers[:1], func(r scriptedRequest) {
				r.id += "-" + status
				resp, _, _, err := b.send(r)
				if err != nil || fmt.Sprint(resp.StatusCode) != status {
					t.Errorf("tunnel %v, %s: %s, error %v", isTunneled, r, describeHead(resp), err)
					return
				}
				for name, values := range want {
					if !slices.Equal(resp.Header[name], values) {
						t.Errorf("tunnel %v, %s: %s is %q, want %q", isTunneled, r, name, resp.Header[name], values)
					}
				}
			}, func(r *scriptedRequest) { r.status, r.statements = status, fields })
		}
	}
}

// TestFieldsOfConnectionReachCallers: callers get the fields that the server has sent, without those
// that concern its connection to this node, and no others.
func TestFieldsOfConnectionReachCallers(t *testing.T) {
	t.Parallel()
	b := newAnswerFormTrial(t, false)
	for id, line := range map[string]string{"id-1": "Connection: X-Hop", "id-2": "Connection: close, X-Hop", "id-3": "Connection: x-hop\r\nConnection: close", "id-4": "Pragma: no-cache"} {
		b.mu.Lock()
		b.requests[id] = scriptedRequest{id: id, form: answerForm{line, "", true, withLine(line + "\r\nX-Hop: v")}, framing: byLength, status: "200 OK"}
		b.mu.Unlock()
		conn, err := rawCallers[1].open(b.node, "/again/"+id, id, "body "+id, 2500*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		received, err := io.ReadAll(conn)
		head, _, _ := strings.Cut(string(received), "\r\n\r\n")
		if err != nil || !strings.HasPrefix(head, "HTTP/1.1 200 ") || strings.Contains(head, "X-Hop: v") != (id == "id-4") || strings.Contains(head, "Cache-Control") || !strings.Contains(head, "X-Own: own") {
			t.Errorf("%q: %q, error %v", line, head, err)
		}
		conn.Close()
	}
}
