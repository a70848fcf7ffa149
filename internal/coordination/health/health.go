// Package health detects backend servers that fail, or that are slow compared with
// the other servers of a model, and computes the weight with which each receives
// work. Verdicts are based on this node's own observations and apply only to this
// node: a node that is isolated from an availability zone does not cause ejections
// on others. The choice of a server by its weight is left to the callers.
package health

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Key identifies a backend server for one model or one plain service, so that a
// bad version does not eject the server for the others.
type Key struct {
	Server string
	Model  string
}

// Config holds the thresholds and times of ejections, trials and ramps.
type Config struct {
	// MaxConsecutiveFailures is the number of consecutive failures after which a
	// server is ejected immediately.
	MaxConsecutiveFailures int
	// MaxFailureRatio is the moving average of the failure ratio at which a server
	// is ejected once MinSamples attempts have ended.
	MaxFailureRatio float64
	// SlowFactor is the slowdown relative to the median above which a server is
	// ejected once MinSamples attempts have ended.
	SlowFactor float64
	MinSamples int
	// MaxEjectedShare is the maximum share of a model's servers that may be
	// ejected or on trial.
	MaxEjectedShare float64
	// EjectionTime is the duration of a first ejection; each further one doubles
	// it up to the maximum.
	EjectionTime    time.Duration
	MaxEjectionTime time.Duration
	// TrialWeight is the weight of a server on trial, and TrialSuccesses the
	// number of consecutive good attempts that end the trial.
	TrialWeight    float64
	TrialSuccesses int
	// RampTime is the time in which a new or readmitted server reaches its full
	// weight.
	RampTime time.Duration
	// SlowdownDecayTime is the time without new samples after which a server's
	// slowdown has decayed to the median.
	SlowdownDecayTime time.Duration
}

// DefaultConfig holds the default thresholds and times.
var DefaultConfig = Config{
	MaxConsecutiveFailures: 4,
	MaxFailureRatio:        0.4,
	SlowFactor:             2.2,
	MinSamples:             8,
	MaxEjectedShare:        0.34,
	EjectionTime:           5 * time.Second,
	MaxEjectionTime:        time.Minute,
	TrialWeight:            0.05,
	TrialSuccesses:         4,
	RampTime:               8 * time.Second,
	SlowdownDecayTime:      30 * time.Second,
}

const (
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 0.15
	// maxSampleRatio bounds the latency ratio of one sample.
	maxSampleRatio = 16
	// minRampWeight is the weight at the start of a ramp.
	minRampWeight = 0.1
	// medianTTL is the time for which a computed median is used.
	medianTTL = 500 * time.Millisecond
)

type phase int

const (
	healthy phase = iota
	ejected
	trial
)

type serverState struct {
	phase phase
	// ejectedUntil is the end time of the last ejection.
	ejectedUntil time.Time
	// rampStartedAt is zero for a server that does not ramp up.
	rampStartedAt time.Time
	ejections     int

	samples             int
	failureRatio        float64
	consecutiveFailures int
	trialSuccesses      int
	// meanLogRatio is the moving average of the logarithms of Outcome.Ratio. It is
	// valid if hasRatio is true. It starts at the median of the model's servers, as
	// a single sample is weak evidence.
	meanLogRatio float64
	hasRatio     bool
	lastSampleAt time.Time
}

// Outcome is the result of an attempt, as evidence about its server.
type Outcome struct {
	Failed bool
	// Ratio is the observed time divided by the time of an engine of ordinary
	// speed, or 0 if no time was measured.
	Ratio float64
}

// Table holds the verdicts of one node. It is safe for concurrent use.
type Table struct {
	cfg       Config
	startedAt time.Time

	// mu is a leaf lock: no other lock is acquired while it is held.
	mu       sync.RWMutex
	byKey    map[Key]*serverState
	medians  map[string]median
	onChange func(Key, string)
}

type median struct {
	logRatio float64
	at       time.Time
}

// New returns a table without verdicts. Servers added less than the ramp time
// after startedAt do not ramp up.
func New(cfg Config, startedAt time.Time) *Table {
	return &Table{cfg: cfg, startedAt: startedAt, byKey: map[Key]*serverState{}, medians: map[string]median{}}
}

// OnChange registers f, which is called with each key whose phase has changed and
// its new phase. f must not call the table.
func (t *Table) OnChange(f func(key Key, phase string)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onChange = f
}

// Names of the phases passed to the OnChange callback.
const (
	PhaseEjected  = "ejected"
	PhaseTrial    = "trial"
	PhaseReturned = "returned"
)

// Add adds a server of a model unless it is present already. A server that is
// added more than the ramp time after the table's start ramps up.
func (t *Table) Add(key Key, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.byKey[key]; ok {
		return
	}
	s := &serverState{lastSampleAt: now}
	if now.Sub(t.startedAt) > t.cfg.RampTime {
		s.rampStartedAt = now
	}
	t.byKey[key] = s
}

