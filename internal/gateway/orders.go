package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/fleetplan"
	"coltsfootpath.example/coltsfootpath/internal/coordination/movephase"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// orderInterval is the interval at which the numbers of servers are checked.
	orderInterval = 400 * time.Millisecond
	// orderRepeatInterval is the time after which an order without a visible effect
	// is repeated. The servers of an accepted order register after they have booted,
	// which takes seconds.
	orderRepeatInterval = 3 * time.Second
	// unansweredRepeatInterval is the time after which an order without an answer
	// is repeated, because the platform may never carry it out.
	unansweredRepeatInterval = time.Second
	// orderTimeout bounds one order. The platform answers within milliseconds or not
	// at all.
	orderTimeout = 500 * time.Millisecond
	// registrationTime is the time that a booted server needs at most to appear in the
	// store and at this node.
	registrationTime = 3 * time.Second
	// unavailablePause is the time for which a kind of server that was
	// unavailable is not ordered again.
	unavailablePause = 2 * time.Second
	// returnHoldTime is the time, besides that for which its servers are cold, after a zone is
	// taken back in which no server is stopped.
	returnHoldTime = 10 * time.Second
	// priceUnit converts relative prices to the integer prices of the fleet plan.
	priceUnit = 1000
)

// demandConfig leaves engines headroom for prompts that arrive at the same time.
var demandConfig = fleetplan.DemandConfig{
	Required:  fleetplan.Level{Utilization: 1.3, FloorShare: 0.45, InitialShare: 0.45},
	Preferred: fleetplan.Level{Utilization: 0.87, FloorShare: 0.7, InitialShare: 0.7},
	Window:    3 * time.Second,
	PeakHold:  10 * time.Second,
	Lateness: fleetplan.LatenessConfig{
		Window: 3 * time.Second, MinAnswers: 20, MaxLateShare: 0.1,
		MaxReduction: 0.4, MinUtilization: 0.4, SettleTime: 7 * time.Second,
		CalmTime: 10 * time.Second, RaisePerSecond: 0.01,
	},
}

// orderer orders backend servers while this node holds the lease.
type orderer struct {
	node         *Node
	services     map[string]*serviceOrders
	checkedAt    time.Time
	fencingToken uint64
}

// serviceOrders is the state of the orders for one service.
type serviceOrders struct {
	counter *fleetplan.CountPlanner
	orders  *fleetplan.Orders
	meter   *fleetplan.Meter
	// ordered holds the number of servers last ordered for each slot. A move's servers
	// are as many as the platform was to run before.
	ordered fleetplan.Counts
	// reserved is set while servers of a move are beside the service's own.
	reserved bool
}

func newOrderer(n *Node) *orderer {
	return &orderer{node: n, services: map[string]*serviceOrders{}}
}

