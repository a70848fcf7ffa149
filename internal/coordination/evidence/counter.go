package evidence

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxCounters bounds the number of counters of one node.
	maxCounters = 4096
	// MaxSamples bounds the number of samples in one report, and thereby the
	// size of a report.
	MaxSamples = 16
)

// Outcome is the result of one request or attempt.
type Outcome struct {
	Failed bool
	// FirstToken and BetweenToken are 0 if they were not measured.
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Counter holds the counters of one node. It is safe for concurrent use.
type Counter struct {
	node  string
	epoch uint64

	mu       sync.Mutex
	counts   map[Key]*Counts
	sequence uint64
	// term is the term of the lease holder to which the last report was made.
	term string
	// ackedAnswers holds the number of answers in the last acknowledged sample of
	// each key, and lastSentSequence the sequence of the last report with the key.
	ackedAnswers     map[Key]uint64
	lastSentSequence map[Key]uint64
	// blockedMoves holds the moves whose new version is blocked on this node.
	blockedMoves map[string]bool
}

// NewCounter returns an empty counter. epoch must be higher than the epoch of
// every earlier start of the node.
func NewCounter(node string, epoch uint64) *Counter {
	return &Counter{
		node:             node,
		epoch:            epoch,
		counts:           map[Key]*Counts{},
		ackedAnswers:     map[Key]uint64{},
		lastSentSequence: map[Key]uint64{},
		blockedMoves:     map[string]bool{},
	}
}

// Record counts a result. It drops the results of new keys beyond maxCounters.
func (c *Counter) Record(key Key, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, ok := c.counts[key]
	if !ok {
		if len(c.counts) >= maxCounters {
			return
		}
		counts = &Counts{}
		c.counts[key] = counts
	}
	counts.Answers++
	if o.Failed {
		counts.Failures++
	}
	if o.FirstToken > 0 {
		counts.FirstToken.Add(o.FirstToken)
	}
	if o.BetweenTokens > 0 {
		counts.BetweenTokens.Add(o.BetweenTokens)
	}
}

// Block records that the new version of a version move is blocked on this node.
func (c *Counter) Block(move string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blockedMoves[move] = true
}

// IsBlocked reports whether the new version of the move is blocked on this node.
func (c *Counter) IsBlocked(move string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blockedMoves[move]
}

// Retain removes the counters and local blocks of all moves that are not in moves.
func (c *Counter) Retain(moves map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.counts {
		if !moves[key.Move] {
			delete(c.counts, key)
			delete(c.ackedAnswers, key)
			delete(c.lastSentSequence, key)
		}
	}
	for move := range c.blockedMoves {
		if !moves[move] {
			delete(c.blockedMoves, move)
		}
	}
}

// Samples returns all counters of the move in no particular order.
func (c *Counter) Samples(move string) []Sample {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Sample
	for key, counts := range c.counts {
		if key.Move == move {
			out = append(out, Sample{Key: key, Counts: *counts})
		}
	}
	return out
}

// Report returns the counters that the lease holder of the term has not
// acknowledged yet, those sent least recently first. All counters are sent again
// in a new term.
func (c *Counter) Report(term string) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term != c.term {
		c.term = term
		clear(c.ackedAnswers)
		clear(c.lastSentSequence)
	}
	c.sequence++
	r := Report{Node: c.node, Epoch: c.epoch, Sequence: c.sequence}
	for key, counts := range c.counts {
		if counts.Answers != c.ackedAnswers[key] {
			r.Samples = append(r.Samples, Sample{Key: key, Counts: *counts})
		}
	}
	sortSamples(r.Samples)
	slices.SortStableFunc(r.Samples, func(a, b Sample) int { return cmp.Compare(c.lastSentSequence[a.Key], c.lastSentSequence[b.Key]) })
	r.Samples = r.Samples[:min(len(r.Samples), MaxSamples)]
	for _, s := range r.Samples {
		c.lastSentSequence[s.Key] = c.sequence
	}
	for move := range c.blockedMoves {
		r.BlockedMoves = append(r.BlockedMoves, move)
	}
	slices.Sort(r.BlockedMoves)
	return r
}

// Acknowledge records that the lease holder of the term has received the report.
func (c *Counter) Acknowledge(term string, r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term != c.term {
		return
	}
	for _, s := range r.Samples {
		if _, ok := c.counts[s.Key]; ok {
			c.ackedAnswers[s.Key] = max(c.ackedAnswers[s.Key], s.Answers)
		}
	}
}

func sortSamples(samples []Sample) {
	slices.SortFunc(samples, func(a, b Sample) int {
		return cmp.Or(
			cmp.Compare(b.Step, a.Step),
			cmp.Compare(a.Move, b.Move),
			cmp.Compare(a.Route, b.Route),
			cmp.Compare(a.Version, b.Version),
		)
	})
}
