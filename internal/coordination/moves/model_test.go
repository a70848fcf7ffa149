package moves

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootpath.example/coltsfootpath/internal/coordination/evidence"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

var moveStart = time.Date(2026, 1, 1, 9, 0, 0, 0, time.UTC)

const moveName = "m"

func testDocument(moves ...document.Move) *document.Document {
	doc := &document.Document{
		Services: []document.Service{{
			Name: "s", Kind: document.ModelService, Serving: "v1", Routes: []document.Route{{Name: "r", Repeatable: true}},
			Versions: []document.Version{{Name: "v1", Model: "a"}, {Name: "v2", Model: "b"}},
		}},
		Moves: moves,
	}
	doc.SetDefaults()
	return doc
}

func testMove() document.Move {
	return document.Move{Name: moveName, Service: "s", From: "v1", To: "v2", Start: moveStart, Deadline: moveStart.Add(10 * time.Minute), Guard: guard}
}

// coordinator models a coordinator that may be paused, lag behind or be dead.
type coordinator struct {
	fencing uint64
	state   *control.State
	track   *Track
}

// moveModel runs the decisions over a log, with coordinators that die, lag and
// use outdated fencing tokens, and records what the oracle needs.
type moveModel struct {
	log      *control.State
	history  []control.Record
	sequence uint64
	now      time.Time
	bad      bool

	counts       map[evidence.Key]evidence.Counts
	coordinators []*coordinator

	// State of the oracle, derived only from the accepted records.
	finalStatuses int
	result        control.MoveResult
	halted        bool
	share         int
}

func newMoveModel(bad bool) *moveModel {
	m := &moveModel{log: control.New(), now: moveStart, bad: bad, counts: map[evidence.Key]evidence.Counts{}}
	m.append(control.Record{Document: &control.DocumentSubmission{Document: testDocument(testMove())}})
	for range 3 {
		m.coordinators = append(m.coordinators, m.newCoordinator())
	}
	m.claim(m.coordinators[0])
	return m
}

func (m *moveModel) newCoordinator() *coordinator {
	return &coordinator{state: m.log, track: NewTrack(testMove(), &testDocument().Services[0], LeaseHolderFalseAlarmRate)}
}

func (m *moveModel) append(r control.Record) (uint64, control.Verdict) {
	if r.Writer.Sequence == 0 {
		m.sequence++
		r.Writer = control.WriterID{Incarnation: "test", Sequence: m.sequence}
	}
	m.history = append(m.history, r)
	newest := m.log.Lease.FencingToken
	next := m.log.Clone()
	offset := next.Next
	verdict := next.Apply(offset, r)
	m.log = next
	if verdict == control.Accepted {
		m.updateOracle(r, newest)
	}
	return offset, verdict
}

// updateOracle updates the oracle, which is independent of the code under test.
func (m *moveModel) updateOracle(r control.Record, newest uint64) {
	switch {
	case r.Step != nil:
		if r.Step.FencingToken != newest || m.halted || m.finalStatuses > 0 {
			panic("a step was accepted without the lease or after the end of the move")
		}
		if r.Step.SharePermille <= m.share {
			panic(fmt.Sprintf("share set to %d after %d", r.Step.SharePermille, m.share))
		}
		m.share = r.Step.SharePermille
	case r.FinalStatus != nil:
		if r.FinalStatus.FencingToken != newest || (m.halted && r.FinalStatus.Result == control.MoveFinished) {
			panic("a final status was accepted without the lease, or a halted move finished")
		}
		m.finalStatuses++
		m.result = r.FinalStatus.Result
	case r.Cancel != nil:
		m.halted = true
	case r.Document != nil && len(r.Document.Document.Moves) == 0:
		m.halted = m.halted || m.finalStatuses == 0
	}
}

func (m *moveModel) claim(c *coordinator) {
	offset, verdict := m.append(control.Record{Claim: &control.LeaseClaim{After: m.log.Lease.LastOffset, Holder: control.Holder{VM: "x"}}})
	if verdict == control.Accepted {
		c.fencing = offset
	}
}

// traffic counts n answers, divided between the versions by the current share.
func (m *moveModel) traffic(n int) {
	split := m.log.Split(&m.log.Document.Services[0])
	if split.Move == "" {
		return
	}
	newer := n * split.SharePermille / 1000
	m.count("v1", split.Step, n-newer, 0)
	failed := 0
	if m.bad {
		failed = newer
	}
	m.count("v2", split.Step, newer, failed)
}

func (m *moveModel) count(version string, step, answers, failed int) {
	key := evidence.Key{Move: moveName, Version: version, Route: "r", Step: step}
	c := m.counts[key]
	c.Answers += uint64(answers)
	c.Failures += uint64(failed)
	m.counts[key] = c
}

