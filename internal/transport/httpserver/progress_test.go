package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func respondOK(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// sendRaw opens a connection, writes text to it and returns it with a reader.
func sendRaw(t *testing.T, s *Server, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(closeTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// expect reads one answer and checks its status and that the connection is
// closed after it.
func expect(t *testing.T, r *bufio.Reader, status int) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if resp.StatusCode != status {
		t.Errorf("status %d, want %d", resp.StatusCode, status)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("the connection stays open: %v", err)
	}
}

func TestMalformedRequestIsAnswered(t *testing.T) {
	s := startServer(t, Config{}, respondOK)
	for _, text := range []string{"garbage\r\n\r\n", "GET / HTTP/9\r\nHost: a\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n"} {
		_, r := sendRaw(t, s, text)
		expect(t, r, http.StatusBadRequest)
	}
}

// TestMalformedBytesDoNotCutEarlierAnswer sends bytes that can't be parsed
// while an earlier request on the connection is still running.
func TestMalformedBytesDoNotCutEarlierAnswer(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s := startServer(t, Config{}, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		w.Header().Set("Content-Length", "4")
		_, _ = io.WriteString(w, "four")
	})
	c, r := sendRaw(t, s, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	if _, err := io.WriteString(c, "garbage\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	// The handler waits until the malformed bytes have been read.
	waitFor(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, state := range s.conns {
			if state.rejected {
				return true
			}
		}
		return false
	})
	close(release)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "four" {
		t.Errorf("body %q, %v", body, err)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("the connection stays open: %v", err)
	}
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(closeTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition was not met in time")
		}
	}
}

func TestSlowHeadIsRejected(t *testing.T) {
	s := startServer(t, Config{HeaderTimeout: 2 * watchInterval}, respondOK)
	_, r := sendRaw(t, s, "GET / HTTP/1.1\r\nHost: a\r\n")
	expect(t, r, http.StatusRequestTimeout)
}

func TestIdleConnectionIsClosed(t *testing.T) {
	s := startServer(t, Config{}, respondOK)
	_, r := sendRaw(t, s, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("answer %v, error %v", resp, err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		t.Fatal(err)
	}
	s.SetLimits(Limits{IdleTimeout: 2 * watchInterval})
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("the connection stays open: %v", err)
	}
}

// TestConnectionLimits checks that the header limit applies to the head only,
// and that the idle limit applies to the time between two parts of a body.
func TestConnectionLimits(t *testing.T) {
	limits := Limits{HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second}
	start := time.Unix(1_900_000_000, 0)
	p := &requestProgress{lastActivityAt: start}
	overdue := func(after time.Duration) (bool, bool) { return p.overdue(limits, start.Add(after)) }
	if got, _ := overdue(9 * time.Second); got {
		t.Error("a connection without received bytes is overdue before its idle limit")
	}
	p.receive([]byte("POST / HTTP/1.1\r\nHost: a\r\n\r"), start.Add(9*time.Second))
	if got, inHead := overdue(11 * time.Second); !got || !inHead {
		t.Error("an incomplete head is not overdue")
	}
	p.receive([]byte("\nbody"), start.Add(9500*time.Millisecond))
	if got, _ := overdue(19 * time.Second); got {
		t.Error("the header limit was applied to a body")
	}
	if got, inHead := overdue(20 * time.Second); !got || inHead {
		t.Error("a body without further bytes is not overdue")
	}
	p.reset(start.Add(20 * time.Second))
	if got, _ := overdue(30 * time.Second); got {
		t.Error("the connection is overdue before its idle limit after an answer")
	}
}
