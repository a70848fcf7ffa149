package gossip

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootpath.example/coltsfootpath/internal/coordination/singleton"
	"coltsfootpath.example/coltsfootpath/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 10) }

var startTime = time.Unix(1_900_000_000, 0)

const period = 200 * time.Millisecond

// cluster simulates VMs whose messages arrive immediately, unless they are lost
// or the receiver is down.
type cluster struct {
	now   time.Time
	zones int
	vms   []*vm
	// sent counts the messages of the last period by sender, crossZone those
	// delivered between zones.
	sent      map[string]int
	crossZone int
	lost      func() bool
	// storeDown is set while no VM can read the store.
	storeDown bool
}

type vm struct {
	core *Core
	id   Identity
	down bool
	// load is the work of this VM on server 1.
	load uint64
	// updates holds the latest update of each key, updatedAt its time.
	updates   map[string]Update
	updatedAt map[string]time.Time
}

func newCluster(count, zones int) *cluster {
	w := &cluster{now: startTime, zones: zones, lost: func() bool { return false }}
	for i := range count {
		w.vms = append(w.vms, &vm{})
		w.start(i, 1)
	}
	return w
}

func (w *cluster) start(i int, incarnation uint64) {
	v := w.vms[i]
	capacity := 10
	if i < 2*w.zones {
		capacity = 200
	}
	v.id = Identity{
		VM: fmt.Sprint("vm-", i), Incarnation: incarnation, AvailabilityZone: fmt.Sprint("zone-", i%w.zones),
		PeerAddress: fmt.Sprint("peer-", i), CallerAddress: fmt.Sprint("caller-", i), LinkMbps: capacity,
	}
	v.core = New(DefaultConfig, v.id)
	v.updates, v.updatedAt = map[string]Update{}, map[string]time.Time{}
	v.load = uint64(i + 1)
	for j, other := range w.vms {
		if j != i && other.core != nil {
			v.core.AddPeer(other.id, w.now)
		}
	}
}

func (w *cluster) run(periods int) {
	byAddress := map[string]*vm{}
	for _, v := range w.vms {
		byAddress[v.id.PeerAddress] = v
	}
	for range periods {
		w.now = w.now.Add(period)
		w.sent, w.crossZone = map[string]int{}, 0
		for _, v := range w.vms {
			if v.down {
				continue
			}
			own := Digest{Loads: []Load{{Server: 1, Running: v.load}}}
			own.Ready = true
			own.ReadsStore = !w.storeDown && v.core.IsReader(w.now)
			for _, m := range v.core.Tick(own, w.now) {
				w.deliver(v, byAddress[m.To], m)
			}
		}
	}
}

func (w *cluster) deliver(from, to *vm, m Message) {
	w.sent[from.id.VM]++
	if to == nil || to.down || w.lost() {
		return
	}
	if from.id.AvailabilityZone != to.id.AvailabilityZone {
		w.crossZone++
	}
	copied := *m.Digest
	update, ok := to.core.Receive(&copied, w.now)
	if ok && update.Key != "" {
		to.updates[update.Key], to.updatedAt[update.Key] = update, w.now
	}
}

// knownLoad returns the total load in a VM's valid updates, plus its own.
func (v *vm) knownLoad(now time.Time) uint64 {
	sum := v.load
	vmCounts := v.core.VMCounts(now)
	for key, n := range v.updates {
		if now.Sub(v.updatedAt[key]) > 2*time.Second || vmCounts[key] == 0 {
			continue
		}
		for _, l := range n.Loads {
			sum += l.Running
		}
	}
	return sum
}

func (w *cluster) totalLoad() uint64 {
	sum := uint64(0)
	for _, v := range w.vms {
		if !v.down {
			sum += v.load
		}
	}
	return sum
}

func TestEveryVMLearnsTheTotalLoad(t *testing.T) {
	for _, count := range []int{2, 8, 16, 40, 88} {
		w := newCluster(count, 4)
		w.run(40)
		for _, v := range w.vms {
			if got := v.knownLoad(w.now); got != w.totalLoad() {
				t.Errorf("%d VMs: %s has load %d, want %d", count, v.id.VM, got, w.totalLoad())
			}
			if got := v.core.Count(w.now); got != count {
				t.Errorf("%d VMs: %s counts %d", count, v.id.VM, got)
			}
		}
	}
}

