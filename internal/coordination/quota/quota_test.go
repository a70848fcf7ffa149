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

var testStart = time.Unix(1_900_000_000, 0)

// simulation simulates several nodes that share one workspace's quota, and records
// all requests that they admit.
type simulation struct {
	now        time.Time
	nodes      []*node
	limit      Limit
	extraBurst float64
	admitted   []grant
}

type grant struct {
	at   time.Time
	cost float64
}

type node struct {
	limiter *Limiter
	// earlierTotal is the total admitted by the earlier processes of the node.
	earlierTotal uint64
	// isolated is true while the node is isolated from all others.
	isolated bool
}

const workspace = "w"

func newSimulation(nodes int, limit Limit, extraBurst float64) *simulation {
	w := &simulation{now: testStart, limit: limit, extraBurst: extraBurst}
	for i := range nodes {
		w.nodes = append(w.nodes, &node{})
		w.start(i)
	}
	return w
}

// start starts or restarts the process of a node.
func (w *simulation) start(i int) {
	v := w.nodes[i]
	if v.limiter != nil {
		v.earlierTotal += v.limiter.Totals()[workspace]
	}
	v.limiter = New(w.extraBurst)
	v.limiter.Configure(map[string]Limit{workspace: w.limit}, w.now)
	others := map[string]int{}
	for j := range w.nodes {
		if j != i {
			others[fmt.Sprint(j)] = 1
		}
	}
	v.limiter.SetPeers(others, w.now)
}

// cumulative adds the total admitted by earlier processes of the node: the digests
// carry totals that continue across restarts.
func (v *node) cumulative(totals map[string]uint64) map[string]uint64 {
	out := map[string]uint64{}
	for name, total := range totals {
		out[name] = total + v.earlierTotal
	}
	return out
}

// exchangeReports delivers a report from every node to every other, unless one of
// the two is isolated.
func (w *simulation) exchangeReports() {
	for i, from := range w.nodes {
		totals := from.limiter.Totals()
		for j, to := range w.nodes {
			if i != j && !from.isolated && !to.isolated {
				to.limiter.ApplyTotals(fmt.Sprint(i), from.cumulative(totals), false, w.now)
			}
		}
	}
}

// request makes a request of the given cost at a node and reports whether it was
// admitted.
func (w *simulation) request(i int, cost float64) bool {
	ok, wait := w.nodes[i].limiter.Admit(workspace, cost, w.now)
	if ok {
		w.admitted = append(w.admitted, grant{w.now, cost})
	} else if wait <= 0 {
		panic("rejected without a time to retry after")
	}
	return ok
}

// maxAdmitted returns the largest cost admitted in any span of the given length.
func (w *simulation) maxAdmitted(span time.Duration) float64 {
	highest := 0.0
	for i := range w.admitted {
		sum := 0.0
		for _, g := range w.admitted[i:] {
			if g.at.Sub(w.admitted[i].at) > span {
				break
			}
			sum += g.cost
		}
		highest = max(highest, sum)
	}
	return highest
}

