// Package topicview keeps the newest record of each key of a topic of the platform's
// store. When the store comes back from a copy, in a new era, the copy lacks records or
// holds older ones. Their writers write them again, so what is known stays in force until
// then: a key that the copy lacks is not deleted, and a record that is older than the known
// one is not applied. After a stated time, keys that the store still lacks are deleted.
package topicview

import (
	"bytes"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/state/storelog"
)

// Record is the newest record of a key. A record without a value deletes the key.
type Record struct {
	Key      string            `json:"key"`
	Value    []byte            `json:"value,omitempty"`
	Position storelog.Position `json:"offset"`
}

// Change is a record that changes what is in force.
type Change struct {
	Record
	// Restored is true if the value was in force already and was written again in a new
	// era, at another position.
	Restored bool
}

// Version orders the values that one writer has written for a key.
type Version struct{ Major, Minor int64 }

// before reports whether v is an earlier version than o.
func (v Version) before(o Version) bool {
	return v.Major < o.Major || v.Major == o.Major && v.Minor < o.Minor
}

// Config configures a View.
type Config struct {
	// RestoreTime is the time after the first listing in a new era from which on keys
	// that the store lacks are deleted.
	RestoreTime time.Duration
	// Version returns the version of a value, and false if it states none.
	Version func(key string, value []byte) (Version, bool)
}

// View is the state of a topic as known to one VM. It is not safe for concurrent use.
type View struct {
	cfg     Config
	entries map[string]*entry
	// end is the position up to which the topic is known, and completeFrom the one from
	// which on every record has been read.
	end, completeFrom storelog.Position
	// pagesEra is the era of the records of a listing that was not complete.
	pagesEra uint64
	// restoreUntil is the end of the time in which writers write their records again,
	// zero outside of it.
	restoreUntil time.Time
}

type entry struct {
	// known is the record in force, and lastValue its value or, if it deletes the key,
	// the value before.
	known     Record
	lastValue []byte
	// carried is set if known was read in an earlier era and the store has not shown it
	// since. stored is then the record that the store has, nil if it has none.
	carried bool
	stored  *Record
}

// New returns a view that knows nothing.
func New(cfg Config) *View { return &View{cfg: cfg, entries: map[string]*entry{}} }

// End returns the position up to which the topic is known.
func (v *View) End() storelog.Position { return v.end }

// IsRestoring reports whether records of an earlier era are still awaited.
func (v *View) IsRestoring() bool { return !v.restoreUntil.IsZero() }

// ApplyListing applies the newest records of all keys as of end, and returns the changes. Listings of earlier eras are ignored.
func (v *View) ApplyListing(records []Record, end storelog.Position, now time.Time) []Change {
	known := max(v.end.Era(), v.pagesEra)
	if end.Era() < known {
		return nil
	}
	if end.Era() > known && len(v.entries) > 0 {
		v.beginEra(now)
	}
	var changes []Change
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
		changes = v.apply(changes, r, true)
	}
	for key, e := range v.entries {
		switch {
		case present[key]:
		case e.carried:
			e.stored = nil
		case len(e.known.Value) > 0 && e.known.Position+1 < end:
			changes = v.apply(changes, Record{Key: key, Position: end - 1}, false)
		}
	}
	v.end = max(v.end, end)
	v.completeFrom = max(v.completeFrom, end)
	return changes
}

// ApplyPage applies records of a listing that is not complete, if the view knows nothing of the
// topic yet, and returns the changes. The view's end stays: other records are still missing.
func (v *View) ApplyPage(records []Record) []Change {
	if v.end > 0 {
		return nil
	}
	var changes []Change
	for _, r := range records {
		v.pagesEra = max(v.pagesEra, r.Position.Era())
		changes = v.apply(changes, r, true)
	}
	return changes
}

// ApplyRecords applies the records between the view's end and end. Records of another era
// than the view's are ignored.
func (v *View) ApplyRecords(records []Record, end storelog.Position) []Change {
	if end.Era() != v.end.Era() {
		return nil
	}
	var changes []Change
	for _, r := range records {
		changes = v.apply(changes, r, false)
	}
	v.end = max(v.end, end)
	return changes
}

