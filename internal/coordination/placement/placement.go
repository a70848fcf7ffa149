// Package placement chooses the backend server of a request from load reports
// that arrive with a delay. It handles three load patterns: long prompts that
// collide on one engine while others are idle, prompts with shared parts that
// an engine has cached, and many nodes that see the same outdated load and would
// all choose the same engine. The caller supplies the candidates with their load,
// health and cached tokens.
package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/cost"
)

// Load is the known work on a server.
type Load struct {
	// PrefillTokens is the number of prompt tokens still to be computed.
	PrefillTokens float64
	// Running is the number of requests in progress.
	Running float64
	// MemoryTokens is the number of tokens held in memory by running requests.
	MemoryTokens float64
	// AnswerTokens is the number of tokens that the requests in progress are expected to
	// produce yet, 0 if it is not known.
	AnswerTokens float64
}

// Add adds o to l.
func (l *Load) Add(o Load) {
	l.PrefillTokens += o.PrefillTokens
	l.Running += o.Running
	l.MemoryTokens += o.MemoryTokens
	l.AnswerTokens += o.AnswerTokens
}

// Candidate is a server that may take a request.
type Candidate struct {
	// Hash identifies the server in the rendezvous hashing of prefixes to home
	// servers.
	Hash uint64
	Load Load
	// Slots is the number of requests that the server runs at once, and
	// MemoryTokens the number of tokens that fit into its memory; 0 means no
	// limit.
	Slots        int
	MemoryTokens int
	// Slowdown is the server's time for the same work over that of an ordinary server.
	Slowdown float64
	// Weight is the share of requests that the health checks allow the server,
	// 0 to 1.
	Weight float64
	// CachedTokens is the number of prompt tokens known to be cached on the server.
	CachedTokens float64
	// SameZone is true for a server in the node's availability zone.
	SameZone bool
}

// Request describes a request to place.
type Request struct {
	// PromptTokens is the number of prompt tokens, 0 for a call to a plain service.
	PromptTokens int
	// AnswerTokens is the number of answer tokens.
	AnswerTokens int
	// SharedTokens is the number of prompt tokens in the parts that other requests
	// have in common with this one.
	SharedTokens int
	// PrefixHash is the hash of these shared parts, 0 if there are none.
	PrefixHash uint64
	// Nodes is the number of nodes that choose from the same loads.
	Nodes int
	// LatencyTarget is the target for the time to the first token, and PauseTarget that for
	// the longest pause between two events of an answer; 0 means that there is none.
	LatencyTarget, PauseTarget time.Duration
	// weighsTargets is set by Choose if targets and speeds count in the choice.
	weighsTargets bool
}

const (
	// homeCachedShare is the share of the shared tokens assumed to be cached on
	// the prefix's home server if this node has not sent the prefix there itself.
	homeCachedShare = 0.9
	// homeSpeedExponent is the power of a server's speed by which it is the home of more
	// prefixes. It is above 1 as a prompt's prefill delays all answers of its server.
	homeSpeedExponent = 2.0
	// sampledServers is the mean number of servers that a request with a prompt considers
	// beside those that have its prefix, if other nodes choose from the same loads. Nodes
	// that consider different servers do not all send long prompts to the same one.
	sampledServers = 6.0
	// recomputeWeight multiplies the time of uncached tokens: computing them
	// also delays the answers in the same batch and evicts other prefixes from
	// the cache.
	recomputeWeight = 2.0
	// crossZoneCostMillis is added to the score of a server in another
	// availability zone.
	crossZoneCostMillis = 0.5
	// answerWeight multiplies the time of an answer's tokens, of which
	// maxWeighedAnswerTokens count at most: each of them waits for the others of its batch.
	answerWeight           = 0.1
	maxWeighedAnswerTokens = 400
	// fastServerCostMillis is added to the score of a server that needs no time at all, and
	// in proportion to that of others faster than an ordinary one. Requests with a latency
	// target that have time to spare leave them to prompts that are in time only there.
	fastServerCostMillis = 120.0
	// typicalAnswerTokens is the assumed length of each answer that has to end
	// before a waiting request gets a slot.
	typicalAnswerTokens = 250
	// MaxMemoryShare is the share of an engine's memory that may be planned for
	// before prompts are assumed to evict each other.
	MaxMemoryShare = 0.85
	// memoryOverflowCostMillis is added to the score in proportion to the excess
	// over MaxMemoryShare: 2000 ms for an excess as large as the planned memory.
	memoryOverflowCostMillis = 2000.0
	// maxJitterMillis bounds the random part of a score. It keeps nodes that see
	// the same load from all choosing the same server.
	maxJitterMillis = 1.5
)

