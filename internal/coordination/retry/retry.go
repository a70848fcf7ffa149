// Package retry bounds the work added by retries, so that a failing zone does not
// cause a retry storm.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Config configures the retry budget of one subject, such as a workspace or a
// backend server.
type Config struct {
	// Ratio is the number of retries that each first attempt adds to the budget.
	Ratio float64
	// Reserve is the number of retries available without first attempts, and the
	// maximum of the budget.
	Reserve float64
	// PerSecond is the number of retries added per second, so that a subject
	// without first attempts can retry again eventually. Only TakeAt adds them.
	PerSecond float64
}

// Budget is a token bucket: first attempts fill it, and each retry takes a token.
type Budget struct {
	cfg        Config
	available  float64
	refilledAt time.Time
}

// NewBudget returns a budget that holds its reserve.
func NewBudget(cfg Config) *Budget {
	return &Budget{cfg: cfg, available: cfg.Reserve}
}

// RecordFirstAttempt records a first attempt.
func (b *Budget) RecordFirstAttempt() {
	b.available = min(b.available+b.cfg.Ratio, b.cfg.Reserve)
}

// Take takes one retry from the budget and reports whether one was available.
func (b *Budget) Take() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// TakeAt first adds the retries that PerSecond allows for the time since the last
// call, and then takes one like Take.
func (b *Budget) TakeAt(now time.Time) bool {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.available = min(b.available+now.Sub(b.refilledAt).Seconds()*b.cfg.PerSecond, b.cfg.Reserve)
	}
	b.refilledAt = now
	return b.Take()
}

// Budgets holds one budget for each name. It is safe for concurrent use.
type Budgets struct {
	cfg Config

	mu     sync.Mutex
	byName map[string]*Budget
}

// NewBudgets returns an empty set of budgets with the same configuration.
func NewBudgets(cfg Config) *Budgets {
	return &Budgets{cfg: cfg, byName: map[string]*Budget{}}
}

func (b *Budgets) budget(name string) *Budget {
	x, ok := b.byName[name]
	if !ok {
		x = NewBudget(b.cfg)
		b.byName[name] = x
	}
	return x
}

// RecordFirstAttempt records a first attempt in the budget called name.
func (b *Budgets) RecordFirstAttempt(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(name).RecordFirstAttempt()
}

// Take takes one retry from the budget called name and reports whether one was
// available.
func (b *Budgets) Take(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(name).Take()
}

// TakeAt first adds the retries that PerSecond allows for the time since the last
// call for name, and then takes one like Take.
func (b *Budgets) TakeAt(name string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(name).TakeAt(now)
}

// Limits of the backoff between attempts: the wait before retry n is at most
// BackoffBase * 2^n and at most MaxBackoff.
const (
	BackoffBase = 10 * time.Millisecond
	MaxBackoff  = 500 * time.Millisecond
)

// Backoff returns the wait before retry n, counted from 1, with full jitter.
func Backoff(n int, random *rand.Rand) time.Duration {
	bound := BackoffBase << min(n, 10)
	return time.Duration(random.Int64N(int64(min(bound, MaxBackoff)) + 1))
}
