package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
)

// TestAnswerCutByHostThatGoesLooksComplete: a server's process ends, and its connections are closed
// in order; then its host is gone, for all VMs: nothing refuses connections to it.
func TestAnswerCutByHostThatGoesLooksComplete(t *testing.T) {
	for _, path := range []string{"/fixedstream/x", "/once/x"} {
		for _, unreachable := range []bool{false, true} {
			f := newFixture(t)
			s := newRawServer(t, "s-1")
			s.answer = func(c net.Conn, _ *http.Request) {
				_, _ = io.WriteString(c, "id: 1\ndata: x\n\n")
				time.Sleep(10 * time.Second)
			}
			s.start()
			f.store.Put(platform.ServersTopic, s.id, s.registration("ready"))
			var gone atomic.Bool
			var nodes []*Node
			for _, vm := range []string{"vm-1", "vm-2", "vm-3"} {
				n := newNode(f.settings(vm), f.logs)
				n.backends.dial = func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
					switch {
					case gone.Load() && unreachable:
						return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.EHOSTUNREACH}
					case gone.Load():
						ctx, cancel := context.WithTimeout(ctx, d.Timeout)
						defer cancel()
						<-ctx.Done()
						return nil, ctx.Err()
					}
					return d.DialContext(ctx, "tcp", address)
				}
				if err := n.start(); err != nil {
					t.Fatal(err)
				}
				t.Cleanup(n.Close)
				nodes = append(nodes, n)
			}
			f.eventually("nodes are ready", func() bool {
				for _, n := range nodes {
					if !n.Ready() || n.backends.count() != 1 || n.members.count() != 3 {
						return false
					}
				}
				return true
			})
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				status, received, err := rawCallers[0].send(nodes[0], path, "cut", "body", 2500*time.Millisecond)
				if err == nil && status == http.StatusOK {
					t.Errorf("%s, unreachable %v: the answer looks complete: %q", path, unreachable, received)
				}
			}()
			f.eventually("runs", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.requests == 1 })
			time.Sleep(50 * time.Millisecond)
			gone.Store(true)
			s.end()
			<-ended
		}
	}
}
