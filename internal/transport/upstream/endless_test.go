package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// sendEndlessly sends start once, and unit until the connection is closed or for as many
// bytes as limit.
func sendEndlessly(start, unit string, limit int) func(c net.Conn, r *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, start)
		block := strings.Repeat(unit, 1+4096/len(unit))
		for sent := 0; sent < limit; {
			n, err := io.WriteString(c, block)
			if sent += n; err != nil {
				return
			}
		}
		// Waits until the other end closes the connection.
		_, _ = r.ReadByte()
	}
}

const noLimit = 1 << 40

// TestEndlessBytesLookLikeClosedConnection: bytes that are no answer must not be reported
// as the end of the connection.
func TestEndlessBytesLookLikeClosedConnection(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: a\r\n"
	for name, script := range map[string]func(c net.Conn, r *bufio.Reader){
		"garbage":             sendEndlessly("", "x", noLimit),
		"one byte of garbage": sendEndlessly("x", "x", 0),
		"lower case":          sendEndlessly("http/1.1 200 OK\r\n\r\n", "x", 0),
		"status line":         sendEndlessly("HTTP/1.1 200 ", "x", noLimit),
		"head line":           sendEndlessly(ok+"X: ", "x", noLimit),
		"head lines":          sendEndlessly(ok, "X: y\r\n", noLimit),
		"interim answers":     sendEndlessly("", "HTTP/1.1 103 Early Hints\r\n\r\n", noLimit),
		"other answers":       sendEndlessly("", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx", noLimit),
		"other answer":        sendEndlessly("HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x", noLimit),
		"chunk extension":     sendEndlessly(ok+"Transfer-Encoding: chunked\r\n\r\n1;", "x", noLimit),
		"chunk extensions":    sendEndlessly(ok+"Transfer-Encoding: chunked\r\n\r\n", "1;"+strings.Repeat("x", 1000)+"\r\nx\r\n", noLimit),
		"trailers":            sendEndlessly(ok+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", noLimit),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := serve(t, script)
			_, err := exchange(t, newPool(address, 4), "a")
			if !errors.Is(err, ErrInvalid) || errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF) {
				t.Errorf("error %v, want ErrInvalid", err)
			}
		})
	}
}

// TestStatusBelow100IsInterim: the exchange ends with such a status, whatever follows it.
func TestStatusBelow100IsInterim(t *testing.T) {
	for _, status := range []string{"000", "001", "099"} {
		for _, next := range []string{"", "body", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"} {
			address, _ := serve(t, sendEndlessly("HTTP/1.1 "+status+" None\r\nId: a\r\n\r\n"+next, "x", 0))
			got, err := exchange(t, newPool(address, 4), "a")
			if !errors.Is(err, ErrInvalid) || !errors.Is(err, ErrAnswerStarted) || errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF) {
				t.Errorf("status %s, then %q: got %q, error %v, want ErrInvalid", status, next, got, err)
			}
		}
	}
}

// TestClosedConnectionIsInvalidAnswer: a connection that ends early must not be reported as
// bytes that are no answer.
func TestClosedConnectionIsInvalidAnswer(t *testing.T) {
	for _, sent := range []string{
		"", "HT", "HTTP/1.1 200 OK\r\nId: a", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nbod",
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbod", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX",
	} {
		address, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, sent)
		})
		if _, err := exchange(t, newPool(address, 4), "a"); errors.Is(err, ErrInvalid) || !errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF) {
			t.Errorf("%q: error %v, want the end of the connection", sent, err)
		}
	}
}

// TestEndlessAnswerPassesCheck: a server that answers a check without end is not at hand.
func TestEndlessAnswerPassesCheck(t *testing.T) {
	for name, script := range map[string]func(c net.Conn, r *bufio.Reader){
		"head":   sendEndlessly("HTTP/1.1 200 OK\r\nId: a\r\n", "X: y\r\n", noLimit),
		"body":   sendEndlessly("HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "x", noLimit),
		"chunks": sendEndlessly("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", noLimit),
	} {
		address, _ := serve(t, script)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		check, pool := request("a"), newPool(address, 4)
		c, err := pool.Connect(ctx, &check)
		if err == nil {
			t.Errorf("%s: the server passed the check", name)
			c.Release()
		}
		cancel()
		if pool.openCount > 0 && err != nil {
			t.Errorf("%s: %d connections are open", name, pool.openCount)
		}
	}
}

// TestBytesThatAreNoAnswerCountAsData: they must not show that the server answers.
func TestBytesThatAreNoAnswerCountAsData(t *testing.T) {
	for name, v := range map[string]struct {
		sent string
		want bool
	}{
		"garbage": {"garbage", false}, "head without end": {"HTTP/1.1 200 OK\r\nX: y\r\n", false}, "answer": {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n", true},
	} {
		address, _ := serve(t, sendEndlessly(v.sent, "x", 0))
		heard := false
		pool := NewPool(address, Config{DialTimeout: time.Second, MaxConnections: func() int { return 1 }, DefaultIdleTimeout: time.Minute, OnData: func() { heard = true }})
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		a, err := pool.Do(ctx, request("a"))
		if err == nil {
			_, _ = io.ReadAll(a.Body)
			a.Close()
		}
		cancel()
		if heard != v.want {
			t.Errorf("%s: OnData was called: %v", name, heard)
		}
	}
}

// TestDiscardEndsWithTheBody: a connection whose body was discarded is reused, and Discard
// waits no longer than it may.
func TestDiscardEndsWithTheBody(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, v := range map[string]struct {
		script func(c net.Conn, r *bufio.Reader)
		want   error
	}{
		"short":   {sendEndlessly(chunked+"1\r\nx\r\n0\r\n\r\n", "x", 0), nil},
		"silent":  {sendEndlessly(chunked+"1\r\nx\r\n", "x", 0), os.ErrDeadlineExceeded},
		"endless": {sendEndlessly(chunked, "1\r\nx\r\n", noLimit), ErrInvalid},
	} {
		address, connections := serve(t, v.script)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		pool := newPool(address, 4)
		a, err := pool.Do(ctx, request("a"))
		if err != nil {
			t.Fatal(err)
		}
		if err := a.Discard(1000, 50*time.Millisecond); v.want == nil && err != nil || v.want != nil && !errors.Is(err, v.want) {
			t.Errorf("%s: error %v, want %v", name, err, v.want)
		}
		a.Close()
		if reusable := len(pool.idle) == 1; reusable != (v.want == nil) || connections.Load() != 1 {
			t.Errorf("%s: connection is kept: %v", name, reusable)
		}
		cancel()
	}
}
