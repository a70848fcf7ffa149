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

const (
	// maxLogStep bounds how far a sample counts as being from the mean, once there are
	// boundedSamples.
	maxLogStep     = 1.1
	boundedSamples = 3.0
	// maxDelayStep bounds it for times above the mean of a server's speed: what delays a
	// request otherwise, like work that this VM does not know of, says nothing about the speed.
	maxDelayStep = 0.4
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
	step := max(maxLogStep, 2*a.deviation())
	a.addBounded(log, weight, -step, step, now, halfLife)
}

// addBounded adds a sample's logarithm, which counts as being between the mean plus low and the
// mean plus high.
func (a *logAverage) addBounded(log, weight, low, high float64, now time.Time, halfLife time.Duration) {
	a.forget(now, halfLife)
	if a.weight >= boundedSamples {
		mean := a.sum / a.weight
		log = min(max(log, mean+low), mean+high)
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
