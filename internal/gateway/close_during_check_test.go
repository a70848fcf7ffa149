package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
)

// TestAnswerCutBeforeNodeStopsLooksComplete: a server ends during a stream, and the node stops
// while it checks the server.
func TestAnswerCutBeforeNodeStopsLooksComplete(t *testing.T) {
	const rounds = 10
	complete := 0
	for i := range rounds {
		f := newFixture(t)
		s := newRawServer(t, "s-1")
		s.answer = func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "id: 1\ndata: x\n\n")
			time.Sleep(10 * time.Second)
		}
		s.start()
		f.store.Put(platform.ServersTopic, s.id, s.registration("ready"))
		n := f.startNode("vm-1", 1)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			status, received, err := rawCallers[0].send(n, "/fixedstream/x", fmt.Sprint("cut", i), "body", 2500*time.Millisecond)
			t.Logf("%d %q, error %v", status, received, err)
			if err == nil && status == http.StatusOK {
				complete++
			}
		}()
		f.eventually("runs", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.requests == 1 })
		time.Sleep(50 * time.Millisecond)
		s.end()
		time.Sleep(serverCheckDelay / 2)
		n.Close()
		<-ended
	}
	if complete > 0 {
		t.Errorf("%d of %d answers look complete", complete, rounds)
	}
}
