package quota_test

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/coordination/quota"
)

const (
	fleetStep       = 20 * time.Millisecond
	digestPeriod    = 200 * time.Millisecond
	quotaWindow     = 8 * time.Second
	quotaOver       = 0.1
	quotaSlack      = 140_000
	usedSlackShare  = 0.5
	fleetZones      = 4
	warmUp          = 14 * time.Second
	cheapRequest    = 1_000
	expensiveFactor = 20
)

// fleet is a deployment of VMs that exchange digests of package gossip and share the
// quotas of workspaces.
type fleet struct {
	start, now time.Time
	random     *rand.Rand
	limits     map[string]quota.Limit
	vms        []*fleetVM
	admitted   map[string][]admission
}

type fleetVM struct {
	id          gossip.Identity
	incarnation uint64
	core        *gossip.Core
	limiter     *quota.Limiter
	phase       int
	// group separates VMs that are partitioned from each other.
	group  int
	isDown bool
}

type admission struct {
	at   time.Time
	cost float64
}

func newFleet(seed uint64, vms int, limits map[string]quota.Limit) *fleet {
	start := time.Unix(1_900_000_000, 0)
	f := &fleet{start: start, now: start, random: rand.New(rand.NewPCG(seed, uint64(vms))), limits: limits, admitted: map[string][]admission{}}
	for range vms {
		f.join()
	}
	return f
}

// join adds a VM, which starts.
func (f *fleet) join() {
	i := len(f.vms)
	f.vms = append(f.vms, &fleetVM{id: gossip.Identity{
		VM: fmt.Sprint("vm-", i), AvailabilityZone: fmt.Sprint("z", i%fleetZones), PeerAddress: fmt.Sprint("10.0.0.", i),
		CallerAddress: fmt.Sprint("10.1.0.", i), LinkMbps: 10 << (i / fleetZones % 3),
	}})
	f.boot(i)
}

// boot starts the processes of VMs.
func (f *fleet) boot(vms ...int) {
	for _, i := range vms {
		f.bootVM(f.vms[i])
	}
}

// bootVM starts the process of a VM, which reads the list of all VMs.
func (f *fleet) bootVM(v *fleetVM) {
	v.incarnation++
	v.id.Incarnation = v.incarnation
	v.isDown, v.phase = false, f.random.IntN(int(digestPeriod/fleetStep))
	v.core = gossip.New(gossip.DefaultConfig, v.id)
	for _, other := range f.vms {
		id := other.id
		id.Incarnation = 0
		v.core.AddPeer(id, f.now)
	}
	v.limiter = quota.New(usedSlackShare * quotaSlack)
	v.limiter.Configure(f.limits, f.now)
	v.limiter.SetPeers(v.core.LimitCounts(f.now), f.now)
}

func workspaceHash(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}

// tick lets the VMs whose turn it is send their digests.
func (f *fleet) tick(n int) {
	for _, v := range f.vms {
		if v.isDown || n%int(digestPeriod/fleetStep) != v.phase {
			continue
		}
		own := gossip.Digest{}
		own.Ready = true
		for name, total := range v.limiter.Totals() {
			own.AdmittedTotals = append(own.AdmittedTotals, gossip.AdmittedTotal{Workspace: workspaceHash(name), Total: total})
		}
		for _, m := range v.core.Tick(own, f.now) {
			f.deliver(v, m)
		}
		v.limiter.SetPeers(v.core.LimitCounts(f.now), f.now)
	}
}

func (f *fleet) deliver(from *fleetVM, m gossip.Message) {
	var index int
	if _, err := fmt.Sscanf(m.To, "10.0.0.%d", &index); err != nil {
		panic(err)
	}
	to := f.vms[index]
	if to.isDown || to.group != from.group {
		return
	}
	update, ok := to.core.Receive(m.Digest, f.now)
	if !ok || update.Key == "" {
		return
	}
	applyUpdate(to.limiter, update, f.limits, f.now)
}

// run plays the deployment for d. Each workspace requests at a rate, in cost per second, at VMs drawn at random.
func (f *fleet) run(d time.Duration, rate func(workspace string, at time.Duration) float64, event func(at time.Duration)) {
	owed := map[string]float64{}
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(fleetStep)
		at := f.now.Sub(f.start)
		if event != nil {
			event(at)
		}
		f.tick(int(at / fleetStep))
		for _, name := range slices.Sorted(maps.Keys(f.limits)) {
			for owed[name] += rate(name, at) * fleetStep.Seconds(); owed[name] > 0; {
				cost := float64(200 + f.random.IntN(2*cheapRequest))
				if f.random.IntN(5) == 0 {
					cost *= expensiveFactor * f.random.Float64()
				}
				owed[name] -= cost
				f.request(name, cost)
			}
		}
	}
}

// request makes a request at a VM that is up.
func (f *fleet) request(workspace string, cost float64) {
	v := f.vms[f.random.IntN(len(f.vms))]
	for tries := 0; v.isDown && tries < 50; tries++ {
		v = f.vms[f.random.IntN(len(f.vms))]
	}
	if v.isDown {
		return
	}
	if ok, _ := v.limiter.Admit(workspace, cost, f.now); ok {
		f.admitted[workspace] = append(f.admitted[workspace], admission{f.now, cost})
	}
}

