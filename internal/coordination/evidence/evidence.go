// Package evidence counts the results of requests for the versions in a version
// move. Each entry node keeps counters that never decrease and reports them. The
// lease holder keeps the newest value of each node's counters, so lost,
// delayed and repeated reports do no harm, and a new lease holder collects the
// complete evidence again. Package moves evaluates the evidence.
package evidence

import (
	"math"
	"time"
)

// Buckets is the number of buckets of a latency histogram. The last one has no
// upper bound.
const Buckets = 72

const (
	// firstBucketBound is the upper bound of the first bucket.
	firstBucketBound = time.Millisecond
	// BucketsPerDoubling is the number of buckets over which the upper bound
	// doubles.
	BucketsPerDoubling = 4
)

// Histogram counts latencies in buckets whose bounds grow by a constant factor.
type Histogram [Buckets]uint64

// Bucket returns the bucket of a latency.
func Bucket(d time.Duration) int {
	if d <= firstBucketBound {
		return 0
	}
	i := int(math.Ceil(BucketsPerDoubling * math.Log2(float64(d)/float64(firstBucketBound))))
	return min(i, Buckets-1)
}

// Add counts one latency.
func (h *Histogram) Add(d time.Duration) {
	h[Bucket(d)]++
}

// Total returns the number of latencies.
func (h *Histogram) Total() uint64 {
	return h.Above(-1)
}

// Above returns the number of latencies in the buckets after the given one.
func (h *Histogram) Above(bucket int) uint64 {
	var n uint64
	for i := bucket + 1; i < Buckets; i++ {
		n += h[i]
	}
	return n
}

// Quantile returns the bucket that contains the quantile q, or false if the
// histogram is empty.
func (h *Histogram) Quantile(q float64) (int, bool) {
	total := h.Total()
	if total == 0 {
		return 0, false
	}
	rank := q * float64(total)
	var n uint64
	for i, c := range h {
		n += c
		if float64(n) >= rank {
			return i, true
		}
	}
	return Buckets - 1, true
}

// Key identifies one counter. Step is the number of steps that the version move
// had completed when the version of the request was chosen, so that counts for
// different traffic shares are never mixed.
type Key struct {
	Move    string
	Version string
	Route   string
	Step    int
}

// Counts holds the values of one counter since the start of the node.
type Counts struct {
	Answers  uint64
	Failures uint64
	// FirstToken and BetweenToken hold at most one latency for each answer.
	FirstToken    Histogram
	BetweenTokens Histogram
}

// Add adds other to c.
func (c *Counts) Add(other Counts) {
	c.Answers += other.Answers
	c.Failures += other.Failures
	for i := range c.FirstToken {
		c.FirstToken[i] += other.FirstToken[i]
		c.BetweenTokens[i] += other.BetweenTokens[i]
	}
}

// Since returns the increase from before, an earlier value of the same counter,
// to c.
func (c Counts) Since(before Counts) Counts {
	c.Answers -= min(before.Answers, c.Answers)
	c.Failures -= min(before.Failures, c.Failures)
	for i := range c.FirstToken {
		c.FirstToken[i] -= min(before.FirstToken[i], c.FirstToken[i])
		c.BetweenTokens[i] -= min(before.BetweenTokens[i], c.BetweenTokens[i])
	}
	return c
}

// Sample is the value of one counter.
type Sample struct {
	Key
	Counts
}

// Report is the message of one node to the lease holder. It holds the counters
// that have changed since their last acknowledged report.
type Report struct {
	Node string
	// Epoch increases with each start of the node.
	Epoch uint64
	// Sequence increases with each report of one epoch.
	Sequence uint64
	Samples  []Sample
	// BlockedMoves holds the names of the version moves whose new version is blocked on
	// this node.
	BlockedMoves []string
}
