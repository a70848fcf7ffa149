package movephase

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootpath.example/coltsfootpath/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 0) }

const timeLimit = 14 * time.Second

func TestGoodMoveIsDoneInTime(t *testing.T) {
	p, doneAt := Unknown, time.Duration(0)
	e := Evidence{}
	for at := time.Duration(0); at <= timeLimit; at += 200 * time.Millisecond {
		e.Add(Evidence{NewAnswers: 1, OldAnswers: 12, OldFailures: 1})
		p = DefaultConfig.Next(p, e, nil, at, timeLimit, true)
		if p == Done && doneAt == 0 {
			doneAt = at
		}
	}
	if p != Done || doneAt >= timeLimit {
		t.Fatalf("phase is %v, done at %v", p, doneAt)
	}
}

func TestFaultyMoveIsRolledBack(t *testing.T) {
	for _, from := range []time.Duration{0, 4 * time.Second, 9 * time.Second} {
		p, totalFailures := Unknown, uint64(0)
		e := Evidence{}
		for at := time.Duration(0); at <= timeLimit && p < Done; at += 200 * time.Millisecond {
			n := uint64(1)
			if p == Shift {
				n = 12
			}
			failures := uint64(0)
			if at >= from {
				failures = n
			}
			e.Add(Evidence{NewAnswers: n, NewFailures: failures, OldAnswers: 12, OldFailures: 1})
			totalFailures += failures
			p = DefaultConfig.Next(p, e, nil, at, timeLimit, true)
		}
		if p != RolledBack || totalFailures > 50 {
			t.Errorf("failures from %v on: phase is %v after %d failures", from, p, totalFailures)
		}
	}
}

func TestMoveWithoutServersIsRolledBack(t *testing.T) {
	p := Unknown
	for at := time.Duration(0); at <= timeLimit; at += time.Second {
		p = DefaultConfig.Next(p, Evidence{OldAnswers: 100}, nil, at, timeLimit, false)
	}
	if p != RolledBack {
		t.Fatalf("phase is %v", p)
	}
}

// TestEqualFailureRatesAreNoFault covers versions that fail at the same rate,
// for example because a service that both depend on is down.
func TestEqualFailureRatesAreNoFault(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		failures := uint64(rapid.IntRange(0, 45).Draw(t, "bad in 100"))
		e := Evidence{NewAnswers: 100, NewFailures: failures, OldAnswers: 1000, OldFailures: 10 * failures}
		if DefaultConfig.IsNewVersionFaulty(e, nil) {
			t.Fatalf("new version counts as faulty at %d failures in 100 for both", failures)
		}
	})
}

// TestPhasesOnlyIncrease checks that nodes which receive the same phases in
// different orders reach the same phase.
func TestPhasesOnlyIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewTable(DefaultConfig), NewTable(DefaultConfig)
		for _, x := range []*Table{a, b} {
			x.AddOrder(3, "s", "v2", timeLimit, time.Time{})
		}
		phases := rapid.SliceOf(rapid.IntRange(0, int(RolledBack))).Draw(t, "phases")
		for _, p := range phases {
			before := a.Moves()[0].Phase
			a.AdvancePhase("s", 3, Phase(p), time.Time{})
			if a.Moves()[0].Phase < before {
				t.Fatal("the phase decreased")
			}
		}
		for _, p := range rapid.Permutation(phases).Draw(t, "order") {
			b.AdvancePhase("s", 3, Phase(p), time.Time{})
		}
		if a.Moves()[0].Phase != b.Moves()[0].Phase {
			t.Fatal("phases differ")
		}
	})
}

// manyRequests returns evidence beyond the initial requests.
func manyRequests(Move) (Evidence, []Evidence) { return Evidence{NewSent: 100, OldSent: 2000}, nil }

