package fleetplan

import "time"

// Outcome is what became of an order.
type Outcome int

// Outcomes of orders.
const (
	// Taken: the platform has the order.
	Taken Outcome = iota
	// Unanswered: the platform may have it, also later.
	Unanswered
	// NoneThere: none are to be had now.
	NoneThere
	// NotTaken: the platform refused the call, and the order is not done.
	NotTaken
)

// Orders remembers what was ordered last of each slot, so that an order is sent
// once and repeated only where its effect does not show: orders may be lost, or
// be carried out late and out of turn. It is not safe for use from many
// goroutines.
type Orders struct {
	// again is when an order is repeated that was taken and has no effect,
	// unanswered when one is that had no answer.
	again, unanswered time.Duration
	last              map[Slot]placed
}

type placed struct {
	count int
	// until is when the order is repeated if it has no effect.
	until time.Time
}

// NewOrders returns orders of which none was sent.
func NewOrders(again, unanswered time.Duration) *Orders {
	return &Orders{again: again, unanswered: unanswered, last: map[Slot]placed{}}
}

// Due tells whether a number of servers has to be ordered.
func (o *Orders) Due(slot Slot, want, have int, now time.Time) bool {
	last, ordered := o.last[slot]
	if !ordered {
		return have != want
	}
	return last.count != want || have != want && !now.Before(last.until)
}

// Sent notes an order with what became of it.
func (o *Orders) Sent(slot Slot, want, have int, outcome Outcome, now time.Time) {
	switch outcome {
	case Taken:
		o.last[slot] = placed{want, now.Add(o.again)}
	case Unanswered:
		o.last[slot] = placed{want, now.Add(o.unanswered)}
	case NoneThere:
		o.last[slot] = placed{have, now.Add(o.again)}
	}
}
