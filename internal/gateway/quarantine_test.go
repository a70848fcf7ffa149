package gateway

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/coordination/quarantine"
	"coltsfootpath.example/coltsfootpath/internal/protocol/digest"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

const (
	// crashingBody is the body of the requests that end every server which runs them.
	crashingBody = "crashes"
	// contactBound is the time within which all nodes act on a loss, and
	// maxLateRuns the number of runs allowed after it.
	contactBound = 3 * time.Second
	maxLateRuns  = 3
)

// crashTrial runs three nodes with servers that behave as given towards requests
// with crashingBody.
type crashTrial struct {
	*fixture
	behavior platformtest.Behavior
	// spareEvery is set if only the other servers are lost. newIdentity is set if a
	// server comes back under another id and address.
	spareEvery  int
	newIdentity bool
	servers     []*platformtest.Server
	nodes       []*Node

	mu sync.Mutex
	// lostAt holds the times at which a server was lost to a crashing request, and
	// runAt those at which a crashing request began to run.
	lostAt, runAt []time.Time
}

func newCrashTrial(t *testing.T, servers int, behavior platformtest.Behavior) *crashTrial {
	c := &crashTrial{fixture: newFixture(t), behavior: behavior}
	c.start(servers)
	return c
}

func (c *crashTrial) start(servers int) {
	c.t.Helper()
	for i := range servers {
		c.addCrashingServer(fmt.Sprint("s-", i))
	}
	for i := range 3 {
		c.nodes = append(c.nodes, c.startNode(fmt.Sprint("vm-", i), servers))
	}
	c.eventually("nodes share their state", func() bool {
		return !slices.ContainsFunc(c.nodes, func(n *Node) bool { return n.members.count() != len(c.nodes) })
	})
}

func (c *crashTrial) addCrashingServer(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := len(c.servers)
	s := c.addServer(id, func(_ int, r platformtest.Run) platformtest.Behavior {
		if r.Body != crashingBody {
			return platformtest.CompleteAnswer
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.runAt = append(c.runAt, r.At)
		if c.spareEvery > 0 && index%c.spareEvery == 0 {
			return platformtest.CompleteAnswer
		}
		c.lostAt = append(c.lostAt, r.At)
		return c.behavior
	})
	s.RestartAfter = 300 * time.Millisecond
	s.OnRestart = func() {
		if c.newIdentity {
			s.Close()
			c.store.Put(platform.ServersTopic, id, nil)
			c.addCrashingServer(id + "-again")
			return
		}
		c.store.Put(platform.ServersTopic, id, s.Registration("s", "zone-a", "ready"))
	}
	c.servers = append(c.servers, s)
}

// lateRuns returns the number of crashing requests that ran later than
// contactBound after the third loss.
func (c *crashTrial) lateRuns() (late, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.lostAt) < 3 {
		return 0, len(c.runAt)
	}
	slices.SortFunc(c.lostAt, time.Time.Compare)
	for _, at := range c.runAt {
		if at.Sub(c.lostAt[2]) > contactBound {
			late++
		}
	}
	return late, len(c.runAt)
}

