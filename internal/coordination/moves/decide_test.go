package moves

import (
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/state/control"
)

func sufficientEvidence() Evidence {
	return Evidence{StepNewAnswers: 1000, Routes: []RouteEvidence{{Route: "r", NewAnswers: 1000, OldAnswers: 1000}}}
}

func TestPlanRaisesTheShareAndLeavesAReserve(t *testing.T) {
	p := NewPlan(testMove())
	if first := p.Steps[0].SharePermille; first > 20 {
		t.Fatalf("the first share is %d permille", first)
	}
	for i := 1; i < len(p.Steps); i++ {
		if !p.Steps[i].At.After(p.Steps[i-1].At) || p.Steps[i].SharePermille <= p.Steps[i-1].SharePermille {
			t.Fatalf("step %d is not later and larger than the one before: %+v", i, p.Steps)
		}
	}
	if !p.FinishAt.Before(p.Deadline) || p.Steps[len(p.Steps)-1].SharePermille >= 1000 {
		t.Fatal("no reserve is left before the deadline, or no traffic stays on the old version for comparison")
	}
}

func TestOverdueMoveCatchesUpButEvaluatesEachShare(t *testing.T) {
	m := testMove()
	progress := control.Move{Definition: m}
	now := m.Deadline.Add(-time.Minute)
	steps := 0
	for now.Before(m.Deadline) && progress.FinalStatus == nil {
		v := View{Now: now, Move: m, Progress: progress, ReportsFresh: true, Ready: true, Evidence: sufficientEvidence()}
		switch a := Decide(v).(type) {
		case Step:
			if last := progress.LastStep; last != nil && now.Sub(last.At) < MinDwell {
				t.Fatalf("only %v between two steps", now.Sub(last.At))
			}
			progress.SharePermille = a.SharePermille
			progress.LastStep = &control.MoveStep{At: now}
			steps++
		case End:
			progress.FinalStatus = &control.MoveFinalStatus{Result: a.Result}
		}
		now = now.Add(time.Second)
	}
	if steps != len(stages) || progress.FinalStatus == nil || progress.FinalStatus.Result != control.MoveFinished {
		t.Fatalf("%d steps, %+v", steps, progress.FinalStatus)
	}
}

func TestDecisions(t *testing.T) {
	m := testMove()
	at := func(share int, ago time.Duration, now time.Time) control.Move {
		return control.Move{Definition: m, SharePermille: share, LastStep: &control.MoveStep{At: now.Add(-ago)}}
	}
	middle := m.Start.Add(5 * time.Minute)
	finish := m.Deadline.Add(-time.Second)
	fault := &Fault{Route: "r", Measure: Failures}
	sparse := Evidence{StepNewAnswers: 3, Routes: []RouteEvidence{{Route: "r", NewAnswers: 3, OldAnswers: 1000}}}
	oneRouteOnly := Evidence{StepNewAnswers: 500, Routes: []RouteEvidence{{Route: "r", NewAnswers: 500, OldAnswers: 500}, {Route: "q", NewAnswers: 0, OldAnswers: 300}}}
	cases := []struct {
		name string
		view View
		want Action
	}{
		{"before the start", View{Now: m.Start.Add(-time.Second)}, Wait{Reason: "the move has not begun"}},
		{"first step", View{Now: m.Start, Ready: true}, Step{SharePermille: stages[0].SharePermille}},
		{"no engines yet", View{Now: m.Start}, Wait{Reason: "too few backend servers hold the new version"}},
		{"reports are missing", View{Now: middle, Progress: at(20, time.Minute, middle), Ready: true, Evidence: sufficientEvidence()}, Wait{Reason: "entry VMs' reports don't come in"}},
		{"little evidence", View{Now: middle, Progress: at(20, time.Minute, middle), Ready: true, ReportsFresh: true, Evidence: sparse},
			Wait{Reason: "too little evidence: 3 answers at this share, 20 are needed"}},
		{"no evidence on one route", View{Now: middle, Progress: at(20, time.Minute, middle), Ready: true, ReportsFresh: true, Evidence: oneRouteOnly},
			Wait{Reason: `too little evidence on route "q": 0 answers, 4 are needed`}},
		{"fault", View{Now: middle, Progress: at(20, time.Minute, middle), Fault: fault}, End{Result: control.MoveRolledBack}},
		{"locally blocked", View{Now: middle, Progress: at(20, time.Minute, middle), BlockedBy: []string{"entry-1"}}, End{Result: control.MoveRolledBack}},
		{"cancelled", View{Now: middle, Progress: control.Move{Cancel: &control.MoveCancel{}}}, End{Result: control.MoveRolledBack}},
		{"finish", View{Now: finish, Progress: at(800, time.Minute, finish), ReportsFresh: true, Evidence: sufficientEvidence()}, End{Result: control.MoveFinished}},
		{"never finished without evidence", View{Now: m.Deadline, Progress: at(800, time.Minute, m.Deadline), ReportsFresh: true, Evidence: sparse}, End{Result: control.MoveRolledBack}},
		{"deadline passed", View{Now: m.Deadline, Progress: at(800, time.Minute, m.Deadline), ReportsFresh: true, Evidence: sufficientEvidence()}, End{Result: control.MoveRolledBack}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.view.Move = m
			switch got := Decide(c.view).(type) {
			case Wait:
				if got != c.want {
					t.Fatalf("got %+v, want %+v", got, c.want)
				}
			case Step:
				if want, ok := c.want.(Step); !ok || got.SharePermille != want.SharePermille {
					t.Fatalf("got %+v, want %+v", got, c.want)
				}
			case End:
				if want, ok := c.want.(End); !ok || got.Result != want.Result || got.Reason == "" {
					t.Fatalf("got %+v, want %+v", got, c.want)
				}
			}
		})
	}
}

func TestMoveTooShortToFinishIsInfeasible(t *testing.T) {
	m := testMove()
	if !Feasible(m, m.Start) || Feasible(m, m.Deadline.Add(-MinDuration()/2)) {
		t.Fatal("want feasible at the start and infeasible half of MinDuration before the deadline")
	}
}
