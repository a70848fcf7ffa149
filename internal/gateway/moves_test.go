package gateway

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/movephase"
	"coltsfootpath.example/coltsfootpath/internal/coordination/placement"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

var fleetZones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// putScaledDocument writes a document in which the service's servers are ordered, at most
// six in each zone.
func (f *fixture) putScaledDocument(version int) {
	doc := strings.Replace(string(documentJSON(version)), `"maxConns":100`,
		`"maxConns":100,"scaling":{"min":1,"max":6,"bootS":0.2,"spotPrice":0.2,"zonePrices":{"zone-a":1.0,"zone-b":0.8,"zone-c":1.25,"zone-d":0.9}}`, 1)
	f.store.Put(platform.OperatorTopic, platform.DocumentKey, []byte(doc))
}

// orderMove writes an operator's order to move the service to version v2.
func (f *fixture) orderMove(limit time.Duration) {
	f.store.Put(platform.OperatorTopic, platform.MoveKeyPrefix+"s", fmt.Appendf(nil, `{"service":"s","target":"v2","durationS":%v}`, limit.Seconds()))
}

func (f *fixture) moveStatus() string {
	return string(f.store.Newest(platform.StatusTopic, "rollout/s"))
}

// startScaledFleet starts a node, and waits until it has replaced the initial servers by
// reclaimable ones.
func (f *fixture) startScaledFleet() (*platformtest.Fleet, *Node) {
	f.putScaledDocument(2)
	fleet := platformtest.NewFleet(f.store, platformtest.FleetConfig{Service: "s", MaxPerZone: 6, BootTime: 200 * time.Millisecond})
	for _, zone := range fleetZones {
		fleet.Start("v1", zone, false, 3)
	}
	n := f.startNode("vm-1", 12)
	f.eventually("reclaimable servers have replaced the initial ones", func() bool {
		return fleet.Count("v1", false) == 0 && fleet.Count("v1", true) >= 8 && n.backends.count() >= 8
	})
	return fleet, n
}

// TestOrdersInMoveStopRunningServers guards against orders that the platform cuts to what
// the new version's servers leave free below the zone's limit.
func TestOrdersInMoveStopRunningServers(t *testing.T) {
	f := newFixture(t)
	fleet, n := f.startScaledFleet()
	stopped, running := fleet.StoppedByOrders(), fleet.Count("v1", true)
	f.orderMove(10 * time.Second)
	f.eventually("the move is in progress", func() bool { return f.moveStatus() != "" })
	for _, zone := range fleetZones {
		fleet.Start("v2", zone, false, 5)
	}
	fleet.Stop("v1", "zone-a", 1)
	time.Sleep(orderRepeatInterval + 2*orderInterval)
	if got := fleet.StoppedByOrders() - stopped; got != 0 {
		t.Errorf("orders in the move stopped %d running servers", got)
	}
	n.moves.table.AdvancePhase("s", n.moves.table.Moves()[0].Order, movephase.RolledBack, n.now())
	time.Sleep(3 * orderInterval)
	if got := fleet.StoppedByOrders() - stopped; got != 0 {
		t.Errorf("orders after the rollback stopped %d running servers", got)
	}
	for _, zone := range fleetZones {
		fleet.Stop("v2", zone, 5)
	}
	end := time.Now().Add(4 * orderInterval)
	f.eventually("the number of servers is restored", func() bool { return fleet.Count("v1", true) == running })
	if time.Now().After(end) {
		t.Error("the number of servers was restored late")
	}
}

// TestIneffectiveOrdersLeaveServiceWithoutServers: the platform accepts orders for
// reclaimable servers, and starts none.
func TestIneffectiveOrdersLeaveServiceWithoutServers(t *testing.T) {
	f := newFixture(t)
	fleet, _ := f.startScaledFleet()
	fleet.SetFruitless(func(_ string, reclaimable bool) bool { return reclaimable })
	for _, zone := range fleetZones {
		fleet.Stop("v1", zone, 6)
	}
	f.eventually("on-demand servers are ordered", func() bool { return fleet.Count("v1", false) >= 3 })
	if !f.logs.hasLine("duties order-ineffective", "service=s", "reclaimable=true", "have=0") {
		t.Error("the ineffective orders are not logged")
	}
}