// TestOverloadedWorkspaceStaysWithinItsQuota requests several times the quota at
// all nodes, some of which are isolated or restarted. The cost admitted by all
// nodes stays within the quota, plus the extra burst, plus the costs that nodes
// can't have reported to each other within one period.
func TestOverloadedWorkspaceStaysWithinItsQuota(t *testing.T) {
	const period = 200 * time.Millisecond
	const window = 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{PerSecond: 1000, Burst: 1000}
		nodes := rapid.IntRange(1, 8).Draw(t, "vms")
		w := newSimulation(nodes, limit, 200)
		starts := 0
		for range rapid.IntRange(20, 100).Draw(t, "periods") {
			w.now = w.now.Add(period)
			switch rapid.IntRange(0, 30).Draw(t, "event") {
			case 0:
				v := w.nodes[rapid.IntRange(0, nodes-1).Draw(t, "cut")]
				v.isolated = !v.isolated
			case 1:
				w.start(rapid.IntRange(0, nodes-1).Draw(t, "start"))
				starts++
			}
			w.exchangeReports()
			for i := range w.nodes {
				for range rapid.IntRange(0, 4).Draw(t, "asks") {
					w.request(i, float64(rapid.IntRange(1, 100).Draw(t, "cost")))
				}
			}
		}
		// An unresponsive node is assumed to use its share only after
		// UnresponsiveTimeout, and each start admits less than half a bucket in
		// excess.
		unreportedCost := limit.PerSecond*(UnresponsiveTimeout.Seconds()+2*period.Seconds()) + float64(nodes)*400
		bound := limit.PerSecond*window.Seconds() + limit.Burst + w.extraBurst + unreportedCost + float64(starts+nodes-1)*(limit.Burst+w.extraBurst)/2
		if highest := w.maxAdmitted(window); highest > bound {
			t.Fatalf("%v admitted in %v, limit %v", highest, window, bound)
		}
	})
}

// TestWorkspaceWithinItsQuotaIsNotRejected: a workspace makes large requests at
// half of its rate, on randomly drawn nodes that have reports of each other.
func TestWorkspaceWithinItsQuotaIsNotRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 8).Draw(t, "vms")
		w := newSimulation(nodes, Limit{PerSecond: 1000, Burst: 1000}, 200)
		w.now = w.now.Add(startupTime)
		w.exchangeReports()
		for range 60 {
			w.now = w.now.Add(200 * time.Millisecond)
			w.exchangeReports()
			if !w.request(rapid.IntRange(0, nodes-1).Draw(t, "vm"), 100) {
				t.Fatalf("rejected at half of the rate")
			}
		}
	})
}

// TestUnusedShareOfUnresponsivePeerIsReturned: digests are lost for three seconds
// while the workspace is idle.
func TestUnusedShareOfUnresponsivePeerIsReturned(t *testing.T) {
	w := newSimulation(4, Limit{PerSecond: 100, Burst: 300}, 0)
	w.now = w.now.Add(5 * time.Second)
	w.exchangeReports()
	w.request(0, 250)
	w.exchangeReports()
	w.now = w.now.Add(3 * time.Second)
	w.exchangeReports()
	if got := w.nodes[1].limiter.buckets[workspace].level; got < 299 {
		t.Fatalf("level %v after 3 s at 100 per second", got)
	}
}

// TestOverloadedWorkspaceOnManyNodes: a workspace requests eight times its quota
// at 62 nodes, whose reports arrive after three periods. In eight seconds, no more
// may run than the quota plus a tenth of it and the platform's slack. Seen on
// emac-hokkaido-grown: 9.4 M tokens were admitted where 8.85 M are allowed.
func TestOverloadedWorkspaceOnManyNodes(t *testing.T) {
	const (
		period  = 200 * time.Millisecond
		delay   = 3
		window  = 8 * time.Second
		perTick = 22
	)
	limit := Limit{PerSecond: 880_000, Burst: 880_000}
	const slack = 140_000
	w := newSimulation(62, limit, slack/2)
	random := rand.New(rand.NewPCG(1, 1))
	type snapshot []map[string]uint64
	var snapshots []snapshot
	for range 200 {
		w.now = w.now.Add(period)
		now := make(snapshot, len(w.nodes))
		for i, v := range w.nodes {
			now[i] = v.cumulative(v.limiter.Totals())
		}
		snapshots = append(snapshots, now)
		if len(snapshots) > delay {
			for j, to := range w.nodes {
				for i, totals := range snapshots[len(snapshots)-1-delay] {
					if i != j {
						to.limiter.ApplyTotals(fmt.Sprint(i), totals, false, w.now)
					}
				}
			}
		}
		for range 62 * perTick / 10 {
			w.request(random.IntN(len(w.nodes)), float64(1000+random.IntN(20_000)))
		}
	}
	bound := (limit.PerSecond*window.Seconds()+limit.Burst)*1.1 + slack
	if maxCost := w.maxAdmitted(window); maxCost > bound {
		t.Errorf("%.0f admitted in %v, %.0f allowed", maxCost, window, bound)
	}
	if admittedPerSecond := w.maxAdmitted(40*time.Second) / 40; admittedPerSecond < 0.9*limit.PerSecond {
		t.Errorf("%.0f admitted per second, limit %.0f", admittedPerSecond, limit.PerSecond)
	}
}