// TestCrashingRequestIsSentOnAfterThreeServersEnded resubmits one request
// under new ids to all nodes in turn, with an innocent request after each.
func TestCrashingRequestIsSentOnAfterThreeServersEnded(t *testing.T) {
	for _, v := range []struct {
		name        string
		behavior    platformtest.Behavior
		path        string
		spareEvery  int
		newIdentity bool
		// servers is the number of servers, 8 if it is 0.
		servers int
		// burst is the number of resubmissions that are sent at once, at the start.
		burst int
	}{
		{name: "reset", behavior: platformtest.ResetBeforeAnswer, path: "/again/report"},
		{name: "crash", behavior: platformtest.Crash, path: "/again/report"},
		{name: "crash of a non-repeatable request", behavior: platformtest.Crash, path: "/once/report"},
		{name: "crash in a stream", behavior: platformtest.CrashMidAnswer, path: "/stream/report"},
		{name: "crash in a stream that is not resumable", behavior: platformtest.CrashMidAnswer, path: "/fixedstream/report"},
		{name: "crash of some servers", behavior: platformtest.Crash, path: "/again/report", spareEvery: 2},
		{name: "servers come back under another identity", behavior: platformtest.Crash, path: "/again/report", newIdentity: true},
		{name: "sent at once", behavior: platformtest.Crash, path: "/again/report", servers: 16, burst: 6},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			c := &crashTrial{fixture: newFixture(t), behavior: v.behavior, spareEvery: v.spareEvery, newIdentity: v.newIdentity}
			c.start(cmp.Or(v.servers, 8))
			var burst sync.WaitGroup
			for i := range v.burst {
				burst.Go(func() { c.sendCrashing(c.nodes[i%len(c.nodes)], v.path, 1000+i) })
			}
			burst.Wait()
			innocentServed := 0
			const sends = 24
			for i := range sends {
				n := c.nodes[i%len(c.nodes)]
				c.sendCrashing(n, v.path, i)
				if got := do(t, n, call{method: "POST", path: v.path, key: "key-w", id: fmt.Sprint("innocent-", i), body: fmt.Sprint("innocent ", i)}); got.status == http.StatusOK && got.err == nil {
					innocentServed++
				}
				time.Sleep(400 * time.Millisecond)
			}
			late, all := c.lateRuns()
			t.Logf("%d runs, %d of them late; %d of %d innocent requests served", all, late, innocentServed, sends)
			if late > maxLateRuns {
				t.Errorf("%d runs later than %v after the third loss, want at most %d", late, contactBound, maxLateRuns)
			}
			if innocentServed != sends {
				t.Errorf("%d of %d innocent requests were served", innocentServed, sends)
			}
			if t.Failed() {
				c.logCrashing()
			}
		})
	}
}

// sendCrashing sends the crashing request under the i-th id, and checks that its
// answer is neither complete nor states that it did not run.
func (c *crashTrial) sendCrashing(n *Node, path string, i int) reply {
	c.t.Helper()
	got := do(c.t, n, call{method: "POST", path: path, key: "key-w", id: fmt.Sprint("crash-", i), body: crashingBody})
	if got.err == nil && (got.status == http.StatusOK && c.spareEvery == 0 || got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests) {
		c.t.Errorf("resubmission %d: answered with status %d", i, got.status)
	}
	return got
}

func (c *crashTrial) logCrashing() {
	c.logs.mu.Lock()
	defer c.logs.mu.Unlock()
	for line := range strings.Lines(c.logs.text.String()) {
		if strings.Contains(line, "crash-") {
			c.t.Log(strings.TrimSpace(line))
		}
	}
}

func (c *crashTrial) runs() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runAt)
}

// quarantine sends the crashing request until all nodes refuse it.
func (c *crashTrial) quarantine() {
	c.t.Helper()
	for i := range 3 {
		c.sendCrashing(c.nodes[0], "/again/report", i)
		time.Sleep(50 * time.Millisecond)
	}
	c.eventually("all nodes refuse the request", func() bool {
		return !slices.ContainsFunc(c.nodes, func(n *Node) bool { return !c.isRefusedBy(n) })
	})
}

func (c *crashTrial) isRefusedBy(n *Node) bool {
	return n.quarantiner.table.Check(contentHash("a.example", "POST", "/again/report", "w", []byte(crashingBody)), "s", n.quarantiner.now()).Refused
}

