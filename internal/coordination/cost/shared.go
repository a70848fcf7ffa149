package cost

import (
	"math"
	"strconv"
	"time"
)

// SpeedSamples are samples of a server's speed on the way to peers: their number, and the sum
// of their logarithms in units of 1/logUnits above minLog. Both can be added up.
type SpeedSamples struct {
	Count, Sum uint64
}

const (
	logUnits = 8
	// minLog and maxLog bound the logarithm of a ratio on the way to peers.
	minLog = -2.0
	maxLog = 3.0
	// maxPeerSamples bounds the samples of a server that one report of a peer counts for.
	maxPeerSamples = 12
	// minSharedWeight is the weight from which samples are shared.
	minSharedWeight = 0.5
)

// add adds a sample of sufficient weight, and reports whether it was.
func (s *SpeedSamples) add(log, weight float64) bool {
	if weight < minSharedWeight {
		return false
	}
	s.Count++
	s.Sum += uint64(math.Round((min(max(log, minLog), maxLog) - minLog) * logUnits))
	return true
}

// meanLog returns the mean logarithm of the samples.
func (s SpeedSamples) meanLog() float64 {
	return min(float64(s.Sum)/float64(s.Count)/logUnits+minLog, maxLog)
}

// TakeSpeedSamples returns the samples since the last call, by server.
func (m *Model) TakeSpeedSamples() map[uint32]SpeedSamples {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.pending
	m.pending = map[uint32]SpeedSamples{}
	return out
}

// AddPeerSpeed adds samples that peers report of a server.
func (m *Model) AddPeerSpeed(server uint32, samples SpeedSamples, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isFixed.Load() || samples.Count == 0 {
		return
	}
	m.addSpeed(server, samples.meanLog(), float64(min(samples.Count, maxPeerSamples)), nil, now)
}

// totalUnits is the number of units on the wire of one unit of a moment.
const totalUnits = 1 << 24

// Names of the totals of a service's regressions on the way to peers.
func totalName(service, regression string, i int) string {
	return service + "\x00" + regression + "\x00" + strconv.Itoa(i)
}

// regressions returns the regressions of a service by name.
func (s *service) regressions() map[string]*regression {
	return map[string]*regression{"prefill": s.prefill, "step": s.step}
}

// Totals calls f with the sums over this VM's own samples, by name. They never decrease.
func (m *Model) Totals(f func(name string, value uint64)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, s := range m.services {
		for kind, r := range s.regressions() {
			for i, v := range r.total {
				if v > 0 {
					f(totalName(name, kind, i), uint64(v*totalUnits))
				}
			}
		}
	}
}

const (
	// maxPeerWeight bounds the weight of the samples that one report of a peer counts for.
	// A report may cover many VMs.
	maxPeerWeight = 200.0
	// maxSeedWeight bounds the weight of what a VM without samples takes over from a peer.
	maxSeedWeight = 20.0
)

// ApplyGrowth adds the growth of the totals of services at a peer. growth returns that of the
// total with a name. Sums that can't come from real samples are left out.
func (m *Model) ApplyGrowth(services []string, growth func(name string) uint64, now time.Time) {
	m.apply(services, growth, now, func(*regression) float64 { return maxPeerWeight })
}

// HasFewSamples reports whether hardly any samples of the services' rates are known.
func (m *Model) HasFewSamples(services []string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range services {
		if s, ok := m.services[name]; ok && s.prefill.sums[0] >= maxSeedWeight {
			return false
		}
	}
	return true
}

// Seed takes over a peer's totals for services of which hardly any samples are known.
func (m *Model) Seed(services []string, totals func(name string) uint64, now time.Time) {
	m.apply(services, totals, now, func(r *regression) float64 { return maxSeedWeight - r.sums[0] })
}

func (m *Model) apply(services []string, value func(name string) uint64, now time.Time, maxWeight func(*regression) float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isFixed.Load() {
		return
	}
	for _, name := range services {
		s := m.serviceOf(name)
		if s == nil {
			continue
		}
		for kind, r := range s.regressions() {
			limit := maxWeight(r)
			if limit <= 0 || value(totalName(name, kind, 0)) == 0 {
				continue
			}
			var sums moments
			for i := range sums {
				sums[i] = float64(value(totalName(name, kind, i))) / totalUnits
			}
			if r.isPlausible(sums) {
				r.merge(sums, min(1, limit/sums[0]), now)
			}
		}
	}
}
