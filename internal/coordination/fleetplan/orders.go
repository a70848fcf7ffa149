package fleetplan

import "time"

// Outcome classifies the platform's answer to an order.
type Outcome int

// Outcomes of orders.
const (
	// Accepted means that the platform has accepted the order.
	Accepted Outcome = iota
	// Unanswered means that the call had no answer. The platform may carry out
	// the order, possibly later.
	Unanswered
	// NoCapacity means that the platform has no capacity for the slot now.
	NoCapacity
	// Rejected means that the platform rejected the call and will not carry out
	// the order.
	Rejected
)

// Orders records the last order for each slot, so that an order is sent once and
// repeated only if it has no visible effect: orders may be lost, delayed or
// carried out in a different order. It is not safe for concurrent use.
type Orders struct {
	// An order that has had no effect is repeated after repeatPause if it was
	// accepted, and after unansweredPause if the call had no answer.
	repeatPause, unansweredPause time.Duration
	lastOrders                   map[Slot]sentOrder
	// pending holds the slots with accepted orders whose VMs have not appeared.
	pending map[Slot]pendingOrder
}

// pendingOrder describes the wait for the VMs of accepted orders.
type pendingOrder struct {
	// observed is the largest number of VMs observed since the order, and since the time
	// of the order or of the last VM that appeared.
	observed int
	since    time.Time
}

// sentOrder is an order that was sent.
type sentOrder struct {
	count int
	// repeatAt is the time at which the order is repeated if it has had no effect.
	repeatAt time.Time
}

// NewOrders returns a record without orders. The arguments are the times after
// which an order without effect is repeated: one that was accepted, and one that
// was not answered.
func NewOrders(repeatPause, unansweredPause time.Duration) *Orders {
	return &Orders{repeatPause: repeatPause, unansweredPause: unansweredPause, lastOrders: map[Slot]sentOrder{}, pending: map[Slot]pendingOrder{}}
}

// Due reports whether an order for the desired number of VMs has to be sent, given
// the observed number.
func (o *Orders) Due(slot Slot, desired, observed int, now time.Time) bool {
	last, ordered := o.lastOrders[slot]
	if !ordered {
		return observed != desired
	}
	return last.count != desired || observed != desired && !now.Before(last.repeatAt)
}

// RecordSent records an order and its outcome. A rejected order is not recorded, so
// it stays due.
func (o *Orders) RecordSent(slot Slot, desired, observed int, outcome Outcome, now time.Time) {
	switch outcome {
	case Accepted:
		o.lastOrders[slot] = sentOrder{desired, now.Add(o.repeatPause)}
		if _, ok := o.pending[slot]; desired <= observed {
			delete(o.pending, slot)
		} else if !ok {
			o.pending[slot] = pendingOrder{observed, now}
		}
	case Unanswered:
		o.lastOrders[slot] = sentOrder{desired, now.Add(o.unansweredPause)}
	case NoCapacity:
		o.lastOrders[slot] = sentOrder{observed, now.Add(o.repeatPause)}
	}
}

// Observe records the observed numbers of VMs. It returns the slots in which an accepted
// order has started no VM for startTimeout. Each is returned once, and its order counts
// as one that the platform has no capacity for.
func (o *Orders) Observe(observed Counts, startTimeout time.Duration, now time.Time) (ineffective []Slot) {
	for slot, p := range o.pending {
		n := observed[slot]
		switch {
		case n >= o.lastOrders[slot].count:
			delete(o.pending, slot)
		case n > p.observed:
			o.pending[slot] = pendingOrder{n, now}
		case now.Sub(p.since) >= startTimeout:
			delete(o.pending, slot)
			o.lastOrders[slot] = sentOrder{n, now.Add(o.repeatPause)}
			ineffective = append(ineffective, slot)
		}
	}
	return ineffective
}

// RestartWaits makes the waits for the VMs of accepted orders start anew: they may have
// been held up by something other than the platform's capacity.
func (o *Orders) RestartWaits(now time.Time) {
	for slot, p := range o.pending {
		o.pending[slot] = pendingOrder{p.observed, now}
	}
}

// Forget forgets all orders sent, so that every difference from the desired numbers is
// due at once.
func (o *Orders) Forget() {
	clear(o.lastOrders)
	clear(o.pending)
}

// Reservation holds, by availability zone, the VMs of another software version that a
// version move runs beside those of the plan. The platform counts them towards the zones'
// limits: it lowers an order to what they leave free, and stops running VMs beyond that.
type Reservation map[string]int

// Limit returns the number to order instead of desired so that the order stops no VM, and
// false if no order for the slot can be sent. serving counts the VMs of the plan.
func (r Reservation) Limit(slot Slot, desired int, serving Counts, maxPerZone int) (int, bool) {
	reserved, ok := r[slot.AvailabilityZone]
	if !ok {
		return desired, true
	}
	// The VMs of the move are on-demand ones. An order for this kind might count them, or
	// stop them.
	if !slot.Reclaimable {
		return 0, false
	}
	if maxPerZone > 0 {
		otherKind := serving[Slot{AvailabilityZone: slot.AvailabilityZone, Class: slot.Class}]
		desired = min(desired, maxPerZone-reserved-otherKind)
	}
	return desired, desired > serving[slot]
}
