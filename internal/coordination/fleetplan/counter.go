package fleetplan

import (
	"maps"
	"slices"
	"time"
)

// ZoneLimits holds the limits on the number of VMs in each availability zone.
type ZoneLimits struct {
	MinPerZone, MaxPerZone int
}

// CountPlanner computes the desired number of VMs in each slot from a demand, for a
// platform that is given these numbers and starts and stops the VMs itself. It is
// not safe for concurrent use.
type CountPlanner struct {
	// probePause is the time after which VMs in a slot without capacity are
	// ordered again.
	probePause time.Duration
	// probeAt holds the slots for which the platform had no capacity, with the
	// time at which to order VMs there again. A slot is removed when an order for it
	// is accepted.
	probeAt map[Slot]time.Time
	// ineffective counts the consecutive accepted orders for a slot that started no VM.
	ineffective map[Slot]int
	// lastServing holds the VMs that served in the last step.
	lastServing Counts
}

// NewCountPlanner returns a planner that assumes at first that the platform has
// capacity in all slots.
func NewCountPlanner(probePause time.Duration) *CountPlanner {
	return &CountPlanner{probePause: probePause, probeAt: map[Slot]time.Time{}, ineffective: map[Slot]int{}}
}

// RecordNoCapacity records that the platform has no capacity for a slot.
func (c *CountPlanner) RecordNoCapacity(slot Slot, now time.Time) {
	c.probeAt[slot] = now.Add(c.probePause)
}

// RecordAccepted records that an order for a slot was accepted.
func (c *CountPlanner) RecordAccepted(slot Slot) { delete(c.probeAt, slot) }

// maxIneffectivePause bounds the pause after orders that started no VM.
const maxIneffectivePause = time.Minute

// RecordIneffective records that an accepted order for a slot has started no VM for
// startTimeout. The slot counts as one without capacity; the pause until it is ordered
// again doubles with each such order.
func (c *CountPlanner) RecordIneffective(slot Slot, startTimeout time.Duration, now time.Time) {
	pause := min(max(startTimeout, c.probePause)<<min(c.ineffective[slot], 10), maxIneffectivePause)
	c.ineffective[slot]++
	c.probeAt[slot] = now.Add(pause)
}

// Step returns the desired number of VMs in each slot. serving counts the VMs that
// serve and are not about to leave. VMs that are not in the cheapest mix are kept
// until enough VMs of the mix serve: new VMs start before old ones stop. VMs in
// slots without capacity are ordered again after the probe pause; until then the
// mix is computed without them.
func (c *CountPlanner) Step(d Demand, b ZoneLimits, offers []Offer, serving Counts, now time.Time) Counts {
	for slot, n := range serving {
		if n > c.lastServing[slot] {
			delete(c.ineffective, slot)
		}
	}
	c.lastServing = maps.Clone(serving)
	d.MaxZoneCapacity = float64(b.MaxPerZone)
	target := c.cheapestMix(d, b, offers, serving)
	ready := 0
	for slot, n := range target {
		ready += min(n, serving[slot])
	}
	settled := float64(ready) >= min(float64(target.Total()), d.RequestsPerSecond)
	for slot, n := range serving {
		if n > target[slot] && (!settled || d.KeepReclaimable && slot.Reclaimable) {
			target[slot] = n
		} else if _, ok := target[slot]; !ok {
			target[slot] = 0
		}
	}
	limitZones(target, b.MaxPerZone, serving, offers)
	c.probe(target, d, b, offers, now)
	return target
}

// cheapestMix returns the cheapest mix that starts no VMs in slots without
// capacity but keeps the VMs there.
func (c *CountPlanner) cheapestMix(d Demand, b ZoneLimits, offers []Offer, serving Counts) Counts {
	offers = slices.Clone(offers)
	kept := Counts{}
	for i := range offers {
		slot := offers[i].Slot
		if _, unavailable := c.probeAt[slot]; !unavailable {
			continue
		}
		offers[i].Blocked = true
		if serving[slot] > 0 {
			kept[slot] = serving[slot]
		}
	}
	target, _ := Cheapest(d, offers, kept)
	if target == nil {
		target = kept
	}
	fillZones(target, b.MinPerZone, offers)
	return c.addReclaimable(target, d, offers)
}