// TestQuarantineIsForgottenWhenAllNodesRestart: the store is all that is left.
func TestQuarantineIsForgottenWhenAllNodesRestart(t *testing.T) {
	t.Parallel()
	c := newCrashTrial(t, 8, platformtest.Crash)
	c.quarantine()
	c.eventually("quarantine is stored", func() bool { return c.logs.hasLine("content stored") })
	for _, n := range c.nodes {
		n.Close()
	}
	runs := c.runs()
	restarted := c.startNode("vm-new", len(c.servers))
	c.eventually("new node refuses the request", func() bool { return c.isRefusedBy(restarted) })
	if got := c.sendCrashing(restarted, "/again/report", 100); got.status != http.StatusBadGateway {
		t.Errorf("got %+v", got)
	}
	if c.runs() != runs {
		t.Errorf("%d runs after the restart", c.runs()-runs)
	}
	c.eventually("refusal is logged", func() bool {
		return c.logs.hasLine("content refused", "id=crash-100", "ended=", "last-loss=", "source=store")
	})
}

// TestQuarantineDoesNotSpreadWhileStoreIsDown: digests are all that is left. A node
// that joins then learns from its peers.
func TestQuarantineDoesNotSpreadWhileStoreIsDown(t *testing.T) {
	t.Parallel()
	c := newCrashTrial(t, 8, platformtest.Crash)
	c.store.SetFaults(logservice.Faults{Outage: true})
	for i := range c.servers {
		// A registration would fail, as in an outage of the store.
		c.servers[i].OnRestart = nil
	}
	c.quarantine()
	settings := c.settings("vm-late")
	settings.SeedAddresses = c.nodes[1].settings.PeerAddress
	late, err := Start(settings, c.logs)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(late.Close)
	_, port, _ := net.SplitHostPort(c.nodes[1].settings.PeerAddress)
	host, _, _ := net.SplitHostPort(settings.PeerAddress)
	late.members.add(gossip.Identity{PeerAddress: net.JoinHostPort(host, port)})
	c.eventually("node that joins refuses the request", func() bool { return c.isRefusedBy(late) })
}

// TestRepairedRequestStaysQuarantined stops crashing servers: two trials lift the
// quarantine.
func TestRepairedRequestStaysQuarantined(t *testing.T) {
	t.Parallel()
	c := newCrashTrial(t, 8, platformtest.Crash)
	c.quarantine()
	c.mu.Lock()
	c.behavior = platformtest.CompleteAnswer
	c.mu.Unlock()
	served := 0
	c.eventually("request is served on all nodes", func() bool {
		for i, n := range c.nodes {
			if got := do(t, n, call{method: "POST", path: "/again/report", key: "key-w", id: fmt.Sprint("repaired-", i), body: crashingBody}); got.status != http.StatusOK {
				served = 0
				return false
			}
			served++
		}
		return served == len(c.nodes)
	})
	if !c.logs.hasLine("content trial-passed", "lifted=true") {
		t.Error("no trial was passed")
	}
}

// TestLostAnswerToClaimDelaysTrial loses the store's answer to the claim of the first trial,
// which was written.
func TestLostAnswerToClaimDelaysTrial(t *testing.T) {
	t.Parallel()
	c := newCrashTrial(t, 8, platformtest.Crash)
	c.quarantine()
	c.mu.Lock()
	c.behavior = platformtest.CompleteAnswer
	c.mu.Unlock()
	c.eventually("quarantine is stored", func() bool { return c.logs.hasLine("content stored") })
	// All servers have registered again by then.
	time.Sleep(time.Second)
	stored := c.store.Appends(digest.ContentsTopic)
	c.store.SetFaults(logservice.Faults{AnswerLossRatio: 1})
	c.eventually("request is served", func() bool {
		if c.store.Appends(digest.ContentsTopic) > stored {
			c.store.SetFaults(logservice.Faults{})
		}
		return do(t, c.nodes[0], call{method: "POST", path: "/again/report", key: "key-w", id: "repaired", body: crashingBody}).status == http.StatusOK
	})
}

