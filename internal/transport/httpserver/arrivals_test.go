package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func answerOK(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// sendRaw connects, writes bytes and returns the connection.
func sendRaw(t *testing.T, s *Server, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(closeBound))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// expect reads one answer, and then the connection's end.
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

func TestBytesThatAreNoRequestAreAnswered(t *testing.T) {
	s := startServer(t, Config{}, answerOK)
	for _, text := range []string{"garbage\r\n\r\n", "GET / HTTP/9\r\nHost: a\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n"} {
		_, r := sendRaw(t, s, text)
		expect(t, r, http.StatusBadRequest)
	}
}

// TestGarbageBehindARequestLeavesItsAnswerWhole: what can't be read comes while a
// request before it is still running.
func TestGarbageBehindARequestLeavesItsAnswerWhole(t *testing.T) {
	began, goOn := make(chan struct{}), make(chan struct{})
	s := startServer(t, Config{}, func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		<-goOn
		w.Header().Set("Content-Length", "4")
		_, _ = io.WriteString(w, "four")
	})
	c, r := sendRaw(t, s, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-began
	if _, err := io.WriteString(c, "garbage\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	// The garbage is read while the handler waits.
	waitFor(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, state := range s.conns {
			if state.refused {
				return true
			}
		}
		return false
	})
	close(goOn)
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

func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(closeBound); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never")
		}
	}
}

func TestASlowHeadIsRefused(t *testing.T) {
	s := startServer(t, Config{HeaderTimeout: 2 * watchInterval}, answerOK)
	_, r := sendRaw(t, s, "GET / HTTP/1.1\r\nHost: a\r\n")
	expect(t, r, http.StatusRequestTimeout)
}

func TestAnIdleConnectionCloses(t *testing.T) {
	s := startServer(t, Config{}, answerOK)
	_, r := sendRaw(t, s, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", resp, err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		t.Fatal(err)
	}
	s.SetLimits(Limits{Idle: 2 * watchInterval})
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("the connection stays open: %v", err)
	}
}

// TestLatenessOfArrivals: the head alone is bound by the head's time; a body that
// comes in pieces is bound by the time between them.
func TestLatenessOfArrivals(t *testing.T) {
	limits := Limits{Header: time.Second, Idle: 10 * time.Second}
	begin := time.Unix(1_900_000_000, 0)
	a := &arrival{quietFrom: begin}
	late := func(after time.Duration) (bool, bool) { return a.late(limits, begin.Add(after)) }
	if l, _ := late(9 * time.Second); l {
		t.Error("a connection without a byte is late before its idle time")
	}
	a.take([]byte("POST / HTTP/1.1\r\nHost: a\r\n\r"), begin.Add(9*time.Second))
	if l, head := late(11 * time.Second); !l || !head {
		t.Error("half a head is not late")
	}
	a.take([]byte("\nbody"), begin.Add(9500*time.Millisecond))
	if l, _ := late(19 * time.Second); l {
		t.Error("a body is late for its head")
	}
	if l, head := late(20 * time.Second); !l || head {
		t.Error("a body without a byte is not late")
	}
	a.next(begin.Add(20 * time.Second))
	if l, _ := late(30 * time.Second); l {
		t.Error("the connection is late right after an answer")
	}
}
