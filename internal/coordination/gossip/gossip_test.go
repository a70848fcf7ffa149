package gossip

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootpath.example/coltsfootpath/internal/coordination/duty"
	"coltsfootpath.example/coltsfootpath/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 10) }

var begin = time.Unix(1_900_000_000, 0)

const period = 200 * time.Millisecond

// world is VMs whose messages arrive at once, unless their path is cut or they
// are down.
type world struct {
	now   time.Time
	zones int
	vms   []*vm
	// sent counts the messages of the last period by sender, and between zones.
	sent    map[string]int
	between int
	lost    func() bool
}

type vm struct {
	core *Core
	id   Identity
	down bool
	// load is this VM's work on one server.
	load uint64
	// news is the latest of each key.
	news map[string]News
	at   map[string]time.Time
}

func newWorld(count, zones int) *world {
	w := &world{now: begin, zones: zones, lost: func() bool { return false }}
	for i := range count {
		w.vms = append(w.vms, &vm{})
		w.start(i, 1)
	}
	return w
}

func (w *world) start(i int, incarnation uint64) {
	v := w.vms[i]
	capacity := 10
	if i < 2*w.zones {
		capacity = 200
	}
	v.id = Identity{
		VM: fmt.Sprint("vm-", i), Incarnation: incarnation, AvailabilityZone: fmt.Sprint("zone-", i%w.zones),
		PeerAddress: fmt.Sprint("peer-", i), CallerAddress: fmt.Sprint("caller-", i), Capacity: capacity,
	}
	v.core = New(DefaultConfig, v.id)
	v.news, v.at = map[string]News{}, map[string]time.Time{}
	v.load = uint64(i + 1)
	for j, other := range w.vms {
		if j != i && other.core != nil {
			v.core.Know(other.id, w.now)
		}
	}
}

func (w *world) run(periods int) {
	byAddress := map[string]*vm{}
	for _, v := range w.vms {
		byAddress[v.id.PeerAddress] = v
	}
	for range periods {
		w.now = w.now.Add(period)
		w.sent, w.between = map[string]int{}, 0
		for _, v := range w.vms {
			if v.down {
				continue
			}
			own := Digest{Loads: []Load{{Server: 1, Running: v.load}}}
			own.Ready = true
			for _, m := range v.core.Tell(own, w.now) {
				w.deliver(v, byAddress[m.To], m)
			}
		}
	}
}

func (w *world) deliver(from, to *vm, m Message) {
	w.sent[from.id.VM]++
	if to == nil || to.down || w.lost() {
		return
	}
	if from.id.AvailabilityZone != to.id.AvailabilityZone {
		w.between++
	}
	copied := *m.Digest
	news, ok := to.core.Hear(&copied, w.now)
	if ok && news.Key != "" {
		to.news[news.Key], to.at[news.Key] = news, w.now
	}
}

// seen is the sum of the loads that a VM knows of, its own included.
func (v *vm) seen(now time.Time) uint64 {
	sum := v.load
	counts := v.core.Weights(now)
	for key, n := range v.news {
		if now.Sub(v.at[key]) > 2*time.Second || counts[key] == 0 {
			continue
		}
		for _, l := range n.Loads {
			sum += l.Running
		}
	}
	return sum
}

func (w *world) total() uint64 {
	sum := uint64(0)
	for _, v := range w.vms {
		if !v.down {
			sum += v.load
		}
	}
	return sum
}

func TestEveryVMSeesTheWork(t *testing.T) {
	for _, count := range []int{2, 8, 16, 40, 88} {
		w := newWorld(count, 4)
		w.run(40)
		for _, v := range w.vms {
			if got := v.seen(w.now); got != w.total() {
				t.Errorf("%d VMs: %s sees %d of %d", count, v.id.VM, got, w.total())
			}
			if got := v.core.Count(w.now); got != count {
				t.Errorf("%d VMs: %s counts %d", count, v.id.VM, got)
			}
		}
	}
}

