package policybench

import "time"

// scenario describes a load and the faults that are injected during it.
type scenario struct {
	name   string
	phases []phase
	// injectFaults schedules the faults.
	injectFaults func(sim *simulation)
}

const (
	// Arrival rates in requests per second.
	calmRate     = 110
	busyRate     = 220
	burstRate    = 330
	overloadRate = 700

	faultAt           = 15 * time.Second
	slowdownFactor    = 4
	eventLossRatio    = 0.5
	reclaimNotice     = 2 * time.Second
	slowedEngineIndex = 4
	reclaimedZone     = "zone-b"
)

var scenarios = []scenario{
	{name: "calm", phases: []phase{{45 * time.Second, calmRate}}, injectFaults: func(*simulation) {}},
	{name: "busy", phases: []phase{{45 * time.Second, busyRate}}, injectFaults: func(*simulation) {}},
	{name: "burst", phases: []phase{{15 * time.Second, calmRate}, {8 * time.Second, burstRate}, {22 * time.Second, calmRate}}, injectFaults: func(*simulation) {}},
	{name: "overload", phases: []phase{{15 * time.Second, calmRate}, {8 * time.Second, overloadRate}, {22 * time.Second, calmRate}}, injectFaults: func(*simulation) {}},
	{name: "zone reclaim", phases: []phase{{45 * time.Second, calmRate}}, injectFaults: func(sim *simulation) {
		sim.clock.after(faultAt, func() { sim.reclaim(reclaimedZone, reclaimNotice) })
	}},
	{name: "slow engine", phases: []phase{{45 * time.Second, calmRate}}, injectFaults: func(sim *simulation) {
		sim.clock.after(faultAt, func() { sim.engines[slowedEngineIndex].slowdown = slowdownFactor })
	}},
	{name: "event gaps", phases: []phase{{45 * time.Second, calmRate}}, injectFaults: func(sim *simulation) {
		for _, e := range sim.engines {
			e.eventLossRatio = eventLossRatio
		}
	}},
}

func (s scenario) duration() time.Duration {
	var sum time.Duration
	for _, p := range s.phases {
		sum += p.duration
	}
	return sum
}

// run simulates the scenario under a policy.
func (s scenario) run(p namedPolicy, seed uint64) row {
	sim := newSimulation(p.newPolicy, seed)
	s.injectFaults(sim)
	requests := makeRequests(s.phases, seed)
	for _, r := range requests {
		sim.clock.after(r.arrivalOffset, func() { sim.nodes[sim.random.IntN(len(sim.nodes))].accept(r) })
	}
	sim.clock.runUntil(s.duration())
	cost := sim.totalCost()
	sim.clock.runUntil(s.duration() + requestTimeout)
	return summarise(s.name, p.name, requests, sim, cost)
}
