package policybench

import (
	"container/heap"
	"time"
)

// event is a function to call at a virtual time. Events of the same time run in
// the order of sequence, so that a run is deterministic.
type event struct {
	at       time.Time
	sequence uint64
	do       func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// virtualClock runs scheduled events in the order of their virtual times.
type virtualClock struct {
	now          time.Time
	events       eventHeap
	lastSequence uint64
}

// epoch is the virtual time at the start of each run.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newVirtualClock() *virtualClock {
	return &virtualClock{now: epoch}
}

func (c *virtualClock) after(d time.Duration, do func()) {
	c.lastSequence++
	heap.Push(&c.events, event{at: c.now.Add(d), sequence: c.lastSequence, do: do})
}

// every calls do after offset and then once per period.
func (c *virtualClock) every(offset, period time.Duration, do func()) {
	c.after(offset, func() {
		do()
		c.every(period, period, do)
	})
}

// runUntil runs the events up to the time end after epoch, including those that
// these events schedule.
func (c *virtualClock) runUntil(end time.Duration) {
	limit := epoch.Add(end)
	for len(c.events) > 0 && !c.events[0].at.After(limit) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
}
