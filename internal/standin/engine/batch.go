package engine

import (
	"container/list"
	"slices"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/state/prefix"
)

// CostModel sets the simulated duration of a batch's steps and the batch's
// limits.
type CostModel struct {
	// StepBase is the fixed part of a step's duration.
	StepBase time.Duration
	// StepPerSequence is added for each running sequence.
	StepPerSequence time.Duration
	// PrefillPerToken is added for each prompt token computed in the step.
	PrefillPerToken time.Duration
	// PrefillChunk limits the prompt tokens computed in one step.
	PrefillChunk int
	// Slots limits the running sequences.
	Slots int
	// CacheBlocks limits the blocks in the prefix cache.
	CacheBlocks int
}

// Sequence is one request in a batch.
type Sequence struct {
	Attempt  string
	Model    string
	Route    string
	Priority int
	// InitialTokens holds the tokens of the prompt, and those of the answer that were
	// generated before the sequence was added.
	InitialTokens []string
	// NextToken is the index of the next token to generate.
	NextToken int
	// TotalTokens is the length of the complete answer.
	TotalTokens int
	// StepsPerToken is the number of decode steps per token, at least 1.
	StepsPerToken int

	blocks []uint64
	// remainingPrefill counts the prompt tokens still to be computed.
	remainingPrefill int
	// unreportedPrefill is the number of prefilled tokens that the next emission
	// reports.
	unreportedPrefill int
	// stepsOnToken counts the decode steps spent on the current token.
	stepsOnToken int
	arrival      uint64
}

// Emission is the token that a step produced for one sequence.
type Emission struct {
	Sequence *Sequence
	// Offset is the index of the token in the complete answer.
	Offset int
	// Prefilled is the number of prompt tokens computed for the sequence. Only
	// its first emission carries it.
	Prefilled int
	Done      bool
}

// Batch simulates continuous batching with a prefix cache. It uses no clock:
// Step returns the step's duration, and the caller waits for it. A Batch is
// not safe for concurrent use.
type Batch struct {
	cost        CostModel
	running     []*Sequence
	waiting     []*Sequence
	lastArrival uint64
	cache       *cache
}

// NewBatch returns an empty batch.
func NewBatch(cost CostModel) *Batch {
	return &Batch{cost: cost, cache: newCache(cost.CacheBlocks)}
}

// Add queues a sequence. Sequences with a lower Priority value run first, those
// with the same value in order of arrival.
func (b *Batch) Add(s *Sequence) {
	b.lastArrival++
	s.arrival = b.lastArrival
	s.StepsPerToken = max(s.StepsPerToken, 1)
	s.blocks = prefix.Blocks(s.InitialTokens)
	b.waiting = append(b.waiting, s)
	slices.SortStableFunc(b.waiting, func(a, c *Sequence) int {
		if a.Priority != c.Priority {
			return a.Priority - c.Priority
		}
		return int(a.arrival) - int(c.arrival)
	})
}

// Remove removes an attempt's running or waiting sequence and returns it, or
// nil if there is none.
func (b *Batch) Remove(attempt string) *Sequence {
	match := func(s *Sequence) bool { return s.Attempt == attempt }
	for _, queue := range []*[]*Sequence{&b.running, &b.waiting} {
		if i := slices.IndexFunc(*queue, match); i >= 0 {
			s := (*queue)[i]
			*queue = slices.Delete(*queue, i, i+1)
			return s
		}
	}
	return nil
}

// FindRunning returns the running sequence of an attempt, or nil if there is
// none.
func (b *Batch) FindRunning(attempt string) *Sequence {
	for _, s := range b.running {
		if s.Attempt == attempt {
			return s
		}
	}
	return nil
}

// Idle reports whether the batch has neither running nor waiting sequences.
func (b *Batch) Idle() bool {
	return len(b.running) == 0 && len(b.waiting) == 0
}

