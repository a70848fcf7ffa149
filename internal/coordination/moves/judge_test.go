package moves

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/evidence"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

var guard = document.Guard{FailureIncrease: document.DefaultFailureIncrease, Slowdown: document.DefaultSlowdown}

// answerSource generates random answers of one version.
type answerSource struct {
	failureRate float64
	slowdown    float64
}

func (s answerSource) draw(random *rand.Rand, n int) evidence.Counts {
	var c evidence.Counts
	for range n {
		c.Answers++
		if random.Float64() < s.failureRate {
			c.Failures++
			continue
		}
		c.FirstToken.Add(time.Duration(s.slowdown * 3e8 * math.Exp(0.5*random.NormFloat64())))
		c.BetweenTokens.Add(time.Duration(s.slowdown * 25e6 * math.Exp(0.3*random.NormFloat64())))
	}
	return c
}

// foldUntilFault folds windows until a fault is found and returns the number of
// windows folded. The fault is nil if the last window was reached without one.
func foldUntilFault(seed uint64, windows int, falseAlarm float64, draw func(window int, random *rand.Rand) Pair) (int, *Fault) {
	random := rand.New(rand.NewPCG(seed, 9))
	j := NewJudge(JudgeConfig{Guard: guard, Routes: []string{"r"}, Windows: windows, FalseAlarmRate: falseAlarm})
	for w := range windows {
		j.Fold(Window{"r": draw(w, random)}, 1)
		if f := j.Fault(); f != nil {
			return w + 1, f
		}
	}
	return windows, nil
}

// TestFalseAlarmsStayUnderTheStatedRate checks every window of 400 moves to a
// version that equals the old one, with periods of failures and slowness that
// affect both. The configured rate is 5 in 100, so more than 40 alarms are a
// clear violation.
func TestFalseAlarmsStayUnderTheStatedRate(t *testing.T) {
	const runs, falseAlarm = 400, 0.05
	alarms := 0
	for seed := range uint64(runs) {
		_, fault := foldUntilFault(seed, 150, falseAlarm, func(w int, random *rand.Rand) Pair {
			s := answerSource{failureRate: 0.03, slowdown: 1}
			if w%40 > 30 {
				s = answerSource{failureRate: 0.3, slowdown: 2.5}
			}
			return Pair{New: s.draw(random, random.IntN(5)), Old: s.draw(random, 20)}
		})
		if fault != nil {
			alarms++
		}
	}
	if alarms > 2*falseAlarm*runs {
		t.Fatalf("%d false alarms in %d moves", alarms, runs)
	}
}

// TestFailuresOfBothVersionsAreNoFault makes both versions fail at once while
// few requests go to the old one.
func TestFailuresOfBothVersionsAreNoFault(t *testing.T) {
	const runs, falseAlarm = 100, 0.05
	alarms := 0
	for seed := range uint64(runs) {
		_, fault := foldUntilFault(seed, 120, falseAlarm, func(w int, random *rand.Rand) Pair {
			s := answerSource{failureRate: 0.005, slowdown: 1}
			if w >= 100 {
				s.failureRate = 0.3
			}
			return Pair{New: s.draw(random, 20), Old: s.draw(random, 3)}
		})
		if fault != nil {
			alarms++
		}
	}
	if alarms > 2*falseAlarm*runs {
		t.Fatalf("%d false alarms in %d moves", alarms, runs)
	}
}

