// Package shedding decides which connections of callers a process closes, and which of their
// requests it rejects, when callers make it hold more memory than it may use for them. It
// decides by what each caller holds and for how long it has made no progress, so that a caller
// that goes on, even slowly, does not pay for others that have stopped.
package shedding

import (
	"sync"
	"time"
)

const (
	// runningShare of the limit may be held by requests that run.
	runningShare = 0.5
	// ownerFactor bounds what the running requests of one owner hold to this multiple of what
	// is left for running requests. However much one owner sends, a part remains for others.
	ownerFactor = 2
	// smallBytes is the size up to which a request is bounded by runningShare only.
	smallBytes = 16 << 10
	// debtShare of the limit may be held by connections that were shed and whose memory was not
	// collected yet.
	debtShare = 0.5
	// minStall is the time without progress that is assumed at least.
	minStall = 10 * time.Millisecond
)

// Table holds what the connections of callers hold. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	limit   int64
	used    int64
	running int64
	// debt is what connections held that were shed since the last call of TakeDebt that
	// returned true.
	debt     int64
	holdings map[*Holding]struct{}
	owners   map[string]*owner
}

// owner is an address from which connections were opened.
type owner struct {
	running     int64
	connections int
}

// Holding is what one connection holds. Its fields are guarded by the table's lock.
type Holding struct {
	owner string
	// shed closes the connection. It must not block.
	shed func(held int64)
	// waiting is the memory of requests that have not started and of answers that were not
	// sent yet.
	waiting    int64
	progressAt time.Time
	isShed     bool
}

// NewTable returns a table that lets callers hold limit bytes.
func NewTable(limit int64) *Table {
	return &Table{limit: limit, holdings: map[*Holding]struct{}{}, owners: map[string]*owner{}}
}

// SetLimit changes the limit. It applies from the next change of a holding.
func (t *Table) SetLimit(limit int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = limit
}

// Used returns the bytes that callers hold, and the part of them that running requests hold.
func (t *Table) Used() (used, running int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.used, t.running
}

// Open adds a connection of owner. shed is called, with the bytes that it holds, if it has to
// be closed.
func (t *Table) Open(ownerName string, shed func(held int64), now time.Time) *Holding {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := &Holding{owner: ownerName, shed: shed, progressAt: now}
	t.holdings[h] = struct{}{}
	o := t.owners[ownerName]
	if o == nil {
		o = &owner{}
		t.owners[ownerName] = o
	}
	o.connections++
	return h
}

// Close removes a connection. What its running requests hold counts until Finish.
func (t *Table) Close(h *Holding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.holdings[h]; !ok {
		return
	}
	t.used -= h.waiting
	h.waiting = 0
	delete(t.holdings, h)
	t.owners[h.owner].connections--
	t.forget(h.owner)
}

// forget removes an owner that holds nothing. The caller must hold the lock.
func (t *Table) forget(name string) {
	if o := t.owners[name]; o.connections == 0 && o.running == 0 {
		delete(t.owners, name)
	}
}

// Wait sets what a connection's requests that have not started and its unsent answers hold.
// progressed states that bytes were received or sent since the last call. If callers hold more
// than the limit, Wait sheds connections, possibly this one.
func (t *Table) Wait(h *Holding, waiting int64, progressed bool, now time.Time) {
	for _, victim := range t.wait(h, waiting, progressed, now) {
		victim.holding.shed(victim.held)
	}
}

type victim struct {
	holding *Holding
	held    int64
}

func (t *Table) wait(h *Holding, waiting int64, progressed bool, now time.Time) []victim {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.holdings[h]; !ok || h.isShed {
		return nil
	}
	t.used += waiting - h.waiting
	h.waiting = waiting
	if progressed {
		h.progressAt = now
	}
	var victims []victim
	for t.used > t.limit {
		next := t.choose(now)
		if next == nil {
			break
		}
		victims = append(victims, victim{next, next.waiting})
		t.used -= next.waiting
		t.debt += next.waiting
		next.waiting, next.isShed = 0, true
	}
	return victims
}

// TakeDebt reports whether shed connections held so much that their memory has to be collected
// before more is received: debtShare of the limit since it last did.
func (t *Table) TakeDebt() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.debt <= int64(debtShare*float64(t.limit)) {
		return false
	}
	t.debt = 0
	return true
}

// weight is what a connection holds in vain: the bytes times the time without progress.
func (h *Holding) weight(now time.Time) float64 {
	return float64(h.waiting) * max(now.Sub(h.progressAt), minStall).Seconds()
}

// choose returns the connection to shed: the heaviest one of the owner whose connections weigh
// most together. It returns nil if none holds anything that can be shed.
func (t *Table) choose(now time.Time) *Holding {
	weights := map[string]float64{}
	heaviest := map[string]*Holding{}
	for h := range t.holdings {
		w := h.weight(now)
		if w == 0 {
			continue
		}
		weights[h.owner] += w
		if other := heaviest[h.owner]; other == nil || w > other.weight(now) {
			heaviest[h.owner] = h
		}
	}
	var chosen *Holding
	most := 0.0
	for name, w := range weights {
		if w > most {
			chosen, most = heaviest[name], w
		}
	}
	return chosen
}

// Start counts size bytes, which have counted as waiting before, as held by a request that
// starts to run, until Finish. It returns false and counts nothing if running requests hold too
// much; the request must then be rejected before it has run.
func (t *Table) Start(h *Holding, size int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.owners[h.owner]
	if o == nil {
		o = &owner{}
		t.owners[h.owner] = o
	}
	left := int64(runningShare*float64(t.limit)) - t.running - size
	isTooMuch := left < 0 || size > smallBytes && o.running+size > ownerFactor*left
	// A single request always runs.
	if isTooMuch && t.running > 0 {
		t.forget(h.owner)
		return false
	}
	moved := min(size, h.waiting)
	h.waiting -= moved
	t.used += size - moved
	t.running += size
	o.running += size
	return true
}

// Finish ends what Start has counted.
func (t *Table) Finish(h *Holding, size int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.used -= size
	t.running -= size
	t.owners[h.owner].running -= size
	t.forget(h.owner)
}
