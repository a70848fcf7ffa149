// Package usage counts the requests that started in each window of the wall clock,
// by workspace, over all entry VMs. Each VM reports its own counts, which never
// decrease, so lost, delayed and repeated messages do no harm. The package does no
// I/O: the caller sends and receives the messages.
package usage

import (
	"sync"
	"time"
)

const (
	// retainedWindows is the number of windows whose counts are retained. Each
	// window is reported a few seconds after its end.
	retainedWindows = 6
	// sourceTTL is the time after the last full report of a source at which the
	// source is removed and no longer counts as missing. The windows to which it
	// contributed are reported by then.
	sourceTTL = 20 * time.Second
)

// Counts holds numbers of requests by workspace.
type Counts map[string]int

// Source identifies one incarnation of an entry VM's process.
type Source struct {
	VM          string
	Incarnation uint64
}

// Table holds the counts of all VMs.
type Table struct {
	// mu is a leaf lock: no other lock is acquired while it is held.
	mu           sync.Mutex
	self         Source
	counts       map[int64]map[Source]Counts
	newestWindow int64
	// reportedAt holds the time of each source's last full report.
	reportedAt map[Source]time.Time
}

// NewTable returns a table without counts for the source self.
func NewTable(self Source) *Table {
	return &Table{self: self, counts: map[int64]map[Source]Counts{}, reportedAt: map[Source]time.Time{}}
}

// CountRequest counts a request of a workspace that started in a window.
func (t *Table) CountRequest(window int64, workspace string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countsOf(window, t.self)[workspace]++
}

func (t *Table) countsOf(window int64, s Source) Counts {
	if window > t.newestWindow {
		t.newestWindow = window
		for w := range t.counts {
			if w <= window-retainedWindows {
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

// OwnCounts returns a copy of this VM's counts, by window, for firstWindow and all
// later windows.
func (t *Table) OwnCounts(firstWindow int64) map[int64]Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[int64]Counts{}
	for w, bySource := range t.counts {
		c, ok := bySource[t.self]
		if w < firstWindow || !ok {
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

// Receive merges a peer's counts of a window. Windows far from the newest one are
// ignored, as a VM whose clock has jumped may report them.
func (t *Table) Receive(from Source, window int64, counts Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if from == t.self || t.newestWindow > 0 && (window > t.newestWindow+retainedWindows || window <= t.newestWindow-retainedWindows) {
		return
	}
	c := t.countsOf(window, from)
	for name, n := range counts {
		c[name] = max(c[name], n)
	}
}

// MarkReported records that a peer has reported all its counts.
func (t *Table) MarkReported(from Source, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportedAt[from] = now
	for s, at := range t.reportedAt {
		if now.Sub(at) > sourceTTL {
			delete(t.reportedAt, s)
		}
	}
}

// MissingSources returns the number of retained sources whose last full report is
// older than since.
func (t *Table) MissingSources(since, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	missingSources := 0
	for _, at := range t.reportedAt {
		if at.Before(since) && now.Sub(at) <= sourceTTL {
			missingSources++
		}
	}
	return missingSources
}

// Total returns a window's total counts over all VMs.
func (t *Table) Total(window int64) Counts {
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
