// Package routing chooses the backend server for an attempt. Each choice scores
// a bounded number of candidates, independent of the size of the fleet: the
// engines that have the prompt's prefix cached, the homes of the prefix on a
// hash ring, and some engines drawn at random. The load of the engines, their
// health and the contents of their caches come from other packages.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/cacheview"
	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
	"coltsfootpath.example/coltsfootpath/internal/state/prefix"
)

// Request holds the properties of a request that a choice depends on.
type Request struct {
	Model string
	// PrefillTokens is the number of prompt tokens to compute if nothing is cached.
	PrefillTokens int
	// Blocks holds the hashes of the prompt's blocks.
	Blocks []uint64
	// MaxNewTokens bounds the number of tokens still to be generated.
	MaxNewTokens int
	// Batch is set for requests of the least urgent class.
	Batch bool
	// Avoid holds servers that have already failed this request.
	Avoid []string
}

// Choice is the chosen server with the predictions for the request on it.
type Choice struct {
	Server *fleet.Server
	// UncachedTokens is the number of prompt tokens that the server has to
	// compute.
	UncachedTokens int
	// Wait is the predicted time until the server starts to process the request.
	Wait time.Duration
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// BetweenTokens is the predicted time between tokens.
	BetweenTokens time.Duration
	// NominalBetweenTokens is the predicted time between tokens on an engine of
	// ordinary speed. The observed time divided by it is the server's slowdown.
	NominalBetweenTokens time.Duration
	// PrefillRate is the number of prompt tokens that the server computes per
	// second.
	PrefillRate float64
}

// Begin counts the attempt among this node's outstanding ones on the server.
func (c *Choice) Begin(now time.Time) {
	c.Server.Outstanding.Add(1)
	c.Server.BeginAttempt(c.UncachedTokens, now, c.PrefillRate)
}

// MaxMisses is the number of consecutive missed load reports at which a server is
// no longer chosen.
const MaxMisses = 3

const (
	// homeBlocks is the number of leading blocks that determine a prefix's home.
	homeBlocks = 4
	// maxHomes and randomCandidates bound the candidates in addition to the
	// engines that hold the prefix.
	maxHomes         = 2
	randomCandidates = 2
	// maxRingSteps bounds the ring points visited, including those of the other
	// lane.
	maxRingSteps = 96

	maxCandidates = cacheview.MaxMatches + maxHomes + randomCandidates
)

// Config configures a Router.
type Config struct {
	AvailabilityZone string
	Cost             Cost
	Cache            *cacheview.View
	Health           *health.Table
	// Nodes returns the number of nodes that route to the same servers, this one
	// included.
	Nodes func() int
}

// Router chooses engines for one node.
type Router struct {
	cfg   Config
	lanes lanes
}

// New returns a router with the given configuration.
func New(cfg Config) *Router {
	return &Router{cfg: cfg, lanes: lanes{batchShare: initialShare}}
}

// Begin counts an attempt of the request on the chosen server and records that
// the server will have the request's blocks in its cache.
func (r *Router) Begin(c *Choice, req *Request, now time.Time) {
	c.Begin(now)
	r.cfg.Cache.RecordHeld(c.Server.ID, req.Blocks)
	r.lanes.record(req.Batch, r.cfg.Cost.work(float64(c.UncachedTokens), float64(min(req.MaxNewTokens, maxLookaheadTokens))))
}

// candidates is a set of servers to score, stored by value to avoid allocations.
type candidates struct {
	list  [maxCandidates]*fleet.Server
	count int
	// home is the first eligible home of the prefix.
	home *fleet.Server
}

func (c *candidates) add(s *fleet.Server) {
	if c.count < len(c.list) && !slices.Contains(c.list[:c.count], s) {
		c.list[c.count] = s
		c.count++
	}
}

// Choose returns the engine on which the request causes the least delay to
// itself and to others. The server is nil if none is reachable.
func (r *Router) Choose(view *fleet.View, req *Request, now time.Time, random *rand.Rand) Choice {
	group := view.Engines(req.Model)
	if group == nil {
		return Choice{}
	}
	var matches cacheview.Matches
	r.cfg.Cache.Lookup(req.Blocks, &matches)
	var c candidates
	r.collect(&c, view, group, req, &matches, now, random)
	if c.count == 0 {
		r.collectAny(&c, group, req, now)
	}
	best, lowest := Choice{}, 0.0
	for _, s := range c.list[:c.count] {
		choice, score := r.weigh(s, req, &matches, now)
		if s == c.home {
			score -= r.homeCredit(choice.UncachedTokens)
		}
		if best.Server == nil || score < lowest {
			best, lowest = choice, score
		}
	}
	return best
}

// collect adds the eligible engines that hold the prefix, the first homes of the
// prefix in the request's lane, and randomly drawn engines of the group.
func (r *Router) collect(c *candidates, view *fleet.View, group *fleet.Group, req *Request, matches *cacheview.Matches, now time.Time, random *rand.Rand) {
	for _, m := range matches.All() {
		s, ok := view.Find(m.Server)
		if ok && !s.Leaving && hasModel(s, req.Model) && r.eligible(s, req, now, random) {
			c.add(s)
		}
	}
	if len(req.Blocks) > 0 {
		found := 0
		prefixKey := req.Blocks[min(homeBlocks, len(req.Blocks))-1]
		lane := r.lanes.lane(req.Batch, len(group.Servers))
		group.WalkRing(prefixKey, maxRingSteps, lane, func(s *fleet.Server) bool {
			if slices.Contains(c.list[:c.count], s) || !r.eligible(s, req, now, random) {
				return true
			}
			c.add(s)
			if c.home == nil {
				c.home = s
			}
			found++
			return found < maxHomes
		})
	}
	for range randomCandidates {
		s := group.Servers[random.IntN(len(group.Servers))]
		if r.eligible(s, req, now, random) {
			c.add(s)
		}
	}
}

