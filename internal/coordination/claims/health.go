package claims

import (
	"sync"
	"time"
)

const (
	// downAfter is the time after the first append that failed since the last
	// successful one at which the log counts as down.
	downAfter = 200 * time.Millisecond
	// slowAfter is the time after which a running append makes the log count as
	// down.
	slowAfter = time.Second
	// probeInterval is the minimum time between claims that are appended as a
	// probe to a log that is down.
	probeInterval = 250 * time.Millisecond
)

// health derives from the latest appends whether the log is available.
type health struct {
	mu              sync.Mutex
	failingSince    time.Time
	appendStartedAt time.Time
	probedAt        time.Time
}

// appendStarted records the start of an append.
func (h *health) appendStarted(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.appendStartedAt = now
}

// appendEnded records the result of an append.
func (h *health) appendEnded(now time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.appendStartedAt = time.Time{}
	if err == nil {
		h.failingSince = time.Time{}
		return
	}
	if h.failingSince.IsZero() {
		h.failingSince = now
	}
}

// logState is the availability of the log as derived from the latest appends and
// reads.
type logState int

const (
	up logState = iota
	// probing: the log is down, and a single append may test it.
	probing
	down
)

// check returns the state that decides whether an append may be tried now.
// stale is true if the log has not been read for staleAfter.
func (h *health) check(now time.Time, stale bool) logState {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.appendStartedAt.IsZero() && now.Sub(h.appendStartedAt) > slowAfter {
		return down
	}
	failing := !h.failingSince.IsZero() && now.Sub(h.failingSince) > downAfter
	if !failing && !stale {
		return up
	}
	if now.Sub(h.probedAt) < probeInterval {
		return down
	}
	h.probedAt = now
	return probing
}
