package fleetplan

import (
	"testing"
	"time"
)

// TestOrderIsRepeatedOnlyWithoutEffect simulates orders without effect during an
// outage of the platform: each is sent once, repeated after the pause, and not
// repeated after its effect is visible.
func TestOrderIsRepeatedOnlyWithoutEffect(t *testing.T) {
	const repeatPause, unansweredPause = 3 * time.Second, time.Second
	slot := Slot{AvailabilityZone: "a", Reclaimable: true}
	for _, c := range []struct {
		name    string
		outcome Outcome
		// sentOrders is the number of orders sent in ten seconds without effect.
		sentOrders int
	}{
		{"accepted", Accepted, 4},
		{"unanswered", Unanswered, 9},
		{"rejected", Rejected, 25},
	} {
		o := NewOrders(repeatPause, unansweredPause)
		sentOrders := 0
		now := time.Time{}
		for range 25 {
			if o.Due(slot, 4, 2, now) {
				sentOrders++
				o.RecordSent(slot, 4, 2, c.outcome, now)
			}
			now = now.Add(400 * time.Millisecond)
		}
		if sentOrders != c.sentOrders {
			t.Errorf("%s: %d orders in 10 s, want %d", c.name, sentOrders, c.sentOrders)
		}
		if c.outcome != Rejected && o.Due(slot, 4, 4, now.Add(repeatPause)) {
			t.Errorf("%s: an order with a visible effect is repeated", c.name)
		}
	}
}

func TestSlotWithoutCapacityIsNotOrderedAgain(t *testing.T) {
	slot := Slot{AvailabilityZone: "a", Reclaimable: true}
	o := NewOrders(time.Second, time.Second)
	o.RecordSent(slot, 4, 1, NoCapacity, time.Time{})
	if o.Due(slot, 1, 1, time.Time{}.Add(time.Hour)) {
		t.Error("the observed number was ordered again")
	}
	if !o.Due(slot, 2, 1, time.Time{}) {
		t.Error("a changed number was not ordered")
	}
}
