package moves

import (
	"fmt"
	"strings"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// View holds all inputs of a decision about a move.
type View struct {
	Now      time.Time
	Move     document.Move
	Progress control.Move
	// Replaced is true if the service no longer serves the move's old version.
	Replaced bool
	Fault    *Fault
	// BlockedBy lists the entry nodes that have locally blocked the new version.
	BlockedBy []string
	// ReportsFresh is true while the entry nodes' reports are up to date.
	ReportsFresh bool
	// Ready is true if enough backend servers have loaded the new version for
	// the next share.
	Ready    bool
	Evidence Evidence
}

// Evidence counts the answers observed for both versions.
type Evidence struct {
	// StepNewAnswers counts the new version's answers since the last step.
	StepNewAnswers uint64
	Routes         []RouteEvidence
}

// RouteEvidence counts the answers observed on one route.
type RouteEvidence struct {
	Route       string
	NewAnswers  uint64
	NewFailures uint64
	OldAnswers  uint64
	OldFailures uint64
}

// Numbers of answers of the new version that the next step and the end of a move
// require.
const (
	minStepAnswers   = 20
	maxRouteAnswers  = 5
	minFinishAnswers = 20
	// A step requires separate evidence for each route with at least
	// mainRouteFraction of all answers, the final status for each route with at
	// least rareRouteFraction.
	mainRouteFraction = 0.05
	rareRouteFraction = 0.01
)

// Action is a decision about a move: Wait, Step or End.
type Action interface{ isAction() }

// Wait leaves the move unchanged.
type Wait struct{ Reason string }

// Step raises the new version's share of the traffic.
type Step struct {
	SharePermille int
	Reason        string
}

// End gives the move its final status.
type End struct {
	Result   control.MoveResult
	Reason   string
	Evidence string
}

func (Wait) isAction() {}
func (Step) isAction() {}
func (End) isAction()  {}

// Decide returns the next action for a move. It requests at most one change of
// the log at a time and depends only on the view, so that any coordinator can
// continue where another one stopped.
func Decide(v View) Action {
	if v.Progress.FinalStatus != nil {
		return Wait{Reason: "the move has ended"}
	}
	if reason := rollbackReason(v); reason != "" {
		return End{Result: control.MoveRolledBack, Reason: reason, Evidence: v.Evidence.String()}
	}
	if v.Now.Before(v.Move.Start) {
		return Wait{Reason: "the move has not begun"}
	}
	return advance(v)
}

// rollbackReason returns why the move must be rolled back, or "".
func rollbackReason(v View) string {
	switch {
	case v.Progress.Cancel != nil:
		return fmt.Sprintf("cancelled by operator %q", v.Progress.Cancel.Operator)
	case v.Progress.Withdrawn:
		return "withdrawn by a newer document"
	case v.Replaced:
		return fmt.Sprintf("the service no longer runs version %q", v.Move.From)
	case v.Fault != nil:
		return v.Fault.String()
	case len(v.BlockedBy) > 0:
		return "the new version failed clearly at entry VM " + strings.Join(v.BlockedBy, ", ")
	case !v.Now.Before(v.Move.Deadline):
		return "the deadline has passed: " + unfinishedReason(v)
	}
	return ""
}

// unfinishedReason returns why a move has not finished by its deadline.
func unfinishedReason(v View) string {
	next, ok := NewPlan(v.Move).next(v.Progress.SharePermille)
	if reason := blockingReason(v, ok); reason != "" {
		return reason
	}
	if ok {
		return fmt.Sprintf("a share of %d permille was not reached", next.SharePermille)
	}
	return "the end was not reached in time"
}

func advance(v View) Action {
	plan := NewPlan(v.Move)
	next, ok := plan.next(v.Progress.SharePermille)
	due := plan.FinishAt
	if ok {
		due = next.At
	}
	if v.Now.Before(due) {
		return Wait{Reason: "the next step is not due"}
	}
	if reason := blockingReason(v, ok); reason != "" {
		return Wait{Reason: reason}
	}
	if ok {
		return Step{SharePermille: next.SharePermille, Reason: "planned; no fault so far"}
	}
	return End{
		Result: control.MoveFinished, Reason: "judged at every share, no fault showed", Evidence: v.Evidence.String(),
	}
}

// blockingReason returns the condition that prevents the next step or, if
// hasNextStep is false, the end of the move. It returns "" if none does.
func blockingReason(v View, hasNextStep bool) string {
	if hasNextStep && !v.Ready {
		return "too few backend servers hold the new version"
	}
	last := v.Progress.LastStep
	if last == nil {
		return ""
	}
	if !v.ReportsFresh {
		return "entry VMs' reports don't come in"
	}
	if v.Now.Sub(last.At) < MinDwell {
		return "the last step is too recent"
	}
	return v.Evidence.shortfall(hasNextStep)
}

func (e Evidence) shortfall(hasNextStep bool) string {
	if e.StepNewAnswers < minStepAnswers {
		return fmt.Sprintf("too little evidence: %d answers at this share, %d are needed", e.StepNewAnswers, minStepAnswers)
	}
	total := float64(e.total())
	for _, r := range e.Routes {
		need := r.minNewAnswers(float64(r.NewAnswers+r.OldAnswers)/total, hasNextStep)
		if r.NewAnswers < need {
			return fmt.Sprintf("too little evidence on route %q: %d answers, %d are needed", r.Route, r.NewAnswers, need)
		}
	}
	return ""
}

// minNewAnswers returns the number of answers of the new version that are
// required on the route. fraction is the route's fraction of all answers. A step
// requires fraction times minStepAnswers, but at most maxRouteAnswers; the end
// of the move requires minFinishAnswers.
func (r RouteEvidence) minNewAnswers(fraction float64, hasNextStep bool) uint64 {
	switch {
	case hasNextStep && fraction >= mainRouteFraction:
		return min(uint64(fraction*minStepAnswers), maxRouteAnswers)
	case !hasNextStep && fraction >= rareRouteFraction:
		return minFinishAnswers
	}
	return 0
}

func (e Evidence) total() uint64 {
	var n uint64
	for _, r := range e.Routes {
		n += r.NewAnswers + r.OldAnswers
	}
	return n
}

// String describes the evidence in one line.
func (e Evidence) String() string {
	if len(e.Routes) == 0 {
		return "no answers seen"
	}
	parts := make([]string, len(e.Routes))
	for i, r := range e.Routes {
		parts[i] = fmt.Sprintf("%s: new %d answers, %d failed; old %d answers, %d failed", r.Route, r.NewAnswers, r.NewFailures, r.OldAnswers, r.OldFailures)
	}
	return strings.Join(parts, "; ")
}
