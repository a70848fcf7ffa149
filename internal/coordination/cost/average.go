package cost

import (
	"math"
	"time"
)

// logAverage is the mean and the spread of the logarithm of a quantity over samples that lose
// their weight with their age. The influence of one sample is bounded.
type logAverage struct {
	weight, sum, squares float64
	at                   time.Time
}

// maxLogStep bounds how far a sample counts as being from the mean once there are samples.
const (
	maxLogStep     = 1.1
	boundedSamples = 3.0
)

func (a *logAverage) forget(now time.Time, halfLife time.Duration) {
	keep := decay(now.Sub(a.at), halfLife)
	a.weight *= keep
	a.sum *= keep
	a.squares *= keep
	a.at = later(a.at, now)
}

// add adds a sample's logarithm.
func (a *logAverage) add(log, weight float64, now time.Time, halfLife time.Duration) {
	a.forget(now, halfLife)
	if a.weight >= boundedSamples {
		mean := a.sum / a.weight
		step := max(maxLogStep, 2*a.deviation())
		log = min(max(log, mean-step), mean+step)
	}
	a.weight += weight
	a.sum += weight * log
	a.squares += weight * log * log
}

// mean returns the mean logarithm, drawn towards that of a prior with the given weight.
func (a *logAverage) mean(prior, priorWeight float64) float64 {
	return (a.sum + prior*priorWeight) / (a.weight + priorWeight)
}

// deviation returns the standard deviation of the logarithm.
func (a *logAverage) deviation() float64 {
	if a.weight <= 0 {
		return 0
	}
	mean := a.sum / a.weight
	return math.Sqrt(max(a.squares/a.weight-mean*mean, 0))
}
