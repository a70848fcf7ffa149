// Package cacheview keeps a bounded view of the prompt blocks in the prefix caches
// of the engines. It is fed by the engines' cache events, which arrive with delays
// and gaps, and by this node's own attempts. The more events of an engine are
// missing, the less the view of its cache is trusted. The package does no I/O: the
// caller reads the events.
package cacheview

import (
	"sync"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
)

const (
	// DefaultBlocks is the default maximum number of blocks in a view.
	DefaultBlocks = 1 << 16
	// MaxHolders bounds the engines recorded for one block.
	MaxHolders = 4
	// MaxMatches bounds the engines that a lookup returns.
	MaxMatches = 4

	// lossWeight is the weight of the newest batch of events in the loss ratio.
	lossWeight = 0.2
	// cacheTurnover is the number of events after which a cache may have replaced
	// all its blocks.
	cacheTurnover = 4096
	// maxMissingBlocks bounds the consecutive blocks that may be missing from a
	// match on an engine with lost events: the loss of the event is more likely
	// than the absence of the block.
	maxMissingBlocks = 8
	// lossThreshold is the loss ratio above which missing blocks are tolerated.
	lossThreshold = 0.02
	// minTrust is the lowest trust in a block that was not reported as evicted.
	minTrust = 0.05
)

// holder is a server that holds a block.
type holder struct {
	// server is an index into View.servers.
	server uint32
	// lastHeldSequence is the low half of the server's event sequence at which the
	// block was last known to be held.
	lastHeldSequence uint32
}

// entry lists the holders of a block.
type entry struct {
	holders [MaxHolders]holder
	count   uint8
	// referenced is set by a lookup. It gives the entry a second chance before it
	// is replaced.
	referenced bool
}

// server is an engine in the view. Its id is empty once Retain has removed it.
type server struct {
	id string
	// nextSequence is the sequence number of the next expected event.
	nextSequence uint64
	// lossRatio is the recent share of lost events, 0 to 1.
	lossRatio float64
}

// Match is an engine that holds the leading blocks of a prompt.
type Match struct {
	Server string
	Blocks int
	// Trust is the estimated probability that the blocks are still held, 0 to 1.
	Trust float64
}

// Matches is the result of a lookup, stored by value to avoid allocations.
type Matches struct {
	list  [MaxMatches]Match
	count int
}

// All returns the matches. The slice is valid until the next lookup into m.
func (m *Matches) All() []Match {
	return m.list[:m.count]
}

// ForServer returns the match of a server, or false if there is none.
func (m *Matches) ForServer(id string) (Match, bool) {
	for _, x := range m.All() {
		if x.Server == id {
			return x, true
		}
	}
	return Match{}, false
}

// View is the view of the caches of all engines. It is safe for concurrent use.
type View struct {
	maxBlocks int

	// mu is a leaf lock: no other lock is acquired while it is held.
	mu     sync.Mutex
	blocks map[uint64]*entry
	// ring and clockHand are the state of the clock algorithm that selects the
	// entries to replace.
	ring      []uint64
	clockHand int
	servers   []server
	// indexByID maps the ids of engines to their indexes in servers.
	indexByID map[string]uint32
	// lossy is set once the loss ratio of any engine has exceeded lossThreshold.
	lossy bool
}

// New returns an empty view of at most maxBlocks blocks.
func New(maxBlocks int) *View {
	return &View{maxBlocks: maxBlocks, blocks: map[uint64]*entry{}, indexByID: map[string]uint32{}}
}

// NextSequence returns the sequence number of the next event to read from an engine.
func (v *View) NextSequence(id string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.servers[v.serverIndex(id)].nextSequence
}

// Apply applies an engine's events, which must be in the order of their sequences.
// Events that were already applied are ignored.
func (v *View) Apply(id string, events []ports.CacheEvent) {
	if len(events) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	idx := v.serverIndex(id)
	s := &v.servers[idx]
	v.updateLoss(s, events)
	for _, ev := range events {
		if ev.Sequence < s.nextSequence {
			continue
		}
		s.nextSequence = ev.Sequence + 1
		if ev.Evicted {
			v.removeHolder(ev.Block, idx)
			continue
		}
		v.addHolder(ev.Block, idx)
	}
}

// updateLoss updates a server's loss ratio from the number of events received and
// the range of their sequences.
func (v *View) updateLoss(s *server, events []ports.CacheEvent) {
	lastSequence := events[len(events)-1].Sequence
	if s.nextSequence == 0 {
		s.nextSequence = events[0].Sequence
	}
	if lastSequence < s.nextSequence {
		return
	}
	span := float64(lastSequence - s.nextSequence + 1)
	receivedEvents := 0.0
	for _, ev := range events {
		if ev.Sequence >= s.nextSequence {
			receivedEvents++
		}
	}
	s.lossRatio += (1 - receivedEvents/span - s.lossRatio) * lossWeight
	v.lossy = v.lossy || s.lossRatio > lossThreshold
}

// RecordHeld records that an engine will hold blocks because of an attempt of this
// node.
func (v *View) RecordHeld(id string, blocks []uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	idx := v.serverIndex(id)
	for _, b := range blocks {
		v.addHolder(b, idx)
	}
}

// Retain removes the engines for which keep returns false, including those that a
// delayed answer has added again. Their event sequences may start again.
func (v *View) Retain(keep func(id string) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, idx := range v.indexByID {
		if !keep(id) {
			delete(v.indexByID, id)
			v.servers[idx] = server{}
		}
	}
}

