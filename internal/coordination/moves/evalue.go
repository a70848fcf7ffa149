package moves

import "math"

// The tests in this file are e-processes: products of e-values, one for each
// time window, whose expectation is at most 1 while the new version is no worse
// than tolerated. Sums over the possible start windows of a fault, with weights
// that add up to 1, keep that property. By Ville's inequality the probability
// that such a sum ever reaches 1/alpha is at most alpha, however often it is
// checked.

// alternatives are the odds ratios, relative to the null hypothesis, for which
// the tests compute an e-value. The tests are most sensitive at these ratios.
var alternatives = []float64{2, 4, 16, 64}

// maxWindowLog bounds the logarithm of one window's e-value, so that a fault
// must show in several windows. A reduced e-value is still an e-value.
const maxWindowLog = 6.0

// stepWeight is the total weight of faults that start in the first window at a
// new share; the rest is spread evenly over all windows.
const stepWeight = 0.5

// eProcess is an e-process over the unknown start of a fault.
type eProcess struct {
	windows int
	// startsLeft and stepsLeft count the windows and steps that may still
	// receive their weight.
	startsLeft int
	stepsLeft  int
	// eValues holds the accumulated e-value for each of the alternatives.
	eValues []float64
}

func newEProcess(windows int) *eProcess {
	return &eProcess{windows: windows, startsLeft: windows, stepsLeft: len(stages), eValues: make([]float64, len(alternatives))}
}

// startWeight returns the weight of a fault that starts in this window.
func (p *eProcess) startWeight(isNewShare bool) float64 {
	weight := 0.0
	if p.startsLeft > 0 {
		p.startsLeft--
		weight += (1 - stepWeight) / float64(p.windows)
	}
	if isNewShare && p.stepsLeft > 0 {
		p.stepsLeft--
		weight += stepWeight / float64(len(stages))
	}
	return weight
}

// fold adds one window. logs holds the window's logarithmic e-value for each
// alternative, by which the accumulated one is multiplied. isNewShare is true
// for the first window at a new share.
func (p *eProcess) fold(logs []float64, isNewShare bool) {
	weight := p.startWeight(isNewShare)
	for i, l := range logs {
		p.eValues[i] = (p.eValues[i] + weight) * math.Exp(min(l, maxWindowLog))
	}
}

// value returns the accumulated evidence: the mean over all alternatives.
func (p *eProcess) value() float64 {
	sum := 0.0
	for _, w := range p.eValues {
		sum += w
	}
	return sum / float64(len(p.eValues))
}

// contingencyTable counts, for both versions in one window, the answers (trials)
// and the failed or slow ones among them (hits).
type contingencyTable struct {
	NewTrials, NewHits, OldTrials, OldHits uint64
}

func (t contingencyTable) empty() bool {
	return t.NewTrials == 0 || t.OldTrials == 0 || t.NewHits+t.OldHits == 0 || t.NewHits+t.OldHits == t.NewTrials+t.OldTrials
}

// oddsRatioLogs returns the logarithmic e-values of a window against the null
// hypothesis that the odds of a hit are at most null times those of the old
// version. Given the total number of hits, the new version's hits follow
// Fisher's noncentral hypergeometric distribution, whatever the rate of hits in
// the window is, so load and faults that affect both versions alike cancel out.
func oddsRatioLogs(t contingencyTable, null float64) []float64 {
	logs := make([]float64, len(alternatives))
	if t.empty() {
		return logs
	}
	base := logFisher(t, null)
	for i, a := range alternatives {
		logs[i] = logFisher(t, null*a) - base
	}
	return logs
}

// logFisher returns the logarithm of the probability that the hits are divided
// between the versions as observed, given their total, if the odds ratio is
// omega.
func logFisher(t contingencyTable, omega float64) float64 {
	hits := t.NewHits + t.OldHits
	low := uint64(0)
	if hits > t.OldTrials {
		low = hits - t.OldTrials
	}
	high := min(t.NewTrials, hits)
	logOmega := math.Log(omega)
	term, observed := 0.0, 0.0
	sum, peak := 1.0, 0.0
	for k := low; ; k++ {
		if k == t.NewHits {
			observed = term
		}
		if k == high {
			break
		}
		rise := float64(t.NewTrials-k) / float64(k+1) * float64(hits-k) / float64(t.OldTrials-hits+k+1)
		term += math.Log(rise) + logOmega
		if term > peak {
			sum = sum*math.Exp(peak-term) + 1
			peak = term
			continue
		}
		sum += math.Exp(term - peak)
	}
	return observed - peak - math.Log(sum)
}

// binomialLogs returns the logarithmic e-values of a window against the null
// hypothesis that a trial of the new version is a hit with probability at most
// null.
func binomialLogs(t contingencyTable, null float64) []float64 {
	logs := make([]float64, len(alternatives))
	if t.NewTrials == 0 {
		return logs
	}
	hits, misses := float64(t.NewHits), float64(t.NewTrials-t.NewHits)
	for i, a := range alternatives {
		odds := a * null / (1 - null)
		alt := odds / (1 + odds)
		logs[i] = hits*math.Log(alt/null) + misses*math.Log((1-alt)/(1-null))
	}
	return logs
}
