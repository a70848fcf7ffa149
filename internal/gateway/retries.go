package gateway

import (
	"sync"

	"coltsfootpath.example/coltsfootpath/internal/coordination/retry"
)

// retryBudgets gives each service its budget; this VM has its even share.
type retryBudgets struct {
	mu      sync.Mutex
	cfg     retry.Config
	members func() int
	budgets map[string]*retry.Budget
}

func newRetryBudgets(cfg retry.Config, members func() int) *retryBudgets {
	return &retryBudgets{cfg: cfg, members: members, budgets: map[string]*retry.Budget{}}
}

func (b *retryBudgets) of(service string) *retry.Budget {
	x, ok := b.budgets[service]
	if !ok {
		cfg := b.cfg
		cfg.Reserve /= float64(max(b.members(), 1))
		x = retry.NewBudget(cfg)
		b.budgets[service] = x
	}
	return x
}

// first notes a first attempt on a service.
func (b *retryBudgets) first(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).First()
}

// take draws one further attempt.
func (b *retryBudgets) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).Take()
}
