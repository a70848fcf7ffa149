package moves

import (
	"math"
	"slices"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/evidence"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// WindowLength is the interval at which evidence is folded into the tests.
const WindowLength = time.Second

// False alarm rates: of the lease holder's judge over a complete move, and of
// the judge that each entry node runs over its own answers.
const (
	LeaseHolderFalseAlarmRate = 0.01
	NodeFalseAlarmRate        = 1e-5
)

// Track follows one move. It divides the growing totals of the move's counters
// into windows, each at one share, and passes them to a judge.
type Track struct {
	move         document.Move
	routes       []string
	judge        *Judge
	foldedCounts map[evidence.Key]evidence.Counts
}

// NewTrack returns a track without evidence. A new lease holder folds each
// earlier share as a single window.
func NewTrack(m document.Move, service *document.Service, falseAlarmRate float64) *Track {
	t := &Track{move: m, foldedCounts: map[evidence.Key]evidence.Counts{}}
	for _, r := range service.Routes {
		t.routes = append(t.routes, r.Name)
	}
	t.judge = NewJudge(JudgeConfig{
		Guard:          m.Guard,
		Routes:         t.routes,
		Windows:        int(math.Ceil(m.Deadline.Sub(m.Start).Seconds()/WindowLength.Seconds())) + len(stages) + 1,
		FalseAlarmRate: falseAlarmRate,
	})
	return t
}

// Fold adds the growth of the move's counters since the last call.
func (t *Track) Fold(totals []evidence.Sample) {
	windows := map[int]Window{}
	var steps []int
	for _, s := range totals {
		growth := s.Since(t.foldedCounts[s.Key])
		t.foldedCounts[s.Key] = s.Counts
		if growth.Answers == 0 {
			continue
		}
		w, ok := windows[s.Step]
		if !ok {
			w = Window{}
			windows[s.Step] = w
			steps = append(steps, s.Step)
		}
		t.addToWindow(w, s.Key, growth)
	}
	slices.Sort(steps)
	for _, step := range steps {
		t.judge.Fold(windows[step], step)
	}
}

func (t *Track) addToWindow(w Window, key evidence.Key, growth evidence.Counts) {
	pair := w[key.Route]
	switch key.Version {
	case t.move.To:
		pair.New.Add(growth)
	case t.move.From:
		pair.Old.Add(growth)
	}
	w[key.Route] = pair
}

// Fault returns the first fault found, or nil if there is none.
func (t *Track) Fault() *Fault {
	return t.judge.Fault()
}

// Evidence returns the counts observed so far; step is the number of steps that
// the move has taken.
func (t *Track) Evidence(step int) Evidence {
	var e Evidence
	byRoute := map[string]RouteEvidence{}
	for key, c := range t.foldedCounts {
		r := byRoute[key.Route]
		switch key.Version {
		case t.move.To:
			r.NewAnswers += c.Answers
			r.NewFailures += c.Failures
			if key.Step == step {
				e.StepNewAnswers += c.Answers
			}
		case t.move.From:
			r.OldAnswers += c.Answers
			r.OldFailures += c.Failures
		}
		byRoute[key.Route] = r
	}
	for _, name := range t.routes {
		r, ok := byRoute[name]
		if !ok {
			continue
		}
		r.Route = name
		e.Routes = append(e.Routes, r)
	}
	return e
}