// addDelayedServer starts a backend server of a software version that gives each answer after a
// delay.
func (f *fixture) addDelayedServer(version, id string, delay func() time.Duration) *platformtest.Server {
	return f.addServerOfVersion(version, id, func(int, platformtest.Run) platformtest.Behavior {
		time.Sleep(delay())
		return platformtest.Behavior{}
	})
}

func (f *fixture) addServerOfVersion(version, id string, chooseBehavior func(int, platformtest.Run) platformtest.Behavior) *platformtest.Server {
	s := platformtest.NewServer(id, chooseBehavior)
	f.t.Cleanup(s.Close)
	entry := s.Registration("s", "zone-a", "ready")
	f.store.Put(platform.ServersTopic, id, bytes.Replace(entry, []byte(`"version":"v1"`), []byte(`"version":"`+version+`"`), 1))
	return s
}

// sendUntil sends calls at the given interval, each on its own, until the condition holds.
func (f *fixture) sendUntil(n *Node, interval time.Duration, condition string, holds func() bool) {
	f.t.Helper()
	var calls sync.WaitGroup
	defer calls.Wait()
	for i, end := 0, time.Now().Add(testTimeout); !holds(); i++ {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for condition: %s", condition)
		}
		id := fmt.Sprint("call-", i)
		calls.Go(func() { do(f.t, n, call{method: "GET", path: "/once/x", key: "key-w", id: id}) })
		time.Sleep(interval)
	}
}

