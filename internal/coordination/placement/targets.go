package placement

import (
	"math"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/cost"
)

const (
	// missCostMillis is added to the score for each answer that is expected to miss a
	// target.
	missCostMillis = 1000.0
	// timeSpread is the spread of a time around its prediction, as a natural logarithm:
	// servers share hardware with others and are slower at times.
	timeSpread = 0.25
	// sparedDelayWeight multiplies the time to the first token of a request with a latency
	// target: what is within the target costs the caller little.
	sparedDelayWeight = 0.3
	// eventTokens is the assumed number of answer tokens in an event.
	eventTokens = 7
	// maxPrefillPerEvent is the number of prompt tokens that an engine computes at most
	// between two events of an answer: a chunk in each step.
	maxPrefillPerEvent = eventTokens * 2048
)

// maxSmallBatch is the number of slots up to which targets and speeds count in the choice of a
// server. In larger batches a prompt is spread over the steps of many answers, and the choice
// by the least delay serves callers better.
const maxSmallBatch = 32

// haveSmallBatches reports whether the servers run few requests at once.
func haveSmallBatches(candidates []Candidate) bool {
	return len(candidates) > 0 && candidates[0].Slots > 0 && candidates[0].Slots <= maxSmallBatch
}

// missProbability returns the probability that a time with this prediction, in milliseconds,
// exceeds the target.
func missProbability(predicted float64, target time.Duration) float64 {
	if target <= 0 || predicted <= 0 {
		return 0
	}
	return 1 / (1 + math.Pow(predicted/cost.Millis(target), -1/timeSpread))
}

// ownDelayWeight returns the weight of a request's own time to the first token.
func ownDelayWeight(req *Request) float64 {
	if req.LatencyTarget > 0 {
		return sparedDelayWeight
	}
	return 1
}

// addedLongPauses returns the number of answers running on a server that are expected to
// pause for longer than the target because of the request's prefill, beyond those that pause
// because of the prefill that is already there.
func addedLongPauses(rates cost.Rates, req *Request, c *Candidate, uncachedTokens float64) float64 {
	answers := c.Load.Running
	if c.Slots > 0 {
		answers = min(answers, float64(c.Slots))
	}
	if req.PauseTarget <= 0 || answers <= 0 {
		return 0
	}
	before := missProbability(pauseMillis(rates, c, c.Load.PrefillTokens), req.PauseTarget)
	after := missProbability(pauseMillis(rates, c, c.Load.PrefillTokens+uncachedTokens), req.PauseTarget)
	return answers * (after - before)
}

// pauseMillis returns the longest pause between two events of the answers on a server that
// has this many prompt tokens to compute.
func pauseMillis(rates cost.Rates, c *Candidate, prefillTokens float64) float64 {
	return c.Slowdown * (rates.PrefillMillis(min(prefillTokens, maxPrefillPerEvent)) + eventTokens*stepTime(rates, c))
}
