// Package announcements keeps what backend servers have stated about themselves in their
// answers to this VM: that they leave, and until when they want no requests. A statement
// binds this VM from then on, whatever a server's entry in the store says. That a server
// leaves ends with its process. A pause does not: the answer may come from a new process
// whose entry has not arrived yet.
package announcements

import (
	"sync"
	"time"
)

const (
	// MaxPause bounds a pause; a longer one is taken for an error of the server.
	MaxPause = 10 * time.Minute
	// keepTime is the time for which a statement is kept after it was last made or
	// looked up. An entry may be missing from the store for as long as the store is
	// away.
	keepTime = 10 * time.Minute
)

// Process identifies a process of a server. A new process of the same server has another
// start time.
type Process struct {
	ServerID        string
	StartedAtMillis int64
}

// Status is what a server has stated.
type Status struct {
	// Leaving is true if the server must get no more requests.
	Leaving bool
	// PausedUntil is the time before which the server wants no requests, zero if it has
	// not stated one.
	PausedUntil time.Time
}

// MaySend reports whether the server may be sent a request.
func (s Status) MaySend(now time.Time) bool { return !s.Leaving && !now.Before(s.PausedUntil) }

// Table holds the statements of all servers. It is safe for concurrent use; its lock is a
// leaf lock.
type Table struct {
	mu sync.Mutex
	// leaving holds the processes that leave, with the time at which that was last used,
	// and pausedUntil the pauses by server ID.
	leaving     map[Process]time.Time
	pausedUntil map[string]time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{leaving: map[Process]time.Time{}, pausedUntil: map[string]time.Time{}}
}

// RecordLeaving records that a server leaves, and reports whether that is new.
func (t *Table) RecordLeaving(p Process, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.leaving[p]
	t.leaving[p] = now
	return !known
}

// RecordPause records that a server wants no requests for a while. It returns the end of
// the pause, and whether the server was not paused before. Of several pauses the one that
// ends last counts.
func (t *Table) RecordPause(serverID string, pause time.Duration, now time.Time) (until time.Time, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isNew = !now.Before(t.pausedUntil[serverID])
	if until = now.Add(min(pause, MaxPause)); until.After(t.pausedUntil[serverID]) {
		t.pausedUntil[serverID] = until
	}
	return t.pausedUntil[serverID], isNew
}

// Status returns what a server has stated.
func (t *Table) Status(p Process, now time.Time) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, leaving := t.leaving[p]
	if leaving {
		t.leaving[p] = now
	}
	return Status{Leaving: leaving, PausedUntil: t.pausedUntil[p.ServerID]}
}

// Sweep forgets pauses that have ended, and processes that were not used for a long time.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, usedAt := range t.leaving {
		if now.Sub(usedAt) > keepTime {
			delete(t.leaving, p)
		}
	}
	for id, until := range t.pausedUntil {
		if now.After(until) {
			delete(t.pausedUntil, id)
		}
	}
}
