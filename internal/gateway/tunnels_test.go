package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// startCutNode starts a node whose links are cut, and another one through which its requests
// go. It returns once the cut has been noticed.
func startCutNode(f *fixture, servers int) (cut, linked *Node) {
	f.t.Helper()
	nodes, cuts := startLinkedNodes(f, 2, servers)
	cuts[0].set(linksRefuse)
	f.eventually("the cut is noticed", func() bool {
		do(f.t, nodes[0], call{method: "POST", path: "/again/x", key: "key-w", id: "first", body: "first"})
		return nodes[0].usesTunnels("s")
	})
	return nodes[0], nodes[1]
}

// TestTunnelHoldsEventsBack: the events of a stream that goes through a tunnel arrive one by
// one, and its server notices that the caller has left.
func TestTunnelHoldsEventsBack(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	s := f.addServer("s-1", always(platformtest.Behavior{EventPause: 200 * time.Millisecond}))
	cut, linked := startCutNode(f, 1)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	resp, err := http.DefaultClient.Do(call{method: "POST", path: "/stream/x", key: "key-w", id: "stream", body: "b"}.request(t, ctx, cut))
	if err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 1024)
	size, err := resp.Body.Read(buffer)
	if err != nil || !strings.Contains(string(buffer[:size]), "data: ") {
		t.Errorf("first read: %q, %v", buffer[:size], err)
	}
	if arrivals := s.Arrivals(); !arrivals[len(arrivals)-1].EndedAt.IsZero() {
		t.Error("the first event has arrived after the end of the stream")
	}
	resp.Body.Close()
	f.eventually("the server's connection is closed", func() bool { return s.Abandoned() == 1 })
	f.eventually("the tunnel has ended", func() bool { return linked.tunnels.served.Load() == 0 })
}

// TestServersStatementInTunnelBindsOneVMOnly: what a server states in an answer that goes
// through a tunnel binds the peer, from which the request has reached it, and the VM that had
// the request.
func TestServersStatementInTunnelBindsOneVMOnly(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	leaving := f.addServer("s-leaving", nil)
	f.addServer("s-stays", nil)
	cut, linked := startCutNode(f, 2)
	leaving.Leave()
	f.eventually("the statement has arrived", func() bool {
		do(t, cut, call{method: "POST", path: "/again/x", key: "key-w", id: "told", body: "told"})
		return f.logs.hasLine("servers announced-leaving", "server=s-leaving")
	})
	before := len(leaving.Arrivals())
	for i := range 40 {
		do(t, linked, call{method: "POST", path: "/again/x", key: "key-w", id: fmt.Sprint("linked-", i), body: "b"})
		do(t, cut, call{method: "POST", path: "/again/x", key: "key-w", id: fmt.Sprint("cut-", i), body: "b"})
	}
	if got := len(leaving.Arrivals()); got > before {
		t.Errorf("%d requests reached the server after its statement", got-before)
	}
}

// TestCutLinksCountAsCrashesOfServers: the answers that break off when links are cut are no
// evidence against the contents of their requests, nor against the servers.
func TestCutLinksCountAsCrashesOfServers(t *testing.T) {
	t.Parallel()
	for name, form := range map[string]cutForm{"refuse": linksRefuse, "reset-all": linksResetAll} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			for i := range 4 {
				f.addServer(fmt.Sprint("s-", i), always(platformtest.Behavior{EventPause: 300 * time.Millisecond}))
			}
			nodes, cuts := startLinkedNodes(f, 3, 4)
			var open sync.WaitGroup
			for i := range 24 {
				open.Go(func() {
					do(t, nodes[0], call{method: "POST", path: []string{"/once/x", "/fixedstream/x"}[i%2], key: "key-w", id: fmt.Sprint("open-", i), body: fmt.Sprint("body ", i)})
				})
			}
			time.Sleep(200 * time.Millisecond)
			cuts[0].set(form)
			open.Wait()
			f.eventually("the cut is noticed", func() bool { return nodes[0].links.IsCut("s") })
			time.Sleep(serverCheckDelay + serverCheckTimeout)
			for _, state := range []string{"ended", "listening", "unknown"} {
				if f.logs.hasLine("content lost", "server-state="+state) {
					t.Errorf("a loss was counted as %s", state)
				}
			}
			for _, p := range nodes[0].backends.probeCandidates("s", time.Now()) {
				if w := nodes[0].health.Weight(healthKey(&p.info), time.Now()); w != 1 {
					t.Errorf("server %s has the weight %v", p.server.id, w)
				}
			}
		})
	}
}