// hasModel reports whether the engine has the model loaded. The cache view does
// not distinguish models, and during a version move not every engine has both.
func hasModel(s *fleet.Server, model string) bool {
	load, _ := s.Load()
	return slices.Contains(load.Models, model)
}

// eligible reports whether a server may take the request. A server on trial is
// eligible for only a random share of the requests.
func (r *Router) eligible(s *fleet.Server, req *Request, now time.Time, random *rand.Rand) bool {
	if s.Misses() >= MaxMisses || slices.Contains(req.Avoid, s.ID) {
		return false
	}
	weight := r.cfg.Health.Weight(healthKey(s, req), now)
	return weight >= 1 || weight > 0 && random.Float64() < weight
}

// homeCredit returns the amount, in seconds, by which the score of a prefix's
// home is lowered. It makes nodes without a cache report of the prefix compute
// it on the same engine.
func (r *Router) homeCredit(uncachedTokens int) float64 {
	return homeDiscount * recomputeWeight * float64(uncachedTokens) * r.cfg.Cost.PrefillPerToken.Seconds()
}

func healthKey(s *fleet.Server, req *Request) health.Key {
	return health.Key{Server: s.ID, Model: req.Model}
}

// collectAny searches the whole group when collect found no candidate. It takes
// servers with a health weight above 0 that have not failed the request, or else
// any reachable server, which is better than none.
func (r *Router) collectAny(c *candidates, group *fleet.Group, req *Request, now time.Time) {
	for _, s := range group.Servers {
		if s.Misses() < MaxMisses && !slices.Contains(req.Avoid, s.ID) && r.cfg.Health.Weight(healthKey(s, req), now) > 0 {
			c.add(s)
		}
	}
	for _, s := range group.Servers {
		if c.count > 0 {
			return
		}
		if s.Misses() < MaxMisses {
			c.add(s)
		}
	}
}

// weigh predicts the request's times on a server and returns them with the
// server's score, in seconds. The lowest score is the best one.
func (r *Router) weigh(s *fleet.Server, req *Request, matches *cacheview.Matches, now time.Time) (Choice, float64) {
	cachedTokens := 0.0
	if m, ok := matches.ForServer(s.ID); ok {
		cachedTokens = float64(m.Blocks*prefix.BlockTokens) * m.Trust
	}
	uncachedTokens := max(float64(req.PrefillTokens)-cachedTokens, 1)
	slowdown := r.cfg.Health.Slowdown(healthKey(s, req), now)
	prefillRate := r.cfg.Cost.prefillRate(slowdown)
	load := s.Estimate(now, prefillRate, r.allNodesFactor())
	p := r.cfg.Cost.predict(load, uncachedTokens, slowdown)
	if s.AvailabilityZone != r.cfg.AvailabilityZone {
		p.firstTokenSeconds += crossZoneLatency.Seconds()
	}
	choice := Choice{
		Server: s, UncachedTokens: int(uncachedTokens),
		Wait:                 time.Duration(p.waitSeconds * float64(time.Second)),
		FirstToken:           time.Duration(p.firstTokenSeconds * float64(time.Second)),
		BetweenTokens:        time.Duration(p.betweenTokensSeconds * float64(time.Second)),
		NominalBetweenTokens: time.Duration(p.betweenTokensSeconds / slowdown * float64(time.Second)),
		PrefillRate:          prefillRate,
	}
	return choice, r.cfg.Cost.score(p, load, uncachedTokens, float64(min(req.MaxNewTokens, maxLookaheadTokens)), slowdown)
}

// allNodesFactor returns the estimated number of attempts of all nodes on a server
// for each attempt of this node on it: conditions that make this node prefer a
// server make some of the other nodes prefer it too.
func (r *Router) allNodesFactor() float64 {
	return 1 + correlatedShare*float64(max(r.cfg.Nodes()-1, 0))
}

// ChooseService draws two servers of a plain service at random and returns the
// one with fewer outstanding requests, or nil if the service has no servers.
func ChooseService(view *fleet.View, service string, avoid []string, random *rand.Rand) *fleet.Server {
	group := view.PlainServers(service)
	if group == nil {
		return nil
	}
	a, b := drawService(group, avoid, random), drawService(group, avoid, random)
	if b.Outstanding.Load() < a.Outstanding.Load() {
		return b
	}
	return a
}

// drawService draws a server at random, preferring those not in avoid. If all
// are in avoid, it returns one of them, as any server is better than none.
func drawService(group *fleet.Group, avoid []string, random *rand.Rand) *fleet.Server {
	first := random.IntN(len(group.Servers))
	for i := range group.Servers {
		s := group.Servers[(first+i)%len(group.Servers)]
		if !slices.Contains(avoid, s.ID) {
			return s
		}
	}
	return group.Servers[first]
}
