package cost

import (
	"math"
	"time"
)

const (
	// features is the number of coefficients of a regression.
	features = 3
	// momentCount is the number of sums that describe the samples of a regression: the
	// samples' weight, the products of two features, and those of a feature and the time.
	momentCount = 1 + features*(features+1)/2 + features
	// relativeNoise is the standard deviation of a sample around the prediction, as a share
	// of it.
	relativeNoise = 0.5
	// fullWeightError is the relative error up to which a sample has its full weight. The
	// weight of one that is further off falls with its error, so that the fit follows the
	// median rather than the mean.
	fullWeightError = 0.15
	// maxSampleError bounds the ratio of a sample to the prediction, either way.
	maxSampleError = 4.0
	// minPredictedMillis bounds the prediction that a sample's weight follows.
	minPredictedMillis = 2.0
)

// coefficient is the prior of one coefficient: its mean, its standard deviation and its range.
// A coefficient without a deviation keeps its mean.
type coefficient struct {
	mean, deviation, min, max float64
}

// moments are sums over samples. All of them grow with each sample.
type moments [momentCount]float64

// index returns the position of the product of features i and j, i <= j.
func productIndex(i, j int) int { return 1 + i*features - i*(i-1)/2 + j - i }

func timeIndex(i int) int { return 1 + features*(features+1)/2 + i }

// regression fits a time, in milliseconds, as a linear function of features that are not
// negative. Older samples lose their weight exponentially. It is not safe for concurrent use.
type regression struct {
	priors   [features]coefficient
	halfLife time.Duration
	sums     moments
	// total holds the sums of this VM's own samples without forgetting.
	total     moments
	decayedAt time.Time
	// solved holds the coefficients of the last solution, and isSolved is false if there have
	// been samples since.
	solved   [features]float64
	isSolved bool
	solvedAt time.Time
}

func newRegression(halfLife time.Duration, priors [features]coefficient) *regression {
	r := &regression{priors: priors, halfLife: halfLife, isSolved: true}
	for i, p := range priors {
		r.solved[i] = p.mean
	}
	return r
}

// predict returns the time for the features according to the last solution.
func (r *regression) predict(x [features]float64) float64 {
	sum := 0.0
	for i := range x {
		sum += r.solved[i] * x[i]
	}
	return sum
}

// add adds a sample. certainty is its weight if its time is as predicted, from 0 to 1.
func (r *regression) add(x [features]float64, millis, certainty float64, now time.Time) {
	predicted := max(r.predict(x), minPredictedMillis)
	millis = min(max(millis, predicted/maxSampleError), predicted*maxSampleError)
	weight := certainty * fullWeightError / max(math.Abs(millis/predicted-1), fullWeightError)
	scale := weight / square(predicted)
	var m moments
	m[0] = weight
	for i := range features {
		for j := i; j < features; j++ {
			m[productIndex(i, j)] = scale * x[i] * x[j]
		}
		m[timeIndex(i)] = scale * x[i] * millis
	}
	r.merge(m, 1, now)
	for i, v := range m {
		r.total[i] += v
	}
}

// merge adds sums of samples, multiplied by factor.
func (r *regression) merge(m moments, factor float64, now time.Time) {
	r.forget(now)
	for i, v := range m {
		r.sums[i] += factor * v
	}
	r.isSolved = false
}

// forget reduces the weight of the samples by their age.
func (r *regression) forget(now time.Time) {
	if keep := decay(now.Sub(r.decayedAt), r.halfLife); keep < 1 {
		for i := range r.sums {
			r.sums[i] *= keep
		}
	}
	r.decayedAt = later(r.decayedAt, now)
}

// solveInterval bounds how often a regression with many samples is solved.
const (
	solveInterval    = 100 * time.Millisecond
	fewSamples       = 30.0
	solverIterations = 40
)

// coefficients returns the coefficients that fit the samples and the prior best.
func (r *regression) coefficients(now time.Time) [features]float64 {
	if r.isSolved || r.sums[0] > fewSamples && now.Sub(r.solvedAt) < solveInterval {
		return r.solved
	}
	r.isSolved, r.solvedAt = true, now
	x := r.solved
	for range solverIterations {
		for i, p := range r.priors {
			if p.deviation <= 0 {
				x[i] = p.mean
				continue
			}
			strength := square(relativeNoise / p.deviation)
			diagonal := r.sums[productIndex(i, i)] + strength
			rest := r.sums[timeIndex(i)] + strength*p.mean
			for j := range features {
				if j != i {
					rest -= r.sums[productIndex(min(i, j), max(i, j))] * x[j]
				}
			}
			x[i] = min(max(rest/diagonal, p.min), p.max)
		}
	}
	r.solved = x
	return x
}

// isPlausible reports whether sums received from a peer may come from real samples: each
// coefficient that they suggest is near its range.
func (r *regression) isPlausible(m moments) bool {
	for _, v := range m {
		if !(v >= 0) || math.IsInf(v, 0) {
			return false
		}
	}
	predicted, measured := 0.0, 0.0
	for i := range features {
		measured += m[timeIndex(i)]
		for j := range features {
			predicted += r.solved[j] * m[productIndex(min(i, j), max(i, j))]
		}
	}
	ratio := measured / predicted
	return m[0] > 0 && ratio >= 1/(maxSampleError*maxSampleError) && ratio <= maxSampleError*maxSampleError
}

// decay returns the share of a weight that is left after a time.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
