package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
)

// endConnections closes all connections in order, and the listener after the given time.
func (s *rawServer) endConnections(listenerAfter time.Duration) {
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	time.Sleep(listenerAfter)
	s.end()
}

// TestStreamCutWhileCheckWaitsLooksComplete: a server's process ends, its connections before its
// listener, while the check after the end of another stream waits to begin.
func TestStreamCutWhileCheckWaitsLooksComplete(t *testing.T) {
	const listenerAfter = 80 * time.Millisecond
	for _, between := range []time.Duration{0, serverCheckDelay - 15*time.Millisecond} {
		for _, told := range []bool{false, true} {
			t.Run(fmt.Sprint(between, told), func(t *testing.T) {
				f := newFixture(t)
				s := newRawServer(t, "s-1")
				endWhole := make(chan struct{})
				s.answer = func(c net.Conn, r *http.Request) {
					_, _ = io.WriteString(c, "id: 1\ndata: x\n\n")
					if strings.HasSuffix(r.URL.Path, "whole") {
						<-endWhole
						return
					}
					time.Sleep(10 * time.Second)
				}
				s.start()
				f.store.Put(platform.ServersTopic, s.id, s.registration("ready"))
				n := f.startNode("vm-1", 1)
				var sends sync.WaitGroup
				send := func(name string) {
					sends.Go(func() {
						status, received, err := rawCallers[0].send(n, "/fixedstream/"+name, name, "body", 2500*time.Millisecond)
						t.Logf("%s: %d %q, error %v", name, status, received, err)
						if name == "cut" && err == nil && status == http.StatusOK {
							t.Errorf("the cut answer looks complete: %q", received)
						}
					})
				}
				send("cut")
				if between > 0 {
					send("whole")
				}
				want := 1
				if between > 0 {
					want = 2
				}
				f.eventually("all run", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.requests == want })
				if told {
					f.store.Put(platform.ServersTopic, s.id, s.registration("draining"))
					f.eventually("announced", func() bool { return n.backends.isLeaving(n.backends.byProcess(s.id, 1000)) })
				}
				time.Sleep(50 * time.Millisecond)
				close(endWhole)
				time.Sleep(between)
				s.endConnections(listenerAfter)
				sends.Wait()
			})
		}
	}
}
