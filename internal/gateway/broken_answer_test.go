package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// rawCaller is a caller whose use of HTTP is fixed byte by byte.
type rawCaller struct {
	name string
	// protocol is the version in the request line, connection its Connection header.
	protocol, connection string
}

var rawCallers = []rawCaller{
	{"HTTP/1.1", "1.1", "keep-alive"},
	{"HTTP/1.1 close", "1.1", "close"},
	{"HTTP/1.0", "1.0", "close"},
	{"HTTP/1.0 kept", "1.0", "keep-alive"},
}

// send sends a request over a new connection. It returns a nil error if the answer
// looks complete to the caller. headers are further header lines.
func (c rawCaller) send(n *Node, path, id, body string, deadline time.Duration, headers ...string) (status int, received string, err error) {
	conn, err := c.open(n, path, id, body, deadline, headers...)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// open sends a request over a new connection and returns the connection.
func (c rawCaller) open(n *Node, path, id, body string, deadline time.Duration, headers ...string) (net.Conn, error) {
	conn, err := net.Dial("tcp", n.settings.CallerAddress)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: a.example\r\nAuthorization: Bearer key-w\r\nColtsfootpath-Request-Id: %s\r\nColtsfootpath-Deadline-Ms: %d\r\nConnection: %s\r\nContent-Length: %d\r\n%s\r\n%s",
		path, c.protocol, id, deadline.Milliseconds(), c.connection, len(body), headerLines(headers), body)
	return conn, err
}

func headerLines(headers []string) string {
	lines := ""
	for _, h := range headers {
		lines += h + "\r\n"
	}
	return lines
}

// possibleCuts returns every combination of framing, place and end of a cut.
func possibleCuts() []platformtest.Behavior {
	var cuts []platformtest.Behavior
	for _, framing := range []platformtest.Framing{platformtest.FramingLength, platformtest.FramingChunks, platformtest.FramingNone} {
		for cut := platformtest.CutBeforeAnswer; cut <= platformtest.CutAfterBody; cut++ {
			for _, end := range []platformtest.End{platformtest.EndClose, platformtest.EndReset, platformtest.EndSilence} {
				if b := (platformtest.Behavior{Framing: framing, Cut: cut, CutEvent: 1, End: end}); b.IsPossible() {
					cuts = append(cuts, b)
				}
			}
		}
	}
	return cuts
}

// brokenAnswerTrial sends requests whose answers are cut, in each way, to one node.
type brokenAnswerTrial struct {
	*fixture
	servers []*platformtest.Server
	node    *Node

	mu   sync.Mutex
	runs map[string]int
	// cuts holds the behavior for the run of a request, by id, and cutRun the run,
	// from 0, that it applies to. Runs before it are reset after the first event.
	cuts   map[string]platformtest.Behavior
	cutRun map[string]int
}

func newBrokenAnswerTrial(t *testing.T) *brokenAnswerTrial {
	b := &brokenAnswerTrial{fixture: newFixture(t), runs: map[string]int{}, cuts: map[string]platformtest.Behavior{}, cutRun: map[string]int{}}
	// A request is sent to a server once only.
	for _, id := range []string{"s-1", "s-2"} {
		b.servers = append(b.servers, b.addServer(id, b.behaviorOf))
	}
	b.node = b.startNode("vm-1", 2)
	return b
}

func (b *brokenAnswerTrial) behaviorOf(_ int, r platformtest.Run) platformtest.Behavior {
	b.mu.Lock()
	defer b.mu.Unlock()
	run := b.runs[r.ID]
	b.runs[r.ID]++
	switch {
	case run < b.cutRun[r.ID]:
		return platformtest.Behavior{Cut: platformtest.CutBeforeEvent, CutEvent: 1, End: platformtest.EndReset}
	case run == b.cutRun[r.ID]:
		return b.cuts[r.ID]
	}
	return platformtest.CompleteAnswer
}

// wholeAnswers returns the bodies of the complete answers to a request.
func (b *brokenAnswerTrial) wholeAnswers(path, id string) []string {
	if strings.Contains(path, "stream") {
		return []string{eventText(1, platformtest.EventCount)}
	}
	return []string{"answer of s-1 to " + id, "answer of s-2 to " + id}
}

// checkAnswer reports an answer that looks complete and isn't.
func (b *brokenAnswerTrial) checkAnswer(name, path, id, received string, err error) {
	if err != nil {
		return
	}
	isWhole, isAmbiguous := false, false
	for _, whole := range b.wholeAnswers(path, id) {
		isWhole = isWhole || received == whole
		for _, s := range b.servers {
			for _, sent := range s.Sent(id) {
				isAmbiguous = isAmbiguous || sent.Ambiguous && strings.HasPrefix(whole, received) && strings.HasSuffix(received, sent.Body)
			}
		}
	}
	if !isWhole && !isAmbiguous {
		b.t.Errorf("%s: the answer looks complete: %q", name, received)
	}
}

