package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootpath.example/coltsfootpath/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 0) }

var begin = time.Unix(1_900_000_000, 0)

// world is a few VMs that share one workspace's quota. A central account judges
// what they admit together.
type world struct {
	now      time.Time
	vms      []*vm
	limit    Limit
	extra    float64
	admitted []grant
}

type grant struct {
	at   time.Time
	cost float64
}

type vm struct {
	shared *Shared
	// before is what earlier lives have admitted.
	before uint64
	// cut is true while the VM hears nobody and nobody hears it.
	cut bool
}

const workspace = "w"

func newWorld(vms int, limit Limit, extra float64) *world {
	w := &world{now: begin, limit: limit, extra: extra}
	for i := range vms {
		w.vms = append(w.vms, &vm{})
		w.start(i)
	}
	return w
}

func (w *world) start(i int) {
	v := w.vms[i]
	if v.shared != nil {
		v.before += v.shared.Totals()[workspace]
	}
	v.shared = New(w.extra)
	v.shared.Configure(map[string]Limit{workspace: w.limit}, w.now)
	others := map[string]int{}
	for j := range w.vms {
		if j != i {
			others[fmt.Sprint(j)] = 1
		}
	}
	v.shared.SetPeers(others, w.now)
}

// grown adds what earlier lives of the VM have admitted: whoever passes totals on
// makes sums of them that go on over lives.
func (v *vm) grown(totals map[string]uint64) map[string]uint64 {
	out := map[string]uint64{}
	for name, total := range totals {
		out[name] = total + v.before
	}
	return out
}

// tell makes every VM tell every other.
func (w *world) tell() {
	for i, from := range w.vms {
		totals := from.shared.Totals()
		for j, to := range w.vms {
			if i != j && !from.cut && !to.cut {
				to.shared.Hear(fmt.Sprint(i), from.grown(totals), w.now)
			}
		}
	}
}

func (w *world) ask(i int, cost float64) bool {
	ok, wait := w.vms[i].shared.Admit(workspace, cost, w.now)
	if ok {
		w.admitted = append(w.admitted, grant{w.now, cost})
	} else if wait <= 0 {
		panic("refused without a time to come back at")
	}
	return ok
}

// most is the largest sum admitted in any span of a length.
func (w *world) most(span time.Duration) float64 {
	most := 0.0
	for i := range w.admitted {
		sum := 0.0
		for _, g := range w.admitted[i:] {
			if g.at.Sub(w.admitted[i].at) > span {
				break
			}
			sum += g.cost
		}
		most = max(most, sum)
	}
	return most
}

// TestAHotWorkspaceStaysWithinItsQuota asks for several times the quota at all
// VMs, some of which are cut off or start again. What is admitted together stays
// within the quota, what a bucket may hold more, and what VMs can't know of each
// other within one period.
func TestAHotWorkspaceStaysWithinItsQuota(t *testing.T) {
	const period = 200 * time.Millisecond
	const window = 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{PerSecond: 1000, Burst: 1000}
		vms := rapid.IntRange(1, 8).Draw(t, "vms")
		w := newWorld(vms, limit, 200)
		starts := 0
		for range rapid.IntRange(20, 100).Draw(t, "periods") {
			w.now = w.now.Add(period)
			switch rapid.IntRange(0, 30).Draw(t, "event") {
			case 0:
				v := w.vms[rapid.IntRange(0, vms-1).Draw(t, "cut")]
				v.cut = !v.cut
			case 1:
				w.start(rapid.IntRange(0, vms-1).Draw(t, "start"))
				starts++
			}
			w.tell()
			for i := range w.vms {
				for range rapid.IntRange(0, 4).Draw(t, "asks") {
					w.ask(i, float64(rapid.IntRange(1, 100).Draw(t, "cost")))
				}
			}
		}
		// A VM that is not heard of for SilentAfter is not yet taken to use its
		// share, and each start brings less than half a bucket.
		unseen := limit.PerSecond*(SilentAfter.Seconds()+2*period.Seconds()) + float64(vms)*400
		bound := limit.PerSecond*window.Seconds() + limit.Burst + w.extra + unseen + float64(starts+vms-1)*(limit.Burst+w.extra)/2
		if most := w.most(window); most > bound {
			t.Fatalf("%v admitted in %v, bound %v", most, window, bound)
		}
	})
}

// TestAWorkspaceWithinItsQuotaIsNotRefused: a clumpy workspace at half of its
// rate, at VMs drawn at random that have heard of each other.
func TestAWorkspaceWithinItsQuotaIsNotRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 8).Draw(t, "vms")
		w := newWorld(vms, Limit{PerSecond: 1000, Burst: 1000}, 200)
		w.now = w.now.Add(startTime)
		w.tell()
		for range 60 {
			w.now = w.now.Add(200 * time.Millisecond)
			w.tell()
			if !w.ask(rapid.IntRange(0, vms-1).Draw(t, "vm"), 100) {
				t.Fatalf("refused at half of the rate")
			}
		}
	})
}