func TestTrialShareIsSmall(t *testing.T) {
	table := NewTable(DefaultConfig)
	table.AddOrder(1, "s", "v2", timeLimit, time.Time{})
	if choice, _ := table.Choose("s", 0, time.Time{}, manyRequests); choice != OldVersion {
		t.Error("the new version gets requests before the trial")
	}
	table.AdvancePhase("s", 1, Trial, time.Time{})
	share := 0
	for i := range 1000 {
		if choice, _ := table.Choose("s", float64(i)/1000, time.Time{}, manyRequests); choice == NewVersion {
			share++
		}
	}
	if share < 50 || share > 100 {
		t.Errorf("%d of 1000 requests go to the new version in the trial", share)
	}
	table.AdvancePhase("s", 1, RolledBack, time.Time{})
	if choice, _ := table.Choose("s", 0, time.Time{}, manyRequests); choice != OldVersion {
		t.Error("the new version gets requests after the move is rolled back")
	}
}

// TestOldServersDoNotCountOnceDone guards against counting old servers that
// stop at once but are still listed. Seen on detsporenie-tt-grown trouble-1: when
// they counted, the new servers were ordered to stop and no server was left.
func TestOldServersDoNotCountOnceDone(t *testing.T) {
	table := NewTable(DefaultConfig)
	countsAsKept := func(version string, after time.Duration) bool {
		return table.CountsTowardsSize("s", version, time.Time{}.Add(after))
	}
	if !countsAsKept("v1", 0) {
		t.Error("without a move a server does not count")
	}
	table.AddOrder(1, "s", "v2", 10*time.Second, time.Time{})
	if !countsAsKept("v1", 0) || countsAsKept("v2", 0) {
		t.Error("during a move the operator's servers count, or the service's do not")
	}
	table.AdvancePhase("s", 1, Done, time.Time{})
	if countsAsKept("v1", time.Second) || !countsAsKept("v2", time.Second) {
		t.Error("old servers count once the move is done, or new ones do not")
	}
	if !countsAsKept("v3", time.Minute) {
		t.Error("servers of a later version do not count")
	}
	table.AddOrder(2, "s", "v3", 10*time.Second, time.Time{})
	table.AdvancePhase("s", 2, RolledBack, time.Time{})
	if !countsAsKept("v2", time.Second) || countsAsKept("v3", time.Second) {
		t.Error("servers of a version that was rolled back count")
	}
}

// TestSlowVersionIsKept plays versions whose answers are slow but don't fail. The old
// version loses half of its servers, and is late as well.
func TestSlowVersionIsKept(t *testing.T) {
	for name, e := range map[string]Evidence{
		"first answers":          {NewAnswers: 0, NewTimed: 6, NewSlow: 6, OldAnswers: 150, OldTimed: 150, OldSlow: 15},
		"old version overloaded": {NewAnswers: 46, NewFailures: 2, NewTimed: 46, NewSlow: 46, OldAnswers: 226, OldFailures: 17, OldTimed: 226, OldSlow: 150},
		"two in five are slow":   {NewAnswers: 60, NewTimed: 60, NewSlow: 25, OldAnswers: 400, OldTimed: 400, OldSlow: 36},
	} {
		if !DefaultConfig.IsNewVersionFaulty(e, nil) {
			t.Errorf("%s: the new version does not count as faulty", name)
		}
	}
}

// TestGoodVersionIsRarelySlow draws the answers of two versions with the same share of slow
// answers, and looks at the evidence after each answer of the new one.
func TestGoodVersionIsRarelySlow(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const moves = 3000
	rolledBack := 0
	for range moves {
		rate := 0.3 * random.Float64()
		e := Evidence{}
		for e.NewTimed < 60 && !DefaultConfig.IsNewVersionFaulty(e, nil) {
			for range 6 {
				e.OldTimed++
				if random.Float64() < rate {
					e.OldSlow++
				}
			}
			e.NewTimed++
			if random.Float64() < rate {
				e.NewSlow++
			}
		}
		if DefaultConfig.IsNewVersionFaulty(e, nil) {
			rolledBack++
		}
	}
	if rolledBack > moves/200 {
		t.Errorf("%d of %d good versions were rolled back", rolledBack, moves)
	}
}