// highest returns the largest cost of a workspace admitted in any quotaWindow.
func (f *fleet) highest(workspace string) (cost float64, from time.Duration) {
	list := f.admitted[workspace]
	sum, first := 0.0, 0
	for _, a := range list {
		for sum += a.cost; a.at.Sub(list[first].at) > quotaWindow; first++ {
			sum -= list[first].cost
		}
		if sum > cost {
			cost, from = sum, list[first].at.Sub(f.start)
		}
	}
	return cost, from
}

func (f *fleet) total(workspace string, from, to time.Duration) float64 {
	sum := 0.0
	for _, a := range f.admitted[workspace] {
		if at := a.at.Sub(f.start); at >= from && at < to {
			sum += a.cost
		}
	}
	return sum
}

// checkWindows checks the quota's rule for all workspaces.
func (f *fleet) checkWindows(t *testing.T, name string) {
	t.Helper()
	for workspace, limit := range f.limits {
		allowed := (limit.PerSecond*quotaWindow.Seconds()+limit.Burst)*(1+quotaOver) + quotaSlack
		if cost, from := f.highest(workspace); cost > allowed {
			t.Errorf("%s: %s: %.0f admitted in %v from %v, %.0f allowed", name, workspace, cost, quotaWindow, from, allowed)
		}
	}
}

// powerLoss stops a share of the VMs.
func (f *fleet) powerLoss(share float64) []int {
	var down []int
	for i := range f.vms {
		if f.random.Float64() < share {
			f.vms[i].isDown = true
			down = append(down, i)
		}
	}
	return down
}

// TestWorkspaceFarOverItsQuotaWhileVMsLosePower: a workspace requests several times its quota,
// half a second before a sixth of the VMs lose power. They start again 2.4 s later. Seen on
// nakhla-souq-grown scale-2: 6.19 M tokens were sent in 8 s where 6.03 M are allowed.
func TestWorkspaceFarOverItsQuotaWhileVMsLosePower(t *testing.T) {
	limit := quota.Limit{PerSecond: 600_000, Burst: 600_000}
	for _, c := range []struct{ vms, seeds int }{{8, 5}, {63, 10}, {295, 1}} {
		for seed := range c.seeds {
			for _, factor := range []float64{2.8, 6} {
				f := newFleet(uint64(seed), c.vms, map[string]quota.Limit{"w": limit})
				rate := func(_ string, at time.Duration) float64 {
					if at > warmUp {
						return factor * limit.PerSecond
					}
					return 0.45 * limit.PerSecond
				}
				var down []int
				f.run(warmUp+quotaWindow, rate, func(at time.Duration) {
					switch at {
					case warmUp + 500*time.Millisecond:
						down = f.powerLoss(0.16)
					case warmUp + 2900*time.Millisecond:
						f.boot(down...)
					}
				})
				name := fmt.Sprintf("%d VMs, seed %d, %v times the quota", c.vms, seed, factor)
				f.checkWindows(t, name)
				if used := f.total("w", warmUp, warmUp+quotaWindow) / (limit.PerSecond * quotaWindow.Seconds()); used < 0.95 {
					t.Errorf("%s: %.2f of the quota admitted", name, used)
				}
			}
		}
	}
}

// TestWorkspacesFarOverTheirQuotasDuringFaults: two workspaces request several times their
// quotas while VMs are partitioned, restart, lose power and join. A third one requests half of
// its quota.
func TestWorkspacesFarOverTheirQuotasDuringFaults(t *testing.T) {
	for _, c := range []struct{ vms, seeds int }{{8, 20}, {63, 10}, {295, 1}} {
		for seed := range c.seeds {
			limits := map[string]quota.Limit{
				"far over": {PerSecond: 600_000, Burst: 600_000}, "over": {PerSecond: 150_000, Burst: 150_000}, "within": {PerSecond: 300_000, Burst: 300_000},
			}
			f := newFleet(uint64(seed), c.vms, limits)
			rate := func(name string, at time.Duration) float64 {
				if name == "within" || at < warmUp {
					return 0.45 * limits[name].PerSecond
				}
				return 3 * limits[name].PerSecond
			}
			f.run(warmUp+quotaWindow+4*time.Second, rate, newFaults(f).at)
			f.checkWindows(t, fmt.Sprintf("%d VMs, seed %d", c.vms, seed))
		}
	}
}

// faults draws the faults of a deployment from a second before the rates rise.
type faults struct {
	fleet *fleet
	down  []int
}

func newFaults(f *fleet) *faults { return &faults{fleet: f} }

// at draws a fault every 700 ms.
func (x *faults) at(at time.Duration) {
	f := x.fleet
	if at < warmUp-time.Second || at%(700*time.Millisecond) != 0 {
		return
	}
	switch f.random.IntN(6) {
	case 0:
		share := 0.35 * f.random.Float64()
		for _, v := range f.vms {
			if f.random.Float64() < share {
				v.group = 1 + f.random.IntN(len(f.vms))
			}
		}
	case 1:
		for _, v := range f.vms {
			v.group = 0
		}
	case 2:
		x.down = append(x.down, f.powerLoss(0.16)...)
	case 3:
		f.boot(x.down...)
		x.down = nil
	case 4:
		f.boot(f.random.IntN(len(f.vms)))
	case 5:
		f.join()
	}
}

func applyUpdate(l *quota.Limiter, u gossip.Update, limits map[string]quota.Limit, now time.Time) {
	totals := map[string]uint64{}
	for _, q := range u.AdmittedTotals {
		for name := range limits {
			if workspaceHash(name) == q.Workspace {
				totals[name] = q.Total
			}
		}
	}
	l.ApplyTotals(u.Key, totals, u.LacksAdmitted, now)
}