// TestTrafficPerVMIsConstant checks that a VM that is not a hub sends as many
// messages at 160 VMs as at 40, and that the number of messages between zones is
// the same.
func TestTrafficPerVMIsConstant(t *testing.T) {
	type traffic struct{ perVM, crossZone int }
	measure := func(count int) traffic {
		w := newCluster(count, 4)
		w.run(40)
		return traffic{w.sent[w.vms[count-1].id.VM], w.crossZone}
	}
	a, b := measure(40), measure(160)
	if a != b {
		t.Errorf("traffic is %+v at 40 VMs, %+v at 160", a, b)
	}
}

// TestDeadHubsAreReplaced stops the hubs of all zones at once.
func TestDeadHubsAreReplaced(t *testing.T) {
	w := newCluster(40, 4)
	w.run(30)
	for i := range 8 {
		w.vms[i].down = true
	}
	w.run(50)
	for _, v := range w.vms[8:] {
		if got := v.knownLoad(w.now); got != w.totalLoad() {
			t.Errorf("%s has load %d, want %d", v.id.VM, got, w.totalLoad())
		}
	}
	for i := range 8 {
		w.vms[i].down = false
		w.start(i, 2)
	}
	w.run(50)
	for _, v := range w.vms {
		if got := v.knownLoad(w.now); got != w.totalLoad() {
			t.Errorf("after the restart: %s has load %d, want %d", v.id.VM, got, w.totalLoad())
		}
	}
}

// TestStoreReadersRemainWhenVMsFail checks that at least one VM reads the store,
// whichever VMs are down, and that in a large deployment only a few do.
func TestStoreReadersRemainWhenVMsFail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 50).Draw(t, "vms")
		w := newCluster(count, 4)
		w.run(8)
		down := rapid.IntRange(0, count-1).Draw(t, "down")
		for i := range down {
			w.vms[i].down = true
		}
		w.run(25)
		readers := 0
		for _, v := range w.vms {
			if !v.down && v.core.IsReader(w.now) {
				readers++
			}
		}
		if readers == 0 {
			t.Fatalf("no VM reads the store with %d of %d VMs down", down, count)
		}
		if up := count - down; up > 20 && readers > 10 {
			t.Fatalf("%d of %d VMs read the store, want at most 10", readers, up)
		}
	})
}

// TestPartialViewIsNoMesh: a VM that starts early knows only those that started before it, its
// zone's and the hubs, which may be few enough for a mesh. It would then ignore its hub's
// digests and know nothing of the load from the other zones.
func TestPartialViewIsNoMesh(t *testing.T) {
	for _, shape := range []struct{ vms, zones int }{{17, 4}, {18, 6}, {24, 9}, {40, 6}, {60, 6}, {88, 8}} {
		w := newCluster(shape.vms, shape.zones)
		w.run(25)
		for _, v := range w.vms {
			if v.core.IsMesh(w.now) {
				t.Errorf("%d VMs in %d zones: %s takes them for a mesh", shape.vms, shape.zones, v.id.VM)
			}
			if known, total := v.knownLoad(w.now), w.totalLoad(); known != total {
				t.Errorf("%d VMs in %d zones: %s knows of a load of %d, there is %d", shape.vms, shape.zones, v.id.VM, known, total)
			}
		}
	}
}

// TestStoreReadersFollowTheBoundNotTheZones: readers exist so that a record is known within
// the bound, and every VM asks the store itself before the bound if nothing confirms its copy.
// So neither more zones nor more VMs need more readers. They are of as many zones as there
// can be, and their ranks differ.
func TestStoreReadersFollowTheBoundNotTheZones(t *testing.T) {
	const readersWanted = 4
	for _, shape := range []struct{ vms, zones int }{{18, 6}, {24, 9}, {17, 1}, {82, 4}, {60, 2}, {295, 6}} {
		w := newCluster(shape.vms, shape.zones)
		w.run(25)
		ranks, zones := map[int]bool{}, map[string]bool{}
		for _, v := range w.vms {
			role := v.core.ReaderRole(w.now)
			if !role.IsReader {
				continue
			}
			if ranks[role.Rank] || role.Rank >= role.Readers {
				t.Errorf("%s of %d VMs in %d zones: rank %d of %d is wrong or given twice", v.id.VM, shape.vms, shape.zones, role.Rank, role.Readers)
			}
			ranks[role.Rank], zones[v.id.AvailabilityZone] = true, true
		}
		if len(ranks) != readersWanted || len(zones) != min(shape.zones, readersWanted) {
			t.Errorf("%d VMs in %d zones: %d read the store, in %d zones, want %d in %d", shape.vms, shape.zones, len(ranks), len(zones), readersWanted, min(shape.zones, readersWanted))
		}
	}
}

