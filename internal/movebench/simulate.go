package movebench

import (
	"math"
	"math/rand/v2"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/evidence"
)

// answer is the result of one request.
type answer struct {
	node          int
	route         int
	onNewVersion  bool
	step          int
	failed        bool
	firstToken    time.Duration
	betweenTokens time.Duration
}

// policy controls a version move and observes the answers.
type policy interface {
	// chooseVersion reports whether a node sends the request with this key (0 to 999)
	// to the new version, and returns the number of the move's steps that the node has
	// applied.
	chooseVersion(node, key int) (onNewVersion bool, step int)
	// recordAnswer is called when an answer ends.
	recordAnswer(a answer)
	// tick is called once in each second, with the time since the start of the move.
	tick(at time.Duration)
	// activeSharePermille returns the newest decision on the new version's share.
	// Nodes may still apply an earlier one.
	activeSharePermille() int
	// finalStatus returns whether the move finished, whether it has a final status,
	// and the time from its start to that status.
	finalStatus() (finished, ok bool, at time.Duration)
	// reason returns the reason for the final status.
	reason() string
}

// outcome is the result of one scenario under one policy.
type outcome struct {
	finished       bool
	hasFinalStatus bool
	endedAt        time.Duration
	reason         string
	requests       int
	// exposedRequests counts requests to the new version that the fault affected.
	exposedRequests int
	// firstExposedAt and lastExposedAt are the times of the first and the last
	// request that the fault affected.
	firstExposedAt, lastExposedAt time.Duration
	hasExposure                   bool
}

const (
	firstTokenMedian    = 400 * time.Millisecond
	betweenTokensMedian = 25 * time.Millisecond
	firstTokenSigma     = 0.5
	betweenTokensSigma  = 0.25
	meanTokens          = 60
	failureLatency      = 200 * time.Millisecond
)

// simulate runs one scenario under one policy.
func simulate(s scenario, p policy) outcome {
	random := rand.New(rand.NewPCG(s.seed, 2))
	var out outcome
	pending := map[int][]answer{}
	end := int((s.duration + loadAfterDeadline).Seconds())
	for second := range end {
		at := time.Duration(second) * time.Second
		for _, a := range pending[second] {
			p.recordAnswer(a)
		}
		delete(pending, second)
		p.tick(at)
		for range s.requestsAt(at) {
			a, took := s.simulateRequest(at, p, random, &out)
			due := second + 1 + int(took.Seconds())
			pending[due] = append(pending[due], a)
		}
	}
	out.finished, out.hasFinalStatus, out.endedAt = p.finalStatus()
	out.reason = p.reason()
	return out
}

// simulateRequest draws a request and returns its answer and the duration of the
// request. The random numbers are the same under each policy.
func (s scenario) simulateRequest(at time.Duration, p policy, random *rand.Rand, out *outcome) (answer, time.Duration) {
	node, key, route := random.IntN(nodeCount), random.IntN(1000), pickRoute(random.Float64())
	failureDraw, firstTokenDraw, betweenTokensDraw, tokensDraw := random.Float64(), random.NormFloat64(), random.NormFloat64(), random.ExpFloat64()
	failureProbability, slowdown := s.baseFailureRatio, 1.0
	for _, d := range s.disturbances {
		if at >= d.from && at < d.to {
			failureProbability += d.extraFailureRatio
			slowdown *= d.slowdown
		}
	}
	a := answer{node: node, route: route}
	a.onNewVersion, a.step = p.chooseVersion(node, key)
	out.requests++
	if a.onNewVersion && s.faultApplies(at, p.activeSharePermille(), route) {
		failureProbability += s.extraFailureRatio
		slowdown *= s.slowdown
		if s.isFaulty() {
			out.recordExposure(at)
		}
	}
	if failureDraw < failureProbability {
		a.failed = true
		return a, failureLatency
	}
	a.firstToken = time.Duration(float64(firstTokenMedian) * slowdown * math.Exp(firstTokenSigma*firstTokenDraw))
	a.betweenTokens = time.Duration(float64(betweenTokensMedian) * slowdown * math.Exp(betweenTokensSigma*betweenTokensDraw))
	return a, a.firstToken + time.Duration(tokensDraw*meanTokens*float64(a.betweenTokens))
}

func (o *outcome) recordExposure(at time.Duration) {
	if !o.hasExposure {
		o.hasExposure, o.firstExposedAt = true, at
	}
	o.exposedRequests++
	o.lastExposedAt = at
}

func pickRoute(x float64) int {
	for i, w := range routeWeights {
		if x < w {
			return i
		}
		x -= w
	}
	return len(routeWeights) - 1
}

func (a answer) toEvidence() evidence.Outcome {
	return evidence.Outcome{Failed: a.failed, FirstToken: a.firstToken, BetweenTokens: a.betweenTokens}
}

func (a answer) version() string {
	if a.onNewVersion {
		return newVersion
	}
	return oldVersion
}
