package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

const (
	// longUploadBytes is more than the buffers of connections and tunnels hold, and
	// readUploadBytes what an earlyServer reads before it answers.
	longUploadBytes = 1 << 20
	readUploadBytes = 32 << 10
)

// earlyEnd is what an earlyServer does once it has begun to answer.
type earlyEnd int

const (
	// earlyNone sends a framed answer once the whole request was read.
	earlyNone earlyEnd = iota
	// earlyReset sends a part of the answer and resets the connection.
	earlyReset
	// earlyClose sends the whole answer, closes the connection for sending, and reads on.
	earlyClose
	// earlyCloseReset is earlyClose without reading on: the connection is reset.
	earlyCloseReset
)

// earlyServer is a backend server that answers without a length while it receives a request.
type earlyServer struct {
	id  string
	end atomic.Int32

	mu       sync.Mutex
	answered map[string]int
}

func (f *fixture) addEarlyServer(id string) *earlyServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	s := &earlyServer{id: id, answered: map[string]int{}}
	f.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	entry := platformtest.NewServer(id, nil)
	f.store.Put(platform.ServersTopic, id, entry.RegistrationAt(listener.Addr().String(), "s", "zone-a", "ready"))
	entry.Close()
	return s
}

func (s *earlyServer) serve(c *net.TCPConn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("Coltsfootpath-Request-Id")
		end := earlyEnd(s.end.Load())
		if id == "" || end == earlyNone {
			_, err = io.Copy(io.Discard, r.Body)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nColtsfootpath-Engine-Id: %s\r\nColtsfootpath-Request-Id: %s\r\nColtsfootpath-Engine-Seal: seal\r\nContent-Length: 2\r\n\r\n{}", s.id, id)
			if err != nil {
				return
			}
			continue
		}
		if _, err := io.CopyN(io.Discard, r.Body, readUploadBytes); err != nil {
			return
		}
		s.mu.Lock()
		s.answered[id]++
		s.mu.Unlock()
		pieces := []string{"answer of ", s.id + " to " + id}
		if strings.Contains(r.URL.Path, "stream") {
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			pieces = nil
			for i := last + 1; i <= platformtest.EventCount; i++ {
				pieces = append(pieces, platformtest.Event(i))
			}
		}
		if end == earlyReset {
			pieces = pieces[:1]
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nColtsfootpath-Request-Id: %s\r\nColtsfootpath-Engine-Seal: seal\r\n\r\n%s", id, strings.Join(pieces, ""))
		if end != earlyReset {
			_ = c.CloseWrite()
		}
		if end == earlyClose {
			_, _ = io.Copy(io.Discard, r.Body)
			return
		}
		_ = c.SetLinger(0)
		return
	}
}

// answersTo returns how often the server has begun to answer a request.
func (s *earlyServer) answersTo(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered[id]
}

// writesFirst opens connections that buffer little. Once it is active, writes meet the end of
// such a connection before reads do, and return after them.
type writesFirst struct{ active atomic.Bool }

func (w *writesFirst) dial(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &writesFirstConn{TCPConn: raw.(*net.TCPConn), order: w, written: make(chan struct{}), read: make(chan struct{}), closed: make(chan struct{})}
	return c, c.SetWriteBuffer(16 << 10)
}

type writesFirstConn struct {
	*net.TCPConn
	order *writesFirst
	// sent is the number of bytes passed to Write.
	sent atomic.Int64
	// written and read are closed once a write and a read have failed.
	written, read, closed             chan struct{}
	onceWritten, onceRead, onceClosed sync.Once
}

func (c *writesFirstConn) Write(p []byte) (int, error) {
	c.sent.Add(int64(len(p)))
	n, err := c.TCPConn.Write(p)
	if err != nil && c.order.active.Load() {
		c.onceWritten.Do(func() { close(c.written) })
		select {
		case <-c.read:
		case <-c.closed:
		}
	}
	return n, err
}

func (c *writesFirstConn) Read(p []byte) (int, error) {
	// The server answers a long request only after it has received some of its body.
	if c.order.active.Load() && c.sent.Load() > readUploadBytes {
		select {
		case <-c.written:
		case <-c.closed:
		}
	}
	n, err := c.TCPConn.Read(p)
	if err != nil {
		c.onceRead.Do(func() { close(c.read) })
	}
	return n, err
}

