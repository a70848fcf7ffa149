// Package fleetplan decides which engine VMs to start and stop: the cheapest
// mix of availability zones, classes, reclaimable and on-demand VMs that meets
// the latency target after the loss of any one zone.
package fleetplan

import (
	"cmp"
	"math"
	"slices"
)

// Slot is a combination of properties with which a VM can be started.
type Slot struct {
	AvailabilityZone string
	Class            string
	Reclaimable      bool
}

// Offer is a slot with its price and capacity.
type Offer struct {
	Slot
	// PricePerHour is the price in millionths of the currency unit per hour.
	PricePerHour int64
	// Capacity is the rate, in requests per second, that one VM serves within the
	// latency target.
	Capacity float64
	// Blocked is true if no further VM of the offer may be started; existing ones
	// are kept.
	Blocked bool
}

// unitPrice returns the price per hour for a capacity of one request per second.
func (o Offer) unitPrice() float64 {
	return float64(o.PricePerHour) / o.Capacity
}

// Demand is the demand that the fleet has to serve.
type Demand struct {
	// RequestsPerSecond has to be served after the loss of any one availability
	// zone.
	RequestsPerSecond float64
	// PreferredPerSecond is the larger rate to serve after such a loss while
	// reclaimable VMs are available. Because reclaimable VMs are cheap, the fleet
	// runs more of them than RequestsPerSecond requires. It can do without the
	// additional ones for a while.
	PreferredPerSecond float64
	// OnDemandPerSecond is the rate that on-demand VMs have to serve without any
	// others, in case reclaimable VMs of several zones are reclaimed at once.
	OnDemandPerSecond float64
	MaxVMs            int
	// MaxZoneCapacity bounds the capacity in a zone, 0 for no limit.
	MaxZoneCapacity float64
	// KeepReclaimable is set if the demand has not been measured for long enough
	// to stop reclaimable VMs.
	KeepReclaimable bool
	// OnlyReclaimableAtRisk is set if a lost zone loses only its reclaimable VMs; its
	// on-demand VMs then count as surviving.
	OnlyReclaimableAtRisk bool
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

// Cost returns the cost of the VMs per hour, in millionths of the currency unit.
func (c Counts) Cost(offers []Offer) int64 {
	var sum int64
	for _, o := range offers {
		sum += int64(c[o.Slot]) * o.PricePerHour
	}
	return sum
}

// capacity holds the capacity of a set of VMs in requests per second: in total, of
// the on-demand VMs, and by zone. atRiskByZone holds the part of each zone that may
// be lost at once, and largestAtRisk is the maximum over the zones.
type capacity struct {
	total, onDemand, largestAtRisk float64
	byZone, atRiskByZone           map[string]float64
}

func (c Counts) capacity(d Demand, offers []Offer) capacity {
	out := capacity{byZone: map[string]float64{}, atRiskByZone: map[string]float64{}}
	for _, o := range offers {
		x := float64(c[o.Slot]) * o.Capacity
		out.total += x
		out.byZone[o.AvailabilityZone] += x
		if !o.Reclaimable {
			out.onDemand += x
		}
		if d.lostWithZone(o) {
			out.atRiskByZone[o.AvailabilityZone] += x
		}
	}
	for _, x := range out.atRiskByZone {
		out.largestAtRisk = max(out.largestAtRisk, x)
	}
	return out
}

// lostWithZone reports whether VMs of an offer are lost with their zone.
func (d Demand) lostWithZone(o Offer) bool { return o.Reclaimable || !d.OnlyReclaimableAtRisk }

// tolerance allows for rounding errors.
const tolerance = 1e-9

// Meets reports whether the VMs serve the demand after the loss of any one zone.
func (c Counts) Meets(d Demand, offers []Offer) bool {
	have := c.capacity(d, offers)
	return have.total-have.largestAtRisk >= d.RequestsPerSecond-tolerance && have.onDemand >= d.OnDemandPerSecond-tolerance
}

// Cheapest returns the cheapest counts found that include those of have and meet
// the demand. If the demand can't be met, it returns false and the counts that
// serve the most after the loss of a zone.
func Cheapest(d Demand, offers []Offer, have Counts) (Counts, bool) {
	offers = slices.Clone(offers)
	slices.SortStableFunc(offers, func(a, b Offer) int { return cmp.Compare(a.unitPrice(), b.unitPrice()) })
	var best, nearest Counts
	for _, maxCapacityAtRisk := range atRiskLimits(d, offers, have) {
		counts := fill(d, offers, have, maxCapacityAtRisk)
		if !counts.Meets(d, offers) {
			if nearest == nil || remainingCapacity(d, counts, offers) > remainingCapacity(d, nearest, offers) {
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

// remainingCapacity returns the capacity that remains after the loss of the zone
// with the largest part at risk.
func remainingCapacity(d Demand, c Counts, offers []Offer) float64 {
	x := c.capacity(d, offers)
	return x.total - x.largestAtRisk
}

// atRiskLimits returns the limits to try for the capacity at risk in a zone:
// multiples of the capacity of one VM of each offer, up to the demand. A small
// limit spreads VMs over many zones, a large one puts more VMs into the cheapest
// zone.
func atRiskLimits(d Demand, offers []Offer, have Counts) []float64 {
	limits := []float64{have.capacity(d, offers).largestAtRisk}
	for _, o := range offers {
		for n := 1; n <= int(math.Ceil(d.RequestsPerSecond/o.Capacity)); n++ {
			limits = append(limits, float64(n)*o.Capacity)
		}
	}
	if d.MaxZoneCapacity > 0 {
		for i := range limits {
			limits[i] = min(limits[i], d.MaxZoneCapacity)
		}
	}
	slices.Sort(limits)
	return slices.Compact(limits)
}

// fill adds the cheapest VMs until the demand is met, while the capacity at risk in
// each zone stays within maxCapacityAtRisk.
func fill(d Demand, offers []Offer, have Counts, maxCapacityAtRisk float64) Counts {
	counts := Counts{}
	for slot, n := range have {
		counts[slot] = n
	}
	add := func(usable func(Offer) bool, lacking func(capacity) bool) {
		for _, o := range offers {
			for !o.Blocked && usable(o) && counts.Total() < d.MaxVMs {
				current := counts.capacity(d, offers)
				if !lacking(current) || d.lostWithZone(o) && current.atRiskByZone[o.AvailabilityZone]+o.Capacity > maxCapacityAtRisk+tolerance ||
					d.MaxZoneCapacity > 0 && current.byZone[o.AvailabilityZone]+o.Capacity > d.MaxZoneCapacity+tolerance {
					break
				}
				counts[o.Slot]++
			}
		}
	}
	add(func(o Offer) bool { return !o.Reclaimable }, func(c capacity) bool { return c.onDemand < d.OnDemandPerSecond-tolerance })
	add(func(Offer) bool { return true }, func(c capacity) bool { return c.total-c.largestAtRisk < d.RequestsPerSecond-tolerance })
	return counts
}