// TestBrokenOffAnswerLooksComplete cuts answers in each framing, at each place and in
// each way, on each kind of route.
func TestBrokenOffAnswerLooksComplete(t *testing.T) {
	newBrokenAnswerTrial(t).cutAnswers(rawCallers[:2])
}

// TestBrokenOffAnswerLooksCompleteToHTTP10Caller is the same for callers that know no
// chunks.
func TestBrokenOffAnswerLooksCompleteToHTTP10Caller(t *testing.T) {
	newBrokenAnswerTrial(t).cutAnswers(rawCallers[2:])
}

// cutAnswers sends a request for each cut, kind of route and caller, and checks what the
// caller receives.
func (b *brokenAnswerTrial) cutAnswers(callers []rawCaller) {
	slots := make(chan struct{}, 48)
	var sends sync.WaitGroup
	whole := map[platformtest.Framing]int{}
	for i, cut := range possibleCuts() {
		for _, path := range []string{"/fixedstream/", "/stream/", "/once/", "/again/"} {
			for cutRun := range 2 {
				for _, caller := range callers {
					if cutRun > 0 && path != "/stream/" {
						continue
					}
					id := fmt.Sprintf("%d-%d-%s-%s", i, cutRun, path[1:3], caller.name)
					id = strings.NewReplacer(" ", "", "/", "", ".", "").Replace(id)
					b.mu.Lock()
					b.cuts[id], b.cutRun[id] = cut, cutRun
					b.mu.Unlock()
					slots <- struct{}{}
					sends.Go(func() {
						defer func() { <-slots }()
						status, received, err := caller.send(b.node, path+id, id, "body", 800*time.Millisecond)
						if status != http.StatusOK {
							return
						}
						b.checkAnswer(fmt.Sprintf("%s%s %s, run %d, %+v", path, id, caller.name, cutRun, cut), path, id, received, err)
						if err == nil {
							b.mu.Lock()
							whole[cut.Framing]++
							b.mu.Unlock()
						}
					})
				}
			}
		}
	}
	sends.Wait()
	for framing := platformtest.FramingLength; framing <= platformtest.FramingNone; framing++ {
		if whole[framing] < len(callers) {
			b.t.Errorf("framing %d: %d answers were complete", framing, whole[framing])
		}
	}
}

// TestStreamEventsOfHTTP10CallerAreHeldBack: the events of a stream must reach a caller
// that knows no chunks as they arrive.
func TestStreamEventsOfHTTP10CallerAreHeldBack(t *testing.T) {
	b := newBrokenAnswerTrial(t)
	for _, caller := range rawCallers[2:] {
		id := strings.ReplaceAll(caller.connection, "-", "")
		b.mu.Lock()
		b.cuts[id] = platformtest.Behavior{Cut: platformtest.CutBeforeEvent, CutEvent: 3, End: platformtest.EndSilence}
		b.mu.Unlock()
		start := time.Now()
		conn, err := caller.open(b.node, "/fixedstream/x", id, "body", 2*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		received := ""
		buffer := make([]byte, 4096)
		for !strings.HasSuffix(received, platformtest.Event(3)) {
			n, err := conn.Read(buffer)
			received += string(buffer[:n])
			if err != nil {
				t.Fatalf("%s: %v after %q", caller.name, err, received)
			}
		}
		if took := time.Since(start); took > 1500*time.Millisecond || strings.Contains(received, "Content-Length") {
			t.Errorf("%s: three events after %v: %q", caller.name, took, received)
		}
		if _, err := io.ReadAll(conn); err == nil {
			t.Errorf("%s: the broken answer looks complete", caller.name)
		}
		conn.Close()
	}
}

// TestBrokenOffStreamIsCountedAsAnswered: a broken stream must count in the losses of its
// content and in the metrics.
func TestBrokenOffStreamIsCountedAsAnswered(t *testing.T) {
	b := newBrokenAnswerTrial(t)
	cut := platformtest.Behavior{Framing: platformtest.FramingNone, Cut: platformtest.CutBeforeBlankLine, CutEvent: 1}
	const sends = 4
	for i := range sends {
		id := fmt.Sprint("id-", i)
		b.mu.Lock()
		b.cuts[id] = cut
		b.mu.Unlock()
		if _, received, err := rawCallers[0].send(b.node, "/fixedstream/x", id, "body", time.Second); err == nil {
			t.Errorf("%s looks complete: %q", id, received)
		}
		b.eventually("loss is counted", func() bool { return b.logs.hasLine("content lost", "id="+id, "server-state=listening") })
	}
	if !b.logs.hasLine("request broken-off", "framing=none", "partial=20") {
		t.Error("the log does not show where the stream was cut")
	}
	if got := b.node.metrics.value(t, "answer_ends_total", "s", "none", outcomeLost.String()); got != sends {
		t.Errorf("%v answers counted as lost, want %d", got, sends)
	}
	if got := b.node.metrics.value(t, "content_losses_total", "s", serverListening.String()); got != sends {
		t.Errorf("%v losses counted, want %d", got, sends)
	}
}
