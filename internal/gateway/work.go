package gateway

import (
	"maps"
	"sync"

	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
)

// workMeter sums the engine time in milliseconds that requests need, by service,
// for this node and its peers.
type workMeter struct {
	mu           sync.Mutex
	ownMillis    map[string]float64
	lastReported map[string]map[uint32]uint64
	// peerMillis is the engine time that peers have reported, by service hash. It
	// never decreases.
	peerMillis map[uint32]uint64
}

func newWorkMeter() *workMeter {
	return &workMeter{ownMillis: map[string]float64{}, lastReported: map[string]map[uint32]uint64{}, peerMillis: map[uint32]uint64{}}
}

func (m *workMeter) add(service string, millis float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownMillis[service] += millis
}

func (m *workMeter) ownTotals() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.ownMillis)
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
			m.peerMillis[w.Service] += w.Millis - before
		}
		last[w.Service] = w.Millis
	}
}

// total returns the engine time in milliseconds that requests to a service have
// needed on all nodes. It doesn't start at zero: only differences between two
// totals are meaningful.
func (m *workMeter) total(service string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ownMillis[service] + float64(m.peerMillis[shortHash(service)])
}