// decide applies a coordinator's decision on the state that it has read, with
// the fencing token that it holds.
func (m *moveModel) decide(c *coordinator, reports bool) {
	if c.fencing == 0 {
		return
	}
	if reports {
		var totals []evidence.Sample
		for key, counts := range m.counts {
			totals = append(totals, evidence.Sample{Key: key, Counts: counts})
		}
		c.track.Fold(totals)
	}
	progress := c.state.Moves[moveName]
	action := Decide(View{
		Now: m.now, Move: progress.Definition, Progress: progress, Fault: c.track.Fault(), ReportsFresh: reports, Ready: true,
		Evidence: c.track.Evidence(progress.Steps),
	})
	switch a := action.(type) {
	case Step:
		m.append(control.Record{Step: &control.MoveStep{FencingToken: c.fencing, Move: moveName, SharePermille: a.SharePermille, At: m.now}})
	case End:
		m.append(control.Record{FinalStatus: &control.MoveFinalStatus{FencingToken: c.fencing, Move: moveName, Result: a.Result, At: m.now}})
	}
}

// holderDecides has the lease holder, if it is alive, read the newest state and
// decide.
func (m *moveModel) holderDecides() {
	for _, c := range m.coordinators {
		if c.fencing == m.log.Lease.FencingToken {
			c.state = m.log
			m.decide(c, true)
		}
	}
}

func (m *moveModel) check(t *rapid.T) {
	move := m.log.Moves[moveName]
	split := m.log.Split(&m.log.Document.Services[0])
	switch {
	case m.finalStatuses > 1:
		t.Fatalf("%d final statuses", m.finalStatuses)
	case (move.FinalStatus != nil) != (m.finalStatuses == 1):
		t.Fatalf("final status %v, %d were accepted", move.FinalStatus, m.finalStatuses)
	case m.finalStatuses == 1 && m.result == control.MoveFinished && split.ServingVersion != "v2":
		t.Fatalf("finished, but %q is served", split.ServingVersion)
	case m.finalStatuses == 1 && m.result == control.MoveRolledBack && split != (control.Split{ServingVersion: "v1"}):
		t.Fatalf("rolled back, but the split is %+v", split)
	case m.finalStatuses == 0 && m.halted && split.SharePermille != 0:
		t.Fatalf("halted, but the split is %+v", split)
	case m.finalStatuses == 0 && !m.halted && split.SharePermille != m.share:
		t.Fatalf("share is %d, want %d as accepted", split.SharePermille, m.share)
	case m.result == control.MoveFinished && m.bad:
		t.Fatal("a version that always fails has finished")
	case m.result == control.MoveFinished && !move.FinalStatus.At.Before(move.Definition.Deadline):
		t.Fatal("finished after the deadline")
	}
}

func TestMovesSurviveCoordinatorFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMoveModel(rapid.Bool().Draw(t, "bad"))
		some := func(t *rapid.T) *coordinator { return rapid.SampledFrom(m.coordinators).Draw(t, "coordinator") }
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"time and traffic": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
				m.traffic(rapid.IntRange(0, 2000).Draw(t, "requests"))
			},
			"coordinator reads": func(t *rapid.T) { some(t).state = m.log },
			"coordinator decides": func(t *rapid.T) {
				m.decide(some(t), rapid.Bool().Draw(t, "reports"))
			},
			"holder reads and decides": func(*rapid.T) { m.holderDecides() },
			"a quiet minute": func(*rapid.T) {
				for range 20 {
					m.now = m.now.Add(3 * time.Second)
					m.traffic(300)
					m.holderDecides()
				}
			},
			"another claims": func(t *rapid.T) { m.claim(some(t)) },
			"coordinator dies": func(t *rapid.T) {
				i := rapid.IntRange(0, len(m.coordinators)-1).Draw(t, "coordinator")
				m.coordinators[i] = m.newCoordinator()
			},
			"record is repeated": func(t *rapid.T) {
				if _, verdict := m.append(rapid.SampledFrom(m.history).Draw(t, "record")); verdict != control.Repeated {
					t.Fatalf("verdict on a repeated record: %s", verdict)
				}
			},
			"operator cancels": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					m.append(control.Record{Cancel: &control.MoveCancel{Move: moveName, Operator: "o"}})
				}
			},
			"document drops the move": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					m.append(control.Record{Document: &control.DocumentSubmission{Base: m.log.Revision, Document: testDocument()}})
				}
			},
		})
		last := m.newCoordinator()
		m.claim(last)
		last.state = m.log
		m.now = moveStart.Add(time.Hour)
		m.decide(last, true)
		m.check(t)
		if m.finalStatuses != 1 {
			t.Fatalf("%d final statuses after the deadline, want 1", m.finalStatuses)
		}
	})
}
