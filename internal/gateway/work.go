package gateway

import (
	"maps"
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/cost"
	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
)

// workMeter sums what the orders of servers follow, for this node and its peers: for each
// service the engine time in milliseconds that its requests need, the answers that have begun,
// and those of them that began late. Digests carry all three as totals; peers that know of the
// first only pass the others on.
type workMeter struct {
	mu           sync.Mutex
	own          map[string]float64
	lastReported map[string]map[uint32]uint64
	// peers is what peers have reported, by the hash of the total's name. It never
	// decreases.
	peers map[uint32]uint64
}

// Names of the totals of a service's answers. That of its work is the service's name.
func answeredTotal(service string) string { return service + "\x00answered" }

func lateTotal(service string) string { return service + "\x00late" }

func newWorkMeter() *workMeter {
	return &workMeter{own: map[string]float64{}, lastReported: map[string]map[uint32]uint64{}, peers: map[uint32]uint64{}}
}

// add adds an amount to a total.
func (m *workMeter) add(name string, amount float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own[name] += amount
}

func (m *workMeter) ownTotals() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.own)
}

// update adds the growth of the totals reported under a key since the last
// report.
func (m *workMeter) update(key string, work []gossip.Work) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last, ok := m.lastReported[key]
	if !ok {
		last = map[uint32]uint64{}
		m.lastReported[key] = last
	}
	for _, w := range work {
		if before, known := last[w.Service]; known && w.Millis > before {
			m.peers[w.Service] += w.Millis - before
		}
		last[w.Service] = w.Millis
	}
}

// total returns a total over all nodes. It doesn't start at zero: only differences between two
// values are meaningful.
func (m *workMeter) total(name string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.own[name] + float64(m.peers[shortHash(name)])
}

// maxPrefillShare is the share of a route's latency target that the prefill of a request's
// own prompt may take for its lateness to tell anything about the load.
const maxPrefillShare = 0.5

// countFirstToken counts the first token of an answer, by whether it was in time. Requests that
// more servers would not have made faster don't count: those that were sent to several servers,
// and those whose own prompt takes too long.
func (q *request) countFirstToken(now time.Time) {
	target := q.route.LatencyTarget
	if target <= 0 || q.sentCount != 1 || q.moves > 0 {
		return
	}
	if prefill := q.node.rates(q.service, now).PrefillMillis(q.uncachedTokens); prefill > maxPrefillShare*cost.Millis(target) {
		return
	}
	q.node.work.add(answeredTotal(q.service), 1)
	if now.Sub(q.startedAt) > target {
		q.node.work.add(lateTotal(q.service), 1)
	}
}
