package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/coldservers"
	"coltsfootpath.example/coltsfootpath/internal/loopback"
	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

const zoneKey = platform.EvacuationKeyPrefix + "zone-"

// addServerIn is addServer for a server in another zone.
func (f *fixture) addServerIn(zone, id string, chooseBehavior func(n int, r platformtest.Run) platformtest.Behavior) *platformtest.Server {
	s := platformtest.NewServer(id, chooseBehavior)
	f.t.Cleanup(s.Close)
	f.store.Put(platform.ServersTopic, id, s.Registration("s", zone, "ready"))
	return s
}

func (f *fixture) awaitEvacuated(zone string, isEvacuated bool, nodes ...*Node) {
	f.t.Helper()
	for _, n := range nodes {
		f.eventually(fmt.Sprintf("%s knows the state of %s", n.settings.VM, zone), func() bool { return n.backends.zones.MaySend(zone) != isEvacuated })
	}
}

// TestEvacuatedZoneGetsRequests: once all VMs know that zones are evacuated, no request reaches
// their servers, callers are served by others, and a zone that is taken back is used again. The
// value of the operator's record does not matter.
func TestEvacuatedZoneGetsRequests(t *testing.T) {
	t.Parallel()
	const inFlight = 200 * time.Millisecond
	f := newFixture(t)
	a, b := f.addServerIn("zone-a", "a", nil), f.addServerIn("zone-b", "b", nil)
	f.addServerIn("zone-c", "c", nil)
	nodes := []*Node{f.startNode("vm-1", 3), f.startNode("vm-2", 3), f.startNode("vm-3", 3)}
	var stops []func() []reply
	for _, path := range []string{"/again/x", "/once/x", "/stream/x"} {
		for _, n := range nodes {
			stops = append(stops, steadyCalls(t, n, path, 30*time.Millisecond))
		}
	}
	f.eventually("both zones get requests", func() bool { return len(a.Arrivals()) > 5 && len(b.Arrivals()) > 5 })
	f.store.Put(platform.OperatorTopic, zoneKey+"a", []byte("{}"))
	f.store.Put(platform.OperatorTopic, zoneKey+"b", []byte("no JSON"))
	f.store.Put(platform.OperatorTopic, platform.EvacuationKeyPrefix, []byte("{}"))
	for _, zone := range []string{"zone-a", "zone-b"} {
		f.awaitEvacuated(zone, true, nodes...)
	}
	learnedAt := time.Now()
	time.Sleep(time.Second)
	for _, s := range []*platformtest.Server{a, b} {
		if late := arrivalsBetween(s.Arrivals(), learnedAt.Add(inFlight), time.Now()); late > 0 {
			t.Errorf("%d requests reached %s", late, s.ID)
		}
	}
	f.eventually("the zones are empty", func() bool {
		return f.logs.hasLine("zones", "empty", "zone=zone-a") && f.logs.hasLine("zones", "empty", "zone=zone-b")
	})
	f.store.Put(platform.OperatorTopic, zoneKey+"a", nil)
	f.awaitEvacuated("zone-a", false, nodes...)
	before := len(a.Arrivals())
	f.eventually("the zone that is taken back gets requests", func() bool { return len(a.Arrivals()) > before+5 })
	if late := arrivalsBetween(b.Arrivals(), learnedAt.Add(inFlight), time.Now()); late > 0 {
		t.Errorf("%d requests reached the other zone", late)
	}
	for _, stop := range stops {
		for _, got := range stop() {
			if got.status != http.StatusOK {
				t.Errorf("got %+v", got)
			}
		}
	}
	for _, line := range [][]string{{"zones", "evacuated", "zone=zone-a"}, {"zones", "taken-back", "zone=zone-a"}, {"zones", "unreadable", "key=evacuate/"}} {
		if !f.logs.hasLine(line...) {
			t.Errorf("no line %v", line)
		}
	}
}

