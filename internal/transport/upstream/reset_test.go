package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 1 << 20

// unframed is the begin of an answer that ends with its connection.
const unframed = "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart"

func upload() Request {
	req := request("a")
	req.Method = "POST"
	req.Head = fmt.Appendf(nil, "POST /x HTTP/1.1\r\nHost: a\r\nId: a\r\nContent-Length: %d\r\n\r\n", uploadBytes)
	req.Body = make([]byte, uploadBytes)
	return req
}

// uploadPool returns a pool whose connections buffer little.
func uploadPool(address string) *Pool {
	return NewPool(address, Config{
		DialTimeout: time.Second, MaxConnections: func() int { return 1 }, DefaultIdleTimeout: time.Minute,
		Dial: func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, "tcp", address)
			if err == nil {
				err = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
			}
			return c, err
		},
	})
}

// answerEarly reads the head of a request, sends an answer and then calls next.
func answerEarly(answer string, next func(c *net.TCPConn, body io.Reader)) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		next(c.(*net.TCPConn), req.Body)
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// awaitWritten waits until the writing of the request has ended.
func awaitWritten(t *testing.T, a *Answer) {
	t.Helper()
	for end := time.Now().Add(testTimeout); len(a.written) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request is still being written")
		}
	}
}

// TestResetDuringUploadLooksLikeEnd: the write meets the reset first, so that the system reports
// none to reads.
func TestResetDuringUploadLooksLikeEnd(t *testing.T) {
	for name, answer := range map[string]string{
		"HTTP/1.1": unframed, "HTTP/1.0": strings.Replace(unframed, "1.1", "1.0", 1), "closes": strings.Replace(unframed, "Id", "Connection: close\r\nId", 1),
		"length": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\npart", "chunks": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	} {
		for _, discard := range []bool{false, true} {
			goOn := make(chan struct{})
			address, _ := serve(t, answerEarly(answer, func(c *net.TCPConn, _ io.Reader) {
				<-goOn
				reset(c)
			}))
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			a, err := uploadPool(address).Do(ctx, upload())
			if err != nil {
				t.Fatal(err)
			}
			close(goOn)
			awaitWritten(t, a)
			var body []byte
			if discard {
				err = a.Discard(1000, testTimeout)
			} else {
				body, err = io.ReadAll(a.Body)
			}
			if !errors.Is(err, syscall.ECONNRESET) || a.End() != EndNotSeen {
				t.Errorf("%s, discarded %v: %q, error %v, end %d: want a reset", name, discard, body, err, a.End())
			}
			a.Close()
			cancel()
		}
	}
}

// TestResetBeforeHeadDuringUploadLooksLikeClose: the error tells how the connection has ended also
// before the head of an answer.
func TestResetBeforeHeadDuringUploadLooksLikeClose(t *testing.T) {
	const rounds = 100
	for i := range rounds {
		address, _ := serve(t, answerEarly("", func(c *net.TCPConn, _ io.Reader) { reset(c) }))
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		_, err := uploadPool(address).Do(ctx, upload())
		if !errors.Is(err, ErrIncomplete) || !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("round %d of %d: error %v, want a reset", i, rounds, err)
		}
		cancel()
	}
}

// TestResetDuringReadAndWriteLooksLikeEnd: either the read or the write meets the reset first.
func TestResetDuringReadAndWriteLooksLikeEnd(t *testing.T) {
	const rounds = 200
	complete := 0
	for range rounds {
		address, _ := serve(t, answerEarly(unframed, func(c *net.TCPConn, _ io.Reader) {
			time.Sleep(time.Millisecond)
			reset(c)
		}))
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		a, err := uploadPool(address).Do(ctx, upload())
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(a.Body)
		if err == nil || a.End() != EndNotSeen {
			complete++
		} else if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%q, error %v, want a reset", body, err)
		}
		a.Close()
		cancel()
	}
	if complete > 0 {
		t.Errorf("%d of %d answers that were reset look complete", complete, rounds)
	}
}