// LossRatio returns the recent share of an engine's events that were lost.
func (v *View) LossRatio(id string) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.servers[v.serverIndex(id)].lossRatio
}

// Len returns the number of blocks in the view.
func (v *View) Len() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.blocks)
}

// Lookup finds up to MaxMatches engines that hold leading blocks of a prompt and
// stores them in out with the number of these blocks.
func (v *View) Lookup(blocks []uint64, out *Matches) {
	v.mu.Lock()
	defer v.mu.Unlock()
	out.count = 0
	var found [MaxMatches]uint32
	longestMatch := 0
	for i, b := range blocks {
		if e, ok := v.blocks[b]; ok {
			e.referenced = true
			longestMatch = max(longestMatch, v.extendMatches(e, i, &found, out))
		}
		if i >= longestMatch && !v.lossy {
			return
		}
		if i >= longestMatch+maxMissingBlocks {
			return
		}
	}
}

// extendMatches extends the matches of the engines that hold block i, and returns
// the largest number of blocks among these matches.
func (v *View) extendMatches(e *entry, i int, found *[MaxMatches]uint32, out *Matches) int {
	longestMatch := 0
	for _, h := range e.holders[:e.count] {
		s := &v.servers[h.server]
		if s.id == "" {
			continue
		}
		idx := indexOf(found[:out.count], h.server)
		toleratedMissing := 0
		if s.lossRatio > lossThreshold {
			toleratedMissing = maxMissingBlocks
		}
		if idx < 0 {
			if i > toleratedMissing || out.count == MaxMatches {
				continue
			}
			idx = out.count
			out.count++
			found[idx] = h.server
			out.list[idx] = Match{Server: s.id, Trust: 1}
		}
		m := &out.list[idx]
		if i-m.Blocks <= toleratedMissing {
			m.Blocks = i + 1
			m.Trust = min(m.Trust, trust(s, h))
		}
		longestMatch = max(longestMatch, m.Blocks)
	}
	return longestMatch
}

// indexOf returns the index of x in list, or -1.
func indexOf(list []uint32, x uint32) int {
	for i, y := range list {
		if x == y {
			return i
		}
	}
	return -1
}

// trust returns the estimated probability that a server still holds a block. It
// falls with the share of lost events and with the number of events since the
// block was last known to be held, as these bound the evictions that may have been
// missed.
func trust(s *server, h holder) float64 {
	age := float64(uint32(s.nextSequence) - h.lastHeldSequence)
	return max(1-s.lossRatio*min(age/cacheTurnover, 1), minTrust)
}

// serverIndex returns the index of a server, adding it if necessary.
func (v *View) serverIndex(id string) uint32 {
	if idx, ok := v.indexByID[id]; ok {
		return idx
	}
	idx := uint32(len(v.servers))
	for i := range v.servers {
		if v.servers[i].id == "" && v.unreferenced(uint32(i)) {
			idx = uint32(i)
			break
		}
	}
	if int(idx) == len(v.servers) {
		v.servers = append(v.servers, server{})
	}
	v.servers[idx] = server{id: id}
	v.indexByID[id] = idx
	return idx
}

// unreferenced reports whether no block refers to the server at an index.
func (v *View) unreferenced(idx uint32) bool {
	for _, e := range v.blocks {
		for _, h := range e.holders[:e.count] {
			if h.server == idx {
				return false
			}
		}
	}
	return true
}

// addHolder records that the server at an index holds a block.
func (v *View) addHolder(block uint64, idx uint32) {
	e, ok := v.blocks[block]
	if !ok {
		e = v.insert(block)
	}
	e.holders[v.holderPosition(e, idx)] = holder{server: idx, lastHeldSequence: uint32(v.servers[idx].nextSequence)}
}

// holderPosition returns the position for a server among an entry's holders, so
// that each server has only one: its present position, that of a removed server,
// a new one, or that of the holder with the lowest lastHeldSequence.
func (v *View) holderPosition(e *entry, idx uint32) int {
	vacant, oldest := -1, 0
	for i, h := range e.holders[:e.count] {
		switch {
		case h.server == idx:
			return i
		case v.servers[h.server].id == "":
			vacant = i
		case h.lastHeldSequence < e.holders[oldest].lastHeldSequence:
			oldest = i
		}
	}
	switch {
	case vacant >= 0:
		return vacant
	case e.count < MaxHolders:
		e.count++
		return int(e.count) - 1
	}
	return oldest
}

// removeHolder removes the server at an index from the holders of a block.
func (v *View) removeHolder(block uint64, idx uint32) {
	e, ok := v.blocks[block]
	if !ok {
		return
	}
	for i := range e.holders[:e.count] {
		if e.holders[i].server == idx {
			e.count--
			e.holders[i] = e.holders[e.count]
			return
		}
	}
}

// insert adds an entry for a block. If the view is full, the entry replaces one
// without holders or without recent use.
func (v *View) insert(block uint64) *entry {
	if len(v.ring) < v.maxBlocks {
		e := &entry{}
		v.blocks[block] = e
		v.ring = append(v.ring, block)
		return e
	}
	for {
		old := v.blocks[v.ring[v.clockHand]]
		if old.count > 0 && old.referenced {
			old.referenced = false
			v.clockHand = (v.clockHand + 1) % v.maxBlocks
			continue
		}
		delete(v.blocks, v.ring[v.clockHand])
		*old = entry{}
		v.blocks[block] = old
		v.ring[v.clockHand] = block
		v.clockHand = (v.clockHand + 1) % v.maxBlocks
		return old
	}
}
