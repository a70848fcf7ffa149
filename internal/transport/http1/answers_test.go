package http1_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
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

	mu        sync.Mutex
	pieces    []string
	delivered int
	closed    bool
}

func newReplayConn(pieces []string) *replayConn {
	return &replayConn{pieces: pieces, requested: make(chan struct{})}
}

func (c *replayConn) Write(p []byte) (int, error) {
	c.once.Do(func() { close(c.requested) })
	return len(p), nil
}

func (c *replayConn) Read(p []byte) (int, error) {
	<-c.requested
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
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
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return nil
}

func (c *replayConn) state() (delivered int, isClosed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delivered, c.closed
}

func (*replayConn) SetDeadline(time.Time) error      { return nil }
func (*replayConn) SetReadDeadline(time.Time) error  { return nil }
func (*replayConn) SetWriteDeadline(time.Time) error { return nil }

// failer is what checks report to.
type failer interface {
	Errorf(format string, args ...any)
}

// ownID is the id of the answers that belong to the request; others are skipped.
const ownID = "a"

// checkPool checks what a pool makes of the bytes against a strict reader.
func checkPool(t failer, stream string, pieces []string, isHead bool) {
	c := newReplayConn(pieces)
	pool := upstream.NewPool("server", upstream.Config{
		MaxConnections: func() int { return 1 }, DefaultIdleTimeout: time.Minute,
		Dial: func(context.Context, *net.Dialer, string) (net.Conn, error) { return c, nil },
	})
	var seen []int
	request := upstream.Request{Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\n\r\n"), MaxIdle: time.Minute, Matches: func(status int, h http.Header) bool {
		seen = append(seen, status)
		return h.Get("Id") == ownID
	}}
	if isHead {
		request.Method = http.MethodHead
	}
	body := ""
	a, err := pool.Do(context.Background(), request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(a.Body)
		body = string(data)
		a.Close()
	}
	delivered, isClosed := c.state()

	r := strictReader{rest: stream}
	var want strictAnswer
	var v verdict
	var wantSeen []int
	for {
		if want, v = r.answer(isHead); want.fields != nil && want.status >= 200 && v != invalid {
			wantSeen = append(wantSeen, want.status)
		}
		if v != valid || strings.Join(want.fields["Id"][:min(1, len(want.fields["Id"]))], "") == ownID {
			break
		}
		if want.endsConnection || want.minorVersion == 0 || closes(want.fields["Connection"]) {
			v = incomplete
			break
		}
	}
	switch {
	case v == valid && err != nil:
		t.Errorf("pool: %q: error %v, want status %d, body %q", stream, err, want.status, want.body)
	case v == valid:
		checkAnswer(t, "pool", stream, a.Status, a.Header, body, want, framingFields)
		if !isClosed && (want.endsConnection || delivered > len(stream)-len(r.rest)) {
			t.Errorf("pool: %q: the connection is kept after an answer that is followed by %q", stream, r.rest)
		}
	case err == nil:
		t.Errorf("pool: %q: status %d, body %q, want an error", stream, a.Status, body)
	case !isClosed:
		t.Errorf("pool: %q: the connection of a broken answer is kept", stream)
	case v == invalid && (!errors.Is(err, upstream.ErrInvalid) || errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF)):
		t.Errorf("pool: %q: error %v, want ErrInvalid", stream, err)
	}
	if v == valid && fmt.Sprint(seen) != fmt.Sprint(wantSeen) {
		t.Errorf("pool: %q: heads with the statuses %v were read, want %v", stream, seen, wantSeen)
	}
}

