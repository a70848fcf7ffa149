// Package rollout moves a service's traffic to servers of another software
// version by a deadline, or takes the move back. While a move is tried, a small
// share of the requests goes to the new version; late in the time that the
// operator gives, all of them do; then the move is done. So a version that turns
// bad late, or under load alone, has met few requests. A fault on any VM takes
// the move back on all: phases only grow, and spread with what VMs tell each
// other.
package rollout

import (
	"sync"
	"time"
)

// Phase is how far a move is. A higher phase replaces a lower one.
type Phase int

// Phases of a move.
const (
	// Unknown: no VM has decided anything.
	Unknown Phase = iota
	// Trial: a small share of the requests goes to the new version.
	Trial
	// Shift: all new requests go to the new version.
	Shift
	// Done: the old version is not needed any more.
	Done
	// TakenBack: no request goes to the new version.
	TakenBack
)

var phaseNames = [...]string{"unknown", "trial", "shift", "done", "taken-back"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// Evidence counts the answers of the two versions since the order.
type Evidence struct {
	New, NewBad uint64
	Old, OldBad uint64
}

// Add adds other evidence.
func (e *Evidence) Add(o Evidence) {
	e.New += o.New
	e.NewBad += o.NewBad
	e.Old += o.Old
	e.OldBad += o.OldBad
}

// Config bounds a move.
type Config struct {
	// TrialShare of the requests goes to the new version on trial, FirstShare
	// until it has given FirstAnswers: the first faults show soon where traffic
	// is low.
	TrialShare   float64
	FirstShare   float64
	FirstAnswers uint64
	// ShiftAt and DoneAt are shares of the time that the operator gives.
	ShiftAt, DoneAt float64
	// MinAnswers of the new version are needed to go on, FewAnswers once LateAt of
	// the time has passed.
	MinAnswers uint64
	FewAnswers uint64
	LateAt     float64
	// MinBad answers, at a rate over Factor times the old one's and over MinRate,
	// take the move back.
	MinBad  uint64
	Factor  float64
	MinRate float64
}

// DefaultConfig holds the bounds used where nothing else is set.
var DefaultConfig = Config{
	TrialShare:   0.08,
	FirstShare:   0.25,
	FirstAnswers: 20,
	ShiftAt:      0.6,
	DoneAt:       0.85,
	MinAnswers:   15,
	FewAnswers:   5,
	LateAt:       0.75,
	MinBad:       4,
	Factor:       2.5,
	MinRate:      0.08,
}

// IsBad tells whether the evidence is against the new version.
func (c Config) IsBad(e Evidence) bool {
	if e.NewBad < c.MinBad {
		return false
	}
	rate := float64(e.NewBad) / float64(max(e.New, 1))
	old := float64(e.OldBad) / float64(max(e.Old, 1))
	return rate > c.MinRate && rate > c.Factor*old
}

// Next returns the phase that follows at a moment: passed is the time since the
// order, within what the operator gives. hasServers tells whether servers of the
// new version are there.
func (c Config) Next(p Phase, e Evidence, passed, within time.Duration, hasServers bool) Phase {
	part := float64(passed) / float64(max(within, 1))
	switch {
	case p >= Done:
		return p
	case c.IsBad(e):
		return TakenBack
	case part >= 1 && p < Shift:
		return TakenBack
	case p == Unknown:
		return Trial
	case p == Trial && hasServers && (part >= c.ShiftAt && e.New >= c.MinAnswers || part >= c.LateAt && e.New >= c.FewAnswers):
		return Shift
	case p == Shift && part >= c.DoneAt:
		return Done
	}
	return p
}

// Move is an order as one VM knows it.
type Move struct {
	// Order numbers the order: a later one has a higher number.
	Order   uint64
	Service string
	Target  string
	Within  time.Duration
	SeenAt  time.Time
	// EndedAt is when this VM learned that the move is done or taken back.
	EndedAt time.Time
	Phase   Phase
	Own     Evidence
}

// Table holds the newest move of each service on one VM.
type Table struct {
	cfg Config

	// mu is a leaf: nothing else is locked while it is held.
	mu    sync.Mutex
	moves map[string]*Move
}

// NewTable returns a table without moves.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, moves: map[string]*Move{}}
}

// Ordered takes an operator's order.
func (t *Table) Ordered(order uint64, service, target string, within time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.moves[service]; ok && m.Order >= order {
		return
	}
	t.moves[service] = &Move{Order: order, Service: service, Target: target, Within: within, SeenAt: now}
}

// Heard takes a phase that another VM knows of, and tells whether it is new.
func (t *Table) Heard(service string, order uint64, p Phase, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	if !ok || m.Order != order || p <= m.Phase || p > TakenBack {
		return false
	}
	m.Phase = p
	if p >= Done {
		m.EndedAt = now
	}
	return true
}

// oldGone is how long after a move is done servers of the old version are still
// listed: they stop at once, and silent ones are listed for some heartbeats.
const oldGone = 10 * time.Second

// Stays tells whether a server of a version is one of those that the service
// keeps: while a move is under way the new ones are the operator's, and once it
// is done the old ones stop without draining.
func (t *Table) Stays(service, version string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	if !ok {
		return true
	}
	if m.Phase == Done {
		return version == m.Target || now.Sub(m.EndedAt) > oldGone
	}
	return version != m.Target
}

// Moves returns all moves.
func (t *Table) Moves() []Move {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Move, 0, len(t.moves))
	for _, m := range t.moves {
		out = append(out, *m)
	}
	return out
}

// Side is which version a request goes to.
type Side int

// Sides of a move.
const (
	// Any: there is no move.
	Any Side = iota
	Old
	New
)

// Choose returns the side of a request, and the version that is new. draw is a
// random number below 1, answers the number of answers that the new version is
// known to have given.
func (t *Table) Choose(service string, draw float64, answers func(m Move) uint64) (Side, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	if !ok {
		return Any, ""
	}
	switch m.Phase {
	case Done, Shift:
		return New, m.Target
	case Trial:
		share := t.cfg.TrialShare
		if answers(*m) < t.cfg.FirstAnswers {
			share = t.cfg.FirstShare
		}
		if draw < share {
			return New, m.Target
		}
	}
	return Old, m.Target
}

// Answered counts an answer of one of the versions.
func (t *Table) Answered(service, version string, bad bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	if !ok || m.Phase >= Done {
		return
	}
	var n uint64
	if bad {
		n = 1
	}
	if version == m.Target {
		m.Own.Add(Evidence{New: 1, NewBad: n})
		return
	}
	m.Own.Add(Evidence{Old: 1, OldBad: n})
}
