package fleetplan

import (
	"slices"
	"time"
)

// Bounds limit the number of VMs in each availability zone.
type Bounds struct {
	MinPerZone, MaxPerZone int
}

// Counter turns a demand into the number of VMs to have in each slot, for a
// platform that is told numbers and starts and stops the VMs itself. It is not
// safe for use from many goroutines.
type Counter struct {
	// probeAfter is how long a refused slot is left alone.
	probeAfter time.Duration
	// refused holds the slots of which none were to be had, with the time at
	// which to ask again. A slot stays here until an order for it is accepted.
	refused map[Slot]time.Time
}

// NewCounter returns a counter that remembers no refusals.
func NewCounter(probeAfter time.Duration) *Counter {
	return &Counter{probeAfter: probeAfter, refused: map[Slot]time.Time{}}
}

// Refused notes that no VM of a slot was to be had.
func (c *Counter) Refused(slot Slot, now time.Time) { c.refused[slot] = now.Add(c.probeAfter) }

// Accepted notes that an order for a slot was taken.
func (c *Counter) Accepted(slot Slot) { delete(c.refused, slot) }

// Step returns the number of VMs to have in each slot. serving are those that
// serve and stay. What the cheapest mix does without is kept until enough of it
// serves: new VMs come before old ones go. Refused slots are asked for again
// from time to time, while the mix does without them.
func (c *Counter) Step(d Demand, b Bounds, offers []Offer, serving Counts, now time.Time) Counts {
	d.MaxPerZone = float64(b.MaxPerZone)
	target := c.mix(d, b, offers, serving)
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
	boundZones(target, b.MaxPerZone, serving, offers)
	c.probe(target, d, b, offers, now)
	return target
}

// mix is the cheapest mix without the slots that were refused, but for the VMs
// that they have.
func (c *Counter) mix(d Demand, b Bounds, offers []Offer, serving Counts) Counts {
	offers = slices.Clone(offers)
	held := Counts{}
	for i := range offers {
		slot := offers[i].Slot
		if _, refused := c.refused[slot]; !refused {
			continue
		}
		offers[i].Blocked = true
		if serving[slot] > 0 {
			held[slot] = serving[slot]
		}
	}
	target, _ := Cheapest(d, offers, held)
	if target == nil {
		target = held
	}
	fillZones(target, b.MinPerZone, offers)
	return c.widen(target, d, offers)
}

// widen adds reclaimable VMs up to what is wanted.
func (c *Counter) widen(target Counts, d Demand, offers []Offer) Counts {
	if d.Wanted <= d.RequestsPerSecond {
		return target
	}
	d.RequestsPerSecond = d.Wanted
	for i := range offers {
		offers[i].Blocked = offers[i].Blocked || !offers[i].Reclaimable
	}
	if wide, _ := Cheapest(d, offers, target); wide != nil {
		return wide
	}
	return target
}

// probe asks for refused slots whose time has come.
func (c *Counter) probe(target Counts, d Demand, b Bounds, offers []Offer, now time.Time) {
	var ideal Counts
	zone := target.byZone()
	for _, o := range offers {
		at, refused := c.refused[o.Slot]
		if !refused || now.Before(at) {
			continue
		}
		if ideal == nil {
			d.RequestsPerSecond = max(d.RequestsPerSecond, d.Wanted)
			ideal, _ = Cheapest(d, offers, nil)
		}
		room := b.MaxPerZone - zone[o.AvailabilityZone]
		if more := min(ideal[o.Slot]-target[o.Slot], room); more > 0 {
			target[o.Slot] += more
			zone[o.AvailabilityZone] += more
		}
	}
}

// fillZones gives each zone its least number of VMs.
func fillZones(counts Counts, least int, offers []Offer) {
	zone := counts.byZone()
	for range least {
		for _, o := range cheapestOfZones(offers) {
			if zone[o.AvailabilityZone] < least {
				counts[o.Slot]++
				zone[o.AvailabilityZone]++
			}
		}
	}
}

// cheapestOfZones returns the cheapest offer of each zone, blocked ones last.
func cheapestOfZones(offers []Offer) []Offer {
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

// boundZones takes what has not come yet off zones that hold too many.
func boundZones(counts Counts, most int, serving Counts, offers []Offer) {
	if most <= 0 {
		return
	}
	zone := counts.byZone()
	for _, o := range offers {
		for zone[o.AvailabilityZone] > most && counts[o.Slot] > serving[o.Slot] {
			counts[o.Slot]--
			zone[o.AvailabilityZone]--
		}
	}
}

func (c Counts) byZone() map[string]int {
	zone := map[string]int{}
	for slot, n := range c {
		zone[slot.AvailabilityZone] += n
	}
	return zone
}