// TestEveryVMHearsOfAStoreReader: a VM that hears of none reads the store itself. Seen on
// detsporenie-tt-large, once only four VMs read: all 86 VMs of the two zones whose hubs do not read
// read the store every 0.3 s, 3,500 calls before the traffic began.
func TestEveryVMHearsOfAStoreReader(t *testing.T) {
	for _, shape := range []struct{ vms, zones int }{{8, 4}, {18, 6}, {24, 9}, {82, 4}, {100, 1}, {295, 6}} {
		w := newCluster(shape.vms, shape.zones)
		w.run(25)
		unaware := func() (count int) {
			for _, v := range w.vms {
				if !v.core.IsReader(w.now) && !v.core.HasStoreReader(w.now) {
					count++
				}
			}
			return count
		}
		if n := unaware(); n > 0 {
			t.Errorf("%d VMs in %d zones: %d hear of no reader", shape.vms, shape.zones, n)
		}
		w.storeDown = true
		w.run(12)
		for _, v := range w.vms {
			if v.core.HasStoreReader(w.now) {
				t.Errorf("%d VMs in %d zones: %s hears of a reader long after the last one", shape.vms, shape.zones, v.id.VM)
				break
			}
		}
	}
}

// TestDigestOfUnknownKindIsIgnored: a kind of a later release is not taken for the total of all
// VMs.
func TestDigestOfUnknownKindIsIgnored(t *testing.T) {
	c := New(DefaultConfig, Identity{VM: "a", PeerAddress: "pa", AvailabilityZone: "z"})
	d := Digest{Kind: AllVMs + 1, Sequence: 1, Count: 50, Loads: []Load{{Server: 1, Running: 7}}}
	d.VM, d.PeerAddress, d.Incarnation = "b", "pb", 3
	if update, ok := c.Receive(&d, startTime); ok || update.Key != "" {
		t.Errorf("a digest of an unknown kind was applied as %q", update.Key)
	}
	if !c.IsMesh(startTime) {
		t.Error("its number of VMs counts")
	}
}

// TestStaleDigestsAreDropped checks that repeated and reordered digests are
// dropped, and that a new incarnation restarts the sequence.
func TestStaleDigestsAreDropped(t *testing.T) {
	c := New(DefaultConfig, Identity{VM: "a", PeerAddress: "pa", AvailabilityZone: "z"})
	d := Digest{Sequence: 5, Loads: []Load{{Server: 1, Running: 7}}}
	d.VM, d.PeerAddress, d.Incarnation = "b", "pb", 3
	if _, ok := c.Receive(&d, startTime); !ok {
		t.Fatal("first digest was dropped")
	}
	for _, old := range []struct{ incarnation, sequence uint64 }{{3, 5}, {3, 4}, {2, 9}} {
		again := d
		again.Incarnation, again.Sequence = old.incarnation, old.sequence
		if _, ok := c.Receive(&again, startTime); ok {
			t.Errorf("stale digest was applied: %+v", old)
		}
	}
	again := d
	again.Incarnation, again.Sequence = 4, 1
	if _, ok := c.Receive(&again, startTime); !ok {
		t.Error("digest of a new incarnation was dropped")
	}
}

// TestMessageLossOnlyDelays checks that the VMs' views stay within 10% of the
// total while a tenth of the messages is lost, three times the known loss of the
// links.
func TestMessageLossOnlyDelays(t *testing.T) {
	w := newCluster(40, 4)
	random := rand.New(rand.NewPCG(1, 1))
	w.lost = func() bool { return random.IntN(10) == 0 }
	w.run(60)
	for _, v := range w.vms {
		if got := v.knownLoad(w.now); got < w.totalLoad()*9/10 || got > w.totalLoad()*11/10 {
			t.Errorf("%s has load %d, want %d", v.id.VM, got, w.totalLoad())
		}
	}
}

func TestHolderReportSpreads(t *testing.T) {
	w := newCluster(40, 4)
	w.run(30)
	holder := w.vms[39]
	byAddress := map[string]*vm{}
	for _, v := range w.vms {
		byAddress[v.id.PeerAddress] = v
	}
	for range 20 {
		w.now = w.now.Add(period)
		for _, v := range w.vms {
			own := Digest{}
			if v == holder {
				own.FencingToken, own.HolderAddress, own.HolderEnd = 9, v.id.PeerAddress, 44
			}
			for _, m := range v.core.Tick(own, w.now) {
				w.deliver(v, byAddress[m.To], m)
			}
		}
	}
	for _, v := range w.vms {
		report := v.core.Holder()
		if v != holder && (report.Address != holder.id.PeerAddress || report.FencingToken != 9 || report.End != 44 || w.now.Sub(report.At) > 5*period) {
			t.Errorf("%s: holder report is %+v, %v old", v.id.VM, report, w.now.Sub(report.At))
		}
	}
}