// TestServiceOfEvacuatedZonesIsRejectedAtOnce: a service without servers elsewhere is not
// served, and callers learn at once when to come back. A stream that runs goes on to its end.
func TestServiceOfEvacuatedZonesIsRejectedAtOnce(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	a := f.addServerIn("zone-a", "a", always(platformtest.Behavior{EventPause: 150 * time.Millisecond}))
	n := f.startNode("vm-1", 1)
	stream := make(chan reply, 1)
	go func() {
		stream <- do(t, n, call{method: "POST", path: "/stream/x", key: "key-w", id: "stream", body: "b"})
	}()
	f.eventually("the stream runs", func() bool { return len(a.Runs()) == 1 })
	f.store.Put(platform.OperatorTopic, zoneKey+"a", []byte("{}"))
	f.awaitEvacuated("zone-a", true, n)
	for i, path := range []string{"/again/x", "/once/x", "/stream/x"} {
		startedAt := time.Now()
		got := do(t, n, call{method: "POST", path: path, key: "key-w", id: fmt.Sprint("rejected-", i), body: "b"})
		if took := time.Since(startedAt); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || took > time.Second {
			t.Errorf("%s: after %v, %+v", path, took, got)
		}
	}
	if got := <-stream; got.status != http.StatusOK || got.err != nil {
		t.Errorf("the running stream: %+v", got)
	}
	if count := len(a.Arrivals()); count != 1 {
		t.Errorf("the server got %d requests", count)
	}
}

// TestVMWithoutStoreLearnsOfEvacuation: a VM has lost the store before the evacuation, and learns
// of it and of its end from its peer. One that starts meanwhile reads it from the store.
func TestVMWithoutStoreLearnsOfEvacuation(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	a := f.addServerIn("zone-a", "a", nil)
	f.addServerIn("zone-b", "b", nil)
	nodes := []*Node{f.startNode("vm-1", 2), f.startNode("vm-2", 2)}
	for _, n := range nodes {
		f.eventually("the VMs know each other", func() bool { return n.members.count() == 2 })
	}
	silent, err := loopback.FreeAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	nodes[1].platform.SetAddresses(silent[0], silent[0])
	f.store.SilenceConnections()
	f.store.Put(platform.OperatorTopic, zoneKey+"a", []byte("{}"))
	f.awaitEvacuated("zone-a", true, nodes...)
	nodes = append(nodes, f.startNode("vm-3", 2))
	before := len(a.Arrivals())
	for i := range 20 {
		for j, n := range nodes {
			if got := do(t, n, call{method: "GET", path: "/again/x", key: "key-w", id: fmt.Sprint("id-", i, "-", j)}); got.status != http.StatusOK {
				t.Errorf("got %+v", got)
			}
		}
	}
	if count := len(a.Arrivals()) - before; count > 0 {
		t.Errorf("the evacuated server got %d requests", count)
	}
	f.store.Put(platform.OperatorTopic, zoneKey+"a", nil)
	f.awaitEvacuated("zone-a", false, nodes...)
}

// TestRestoredStoreEndsEvacuation: the store comes back from a copy that lacks the evacuation.
// It holds until the operator has written it again.
func TestRestoredStoreEndsEvacuation(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.store.SetEra(4)
	a := f.addServerIn("zone-a", "a", nil)
	f.addServerIn("zone-b", "b", nil)
	copied := f.store.Copy()
	nodes := []*Node{f.startNode("vm-1", 2), f.startNode("vm-2", 2)}
	f.store.Put(platform.OperatorTopic, zoneKey+"a", []byte("{}"))
	f.awaitEvacuated("zone-a", true, nodes...)
	before := len(a.Arrivals())
	f.store.Restore(copied)
	send := func(when string) {
		for i, n := range nodes {
			do(t, n, call{method: "GET", path: "/again/x", key: "key-w", id: fmt.Sprint(when, "-", i)})
		}
	}
	for i := range 10 {
		send(fmt.Sprint("restored-", i))
		time.Sleep(100 * time.Millisecond)
	}
	f.store.Put(platform.OperatorTopic, zoneKey+"a", []byte("{}"))
	for _, n := range nodes {
		f.eventually("the records were written again", func() bool { return !n.operatorFollower.isRestoring() && n.operatorFollower.end().Era() == 5 })
	}
	for i := range 10 {
		send(fmt.Sprint("later-", i))
	}
	if got := len(a.Arrivals()) - before; got > 0 {
		t.Errorf("the evacuated server got %d requests", got)
	}
	f.store.Put(platform.OperatorTopic, zoneKey+"a", nil)
	f.awaitEvacuated("zone-a", false, nodes...)
}