// TestSlownessIsRelativeToUsualRatio: a service whose predictions are too low before the
// move has no slow answers in it unless they are slower than that.
func TestSlownessIsRelativeToUsualRatio(t *testing.T) {
	table := NewTable(DefaultConfig)
	for range 300 {
		table.RecordRatio("s", "r", "v1", 5)
	}
	table.AddOrder(1, "s", "v2", timeLimit, time.Time{})
	for range 10 {
		table.RecordRatio("s", "r", "v1", 6)
		table.RecordRatio("s", "r", "v2", 6)
		table.RecordRatio("s", "r", "v2", 20)
	}
	if table.IsOverdue("s", 6) || !table.IsOverdue("s", 20) {
		t.Error("overdue attempts are judged by another ratio than answers")
	}
	want := Evidence{NewTimed: 20, NewSlow: 10, OldTimed: 10}
	if got := table.Moves()[0].OwnEvidence; got != want {
		t.Errorf("evidence is %+v, want %+v", got, want)
	}
	table.AdvancePhase("s", 1, RolledBack, time.Time{})
	for range 300 {
		table.RecordRatio("s", "r", "v2", 100)
	}
	table.AddOrder(2, "s", "v3", timeLimit, time.Time{})
	if table.IsOverdue("s", 6) || !table.IsOverdue("s", 20) {
		t.Error("a version that was rolled back has changed the usual ratio")
	}
}

// TestSlowVersionGetsMoreThanItsPart plays moves to versions that give no answer within the
// move. Nodes know the counts of requests with a delay.
func TestSlowVersionGetsMoreThanItsPart(t *testing.T) {
	const delay, exposedShare, exposedSlack = 500 * time.Millisecond, 0.1, 50
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		perSecond := rapid.Float64Range(0.5, 400).Draw(t, "requests per second")
		limit := time.Duration(rapid.Float64Range(8, 20).Draw(t, "time limit, s") * float64(time.Second))
		shiftAt := time.Duration(rapid.Float64Range(0.1, 1).Draw(t, "shift at") * float64(limit))
		var e Evidence
		var known []Evidence
		interval := time.Duration(float64(time.Second) / perSecond)
		for at := time.Duration(0); at < limit; at += interval {
			p := Trial
			if at >= shiftAt {
				p = Shift
			}
			known = append(known, e)
			seen := known[max(len(known)-1-int(delay/interval), 0)]
			if random.Float64() < DefaultConfig.Share(p, seen, nil, at, limit) {
				e.NewSent++
			} else {
				e.OldSent++
			}
		}
		if bound := exposedShare*float64(e.NewSent+e.OldSent) + exposedSlack; float64(e.NewSent) > bound {
			t.Fatalf("%d of %d requests were sent to the new version, allowed are %v", e.NewSent, e.NewSent+e.OldSent, bound)
		}
	})
}

// TestTrialSendsEnoughAtLowTraffic sends three requests a second.
func TestTrialSendsEnoughAtLowTraffic(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	sent := uint64(0)
	const moves = 200
	for range moves {
		var e Evidence
		for at := time.Duration(0); at < timeLimit*6/10; at += time.Second / 3 {
			if random.Float64() < DefaultConfig.Share(Trial, e, nil, at, timeLimit) {
				e.NewSent++
			} else {
				e.OldSent++
			}
		}
		sent += e.NewSent
	}
	if mean := float64(sent) / moves; mean < 9 {
		t.Errorf("%v requests were sent to the new version on average", mean)
	}
}

// TestShareRisesWhileOldVersionIsUnwell: the old version is overloaded or fails.
func TestShareRisesWhileOldVersionIsUnwell(t *testing.T) {
	const at = timeLimit * 7 / 10
	well := Evidence{NewSent: 30, OldSent: 400, NewAnswers: 30, NewTimed: 30, OldAnswers: 300, OldFailures: 10, OldTimed: 300, OldSlow: 40}
	if p := DefaultConfig.Next(Trial, well, nil, at, timeLimit, true); p != Shift {
		t.Errorf("phase is %v beside an old version that is well", p)
	}
	fewAnswers := well
	fewAnswers.OldAnswers, fewAnswers.OldFailures, fewAnswers.OldTimed, fewAnswers.OldSlow = 19, 10, 19, 10
	if p := DefaultConfig.Next(Trial, fewAnswers, nil, at, timeLimit, true); p != Shift {
		t.Errorf("phase is %v with %+v", p, fewAnswers)
	}
	overloaded, failing := well, well
	overloaded.OldSlow = 150
	failing.OldFailures = 100
	for _, e := range []Evidence{overloaded, failing} {
		if p := DefaultConfig.Next(Trial, e, nil, at, timeLimit, true); p != Trial {
			t.Errorf("phase is %v with %+v", p, e)
		}
		if share := DefaultConfig.Share(Shift, e, nil, at, timeLimit); share > DefaultConfig.TrialShare {
			t.Errorf("share is %v with %+v", share, e)
		}
	}
}