// TestTimeoutDuringUploadLooksLikeEnd: the system gives the connection up, as the server takes no
// bytes, and reports that to the write only.
func TestTimeoutDuringUploadLooksLikeEnd(t *testing.T) {
	t.Parallel()
	goOn := make(chan struct{})
	address, _ := serve(t, answerEarly(unframed, func(*net.TCPConn, io.Reader) { <-goOn }))
	defer close(goOn)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	a, err := uploadPool(address).Do(ctx, upload())
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	awaitWritten(t, a)
	if body, err := io.ReadAll(a.Body); !errors.Is(err, syscall.ETIMEDOUT) || a.End() != EndNotSeen {
		t.Errorf("%q, error %v, end %d: want a timeout", body, err, a.End())
	}
}

// TestEarlyAnswerClosedInOrderLooksReset: an answer that ends with its connection is complete if
// the server has closed that in order, whatever becomes of the request's body.
func TestEarlyAnswerClosedInOrderLooksReset(t *testing.T) {
	for name, v := range map[string]struct {
		// next is called once the server has closed the connection for sending. received is closed
		// once the answer was read.
		next func(c *net.TCPConn, body io.Reader, received <-chan struct{})
		// writeEnds is true if the write ends before the answer is read.
		writeEnds bool
	}{
		"body read":           {func(_ *net.TCPConn, body io.Reader, _ <-chan struct{}) { _, _ = io.Copy(io.Discard, body) }, true},
		"body read meanwhile": {func(_ *net.TCPConn, body io.Reader, _ <-chan struct{}) { _, _ = io.Copy(io.Discard, body) }, false},
		"body not read":       {func(_ *net.TCPConn, _ io.Reader, received <-chan struct{}) { <-received }, false},
		"reset":               {func(c *net.TCPConn, _ io.Reader, _ <-chan struct{}) { reset(c) }, true},
		"reset meanwhile":     {func(c *net.TCPConn, _ io.Reader, _ <-chan struct{}) { reset(c) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				received := make(chan struct{})
				address, _ := serve(t, answerEarly(unframed, func(c *net.TCPConn, body io.Reader) {
					_ = c.CloseWrite()
					v.next(c, body, received)
				}))
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				pool := uploadPool(address)
				a, err := pool.Do(ctx, upload())
				if err != nil {
					t.Fatal(err)
				}
				if v.writeEnds {
					awaitWritten(t, a)
				}
				if body, err := io.ReadAll(a.Body); err != nil || string(body) != "part" || a.End() != EndOfConnection {
					t.Errorf("%q, error %v, end %d: want the whole answer", body, err, a.End())
				}
				a.Close()
				if len(pool.idle) > 0 {
					t.Error("the connection is kept")
				}
				close(received)
				cancel()
			}
		})
	}
}

// endedConn is a connection that was closed or reset at its other end during a write.
type endedConn struct {
	net.Conn
	writeErr error
}

func (c endedConn) Write([]byte) (int, error)        { return 0, c.writeErr }
func (c endedConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c endedConn) SetWriteDeadline(time.Time) error { return nil }

// TestErrorOfWriteIsTakenForEnd: any error of the connection that a write has met shows that the
// other end has not closed it in order.
func TestErrorOfWriteIsTakenForEnd(t *testing.T) {
	for _, v := range []struct {
		writeErr, want error
	}{
		{nil, io.EOF},
		{os.ErrDeadlineExceeded, io.EOF},
		{syscall.EPIPE, io.EOF},
		{syscall.ECONNRESET, syscall.ECONNRESET},
		{syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		{syscall.EHOSTUNREACH, syscall.EHOSTUNREACH},
		{net.ErrClosed, net.ErrClosed},
	} {
		c := newConn(endedConn{writeErr: v.writeErr})
		_, _ = c.Write([]byte("x"))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, v.want) || (err == io.EOF) != (v.want == io.EOF) {
			t.Errorf("write error %v: read error %v, want %v", v.writeErr, err, v.want)
		}
	}
}
