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
	tokensPerSecond, burst, weight float64
	// ownTokens is the number of tokens left of those added at the guaranteed rate,
	// lentTokens of those lent by accounts that are full.
	ownTokens, lentTokens float64
	// configured is true for accounts that are in the document being applied.
	configured bool
}

// NewLimiter returns a limiter without workspaces.
func NewLimiter() *Limiter {
	return &Limiter{accounts: map[string]*account{}}
}

// Configure replaces the limits with those of a document, which the given number
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
		a = &account{ownTokens: burst}
		l.accounts[w.Name] = a
	}
	a.tokensPerSecond, a.burst, a.weight, a.configured = w.RequestsPerSecond*share, burst, float64(w.Weight), true
	a.ownTokens, a.lentTokens = min(a.ownTokens, burst), min(a.lentTokens, burst)
	l.order = append(l.order, a)
}

// Admit takes a token of the workspace and reports whether one was available. If
// not, it also returns the time until the next one is.
func (l *Limiter) Admit(workspace string, now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[workspace]
	if !ok {
		return false, time.Second
	}
	l.refill(now)
	switch {
	case a.ownTokens >= 1:
		a.ownTokens--
	case a.lentTokens >= 1:
		a.lentTokens--
	default:
		return false, time.Duration((1 - a.ownTokens) / a.tokensPerSecond * float64(time.Second))
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
		a.ownTokens += a.tokensPerSecond * elapsed.Seconds()
		if a.ownTokens > a.burst {
			spare += a.ownTokens - a.burst
			a.ownTokens = a.burst
			continue
		}
		weights += a.weight
	}
	if weights == 0 {
		return
	}
	for _, a := range l.order {
		if a.ownTokens < a.burst {
			a.lentTokens = min(a.lentTokens+spare*a.weight/weights, a.burst)
		}
	}
}
