package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/shedding"
)

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// refusals records refused connections by reason.
type refusals struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *refusals) add(x Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[string]int{}
	}
	r.counts[x.Reason]++
}

func (r *refusals) count(reason string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[reason]
}

// TestBodiesArriveWhole: bodies arrive as they were sent, however they are divided, also one
// after the other on a connection.
func TestBodiesArriveWhole(t *testing.T) {
	s := startServer(t, Config{MaxBodyBytes: 200 << 10}, func(w http.ResponseWriter, r *http.Request) {
		data, err := ReadBody(r, 200<<10)
		if err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		_, _ = w.Write(data)
	})
	body := make([]byte, 150<<10)
	for i := range body {
		body[i] = byte('a' + i*i%23)
	}
	c := dial(t, s)
	answers := bufio.NewReader(c)
	for _, size := range []int{0, 1, 3, 1000, 16 << 10, 16<<10 + 1, 40_000, len(body)} {
		for _, piece := range []int{0, 1, 7, 16 << 10, 16<<10 + 1, len(body)} {
			var text strings.Builder
			sent := body[:size]
			if piece == 0 {
				fmt.Fprintf(&text, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, sent)
			} else {
				text.WriteString("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n")
				for left := sent; len(left) > 0; left = left[min(piece, len(left)):] {
					fmt.Fprintf(&text, "%x;name=value\r\n%s\r\n", min(piece, len(left)), left[:min(piece, len(left))])
				}
				text.WriteString("0\r\nX: y\r\n\r\n")
			}
			// The begin of the next request comes with the end of this one.
			go func() { _, _ = io.WriteString(c, text.String()) }()
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				t.Fatalf("%d bytes in pieces of %d: %v", size, piece, err)
			}
			got, err := io.ReadAll(resp.Body)
			if err != nil || string(got) != string(sent) {
				t.Fatalf("%d bytes in pieces of %d: %d bytes with status %d arrived, %v", size, piece, len(got), resp.StatusCode, err)
			}
		}
	}
}

// TestQueuedRequestsAreBounded: the requests up to the bound are answered, and the connection is
// closed then, also if nothing is sent on it any more.
func TestQueuedRequestsAreBounded(t *testing.T) {
	var handled atomic.Int64
	release := make(chan struct{})
	var refused refusals
	s := startServer(t, Config{OnRefuse: refused.add}, func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		<-release
		w.WriteHeader(http.StatusNoContent)
	})
	c := dial(t, s)
	send(t, c, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 3*maxQueuedRequests))
	for refused.count(ReasonQueued) == 0 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	text, _ := io.ReadAll(c)
	answers := strings.Count(string(text), "HTTP/1.1 204")
	if int64(answers) != handled.Load() || answers < maxQueuedRequests || answers > maxQueuedRequests+1 {
		t.Errorf("%d answers, %d requests were handled", answers, handled.Load())
	}
}

// TestIdleConnectionYields: beyond the bound a new connection takes the place of an idle one,
// and none takes that of a request.
func TestIdleConnectionYields(t *testing.T) {
	release := make(chan struct{})
	var refused refusals
	s := startServer(t, Config{MaxConnections: 8, OnRefuse: refused.add}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
		w.WriteHeader(http.StatusOK)
	})
	waiting := dial(t, s)
	send(t, waiting, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	for range 50 {
		dial(t, s)
	}
	for range 20 {
		c := dial(t, s)
		send(t, c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("a request beside idle connections: %v", err)
		}
	}
	close(release)
	if resp, err := http.ReadResponse(bufio.NewReader(waiting), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the request that waited: %v", err)
	}
	if refused.count(ReasonConnections) == 0 || refused.count(ReasonNoRoom) > 0 {
		t.Errorf("refused: %v", refused.counts)
	}
}

// TestShedRequestHasNotRun: a caller whose connection is closed for the memory of its incomplete
// request is told that it did not run, and it does not run.
func TestShedRequestHasNotRun(t *testing.T) {
	var handled atomic.Int64
	s := startServer(t, Config{MaxBodyBytes: 1 << 20, Memory: shedding.NewTable(1 << 20)}, func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		w.WriteHeader(http.StatusOK)
	})
	const size = 400 << 10
	var conns []net.Conn
	for range 10 {
		c := dial(t, s)
		send(t, c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-1)))
		conns = append(conns, c)
		// The next body comes once this one has been received.
		time.Sleep(20 * time.Millisecond)
	}
	ok, shed := 0, 0
	for _, c := range conns {
		_, _ = io.WriteString(c, "x")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		switch {
		case err != nil:
			shed++
		case resp.StatusCode == http.StatusOK:
			ok++
		case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "":
			shed++
		default:
			t.Errorf("status %d", resp.StatusCode)
		}
	}
	if ok == 0 || shed < 6 || int64(ok) != handled.Load() {
		t.Errorf("%d answered, %d shed, %d handled", ok, shed, handled.Load())
	}
}

func TestRefusalLogIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	lines, total := 0, 0
	l := NewRefusalLog(func() time.Time { return now }, func(_ Refusal, count int) {
		lines++
		total += count
	})
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		l.Add(Refusal{Server: "callers", Reason: []string{ReasonMemory, ReasonQueued}[i%2]})
	}
	if lines > 2*11 || total < 7_000 {
		t.Errorf("%d lines for %d refusals", lines, total)
	}
}

// TestTooLongHeadIsNotHandled: a head over the limit is rejected, also behind another request,
// and is not handled without the lines that are beyond the limit.
func TestTooLongHeadIsNotHandled(t *testing.T) {
	var handled atomic.Int64
	release := make(chan struct{})
	s := startServer(t, Config{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			<-release
		} else {
			handled.Add(1)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	s.SetLimits(Limits{HeadBytes: 4 << 10})
	long := "GET /second HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 5<<10) + "\r\n\r\n"
	c := dial(t, s)
	send(t, c, "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"+long)
	time.Sleep(20 * time.Millisecond)
	close(release)
	text, _ := io.ReadAll(c)
	if strings.Count(string(text), "HTTP/1.1 ") != 1 || !strings.HasPrefix(string(text), "HTTP/1.1 204") {
		t.Errorf("answers behind another request: %q", text)
	}
	alone := dial(t, s)
	send(t, alone, long)
	if text, _ := io.ReadAll(alone); !strings.HasPrefix(string(text), "HTTP/1.1 431") {
		t.Errorf("answer: %q", text)
	}
	trailers := dial(t, s)
	send(t, trailers, "POST /third HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n0\r\nX: "+strings.Repeat("x", 5<<10)+"\r\n\r\n")
	if text, _ := io.ReadAll(trailers); !strings.HasPrefix(string(text), "HTTP/1.1 431") {
		t.Errorf("answer to trailers: %q", text)
	}
	if n := handled.Load(); n > 0 {
		t.Errorf("%d requests with too long heads were handled", n)
	}
}
