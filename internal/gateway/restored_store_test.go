package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/protocol/digest"
	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// addedRoute is a document with a route that documentTemplate lacks.
func addedRoute(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[
{"name":"r-again","host":"a.example","pathPrefix":"/again/","kind":"idempotent","timeoutMs":3000,"latencyTargetMs":100,"service":"s","maxAttempts":2},
{"name":"r-added","host":"a.example","pathPrefix":"/added/","kind":"idempotent","timeoutMs":3000,"latencyTargetMs":100,"service":"s","maxAttempts":2}],
"services":[{"name":"s","healthPath":"/healthz","maxConns":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4096,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"w","apiKeys":["key-w","key-added"],"priority":1,"unit":"tokens","plainTokens":10,"ratePerS":0,"burst":0}]}`, version)
}

// TestRestoredStoreRevokesRouteOrServer: the store comes back from a copy that lacks the
// newest document and the only server. Both stay in force until they are written again; a
// server that stays away is gone in the end.
func TestRestoredStoreRevokesRouteOrServer(t *testing.T) {
	f := newFixture(t)
	f.store.SetEra(4)
	empty := f.store.Copy()
	a := f.addServer("a", nil)
	nodes := []*Node{f.startNode("vm-1", 1), f.startNode("vm-2", 1)}
	f.store.Put(platform.OperatorTopic, platform.DocumentKey, addedRoute(2))
	for _, n := range nodes {
		f.eventually("the document is in force", func() bool { return n.document.Load().Version == 2 })
	}
	check := func(when string) {
		t.Helper()
		for i, n := range nodes {
			id := fmt.Sprint(when, "-", i)
			if got := do(t, n, call{method: "GET", path: "/added/x", key: "key-added", id: id}); got.status != http.StatusOK {
				t.Errorf("%s: %+v", id, got)
			}
		}
	}
	check("before")
	for drill := range 2 {
		f.store.Restore(empty)
		for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			check(fmt.Sprint("restored-", drill))
		}
		f.store.Put(platform.OperatorTopic, platform.DocumentKey, addedRoute(2))
		f.store.Put(platform.ServersTopic, "a", a.Registration("s", "zone-a", "ready"))
		f.store.Put(platform.ServersTopic, "other", a.Registration("s", "zone-a", "ready"))
		for i, n := range nodes {
			f.eventually("the records were written again", func() bool {
				return !n.operatorFollower.isRestoring() && !n.serverFollower.isRestoring() && n.serverFollower.end().Era() == uint64(5+drill)
			})
			if n.document.Load().Version != 2 {
				t.Errorf("node %d: document %d", i, n.document.Load().Version)
			}
		}
		check(fmt.Sprint("written-again-", drill))
	}
	f.store.Restore(empty)
	for _, n := range nodes {
		f.eventually("the server that stays away is gone", func() bool { return n.backends.count() == 0 })
	}
}

// TestRestoredStoreGivesOutFencingTokenAgain: offsets are given out again, tokens never.
// The usage of a window is not reported with other counts, and what the nodes wrote is
// written again once.
func TestRestoredStoreGivesOutFencingTokenAgain(t *testing.T) {
	f := newFixture(t)
	f.store.SetEra(1)
	f.addServer("a", nil)
	var nodes []*Node
	for i := range 3 {
		settings := f.settings(fmt.Sprint("vm-", i))
		settings.UsageWindow = time.Second
		n, err := Start(settings, f.logs)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		f.eventually("node is ready", func() bool { return n.Ready() && n.members.count() == len(nodes) })
	}
	stop := steadyCalls(t, nodes[0], "/again/x", 50*time.Millisecond)
	defer stop()
	reports := func() (count int) {
		for _, w := range f.store.Windows() {
			count += len(f.store.UsageReports(w))
		}
		return count
	}
	f.eventually("usage is reported", func() bool { return reports() > 1 })
	for range 3 {
		copied := f.store.Copy()
		before := reports()
		f.eventually("more usage is reported", func() bool { return reports() > before+1 })
		f.store.Restore(copied)
		after := reports()
		f.eventually("usage is reported in the new era", func() bool { return reports() > after+1 })
	}
	holders := map[uint64]string{}
	highest := uint64(0)
	for _, w := range f.store.Windows() {
		all := f.store.UsageReports(w)
		for _, r := range all {
			if fmt.Sprint(r.Counts) != fmt.Sprint(all[0].Counts) {
				t.Errorf("window %d was reported as %v and as %v", w, all[0].Counts, r.Counts)
			}
			if h, ok := holders[r.FencingToken]; ok && h != r.Holder {
				t.Errorf("%s and %s report under token %d", h, r.Holder, r.FencingToken)
			}
			holders[r.FencingToken], highest = r.Holder, max(highest, r.FencingToken)
		}
	}
	f.eventually("VMs have registered in each era", func() bool { return f.store.Appends(vmsTopic) >= 4*len(nodes) })
	time.Sleep(2 * registerInterval)
	if got := f.store.Appends(vmsTopic); got != 4*len(nodes) {
		t.Errorf("%d registrations in four eras of %d VMs", got, len(nodes))
	}
}

// TestRestoredStoreTakesBackMoveStatus: the status of a move that has ended is written
// again, and the order that the operator writes again does not start the move anew.
func TestRestoredStoreTakesBackMoveStatus(t *testing.T) {
	f := newFixture(t)
	f.store.SetEra(1)
	f.addServer("a", nil)
	n := f.startNode("vm-1", 1)
	copied := f.store.Copy()
	order := []byte(`{"service":"s","target":"v2","durationS":20}`)
	f.store.Put(platform.OperatorTopic, platform.MoveKeyPrefix+"s", order)
	status := func() string { return string(f.store.Newest(platform.StatusTopic, "rollout/s")) }
	f.eventually("the move is in progress", func() bool { return status() != "" })
	phase := n.moves.table.Moves()[0].Phase
	before := status()
	f.store.Restore(copied)
	f.store.Put(platform.OperatorTopic, platform.MoveKeyPrefix+"s", order)
	f.eventually("the status is written again", func() bool { return status() == before })
	f.eventually("the order has its new number", func() bool { return n.moves.table.Moves()[0].Order>>36 == 2 })
	if got := n.moves.table.Moves()[0].Phase; got < phase {
		t.Errorf("the move went back from phase %v to %v", phase, got)
	}
	if got := f.store.Appends(platform.StatusTopic); got > 3 {
		t.Errorf("%d status records", got)
	}
}

// TestTrimmedDutiesLogIsNeverClaimed: the store has forgotten the duties log's history. When
// the holder is gone, another node takes over.
func TestTrimmedDutiesLogIsNeverClaimed(t *testing.T) {
	f := newFixture(t)
	f.addServer("a", nil)
	first := f.startNode("vm-1", 1)
	f.eventually("vm-1 holds the lease", func() bool { _, _, holds := first.duties.leaseState(first.now()); return holds })
	second := f.startNode("vm-2", 1)
	time.Sleep(1500 * time.Millisecond)
	f.store.Trim(dutyTopic)
	first.Close()
	f.eventually("vm-2 holds the lease", func() bool { _, _, holds := second.duties.leaseState(second.now()); return holds })
}

// TestLargeEraMakesStoreUnreadable: the store may count its eras from any number.
func TestLargeEraMakesStoreUnreadable(t *testing.T) {
	f := newFixture(t)
	f.store.SetEra(1_790_000_000_000)
	f.addServer("a", nil)
	n := f.startNode("vm-1", 1)
	before := n.serverFollower.end()
	f.store.Restore(f.store.Copy())
	f.eventually("the node reads the next era", func() bool { return n.serverFollower.end().Era() == before.Era()+1 })
	f.eventually("the node holds the lease", func() bool { _, _, holds := n.duties.leaseState(n.now()); return holds })
}

// TestCutOffNodeReadsOnInOldEra: a node that the store rejects learns from a peer that the
// store came back from a copy, and what has changed since.
func TestCutOffNodeReadsOnInOldEra(t *testing.T) {
	f := newFixture(t)
	f.store.SetEra(1)
	a := f.addServer("a", nil)
	first := f.startNode("vm-1", 1)
	// The second node's calls to the store go nowhere.
	settings := f.settings("vm-2")
	settings.StoreAddress = settings.MetricsAddress
	second, err := Start(settings, f.logs)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(second.Close)
	second.members.add(first.members.identity())
	f.eventually("the second node has read from its peer", func() bool { return second.Ready() && second.serverFollower.end().Era() == 1 })
	copied := f.store.Copy()
	f.addServer("lost", nil)
	f.eventually("both nodes have the server", func() bool { return first.backends.count() == 2 && second.backends.count() == 2 })
	f.store.Restore(copied)
	f.store.Put(platform.ServersTopic, "a", a.Registration("s", "zone-a", "draining"))
	for _, n := range []*Node{first, second} {
		f.eventually("the node has read the new era", func() bool { return n.serverFollower.end().Era() == 2 })
		f.eventually("the news has arrived", func() bool { s := n.backends.entry("a"); return s != nil && s.Leaving })
		f.eventually("the server that stays away is gone", func() bool { return n.backends.entry("lost") == nil })
	}
}

// TestUsageIsReportedTwiceAfterAllNodesRestart: the store loses the reports of the last
// windows while all nodes restart, so that nobody knows them.
func TestUsageIsReportedTwiceAfterAllNodesRestart(t *testing.T) {
	f := newFixture(t)
	f.store.SetEra(1)
	f.addServer("a", nil)
	start := func(incarnation string) []*Node {
		var nodes []*Node
		for i := range 2 {
			settings := f.settings(fmt.Sprint("vm-", i))
			settings.UsageWindow, settings.FirstStart = time.Second, incarnation == "first"
			n, err := Start(settings, f.logs)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(n.Close)
			nodes = append(nodes, n)
		}
		for _, n := range nodes {
			f.eventually("node is ready", func() bool { return n.Ready() && n.members.count() == len(nodes) })
		}
		return nodes
	}
	nodes := start("first")
	stop := steadyCalls(t, nodes[0], "/again/x", 30*time.Millisecond)
	f.eventually("usage is reported", func() bool { return len(f.store.Windows()) > 1 })
	copied := f.store.Copy()
	known := len(f.store.Windows())
	f.eventually("more usage is reported", func() bool { return len(f.store.Windows()) > known+1 })
	stop()
	f.store.Restore(copied)
	for _, n := range nodes {
		n.Close()
	}
	nodes = start("again")
	stop = steadyCalls(t, nodes[1], "/again/x", 30*time.Millisecond)
	defer stop()
	known = len(f.store.Windows())
	f.eventually("usage is reported in the new era", func() bool { return len(f.store.Windows()) > known+1 })
	for _, w := range f.store.Windows() {
		all := f.store.UsageReports(w)
		for _, r := range all {
			if fmt.Sprint(r.Counts) != fmt.Sprint(all[0].Counts) {
				t.Errorf("window %d was reported as %v and as %v", w, all[0].Counts, r.Counts)
			}
		}
	}
}

// TestRestoredStoreLiftsQuarantine: the record of a quarantine that the store has lost is
// written again, by one node.
func TestRestoredStoreLiftsQuarantine(t *testing.T) {
	c := newCrashTrial(t, 8, platformtest.Crash)
	c.store.SetEra(1)
	copied := c.store.Copy()
	c.quarantine()
	isStored := func() bool {
		return len(c.store.Newest(digest.ContentsTopic, digest.ContentKey(contentHash("a.example", "POST", "/again/report", "w", []byte(crashingBody))))) > 0
	}
	c.eventually("the quarantine is stored", isStored)
	before := c.store.Appends(digest.ContentsTopic)
	c.store.Restore(copied)
	c.eventually("the quarantine is stored again", isStored)
	time.Sleep(3 * time.Second)
	if again := c.store.Appends(digest.ContentsTopic) - before; again > 2 {
		t.Errorf("the record was written again %d times", again)
	}
	if got := c.sendCrashing(c.nodes[2], "/again/report", 99); got.status != http.StatusBadGateway {
		t.Errorf("the request is answered with status %d", got.status)
	}
}
