// Package health finds backend servers that fail, or are slow beside their
// peers, and says how much work each may get. Verdicts rest on what this node
// has seen by itself and hold for this node alone: one that is cut off from an
// availability zone does not condemn it for others.
package health

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Key is what is judged: a backend server for one model, or for one plain
// service, so that a bad version does not condemn a server for the others.
type Key struct {
	Server string
	Model  string
}

// Config bounds the verdicts.
type Config struct {
	// FailuresInRow ejects at once.
	FailuresInRow int
	// FailureRatio ejects once MinSamples attempts have ended.
	FailureRatio float64
	// SlowFactor ejects a server that is slower than the median by it.
	SlowFactor float64
	MinSamples int
	// MaxEjected is the largest share of a model's servers that are ejected.
	MaxEjected float64
	// EjectFor is the first ejection's length; each one in a row doubles it up
	// to EjectMax.
	EjectFor time.Duration
	EjectMax time.Duration
	// TrialShare is the weight of a server on trial, and TrialSuccesses the
	// number of good attempts in a row that end the trial.
	TrialShare     float64
	TrialSuccesses int
	// Ramp is how long a new or readmitted server takes to its full weight.
	Ramp time.Duration
	// Memory is the time in which a server's slowdown goes back to the median
	// where nothing is seen of it.
	Memory time.Duration
}

// DefaultConfig holds the bounds used where nothing else is set.
var DefaultConfig = Config{
	FailuresInRow:  4,
	FailureRatio:   0.4,
	SlowFactor:     2.2,
	MinSamples:     8,
	MaxEjected:     0.34,
	EjectFor:       5 * time.Second,
	EjectMax:       time.Minute,
	TrialShare:     0.05,
	TrialSuccesses: 4,
	Ramp:           8 * time.Second,
	Memory:         30 * time.Second,
}

const (
	// newest is the weight of the newest sample in the moving averages.
	newest = 0.15
	// maxRatio bounds one sample of slowness.
	maxRatio = 16
	// rampFloor is the weight at which a ramp begins.
	rampFloor = 0.1
	// medianAge is how long a computed median is used.
	medianAge = 500 * time.Millisecond
)

type phase int

const (
	healthy phase = iota
	ejected
	trial
)

type state struct {
	phase phase
	// until is when an ejection ends.
	until time.Time
	// rampFrom is the zero time for a server without a ramp.
	rampFrom  time.Time
	ejections int

	samples  int
	failures float64
	inRow    int
	good     int
	// logSlow is the moving average of the logarithm of observed over predicted,
	// once anything was measured. It begins at the median of the model's servers:
	// one sample says little.
	logSlow  float64
	measured bool
	seenAt   time.Time
}

// Outcome is how an attempt ended, as evidence about its server.
type Outcome struct {
	Failed bool
	// Ratio is the observed time over that of an engine of ordinary speed, 0
	// where nothing was measured.
	Ratio float64
}

// Table holds the verdicts of one node. It may be used from many goroutines.
type Table struct {
	cfg     Config
	started time.Time

	// mu is a leaf: nothing else is locked while it is held.
	mu       sync.RWMutex
	byKey    map[Key]*state
	medians  map[string]median
	onChange func(Key, string)
}

type median struct {
	logSlow float64
	at      time.Time
}

// New returns a table without verdicts. Servers known within a ramp's time of
// started count as old ones.
func New(cfg Config, started time.Time) *Table {
	return &Table{cfg: cfg, started: started, byKey: map[Key]*state{}, medians: map[string]median{}}
}

// OnChange makes f be called with a key and its new phase. F must not call the
// table.
func (t *Table) OnChange(f func(key Key, phase string)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onChange = f
}

// Names of phases as OnChange reports them.
const (
	PhaseEjected  = "ejected"
	PhaseTrial    = "trial"
	PhaseReturned = "returned"
)

// Add notes servers of a model; a new one ramps up.
func (t *Table) Add(key Key, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.byKey[key]; ok {
		return
	}
	s := &state{seenAt: now}
	if now.Sub(t.started) > t.cfg.Ramp {
		s.rampFrom = now
	}
	t.byKey[key] = s
}

// Retain forgets the servers for which keep is false.
func (t *Table) Retain(keep func(server string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.byKey {
		if !keep(key.Server) {
			delete(t.byKey, key)
		}
	}
}

// Weight returns the share of its usual work that a server may get: 0 for an
// ejected one, 1 for a healthy one.
func (t *Table) Weight(key Key, now time.Time) float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok := t.byKey[key]
	if !ok {
		return 1
	}
	switch {
	case s.phase == ejected && now.Before(s.until):
		return 0
	case s.phase != healthy:
		return t.cfg.TrialShare
	case s.rampFrom.IsZero():
		return 1
	}
	return min(max(now.Sub(s.rampFrom).Seconds()/t.cfg.Ramp.Seconds(), rampFloor), 1)
}

