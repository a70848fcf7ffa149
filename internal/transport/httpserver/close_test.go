package httpserver

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	closeRounds  = 40
	closeCallers = 40
	closeServers = 4
	// closeTimeout is far above the duration of a close that does not hang.
	closeTimeout = 10 * time.Second
)

// TestCloseWithOpenStreamsReturns closes several servers of one process
// concurrently while callers connect, read streams and disconnect once their
// stream has ended. Each close must return.
func TestCloseWithOpenStreamsReturns(t *testing.T) {
	var servers sync.WaitGroup
	for range closeServers {
		servers.Go(func() {
			for range closeRounds {
				if !closeWithOpenStreams(t) {
					return
				}
			}
		})
	}
	servers.Wait()
}

// closeWithOpenStreams reports whether the close of one server returned in
// time.
func closeWithOpenStreams(t *testing.T) bool {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		events := NewEventStream(w, r)
		for i := 0; r.Context().Err() == nil && events.Send("tokens", i) == nil; i++ {
			time.Sleep(time.Millisecond)
		}
	})
	s, err := Start(Config{Name: "closed", Address: "127.0.0.1:0", Handler: handler})
	if err != nil {
		t.Error(err)
		return false
	}
	streaming := make(chan struct{}, closeCallers)
	for range closeCallers {
		go readUntilClosed(s.Address(), streaming)
	}
	<-streaming
	closed := make(chan struct{})
	go func() {
		s.Close()
		close(closed)
	}()
	select {
	case <-closed:
		return true
	case <-time.After(closeTimeout):
		t.Error("Close did not return")
		return false
	}
}

func readUntilClosed(address string, streaming chan<- struct{}) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		streaming <- struct{}{}
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	_, _ = conn.Read(make([]byte, 1))
	streaming <- struct{}{}
	_, _ = io.Copy(io.Discard, conn)
}