// TestTrafficDoesNotGrowWithTheSquare: messages of a VM that is no hub are as
// many at 160 VMs as at 40, and so are those between zones.
func TestTrafficDoesNotGrowWithTheSquare(t *testing.T) {
	type traffic struct{ small, between int }
	measure := func(count int) traffic {
		w := newWorld(count, 4)
		w.run(40)
		return traffic{w.sent[w.vms[count-1].id.VM], w.between}
	}
	a, b := measure(40), measure(160)
	if a != b {
		t.Errorf("%+v at 40 VMs, %+v at 320", a, b)
	}
}

// TestDeadHubsAreReplaced ends the hubs of all zones at once.
func TestDeadHubsAreReplaced(t *testing.T) {
	w := newWorld(40, 4)
	w.run(30)
	for i := range 8 {
		w.vms[i].down = true
	}
	w.run(50)
	for _, v := range w.vms[8:] {
		if got := v.seen(w.now); got != w.total() {
			t.Errorf("%s sees %d of %d", v.id.VM, got, w.total())
		}
	}
	for i := range 8 {
		w.vms[i].down = false
		w.start(i, 2)
	}
	w.run(50)
	for _, v := range w.vms {
		if got := v.seen(w.now); got != w.total() {
			t.Errorf("after the return %s sees %d of %d", v.id.VM, got, w.total())
		}
	}
}

// TestSomebodyReadsTheStore: whoever is down, at least one VM reads, and not all
// of a large deployment do.
func TestSomebodyReadsTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 50).Draw(t, "vms")
		w := newWorld(count, 4)
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
			t.Fatalf("nobody reads with %d of %d VMs down", down, count)
		}
		if up := count - down; up > 20 && readers > 10 {
			t.Fatalf("%d of %d VMs read", readers, up)
		}
	})
}

// TestOldMessagesChangeNothing: a message that comes again, or late, is dropped.
func TestOldMessagesChangeNothing(t *testing.T) {
	c := New(DefaultConfig, Identity{VM: "a", PeerAddress: "pa", AvailabilityZone: "z"})
	d := Digest{Sequence: 5, Loads: []Load{{Server: 1, Running: 7}}}
	d.VM, d.PeerAddress, d.Incarnation = "b", "pb", 3
	if _, ok := c.Hear(&d, begin); !ok {
		t.Fatal("not taken")
	}
	for _, old := range []struct{ incarnation, sequence uint64 }{{3, 5}, {3, 4}, {2, 9}} {
		again := d
		again.Incarnation, again.Sequence = old.incarnation, old.sequence
		if _, ok := c.Hear(&again, begin); ok {
			t.Errorf("taken: %+v", old)
		}
	}
	again := d
	again.Incarnation, again.Sequence = 4, 1
	if _, ok := c.Hear(&again, begin); !ok {
		t.Error("a new life was not taken")
	}
}

// TestLossesOnlyDelay: with a tenth of the messages lost, three times what links
// are known to lose, views stay together.
func TestLossesOnlyDelay(t *testing.T) {
	w := newWorld(40, 4)
	random := rand.New(rand.NewPCG(1, 1))
	w.lost = func() bool { return random.IntN(10) == 0 }
	w.run(60)
	for _, v := range w.vms {
		if got := v.seen(w.now); got < w.total()*9/10 || got > w.total()*11/10 {
			t.Errorf("%s sees %d of %d", v.id.VM, got, w.total())
		}
	}
}

func TestTheHoldersWordSpreads(t *testing.T) {
	w := newWorld(40, 4)
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
				own.Fence, own.HolderAddress, own.HolderEnd = 9, v.id.PeerAddress, 44
			}
			for _, m := range v.core.Tell(own, w.now) {
				w.deliver(v, byAddress[m.To], m)
			}
		}
	}
	for _, v := range w.vms {
		word := v.core.Holder()
		if v != holder && (word.Address != holder.id.PeerAddress || word.Fence != 9 || word.End != 44 || w.now.Sub(word.At) > 5*period) {
			t.Errorf("%s: %+v, %v ago", v.id.VM, word, w.now.Sub(word.At))
		}
	}
}