// Retain removes the servers for which keep returns false.
func (t *Table) Retain(keep func(server string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.byKey {
		if !keep(key.Server) {
			delete(t.byKey, key)
		}
	}
}

// Forget forgets the failures of a model's servers, which are admitted at once.
func (t *Table) Forget(model string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, s := range t.byKey {
		if key.Model != model {
			continue
		}
		if s.phase != healthy {
			t.notify(key, PhaseReturned)
		}
		*s = serverState{meanLogRatio: s.meanLogRatio, hasRatio: s.hasRatio, lastSampleAt: now}
	}
}

// Weight returns the share of its normal work that a server may get: 0 for an
// ejected server, 1 for a healthy or unknown one.
func (t *Table) Weight(key Key, now time.Time) float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok := t.byKey[key]
	if !ok {
		return 1
	}
	switch {
	case s.phase == ejected && now.Before(s.ejectedUntil):
		return 0
	case s.phase != healthy:
		return t.cfg.TrialWeight
	case s.rampStartedAt.IsZero():
		return 1
	}
	return min(max(now.Sub(s.rampStartedAt).Seconds()/t.cfg.RampTime.Seconds(), minRampWeight), 1)
}

// Slowdown returns the server's time divided by the time of an engine of ordinary
// speed. Without new samples the value decays to the median of the model's servers.
func (t *Table) Slowdown(key Key, now time.Time) float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	medianLog := t.medians[key.Model].logRatio
	s, ok := t.byKey[key]
	if !ok || !s.hasRatio {
		return math.Exp(medianLog)
	}
	decayedShare := min(max(now.Sub(s.lastSampleAt).Seconds()/t.cfg.SlowdownDecayTime.Seconds(), 0), 1)
	return math.Exp(s.meanLogRatio + (medianLog-s.meanLogRatio)*decayedShare)
}

// RecordOutcome records the outcome of an attempt and updates the server's phase.
func (t *Table) RecordOutcome(key Key, o Outcome, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byKey[key]
	if !ok {
		s = &serverState{}
		t.byKey[key] = s
	}
	s.record(o, t.medians[key.Model].logRatio, now)
	t.refreshMedian(key.Model, now)
	bad := o.Failed || o.Ratio > 0 && math.Log(o.Ratio) > t.logRatioLimit(key.Model)
	switch {
	case s.phase == healthy:
		t.checkEjection(key, s, now)
	case bad:
		t.eject(key, s, now)
	case s.phase == ejected && now.Before(s.ejectedUntil):
		// An attempt that was started before the ejection is no new evidence.
	default:
		t.countTrialSuccess(key, s, now)
	}
}

func (s *serverState) record(o Outcome, medianLog float64, now time.Time) {
	s.samples++
	failed := 0.0
	if o.Failed {
		failed = 1
		s.consecutiveFailures++
	} else {
		s.consecutiveFailures = 0
	}
	s.failureRatio += (failed - s.failureRatio) * sampleWeight
	if o.Ratio <= 0 {
		return
	}
	sample := math.Log(min(o.Ratio, maxSampleRatio))
	if !s.hasRatio {
		s.meanLogRatio, s.hasRatio = medianLog, true
	}
	s.meanLogRatio += (sample - s.meanLogRatio) * sampleWeight
	s.lastSampleAt = now
}

func (t *Table) logRatioLimit(model string) float64 {
	return t.medians[model].logRatio + math.Log(t.cfg.SlowFactor)
}

func (t *Table) checkEjection(key Key, s *serverState, now time.Time) {
	failing := s.consecutiveFailures >= t.cfg.MaxConsecutiveFailures
	if s.samples >= t.cfg.MinSamples {
		failing = failing || s.failureRatio >= t.cfg.MaxFailureRatio || s.meanLogRatio > t.logRatioLimit(key.Model)
	}
	if failing && t.canEject(key) {
		t.eject(key, s, now)
	}
}

// canEject reports whether another ejection keeps the share of the model's servers
// that are ejected or on trial within its maximum.
func (t *Table) canEject(key Key) bool {
	servers, unhealthyServers := 0, 0
	for k, s := range t.byKey {
		if k.Model != key.Model {
			continue
		}
		servers++
		if s.phase != healthy {
			unhealthyServers++
		}
	}
	return float64(unhealthyServers+1) <= t.cfg.MaxEjectedShare*float64(servers)
}

func (t *Table) eject(key Key, s *serverState, now time.Time) {
	if s.phase == ejected && now.Before(s.ejectedUntil) {
		return
	}
	duration := min(t.cfg.EjectionTime<<min(s.ejections, 8), t.cfg.MaxEjectionTime)
	s.ejections++
	s.phase, s.ejectedUntil, s.trialSuccesses = ejected, now.Add(duration), 0
	t.notify(key, PhaseEjected)
}

// countTrialSuccess counts a good attempt of a server after its ejection and
// readmits the server after enough of them.
func (t *Table) countTrialSuccess(key Key, s *serverState, now time.Time) {
	if s.phase == ejected {
		s.phase = trial
		t.notify(key, PhaseTrial)
	}
	s.trialSuccesses++
	if s.trialSuccesses < t.cfg.TrialSuccesses {
		return
	}
	*s = serverState{rampStartedAt: now, lastSampleAt: now, ejections: s.ejections}
	t.notify(key, PhaseReturned)
}

func (t *Table) notify(key Key, phase string) {
	if t.onChange != nil {
		t.onChange(key, phase)
	}
}

// refreshMedian recomputes the median slowdown of a model's servers if it is older
// than medianTTL.
func (t *Table) refreshMedian(model string, now time.Time) {
	if m, ok := t.medians[model]; ok && now.Sub(m.at) < medianTTL {
		return
	}
	var logRatios []float64
	for k, s := range t.byKey {
		if k.Model == model && s.hasRatio {
			logRatios = append(logRatios, s.meanLogRatio)
		}
	}
	if len(logRatios) == 0 {
		return
	}
	slices.Sort(logRatios)
	t.medians[model] = median{logRatio: logRatios[len(logRatios)/2], at: now}
}
