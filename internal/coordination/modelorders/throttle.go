package modelorders

import (
	"time"

	"golang.org/x/time/rate"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
)

const (
	// orderSettleTime is the time that an accepted order has to take effect in
	// the engine's reports before it is repeated.
	orderSettleTime = 10 * time.Second
	minBackoff      = 500 * time.Millisecond
	maxBackoff      = 30 * time.Second
)

// ThrottleConfig limits the rate of orders.
type ThrottleConfig struct {
	// LoadInterval is the mean time between loads in the complete fleet; it
	// protects the store from which engines load model weights. Burst bounds the
	// number of loads at once.
	LoadInterval time.Duration
	Burst        int
}

// Throttle decides when an order may be given. It is not safe for concurrent
// use.
type Throttle struct {
	loads    *rate.Limiter
	attempts map[orderKey]attemptState
}

type orderKey struct {
	engine string
	kind   ports.OrderKind
	model  string
}

type attemptState struct {
	failures  int
	notBefore time.Time
}

// NewThrottle returns a throttle that allows a full burst.
func NewThrottle(cfg ThrottleConfig) *Throttle {
	return &Throttle{loads: rate.NewLimiter(rate.Every(cfg.LoadInterval), cfg.Burst), attempts: map[orderKey]attemptState{}}
}

func keyOf(order EngineOrder) orderKey {
	return orderKey{engine: order.Engine.ID, kind: order.Kind, model: order.Model}
}

// Allow reports whether the order may be given at now. If it returns true, a load
// order counts against the rate of loads (ThrottleConfig.LoadInterval).
func (t *Throttle) Allow(order EngineOrder, now time.Time) bool {
	if now.Before(t.attempts[keyOf(order)].notBefore) {
		return false
	}
	return order.Kind != ports.LoadModel || t.loads.AllowN(now, 1)
}

// RecordAccepted records that the engine accepted the order.
func (t *Throttle) RecordAccepted(order EngineOrder, now time.Time) {
	t.attempts[keyOf(order)] = attemptState{notBefore: now.Add(orderSettleTime)}
}

// RecordFailed records that the order failed, and delays its next attempt.
func (t *Throttle) RecordFailed(order EngineOrder, now time.Time) {
	last := t.attempts[keyOf(order)]
	wait := min(minBackoff<<min(last.failures, 8), maxBackoff)
	t.attempts[keyOf(order)] = attemptState{failures: last.failures + 1, notBefore: now.Add(wait)}
}

// Retain removes the state of all orders except the given ones.
func (t *Throttle) Retain(orders []EngineOrder) {
	retained := map[orderKey]bool{}
	for _, order := range orders {
		retained[keyOf(order)] = true
	}
	for key := range t.attempts {
		if !retained[key] {
			delete(t.attempts, key)
		}
	}
}
