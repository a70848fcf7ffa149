// Package admission decides which requests a node accepts and in which order
// they start, so that a large workspace can't starve a small one and no request
// waits for an answer that would arrive past its deadline.
package admission

import (
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// minRefillInterval is the minimum time between two refills.
const minRefillInterval = time.Millisecond

// Limiter enforces the request rates of all workspaces on one of several nodes.
// Each workspace has a guaranteed rate. The unused part of the other workspaces'
// rates is lent out by weight.
type Limiter struct {
	// mu is a leaf lock: no other lock is acquired while it is held.
	mu       sync.Mutex
	accounts map[string]*account
	// order lists the accounts in the order of the document.
	order      []*account
	refilledAt time.Time
}

// account is the token bucket of one workspace. Each request takes one token.
type account struct {
	rate, burst, weight float64
	// own tokens are added at the guaranteed rate, lent ones come from accounts
	// that are full.
	own, lent float64
	// configured marks accounts that are in the document being applied.
	configured bool
}

// NewLimiter returns a limiter without workspaces.
func NewLimiter() *Limiter {
	return &Limiter{accounts: map[string]*account{}}
}

// Configure replaces the limits by those of a document, which the given number
// of nodes share evenly.
func (l *Limiter) Configure(doc *document.Document, nodes int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	share := 1 / float64(max(nodes, 1))
	for _, a := range l.order {
		a.configured = false
	}
	l.order = l.order[:0]
	for i := range doc.Workspaces {
		l.configure(&doc.Workspaces[i], share)
	}
	for name, a := range l.accounts {
		if !a.configured {
			delete(l.accounts, name)
		}
	}
}

func (l *Limiter) configure(w *document.Workspace, share float64) {
	a, ok := l.accounts[w.Name]
	burst := max(float64(w.Burst)*share, 1)
	if !ok {
		a = &account{own: burst}
		l.accounts[w.Name] = a
	}
	a.rate, a.burst, a.weight, a.configured = w.RequestsPerSecond*share, burst, float64(w.Weight), true
	a.own, a.lent = min(a.own, burst), min(a.lent, burst)
	l.order = append(l.order, a)
}

// Admit takes a token of the workspace and reports whether there was one. If not,
// it also returns the time until the next one.
func (l *Limiter) Admit(workspace string, now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[workspace]
	if !ok {
		return false, time.Second
	}
	l.refill(now)
	switch {
	case a.own >= 1:
		a.own--
	case a.lent >= 1:
		a.lent--
	default:
		return false, time.Duration((1 - a.own) / a.rate * float64(time.Second))
	}
	return true, 0
}

// refill adds the tokens for the time since the last refill. Tokens in excess of
// an account's burst are lent by weight to accounts that are not full.
func (l *Limiter) refill(now time.Time) {
	if l.refilledAt.IsZero() {
		l.refilledAt = now
	}
	elapsed := now.Sub(l.refilledAt)
	if elapsed < minRefillInterval {
		return
	}
	l.refilledAt = now
	spare, weights := 0.0, 0.0
	for _, a := range l.order {
		a.own += a.rate * elapsed.Seconds()
		if a.own > a.burst {
			spare += a.own - a.burst
			a.own = a.burst
			continue
		}
		weights += a.weight
	}
	if weights == 0 {
		return
	}
	for _, a := range l.order {
		if a.own < a.burst {
			a.lent = min(a.lent+spare*a.weight/weights, a.burst)
		}
	}
}