// initialSizes returns a copy of known, the initial numbers of servers recorded so
// far, in which the number of each scaled service that now has more servers is raised
// to its present number. It returns nil if no number is raised. Servers register one by
// one, so the numbers grow at first. Ordered servers must not be counted: a service
// that has a reclaimable server keeps its recorded number.
func (o *orderer) initialSizes(known map[string]int) map[string]int {
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
		for slot, n := range o.countServers(name) {
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

// step checks the numbers of servers of all scaled services and sends the orders
// that are due. It does nothing within orderInterval of the last check.
func (o *orderer) step(ctx context.Context, h platform.Holder) {
	now := o.node.now()
	if now.Sub(o.checkedAt) < orderInterval {
		return
	}
	o.checkedAt = now
	if o.fencingToken != h.FencingToken {
		o.fencingToken = h.FencingToken
		o.services = map[string]*serviceOrders{}
	}
	doc := o.node.document.Load()
	for name, s := range doc.Services {
		if s.Scaling != nil {
			o.stepService(ctx, h, name, s)
		}
	}
}

func (o *orderer) stepService(ctx context.Context, h platform.Holder, name string, s *deployment.Service) {
	now := o.node.now()
	so, ok := o.services[name]
	if !ok {
		so = &serviceOrders{counter: fleetplan.NewCountPlanner(unavailablePause), orders: fleetplan.NewOrders(orderRepeatInterval, unansweredRepeatInterval), meter: fleetplan.NewMeter(demandConfig.ForSlots(concurrencyOf(s))), ordered: fleetplan.Counts{}}
		o.services[name] = so
	}
	observed := o.countServers(name)
	o.recordIneffective(name, so, s.Scaling.BootTime+registrationTime, observed, now)
	so.meter.RecordWork(o.node.work.total(name), now)
	evacuated := o.node.backends.zones.Evacuated()
	serving := observed.Outside(evacuated)
	if lowered, late := so.meter.RecordAnswers(o.node.work.total(answeredTotal(name)), o.node.work.total(lateTotal(name)), serving.Total(), now); lowered {
		o.node.log.Event("duties", "utilization-lowered", "service", name, "to", so.meter.UtilizationLimit(), "late", late, "servers", serving.Total())
	}
	o.node.metrics.utilizationLimit.WithLabelValues(name).Set(so.meter.UtilizationLimit())
	initial := o.initialSize(name)
	if initial == 0 {
		return
	}
	demand := fleetplan.Demand{MaxVMs: s.Scaling.Max * len(s.Scaling.ZonePrices), OnlyReclaimableAtRisk: true}
	demand.RequestsPerSecond, demand.PreferredPerSecond = so.meter.VMs(initial)
	demand.KeepReclaimable = !so.meter.Measured()
	bounds := fleetplan.ZoneLimits{MinPerZone: s.Scaling.Min, MaxPerZone: s.Scaling.Max}
	var due []fleetplan.Slot
	desired := so.counter.Step(demand, bounds, offersOutside(evacuated, offersOf(s.Scaling)), serving, now)
	if o.node.backends.zones.WasTakenBackWithin(returnHoldTime+s.ColdTime, now) {
		desired.KeepAll(observed)
		// Servers that were ordered elsewhere may have started since they were counted.
		desired.KeepAll(so.ordered)
	}
	reservation := o.reservation(name, so, observed)
	if so.reserved && len(reservation) == 0 {
		so.orders.Forget()
	}
	so.reserved = len(reservation) > 0
	for slot := range desired {
		count, ok := reservation.Limit(slot, desired[slot], observed, s.Scaling.Max)
		if ok && so.orders.Due(slot, count, observed[slot], now) {
			desired[slot] = count
			due = append(due, slot)
		}
	}
	// Orders are sent concurrently, so that calls without an answer delay neither
	// the renewal of the lease nor each other.
	outcomes := make([]fleetplan.Outcome, len(due))
	var calls sync.WaitGroup
	for i, slot := range due {
		calls.Go(func() { outcomes[i] = o.sendOrder(ctx, h, name, slot, desired[slot], observed[slot]) })
	}
	calls.Wait()
	for i, slot := range due {
		so.orders.RecordSent(slot, desired[slot], observed[slot], outcomes[i], now)
		switch outcomes[i] {
		case fleetplan.Accepted:
			so.ordered[slot] = desired[slot]
			so.counter.RecordAccepted(slot)
		case fleetplan.NoCapacity:
			so.counter.RecordNoCapacity(slot, now)
		}
	}
}

// countServers counts the servers that a service keeps. While the store is
// unavailable, the entries of stopped servers remain; servers that can't be
// connected to are then not counted, unless none can.
func (o *orderer) countServers(service string) fleetplan.Counts {
	out := fleetplan.Counts{}
	now := o.node.now()
	servers := o.node.backends.servers(service)
	if o.entriesOutdated(now) {
		if reached := o.node.backends.reachableServers(service, now); len(reached) > 0 {
			servers = reached
		}
	}
	for _, s := range servers {
		if !s.Leaving && o.node.moves.table.CountsTowardsSize(service, s.SoftwareVersion, now) {
			out[fleetSlot(s)]++
		}
	}
	return out
}

// entriesOutdated reports whether servers may have registered or left long ago without this
// node's knowledge.
func (o *orderer) entriesOutdated(now time.Time) bool {
	f := o.node.serverFollower
	return f.isFailing() || !f.schedule().IsCertain(now.Sub(f.confirmation().At))
}

// recordIneffective records the accepted orders that have started no server within the
// time that a server needs, so that other kinds are ordered instead.
func (o *orderer) recordIneffective(service string, so *serviceOrders, startTimeout time.Duration, observed fleetplan.Counts, now time.Time) {
	if so.reserved || o.entriesOutdated(now) {
		so.orders.RestartWaits(now)
	}
	for _, slot := range so.orders.Observe(observed, startTimeout, now) {
		so.counter.RecordIneffective(slot, startTimeout, now)
		o.node.log.Event("duties", "order-ineffective", "service", service, "zone", slot.AvailabilityZone, "reclaimable", slot.Reclaimable,
			"have", observed[slot], "after", startTimeout)
	}
}

// reservation returns the servers of a version move that are beside those counted in
// observed: while the move is in progress, the new version's; after it was rolled back,
// those that have not left yet. Until all servers of a move have registered, there may be
// as many in a zone as were ordered there.
func (o *orderer) reservation(service string, so *serviceOrders, observed fleetplan.Counts) fleetplan.Reservation {
	m, ok := o.node.moves.table.Newest(service)
	if !ok || m.Phase == movephase.Done {
		return nil
	}
	out := fleetplan.Reservation{}
	for _, s := range o.node.backends.servers(service) {
		if s.SoftwareVersion == m.Target {
			out[s.AvailabilityZone]++
		}
	}
	if m.Phase == movephase.RolledBack {
		return out
	}
	for _, counts := range []fleetplan.Counts{observed, so.ordered} {
		for zone, n := range counts.ByZone() {
			out[zone] = max(out[zone], n)
		}
	}
	return out
}

// concurrencyOf returns the number of requests that one server of a service runs
// at the same time, or 0 if it is not specified.
func concurrencyOf(s *deployment.Service) int {
	if s.Model == nil {
		return 0
	}
	return s.Model.Slots
}

func fleetSlot(s deployment.Server) fleetplan.Slot {
	return fleetplan.Slot{AvailabilityZone: s.AvailabilityZone, Reclaimable: s.Reclaimable}
}

func offersOf(sc *deployment.Scaling) []fleetplan.Offer {
	var out []fleetplan.Offer
	// Zones are sorted because zones of the same price would otherwise swap
	// places from one check to the next.
	for _, zone := range slices.Sorted(maps.Keys(sc.ZonePrices)) {
		price := sc.ZonePrices[zone]
		out = append(out,
			fleetplan.Offer{Slot: fleetplan.Slot{AvailabilityZone: zone}, PricePerHour: int64(price * priceUnit), Capacity: 1},
			fleetplan.Offer{Slot: fleetplan.Slot{AvailabilityZone: zone, Reclaimable: true}, PricePerHour: int64(price * sc.ReclaimablePrice * priceUnit), Capacity: 1})
	}
	return out
}

// offersOutside returns the offers outside the given zones.
func offersOutside(zones []string, offers []fleetplan.Offer) []fleetplan.Offer {
	return slices.DeleteFunc(offers, func(o fleetplan.Offer) bool { return slices.Contains(zones, o.AvailabilityZone) })
}

// initialSize returns the initial number of servers of a service, as recorded in
// the duties log, or 0 if it is unknown.
func (o *orderer) initialSize(name string) int {
	d := o.node.duties
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.State().InitialServers[name]
}

// sendOrder orders the given number of servers for a slot.
func (o *orderer) sendOrder(ctx context.Context, h platform.Holder, service string, slot fleetplan.Slot, desired, observed int) fleetplan.Outcome {
	n := o.node
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := n.platform.OrderServers(ctx, h, platform.Order{
		Service: service, AvailabilityZone: slot.AvailabilityZone, Reclaimable: slot.Reclaimable, Count: desired,
	})
	n.metrics.duties.WithLabelValues("order", callOutcome(err)).Inc()
	n.log.Event("duties", "order", "service", service, "zone", slot.AvailabilityZone, "reclaimable", slot.Reclaimable,
		"count", desired, "have", observed, "fence", h.FencingToken, "error", err)
	return orderOutcome(err)
}

// orderOutcome classifies the result of an order. A conflict may also mean that
// another node holds the lease; the next usage report shows whether it does.
func orderOutcome(err error) fleetplan.Outcome {
	switch {
	case err == nil:
		return fleetplan.Accepted
	case errors.Is(err, platform.ErrUnknown):
		return fleetplan.Unanswered
	case platform.IsConflict(err):
		return fleetplan.NoCapacity
	}
	return fleetplan.Rejected
}