// TestWordOfADeadHolderAges: digests take 30 ms on their way.
func TestWordOfADeadHolderAges(t *testing.T) {
	w := newWorld(8, 4)
	w.run(10)
	died := w.now
	for _, v := range w.vms {
		v.core.word = Word{Address: "peer-dead", Word: duty.Word{Fence: 5, At: died}}
	}
	byAddress := map[string]*vm{}
	for _, v := range w.vms {
		byAddress[v.id.PeerAddress] = v
	}
	for range 100 {
		w.now = w.now.Add(period)
		for _, v := range w.vms {
			for _, m := range v.core.Tell(Digest{}, w.now) {
				copied := *m.Digest
				byAddress[m.To].core.Hear(&copied, w.now.Add(30*time.Millisecond))
			}
		}
	}
	for _, v := range w.vms {
		if word := v.core.Holder(); word.At.Sub(died) > time.Second {
			t.Errorf("%s: word of the holder is %v younger than it is", v.id.VM, word.At.Sub(died))
		}
	}
}

// TestSumsNeitherShrinkNorJump: VMs admit more and more while hubs and others go
// down and come back. What any VM knows of the others' sum never shrinks, and
// never grows by more than was admitted. Found on emac-hokkaido-grown: a VM that
// fell silent took its whole past out of its zone's sum, and the bucket of every
// VM was full again.
func TestSumsNeitherShrinkNorJump(t *testing.T) {
	w := newWorld(40, 4)
	random := rand.New(rand.NewPCG(4, 4))
	w.sent = map[string]int{}
	admitted := map[*vm]uint64{}
	known := map[*vm]uint64{}
	byAddress := map[string]*vm{}
	for _, v := range w.vms {
		byAddress[v.id.PeerAddress] = v
	}
	all := uint64(0)
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
			all += 100
			for _, m := range v.core.Tell(Digest{Quotas: []Quota{{Workspace: 1, Total: admitted[v]}}}, w.now) {
				w.deliver(v, byAddress[m.To], m)
			}
		}
		for _, v := range w.vms {
			sum := uint64(0)
			for key, n := range v.news {
				if key != "all" {
					continue
				}
				for _, q := range n.Quotas {
					sum += q.Total
				}
			}
			if sum < known[v] {
				t.Fatalf("step %d: %s knew %d and now %d", step, v.id.VM, known[v], sum)
			}
			known[v] = sum
			if sum > all {
				t.Fatalf("step %d: %s knows %d of %d", step, v.id.VM, sum, all)
			}
		}
	}
}

// TestWhatWasToldCountsOnce: a sum shrinks and grows again.
func TestWhatWasToldCountsOnce(t *testing.T) {
	var s sums
	growth := uint64(0)
	for i, total := range []uint64{100, 150, 90, 150, 160} {
		growth += s.take(1, total, i == 0)
	}
	if growth != 60 {
		t.Fatalf("%d counted of 60", growth)
	}
}

// TestMoreReadTheStoreThanAreCutOffTogether: readers that are cut off from the
// store alone say so only after a whole read, and the others wait for them. Found
// by a hunt on emac-hokkaido (scale-2 --seed 911058007685, CONFIG): both readers of
// six VMs were cut off, and a document came to the others after 2.1 s.
func TestMoreReadTheStoreThanAreCutOffTogether(t *testing.T) {
	for n := 3; n <= DefaultConfig.MeshLimit; n++ {
		w := newWorld(n, 3)
		w.run(20)
		readers := 0
		for _, v := range w.vms {
			if v.core.IsReader(w.now) {
				readers++
			}
		}
		cut := int(math.Ceil(DefaultConfig.CutShare * float64(n)))
		if readers <= cut {
			t.Errorf("%d VMs: %d read, %d may be cut off", n, readers, cut)
		}
	}
}
