package fleetplan

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func slot(zone string, reclaimable bool) Slot {
	return Slot{AvailabilityZone: zone, Class: "small", Reclaimable: reclaimable}
}

func offer(zone string, reclaimable bool, price int64) Offer {
	return Offer{Slot: slot(zone, reclaimable), PricePerHour: price, Capacity: 10}
}

var fourZones = []Offer{
	offer("a", true, 90), offer("b", true, 95), offer("c", true, 100), offer("d", true, 105),
	offer("a", false, 240), offer("b", false, 245), offer("c", false, 250), offer("d", false, 255),
}

func TestCheapestMixes(t *testing.T) {
	tests := []struct {
		name   string
		demand Demand
		offers []Offer
		have   Counts
		want   Counts
	}{
		{"spread over the zones", Demand{RequestsPerSecond: 30, MaxVMs: 64}, fourZones, nil,
			Counts{slot("a", true): 1, slot("b", true): 1, slot("c", true): 1, slot("d", true): 1}},
		{"partly on-demand", Demand{RequestsPerSecond: 30, OnDemandPerSecond: 20, MaxVMs: 64}, fourZones, nil,
			Counts{slot("a", false): 1, slot("b", false): 1, slot("c", true): 1, slot("d", true): 1}},
		{"an expensive zone is not used",
			Demand{RequestsPerSecond: 20, MaxVMs: 64}, []Offer{offer("a", true, 10), offer("b", true, 10), offer("c", true, 10), offer("d", true, 1000)}, nil,
			Counts{slot("a", true): 1, slot("b", true): 1, slot("c", true): 1}},
		{"on-demand VMs survive a zone that loses only reclaimable ones",
			Demand{RequestsPerSecond: 30, MaxVMs: 64, OnlyReclaimableAtRisk: true}, fourZones[4:], nil,
			Counts{slot("a", false): 3}},
		{"a zone is at its maximum", Demand{RequestsPerSecond: 30, MaxVMs: 64, OnlyReclaimableAtRisk: true, MaxZoneCapacity: 20}, fourZones[4:], nil,
			Counts{slot("a", false): 2, slot("b", false): 1}},
		{"existing VMs are kept", Demand{RequestsPerSecond: 10, MaxVMs: 64}, fourZones, Counts{slot("d", true): 1},
			Counts{slot("a", true): 1, slot("d", true): 1}},
	}
	for _, tt := range tests {
		got, ok := Cheapest(tt.demand, tt.offers, tt.have)
		if !ok || fmt.Sprint(got) != fmt.Sprint(tt.want) {
			t.Errorf("%s: got %v, met=%v", tt.name, got, ok)
		}
	}
}

func TestSingleZoneNeverMeetsADemand(t *testing.T) {
	if got, ok := Cheapest(Demand{RequestsPerSecond: 10, MaxVMs: 64}, fourZones[:1], nil); ok {
		t.Fatalf("%v is reported to survive the loss of its only zone", got)
	}
}

// TestCheapestAgainstAllMixes checks that for one class, the plan costs as much as
// the cheapest of all mixes.
func TestCheapestAgainstAllMixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var offers []Offer
		for i := range rapid.IntRange(2, 4).Draw(t, "zones") {
			offers = append(offers, offer(fmt.Sprint(i), true, rapid.Int64Range(1, 50).Draw(t, "price")))
		}
		d := Demand{RequestsPerSecond: float64(rapid.IntRange(1, 50).Draw(t, "demand")), MaxVMs: 64}
		got, ok := Cheapest(d, offers, nil)
		if !ok || !got.Meets(d, offers) {
			t.Fatalf("%v does not meet the demand", got)
		}
		if best := cheapestOfAll(d, offers, Counts{}, 0); got.Cost(offers) != best {
			t.Fatalf("%v costs %d, the cheapest mix %d", got, got.Cost(offers), best)
		}
	})
}

// cheapestOfAll returns the lowest cost of all mixes of up to 5 VMs per offer.
func cheapestOfAll(d Demand, offers []Offer, counts Counts, from int) int64 {
	if from == len(offers) {
		if counts.Meets(d, offers) {
			return counts.Cost(offers)
		}
		return 1 << 40
	}
	best := int64(1 << 40)
	for n := range 6 {
		counts[offers[from].Slot] = n
		best = min(best, cheapestOfAll(d, offers, counts, from+1))
	}
	delete(counts, offers[from].Slot)
	return best
}

// cloudSimulation simulates the cloud: VMs serve some time after their start
// unless the start is rejected.
type cloudSimulation struct {
	planner *Planner
	vms     []VM
	next    int
	now     time.Time
	starts  int
	stops   int
	rejects func(Slot) bool
}

func newCloudSimulation() *cloudSimulation {
	return &cloudSimulation{planner: NewPlanner(DefaultConfig), now: testStart, rejects: func(Slot) bool { return false }}
}

const (
	stepInterval = 5 * time.Second
	startDelay   = 40 * time.Second
)

