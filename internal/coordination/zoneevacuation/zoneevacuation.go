// Package zoneevacuation keeps the availability zones that the operator has evacuated: from
// its request until it takes the zone back, no request may be sent to a backend server there.
// It decides without any I/O.
package zoneevacuation

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Table holds the evacuated zones that a VM knows of. It is safe for concurrent use; its lock
// is a leaf lock.
type Table struct {
	mu sync.RWMutex
	// evacuated holds the zones that are evacuated at present, with what is known of each.
	evacuated map[string]*evacuation
	// takenBackAt holds the times at which this VM has learned that zones were taken back.
	takenBackAt map[string]time.Time
}

type evacuation struct {
	learnedAt time.Time
	// isEmpty is set once no request of this VM runs in the zone.
	isEmpty bool
}

// NewTable returns a table in which no zone is evacuated.
func NewTable() *Table {
	return &Table{evacuated: map[string]*evacuation{}, takenBackAt: map[string]time.Time{}}
}

// Evacuate records that a zone is evacuated, and reports whether that is new.
func (t *Table) Evacuate(zone string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.evacuated[zone] != nil {
		return false
	}
	t.evacuated[zone] = &evacuation{learnedAt: now}
	return true
}

// TakeBack records that a zone is used again. It returns the time for which it was evacuated
// as far as this VM knows, and false if it was not.
func (t *Table) TakeBack(zone string, now time.Time) (after time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.evacuated[zone]
	if e == nil {
		return 0, false
	}
	delete(t.evacuated, zone)
	t.takenBackAt[zone] = now
	return now.Sub(e.learnedAt), true
}

// MaySend reports whether a request may be sent to a backend server of a zone.
func (t *Table) MaySend(zone string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.evacuated[zone] == nil
}

// Evacuated returns the evacuated zones in the order of their names.
func (t *Table) Evacuated() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Sorted(maps.Keys(t.evacuated))
}

// RecordEmpty records that no request of this VM runs in an evacuated zone any more. It returns
// the time since the VM has learned of the evacuation, and false if that is known already.
func (t *Table) RecordEmpty(zone string, now time.Time) (after time.Duration, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.evacuated[zone]
	if e == nil || e.isEmpty {
		return 0, false
	}
	e.isEmpty = true
	return now.Sub(e.learnedAt), true
}

// WasTakenBackWithin reports whether a zone was taken back at most the given time ago.
func (t *Table) WasTakenBackWithin(age time.Duration, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, at := range t.takenBackAt {
		if now.Sub(at) <= age {
			return true
		}
	}
	return false
}
