package moves

import (
	"time"

	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// Stage is one share in the schedule of a move.
type Stage struct {
	SharePermille int
	// Fraction is the part of the move's time spent at this share.
	Fraction float64
}

// stages allots most of a move's time to small shares, and some to shares at
// which a fault that appears only under load can be detected while the old
// version still runs.
var stages = []Stage{
	{SharePermille: 20, Fraction: 0.24},
	{SharePermille: 60, Fraction: 0.18},
	{SharePermille: 150, Fraction: 0.14},
	{SharePermille: 350, Fraction: 0.12},
	{SharePermille: 600, Fraction: 0.12},
	{SharePermille: 800, Fraction: 0.14},
}

// MinDwell is the minimum time that a move stays at a share, so that evidence
// can arrive and be tested several times.
const MinDwell = 2 * time.Second

// Plan holds the times at which a move should reach each share. The time after
// FinishAt is a reserve for a change of the lease holder and for writing the
// final status.
type Plan struct {
	Steps    []PlannedStep
	FinishAt time.Time
	Deadline time.Time
}

// PlannedStep is a share and the earliest time at which it may be set.
type PlannedStep struct {
	SharePermille int
	At            time.Time
}

// NewPlan divides the time from the move's start to its deadline among the
// stages.
func NewPlan(m document.Move) Plan {
	length := m.Deadline.Sub(m.Start)
	p := Plan{Deadline: m.Deadline}
	at := m.Start
	for _, s := range stages {
		p.Steps = append(p.Steps, PlannedStep{SharePermille: s.SharePermille, At: at})
		at = at.Add(time.Duration(s.Fraction * float64(length)))
	}
	p.FinishAt = at
	return p
}

// MinDuration returns the shortest time in which a move can finish.
func MinDuration() time.Duration {
	return time.Duration(len(stages)) * MinDwell
}

// Feasible reports whether a move accepted at now can finish by its deadline,
// regardless of the evidence.
func Feasible(m document.Move, now time.Time) bool {
	start := m.Start
	if now.After(start) {
		start = now
	}
	return m.Deadline.Sub(start) >= MinDuration()
}

// next returns the first step above the given share, and false if there is
// none. A move whose plan has changed therefore continues with the next larger
// share.
func (p Plan) next(share int) (PlannedStep, bool) {
	for _, s := range p.Steps {
		if s.SharePermille > share {
			return s, true
		}
	}
	return PlannedStep{}, false
}

// NextShare returns the next share that the move should reach, and false if
// only the end of the move remains.
func NextShare(m document.Move, share int) (int, bool) {
	next, ok := NewPlan(m).next(share)
	return next.SharePermille, ok
}
