// Package moves decides when a version move raises its share, when the new
// version counts as faulty, and how the move ends. It does no I/O.
package moves

import (
	"fmt"
	"math"
	"slices"

	"coltsfootpath.example/coltsfootpath/internal/coordination/evidence"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// Measure names a quantity by which the versions are compared.
type Measure string

// Values of Measure.
const (
	Failures      Measure = "failures"
	FirstToken    Measure = "first token"
	BetweenTokens Measure = "between tokens"
)

// AllRoutes is the name under which all routes are tested together.
const AllRoutes = ""

// quantiles are the latency quantiles of the old version that serve as the
// baseline for the new one.
var quantiles = []float64{0.5, 0.9}

// Fault describes why a version counts as faulty.
type Fault struct {
	Route    string
	Measure  Measure
	Evidence string
}

// String describes the fault in one line.
func (f Fault) String() string {
	route := "all routes"
	if f.Route != AllRoutes {
		route = fmt.Sprintf("route %q", f.Route)
	}
	return fmt.Sprintf("%s: %s worse than the old version's: %s", route, f.Measure, f.Evidence)
}

// JudgeConfig configures a judge.
type JudgeConfig struct {
	Guard  document.Guard
	Routes []string
	// Windows is the number of windows in the complete move.
	Windows int
	// FalseAlarmRate bounds the probability that, over the complete move, a version
	// no worse than the guard tolerates is reported as faulty.
	FalseAlarmRate float64
}

// Pair holds the counts of both versions on one route in one window.
type Pair struct {
	New evidence.Counts
	Old evidence.Counts
}

// Window holds the counts of one time window at one share, by route.
type Window map[string]Pair

// Judge compares the new version with the old one, which runs at the same time.
// Its false alarm rate is split evenly between the failure tests and the
// latency tests, and then over the tests of each kind on all routes.
type Judge struct {
	// An e-process that reaches its threshold is evidence of a fault.
	failureThreshold float64
	latencyThreshold float64
	slowdownBuckets  int
	failureIncrease  float64
	routes           []string
	tests            map[string]*routeTest
	fault            *Fault
}

// routeTest holds the tests of one route.
type routeTest struct {
	step int
	// recentOldFailures and recentOldAnswers count the old version's recent
	// answers. Earlier answers are discounted.
	recentOldFailures float64
	recentOldAnswers  float64
	oldTotal          evidence.Counts
	newTotal          evidence.Counts
	odds              *eProcess
	absolute          *eProcess
	firstToken        []*eProcess
	betweenTokens     []*eProcess
}

// NewJudge returns a judge without evidence.
func NewJudge(cfg JudgeConfig) *Judge {
	routes := append([]string{AllRoutes}, cfg.Routes...)
	j := &Judge{
		failureThreshold: 2 * float64(len(routes)) / cfg.FalseAlarmRate,
		latencyThreshold: 2 * float64(len(routes)*2*len(quantiles)) / cfg.FalseAlarmRate,
		slowdownBuckets:  int(math.Ceil(evidence.BucketsPerDoubling * math.Log2(cfg.Guard.Slowdown))),
		failureIncrease:  cfg.Guard.FailureIncrease,
		routes:           routes,
		tests:            map[string]*routeTest{},
	}
	windows := max(cfg.Windows, 1)
	for _, r := range routes {
		t := &routeTest{odds: newEProcess(windows), absolute: newEProcess(windows)}
		for range quantiles {
			t.firstToken = append(t.firstToken, newEProcess(windows))
			t.betweenTokens = append(t.betweenTokens, newEProcess(windows))
		}
		j.tests[r] = t
	}
	return j
}

// Fold adds the counts of one window, which was measured after the given number
// of steps. Routes that are not configured count only towards AllRoutes.
func (j *Judge) Fold(w Window, step int) {
	var all Pair
	for _, p := range w {
		all.New.Add(p.New)
		all.Old.Add(p.Old)
	}
	for _, r := range j.routes {
		pair := w[r]
		if r == AllRoutes {
			pair = all
		}
		if pair.New.Answers == 0 {
			continue
		}
		j.foldRoute(r, pair, step)
	}
}

func (j *Judge) foldRoute(route string, p Pair, step int) {
	t := j.tests[route]
	isNewShare := step > t.step
	t.step = max(t.step, step)
	j.foldFailures(t, p, isNewShare)
	for i, q := range quantiles {
		foldLatency(t.firstToken[i], p.New.FirstToken, p.Old.FirstToken, t.oldTotal.FirstToken, q, j.slowdownBuckets, isNewShare)
		foldLatency(t.betweenTokens[i], p.New.BetweenTokens, p.Old.BetweenTokens, t.oldTotal.BetweenTokens, q, j.slowdownBuckets, isNewShare)
	}
	t.oldTotal.Add(p.Old)
	t.newTotal.Add(p.New)
	if j.fault == nil {
		j.fault = j.findFault(route, t)
	}
}

// foldFailures tests whether the new version fails more often than the old one
// at the same time, and more often than the guard allows in absolute terms. A
// fault must show in both tests: the first ignores failures that affect both
// versions alike, the second ignores an increase that the guard tolerates.
func (j *Judge) foldFailures(t *routeTest, p Pair, isNewShare bool) {
	expected := 0.0
	if t.recentOldAnswers > 0 {
		expected = t.recentOldFailures / t.recentOldAnswers
	}
	t.addOldAnswers(p.Old)
	tab := contingencyTable{NewTrials: p.New.Answers, NewHits: p.New.Failures, OldTrials: p.Old.Answers, OldHits: p.Old.Failures}
	base := min(max(expected, 2*j.failureIncrease, minFailureRate), maxFailureRate)
	t.odds.fold(oddsRatioLogs(tab, max(odds(base+j.failureIncrease)/odds(base), 1)), isNewShare)
	t.absolute.fold(j.absoluteLogs(tab, expected), isNewShare)
}

// minOldFailures is the number of failures of the old version in one window at
// which the absolute test also uses that window's own failure rate.
const minOldFailures = 3

// absoluteLogs returns the logarithmic e-values of the new version's own failure
// rate. The minimum of two e-values is an e-value, so a window in which the old
// version fails more than it did recently is also tested against that window's
// rate.
func (j *Judge) absoluteLogs(tab contingencyTable, expected float64) []float64 {
	null := func(rate float64) float64 { return min(max(rate+j.failureIncrease, minFailureRate), maxFailureRate) }
	logs := binomialLogs(tab, null(expected))
	if tab.OldHits < minOldFailures {
		return logs
	}
	for i, l := range binomialLogs(tab, null(float64(tab.OldHits)/float64(tab.OldTrials))) {
		logs[i] = min(logs[i], l)
	}
	return logs
}

// maxRecentAnswers is the number of the old version's answers from which the
// expected failure rate is computed.
const maxRecentAnswers = 1000

// addOldAnswers adds the old version's newest counts and discounts earlier
// ones.
func (t *routeTest) addOldAnswers(c evidence.Counts) {
	t.recentOldFailures += float64(c.Failures)
	t.recentOldAnswers += float64(c.Answers)
	if t.recentOldAnswers > maxRecentAnswers {
		t.recentOldFailures *= maxRecentAnswers / t.recentOldAnswers
		t.recentOldAnswers = maxRecentAnswers
	}
}

// The failure rates in null hypotheses are kept within these limits, so that the
// odds and logarithms of the tests are finite.
const (
	minFailureRate = 0.0001
	maxFailureRate = 0.9
)

func odds(p float64) float64 {
	p = min(p, 1-minFailureRate)
	return p / (1 - p)
}

// foldLatency folds the latencies of one window into p. It compares the fraction
// of slow answers of both versions. An answer of the old version is slow above
// the old version's quantile in earlier windows, one of the new version above
// that quantile times the tolerated slowdown, which is given as a number of
// buckets.
func foldLatency(p *eProcess, newer, older, earlier evidence.Histogram, quantile float64, slowdownBuckets int, isNewShare bool) {
	bucket, ok := earlier.Quantile(quantile)
	if !ok {
		return
	}
	tab := contingencyTable{
		NewTrials: newer.Total(), NewHits: newer.Above(bucket + slowdownBuckets),
		OldTrials: older.Total(), OldHits: older.Above(bucket),
	}
	p.fold(oddsRatioLogs(tab, 1), isNewShare)
}

func (j *Judge) findFault(route string, t *routeTest) *Fault {
	if min(t.odds.value(), t.absolute.value()) >= j.failureThreshold {
		return &Fault{Route: route, Measure: Failures, Evidence: fmt.Sprintf(
			"%d of %d answers failed, of the old version's %d of %d",
			t.newTotal.Failures, t.newTotal.Answers, t.oldTotal.Failures, t.oldTotal.Answers)}
	}
	if slices.ContainsFunc(t.firstToken, j.latencyExceeded) {
		return &Fault{Route: route, Measure: FirstToken, Evidence: describeLatencies(t.newTotal.FirstToken, t.oldTotal.FirstToken)}
	}
	if slices.ContainsFunc(t.betweenTokens, j.latencyExceeded) {
		return &Fault{Route: route, Measure: BetweenTokens, Evidence: describeLatencies(t.newTotal.BetweenTokens, t.oldTotal.BetweenTokens)}
	}
	return nil
}

func (j *Judge) latencyExceeded(p *eProcess) bool {
	return p.value() >= j.latencyThreshold
}

func describeLatencies(newer, older evidence.Histogram) string {
	return fmt.Sprintf("median and p90 in ms at most %s over %d answers, of the old version's %s over %d",
		describeQuantiles(newer), newer.Total(), describeQuantiles(older), older.Total())
}

func describeQuantiles(h evidence.Histogram) string {
	var out [2]float64
	for i, q := range quantiles {
		bucket, _ := h.Quantile(q)
		out[i] = math.Exp2(float64(bucket) / evidence.BucketsPerDoubling)
	}
	return fmt.Sprintf("%.0f and %.0f", out[0], out[1])
}

// Fault returns the first fault found, or nil if there is none.
func (j *Judge) Fault() *Fault {
	return j.fault
}
