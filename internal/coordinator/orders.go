package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/modelorders"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
)

const (
	orderInterval = time.Second
	// maxConcurrentPolls bounds the engines whose load is requested at once.
	maxConcurrentPolls = 16
)

// orderLoop orders engines to load and unload models as the version moves
// require, while this coordinator holds the lease.
type orderLoop struct {
	c        *Coordinator
	throttle *modelorders.Throttle

	lastEngines atomic.Pointer[[]modelorders.Engine]
	entryVMs    atomic.Int64
}

func newOrderLoop(c *Coordinator) *orderLoop {
	l := &orderLoop{c: c, throttle: modelorders.NewThrottle(c.settings.Orders)}
	l.lastEngines.Store(&[]modelorders.Engine{})
	return l
}

// engines returns the engines as last reported. The caller must not modify the
// slice.
func (l *orderLoop) engines() []modelorders.Engine {
	return *l.lastEngines.Load()
}

// liveEntryVMs returns the number of entry VMs in the cloud's list that are not
// leaving.
func (l *orderLoop) liveEntryVMs() int {
	return int(l.entryVMs.Load())
}

// run sends due orders until ctx ends.
func (l *orderLoop) run(ctx context.Context) {
	for ctx.Err() == nil {
		if _, ok := l.c.leases.fencingToken(); ok {
			l.step(ctx)
		}
		select {
		case <-l.c.clock.After(orderInterval):
		case <-ctx.Done():
		}
	}
}

// step refreshes the list of engines and sends all due orders.
func (l *orderLoop) step(ctx context.Context) {
	state := l.c.replay.State()
	if !modelorders.Active(state, l.c.clock.Now()) {
		return
	}
	l.refresh(ctx)
	desired := modelorders.DesiredOrders(state, l.engines(), l.c.clock.Now())
	l.throttle.Retain(desired)
	for _, order := range desired {
		if !l.send(ctx, order) {
			return
		}
	}
}

// send sends one order if the throttle allows it. It returns false if this
// coordinator must not send further orders: it doesn't hold the lease, or the
// engine has received a newer fencing token.
func (l *orderLoop) send(ctx context.Context, order modelorders.EngineOrder) bool {
	if !l.throttle.Allow(order, l.c.clock.Now()) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, l.c.settings.Lease.MaxOrderTime)
	defer cancel()
	fencingToken, ok := l.c.leases.fencingToken()
	if !ok {
		return false
	}
	err := l.c.deps.Engine.Order(ctx, order.Engine.Address, ports.Order{Kind: order.Kind, Model: order.Model, FencingToken: fencingToken})
	if err == nil {
		l.throttle.RecordAccepted(order, l.c.clock.Now())
		klog.Infof("orders: accepted vm=%s kind=%s model=%s fencing=%d", order.Engine.ID, order.Kind, order.Model, fencingToken)
		return true
	}
	l.throttle.RecordFailed(order, l.c.clock.Now())
	klog.Warningf("orders: failed vm=%s kind=%s model=%s fencing=%d err=%q", order.Engine.ID, order.Kind, order.Model, fencingToken, err)
	return !errors.Is(err, ports.ErrOutdatedFencingToken)
}

// refresh updates the engines and the number of entry VMs from the cloud's list
// and the engines' load reports. If the list is unavailable, both keep their
// previous values. Engines that don't report their load are left out.
func (l *orderLoop) refresh(ctx context.Context) {
	vms, err := l.c.deps.Cloud.ListVMs(ctx)
	if err != nil {
		klog.V(1).Infof("orders: VM list unavailable err=%q", err)
		return
	}
	entryVMs := int64(0)
	var engineVMs []ports.VM
	for _, vm := range vms {
		switch {
		case vm.Role == fleet.EngineRole:
			engineVMs = append(engineVMs, vm)
		case vm.Role == fleet.EntryRole && !vm.Leaving:
			entryVMs++
		}
	}
	l.entryVMs.Store(entryVMs)
	engines := l.pollEngines(ctx, engineVMs)
	l.lastEngines.Store(&engines)
}

// pollEngines returns the engines among the VMs that reported their load.
func (l *orderLoop) pollEngines(ctx context.Context, vms []ports.VM) []modelorders.Engine {
	reports := make([]*ports.LoadReport, len(vms))
	slots := make(chan struct{}, maxConcurrentPolls)
	var polls sync.WaitGroup
	for i, vm := range vms {
		slots <- struct{}{}
		polls.Go(func() {
			defer func() { <-slots }()
			if report, err := l.c.deps.Engine.Load(ctx, vm.Address); err == nil {
				reports[i] = &report
			}
		})
	}
	polls.Wait()
	var engines []modelorders.Engine
	for i, vm := range vms {
		if reports[i] == nil {
			continue
		}
		engines = append(engines, modelorders.Engine{
			ID: vm.ID, AvailabilityZone: vm.AvailabilityZone, Address: vm.Address, Leaving: vm.Leaving, Models: reports[i].Models,
		})
	}
	return engines
}
