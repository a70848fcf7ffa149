package httpserver

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

// TestClosedListenerDelaysErrors guards against a busy loop: after an error the
// library calls Accept again at once, until its Stop has started. Without the delay,
// two draining VMs in the run detsporenie-tt-grown trouble-1 --no-cpu only called
// Accept in a loop, and the run made no progress.
func TestClosedListenerDelaysErrors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newListener(inner, func() {})
	delays := 0
	l.sleep = func(d time.Duration) {
		if d <= 0 {
			t.Errorf("delay of %v", d)
		}
		delays++
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if _, err := l.Accept(); err == nil {
			t.Fatal("a closed listener accepted a connection")
		}
	}
	if delays != 3 {
		t.Fatalf("%d delays for 3 errors", delays)
	}
}

// TestNewConnectionIsClosedByEventOfOlderOne sends requests that ask for their
// connections to be closed. The server and the caller then close at the same time, and
// the read loop may receive the caller's close when the descriptor already belongs to
// a new connection.
func TestNewConnectionIsClosedByEventOfOlderOne(t *testing.T) {
	s := startServer(t, Config{}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	const callers, requests = 8, 1500
	var running sync.WaitGroup
	var failed atomic.Int64
	for range callers {
		running.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for range requests {
				resp, err := client.Get("http://" + s.Address())
				if err != nil {
					failed.Add(1)
					continue
				}
				_ = resp.Body.Close()
			}
		})
	}
	running.Wait()
	if n := failed.Load(); n > 0 {
		t.Errorf("%d of %d requests ended without an answer", n, callers*requests)
	}
}

// TestConnectionIsAcceptedBeforeBarrier: the barrier has to follow the choice of the
// connection's descriptor.
func TestConnectionIsAcceptedBeforeBarrier(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	barriers := 0
	l := newListener(inner, func() { barriers++ })
	caller, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, ok := conn.(*nbio.Conn); !ok || barriers != 1 {
		t.Fatalf("accepted a %T after %d barriers", conn, barriers)
	}
}

// TestLostBarrierDelaysAllConnections closes the server's own connection. The barrier
// opens another one.
func TestLostBarrierDelaysAllConnections(t *testing.T) {
	s := startServer(t, Config{}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	first := s.barrier.client
	_ = first.Close()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		resp, err := client.Get("http://" + s.Address())
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		s.barrier.mu.Lock()
		reopened := s.barrier.isOpen && s.barrier.client != first
		s.barrier.mu.Unlock()
		if reopened {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the barrier was not opened again")
		}
	}
	if !s.barrier.await(testTimeout) {
		t.Error("the read loop does not pass the new barrier")
	}
}