// TestLeavingServersAreTakenForCrashed ends three servers that had announced it.
func TestLeavingServersAreTakenForCrashed(t *testing.T) {
	t.Parallel()
	c := newCrashTrial(t, 3, platformtest.NoAnswer)
	for i := range c.servers {
		done := make(chan reply)
		go func() {
			done <- do(t, c.nodes[0], call{method: "POST", path: "/once/report", key: "key-w", id: fmt.Sprint("crash-", i), body: crashingBody})
		}()
		c.eventually("request runs", func() bool { return c.runs() == i+1 })
		running := c.servers[slices.IndexFunc(c.servers, func(s *platformtest.Server) bool {
			return slices.ContainsFunc(s.Runs(), func(r platformtest.Run) bool { return r.ID == fmt.Sprint("crash-", i) })
		})]
		c.store.Put(platform.ServersTopic, running.ID, running.Registration("s", "zone-a", "draining"))
		c.eventually("server is leaving", func() bool {
			return !slices.ContainsFunc(c.nodes[0].backends.servers("s"), func(x deployment.Server) bool { return x.ID == running.ID && !x.Leaving })
		})
		running.Close()
		<-done
		c.eventually("loss is logged", func() bool {
			return c.logs.hasLine("content lost", fmt.Sprint("id=crash-", i, " "), "server-state=leaving", "counted=no")
		})
	}
}

// TestSilenceCountsAgainstContent: three servers fall silent, and one of them turns out to
// have ended.
func TestSilenceCountsAgainstContent(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	for i := range 3 {
		f.addServer(fmt.Sprint("s-", i), nil)
	}
	n := f.startNode("vm-1", 3)
	z := n.quarantiner
	const content = 7
	for i := range 3 {
		b := &backend{id: fmt.Sprint("s-", i), service: "s", shortHash: uint32(i)}
		for range 2 {
			z.recordLoss(b, loss{requestID: "r-1", content: content, outcome: outcomeUnresponsive, at: n.now()}, serverUnknown)
		}
	}
	if d := z.table.Check(content, "s", z.now()); d.Refused || d.Interrupted != 0 || d.Ended != 0 {
		t.Errorf("after silence: %+v", d)
	}
	z.recordRestart(1, "s-1", z.now().Add(time.Second).UnixMilli())
	if d := z.table.Check(content, "s", z.now()); d.Interrupted != 0 || d.Ended != 1 {
		t.Errorf("after the restart of one server: %+v", d)
	}
}

// TestOperatorCannotLiftQuarantine writes what coltsfootctl content lift writes.
func TestOperatorCannotLiftQuarantine(t *testing.T) {
	t.Parallel()
	c := newCrashTrial(t, 8, platformtest.Crash)
	c.quarantine()
	content := contentHash("a.example", "POST", "/again/report", "w", []byte(crashingBody))
	lifted := (&quarantine.Entry{Content: content}).Lift(time.Now())
	c.store.Put(digest.ContentsTopic, digest.ContentKey(content), digest.MarshalContent(&lifted))
	c.eventually("no node refuses the request", func() bool { return !slices.ContainsFunc(c.nodes, c.isRefusedBy) })
}

// TestExpiredQuarantinesStayInStore: the lease holder deletes them.
func TestExpiredQuarantinesStayInStore(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.addServer("s-1", nil)
	old := quarantine.Entry{Content: 5, Events: []quarantine.Event{{Kind: quarantine.Ended, AtMillis: time.Now().Add(-2 * quarantine.Retention).UnixMilli()}}}
	f.store.Put(digest.ContentsTopic, digest.ContentKey(5), digest.MarshalContent(&old))
	n := f.startNode("vm-1", 1)
	f.eventually("node holds the lease", func() bool {
		_, _, holds := n.duties.leaseState(n.now())
		return holds
	})
	z := newQuarantiner(n)
	z.cleanupAt = n.now()
	z.cleanUp(t.Context())
	items, _, err := n.platform.ListNewest(t.Context(), digest.ContentsTopic)
	if err != nil {
		t.Fatal(err)
	}
	if slices.ContainsFunc(items, func(it platform.Item) bool { return len(it.Value) > 0 }) {
		t.Errorf("items %+v", items)
	}
}
