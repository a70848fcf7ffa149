package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// TestTunneledRequestIsCountedTwice: the quota is charged, and the usage counted, once, by the VM
// that has the request.
func TestTunneledRequestIsCountedTwice(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	s := f.addServer("s-1", nil)
	cut, linked := startCutNode(f, 1)
	served := 0
	for i := range 12 {
		if do(t, cut, call{method: "POST", path: "/once/x", key: "key-w", id: fmt.Sprint("w-", i), body: "b"}).status == http.StatusOK {
			served++
		}
	}
	rejected := 0
	for i := range 6 {
		if do(t, cut, call{method: "GET", path: "/again/x", key: "key-small", id: fmt.Sprint("small-", i)}).status == http.StatusTooManyRequests {
			rejected++
		}
	}
	// A node alone rejects at least 3 of 6, see TestQuotaRejectionHasRetryAfter.
	if served != 12 || rejected < 3 {
		t.Errorf("%d of 12 served, %d of 6 rejected by the quota", served, rejected)
	}
	if own := linked.usage.OwnCounts(0); len(own) > 0 {
		t.Errorf("the VM that serves tunnels has counted %v", own)
	}
	counted := 0
	for _, counts := range cut.usage.OwnCounts(0) {
		counted += counts["w"]
	}
	if before := len(s.Runs()) - (6 - rejected); counted != before {
		t.Errorf("%d requests of the workspace are counted, %d have run", counted, before)
	}
}

// TestTunnelChangesWhatServersGet: a server gets the same request through a tunnel, but for the
// time that is left.
func TestTunnelChangesWhatServersGet(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	s := f.addServer("s-1", nil)
	cut, linked := startCutNode(f, 1)
	var runs []platformtest.Run
	for _, n := range []*Node{linked, cut} {
		calledAt := f.callUntilServed(n, call{method: "POST", path: "/once/x?q=1", key: "key-w", id: "compared", body: "b", header: map[string]string{deadlineHeader: "1500", "X-Own": "kept"}})
		run := lastRun(s)
		checkDeadline(t, run, 1500*time.Millisecond, calledAt, 0)
		run.Header.Del(deadlineHeader)
		runs = append(runs, run)
	}
	direct, tunneled := runs[0], runs[1]
	if direct.Target != tunneled.Target || direct.Body != tunneled.Body || direct.Method != tunneled.Method || len(direct.Header) != len(tunneled.Header) {
		t.Errorf("%+v and %+v", direct, tunneled)
	}
	for name, values := range direct.Header {
		if got := tunneled.Header[name]; !slices.Equal(got, values) {
			t.Errorf("%s: %q directly, %q through a tunnel", name, values, got)
		}
	}
}

const deadlineHeader = "Coltsfootpath-Deadline-Ms"

// callUntilServed sends a request until it is served, and returns the time of the last call: on
// a busy machine a peer may take too long to open a tunnel.
func (f *fixture) callUntilServed(n *Node, c call) (calledAt time.Time) {
	f.t.Helper()
	f.eventually("the request is served", func() bool {
		calledAt = time.Now()
		return do(f.t, n, c).status == http.StatusOK
	})
	return calledAt
}

func lastRun(s *platformtest.Server) platformtest.Run {
	runs := s.Runs()
	return runs[len(runs)-1]
}

// checkDeadline checks the time that a server was given for a request that was sent at calledAt
// with a deadline: no longer than what was left when the request was sent on, which took the
// time connecting at least, and no shorter than what is left when it arrives.
func checkDeadline(t *testing.T, run platformtest.Run, deadline time.Duration, calledAt time.Time, connecting time.Duration) {
	t.Helper()
	values := run.Header[deadlineHeader]
	if len(values) != 1 {
		t.Fatalf("deadlines %q", values)
	}
	millis, err := strconv.Atoi(values[0])
	if err != nil {
		t.Fatal(err)
	}
	given := time.Duration(millis) * time.Millisecond
	// The header has whole milliseconds.
	least, most := deadline-run.At.Sub(calledAt)-time.Millisecond, deadline-connecting
	if given < least || given > most {
		t.Errorf("server was given %v, want %v to %v: the caller allows %v, connecting took %v, and the request arrived after %v", given, least, most, deadline, connecting, run.At.Sub(calledAt))
	}
}

