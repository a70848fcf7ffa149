// Package retry bounds how much work retries may add, so that a failing zone
// does not turn into a storm of further attempts.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Config is the budget of one holder, such as a workspace or a backend server.
type Config struct {
	// Ratio is the number of retries that each first attempt pays for.
	Ratio float64
	// Reserve is the number of retries available without first attempts.
	Reserve float64
	// PerSecond is the number of retries that come back each second, so that a
	// holder without first attempts is not shut out for good.
	PerSecond float64
}

// Budget is a counter that first attempts fill and retries draw from.
type Budget struct {
	cfg   Config
	value float64
	at    time.Time
}

// NewBudget returns a budget holding its reserve.
func NewBudget(cfg Config) *Budget {
	return &Budget{cfg: cfg, value: cfg.Reserve}
}

// First notes a first attempt.
func (b *Budget) First() {
	b.value = min(b.value+b.cfg.Ratio, b.cfg.Reserve)
}

// Take draws one retry and tells whether there was one.
func (b *Budget) Take() bool {
	if b.value < 1 {
		return false
	}
	b.value--
	return true
}

// TakeAt is Take after what has come back until now.
func (b *Budget) TakeAt(now time.Time) bool {
	if !b.at.IsZero() && now.After(b.at) {
		b.value = min(b.value+now.Sub(b.at).Seconds()*b.cfg.PerSecond, b.cfg.Reserve)
	}
	b.at = now
	return b.Take()
}

// Budgets holds one budget for each name. It may be used from many goroutines.
type Budgets struct {
	cfg Config

	mu     sync.Mutex
	byName map[string]*Budget
}

// NewBudgets returns an empty set of budgets that all have the same bounds.
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

// First notes a first attempt of name.
func (b *Budgets) First(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(name).First()
}

// Take draws one retry of name and tells whether there was one.
func (b *Budgets) Take(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(name).Take()
}

// TakeAt is Take after what has come back until now.
func (b *Budgets) TakeAt(name string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(name).TakeAt(now)
}

// Backoff bounds of waits between attempts.
const (
	BackoffBase = 10 * time.Millisecond
	BackoffMax  = 500 * time.Millisecond
)

// Backoff returns a wait with full jitter before retry n, which begins at 1.
func Backoff(n int, random *rand.Rand) time.Duration {
	bound := BackoffBase << min(n, 10)
	return time.Duration(random.Int64N(int64(min(bound, BackoffMax)) + 1))
}