func constant(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// TestSlowVersionIsCompleted: the new version's answers all succeed, and take several times
// as long as the old version's, which is overloaded from the move's order on.
func TestSlowVersionIsCompleted(t *testing.T) {
	f := newFixture(t)
	var overloaded atomic.Bool
	f.addDelayedServer("v1", "old", func() time.Duration {
		if overloaded.Load() && rand.N(2) == 0 {
			return 300 * time.Millisecond
		}
		return 20 * time.Millisecond
	})
	n := f.startNode("vm-1", 1)
	f.addDelayedServer("v2", "new", constant(400*time.Millisecond))
	f.eventually("both versions have servers", func() bool { return n.backends.count() == 2 })
	overloaded.Store(true)
	f.orderMove(12 * time.Second)
	f.sendUntil(n, 20*time.Millisecond, "the move ends", func() bool { m, _ := n.moves.table.Newest("s"); return m.Phase >= movephase.Done })
	if m, _ := n.moves.table.Newest("s"); m.Phase != movephase.RolledBack {
		t.Errorf("phase is %v", m.Phase)
	}
}

// TestFailuresOfOneTryRouteAreNoEvidence: the new version fails half of its answers, on a
// route whose requests are sent to one server only.
func TestFailuresOfOneTryRouteAreNoEvidence(t *testing.T) {
	f := newFixture(t)
	f.addDelayedServer("v1", "old", constant(0))
	n := f.startNode("vm-1", 1)
	f.addServerOfVersion("v2", "new", func(i int, _ platformtest.Run) platformtest.Behavior {
		return platformtest.Behavior{Head: platformtest.Head(i % 2)}
	})
	f.eventually("both versions have servers", func() bool { return n.backends.count() == 2 })
	f.orderMove(8 * time.Second)
	f.sendUntil(n, 20*time.Millisecond, "the move ends", func() bool { m, _ := n.moves.table.Newest("s"); return m.Phase >= movephase.Done })
	if m, _ := n.moves.table.Newest("s"); m.Phase != movephase.RolledBack {
		t.Errorf("phase is %v", m.Phase)
	}
}

// TestSlownessIsCountedTwice plays the orders in which an attempt's answer begins and two
// checks for overdue attempts count, after both checks have copied the attempts.
func TestSlownessIsCountedTwice(t *testing.T) {
	const waited = time.Second
	start := time.Now()
	for _, order := range [][]string{
		{"answer", "check", "check"},
		{"check", "answer", "check"},
		{"check", "check", "answer"},
		{"answer", "end", "check"},
	} {
		v := newVersionMoves(&Node{})
		v.table.AddOrder(1, "s", "v2", 10*time.Second, start)
		p := &placedAttempt{
			info:   deployment.Server{Service: "s", SoftwareVersion: "v2"},
			choice: placement.Choice{MinFirstToken: waited / 100, MaxFirstToken: waited / 50},
		}
		v.attemptStarted(p, "r", start)
		attempts := maps.Clone(v.attempts)
		for _, step := range order {
			switch step {
			case "answer":
				v.firstAnswer(p, false, waited, start.Add(waited))
			case "check":
				v.countOverdueAmong(attempts, start.Add(waited))
			case "end":
				v.countOutcome(p, outcomeAnswered)
			}
		}
		if e := v.table.Moves()[0].OwnEvidence; e.NewTimed != 1 || e.NewSlow != 1 {
			t.Errorf("%v: %d counted, %d of them slow", order, e.NewTimed, e.NewSlow)
		}
	}
}

// TestRouteEvidenceOfPeersIsHidden: a fault on one route is rare on each node.
func TestRouteEvidenceOfPeersIsHidden(t *testing.T) {
	now := time.Now()
	nodes := make([]*versionMoves, 3)
	for i := range nodes {
		n := &Node{}
		n.document.Store(&deployment.Document{Routes: []deployment.Route{{Name: "large"}, {Name: "small"}}})
		nodes[i] = newVersionMoves(n)
		nodes[i].table.AddOrder(1, "s", "v2", 10*time.Second, now)
		for range 40 {
			nodes[i].table.RecordRatio("s", "large", "v2", 1)
			nodes[i].table.RecordRatio("s", "small", "v1", 1)
		}
		for range 2 {
			nodes[i].table.RecordRatio("s", "small", "v2", 10)
		}
	}
	v := nodes[0]
	m := v.table.Moves()[0]
	total, routes := v.evidence(m, now)
	if movephase.DefaultConfig.IsNewVersionFaulty(total, routes) {
		t.Fatalf("two slow answers count as a fault: %+v", routes)
	}
	for i, peer := range nodes[1:] {
		v.applyReport(fmt.Sprint("vm-", i+2), peer.ownReport(), now)
	}
	total, routes = v.evidence(m, now)
	if movephase.DefaultConfig.IsNewVersionFaulty(total, nil) {
		t.Fatalf("the fault is not rare among all answers: %+v", total)
	}
	if !movephase.DefaultConfig.IsNewVersionFaulty(total, routes) {
		t.Errorf("the new version does not count as faulty: %+v", routes)
	}
	if _, routes = v.evidence(m, now.Add(maxEvidenceAge+time.Second)); movephase.DefaultConfig.IsNewVersionFaulty(total, routes) {
		t.Errorf("outdated reports count: %+v", routes)
	}
}

// TestFinishedMoveCutsRequestsOnOldVersion: the operator stops the servers of the old version
// once it is told that a move is done, while requests run there.
func TestFinishedMoveCutsRequestsOnOldVersion(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	old := f.addServerOfVersion("v1", "old", always(platformtest.Behavior{EventPause: 300 * time.Millisecond}))
	n := f.startNode("vm-1", 1)
	f.orderMove(time.Minute)
	f.eventually("the move is in progress", func() bool { return f.moveStatus() != "" })
	f.addServerOfVersion("v2", "new", nil)
	result := make(chan reply, 1)
	go func() {
		result <- do(t, n, call{method: "POST", path: "/fixedstream/x", key: "key-w", id: "old-1", body: "b"})
	}()
	f.eventually("the request runs on the old version", func() bool { return len(old.Runs()) == 1 })
	n.moves.table.AdvancePhase("s", n.moves.table.Moves()[0].Order, movephase.Done, n.now())
	isDone := func() bool { return strings.Contains(f.moveStatus(), platform.MoveDone) }
	var got reply
	f.eventually("the request has its answer", func() bool {
		select {
		case got = <-result:
			return true
		default:
		}
		if isDone() {
			old.Close()
		}
		return false
	})
	if got.err != nil || got.body != eventText(1, platformtest.EventCount) {
		t.Errorf("got %+v", got)
	}
	f.eventually("the move is stated as done", isDone)
}