// Load returns the batch's current load.
func (b *Batch) Load() ports.LoadReport {
	r := ports.LoadReport{Running: len(b.running), Waiting: len(b.waiting), Slots: b.cost.Slots}
	for _, s := range b.running {
		r.QueuedPrefill += s.remainingPrefill
	}
	for _, s := range b.waiting {
		r.QueuedPrefill += len(s.InitialTokens)
	}
	return r
}

// ImportPrefix adds the complete blocks of tokens to the prefix cache.
func (b *Batch) ImportPrefix(tokens []string) {
	for _, block := range prefix.Blocks(tokens) {
		b.cache.put(block)
	}
}

// TakeCacheEvents returns the cache events since the last call. Events beyond
// maxPendingEvents are dropped.
func (b *Batch) TakeCacheEvents() []ports.CacheEvent {
	return b.cache.takeEvents()
}

// Step runs one iteration and returns its duration and the tokens produced.
func (b *Batch) Step() (time.Duration, []Emission) {
	b.admit()
	budget := b.cost.PrefillChunk
	duration := b.cost.StepBase + time.Duration(len(b.running))*b.cost.StepPerSequence
	var out []Emission
	for _, s := range b.running {
		if s.remainingPrefill > 0 {
			n := min(s.remainingPrefill, budget)
			s.remainingPrefill -= n
			budget -= n
			duration += time.Duration(n) * b.cost.PrefillPerToken
			if s.remainingPrefill > 0 {
				continue
			}
		}
		if e, ok := s.decode(); ok {
			out = append(out, e)
		}
	}
	b.finishStep(out)
	return duration, out
}

func (b *Batch) admit() {
	for len(b.running) < b.cost.Slots && len(b.waiting) > 0 {
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		cached := b.cache.touchPrefix(s.blocks) * prefix.BlockTokens
		s.remainingPrefill = max(len(s.InitialTokens)-cached, 1)
		s.unreportedPrefill = s.remainingPrefill
		b.running = append(b.running, s)
	}
}

func (s *Sequence) decode() (Emission, bool) {
	s.stepsOnToken++
	if s.stepsOnToken < s.StepsPerToken {
		return Emission{}, false
	}
	s.stepsOnToken = 0
	e := Emission{Sequence: s, Offset: s.NextToken, Prefilled: s.unreportedPrefill}
	s.unreportedPrefill = 0
	s.NextToken++
	e.Done = s.NextToken >= s.TotalTokens
	return e, true
}

func (b *Batch) finishStep(out []Emission) {
	for _, e := range out {
		if e.Prefilled > 0 {
			for _, block := range e.Sequence.blocks {
				b.cache.put(block)
			}
		}
		if e.Done {
			b.Remove(e.Sequence.Attempt)
		}
	}
}

// cache is a set of blocks with a size limit and least-recently-used eviction.
type cache struct {
	capacity     int
	lru          *list.List
	elements     map[uint64]*list.Element
	lastSequence uint64
	events       []ports.CacheEvent
}

const maxPendingEvents = 10_000

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, lru: list.New(), elements: map[uint64]*list.Element{}}
}

// touchPrefix returns the number of leading blocks that are cached, and marks
// these as recently used.
func (c *cache) touchPrefix(blocks []uint64) int {
	for i, block := range blocks {
		el, ok := c.elements[block]
		if !ok {
			return i
		}
		c.lru.MoveToFront(el)
	}
	return len(blocks)
}

func (c *cache) put(block uint64) {
	if el, ok := c.elements[block]; ok {
		c.lru.MoveToFront(el)
		return
	}
	c.elements[block] = c.lru.PushFront(block)
	c.addEvent(block, false)
	for len(c.elements) > c.capacity {
		last := c.lru.Back()
		evicted := c.lru.Remove(last).(uint64)
		delete(c.elements, evicted)
		c.addEvent(evicted, true)
	}
}

func (c *cache) addEvent(block uint64, evicted bool) {
	c.lastSequence++
	if len(c.events) < maxPendingEvents {
		c.events = append(c.events, ports.CacheEvent{Sequence: c.lastSequence, Block: block, Evicted: evicted})
	}
}

func (c *cache) takeEvents() []ports.CacheEvent {
	events := c.events
	c.events = nil
	return events
}