// Postpone restarts the time in which writers write their records again, as they can't
// while the store is away.
func (v *View) Postpone(now time.Time) {
	if v.IsRestoring() {
		v.restoreUntil = now.Add(v.cfg.RestoreTime)
	}
}

// Expire ends the time of restoration once it has passed. It returns the changes: keys
// that the store lacks are deleted, and records that state no version become those that the
// store has.
func (v *View) Expire(now time.Time) []Change {
	if !v.IsRestoring() || now.Before(v.restoreUntil) {
		return nil
	}
	v.restoreUntil = time.Time{}
	var changes []Change
	for key, e := range v.entries {
		switch {
		case !e.carried:
		case e.stored == nil:
			changes = v.set(changes, e, Record{Key: key, Position: max(v.end, 1) - 1})
		case !v.isComparable(e, *e.stored):
			changes = v.set(changes, e, *e.stored)
		}
	}
	return changes
}

// Since returns the records of the store that changed at or after from. full is true if
// they are all that the store has, because from is of another era or the view has not read
// every record since.
func (v *View) Since(from storelog.Position) (records []Record, full bool) {
	full = from.Era() != v.end.Era() || from < v.completeFrom
	for _, e := range v.entries {
		r := e.known
		if e.carried {
			if e.stored == nil {
				continue
			}
			r = *e.stored
		}
		if full && len(r.Value) > 0 || !full && r.Position >= from {
			records = append(records, r)
		}
	}
	return records, full
}

// beginEra keeps what is known for RestoreTime.
func (v *View) beginEra(now time.Time) {
	v.restoreUntil = now.Add(v.cfg.RestoreTime)
	for _, e := range v.entries {
		e.carried, e.stored = true, nil
	}
}

// apply applies a record and appends it to changes if it changes what is in force.
// isListed is true for a record of a listing, which may be older than the known one.
func (v *View) apply(changes []Change, r Record, isListed bool) []Change {
	e, known := v.entries[r.Key]
	switch {
	case !known:
		e = &entry{}
		v.entries[r.Key] = e
	case !e.carried && r.Position <= e.known.Position:
		return changes
	case e.carried && r.Position.Era() <= e.known.Position.Era():
		return changes
	case e.carried && bytes.Equal(r.Value, e.known.Value):
		e.known.Position, e.carried, e.stored = r.Position, false, nil
		return append(changes, Change{Record: r, Restored: true})
	case e.carried && v.isOlder(e, r, isListed):
		e.stored = &r
		return changes
	}
	return v.set(changes, e, r)
}

// set puts a record in force.
func (v *View) set(changes []Change, e *entry, r Record) []Change {
	wasPresent := len(e.known.Value) > 0
	e.known, e.carried, e.stored = r, false, nil
	if len(r.Value) > 0 {
		e.lastValue = r.Value
	}
	if len(r.Value) == 0 && !wasPresent {
		return changes
	}
	return append(changes, Change{Record: r})
}

// isOlder reports whether a record that the store has in a new era must not replace the
// known one. Deletions come from the new era. A value without a version is taken for an
// older one only if it was listed.
func (v *View) isOlder(e *entry, r Record, isListed bool) bool {
	if len(r.Value) == 0 {
		return false
	}
	known, ok := v.cfg.Version(r.Key, e.lastValue)
	read, readOK := v.cfg.Version(r.Key, r.Value)
	if !ok || !readOK {
		return isListed
	}
	isDeleted := len(e.known.Value) == 0
	return read.before(known) || isDeleted && read == known
}

// isComparable reports whether the versions of the known and of a read record tell which
// one is older.
func (v *View) isComparable(e *entry, r Record) bool {
	_, ok := v.cfg.Version(r.Key, e.lastValue)
	_, readOK := v.cfg.Version(r.Key, r.Value)
	return ok && readOK
}