// Choice is the result of a placement.
type Choice struct {
	// Index is the position of the chosen candidate, -1 if there is none.
	Index int
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// MinFirstToken and MaxFirstToken bound that time on a server of ordinary
	// speed. They differ because the cached part of the prompt is not known for
	// certain.
	MinFirstToken, MaxFirstToken time.Duration
	// UncachedTokens is the number of prompt tokens assumed to be computed, and
	// MinUncachedTokens that number if all shared parts are cached.
	UncachedTokens, MinUncachedTokens float64
	// Load is the load of the chosen server, without the request.
	Load Load
}

// Choose returns the candidate with the lowest score: the one that answers the
// request soonest and delays others the least. As long as there are healthy
// servers, servers on trial get only their share of the requests and ejected
// servers get none. If there are no healthy servers, those on trial are used for
// all requests, and ejected ones if there is no other, as any server is better
// than none.
func Choose(rates cost.Rates, req Request, candidates []Candidate, random *rand.Rand) Choice {
	req.weighsTargets = haveSmallBatches(candidates)
	home := homeIndex(req.PrefixHash, candidates)
	for _, eligible := range []func(c *Candidate) bool{
		func(c *Candidate) bool { return c.Weight >= 1 || c.Weight > 0 && random.Float64() < c.Weight },
		func(c *Candidate) bool { return c.Weight > 0 },
		func(*Candidate) bool { return true },
	} {
		for _, share := range []float64{sampledShare(&req, len(candidates)), 1} {
			if best := lowestScore(rates, req, candidates, home, share, eligible, random); best.Index >= 0 {
				return best
			}
		}
	}
	return Choice{Index: -1}
}

// sampledShare returns the share of the servers without a request's prefix that it considers.
func sampledShare(req *Request, servers int) float64 {
	if !req.weighsTargets || req.Nodes <= 1 || req.PromptTokens == 0 {
		return 1
	}
	return min(sampledServers/float64(max(servers, 1)), 1)
}

// lowestScore returns the candidate with the lowest score among those that are
// eligible, of which only a random share is considered unless they have the prefix.
func lowestScore(rates cost.Rates, req Request, candidates []Candidate, home int, share float64, eligible func(c *Candidate) bool, random *rand.Rand) Choice {
	best, lowest := Choice{Index: -1}, math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		if !eligible(c) || share < 1 && i != home && c.CachedTokens == 0 && random.Float64() >= share {
			continue
		}
		choice, score := weigh(rates, req, c, i == home)
		score += random.Float64() * maxJitterMillis
		if score < lowest {
			choice.Index = i
			best, lowest = choice, score
		}
	}
	return best
}

// homeIndex returns the index of a prefix's home server, chosen by rendezvous
// hashing: the server with the highest hash of prefix and server together, weighted by
// its speed. Removing a server moves only the prefixes that had their home there. It
// returns -1 if there is no prefix or no healthy server.
func homeIndex(prefix uint64, candidates []Candidate) int {
	if prefix == 0 {
		return -1
	}
	home, highest := -1, math.Inf(-1)
	bySpeed := haveSmallBatches(candidates)
	for i := range candidates {
		if candidates[i].Weight < 1 {
			continue
		}
		// -ln(u)/weight has an exponential distribution, so each server has the lowest value
		// with a probability in proportion to its weight.
		u := (float64(mix(prefix^candidates[i].Hash)>>11) + 0.5) / (1 << 53)
		if h := math.Log(u) / homeWeight(candidates[i].Slowdown, bySpeed); h > highest {
			home, highest = i, h
		}
	}
	return home
}

// homeWeight returns the weight of a server among the homes of prefixes.
func homeWeight(slowdown float64, bySpeed bool) float64 {
	if !bySpeed || slowdown <= 0 {
		return 1
	}
	return math.Pow(slowdown, -homeSpeedExponent)
}

