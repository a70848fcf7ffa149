// Package coldservers decides which backend servers are cold, and how many requests a second
// all VMs together may send to one. A server is cold for some time after its start, and may
// become cold again at any moment: it is slow then, and fails under a higher rate. The package
// decides without any I/O.
package coldservers

import (
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/serverlimit"
)

const (
	// recordDelay is the time for which a server's record may be older than it arrives. For so
	// long, what the server has stated itself is newer than its record.
	recordDelay = 2 * time.Second
	// ownShareRatio is the part of a rate that VMs send on average without permits while others
	// get them.
	ownShareRatio = 0.5
)

// Limit is the number of requests that a cold server gets in one second at most, from all VMs:
// PerSecond x Over + Slack. There is no limit if PerSecond or Over is 0.
type Limit struct{ PerSecond, Over, Slack float64 }

// Rate returns the rate at which permits are given out for a cold server, and false if there
// is no limit. Permits that have accumulated, and what VMs send that can't ask for any, then
// stay within the limit in each second.
func (l Limit) Rate() (rate float64, limited bool) {
	if l.PerSecond <= 0 || l.Over <= 0 {
		return 0, false
	}
	most := l.PerSecond*l.Over + l.Slack
	rate = (most - serverlimit.Burst) / (1 + serverlimit.BurstTime.Seconds() + ownShareRatio)
	return max(min(l.PerSecond, rate), serverlimit.MinRate), true
}

// Source is where a statement about a server comes from.
type Source int

// Values of Source.
const (
	// Record is the server's record in the platform's store.
	Record Source = iota
	// Health is an answer to a health check.
	Health
	// Expected is no statement of the server, but what is known of it: that it has failed and
	// answers again, or that its zone was evacuated. It holds until a health answer says
	// otherwise.
	Expected
)

var sourceNames = [...]string{"record", "health", "expected"}

func (s Source) String() string { return sourceNames[s] }

// Table holds which servers are cold. It is safe for concurrent use; its lock is a leaf lock.
type Table struct {
	mu      sync.RWMutex
	entries map[string]*entry
}

type entry struct {
	// until is the time until which the server states that it is cold, and expectedUntil that
	// until which it is expected to be.
	until, expectedUntil time.Time
	// healthAt is the time of the last health answer.
	healthAt time.Time
	// isCold is set from the change to cold until that to warm has been reported.
	isCold bool
}

// NewTable returns a table without cold servers.
func NewTable() *Table { return &Table{entries: map[string]*entry{}} }

// Observe records that a server is cold for the given time from now on, or warm if it is 0. It
// reports whether the server has turned cold.
func (t *Table) Observe(server string, left time.Duration, source Source, now time.Time) (turnedCold bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[server]
	if e == nil {
		if left <= 0 {
			return false
		}
		e = &entry{}
		t.entries[server] = e
	}
	until := now.Add(max(left, 0))
	switch {
	case source == Expected:
		e.expectedUntil = until
	case source == Health:
		e.until, e.expectedUntil, e.healthAt = until, time.Time{}, now
	case now.Sub(e.healthAt) > recordDelay:
		e.until = until
	}
	turnedCold = !e.isCold && e.cold(now)
	e.isCold = e.isCold || turnedCold
	return turnedCold
}

func (e *entry) cold(now time.Time) bool { return now.Before(e.until) || now.Before(e.expectedUntil) }

// IsCold reports whether a server is cold.
func (t *Table) IsCold(server string, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[server]
	return e != nil && e.cold(now)
}

// Sweep returns the servers that have turned warm since the last call, and forgets them.
func (t *Table) Sweep(now time.Time) (turnedWarm []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server, e := range t.entries {
		if e.cold(now) || now.Sub(e.healthAt) <= recordDelay {
			continue
		}
		if e.isCold {
			turnedWarm = append(turnedWarm, server)
		}
		delete(t.entries, server)
	}
	return turnedWarm
}

// Cold returns the servers that are cold.
func (t *Table) Cold(now time.Time) (servers []string) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for server, e := range t.entries {
		if e.cold(now) {
			servers = append(servers, server)
		}
	}
	return servers
}
