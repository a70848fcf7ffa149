// Package announcements keeps what backend servers have stated about themselves in their
// answers to this VM: that they leave, and until when they want no requests. A statement
// binds this VM from then on, whatever a server's entry in the store says. A server leaves
// until it has a new process, which may have sent the answer before its entry arrived: it
// is one that started after the answered request was sent.
package announcements

import (
	"sync"
	"time"
)

const (
	// MaxBackoff bounds a backoff; a longer one is taken for an error of the server.
	MaxBackoff = 10 * time.Minute
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
	// BackoffUntil is the time before which the server wants no requests, zero if it has
	// not stated one.
	BackoffUntil time.Time
}

// MaySend reports whether the server may be sent a request.
func (s Status) MaySend(now time.Time) bool { return !s.Leaving && !now.Before(s.BackoffUntil) }

// Table holds the statements of all servers. It is safe for concurrent use; its lock is a
// leaf lock.
type Table struct {
	mu sync.Mutex
	// leaving and backoffUntil are by server ID.
	leaving      map[string]*leave
	backoffUntil map[string]time.Time
}

// leave is a server's statement that it leaves.
type leave struct {
	// lastStartMillis is the latest start of a process that the statement may be of.
	lastStartMillis int64
	usedAt          time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{leaving: map[string]*leave{}, backoffUntil: map[string]time.Time{}}
}

// RecordLeaving records that a server leaves, and reports whether that is new. p is the
// process that its entry names, and sentMillis the Unix time at which the request was sent
// whose answer states it.
func (t *Table) RecordLeaving(p Process, sentMillis int64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.leaving[p.ServerID]
	isNew := !ok || p.StartedAtMillis > l.lastStartMillis
	if !ok {
		l = &leave{}
		t.leaving[p.ServerID] = l
	}
	l.lastStartMillis, l.usedAt = max(l.lastStartMillis, p.StartedAtMillis, sentMillis), now
	return isNew
}

// RecordBackoff records that a server wants no requests for a while. It returns the end of
// the backoff, and whether the server had none before. Of several the last end counts.
func (t *Table) RecordBackoff(serverID string, backoff time.Duration, now time.Time) (until time.Time, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isNew = !now.Before(t.backoffUntil[serverID])
	if until = now.Add(min(backoff, MaxBackoff)); until.After(t.backoffUntil[serverID]) {
		t.backoffUntil[serverID] = until
	}
	return t.backoffUntil[serverID], isNew
}

// Status returns what a server has stated.
func (t *Table) Status(p Process, now time.Time) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Status{BackoffUntil: t.backoffUntil[p.ServerID]}
	if l, ok := t.leaving[p.ServerID]; ok {
		l.usedAt = now
		s.Leaving = p.StartedAtMillis <= l.lastStartMillis
	}
	return s
}

// Sweep forgets backoffs that have ended, and leaving servers that were not used for a long
// time.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.leaving {
		if now.Sub(l.usedAt) > keepTime {
			delete(t.leaving, id)
		}
	}
	for id, until := range t.backoffUntil {
		if now.After(until) {
			delete(t.backoffUntil, id)
		}
	}
}
