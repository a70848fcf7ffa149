// Package fleetplan decides which engine VMs to start and stop: the cheapest
// mix of availability zones, classes, reclaimable and on-demand VMs that keeps
// the latency target with any one zone gone.
package fleetplan

import (
	"cmp"
	"math"
	"slices"
)

// Slot is what a VM can be started as.
type Slot struct {
	AvailabilityZone string
	Class            string
	Reclaimable      bool
}

// Offer is a slot at its price.
type Offer struct {
	Slot
	MicrosPerHour int64
	// Capacity is what one VM serves within the latency target, in requests per
	// second.
	Capacity float64
	// Blocked offers may keep the VMs they have; none is started.
	Blocked bool
}

func (o Offer) unitPrice() float64 {
	return float64(o.MicrosPerHour) / o.Capacity
}

// Demand is what the fleet has to serve.
type Demand struct {
	// RequestsPerSecond is served with any one availability zone gone.
	RequestsPerSecond float64
	// Wanted is what is served so as far as reclaimable VMs are to be had: they
	// are cheap enough to keep some more, and to be without for a while.
	Wanted float64
	// OnDemand is the part that on-demand VMs alone serve, against a wave that
	// takes reclaimable VMs of several zones.
	OnDemand float64
	MaxVMs   int
	// MaxPerZone bounds the capacity in a zone, 0 for no bound.
	MaxPerZone float64
	// KeepReclaimable is true where the demand is not known well enough to give
	// reclaimable VMs up.
	KeepReclaimable bool
	// ReclaimsOnly is true where a zone that goes loses its reclaimable VMs alone.
	ReclaimsOnly bool
}

// Counts is a number of VMs for each slot.
type Counts map[Slot]int

// Total returns the number of VMs.
func (c Counts) Total() int {
	sum := 0
	for _, n := range c {
		sum += n
	}
	return sum
}

// Cost returns what the VMs cost in an hour, in micro-units.
func (c Counts) Cost(offers []Offer) int64 {
	var sum int64
	for _, o := range offers {
		sum += int64(c[o.Slot]) * o.MicrosPerHour
	}
	return sum
}

// capacity is what VMs serve, whole and by zone; atRisk is the part of a zone
// that goes together, and largest the most of any zone.
type capacity struct {
	total, onDemand, largest float64
	zone, atRisk             map[string]float64
}

func (c Counts) capacity(d Demand, offers []Offer) capacity {
	out := capacity{zone: map[string]float64{}, atRisk: map[string]float64{}}
	for _, o := range offers {
		x := float64(c[o.Slot]) * o.Capacity
		out.total += x
		out.zone[o.AvailabilityZone] += x
		if !o.Reclaimable {
			out.onDemand += x
		}
		if d.goes(o) {
			out.atRisk[o.AvailabilityZone] += x
		}
	}
	for _, x := range out.atRisk {
		out.largest = max(out.largest, x)
	}
	return out
}

// goes tells whether VMs of an offer go with their zone.
func (d Demand) goes(o Offer) bool { return o.Reclaimable || !d.ReclaimsOnly }

// tolerance takes up rounding.
const tolerance = 1e-9

// Meets tells whether the VMs serve the demand with any one zone gone.
func (c Counts) Meets(d Demand, offers []Offer) bool {
	have := c.capacity(d, offers)
	return have.total-have.largest >= d.RequestsPerSecond-tolerance && have.onDemand >= d.OnDemand-tolerance
}

// Cheapest returns the cheapest counts it finds that meet the demand and hold
// at least those of have. It returns false, and the counts that come nearest,
// where the demand can't be met.
func Cheapest(d Demand, offers []Offer, have Counts) (Counts, bool) {
	offers = slices.Clone(offers)
	slices.SortStableFunc(offers, func(a, b Offer) int { return cmp.Compare(a.unitPrice(), b.unitPrice()) })
	var best, nearest Counts
	for _, bound := range zoneBounds(d, offers, have) {
		counts := fill(d, offers, have, bound)
		if !counts.Meets(d, offers) {
			if nearest == nil || served(d, counts, offers) > served(d, nearest, offers) {
				nearest = counts
			}
			continue
		}
		if best == nil || counts.Cost(offers) < best.Cost(offers) {
			best = counts
		}
	}
	if best == nil {
		return nearest, false
	}
	return best, true
}

func served(d Demand, c Counts, offers []Offer) float64 {
	x := c.capacity(d, offers)
	return x.total - x.largest
}

// zoneBounds are the capacities of a zone at risk that are worth trying: whole
// VMs of each class, up to the demand. A small bound spreads over many zones, a large
// one puts more into the cheapest.
func zoneBounds(d Demand, offers []Offer, have Counts) []float64 {
	bounds := []float64{have.capacity(d, offers).largest}
	for _, o := range offers {
		for n := 1; n <= int(math.Ceil(d.RequestsPerSecond/o.Capacity)); n++ {
			bounds = append(bounds, float64(n)*o.Capacity)
		}
	}
	if d.MaxPerZone > 0 {
		for i := range bounds {
			bounds[i] = min(bounds[i], d.MaxPerZone)
		}
	}
	slices.Sort(bounds)
	return slices.Compact(bounds)
}

// fill adds the cheapest VMs, at most bound at risk in a zone, until the demand
// is met.
func fill(d Demand, offers []Offer, have Counts, bound float64) Counts {
	counts := Counts{}
	for slot, n := range have {
		counts[slot] = n
	}
	add := func(usable func(Offer) bool, lacking func(capacity) bool) {
		for _, o := range offers {
			for !o.Blocked && usable(o) && counts.Total() < d.MaxVMs {
				now := counts.capacity(d, offers)
				if !lacking(now) || d.goes(o) && now.atRisk[o.AvailabilityZone]+o.Capacity > bound+tolerance ||
					d.MaxPerZone > 0 && now.zone[o.AvailabilityZone]+o.Capacity > d.MaxPerZone+tolerance {
					break
				}
				counts[o.Slot]++
			}
		}
	}
	add(func(o Offer) bool { return !o.Reclaimable }, func(c capacity) bool { return c.onDemand < d.OnDemand-tolerance })
	add(func(Offer) bool { return true }, func(c capacity) bool { return c.total-c.largest < d.RequestsPerSecond-tolerance })
	return counts
}