// TestPlacedAttemptIsNotSentToEvacuatedZone: an attempt was placed before the VM learned of the
// evacuation. Peers' tunnels and checks obey it too.
func TestPlacedAttemptIsNotSentToEvacuatedZone(t *testing.T) {
	f := newFixture(t)
	f.addServerIn("zone-a", "a", nil)
	n := f.startNode("vm-1", 1)
	now := time.Now()
	p := n.backends.choose(&serverQuery{service: "s"}, now, newRandom())
	if p == nil || !n.backends.maySend(p, now) {
		t.Fatal("no server was chosen")
	}
	n.backends.zones.Evacuate("zone-a", now)
	if n.backends.maySend(p, now) || n.backends.wantsRequests(p.server, now) || n.backends.mayAsk(p.server) {
		t.Error("the attempt may be sent")
	}
	if got := n.backends.probeCandidates("s", now); len(got) > 0 {
		t.Errorf("%d servers may be probed", len(got))
	}
	if hasVersion, _ := n.backends.versionsPresent("s", "v1"); hasVersion {
		t.Error("a version move counts on the server")
	}
	for _, isReplacement := range []bool{false, true} {
		if n.backends.choose(&serverQuery{service: "s", isReplacement: isReplacement}, now, newRandom()) != nil {
			t.Error("the server was chosen")
		}
	}
}

// TestServersOfEvacuatedZoneAreReplacedElsewhere: the servers of an evacuated zone are neither
// stopped nor added to. As many are ordered elsewhere at once, and none is stopped when the zone
// has just been taken back.
func TestServersOfEvacuatedZoneAreReplacedElsewhere(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	fleet, n := f.startScaledFleet()
	time.Sleep(2 * orderInterval)
	zoneOf, most := "", 0
	for slot, count := range n.duties.orderer.countServers("s") {
		if count > most {
			zoneOf, most = slot.AvailabilityZone, count
		}
	}
	running, stopped, orders := fleet.Count("v1", true), fleet.StoppedByOrders(), len(f.store.Orders())
	f.store.Put(platform.OperatorTopic, platform.EvacuationKeyPrefix+zoneOf, []byte("{}"))
	f.awaitEvacuated(zoneOf, true, n)
	f.eventually("as many servers run elsewhere", func() bool { return fleet.Count("v1", true)+fleet.Count("v1", false) >= running+most })
	for _, o := range f.store.Orders()[orders:] {
		if o.Zone == zoneOf {
			t.Errorf("order in the evacuated zone: %+v", o)
		}
	}
	f.store.Put(platform.OperatorTopic, platform.EvacuationKeyPrefix+zoneOf, nil)
	f.awaitEvacuated(zoneOf, false, n)
	time.Sleep(4 * orderInterval)
	if got := fleet.StoppedByOrders() - stopped; got > 0 {
		t.Errorf("orders stopped %d running servers", got)
	}
}

// TestZoneTakenBackIsExpectedToBeCold: the servers' records may be older than their coldness.
func TestZoneTakenBackIsExpectedToBeCold(t *testing.T) {
	t.Parallel()
	c := newColdTrial(t, coldservers.Limit{PerSecond: 2, Over: 1.5, Slack: 3}, 1, 0, 1)
	n, s := c.nodes[0], c.warm[0]
	c.store.Put(platform.OperatorTopic, zoneKey+"a", []byte("{}"))
	c.awaitEvacuated("zone-a", true, n)
	if n.backends.cold.IsCold(s.ID, time.Now()) {
		t.Error("the server is cold before its zone is taken back")
	}
	c.store.Put(platform.OperatorTopic, zoneKey+"a", nil)
	c.awaitEvacuated("zone-a", false, n)
	c.eventually("the server is expected to be cold", func() bool { return n.backends.cold.IsCold(s.ID, time.Now()) })
	c.eventually("the server is expected to be warm", func() bool { return !n.backends.cold.IsCold(s.ID, time.Now()) })
}
