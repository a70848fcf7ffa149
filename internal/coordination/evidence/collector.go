package evidence

import (
	"slices"
	"sync"
	"time"
)

// Collector holds the newest counters of each node. The lease holder uses it. It
// is safe for concurrent use.
type Collector struct {
	mu    sync.Mutex
	nodes map[string]*nodeCounts
}

type nodeCounts struct {
	epoch        uint64
	lastSequence uint64
	lastReportAt time.Time
	counts       map[Key]sequencedCounts
	// earlierEpochs holds the final counts of the node's earlier epochs.
	earlierEpochs map[Key]Counts
	blockedMoves  []string
}

type sequencedCounts struct {
	sequence uint64
	counts   Counts
}

// NewCollector returns a collector without reports.
func NewCollector() *Collector {
	return &Collector{nodes: map[string]*nodeCounts{}}
}

// Receive merges a report that was received at now. Reports may be lost, repeated
// and reordered.
func (g *Collector) Receive(r Report, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n, ok := g.nodes[r.Node]
	if !ok {
		n = &nodeCounts{epoch: r.Epoch, counts: map[Key]sequencedCounts{}, earlierEpochs: map[Key]Counts{}}
		g.nodes[r.Node] = n
	}
	if r.Epoch < n.epoch {
		return
	}
	if r.Epoch > n.epoch {
		n.startEpoch(r.Epoch)
	}
	n.lastReportAt = now
	if r.Sequence > n.lastSequence {
		n.lastSequence, n.blockedMoves = r.Sequence, r.BlockedMoves
	}
	for _, s := range r.Samples {
		if r.Sequence > n.counts[s.Key].sequence {
			n.counts[s.Key] = sequencedCounts{sequence: r.Sequence, counts: s.Counts}
		}
	}
}

func (n *nodeCounts) startEpoch(epoch uint64) {
	for key, c := range n.counts {
		sum := n.earlierEpochs[key]
		sum.Add(c.counts)
		n.earlierEpochs[key] = sum
	}
	n.epoch, n.lastSequence = epoch, 0
	n.counts = map[Key]sequencedCounts{}
	n.blockedMoves = nil
}

// Totals returns the sum over all nodes of each counter of the move, in no
// particular order.
func (g *Collector) Totals(move string) []Sample {
	g.mu.Lock()
	defer g.mu.Unlock()
	sums := map[Key]Counts{}
	for _, n := range g.nodes {
		for key, c := range n.counts {
			if key.Move == move {
				sums[key] = sumOf(sums[key], c.counts)
			}
		}
		for key, c := range n.earlierEpochs {
			if key.Move == move {
				sums[key] = sumOf(sums[key], c)
			}
		}
	}
	out := make([]Sample, 0, len(sums))
	for key, c := range sums {
		out = append(out, Sample{Key: key, Counts: c})
	}
	return out
}

func sumOf(a, b Counts) Counts {
	a.Add(b)
	return a
}

// BlockedBy returns the sorted names of the nodes on which the move's new version
// is blocked.
func (g *Collector) BlockedBy(move string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var nodes []string
	for name, n := range g.nodes {
		if slices.Contains(n.blockedMoves, move) {
			nodes = append(nodes, name)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// CountReportedSince returns the number of nodes whose last report was received at
// or after since.
func (g *Collector) CountReportedSince(since time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	reportedNodes := 0
	for _, n := range g.nodes {
		if !n.lastReportAt.Before(since) {
			reportedNodes++
		}
	}
	return reportedNodes
}

// nodeTTL is the time after the last report of a node without counters at which
// Retain removes the node.
const nodeTTL = 10 * time.Minute

// Retain removes the counters of all moves that are not in moves, and the nodes
// that have no counters and have not reported for nodeTTL.
func (g *Collector) Retain(moves map[string]bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, n := range g.nodes {
		for key := range n.counts {
			if !moves[key.Move] {
				delete(n.counts, key)
			}
		}
		for key := range n.earlierEpochs {
			if !moves[key.Move] {
				delete(n.earlierEpochs, key)
			}
		}
		if len(n.counts)+len(n.earlierEpochs) == 0 && now.Sub(n.lastReportAt) > nodeTTL {
			delete(g.nodes, name)
		}
	}
}