// TestEValuesHaveExpectationOfAtMostOne sums the e-values of every outcome of a
// window, weighted with its probability at the highest tolerated odds.
func TestEValuesHaveExpectationOfAtMostOne(t *testing.T) {
	for _, null := range []float64{1, 2} {
		for _, c := range []struct{ newer, older, hits uint64 }{{1, 50, 3}, {20, 20, 15}, {40, 5, 30}, {3, 300, 2}} {
			sums := make([]float64, len(alternatives))
			for k := uint64(0); k <= min(c.newer, c.hits); k++ {
				if c.hits-k > c.older {
					continue
				}
				tab := contingencyTable{NewTrials: c.newer, NewHits: k, OldTrials: c.older, OldHits: c.hits - k}
				p := math.Exp(logFisher(tab, null))
				for i, l := range oddsRatioLogs(tab, null) {
					sums[i] += p * math.Exp(l)
				}
			}
			for i, s := range sums {
				if s > 1+1e-9 {
					t.Errorf("null %v, %+v: expectation %v for alternative %v", null, c, s, alternatives[i])
				}
			}
		}
	}
}

func TestLogFisherIsADistribution(t *testing.T) {
	for _, omega := range []float64{0.5, 1, 16} {
		sum := 0.0
		for k := uint64(5); k <= 12; k++ {
			sum += math.Exp(logFisher(contingencyTable{NewTrials: 12, NewHits: k, OldTrials: 20, OldHits: 25 - k}, omega))
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("omega %v: the probabilities add up to %v", omega, sum)
		}
	}
}

func TestFaultsAreFound(t *testing.T) {
	good := answerSource{failureRate: 0.005, slowdown: 1}
	cases := []struct {
		name    string
		bad     answerSource
		after   int
		windows int
		measure Measure
	}{
		{"fails always", answerSource{failureRate: 1, slowdown: 1}, 0, 20, Failures},
		{"fails one in five", answerSource{failureRate: 0.2, slowdown: 1}, 0, 60, Failures},
		{"slow", answerSource{failureRate: 0.005, slowdown: 3}, 0, 30, FirstToken},
		{"starts to fail", answerSource{failureRate: 0.5, slowdown: 1}, 300, 20, Failures},
		{"becomes slow", answerSource{failureRate: 0.005, slowdown: 3}, 300, 30, FirstToken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			folded, fault := foldUntilFault(1, 600, LeaseHolderFalseAlarmRate, func(w int, random *rand.Rand) Pair {
				s := good
				if w >= c.after {
					s = c.bad
				}
				return Pair{New: s.draw(random, 2), Old: good.draw(random, 60)}
			})
			if fault == nil || folded <= c.after || folded > c.after+c.windows {
				t.Fatalf("fault %v after %d windows", fault, folded)
			}
			if fault.Measure != c.measure && (c.measure != FirstToken || fault.Measure != BetweenTokens) {
				t.Fatalf("fault found by %s: %v", fault.Measure, fault)
			}
		})
	}
}

func TestFaultOfOneRouteIsFound(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 9))
	j := NewJudge(JudgeConfig{Guard: guard, Routes: []string{"large", "small"}, Windows: 600, FalseAlarmRate: LeaseHolderFalseAlarmRate})
	good, bad := answerSource{slowdown: 1}, answerSource{failureRate: 0.8, slowdown: 1}
	for w := 0; w < 300 && j.Fault() == nil; w++ {
		window := Window{"large": {New: good.draw(random, 20), Old: good.draw(random, 20)}}
		if w%3 == 0 {
			window["small"] = Pair{New: bad.draw(random, 1), Old: good.draw(random, 1)}
		}
		j.Fold(window, 1)
	}
	if f := j.Fault(); f == nil || f.Route != "small" {
		t.Fatal(f)
	}
}

func TestDifferenceWithinTheGuardIsNoFault(t *testing.T) {
	for seed := range uint64(20) {
		_, fault := foldUntilFault(seed, 300, LeaseHolderFalseAlarmRate, func(_ int, random *rand.Rand) Pair {
			return Pair{
				New: answerSource{failureRate: 0.015, slowdown: 1.3}.draw(random, 20),
				Old: answerSource{failureRate: 0.001, slowdown: 1}.draw(random, 20),
			}
		})
		if fault != nil {
			t.Fatal(seed, fault)
		}
	}
}