func (w *cloudSimulation) step(d Demand, offers []Offer) Plan {
	w.now = w.now.Add(stepInterval)
	for i := range w.vms {
		if w.vms[i].Starting && w.now.Sub(w.vms[i].Since) >= startDelay {
			w.vms[i].Starting = false
			w.planner.RecordStarted(w.vms[i].Slot)
		}
	}
	plan := w.planner.Step(d, offers, w.vms, w.now)
	for _, s := range plan.Start {
		if w.rejects(s) {
			w.planner.RecordRejected(s, w.now)
			continue
		}
		w.next++
		w.starts++
		w.vms = append(w.vms, VM{ID: fmt.Sprintf("vm-%04d", w.next), Slot: s, Starting: true, Since: w.now})
	}
	for _, id := range plan.Stop {
		w.stops++
		for i := range w.vms {
			if w.vms[i].ID == id {
				w.vms = append(w.vms[:i], w.vms[i+1:]...)
				break
			}
		}
	}
	return plan
}

func (w *cloudSimulation) run(steps int, d Demand, offers []Offer) {
	for range steps {
		w.step(d, offers)
	}
}

func (w *cloudSimulation) serving() Counts {
	serving, _ := w.planner.count(w.vms)
	return serving
}

func TestFleetStartsOnceAndIsStable(t *testing.T) {
	w := newCloudSimulation()
	d := Demand{RequestsPerSecond: 30, MaxVMs: 64}
	w.run(300, d, fourZones)
	if w.starts != 4 || w.stops != 0 || !w.serving().Meets(d, fourZones) {
		t.Fatalf("%d starts, %d stops, serving VMs %v", w.starts, w.stops, w.serving())
	}
}

func TestRejectedStartFallsBackToTheNextCheapest(t *testing.T) {
	w := newCloudSimulation()
	attempts := 0
	w.rejects = func(s Slot) bool {
		rejected := s == slot("a", true)
		if rejected {
			attempts++
		}
		return rejected
	}
	d := Demand{RequestsPerSecond: 30, MaxVMs: 64}
	w.run(120, d, fourZones)
	if !w.serving().Meets(d, fourZones) {
		t.Fatalf("%v does not meet the demand", w.serving())
	}
	if attempts > 12 {
		t.Fatalf("%d attempts to start in a rejected slot in 10 minutes", attempts)
	}
}

func TestFluctuatingPriceChangesNothing(t *testing.T) {
	w := newCloudSimulation()
	d := Demand{RequestsPerSecond: 30, MaxVMs: 64}
	w.run(20, d, fourZones)
	starts := w.starts
	expensive := append([]Offer(nil), fourZones...)
	expensive[0].PricePerHour = 900
	for range 50 {
		w.run(6, d, expensive)
		w.run(6, d, fourZones)
	}
	if w.starts != starts || w.stops != 0 {
		t.Fatalf("%d starts, %d stops", w.starts-starts, w.stops)
	}
}

func TestLastingPriceChangeMovesTheFleetWithoutAGap(t *testing.T) {
	w := newCloudSimulation()
	d := Demand{RequestsPerSecond: 30, MaxVMs: 64}
	w.run(20, d, fourZones)
	expensive := append([]Offer(nil), fourZones...)
	expensive[0].PricePerHour = 2000
	before := w.serving().Cost(expensive)
	for range 400 {
		w.step(d, expensive)
		if !w.serving().Meets(d, expensive) {
			t.Fatalf("%v does not meet the demand", w.serving())
		}
	}
	if after := w.serving().Cost(expensive); after >= before {
		t.Fatalf("the fleet costs %d, before the price change %d", after, before)
	}
	starts, stops := w.starts, w.stops
	w.run(400, d, expensive)
	if w.starts != starts || w.stops != stops {
		t.Fatalf("the fleet still changes: %d starts, %d stops", w.starts-starts, w.stops-stops)
	}
}

func TestLostZoneIsReplacedInOtherZones(t *testing.T) {
	w := newCloudSimulation()
	d := Demand{RequestsPerSecond: 30, MaxVMs: 64}
	w.run(20, d, fourZones)
	lost := func(s Slot) bool { return s.AvailabilityZone == "b" }
	w.rejects = lost
	for i := range w.vms {
		w.vms[i].Leaving = lost(w.vms[i].Slot)
	}
	w.run(60, d, fourZones)
	if !w.serving().Meets(d, fourZones) {
		t.Fatalf("%v does not meet the demand", w.serving())
	}
}

func TestHangingStartCountsAsRejected(t *testing.T) {
	p := NewPlanner(DefaultConfig)
	d := Demand{RequestsPerSecond: 10, MaxVMs: 64}
	hanging := []VM{{ID: "1", Slot: slot("a", true), Starting: true, Since: testStart}, {ID: "2", Slot: slot("b", true), Since: testStart}}
	if plan := p.Step(d, fourZones, hanging, testStart.Add(time.Second)); len(plan.Start) != 0 {
		t.Fatalf("starts %v while a VM is starting", plan.Start)
	}
	plan := p.Step(d, fourZones, hanging, testStart.Add(DefaultConfig.StartTimeout))
	if len(plan.Start) != 1 || plan.Start[0] == slot("a", true) {
		t.Fatalf("starts %v, want one VM in another slot", plan.Start)
	}
}
