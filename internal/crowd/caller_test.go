package crowd

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
)

const (
	// bodyLimit is the largest body that the tests' configurations allow.
	bodyLimit = 4 << 20
	blockSize = 64 << 10
	// crowdTimeout bounds the time for which a caller of a crowd sends.
	crowdTimeout = 30 * time.Second
	// answerTimeout bounds the wait of an ordinary caller.
	answerTimeout = 30 * time.Second
	// slowPause and slowPieceBytes are the pause and the size of the pieces in which a slow
	// caller sends its body of slowBodyBytes.
	slowPause      = 20 * time.Millisecond
	slowPieceBytes = 64
	slowBodyBytes  = 48 << 10
	// pauseBeforeEnd is the time for which a crowd stays as it is before others are served.
	pauseBeforeEnd = time.Second
)

// crowdCase is a crowd of callers that all send the same.
type crowdCase struct {
	name  string
	count int
	// target is the listener that the crowd connects to: callers if it is empty.
	target string
	// Each caller sends head, then block until it has sent size bytes of blocks, and then end. It does not read, and keeps its
	// connection open.
	head, block, end string
	size             int
}

// repeat returns unit, repeated to about blockSize bytes.
func repeat(unit string) string { return strings.Repeat(unit, 1+blockSize/len(unit)) }

// chunk returns a chunk of n bytes.
func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

const chunked = "Transfer-Encoding: chunked\r\n"

func announced(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// bodyCases are crowds of callers with bodies. begin starts the head of a request with a body.
func bodyCases(begin string) []crowdCase {
	const unfinished = bodyLimit - blockSize
	return []crowdCase{
		{name: "chunks of one byte, unfinished", count: 12, head: begin + chunked + "\r\n", block: repeat(chunk(1)), size: 6 * unfinished},
		{name: "chunks of three bytes, unfinished", count: 24, head: begin + chunked + "\r\n", block: repeat(chunk(3)), size: 8 * unfinished / 3},
		{name: "large chunks, unfinished", count: 80, head: begin + chunked + "\r\n", block: chunk(blockSize), size: unfinished},
		{name: "one chunk, unfinished", count: 80, head: begin + chunked + fmt.Sprintf("\r\n%x\r\n", bodyLimit), block: repeat("x"), size: unfinished},
		{name: "length, unfinished", count: 80, head: begin + announced(bodyLimit) + "\r\n", block: repeat("x"), size: unfinished},
		{name: "length over the limit", count: 60, head: begin + announced(1<<40) + "\r\n", block: repeat("x"), size: 4 * bodyLimit},
		{name: "chunks over the limit", count: 60, head: begin + chunked + "\r\n", block: chunk(blockSize), size: 4 * bodyLimit},
		{name: "chunk over the limit", count: 60, head: begin + chunked + "\r\nffffffffff\r\n", block: repeat("x"), size: 4 * bodyLimit},
		{name: "chunk extensions", count: 60, head: begin + chunked + "\r\n1;", block: repeat("x"), size: 2 * bodyLimit},
		{name: "small bodies, unfinished", count: 2500, head: begin + announced(blockSize) + "\r\n", block: strings.Repeat("x", blockSize-1), size: blockSize - 1},
		{name: "heads, unfinished", count: 500, head: begin, block: strings.Repeat("a: b\r\n", 60<<10/6), size: 60<<10 - 6},
		{name: "head lines of one name each", count: 500, head: begin, block: distinctLines(55 << 10), size: 50 << 10},
		{name: "trailers", count: 60, head: begin + chunked + "Trailer: X\r\n\r\n" + chunk(1) + "0\r\n", block: repeat("a: b\r\n"), size: 2 * bodyLimit},
		{name: "declared trailers", count: 500, head: begin + chunked + "Trailer: " + strings.Repeat("a,", 25<<10) + "b\r\n\r\n" + chunk(1) + "0\r\n", block: repeat("a: b\r\n"), size: blockSize},
	}
}

func distinctLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "x%x:\r\n", i)
	}
	return b.String()
}

// run starts the callers of the crowd and returns once all have sent what they send, or were
// refused. They stay connected until the test ends.
func (c crowdCase) run(t *testing.T, address string) {
	var sending sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for range c.count {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", address, crowdTimeout)
			if err == nil {
				t.Cleanup(func() { _ = conn.Close() })
				err = c.send(conn)
			}
			if err != nil {
				mu.Lock()
				refused++
				mu.Unlock()
			}
		})
	}
	sending.Wait()
	t.Logf("%d of %d callers could not send all", refused, c.count)
}

func (c crowdCase) send(conn net.Conn) error {
	_ = conn.SetWriteDeadline(time.Now().Add(crowdTimeout))
	_, err := io.WriteString(conn, c.head)
	for sent := 0; err == nil && c.block != "" && sent+len(c.block) <= c.size; sent += len(c.block) {
		_, err = io.WriteString(conn, c.block)
	}
	if err == nil && c.end != "" {
		_, err = io.WriteString(conn, c.end)
	}
	return err
}

// slowCaller sends a body within all limits slowly.
type slowCaller struct {
	conn   net.Conn
	hurry  chan struct{}
	status chan string
}

// startSlowCaller starts a request whose head begins with begin.
func startSlowCaller(t *testing.T, address, begin string) *slowCaller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	s := &slowCaller{conn: conn, hurry: make(chan struct{}), status: make(chan string, 1)}
	go func() { s.status <- s.send(begin) }()
	return s
}

func (s *slowCaller) send(begin string) string {
	if _, err := io.WriteString(s.conn, begin+announced(slowBodyBytes)+"\r\n"); err != nil {
		return err.Error()
	}
	pause := slowPause
	body := strings.Repeat("y", slowBodyBytes)
	for len(body) > 0 {
		// The last bytes are sent once the crowd is there.
		n := min(slowPieceBytes, len(body))
		if pause > 0 && len(body) <= 2*slowPieceBytes {
			n = 0
		}
		if pause == 0 {
			n = len(body)
		}
		if _, err := io.WriteString(s.conn, body[:n]); err != nil {
			return err.Error()
		}
		body = body[n:]
		select {
		case <-s.hurry:
			pause = 0
		case <-time.After(pause):
		}
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(answerTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(s.conn), nil)
	if err != nil {
		return err.Error()
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if err != nil {
		return err.Error()
	}
	return resp.Status
}

// finish lets the caller send the rest of its body and returns the status of its answer.
func (s *slowCaller) finish() string {
	close(s.hurry)
	return <-s.status
}

// exchange sends text on a new connection and returns the status line of the answer.
func exchange(address, text string) string {
	conn, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	// The answer may come before all bytes are sent.
	sent := make(chan error, 1)
	go func() {
		_, err := io.WriteString(conn, text)
		sent <- err
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Status
}

// ordinaryExchange repeats an ordinary request, each time on a new connection, as callers do
// after a refusal or a lost connection.
func (p *process) ordinaryExchange(address, text string) string {
	status := ""
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		select {
		case <-p.exited:
			return "the process has ended"
		default:
		}
		if status = exchange(address, text); status == "200 OK" {
			break
		}
	}
	return status
}