// closes reports whether a connection is closed after an answer with these values of Connection.
func closes(connection []string) bool {
	for option := range strings.SplitSeq(strings.Join(connection, ","), ",") {
		if strings.EqualFold(strings.Trim(option, " \t"), "close") {
			return true
		}
	}
	return false
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

// pick draws one of the valid items, or now and then one of the others.
func pick(t *rapid.T, label string, valid, others []string) string {
	if len(others) > 0 && rapid.IntRange(0, 19).Draw(t, "break "+label) == 13 {
		valid = others
	}
	return rapid.SampledFrom(valid).Draw(t, label)
}

// drawAnswer draws an answer that is mostly valid.
func drawAnswer(t *rapid.T, id string, isInterim bool) string {
	version := pick(t, "version", []string{"HTTP/1.1", "HTTP/1.1", "HTTP/1.0", "HTTP/1.2"}, []string{"HTTP/2.0", "HTTP/1.", "http/1.1", "HTTP/0.9", "HTTP/1.11"})
	status := pick(t, "status", []string{" 200 OK", " 404 Not Found", " 503 ", " 204 No Content", " 304 Not Modified", " 599", " 200 \xe9\t"},
		[]string{"  200 OK", "\t200 OK", " 20 OK", " 2000 OK", " 200OK", " +20 OK", " 000 OK", " 200 O\x01K", " 200\tOK"})
	if isInterim {
		status = pick(t, "interim", []string{" 103 Early Hints", " 100 Continue", " 100"}, []string{" 101 Switching Protocols", " 1000", " 99 None"})
	}
	var lines []string
	if id != "" {
		lines = append(lines, "Id: "+id)
	}
	for range rapid.IntRange(0, 3).Draw(t, "fields") {
		lines = append(lines, pick(t, "field", []string{"X-Note: v", "x-note:w", "X-Note: \t a b\t", "Server-Leaving: 1", "X-Empty:", "X!#$%&'*+-.^_`|~: v", "X-Text: \xe9\"(;:", "Keep-Alive: timeout=5", "Connection: close, X-Note", "connection:x-note", "Pragma: no-cache", "Cache-Control: no-cache"},
			[]string{"X-Note : v", "X Note: v", "X\tNote: v", "X\x01: v", "\xe9: v", "X-Note: a\x00b", "X-Note: a\x7fb", " folded", "\tX-Fold: v", ": v", "garbage", "X(: v", "Id : a"}))
	}
	body := rapid.SampledFrom([]string{"body", "", "id: 1\ndata: x\n\n", "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"}).Draw(t, "body")
	hasNoContent := isInterim || strings.HasPrefix(status, " 204") || strings.HasPrefix(status, " 304")
	content := body
	switch framing := rapid.IntRange(0, 9).Draw(t, "framing"); {
	case hasNoContent && framing < 8:
		content = ""
	case framing < 4:
		lines = append(lines, pick(t, "length", []string{"Content-Length: ", "content-length:", "Content-Length: 00"}, []string{"Content-Length : ", " Content-Length: ", "Content-Length: +", "Content-Length: 0x", "Content-Length:\x01"})+fmt.Sprint(len(body)))
	case framing < 8:
		if version == "HTTP/1.0" {
			version = pick(t, "version with a coding", []string{"HTTP/1.1"}, []string{"HTTP/1.0"})
		}
		lines = append(lines, pick(t, "coding", []string{"Transfer-Encoding: chunked", "transfer-encoding:CHUNKED\t"}, []string{"Transfer-Encoding : chunked", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: identity", "Transfer-Encoding:", " Transfer-Encoding: chunked"}))
		content = drawChunks(t, body)
	case framing == 8:
		lines = append(lines, fmt.Sprint("Content-Length: ", len(body)), pick(t, "second", []string{fmt.Sprint("content-length:", len(body))}, []string{"Content-Length: 5", "Transfer-Encoding: chunked", fmt.Sprint("Content-Length: 0", len(body))}))
	}
	if rapid.Bool().Draw(t, "reversed") {
		slices.Reverse(lines)
	}
	head := version + status + "\r\n"
	for _, line := range lines {
		head += line + "\r\n"
	}
	return head + "\r\n" + content
}

// lineEnds end a line, validly or not.
var lineEnds = [][]string{{"\r\n"}, {"\n", "\r\r\n", "\r", ""}}

func drawChunks(t *rapid.T, body string) string {
	out := ""
	for body != "" {
		n := rapid.IntRange(1, len(body)).Draw(t, "chunk")
		out += fmt.Sprintf("%x", n) + pick(t, "extension", []string{"", ";a", ";a=b;c=\"d \\\" e\""}, []string{" ", ";", ";a\x01", ";a=\"b", ";a b", "; a", " ;a", ";a=", "x"}) + pick(t, "line end", lineEnds[0], lineEnds[1])
		out += body[:n] + pick(t, "chunk end", lineEnds[0], append(lineEnds[1], "x\r\n"))
		body = body[n:]
	}
	out += pick(t, "last", []string{"0", "000", "0;a"}, []string{"0 ", "+0", "", "0x0"}) + "\r\n"
	for range rapid.IntRange(0, 2).Draw(t, "trailers") {
		out += pick(t, "trailer", []string{"X-Note: v", "X-Note:", "Content-Length: 4"}, []string{"X Note: v", "X-Note : v", "X\x01: v", "X-Note: \x01", "garbage", " folded"}) + "\r\n"
	}
	return out + pick(t, "end", lineEnds[0], lineEnds[1])
}

// drawStream draws the bytes of a connection: interim answers, answers to other requests, the answer
// and what follows it, cut off or with a byte changed now and then.
func drawStream(t *rapid.T) string {
	stream := ""
	for range rapid.IntRange(0, 3).Draw(t, "before") / 2 {
		stream += drawAnswer(t, "", true)
	}
	for range rapid.IntRange(0, 3).Draw(t, "others") / 3 {
		stream += drawAnswer(t, "other", false)
	}
	stream += drawAnswer(t, ownID, false)
	stream += rapid.SampledFrom([]string{"", "", "x", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\ny", "\r\n\r\n", "garbage\r\n"}).Draw(t, "after")
	switch at := rapid.IntRange(0, len(stream)-1).Draw(t, "place"); rapid.IntRange(0, 9).Draw(t, "change") {
	case 5:
		replacement := rapid.SampledFrom([]string{"", " ", "\t", "\r", "\n", "\x00", ":", "\x7f", "\x80", ";", "\"", "0", "\r\n", "\r\n\r\n"}).Draw(t, "replacement")
		stream = stream[:at] + replacement + stream[at+rapid.IntRange(0, 1).Draw(t, "removed"):]
	case 6:
		stream = stream[:at]
	}
	return stream
}

// drawPieces splits a stream into the pieces in which it arrives.
func drawPieces(t *rapid.T, stream string) []string {
	var pieces []string
	for range rapid.IntRange(0, 4).Draw(t, "splits") {
		if len(stream) > 1 {
			n := rapid.IntRange(1, len(stream)-1).Draw(t, "split")
			pieces, stream = append(pieces, stream[:n]), stream[n:]
		}
	}
	if stream != "" {
		pieces = append(pieces, stream)
	}
	return pieces
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