// addReclaimable adds reclaimable VMs to serve the larger of the demand's two
// rates.
func (c *CountPlanner) addReclaimable(target Counts, d Demand, offers []Offer) Counts {
	if d.PreferredPerSecond <= d.RequestsPerSecond {
		return target
	}
	d.RequestsPerSecond = d.PreferredPerSecond
	for i := range offers {
		offers[i].Blocked = offers[i].Blocked || !offers[i].Reclaimable
	}
	if larger, _ := Cheapest(d, offers, target); larger != nil {
		return larger
	}
	return target
}

// probe adds VMs in slots without capacity that are due to be ordered again.
func (c *CountPlanner) probe(target Counts, d Demand, b ZoneLimits, offers []Offer, now time.Time) {
	var ideal Counts
	perZone := target.ByZone()
	for _, o := range offers {
		at, unavailable := c.probeAt[o.Slot]
		if !unavailable || now.Before(at) {
			continue
		}
		if ideal == nil {
			d.RequestsPerSecond = max(d.RequestsPerSecond, d.PreferredPerSecond)
			ideal, _ = Cheapest(d, offers, nil)
		}
		headroom := b.MaxPerZone - perZone[o.AvailabilityZone]
		if additional := min(ideal[o.Slot]-target[o.Slot], headroom); additional > 0 {
			target[o.Slot] += additional
			perZone[o.AvailabilityZone] += additional
		}
	}
}

// fillZones adds the cheapest VMs to each zone up to the minimum per zone.
func fillZones(counts Counts, minimum int, offers []Offer) {
	perZone := counts.ByZone()
	for range minimum {
		for _, o := range cheapestPerZone(offers) {
			if perZone[o.AvailabilityZone] < minimum {
				counts[o.Slot]++
				perZone[o.AvailabilityZone]++
			}
		}
	}
}

// cheapestPerZone returns the cheapest offer of each zone, blocked ones last.
func cheapestPerZone(offers []Offer) []Offer {
	best := map[string]Offer{}
	for _, o := range offers {
		b, ok := best[o.AvailabilityZone]
		if !ok || b.Blocked && !o.Blocked || b.Blocked == o.Blocked && o.unitPrice() < b.unitPrice() {
			best[o.AvailabilityZone] = o
		}
	}
	out := make([]Offer, 0, len(best))
	for _, o := range best {
		out = append(out, o)
	}
	return out
}

// limitZones removes VMs that do not serve yet from zones with more than the
// maximum. A maximum of 0 means no limit.
func limitZones(counts Counts, maximum int, serving Counts, offers []Offer) {
	if maximum <= 0 {
		return
	}
	perZone := counts.ByZone()
	for _, o := range offers {
		for perZone[o.AvailabilityZone] > maximum && counts[o.Slot] > serving[o.Slot] {
			counts[o.Slot]--
			perZone[o.AvailabilityZone]--
		}
	}
}

// Outside returns the counts of the slots outside the given zones.
func (c Counts) Outside(zones []string) Counts {
	out := Counts{}
	for slot, n := range c {
		if !slices.Contains(zones, slot.AvailabilityZone) {
			out[slot] = n
		}
	}
	return out
}

// KeepAll raises the counts to those of VMs that exist, so that none is stopped.
func (c Counts) KeepAll(existing Counts) {
	for slot, n := range existing {
		c[slot] = max(c[slot], n)
	}
}

// ByZone returns the number of VMs in each availability zone.
func (c Counts) ByZone() map[string]int {
	perZone := map[string]int{}
	for slot, n := range c {
		perZone[slot.AvailabilityZone] += n
	}
	return perZone
}