// Slowdown returns the factor on the times of an engine of ordinary speed.
// What was seen long ago gives way to the median of the model's servers.
func (t *Table) Slowdown(key Key, now time.Time) float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	common := t.medians[key.Model].logSlow
	s, ok := t.byKey[key]
	if !ok || !s.measured {
		return math.Exp(common)
	}
	faded := min(max(now.Sub(s.seenAt).Seconds()/t.cfg.Memory.Seconds(), 0), 1)
	return math.Exp(s.logSlow + (common-s.logSlow)*faded)
}

// Ended takes the outcome of an attempt.
func (t *Table) Ended(key Key, o Outcome, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byKey[key]
	if !ok {
		s = &state{}
		t.byKey[key] = s
	}
	s.note(o, t.medians[key.Model].logSlow, now)
	t.refreshMedian(key.Model, now)
	bad := o.Failed || o.Ratio > 0 && math.Log(o.Ratio) > t.slowBound(key.Model)
	switch {
	case s.phase == healthy:
		t.judge(key, s, now)
	case bad:
		t.eject(key, s, now)
	case s.phase == ejected && now.Before(s.until):
		// An attempt from before the ejection says nothing new.
	default:
		t.passTrial(key, s, now)
	}
}

func (s *state) note(o Outcome, common float64, now time.Time) {
	s.samples++
	failed := 0.0
	if o.Failed {
		failed = 1
		s.inRow++
	} else {
		s.inRow = 0
	}
	s.failures += (failed - s.failures) * newest
	if o.Ratio <= 0 {
		return
	}
	sample := math.Log(min(o.Ratio, maxRatio))
	if !s.measured {
		s.logSlow, s.measured = common, true
	}
	s.logSlow += (sample - s.logSlow) * newest
	s.seenAt = now
}

func (t *Table) slowBound(model string) float64 {
	return t.medians[model].logSlow + math.Log(t.cfg.SlowFactor)
}

func (t *Table) judge(key Key, s *state, now time.Time) {
	failing := s.inRow >= t.cfg.FailuresInRow
	if s.samples >= t.cfg.MinSamples {
		failing = failing || s.failures >= t.cfg.FailureRatio || s.logSlow > t.slowBound(key.Model)
	}
	if failing && t.mayEject(key) {
		t.eject(key, s, now)
	}
}

// mayEject tells whether one more ejection stays within the largest share.
func (t *Table) mayEject(key Key) bool {
	all, out := 0, 0
	for k, s := range t.byKey {
		if k.Model != key.Model {
			continue
		}
		all++
		if s.phase != healthy {
			out++
		}
	}
	return float64(out+1) <= t.cfg.MaxEjected*float64(all)
}

func (t *Table) eject(key Key, s *state, now time.Time) {
	if s.phase == ejected && now.Before(s.until) {
		return
	}
	length := min(t.cfg.EjectFor<<min(s.ejections, 8), t.cfg.EjectMax)
	s.ejections++
	s.phase, s.until, s.good = ejected, now.Add(length), 0
	t.changed(key, PhaseEjected)
}

// passTrial counts a good attempt of a server on trial.
func (t *Table) passTrial(key Key, s *state, now time.Time) {
	if s.phase == ejected {
		s.phase = trial
		t.changed(key, PhaseTrial)
	}
	s.good++
	if s.good < t.cfg.TrialSuccesses {
		return
	}
	*s = state{rampFrom: now, seenAt: now, ejections: s.ejections}
	t.changed(key, PhaseReturned)
}

func (t *Table) changed(key Key, phase string) {
	if t.onChange != nil {
		t.onChange(key, phase)
	}
}

// refreshMedian computes the median slowness of a model's servers from time to
// time.
func (t *Table) refreshMedian(model string, now time.Time) {
	if m, ok := t.medians[model]; ok && now.Sub(m.at) < medianAge {
		return
	}
	var all []float64
	for k, s := range t.byKey {
		if k.Model == model && s.measured {
			all = append(all, s.logSlow)
		}
	}
	if len(all) == 0 {
		return
	}
	slices.Sort(all)
	t.medians[model] = median{logSlow: all[len(all)/2], at: now}
}
