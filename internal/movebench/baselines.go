package movebench

import (
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/evidence"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// canary raises the new version's share in fixed steps and rolls back if it
// differs from the old version by more than a threshold. It observes every answer
// without delay.
type canary struct {
	scenario      scenario
	sharePermille int
	newCounts     evidence.Counts
	oldCounts     evidence.Counts
	done          bool
	finished      bool
	endedAt       time.Duration
}

var canaryStepsPermille = []int{50, 250, 500, 900}

// canaryMinAnswers is the number of answers of each version that are needed for a
// comparison.
const canaryMinAnswers = 100

func (c *canary) chooseVersion(_, key int) (bool, int) {
	return key < c.sharePermille, 0
}

func (c *canary) recordAnswer(a answer) {
	counts := &c.oldCounts
	if a.onNewVersion {
		counts = &c.newCounts
	}
	counts.Answers++
	if a.failed {
		counts.Failures++
		return
	}
	counts.FirstToken.Add(a.firstToken)
	counts.BetweenTokens.Add(a.betweenTokens)
}

func (c *canary) tick(at time.Duration) {
	if c.done {
		return
	}
	if c.newVersionIsWorse() {
		c.done, c.sharePermille, c.endedAt = true, 0, at
		return
	}
	step := int(at * time.Duration(len(canaryStepsPermille)) / c.scenario.duration)
	if step >= len(canaryStepsPermille) {
		c.done, c.finished, c.sharePermille, c.endedAt = true, true, 1000, at
		return
	}
	if c.sharePermille != canaryStepsPermille[step] {
		c.sharePermille = canaryStepsPermille[step]
		c.newCounts, c.oldCounts = evidence.Counts{}, evidence.Counts{}
	}
}

func (c *canary) newVersionIsWorse() bool {
	if c.newCounts.Answers < canaryMinAnswers || c.oldCounts.Answers < canaryMinAnswers {
		return false
	}
	if failureRatio(c.newCounts) > failureRatio(c.oldCounts)+document.DefaultFailureIncrease {
		return true
	}
	return isSlower(c.newCounts.FirstToken, c.oldCounts.FirstToken) || isSlower(c.newCounts.BetweenTokens, c.oldCounts.BetweenTokens)
}

func failureRatio(c evidence.Counts) float64 {
	return float64(c.Failures) / float64(c.Answers)
}

func isSlower(newer, older evidence.Histogram) bool {
	a, newerOK := newer.Quantile(0.95)
	b, olderOK := older.Quantile(0.95)
	return newerOK && olderOK && a >= b+toleratedBuckets
}

// toleratedBuckets is the guard's default slowdown of 1.5 as a number of histogram
// buckets, rounded up.
const toleratedBuckets = 3

func (c *canary) activeSharePermille() int { return c.sharePermille }

func (c *canary) finalStatus() (bool, bool, time.Duration) {
	return c.finished, c.done, c.endedAt
}

func (c *canary) reason() string { return "threshold" }

// allAtOnce moves all traffic at the deadline and never rolls back.
type allAtOnce struct {
	scenario scenario
	done     bool
}

func (p *allAtOnce) chooseVersion(int, int) (bool, int) { return p.done, 0 }
func (p *allAtOnce) reason() string                     { return "" }
func (p *allAtOnce) recordAnswer(answer)                {}
func (p *allAtOnce) tick(at time.Duration)              { p.done = at >= p.scenario.duration }

func (p *allAtOnce) activeSharePermille() int {
	if p.done {
		return 1000
	}
	return 0
}

func (p *allAtOnce) finalStatus() (bool, bool, time.Duration) {
	return p.done, p.done, p.scenario.duration
}
