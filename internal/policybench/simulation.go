package policybench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/admission"
	"coltsfootpath.example/coltsfootpath/internal/standin/engine"
	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
)

const (
	zoneCount        = 4
	engineCount      = 12
	entryCount       = 8
	crossZoneLatency = 500 * time.Microsecond
	sameZoneLatency  = 100 * time.Microsecond
	maxWaiting       = 4096

	// Prices per hour, in millionths of the currency unit.
	reclaimablePricePerHour = 900_000
	onDemandPricePerHour    = 2_400_000
	zoneSurchargePerHour    = 50_000
)

// simulation holds the VMs, the clock and the counters of one run.
type simulation struct {
	clock       *virtualClock
	engines     []*engineVM
	enginesByID map[string]*engineVM
	nodes       []*entryVM
	leaving     map[string]bool
	prefill     prefillCounter
	random      *rand.Rand
}

func newSimulation(newPolicy func(*simulation, string) policy, seed uint64) *simulation {
	sim := &simulation{
		clock:       newVirtualClock(),
		enginesByID: map[string]*engineVM{},
		leaving:     map[string]bool{},
		prefill:     prefillCounter{computedBlocks: map[uint64]bool{}},
		random:      rand.New(rand.NewPCG(seed, 5)),
	}
	for i := range engineCount {
		sim.addEngine(i, seed)
	}
	for i := range entryCount {
		sim.addEntry(i, newPolicy, seed)
	}
	return sim
}

func (sim *simulation) addEngine(i int, seed uint64) {
	e := &engineVM{
		vm: fleet.VM{
			ID: fmt.Sprintf("engine-%02d", i), AvailabilityZone: zoneName(i % zoneCount),
			Class: "accelerator-small", Reclaimable: i%3 != 0, Role: fleet.EngineRole,
		},
		clock:    sim.clock,
		batch:    engine.NewBatch(engineCost),
		random:   rand.New(rand.NewPCG(seed, 100+uint64(i))),
		attempts: map[string]*attempt{},
		slowdown: 1,
		prefill:  &sim.prefill,
	}
	sim.engines = append(sim.engines, e)
	sim.enginesByID[e.vm.ID] = e
	sim.clock.every(time.Second, time.Second, func() { e.trimEvents(sim.clock.now.Add(-2 * time.Second)) })
}

func (sim *simulation) addEntry(i int, newPolicy func(*simulation, string) policy, seed uint64) {
	n := &entryVM{
		sim: sim, zone: zoneName(i % zoneCount), backends: fleet.NewTable(), policy: newPolicy(sim, zoneName(i%zoneCount)),
		random: rand.New(rand.NewPCG(seed, 200+uint64(i))),
	}
	if _, ok := n.policy.(*systemPolicy); ok {
		n.queue = admission.NewQueue(admission.DefaultQueueConfig(firstTokenTarget, maxWaiting))
		sim.clock.every(n.randomOffset(queueCheckInterval), queueCheckInterval, n.processQueue)
	}
	sim.nodes = append(sim.nodes, n)
	n.refreshVMs()
	sim.clock.every(n.randomOffset(listInterval), listInterval, n.refreshVMs)
	for _, e := range sim.engines {
		n.backends.ApplyReport(e.vm.ID, e.loadReport(), sim.clock.now)
		sim.clock.every(n.randomOffset(loadInterval), loadInterval, func() { n.pollEngine(e) })
	}
}

func (n *entryVM) randomOffset(period time.Duration) time.Duration {
	return time.Duration(n.random.Int64N(int64(period)))
}

// vms returns the cloud's list of running VMs with their reclaim notices.
func (sim *simulation) vms() []fleet.VM {
	var out []fleet.VM
	for _, e := range sim.engines {
		vm := e.vm
		vm.Leaving = sim.leaving[vm.ID]
		if e.isRunning() {
			out = append(out, vm)
		}
	}
	return out
}

func (sim *simulation) latency(a, b string) time.Duration {
	if a == b {
		return sameZoneLatency
	}
	return crossZoneLatency
}

// reclaim gives the engines of a zone a reclaim notice and stops them when the
// notice period ends.
func (sim *simulation) reclaim(zone string, notice time.Duration) {
	for _, e := range sim.engines {
		if e.vm.AvailabilityZone != zone {
			continue
		}
		sim.leaving[e.vm.ID] = true
		sim.clock.after(notice, func() { sim.kill(e) })
	}
}

func (sim *simulation) kill(e *engineVM) {
	interrupted := e.stop()
	slices.SortFunc(interrupted, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	for _, a := range interrupted {
		a.fail()
	}
}

// totalCost returns the cost of all engines until now, in millionths of the currency
// unit.
func (sim *simulation) totalCost() float64 {
	var sum float64
	for _, e := range sim.engines {
		until := sim.clock.now
		if !e.isRunning() {
			until = e.stoppedAt
		}
		sum += float64(pricePerHour(e.vm)) * until.Sub(epoch).Hours()
	}
	return sum
}

func pricePerHour(vm fleet.VM) int64 {
	p := int64(onDemandPricePerHour)
	if vm.Reclaimable {
		p = reclaimablePricePerHour
	}
	return p + zoneSurchargePerHour*int64(vm.AvailabilityZone[len(vm.AvailabilityZone)-1]-'a')
}

func zoneName(i int) string {
	return fmt.Sprintf("zone-%c", 'a'+i)
}
