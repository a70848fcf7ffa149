package serverplaces

import (
	"sync"
	"time"
)

const (
	// takeoverTime is the time for which a new granter gives out no place of a server, as the
	// one before it may still be asked.
	takeoverTime = 500 * time.Millisecond
	// deniedWait is the time after which a VM that got no place asks again.
	deniedWait = 10 * time.Millisecond
	// maxHold bounds the time for which a place is held whose end is not reported.
	maxHold = 30 * time.Second
	// idleTime is the time after which a server without places in use is forgotten.
	idleTime = 5 * time.Minute
)

// Granter gives out the places of servers that have fewer of them than there are VMs. It is
// safe for concurrent use; its lock is a leaf lock.
type Granter struct {
	mu      sync.Mutex
	last    uint64
	servers map[uint32]*held
}

// held holds the places in use of one server.
type held struct {
	since, usedAt time.Time
	// until holds the time at which each place is free again at the latest, by its lease.
	until map[uint64]time.Time
	// foreign is the number of requests that run without a lease, as an earlier granter has
	// given it out. Reports are late, so that the lowest excess over the leases counts.
	foreign int
}

// NewGranter returns a granter that has given out nothing.
func NewGranter() *Granter { return &Granter{servers: map[uint32]*held{}} }

// Take asks for one of the places of a server, for a time. reported is the number of requests
// that run there as far as VMs have reported. The lease is 0 if there is none; wait is the time
// after which to ask again then.
func (g *Granter) Take(server uint32, places, reported int, hold time.Duration, now time.Time) (lease uint64, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.servers[server]
	if h == nil {
		h = &held{since: now, until: map[uint64]time.Time{}, foreign: reported}
		g.servers[server] = h
	}
	h.usedAt = now
	for id, until := range h.until {
		if !now.Before(until) {
			delete(h.until, id)
		}
	}
	h.foreign = min(h.foreign, max(reported-len(h.until), 0))
	if now.Sub(h.since) < takeoverTime || len(h.until)+h.foreign >= places {
		return 0, deniedWait
	}
	g.last++
	h.until[g.last] = now.Add(min(hold, maxHold))
	return g.last, 0
}

// Release ends a lease.
func (g *Granter) Release(server uint32, lease uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h := g.servers[server]; h != nil {
		delete(h.until, lease)
	}
}

// Sweep forgets the servers that were not asked for for long.
func (g *Granter) Sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for server, h := range g.servers {
		if now.Sub(h.usedAt) > idleTime {
			delete(g.servers, server)
		}
	}
}
