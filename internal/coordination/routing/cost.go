package routing

import (
	"math"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
)

// Cost models the step times of an engine of ordinary speed. Each engine's
// slowdown scales the times, so only their proportions matter.
type Cost struct {
	// StepBase is the time of a step without work. Each running sequence adds
	// StepPerSequence, and each prompt token computed adds PrefillPerToken.
	StepBase        time.Duration
	StepPerSequence time.Duration
	PrefillPerToken time.Duration
	// PrefillChunk bounds the prompt tokens computed in one step.
	PrefillChunk int
	// Slots is the number of slots assumed for an engine that does not report it.
	Slots int
	// FirstTokenTarget and BetweenTokensTarget are the target times to the first
	// token and between tokens.
	FirstTokenTarget    time.Duration
	BetweenTokensTarget time.Duration
}

// DefaultCost holds the default step times, limits and latency target.
var DefaultCost = Cost{
	StepBase:            4 * time.Millisecond,
	StepPerSequence:     100 * time.Microsecond,
	PrefillPerToken:     50 * time.Microsecond,
	PrefillChunk:        256,
	Slots:               32,
	FirstTokenTarget:    1700 * time.Millisecond,
	BetweenTokensTarget: 33 * time.Millisecond,
}

const (
	// crossZoneLatency is added for an engine in another availability zone.
	crossZoneLatency = 500 * time.Microsecond
	// maxLookaheadTokens bounds the answer tokens considered in a prediction, as most
	// answers end before their limit.
	maxLookaheadTokens = 64
	// typicalBatch is the assumed number of sequences that share StepBase.
	typicalBatch = 8
	// correlatedShare is the number of attempts that every other node is assumed to
	// make on a server for each attempt of this node on it.
	correlatedShare = 0.1
	// decodeShare is the share of an engine's time that is not available for
	// prefill.
	decodeShare = 0.5
	// recomputeWeight multiplies the time of the uncached tokens: computing a
	// prefix on one more engine evicts other prefixes from that engine's cache.
	recomputeWeight = 30
	// homeDiscount is the share of the recomputation cost that is not charged to
	// the home of a prefix.
	homeDiscount = 0.2
	// missWeight multiplies the time in excess of the latency target.
	missWeight = 10
)

// prediction holds the predicted times until the engine starts to process the
// request, until the first token, and between tokens.
type prediction struct {
	waitSeconds          float64
	firstTokenSeconds    float64
	betweenTokensSeconds float64
}

// prefillRate returns the number of prompt tokens that an engine with the given
// slowdown computes per second.
func (c *Cost) prefillRate(slowdown float64) float64 {
	return (1 - decodeShare) / (c.PrefillPerToken.Seconds() * slowdown)
}

// predict returns the times of a request with the given number of uncached
// prompt tokens on an engine with the given load and slowdown.
func (c *Cost) predict(load fleet.Estimate, uncachedTokens, slowdown float64) prediction {
	slots := float64(load.Slots)
	if slots == 0 {
		slots = float64(c.Slots)
	}
	step := c.stepTime(min(load.Running+1, slots))
	steps := math.Ceil(uncachedTokens / float64(c.PrefillChunk))
	wait := load.PrefillTokens * (c.PrefillPerToken.Seconds() + step/float64(c.PrefillChunk))
	if excess := load.Running + 1 - slots; excess > 0 {
		wait += excess / slots * maxLookaheadTokens / 2 * step
	}
	firstToken := wait + uncachedTokens*c.PrefillPerToken.Seconds() + steps*step
	return prediction{waitSeconds: wait * slowdown, firstTokenSeconds: firstToken * slowdown, betweenTokensSeconds: step * slowdown}
}

// MinFirstTokenTime returns the time to the first token on an idle engine of
// ordinary speed that has no part of the prompt in its cache.
func (c *Cost) MinFirstTokenTime(promptTokens int) time.Duration {
	return time.Duration(promptTokens)*c.PrefillPerToken + c.StepBase
}

// stepTime returns the time, in seconds, of a step with the given number of running
// sequences and no prefill.
func (c *Cost) stepTime(running float64) float64 {
	return c.StepBase.Seconds() + running*c.StepPerSequence.Seconds()
}

// work returns the engine time of a request in a batch of typical size, in
// seconds.
func (c *Cost) work(uncachedTokens, answerTokens float64) float64 {
	return uncachedTokens*c.PrefillPerToken.Seconds() + answerTokens*(c.StepPerSequence.Seconds()+c.StepBase.Seconds()/typicalBatch)
}

// score returns the score of an engine for a request, in seconds: the time until
// the answer is complete, plus the delay added to the sequences already running,
// plus weighted costs for the cache space taken and for missing the latency
// target.
func (c *Cost) score(p prediction, load fleet.Estimate, uncachedTokens, answerTokens, slowdown float64) float64 {
	ownDelay := p.firstTokenSeconds + answerTokens*p.betweenTokensSeconds
	cacheCost := recomputeWeight * uncachedTokens * c.PrefillPerToken.Seconds() * slowdown
	otherRequestsDelay := load.Running * (uncachedTokens*c.PrefillPerToken.Seconds() + answerTokens*c.StepPerSequence.Seconds()) * slowdown
	targetExcess := max(p.firstTokenSeconds-c.FirstTokenTarget.Seconds(), 0) + answerTokens*max(p.betweenTokensSeconds-c.BetweenTokensTarget.Seconds(), 0)
	return ownDelay + otherRequestsDelay + cacheCost + missWeight*targetExcess
}