// mix is a hash finalizer: every bit of x affects all bits of the result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// weigh predicts the times of a request on a candidate and returns them with
// its score in milliseconds: what the request waits, what it takes from others, and the
// targets that are missed because of it. isHome is true for the home server of the
// request's prefix.
func weigh(rates cost.Rates, req Request, c *Candidate, isHome bool) (Choice, float64) {
	if req.PromptTokens == 0 {
		return weighCall(rates, c)
	}
	cachedTokens := c.CachedTokens
	if isHome {
		cachedTokens = max(cachedTokens, homeCachedShare*float64(req.SharedTokens))
	}
	uncachedTokens := max(float64(req.PromptTokens)-cachedTokens, 1)
	step := stepTime(rates, c)
	wait := rates.FirstTokenMillis(0, c.Load.PrefillTokens, c.running()) + slotWait(rates, c)
	prefill := rates.PrefillMillis(uncachedTokens)
	answer := answerWeight * float64(min(req.AnswerTokens, maxWeighedAnswerTokens)) * step
	firstToken := (wait + prefill) * c.Slowdown
	score := firstToken + recomputeWeight*prefill + answer*max(c.Slowdown, 1)
	if req.weighsTargets {
		score = ownDelayWeight(&req)*firstToken + recomputeWeight*prefill*c.Slowdown + answer
		score += missCostMillis * (missProbability(firstToken, req.LatencyTarget) + addedLongPauses(rates, &req, c, uncachedTokens))
		if req.LatencyTarget > 0 {
			score += fastServerCostMillis * max(1-c.Slowdown, 0)
		}
	}
	if memoryLimit := MaxMemoryShare * float64(c.MemoryTokens); memoryLimit > 0 {
		if excess := c.Load.MemoryTokens + float64(req.PromptTokens+req.AnswerTokens) - memoryLimit; excess > 0 {
			score += memoryOverflowCostMillis * excess / memoryLimit
		}
	}
	if !c.SameZone {
		score += crossZoneCostMillis
	}
	minUncachedTokens := max(float64(req.PromptTokens-req.SharedTokens), 1)
	return Choice{
		FirstToken: fromMillis(firstToken), UncachedTokens: uncachedTokens, MinUncachedTokens: minUncachedTokens, Load: c.Load,
		MinFirstToken: fromMillis(wait + rates.PrefillMillis(minUncachedTokens)),
		MaxFirstToken: fromMillis(wait + rates.PrefillMillis(float64(req.PromptTokens))),
	}, score
}

// Ratio returns the ratio of a measured time to the bounds predicted for a
// server of ordinary speed: 1 within the bounds, 0 without a prediction.
func (c *Choice) Ratio(measured time.Duration) float64 {
	switch {
	case c.MinFirstToken <= 0:
		return 0
	case measured < c.MinFirstToken:
		return float64(measured) / float64(c.MinFirstToken)
	case measured > c.MaxFirstToken:
		return float64(measured) / float64(c.MaxFirstToken)
	}
	return 1
}

// running returns the number of requests in a server's batch.
func (c *Candidate) running() float64 {
	if c.Slots > 0 {
		return min(c.Load.Running, float64(c.Slots))
	}
	return c.Load.Running
}

// stepTime returns the time of one step of a server's batch, in milliseconds.
func stepTime(rates cost.Rates, s *Candidate) float64 { return rates.StepMillis(s.running()) }

// slotWait returns the time until a server has a free slot for one more request,
// in milliseconds. Slots become free one after another as answers end.
func slotWait(rates cost.Rates, s *Candidate) float64 {
	excess := s.Load.Running + 1 - float64(s.Slots)
	if s.Slots <= 0 || excess <= 0 {
		return 0
	}
	return excess * typicalAnswerTokens * stepTime(rates, s) / float64(s.Slots)
}

// weighCall predicts the time of a call on a plain service's server and returns it
// with the server's score in milliseconds.
func weighCall(rates cost.Rates, c *Candidate) (Choice, float64) {
	slots := float64(max(c.Slots, 1))
	wait := max(c.Load.Running+1-slots, 0) / slots * cost.Millis(rates.CallTime)
	loadCost := c.Load.Running / slots * cost.Millis(rates.CallTime) * 0.3
	ordinaryTime := wait + cost.Millis(rates.CallTime)
	answerTime := ordinaryTime * c.Slowdown
	score := answerTime + loadCost
	if !c.SameZone {
		score += crossZoneCostMillis
	}
	return Choice{Load: c.Load, FirstToken: fromMillis(answerTime), MinFirstToken: fromMillis(ordinaryTime), MaxFirstToken: fromMillis(ordinaryTime)}, score
}

func fromMillis(ms float64) time.Duration {
	return time.Duration(min(ms, 1e9) * float64(time.Millisecond))
}