func TestRequestLargerThanTheBucketIsAdmittedWhenItIsFull(t *testing.T) {
	w := newSimulation(1, Limit{PerSecond: 100, Burst: 100}, 0)
	w.now = w.now.Add(10 * time.Second)
	if !w.request(0, 250) {
		t.Fatal("a request larger than the bucket was rejected while it is full")
	}
	if w.request(0, 1) {
		t.Fatal("the bucket is not empty after a request larger than it")
	}
}

func TestRefundIsReportedToPeers(t *testing.T) {
	w := newSimulation(2, Limit{PerSecond: 100, Burst: 100}, 0)
	w.now = w.now.Add(time.Second)
	w.exchangeReports()
	w.request(0, 80)
	w.exchangeReports()
	w.nodes[0].limiter.Refund(workspace, 80)
	w.exchangeReports()
	if got := w.nodes[1].limiter.buckets[workspace].level; math.Abs(got-100) > 1 {
		t.Fatalf("level %v at the peer, want 100", got)
	}
}

// TestAllNodesStartAtOnce: a workspace requests four times its quota at many nodes
// that all restart at the same time and get no reports for the first half second.
// Seen on emac-hokkaido-grown trouble-3: 6.22 M tokens were admitted in 8 s where
// 5.81 M are allowed.
func TestAllNodesStartAtOnce(t *testing.T) {
	const (
		period              = 100 * time.Millisecond
		window              = 8 * time.Second
		slack               = 140_000
		ticksWithoutReports = 5
	)
	for _, perSecond := range []float64{36_000, 250_000, 880_000} {
		for _, nodes := range []int{6, 62, 88} {
			limit := Limit{PerSecond: perSecond, Burst: perSecond}
			w := newSimulation(nodes, limit, slack/2)
			random := rand.New(rand.NewPCG(7, uint64(nodes)))
			requested := 0.0
			for tick := range 200 {
				w.now = w.now.Add(period)
				if tick == 100 {
					for i := range w.nodes {
						w.start(i)
					}
				}
				if tick < 100 || tick >= 100+ticksWithoutReports {
					w.exchangeReports()
				}
				for requested += 4 * perSecond * period.Seconds(); requested > 0; {
					cost := float64(400 + random.IntN(8_000))
					requested -= cost
					w.request(random.IntN(nodes), cost)
				}
			}
			bound := (limit.PerSecond*window.Seconds()+limit.Burst)*1.1 + slack
			if highest := w.maxAdmitted(window); highest > bound {
				t.Errorf("%d nodes, %.0f per second: %.0f admitted in %v, %.0f allowed", nodes, perSecond, highest, window, bound)
			}
		}
	}
}

// TestStartingNodeServesItsShare: a node that has just started admits the requests
// of a workspace within its quota, as long as they are within an even share.
func TestStartingNodeServesItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 90).Draw(t, "vms")
		limit := Limit{PerSecond: 100_000, Burst: 100_000}
		w := newSimulation(nodes, limit, 70_000)
		evenRate := limit.PerSecond / float64(nodes)
		for range int(startupTime / (250 * time.Millisecond)) {
			w.now = w.now.Add(250 * time.Millisecond)
			if !w.request(0, evenRate/4) {
				t.Fatal("a request within the even share was rejected")
			}
		}
	})
}
