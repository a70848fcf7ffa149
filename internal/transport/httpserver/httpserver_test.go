package httpserver

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"
)

// testTimeout bounds each wait of a test.
const testTimeout = 30 * time.Second

func startServer(t *testing.T, cfg Config, handler http.HandlerFunc) *Server {
	t.Helper()
	cfg.Name, cfg.Address, cfg.Handler = "test", "127.0.0.1:0", handler
	s, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func get(t *testing.T, ctx context.Context, s *Server) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address()+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// TestDisconnectCancelsStream closes a caller's connection in the middle of an
// event stream. The handler's context must end.
func TestDisconnectCancelsStream(t *testing.T) {
	ended := make(chan struct{})
	s := startServer(t, Config{}, func(w http.ResponseWriter, r *http.Request) {
		if NewEventStream(w, r).Send("tick", 1) == nil {
			<-r.Context().Done()
		}
		close(ended)
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	resp := get(t, ctx, s)
	if _, err := io.ReadFull(resp.Body, make([]byte, 5)); err != nil {
		t.Fatal(err)
	}
	cancel()
	resp.Body.Close()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the handler was not cancelled")
	}
}

// TestShutdownSendsBufferedBytes shuts the server down while an answer is in
// the write buffer of a connection from which the caller has not yet read.
func TestShutdownSendsBufferedBytes(t *testing.T) {
	const size = 12 << 20
	payload := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	handled := make(chan struct{})
	s := startServer(t, Config{MaxWriteBufferBytes: 2 * size}, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		_, _ = w.Write(payload)
		close(handled)
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	resp := get(t, ctx, s)
	defer resp.Body.Close()
	<-handled
	if s.isIdle() {
		t.Fatal("the complete answer fits the kernel's buffers, so the test is void")
	}
	shutdown := make(chan error, 1)
	go func() { shutdown <- s.Shutdown(ctx) }()
	got, err := io.ReadAll(resp.Body)
	if err != nil || !bytes.Equal(got, payload) {
		t.Fatalf("%d of %d bytes, %v", len(got), size, err)
	}
	if err := <-shutdown; err != nil {
		t.Fatal(err)
	}
}

// TestIdleTimeoutDoesNotEndStream checks that the idle timeout applies to
// connections without a request only. Many connections are opened at once, so the
// library starts the idle timer of some after their request has started.
func TestIdleTimeoutDoesNotEndStream(t *testing.T) {
	const timeout, events, callers = 10 * watchInterval, 30, 40
	s := startServer(t, Config{IdleTimeout: timeout}, func(w http.ResponseWriter, r *http.Request) {
		stream := NewEventStream(w, r)
		for range events {
			if stream.Send("tick", 1) != nil {
				return
			}
			time.Sleep(timeout / 20)
		}
	})
	var streams sync.WaitGroup
	for range callers {
		streams.Go(func() {
			resp, err := http.Get("http://" + s.Address())
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			if n := bytes.Count(data, []byte("event: tick")); err != nil || n != events {
				t.Errorf("%d of %d events, %v", n, events, err)
			}
		})
	}
	streams.Wait()
}

// TestSlowReaderIsDisconnected checks that the connection of a slow reader is
// closed before more than MaxWriteBufferBytes is buffered.
func TestSlowReaderIsDisconnected(t *testing.T) {
	const limit = 256 << 10
	ended := make(chan int64, 1)
	s := startServer(t, Config{MaxWriteBufferBytes: limit}, func(w http.ResponseWriter, r *http.Request) {
		stream := NewEventStream(w, r)
		conn := connOf(w)
		peak := int64(0)
		for r.Context().Err() == nil && stream.Send("data", bytes.Repeat([]byte("x"), 4<<10)) == nil {
			peak = max(peak, unsentBytes(conn))
		}
		ended <- peak
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	resp := get(t, ctx, s)
	defer resp.Body.Close()
	select {
	case peak := <-ended:
		if peak == 0 || peak > limit {
			t.Fatalf("up to %d bytes were buffered", peak)
		}
	case <-ctx.Done():
		t.Fatal("the stream to a reader that does not read was not ended")
	}
}

// TestCloseRightAfterStartReturns closes servers right after Start. On one CPU, the
// library's loops would not yet have started if Start did not wait for them.
func TestCloseRightAfterStartReturns(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 20 {
		s, err := Start(Config{Name: "test", Address: "127.0.0.1:0", Handler: http.NotFoundHandler()})
		if err != nil {
			t.Fatal(err)
		}
		closed := make(chan struct{})
		go func() {
			s.Close()
			close(closed)
		}()
		select {
		case <-closed:
		case <-time.After(testTimeout):
			t.Fatal("Close did not return")
		}
	}
}

// TestDelayedAnswerIsComplete delays an answer. With the library's WriteTimeout
// set, the connection was closed before the answer started.
func TestDelayedAnswerIsComplete(t *testing.T) {
	release := make(chan struct{})
	s, err := Start(Config{Name: "test", Address: "127.0.0.1:0",
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			<-release
			WriteJSON(w, http.StatusOK, "late")
		})})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	time.AfterFunc(200*time.Millisecond, func() { close(release) })
	resp, err := http.Get("http://" + s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}
