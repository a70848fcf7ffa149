// Package usage counts the requests that began in each window of the wall
// clock, by workspace, over all entry VMs. Each VM tells its own counts, which
// only grow, so that a message may be lost, late or repeated.
package usage

import (
	"sync"
	"time"
)

const (
	// keptWindows is the number of windows kept: each is reported a few seconds
	// after its end.
	keptWindows = 6
	// sourceMemory is how long a source that tells nothing is waited for: windows
	// that it had a part in are reported by then.
	sourceMemory = 20 * time.Second
)

// Counts is a number of requests by workspace.
type Counts map[string]int

// Source is one life of one entry VM's process.
type Source struct {
	VM          string
	Incarnation uint64
}

// Table holds the counts of all VMs.
type Table struct {
	// mu is a leaf: nothing else is locked while it is held.
	mu     sync.Mutex
	self   Source
	counts map[int64]map[Source]Counts
	newest int64
	// toldAt is when each source last told its counts.
	toldAt map[Source]time.Time
}

// NewTable returns a table without counts.
func NewTable(self Source) *Table {
	return &Table{self: self, counts: map[int64]map[Source]Counts{}, toldAt: map[Source]time.Time{}}
}

// Began counts a request of a workspace in a window.
func (t *Table) Began(window int64, workspace string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(window, t.self)[workspace]++
}

func (t *Table) of(window int64, s Source) Counts {
	if window > t.newest {
		t.newest = window
		for w := range t.counts {
			if w <= window-keptWindows {
				delete(t.counts, w)
			}
		}
	}
	bySource, ok := t.counts[window]
	if !ok {
		bySource = map[Source]Counts{}
		t.counts[window] = bySource
	}
	c, ok := bySource[s]
	if !ok {
		c = Counts{}
		bySource[s] = c
	}
	return c
}

// Own returns this VM's counts of the windows from first on.
func (t *Table) Own(first int64) map[int64]Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[int64]Counts{}
	for w, bySource := range t.counts {
		c, ok := bySource[t.self]
		if w < first || !ok {
			continue
		}
		own := Counts{}
		for name, n := range c {
			own[name] = n
		}
		out[w] = own
	}
	return out
}

// Hear takes a peer's counts of a window. Windows that are far off, as a VM
// whose clock has jumped may tell, are passed over.
func (t *Table) Hear(from Source, window int64, counts Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if from == t.self || t.newest > 0 && (window > t.newest+keptWindows || window <= t.newest-keptWindows) {
		return
	}
	c := t.of(window, from)
	for name, n := range counts {
		c[name] = max(c[name], n)
	}
}

// Told notes that a peer has told all its counts.
func (t *Table) Told(from Source, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.toldAt[from] = now
	for s, at := range t.toldAt {
		if now.Sub(at) > sourceMemory {
			delete(t.toldAt, s)
		}
	}
}

// Missing returns the number of sources that told their counts lately, but not
// since a moment.
func (t *Table) Missing(since, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	missing := 0
	for _, at := range t.toldAt {
		if at.Before(since) && now.Sub(at) <= sourceMemory {
			missing++
		}
	}
	return missing
}

// Sum returns a window's counts over all VMs.
func (t *Table) Sum(window int64) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := Counts{}
	for _, c := range t.counts[window] {
		for name, n := range c {
			sum[name] += n
		}
	}
	return sum
}