// TestReportOfDeadHolderAges checks that the report of a dead holder does not
// stay recent while VMs relay it to each other with a transit time of 30 ms.
func TestReportOfDeadHolderAges(t *testing.T) {
	w := newCluster(8, 4)
	w.run(10)
	died := w.now
	for _, v := range w.vms {
		v.core.holder = HolderReport{Address: "peer-dead", HolderReport: singleton.HolderReport{FencingToken: 5, At: died}}
	}
	byAddress := map[string]*vm{}
	for _, v := range w.vms {
		byAddress[v.id.PeerAddress] = v
	}
	for range 100 {
		w.now = w.now.Add(period)
		for _, v := range w.vms {
			for _, m := range v.core.Tick(Digest{}, w.now) {
				copied := *m.Digest
				byAddress[m.To].core.Receive(&copied, w.now.Add(30*time.Millisecond))
			}
		}
	}
	for _, v := range w.vms {
		if report := v.core.Holder(); report.At.Sub(died) > time.Second {
			t.Errorf("%s: holder report appears %v younger than it is", v.id.VM, report.At.Sub(died))
		}
	}
}

// TestTotalsNeitherShrinkNorJump admits work while hubs and other VMs fail and
// recover. The total that a VM has received never shrinks and never exceeds the
// work that was admitted. Seen on emac-hokkaido-grown: an unresponsive VM removed
// its complete history from the aggregate of its zone, which refilled the bucket
// of every VM.
func TestTotalsNeitherShrinkNorJump(t *testing.T) {
	w := newCluster(40, 4)
	random := rand.New(rand.NewPCG(4, 4))
	w.sent = map[string]int{}
	admitted := map[*vm]uint64{}
	knownTotals := map[*vm]uint64{}
	byAddress := map[string]*vm{}
	for _, v := range w.vms {
		byAddress[v.id.PeerAddress] = v
	}
	totalAdmitted := uint64(0)
	for step := range 300 {
		w.now = w.now.Add(period)
		if step > 30 {
			v := w.vms[random.IntN(len(w.vms))]
			v.down = !v.down && random.IntN(3) == 0
		}
		for _, v := range w.vms {
			if v.down {
				continue
			}
			admitted[v] += 100
			totalAdmitted += 100
			for _, m := range v.core.Tick(Digest{AdmittedTotals: []AdmittedTotal{{Workspace: 1, Total: admitted[v]}}}, w.now) {
				w.deliver(v, byAddress[m.To], m)
			}
		}
		for _, v := range w.vms {
			sum := uint64(0)
			for key, n := range v.updates {
				if key != "all" {
					continue
				}
				for _, q := range n.AdmittedTotals {
					sum += q.Total
				}
			}
			if sum < knownTotals[v] {
				t.Fatalf("step %d: total at %s fell from %d to %d", step, v.id.VM, knownTotals[v], sum)
			}
			knownTotals[v] = sum
			if sum > totalAdmitted {
				t.Fatalf("step %d: total at %s is %d, but only %d were admitted", step, v.id.VM, sum, totalAdmitted)
			}
		}
	}
}

// TestCounterGrowthIsCountedOnce covers a total that shrinks and grows again.
func TestCounterGrowthIsCountedOnce(t *testing.T) {
	var s counters
	growth := uint64(0)
	for i, total := range []uint64{100, 150, 90, 150, 160} {
		growth += s.observe(1, total, i == 0)
	}
	if growth != 60 {
		t.Fatalf("growth is %d, want 60", growth)
	}
}

// TestMoreStoreReadersThanIsolatedVMs: a reader that is isolated only from the
// store reports this only after its pending read ends, and the other VMs rely on
// it until then. Seen on emac-hokkaido scale-2, seed 911058007685: both readers of
// six VMs were isolated from the store, and the other VMs received a document only
// after 2.1 s.
func TestMoreStoreReadersThanIsolatedVMs(t *testing.T) {
	for n := 3; n <= DefaultConfig.MeshLimit; n++ {
		w := newCluster(n, 3)
		w.run(20)
		readers := 0
		for _, v := range w.vms {
			if v.core.IsReader(w.now) {
				readers++
			}
		}
		isolated := int(math.Ceil(DefaultConfig.MaxIsolatedShare * float64(n)))
		if readers <= isolated {
			t.Errorf("%d VMs: %d read the store, %d may be isolated from it", n, readers, isolated)
		}
	}
}