func (c *writesFirstConn) Close() error {
	c.onceClosed.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

// earlyTrial sends long requests to servers that answer early.
type earlyTrial struct {
	*fixture
	servers []*earlyServer
	order   *writesFirst
	// node is the node that gets the requests.
	node *Node
	sent int
}

// newEarlyTrial starts a node that is linked to the servers, or one that sends requests through
// another node.
func newEarlyTrial(t *testing.T, isTunneled bool) *earlyTrial {
	e := &earlyTrial{fixture: newFixture(t), order: &writesFirst{}}
	doc := strings.Replace(string(documentJSON(2)), `"maxBodyBytes":4096`, fmt.Sprintf(`"maxBodyBytes":%d`, 2*longUploadBytes), 1)
	e.store.Put(platform.OperatorTopic, platform.DocumentKey, []byte(doc))
	for _, id := range []string{"s-1", "s-2"} {
		e.servers = append(e.servers, e.addEarlyServer(id))
	}
	cut := newLinks()
	dials := []func(context.Context, *net.Dialer, string) (net.Conn, error){e.order.dial}
	if isTunneled {
		dials = append(dials, cut.dial)
	}
	var nodes []*Node
	for i, dial := range dials {
		n := newNode(e.settings(fmt.Sprint("vm-", i)), e.logs)
		n.backends.dial = dial
		if err := n.start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		e.eventually("nodes are ready and know each other", func() bool {
			return n.Ready() && n.backends.count() == len(e.servers) && n.members.count() == len(nodes) && n.document.Load().Version == 2
		})
		settings := n.settings
		settings.RetrySlack = 10_000
		n.Reload(settings)
	}
	e.node = nodes[len(nodes)-1]
	if isTunneled {
		cut.set(linksRefuse)
		e.eventually("the cut is noticed", func() bool {
			do(t, e.node, call{method: "POST", path: "/again/x", key: "key-w", id: "first", body: "first"})
			return e.node.usesTunnels("s")
		})
	}
	return e
}

func (e *earlyTrial) setEnd(end earlyEnd) {
	for _, s := range e.servers {
		s.end.Store(int32(end))
	}
}

// send sends a long request, and returns what was received and how often servers have answered.
// The error is nil if the answer looks complete.
func (e *earlyTrial) send(path string) (id string, status int, received string, answers int, err error) {
	e.sent++
	id = fmt.Sprint("id-", e.sent)
	body := id + strings.Repeat("x", longUploadBytes)
	status, received, err = rawCallers[0].send(e.node, path+id, id, body, 2500*time.Millisecond)
	for _, s := range e.servers {
		answers += s.answersTo(id)
	}
	return id, status, received, answers, err
}

var earlyPaths = []string{"/once/", "/again/", "/stream/", "/fixedstream/"}

// TestPartOfAnswerResetDuringUploadLooksComplete: servers answer long requests at once, without
// a length, and reset the connection after a part of the answer.
func TestPartOfAnswerResetDuringUploadLooksComplete(t *testing.T) {
	t.Parallel()
	const rounds = 10
	for _, isTunneled := range []bool{false, true} {
		for _, isOrdered := range []bool{false, true} {
			t.Run(fmt.Sprintf("tunnel %v, write first %v", isTunneled, isOrdered), func(t *testing.T) {
				e := newEarlyTrial(t, isTunneled)
				e.order.active.Store(isOrdered)
				e.setEnd(earlyReset)
				for _, path := range earlyPaths {
					complete, answered := 0, 0
					for range rounds {
						_, status, received, answers, err := e.send(path)
						if err == nil && status == http.StatusOK {
							complete++
							t.Logf("%s: %q", path, received)
						}
						if answers > 0 {
							answered++
						}
					}
					if complete > 0 || answered < rounds/2 {
						t.Errorf("%s: %d of %d answers looked complete, servers have answered %d requests", path, complete, rounds, answered)
					}
				}
			})
		}
	}
}

// TestEarlyAnswerClosedInOrderIsLost: servers answer long requests at once, without a length, and
// close the connection in order after the whole answer, whatever becomes of the request's body.
func TestEarlyAnswerClosedInOrderIsLost(t *testing.T) {
	t.Parallel()
	const rounds = 5
	for _, isTunneled := range []bool{false, true} {
		t.Run(fmt.Sprint("tunnel ", isTunneled), func(t *testing.T) {
			e := newEarlyTrial(t, isTunneled)
			for _, end := range []earlyEnd{earlyClose, earlyCloseReset} {
				e.setEnd(end)
				for _, path := range earlyPaths {
					for range rounds {
						id, status, received, answers, err := e.send(path)
						isWhole := received == "answer of s-1 to "+id || received == "answer of s-2 to "+id
						if strings.Contains(path, "stream") {
							isWhole = received == eventText(1, platformtest.EventCount)
						}
						if status != http.StatusOK || err != nil || !isWhole || answers != 1 {
							t.Errorf("%s, end %d: status %d, %q, error %v after %d answers", path, end, status, received, err, answers)
						}
					}
				}
			}
		})
	}
}

// TestResetDuringUploadLooksLikeLostTunnel: a reset by the server is evidence about the server,
// though the request has gone through a tunnel.
func TestResetDuringUploadLooksLikeLostTunnel(t *testing.T) {
	t.Parallel()
	const rounds = 20
	e := newEarlyTrial(t, true)
	e.setEnd(earlyReset)
	for range rounds {
		if id, status, received, answers, err := e.send("/once/"); err == nil && status == http.StatusOK || answers != 1 {
			t.Errorf("%s: status %d, %q, error %v after %d answers", id, status, received, err, answers)
		}
	}
	if lost := e.logs.countLines("attempt lost", "links=cut", "answer is incomplete"); lost > 0 {
		t.Errorf("%d of %d resets were taken for the loss of a tunnel", lost, rounds)
	}
}
