package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/fleetplan"
	"coltsfootpath.example/coltsfootpath/internal/state/site"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// orderInterval is how often the number of servers is looked at.
	orderInterval = 400 * time.Millisecond
	// orderAgain is when an order is repeated whose effect does not show; the
	// servers of one that was taken come within a boot, which takes seconds.
	orderAgain = 3 * time.Second
	// unansweredAgain is the same for an order without an answer, which may never
	// be carried out.
	unansweredAgain = time.Second
	// orderTimeout bounds one order: the platform answers within milliseconds or
	// not at all.
	orderTimeout = 500 * time.Millisecond
	// entriesOld is the age from which the servers' entries are not relied on: a
	// read that brings nothing takes so long.
	entriesOld = readWait + readGrace
	// refusedPause is how long a kind of server that was not to be had is not
	// asked for again.
	refusedPause = 2 * time.Second
	// priceUnit turns relative prices into the plan's whole numbers.
	priceUnit = 1000
)

// demandConfig leaves engines room for prompts that meet on them.
var demandConfig = fleetplan.DemandConfig{
	Needed: fleetplan.Level{Utilization: 1.3, FloorShare: 0.45, StartShare: 0.45},
	Wanted: fleetplan.Level{Utilization: 0.87, FloorShare: 0.7, StartShare: 0.7},
	Window: 3 * time.Second,
	Hold:   10 * time.Second,
}

// orderer orders backend servers while this VM holds the duties.
type orderer struct {
	node     *Node
	services map[string]*serviceOrders
	lookedAt time.Time
	fence    uint64
}

// serviceOrders is what has been ordered of one service.
type serviceOrders struct {
	counter *fleetplan.Counter
	orders  *fleetplan.Orders
	meter   *fleetplan.Meter
}

func newOrderer(n *Node) *orderer {
	return &orderer{node: n, services: map[string]*serviceOrders{}}
}

// sizes returns the number of servers of each scaled service as first found,
// where it has grown: servers register one by one, and none that was ordered
// counts.
func (o *orderer) sizes(known map[string]int) map[string]int {
	doc := o.node.document.Load()
	if doc == nil {
		return nil
	}
	out := maps.Clone(known)
	if out == nil {
		out = map[string]int{}
	}
	grown := false
	for name, s := range doc.Services {
		if s.Scaling == nil {
			continue
		}
		count := 0
		for slot, n := range o.present(name) {
			if slot.Reclaimable {
				count = 0
				break
			}
			count += n
		}
		if count > out[name] {
			out[name], grown = count, true
		}
	}
	if !grown {
		return nil
	}
	return out
}

func (o *orderer) step(ctx context.Context, h platform.Holder) {
	now := o.node.now()
	if now.Sub(o.lookedAt) < orderInterval {
		return
	}
	o.lookedAt = now
	if o.fence != h.Fence {
		o.fence = h.Fence
		o.services = map[string]*serviceOrders{}
	}
	doc := o.node.document.Load()
	for name, s := range doc.Services {
		if s.Scaling != nil {
			o.stepService(ctx, h, name, s)
		}
	}
}

func (o *orderer) stepService(ctx context.Context, h platform.Holder, name string, s *site.Service) {
	now := o.node.now()
	so, ok := o.services[name]
	if !ok {
		so = &serviceOrders{counter: fleetplan.NewCounter(refusedPause), orders: fleetplan.NewOrders(orderAgain, unansweredAgain), meter: fleetplan.NewMeter(demandConfig.ForSlots(slotsOf(s)))}
		o.services[name] = so
	}
	have := o.present(name)
	so.meter.Note(o.node.work.total(name), now)
	found := o.found(name)
	if found == 0 {
		return
	}
	demand := fleetplan.Demand{MaxVMs: s.Scaling.Max * len(s.Scaling.ZonePrices), ReclaimsOnly: true}
	demand.RequestsPerSecond, demand.Wanted = so.meter.VMs(found)
	demand.KeepReclaimable = !so.meter.Measured()
	bounds := fleetplan.Bounds{MinPerZone: s.Scaling.Min, MaxPerZone: s.Scaling.Max}
	var due []fleetplan.Slot
	target := so.counter.Step(demand, bounds, offersOf(s.Scaling), have, now)
	for slot, want := range target {
		if so.orders.Due(slot, want, have[slot], now) {
			due = append(due, slot)
		}
	}
	// Calls without an answer must not hold up the lease, nor each other.
	outcomes := make([]fleetplan.Outcome, len(due))
	var calls sync.WaitGroup
	for i, slot := range due {
		calls.Go(func() { outcomes[i] = o.send(ctx, h, name, slot, target[slot], have[slot]) })
	}
	calls.Wait()
	for i, slot := range due {
		so.orders.Sent(slot, target[slot], have[slot], outcomes[i], now)
		switch outcomes[i] {
		case fleetplan.Taken:
			so.counter.Accepted(slot)
		case fleetplan.NoneThere:
			so.counter.Refused(slot, now)
		}
	}
}