// TestFailingOldVersionHidesFaultyOne: the old version fails nearly half of its answers.
func TestFailingOldVersionHidesFaultyOne(t *testing.T) {
	e := Evidence{NewAnswers: 20, NewFailures: 19, OldAnswers: 200, OldFailures: 90}
	if !DefaultConfig.IsNewVersionFaulty(e, nil) {
		t.Error("the new version does not count as faulty")
	}
}

// TestFaultOnOneRouteIsHidden plays versions that are slow or fail on one route, which has a
// tenth or a twentieth of the requests. Failures of a twentieth are below MinRate.
func TestFaultOnOneRouteIsHidden(t *testing.T) {
	for _, c := range []struct {
		fails bool
		// period is the number of requests with one on the faulty route.
		period int
	}{{true, 10}, {false, 10}, {true, 20}, {false, 20}} {
		table := NewTable(DefaultConfig)
		table.AddOrder(1, "s", "v2", timeLimit, time.Time{})
		for i := range 100 * c.period {
			route, version := "large", "v1"
			if i%c.period == 0 {
				route = "small"
			}
			if i/c.period%10 == 0 {
				version = "v2"
			}
			bad := route == "small" && version == "v2"
			ratio := 1.0
			if bad && !c.fails {
				ratio = 4
			}
			table.RecordRatio("s", route, version, ratio)
			table.CountAnswer("s", route, version, bad && c.fails)
		}
		m, _ := table.Newest("s")
		if !DefaultConfig.IsNewVersionFaulty(m.OwnEvidence, slices.Collect(maps.Values(m.OwnRoutes))) {
			t.Errorf("%+v: the new version does not count as faulty: %+v", c, m.OwnRoutes)
		}
	}
}

// TestFaultyVersionGetsRequestsWithoutLeaseHolder: nobody decides on the next phase.
func TestFaultyVersionGetsRequestsWithoutLeaseHolder(t *testing.T) {
	e := Evidence{NewSent: 12, OldSent: 60, NewTimed: 10, NewSlow: 10, OldTimed: 50}
	for _, p := range []Phase{Trial, Shift} {
		if share := DefaultConfig.Share(p, e, nil, 2*time.Second, timeLimit); share != 0 {
			t.Errorf("share in phase %v is %v", p, share)
		}
	}
}

// TestDoneMoveIsStatedLate: requests on the old version must not keep a move from being stated in
// time.
func TestDoneMoveIsStatedLate(t *testing.T) {
	const limit = 20 * time.Second
	for _, c := range []struct {
		phase     Phase
		isOldIdle bool
		elapsed   time.Duration
		sinceDone time.Duration
		want      bool
	}{
		{Trial, false, 0, 0, true},
		{Shift, false, 15 * time.Second, 0, true},
		{RolledBack, false, 15 * time.Second, 0, true},
		{Done, false, 17 * time.Second, 0, false},
		{Done, true, 17 * time.Second, 0, true},
		{Done, false, 19 * time.Second, 0, true},
		{Done, false, limit, 0, true},
		// The VM has started during the move.
		{Done, false, 2 * time.Second, 1500 * time.Millisecond, false},
		{Done, false, 2 * time.Second, 1700 * time.Millisecond, true},
	} {
		if got := DefaultConfig.MayState(c.phase, c.isOldIdle, c.elapsed, c.sinceDone, limit); got != c.want {
			t.Errorf("%+v: got %v", c, got)
		}
	}
}