// TestWhatASilentPeerDidNotUseIsGivenBack: digests are lost for three seconds
// while the workspace is idle.
func TestWhatASilentPeerDidNotUseIsGivenBack(t *testing.T) {
	w := newWorld(4, Limit{PerSecond: 100, Burst: 300}, 0)
	w.now = w.now.Add(5 * time.Second)
	w.tell()
	w.ask(0, 250)
	w.tell()
	w.now = w.now.Add(3 * time.Second)
	w.tell()
	if got := w.vms[1].shared.buckets[workspace].level; got < 299 {
		t.Fatalf("level %v after 3 s at 100 a second", got)
	}
}

// TestAHotWorkspaceOverManyVMs replays a workspace that asks for eight times its
// quota at 62 VMs, whose word takes three periods. In eight seconds no more may
// run than a tenth over the quota and the platform's slack. Found on
// emac-hokkaido-grown: 9.4 M tokens where 8.85 M are allowed.
func TestAHotWorkspaceOverManyVMs(t *testing.T) {
	const (
		period  = 200 * time.Millisecond
		delay   = 3
		window  = 8 * time.Second
		perTick = 22
	)
	limit := Limit{PerSecond: 880_000, Burst: 880_000}
	const slack = 140_000
	w := newWorld(62, limit, slack/2)
	random := rand.New(rand.NewPCG(1, 1))
	type word []map[string]uint64
	var words []word
	for range 200 {
		w.now = w.now.Add(period)
		now := make(word, len(w.vms))
		for i, v := range w.vms {
			now[i] = v.grown(v.shared.Totals())
		}
		words = append(words, now)
		if len(words) > delay {
			for j, to := range w.vms {
				for i, totals := range words[len(words)-1-delay] {
					if i != j {
						to.shared.Hear(fmt.Sprint(i), totals, w.now)
					}
				}
			}
		}
		for range 62 * perTick / 10 {
			w.ask(random.IntN(len(w.vms)), float64(1000+random.IntN(20_000)))
		}
	}
	bound := (limit.PerSecond*window.Seconds()+limit.Burst)*1.1 + slack
	if most := w.most(window); most > bound {
		t.Errorf("%.0f admitted in %v, %.0f allowed", most, window, bound)
	}
	if served := w.most(40*time.Second) / 40; served < 0.9*limit.PerSecond {
		t.Errorf("%.0f a second admitted of %.0f", served, limit.PerSecond)
	}
}

func TestARequestLargerThanTheBucketPassesWhenItIsFull(t *testing.T) {
	w := newWorld(1, Limit{PerSecond: 100, Burst: 100}, 0)
	w.now = w.now.Add(10 * time.Second)
	if !w.ask(0, 250) {
		t.Fatal("never admitted")
	}
	if w.ask(0, 1) {
		t.Fatal("the bucket holds something yet")
	}
}

func TestARefundIsToldToo(t *testing.T) {
	w := newWorld(2, Limit{PerSecond: 100, Burst: 100}, 0)
	w.now = w.now.Add(time.Second)
	w.tell()
	w.ask(0, 80)
	w.tell()
	w.vms[0].shared.Refund(workspace, 80)
	w.tell()
	if got := w.vms[1].shared.buckets[workspace].level; math.Abs(got-100) > 1 {
		t.Fatalf("level %v at the peer", got)
	}
}

// TestAllVMsStartAtOnce replays a workspace that asks for four times its quota at
// many VMs that all start again at one moment, with no word of each other for
// their first half second. Found on emac-hokkaido-grown trouble-3: 6.22 M tokens
// in 8 s where 5.81 M are allowed.
func TestAllVMsStartAtOnce(t *testing.T) {
	const (
		period = 100 * time.Millisecond
		window = 8 * time.Second
		slack  = 140_000
		silent = 5
	)
	for _, perSecond := range []float64{36_000, 250_000, 880_000} {
		for _, vms := range []int{6, 62, 88} {
			limit := Limit{PerSecond: perSecond, Burst: perSecond}
			w := newWorld(vms, limit, slack/2)
			random := rand.New(rand.NewPCG(7, uint64(vms)))
			asked := 0.0
			for tick := range 200 {
				w.now = w.now.Add(period)
				if tick == 100 {
					for i := range w.vms {
						w.start(i)
					}
				}
				if tick < 100 || tick >= 100+silent {
					w.tell()
				}
				for asked += 4 * perSecond * period.Seconds(); asked > 0; {
					cost := float64(400 + random.IntN(8_000))
					asked -= cost
					w.ask(random.IntN(vms), cost)
				}
			}
			bound := (limit.PerSecond*window.Seconds()+limit.Burst)*1.1 + slack
			if most := w.most(window); most > bound {
				t.Errorf("%d VMs, %.0f a second: %.0f admitted in %v, %.0f allowed", vms, perSecond, most, window, bound)
			}
		}
	}
}

// TestAVMThatStartsServesItsShare: what a workspace within its quota asks of a VM
// that has just started is not refused, as long as it is an even part.
func TestAVMThatStartsServesItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 90).Draw(t, "vms")
		limit := Limit{PerSecond: 100_000, Burst: 100_000}
		w := newWorld(vms, limit, 70_000)
		even := limit.PerSecond / float64(vms)
		for range int(startTime / (250 * time.Millisecond)) {
			w.now = w.now.Add(250 * time.Millisecond)
			if !w.ask(0, even/4) {
				t.Fatal("an even part is refused")
			}
		}
	})
}
