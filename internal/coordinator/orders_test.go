package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/lease"
	"coltsfootpath.example/coltsfootpath/internal/coordination/modelorders"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
)

// recordingEngine records orders and returns err.
type recordingEngine struct {
	ports.Engine
	orders []ports.Order
	err    error
	// onOrder, if set, is called before an order is recorded.
	onOrder func()
}

func (e *recordingEngine) Order(_ context.Context, _ string, o ports.Order) error {
	if e.onOrder != nil {
		e.onOrder()
	}
	e.orders = append(e.orders, o)
	return e.err
}

// manualClock returns the time that the test sets.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time                         { return c.now }
func (c *manualClock) After(d time.Duration) <-chan time.Time { return nil }

const testFencingToken = 7

// newLeaseHolder advances the clock by a minute and returns a coordinator that holds
// the lease at that time.
func newLeaseHolder(engine *recordingEngine, clock *manualClock) *Coordinator {
	self := control.Holder{VM: "a"}
	elector := lease.NewElector(lease.DefaultConfig, self, "test")
	elector.Observe(control.Lease{}, control.AppendID{}, clock.now)
	clock.now = clock.now.Add(time.Minute)
	due, _ := elector.Step(clock.now)
	elector.Observe(control.Lease{FencingToken: testFencingToken, LastOffset: testFencingToken, Holder: self}, due.Claim.Attempt, clock.now)
	c := &Coordinator{deps: Dependencies{Engine: engine, Clock: clock}, clock: clock}
	c.settings.Lease = lease.DefaultConfig
	c.settings.Orders = modelorders.ThrottleConfig{LoadInterval: time.Millisecond, Burst: 100}
	c.leases = &leaseLoop{cfg: lease.DefaultConfig, clock: clock, elector: elector}
	c.orders = newOrderLoop(c)
	return c
}

func loadOrder(id string) modelorders.EngineOrder {
	return modelorders.EngineOrder{Engine: modelorders.Engine{ID: id}, Kind: ports.LoadModel, Model: "b"}
}

func TestOrdersCarryTheFencingToken(t *testing.T) {
	engine, clock := &recordingEngine{}, &manualClock{now: time.Unix(1000, 0)}
	c := newLeaseHolder(engine, clock)
	if !c.orders.send(context.Background(), loadOrder("e1")) {
		t.Fatal("the order was not sent")
	}
	if len(engine.orders) != 1 || engine.orders[0].FencingToken != testFencingToken {
		t.Fatalf("%+v", engine.orders)
	}
}

// TestPausedLeaseHolderSendsNoMoreOrders lets the lease expire between two orders
// of one round: the fencing token must be obtained before each order.
func TestPausedLeaseHolderSendsNoMoreOrders(t *testing.T) {
	engine, clock := &recordingEngine{}, &manualClock{now: time.Unix(1000, 0)}
	c := newLeaseHolder(engine, clock)
	engine.onOrder = func() { clock.now = clock.now.Add(lease.DefaultConfig.Duration) }
	if !c.orders.send(context.Background(), loadOrder("e1")) {
		t.Fatal("the order was not sent")
	}
	if c.orders.send(context.Background(), loadOrder("e2")) || len(engine.orders) != 1 {
		t.Fatalf("%d orders were sent, want 1 because the lease expired after it", len(engine.orders))
	}
}

func TestOutdatedFencingTokenEndsTheRound(t *testing.T) {
	engine := &recordingEngine{err: errors.Wrap(ports.ErrOutdatedFencingToken, "3 is below 9")}
	c := newLeaseHolder(engine, &manualClock{now: time.Unix(1000, 0)})
	if c.orders.send(context.Background(), loadOrder("e1")) {
		t.Fatal("orders continue although the engine has received a newer fencing token")
	}
}
