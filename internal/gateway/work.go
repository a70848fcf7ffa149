package gateway

import (
	"maps"
	"sync"

	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
)

// workMeter sums the engine time that requests ask for, by service, at this VM
// and at all others.
type workMeter struct {
	mu    sync.Mutex
	sum   map[string]float64
	heard map[string]map[uint32]uint64
	// others is what has been heard, by service hash; it only grows.
	others map[uint32]uint64
}

func newWorkMeter() *workMeter {
	return &workMeter{sum: map[string]float64{}, heard: map[string]map[uint32]uint64{}, others: map[uint32]uint64{}}
}

func (m *workMeter) add(service string, millis float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sum[service] += millis
}

func (m *workMeter) sums() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.sum)
}

// hear takes the sums, which only grow, that are told under a name.
func (m *workMeter) hear(key string, work []gossip.Work) {
	m.mu.Lock()
	defer m.mu.Unlock()
	last, ok := m.heard[key]
	if !ok {
		last = map[uint32]uint64{}
		m.heard[key] = last
	}
	for _, w := range work {
		if before, known := last[w.Service]; known && w.Millis > before {
			m.others[w.Service] += w.Millis - before
		}
		last[w.Service] = w.Millis
	}
}

// total returns the engine time that all VMs have asked for of a service, from
// some moment on.
func (m *workMeter) total(service string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sum[service] + float64(m.others[shortHash(service)])
}