// TestContentIsBlamedWhileAllLinksReset: the links of all VMs reset connections for a moment, so
// that no peer can tell whether servers have ended.
func TestContentIsBlamedWhileAllLinksReset(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{1, 3} {
		f := newFixture(t)
		for i := range 8 {
			f.addServer(fmt.Sprint("s-", i), nil)
		}
		nodes, cuts := startLinkedNodes(f, vms, 8)
		send := func(n *Node, id, body string) reply {
			return do(t, n, call{method: "POST", path: "/again/x", key: "key-w", id: id, body: body})
		}
		for i := range 60 {
			send(nodes[i%vms], fmt.Sprint("before-", i), fmt.Sprint("body ", i))
		}
		for _, l := range cuts {
			l.set(linksResetAll)
		}
		for i := range 60 {
			send(nodes[i%vms], fmt.Sprint("cut-", i), "the same")
			time.Sleep(10 * time.Millisecond)
		}
		for _, l := range cuts {
			l.set(linksUp)
		}
		time.Sleep(serverCheckDelay + 2*serverCheckTimeout)
		for i, n := range nodes {
			f.eventually("the node serves again", func() bool { return send(n, fmt.Sprint("other-", i), "another").status == http.StatusOK })
			if got := send(n, fmt.Sprint("after-", i), "the same"); got.status != http.StatusOK {
				t.Errorf("%d VMs, node %d: got %+v", vms, i, got)
			}
		}
	}
}

// TestFullPeerTakesTunnels: a peer rejects tunnels beyond its bound, and the request is
// rejected as not run.
func TestFullPeerTakesTunnels(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	s := f.addServer("s-1", nil)
	cut, linked := startCutNode(f, 1)
	linked.tunnels.served.Add(linked.tunnels.maxTunnels())
	before := len(s.Runs())
	got := do(t, cut, call{method: "POST", path: "/once/x", key: "key-w", id: "rejected", body: "b"})
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || len(s.Runs()) != before {
		t.Errorf("got %+v, %d runs", got, len(s.Runs())-before)
	}
	linked.tunnels.served.Add(-linked.tunnels.maxTunnels())
	f.eventually("the peer takes tunnels again", func() bool {
		return do(t, cut, call{method: "POST", path: "/once/x", key: "key-w", id: "taken", body: "b"}).status == http.StatusOK
	})
}

// TestPeerEndsWithOpenTunnel: a stream that may be resumed goes on through another peer if the
// first one ends, and a shutdown in order lets it finish.
func TestPeerEndsWithOpenTunnel(t *testing.T) {
	t.Parallel()
	for _, inOrder := range []bool{true, false} {
		f := newFixture(t)
		for i := range 2 {
			f.addServer(fmt.Sprint("s-", i), always(platformtest.Behavior{EventPause: 200 * time.Millisecond}))
		}
		nodes, cuts := startLinkedNodes(f, 3, 2)
		cuts[0].set(linksRefuse)
		f.eventually("the cut is noticed", func() bool {
			do(t, nodes[0], call{method: "POST", path: "/again/x", key: "key-w", id: "first", body: "first"})
			return nodes[0].usesTunnels("s")
		})
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		resp, err := http.DefaultClient.Do(call{method: "POST", path: "/stream/x", key: "key-w", id: "stream", body: "b"}.request(t, ctx, nodes[0]))
		if err != nil {
			t.Fatal(err)
		}
		var ended sync.WaitGroup
		for _, n := range nodes[1:] {
			if n.tunnels.served.Load() == 0 {
				continue
			}
			ended.Go(func() {
				if !inOrder {
					n.Close()
				} else if err := n.Drain(ctx); err != nil {
					t.Error(err)
				}
			})
		}
		body, err := io.ReadAll(resp.Body)
		want := ""
		for i := range platformtest.EventCount {
			want += platformtest.Event(i + 1)
		}
		if err != nil || string(body) != want {
			t.Errorf("in order %v: got %q, %v, want %q", inOrder, body, err, want)
		}
		resp.Body.Close()
		ended.Wait()
		cancel()
	}
}

// BenchmarkTunnel measures a request on the VM's own links and one through a tunnel.
func BenchmarkTunnel(b *testing.B) {
	for _, form := range []cutForm{linksUp, linksRefuse} {
		b.Run(map[cutForm]string{linksUp: "direct", linksRefuse: "tunnel"}[form], func(b *testing.B) {
			f := newFixture(b)
			f.addServer("s-1", nil)
			f.addServer("s-2", nil)
			nodes, cuts := startLinkedNodes(f, 2, 2)
			cuts[0].set(form)
			caller := platformtest.NewCaller(nodes[0].settings.CallerAddress)
			defer caller.Close()
			send := func(id string) int {
				return caller.Do(context.Background(), platformtest.Request{ID: id, Method: http.MethodPost, Path: "/again/x", Key: "key-w", Body: id, Timeout: 2500 * time.Millisecond}).Status
			}
			f.eventually("the verdict is known", func() bool {
				return send("first") == http.StatusOK && nodes[0].usesTunnels("s") == (form == linksRefuse)
			})
			before := processorTime()
			for b.Loop() {
				if status := send("id"); status != http.StatusOK {
					b.Fatalf("status %d", status)
				}
			}
			b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-µs/op")
		})
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
