package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"coltsfootpath.example/coltsfootpath/internal/protocol/peerapi"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// network connects cores in virtual time. delivers reports whether a message
// from one VM reaches another.
type network struct {
	t        testing.TB
	now      time.Time
	cores    map[string]*Core
	order    []string
	frozen   map[string]bool
	delivers func(from, to string) bool
	messages int
	bytes    int
}

func newNetwork(t testing.TB, n int) *network {
	net := &network{t: t, now: epoch, cores: map[string]*Core{}, frozen: map[string]bool{}}
	net.delivers = func(string, string) bool { return true }
	for i := range n {
		net.add(i, 1)
	}
	return net
}

func vmName(i int) string { return fmt.Sprintf("entry-%03d", i) }

func zoneOf(i int) string { return fmt.Sprintf("zone-%d", i%3) }

func (n *network) add(i int, incarnation uint64) {
	self := Member{VM: vmName(i), AvailabilityZone: zoneOf(i), CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:81", Incarnation: incarnation}
	core := New(DefaultConfig, self, rand.New(rand.NewPCG(uint64(i), 7)))
	var hint []Member
	for _, vm := range n.order {
		hint = append(hint, n.cores[vm].Self())
		n.cores[vm].Introduce([]Member{self})
	}
	core.Introduce(hint)
	n.cores[self.VM] = core
	n.order = append(n.order, self.VM)
}

func (n *network) remove(vm string) {
	delete(n.cores, vm)
	for i, name := range n.order {
		if name == vm {
			n.order = append(n.order[:i:i], n.order[i+1:]...)
		}
	}
}

// exchange sends a message and its reply and reports whether both arrived.
func (n *network) exchange(from, to string) bool {
	target := n.cores[to]
	sender := n.cores[from]
	if target == nil || n.frozen[to] || !n.delivers(from, to) {
		return false
	}
	n.recordMessage(sender, to)
	target.Receive(sender.Self(), sender.Updates(to), n.now)
	if !n.delivers(to, from) {
		return false
	}
	n.recordMessage(target, from)
	sender.Receive(target.Self(), target.Updates(from), n.now)
	return true
}

func (n *network) recordMessage(sender *Core, to string) {
	n.messages++
	digest := &peerapi.Digest{ControlNext: 1 << 20}
	for _, m := range peek(sender, to) {
		digest.Members = append(digest.Members, toWire(m))
	}
	n.bytes += proto.Size(&peerapi.ProbeRequest{From: toWire(sender.Self()), Digest: digest})
}

// peek returns the result of Updates without changing the core.
func peek(c *Core, to string) []Member {
	sends := map[string]int{}
	for vm, r := range c.pendingUpdates {
		sends[vm] = r.remainingSends
	}
	pending := maps.Clone(c.pendingUpdates)
	out := c.Updates(to)
	c.pendingUpdates = pending
	for vm, r := range pending {
		r.remainingSends = sends[vm]
	}
	return out
}

func toWire(m Member) *peerapi.Member {
	return &peerapi.Member{
		Vm: m.VM, AvailabilityZone: m.AvailabilityZone, CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress,
		Incarnation: m.Incarnation, State: uint32(m.State),
	}
}

func (n *network) period() {
	n.now = n.now.Add(DefaultConfig.Period)
	for _, vm := range append([]string(nil), n.order...) {
		core := n.cores[vm]
		if core == nil || n.frozen[vm] {
			continue
		}
		probe, ok, _ := core.Tick(n.now)
		if !ok {
			continue
		}
		target := probe.Target.VM
		if n.exchange(vm, target) || n.viaHelpers(core, vm, target) {
			core.ProbeAnswered(target)
			continue
		}
		core.ProbeFailed(target, n.now)
	}
}

func (n *network) viaHelpers(core *Core, vm, target string) bool {
	for _, helper := range core.IndirectProbers(target) {
		if n.exchange(vm, helper.VM) && n.exchange(helper.VM, target) {
			return true
		}
	}
	return false
}

func (n *network) periods(count int) {
	for range count {
		n.period()
	}
}

func (n *network) stateOf(viewer, vm string) State {
	for _, m := range n.cores[viewer].Members() {
		if m.VM == vm {
			return m.State
		}
	}
	return Dead
}

func (n *network) expectAll(vm string, want ...State) {
	n.t.Helper()
	for _, viewer := range n.order {
		if viewer == vm || n.frozen[viewer] {
			continue
		}
		got, ok := n.stateOf(viewer, vm), false
		for _, w := range want {
			ok = ok || got == w
		}
		if !ok {
			n.t.Errorf("%s has %s as %v", viewer, vm, got)
		}
	}
}

// detectionPeriods returns the number of periods within which all nodes must
// detect a dead member among n: a round of probes, the suspicion timeout and the
// dissemination.
func detectionPeriods(n int) int {
	core := New(DefaultConfig, Member{}, nil)
	return n + int(core.SuspicionTimeout()/DefaultConfig.Period) + 4*core.log2Size()
}

func TestDeadMemberIsRemovedAndOthersStay(t *testing.T) {
	n := newNetwork(t, 8)
	n.periods(5)
	n.remove(vmName(3))
	n.periods(detectionPeriods(8))
	n.expectAll(vmName(3), Dead)
	for _, vm := range n.order {
		n.expectAll(vm, Alive)
	}
}

func TestFrozenMemberRejoins(t *testing.T) {
	n := newNetwork(t, 8)
	n.periods(5)
	n.frozen[vmName(2)] = true
	n.periods(detectionPeriods(8))
	n.expectAll(vmName(2), Dead)
	n.frozen[vmName(2)] = false
	n.periods(detectionPeriods(8))
	for _, vm := range n.order {
		n.expectAll(vm, Alive)
	}
}

func TestOneWayLossRemovesNoMember(t *testing.T) {
	n := newNetwork(t, 8)
	n.delivers = func(from, to string) bool { return from != vmName(1) || to != vmName(4) }
	for range 40 {
		n.period()
		n.expectAll(vmName(1), Alive, Suspect)
		n.expectAll(vmName(4), Alive, Suspect)
	}
}

func TestZonePartitionHeals(t *testing.T) {
	n := newNetwork(t, 9)
	zone := map[string]string{}
	for i := range 9 {
		zone[vmName(i)] = zoneOf(i)
	}
	n.periods(3)
	n.delivers = func(from, to string) bool { return (zone[from] == "zone-0") == (zone[to] == "zone-0") }
	n.periods(detectionPeriods(9))
	if got := n.stateOf(vmName(1), vmName(0)); got != Dead {
		t.Errorf("partitioned member is %v, want dead", got)
	}
	if got := n.stateOf(vmName(1), vmName(2)); got != Alive {
		t.Errorf("member on the same side is %v, want alive", got)
	}
	n.delivers = func(string, string) bool { return true }
	// The cloud's list reintroduces members after their tombstones have expired.
	n.periods(int(DefaultConfig.TombstoneTTL/DefaultConfig.Period) + 1)
	for _, core := range n.cores {
		for _, other := range n.cores {
			core.Introduce([]Member{other.Self()})
		}
	}
	n.periods(detectionPeriods(9))
	for _, vm := range n.order {
		n.expectAll(vm, Alive)
	}
}

func TestAllMembersReplacedOneByOne(t *testing.T) {
	n := newNetwork(t, 8)
	for i := range 8 {
		n.cores[vmName(i)].Leave()
		n.periods(6)
		n.remove(vmName(i))
		n.add(8+i, 1)
		n.periods(6)
	}
	n.periods(detectionPeriods(8))
	for i := range 8 {
		n.expectAll(vmName(i), Dead)
		n.expectAll(vmName(8+i), Alive)
	}
}

func TestLeavingStateSpreads(t *testing.T) {
	n := newNetwork(t, 8)
	n.periods(3)
	n.cores[vmName(5)].Leave()
	n.periods(8)
	n.expectAll(vmName(5), Leaving)
}

func TestResumedNodeDeclaresNoMemberDead(t *testing.T) {
	core := New(DefaultConfig, Member{VM: "a"}, rand.New(rand.NewPCG(1, 1)))
	core.Introduce([]Member{{VM: "b"}})
	core.Tick(epoch)
	core.ProbeFailed("b", epoch)
	if _, _, frozen := core.Tick(epoch.Add(time.Hour)); !frozen {
		t.Fatal("an hour without a tick was not reported as a freeze")
	}
	if got := core.Members()[0].State; got == Dead {
		t.Fatal("a resumed node declared a member dead because of its own freeze")
	}
}

func TestOldIncarnationIsIgnored(t *testing.T) {
	core := New(DefaultConfig, Member{VM: "a"}, rand.New(rand.NewPCG(1, 1)))
	core.Receive(Member{VM: "b", Incarnation: 5}, nil, epoch)
	core.Receive(Member{VM: "c", Incarnation: 1}, []Member{{VM: "b", Incarnation: 4, State: Dead}}, epoch)
	if got := core.Members()[0]; got.State != Alive || got.Incarnation != 5 {
		t.Fatalf("member b is %+v, want alive in incarnation 5", got)
	}
}

// BenchmarkPeriod measures the cost of one period per node while one member in a
// hundred has just died.
func BenchmarkPeriod(b *testing.B) {
	for _, size := range []int{8, 100, 380, 1000} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			n := newNetwork(b, size)
			n.periods(3)
			for i := range (size + 99) / 100 {
				n.remove(vmName(i))
			}
			n.messages, n.bytes = 0, 0
			b.ResetTimer()
			for range b.N {
				n.period()
			}
			nodes := float64(b.N * len(n.order))
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/nodes, "ns/node-period")
			b.ReportMetric(float64(n.bytes)/nodes, "sent-B/node-period")
			b.ReportMetric(float64(n.messages)/nodes, "messages/node-period")
			b.ReportMetric(0, "ns/op")
		})
	}
}
