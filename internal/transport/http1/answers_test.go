package http1_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"coltsfootpath.example/coltsfootpath/internal/rapidtest"
	"coltsfootpath.example/coltsfootpath/internal/transport/http1"
	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 5000) }

// replayConn is a connection on which pieces of bytes arrive once a request was sent, and then its
// end.
type replayConn struct {
	net.Conn
	requested chan struct{}
	once      sync.Once

	// closed is closed once the connection is.
	closed    chan struct{}
	closeOnce sync.Once

	mu        sync.Mutex
	pieces    []string
	delivered int
}

func newReplayConn(pieces []string) *replayConn {
	return &replayConn{pieces: pieces, requested: make(chan struct{}), closed: make(chan struct{})}
}

func (c *replayConn) Write(p []byte) (int, error) {
	c.once.Do(func() { close(c.requested) })
	return len(p), nil
}

func (c *replayConn) Read(p []byte) (int, error) {
	<-c.requested
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.pieces[0])
	c.delivered += n
	if c.pieces[0] = c.pieces[0][n:]; c.pieces[0] == "" {
		c.pieces = c.pieces[1:]
	}
	return n, nil
}

func (c *replayConn) Close() error {
	c.once.Do(func() { close(c.requested) })
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

func (c *replayConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// deliveredBytes returns the number of bytes that have been read.
func (c *replayConn) deliveredBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delivered
}

func (*replayConn) SetDeadline(time.Time) error      { return nil }
func (*replayConn) SetReadDeadline(time.Time) error  { return nil }
func (*replayConn) SetWriteDeadline(time.Time) error { return nil }

const testTimeout = 20 * time.Second

// failer is what checks report to.
type failer interface {
	Errorf(format string, args ...any)
}

// ownID is the id of the answers that belong to the request; others are skipped.
const ownID = "a"

// readWithPool returns the answer to a request that is sent on c by a pool, and the statuses of the
// heads that the pool has read.
func readWithPool(c *replayConn, isHead bool) (a *upstream.Answer, body string, heads []int, err error) {
	pool := upstream.NewPool("server", upstream.Config{
		MaxConnections: func() int { return 1 }, DefaultIdleTimeout: time.Minute,
		Dial:   func(context.Context, *net.Dialer, string) (net.Conn, error) { return c, nil },
		OnHead: func(status int, _ http.Header, _ time.Time) { heads = append(heads, status) },
	})
	request := upstream.Request{
		Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\n\r\n"), MaxIdle: time.Minute,
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") == ownID },
	}
	if isHead {
		request.Method = http.MethodHead
	}
	a, err = pool.Do(context.Background(), request)
	if err != nil {
		return nil, "", heads, err
	}
	data, err := io.ReadAll(a.Body)
	a.Close()
	return a, string(data), heads, err
}

// checkPool checks what a pool makes of the bytes against a strict reader.
func checkPool(t failer, stream string, pieces []string, isHead bool) {
	c := newReplayConn(pieces)
	a, body, heads, err := readWithPool(c, isHead)
	r := strictReader{rest: stream}
	want, v, wantHeads := r.ownAnswer(ownID, isHead)
	switch {
	case v == valid && err != nil:
		t.Errorf("pool: %q: error %v, want status %d, body %q", stream, err, want.status, want.body)
	case v == valid:
		checkAnswer(t, "pool", stream, a.Status, a.Header, body, want, framingFields)
		if !c.isClosed() && (want.endsConnection || c.deliveredBytes() > len(stream)-len(r.rest)) {
			t.Errorf("pool: %q: the connection is kept after an answer that is followed by %q", stream, r.rest)
		}
	case err == nil:
		t.Errorf("pool: %q: status %d, body %q, want an error", stream, a.Status, body)
	case !c.isClosed():
		t.Errorf("pool: %q: the connection of a broken answer is kept", stream)
	case v == invalid && (!errors.Is(err, upstream.ErrInvalid) || errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF)):
		t.Errorf("pool: %q: error %v, want ErrInvalid", stream, err)
	}
	if !slices.Equal(heads, wantHeads) {
		t.Errorf("pool: %q: heads with the statuses %v were believed, want %v", stream, heads, wantHeads)
	}
}

// checkTransport checks what an http.Transport makes of the bytes against a strict reader.
func checkTransport(t failer, stream string, pieces []string) {
	c := newReplayConn(pieces)
	transport := &http.Transport{DisableCompression: true, DialContext: http1.Checked(func(context.Context, string, string) (net.Conn, error) { return c, nil })}
	defer transport.CloseIdleConnections()
	request, _ := http.NewRequest(http.MethodPost, "http://server/", nil)
	resp, err := transport.RoundTrip(request)
	body := ""
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		body = string(data)
		_ = resp.Body.Close()
	}
	r := strictReader{rest: stream}
	want, v := r.answer(false)
	switch {
	case v == valid && err != nil:
		t.Errorf("transport: %q: error %v, want status %d, body %q", stream, err, want.status, want.body)
	case v == valid:
		checkAnswer(t, "transport", stream, resp.StatusCode, resp.Header, body, want, append([]string{"Connection", "Cache-Control"}, framingFields...))
	case err == nil:
		t.Errorf("transport: %q: status %d, body %q, want an error", stream, resp.StatusCode, body)
	default:
		select {
		case <-c.closed:
		case <-time.After(testTimeout):
			t.Errorf("transport: %q: the connection of a broken answer is kept", stream)
		}
	}
}

// framingFields are fields that the library's reader removes.
var framingFields = []string{"Transfer-Encoding", "Content-Length"}

// checkAnswer compares an answer with that of the strict reader, but for the ignored fields.
func checkAnswer(t failer, reader, stream string, status int, header http.Header, body string, want strictAnswer, ignored []string) {
	got := header.Clone()
	fields := maps.Clone(want.fields)
	for _, name := range ignored {
		delete(got, name)
		delete(fields, name)
	}
	if status != want.status || body != want.body || fmt.Sprint(map[string][]string(got)) != fmt.Sprint(fields) {
		t.Errorf("%s: %q: got status %d, fields %q, body %q, want status %d, fields %q, body %q", reader, stream, status, got, body, want.status, fields, want.body)
	}
}

func checkDrawnAnswer(t *rapid.T) {
	stream := drawStream(t)
	pieces := drawPieces(t, stream)
	checkPool(t, stream, append([]string{}, pieces...), rapid.IntRange(0, 7).Draw(t, "head") == 0)
	checkTransport(t, stream, append([]string{}, pieces...))
}

// TestDrawnAnswersAreReadAsSent: of answers that are drawn at random, callers get those that a
// strict reader accepts, with its fields and body, and no others.
func TestDrawnAnswersAreReadAsSent(t *testing.T) { rapid.Check(t, checkDrawnAnswer) }

// FuzzDrawnAnswers is the same for as long as it runs.
func FuzzDrawnAnswers(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkDrawnAnswer)) }