// present counts the servers of a service that stay. While the store is away
// entries stand whose servers are gone, and those that can't be connected to do
// not count, unless none can.
func (o *orderer) present(service string) fleetplan.Counts {
	out := fleetplan.Counts{}
	now := o.node.now()
	servers := o.node.backends.listed(service)
	if o.node.servers.isAway() || now.Sub(o.node.contact.last(platform.ServersTopic)) > entriesOld {
		if reached := o.node.backends.reachable(service, now); len(reached) > 0 {
			servers = reached
		}
	}
	for _, s := range servers {
		if !s.Leaving && o.node.moves.table.Stays(service, s.SoftwareVersion, now) {
			out[slotOf(s)]++
		}
	}
	return out
}

// slotsOf returns how many requests a server of a service runs at once, 0 where the
// document does not say.
func slotsOf(s *site.Service) int {
	if s.Model == nil {
		return 0
	}
	return s.Model.Slots
}

func slotOf(s site.Server) fleetplan.Slot {
	return fleetplan.Slot{AvailabilityZone: s.AvailabilityZone, Reclaimable: s.Reclaimable}
}

func offersOf(sc *site.Scaling) []fleetplan.Offer {
	var out []fleetplan.Offer
	// In the same order each time: zones of one price would else change places.
	for _, zone := range slices.Sorted(maps.Keys(sc.ZonePrices)) {
		price := sc.ZonePrices[zone]
		out = append(out,
			fleetplan.Offer{Slot: fleetplan.Slot{AvailabilityZone: zone}, MicrosPerHour: int64(price * priceUnit), Capacity: 1},
			fleetplan.Offer{Slot: fleetplan.Slot{AvailabilityZone: zone, Reclaimable: true}, MicrosPerHour: int64(price * sc.ReclaimablePrice * priceUnit), Capacity: 1})
	}
	return out
}

// found returns how many servers of a service there were at first.
func (o *orderer) found(name string) int {
	d := o.node.duties
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.State().Sizes[name]
}

// send orders a number of servers.
func (o *orderer) send(ctx context.Context, h platform.Holder, service string, slot fleetplan.Slot, want, have int) fleetplan.Outcome {
	n := o.node
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := n.platform.OrderServers(ctx, h, platform.Order{
		Service: service, AvailabilityZone: slot.AvailabilityZone, Reclaimable: slot.Reclaimable, Count: want,
	})
	n.metrics.duties.WithLabelValues("order", outcomeOf(err)).Inc()
	n.log.Event("duties", "order", "service", service, "zone", slot.AvailabilityZone, "reclaimable", slot.Reclaimable,
		"count", want, "have", have, "fence", h.Fence, "error", err)
	return orderOutcome(err)
}

// orderOutcome tells what became of an order. A conflict may also mean that
// another VM holds the duties: the next report of usage tells.
func orderOutcome(err error) fleetplan.Outcome {
	switch {
	case err == nil:
		return fleetplan.Taken
	case errors.Is(err, platform.ErrUnknown):
		return fleetplan.Unanswered
	case platform.Conflicted(err):
		return fleetplan.NoneThere
	}
	return fleetplan.NotTaken
}