// TestTimeToConnectExtendsDeadline: the time until a connection, or a tunnel, is open counts
// towards the deadline that the server gets.
func TestTimeToConnectExtendsDeadline(t *testing.T) {
	t.Parallel()
	const delay = 200 * time.Millisecond
	for _, isTunneled := range []bool{false, true} {
		t.Run(fmt.Sprint("tunneled=", isTunneled), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			s := f.addServer("s-1", nil)
			nodes, cuts := startLinkedNodes(f, 2, 1)
			if isTunneled {
				cuts[0].set(linksRefuse)
				f.eventually("the cut is noticed", func() bool {
					do(t, nodes[0], call{method: "POST", path: "/again/x", key: "key-w", id: "first", body: "first"})
					return nodes[0].usesTunnels("s")
				})
				cuts = cuts[1:]
			}
			cuts[0].setDelay(delay)
			calledAt := f.callUntilServed(nodes[0], call{method: "POST", path: "/once/x", key: "key-w", id: "delayed", body: "b", header: map[string]string{deadlineHeader: "1500"}})
			if cuts[0].delayedCount() == 0 {
				t.Fatal("no connection was delayed")
			}
			checkDeadline(t, lastRun(s), 1500*time.Millisecond, calledAt, delay)
		})
	}
}

// TestTunneledRequestLosesItsDeadline: the deadline ends a request whose server does not answer.
func TestTunneledRequestLosesItsDeadline(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.addServer("s-1", func(_ int, r platformtest.Run) platformtest.Behavior {
		if r.Body == "silent" {
			return platformtest.NoAnswer
		}
		return platformtest.CompleteAnswer
	})
	cut, linked := startCutNode(f, 1)
	got := do(t, cut, call{method: "POST", path: "/once/x", key: "key-w", id: "late", body: "silent", header: map[string]string{"Coltsfootpath-Deadline-Ms": "300"}})
	if got.status != http.StatusGatewayTimeout {
		t.Errorf("got %+v", got)
	}
	f.eventually("the tunnel has ended", func() bool { return linked.tunnels.served.Load() == 0 })
}

// TestCrashesThroughTunnelsDoNotCount: a content that ends each server is quarantined at all VMs,
// also if a VM without links has all of its requests.
func TestCrashesThroughTunnelsDoNotCount(t *testing.T) {
	t.Parallel()
	c := &crashTrial{fixture: newFixture(t), behavior: platformtest.Crash}
	for i := range 8 {
		c.addCrashingServer(fmt.Sprint("s-", i))
	}
	nodes, cuts := startLinkedNodes(c.fixture, 3, 8)
	c.nodes = nodes
	cuts[0].set(linksRefuse)
	c.eventually("the cut is noticed", func() bool {
		do(t, nodes[0], call{method: "POST", path: "/again/x", key: "key-w", id: "first", body: "first"})
		return nodes[0].usesTunnels("s")
	})
	for i := range 5 {
		do(t, nodes[0], call{method: "POST", path: "/again/report", key: "key-w", id: fmt.Sprint("crash-", i), body: crashingBody})
		time.Sleep(200 * time.Millisecond)
	}
	c.eventually("all nodes refuse the request", func() bool {
		for _, n := range nodes {
			if !c.isRefusedBy(n) {
				return false
			}
		}
		return true
	})
}

// TestLimitedServerGetsMoreThroughTunnels: the limits of servers hold for requests through
// tunnels, also if the granter of permits has no links.
func TestLimitedServerGetsMoreThroughTunnels(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	var servers []*platformtest.Server
	for i := range 3 {
		servers = append(servers, f.addServer(fmt.Sprint("s-", i), nil))
	}
	nodes, cuts := startLinkedNodes(f, 4, 3)
	holder := -1
	f.eventually("a node holds the lease", func() bool {
		for i, n := range nodes {
			if _, _, holds := n.duties.leaseState(n.now()); holds {
				holder = i
			}
		}
		return holder >= 0
	})
	var stops []func() []reply
	for _, n := range nodes {
		stops = append(stops, steadyCalls(t, n, "/again/x", 60*time.Millisecond))
	}
	cuts[holder].set(linksRefuse)
	cuts[(holder+1)%len(cuts)].set(linksResetAll)
	time.Sleep(500 * time.Millisecond)
	const limit = 2
	for _, s := range servers[:2] {
		s.NameLimit(fmt.Sprint(limit))
	}
	from := time.Now().Add(limitContactTime)
	time.Sleep(limitContactTime + limitWindow + time.Second)
	for _, stop := range stops {
		stop()
	}
	for _, i := range []int{holder, (holder + 1) % len(cuts)} {
		if !nodes[i].usesTunnels("s") {
			t.Errorf("node %d has not noticed the cut", i)
		}
	}
	for i, s := range servers[:2] {
		if most, allowed := mostInWindow(s, from), allowedInWindow(limit); most > allowed {
			t.Errorf("server %d got %d requests in %v, allowed %d", i, most, limitWindow, allowed)
		}
	}
}
