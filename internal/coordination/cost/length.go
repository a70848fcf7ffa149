package cost

import (
	"math"
	"time"
)

// lengthKey identifies answers of one kind. Levels without a workspace or a route hold the
// answers of all of them.
type lengthKey struct{ service, route, workspace string }

// answerLength is what is known of the length of one kind of answers: the logarithm of the
// number of tokens, and that of its ratio to the caller's hint.
type answerLength struct {
	tokens, hintRatio logAverage
}

// lengthPriorWeight is the number of samples that the level above counts as much as.
const lengthPriorWeight = 4.0

// Remaining returns the expected number of tokens that are still to come after those produced.
// An answer that is longer than expected is expected to go on for a while.
func (e Estimate) Remaining(produced float64) float64 {
	deviation := 0.0
	if e.Median > 0 {
		deviation = math.Log(max(e.P90/e.Median, 1)) / p90Deviations
	}
	if produced <= 0 || deviation <= 0 {
		return max(e.Mean-produced, 0)
	}
	// The mean excess of a log-normal quantity over a value.
	z := (math.Log(e.Median) - math.Log(produced)) / deviation
	exceeds := normal(z)
	if exceeds < minExceeding {
		return produced * deviation / -z
	}
	return max(math.Exp(math.Log(e.Median)+square(deviation)/2)*normal(z+deviation)/exceeds-produced, 0)
}

// minExceeding is the probability below which the mean excess is approximated.
const minExceeding = 1e-4

// normal is the distribution function of the normal distribution.
func normal(z float64) float64 { return math.Erfc(-z/math.Sqrt2) / 2 }

// levels returns the keys of a request from the most general to the most specific one.
func levels(r *Request) [3]lengthKey {
	return [3]lengthKey{{service: r.Service}, {service: r.Service, route: r.Route}, {service: r.Service, route: r.Route, workspace: r.Workspace}}
}

// AnswerTokens returns the predicted length of a request's answer. It follows the caller's hint,
// corrected by how far the hints of such requests were off, unless they say less than the
// lengths of earlier answers do.
func (m *Model) AnswerTokens(r Request, now time.Time) Estimate {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.answerTokens(&r, now)
	if bound := float64(r.MaxAnswerTokens); bound > 0 {
		e = Estimate{Mean: min(e.Mean, bound), Median: min(e.Median, bound), P90: min(e.P90, bound)}
	}
	return e
}

// answerTokens predicts a length. The caller must hold the lock.
func (m *Model) answerTokens(r *Request, now time.Time) Estimate {
	stated := float64(r.HintTokens)
	if stated <= 0 {
		stated = float64(r.MaxAnswerTokens)
	}
	if m.isFixed.Load() {
		return Estimate{Mean: stated, Median: stated, P90: stated}
	}
	var byLength, byHint lengthEstimate
	if stated > 0 {
		byLength.log = math.Log(stated)
	}
	for _, key := range levels(r) {
		if l, ok := m.lengths[key]; ok {
			byLength.refine(&l.tokens, now)
			byHint.refine(&l.hintRatio, now)
		}
	}
	best := byLength
	if r.HintTokens > 0 && (byLength.weight < lengthPriorWeight || byHint.deviation <= byLength.deviation) {
		best = byHint
		best.log += math.Log(float64(r.HintTokens))
	}
	return logNormal(best.log, best.deviation)
}

// lengthEstimate is a prediction that is refined level by level.
type lengthEstimate struct{ log, deviation, weight float64 }

// refine draws the estimate towards the samples of a more specific level, the more of them
// there are.
func (e *lengthEstimate) refine(a *logAverage, now time.Time) {
	a.forget(now, lengthHalfLife)
	share := a.weight / (a.weight + lengthPriorWeight)
	e.log = a.mean(e.log, lengthPriorWeight)
	e.deviation += share * (a.deviation() - e.deviation)
	e.weight = max(e.weight, a.weight)
}

// observeLength learns from the length of an answer. One that was cut off counts as long as
// such an answer is expected to become. The caller must hold the lock.
func (m *Model) observeLength(o *Observation, now time.Time) {
	tokens := float64(o.AnswerTokens)
	if !o.Complete {
		e := m.answerTokens(&o.Request, now)
		if tokens < e.Median {
			return
		}
		tokens *= max(e.Mean/e.Median, 1)
	}
	for _, key := range levels(&o.Request) {
		l, ok := m.lengths[key]
		if !ok {
			if len(m.lengths) >= maxLengths {
				return
			}
			l = &answerLength{}
			m.lengths[key] = l
		}
		l.tokens.add(math.Log(tokens), 1, now, lengthHalfLife)
		if o.Request.HintTokens > 0 {
			l.hintRatio.add(math.Log(tokens/float64(o.Request.HintTokens)), 1, now, lengthHalfLife)
		}
	}
}
