package policybench

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/admission"
	"coltsfootpath.example/coltsfootpath/internal/coordination/cacheview"
	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/coordination/routing"
	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
)

// policy chooses engines for the requests of one entry node.
type policy interface {
	choose(n *entryVM, r *request, avoid []string) routing.Choice
	// attemptStarted and attemptEnded are called when an attempt starts and ends.
	attemptStarted(n *entryVM, a *attempt)
	attemptEnded(n *entryVM, a *attempt, completed bool)
	// pollCache applies the new cache events of an engine.
	pollCache(n *entryVM, e *engineVM)
}

// baseline implements the methods other than choose for policies that record nothing
// about attempts except the counters of each server.
type baseline struct{}

func (baseline) attemptStarted(n *entryVM, a *attempt) { a.choice.Begin(n.sim.clock.now) }
func (baseline) attemptEnded(*entryVM, *attempt, bool) {}
func (baseline) pollCache(*entryVM, *engineVM)         {}

// usableServers returns the servers that are responsive, not leaving and not in
// avoid, sorted by ID. It is used by all policies but systemPolicy.
func usableServers(n *entryVM, avoid []string) []*fleet.Server {
	view := n.backends.View()
	var out []*fleet.Server
	for i := range view.Servers {
		s := &view.Servers[i]
		if !s.Leaving && s.Misses() < routing.MaxMisses && !slices.Contains(avoid, s.ID) {
			out = append(out, s)
		}
	}
	return out
}

type roundRobin struct {
	baseline
	next int
}

func (p *roundRobin) choose(n *entryVM, _ *request, avoid []string) routing.Choice {
	servers := usableServers(n, avoid)
	if len(servers) == 0 {
		return routing.Choice{}
	}
	p.next++
	return routing.Choice{Server: servers[p.next%len(servers)]}
}

// leastOutstanding chooses the server with the fewest running attempts of this node,
// and a random one of several such servers.
type leastOutstanding struct{ baseline }

func (leastOutstanding) choose(n *entryVM, _ *request, avoid []string) routing.Choice {
	servers := usableServers(n, avoid)
	if len(servers) == 0 {
		return routing.Choice{}
	}
	n.random.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	return routing.Choice{Server: slices.MinFunc(servers, func(a, b *fleet.Server) int {
		return cmp.Compare(a.Outstanding.Load(), b.Outstanding.Load())
	})}
}

// prefixHashBlocks is the number of leading prompt blocks that determine the
// server.
const prefixHashBlocks = 4

// prefixHash sends prompts with the same prefix to the same server by rendezvous
// hashing.
type prefixHash struct{ baseline }

func (prefixHash) choose(n *entryVM, r *request, avoid []string) routing.Choice {
	servers := usableServers(n, avoid)
	if len(servers) == 0 {
		return routing.Choice{}
	}
	key := r.blocks[min(prefixHashBlocks, len(r.blocks))-1]
	return routing.Choice{Server: slices.MaxFunc(servers, func(a, b *fleet.Server) int {
		return cmp.Compare(rendezvousWeight(key, a.ID), rendezvousWeight(key, b.ID))
	})}
}

// rendezvousWeight returns the weight of a server for a key. The server with the
// largest weight gets the requests with that key.
func rendezvousWeight(key uint64, server string) uint64 {
	x := key ^ xxhash.Sum64String(server)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// systemPolicy chooses engines with the system's own router, cache view and
// health table.
type systemPolicy struct {
	router *routing.Router
	cache  *cacheview.View
	health *health.Table
}

func newSystemPolicy(sim *simulation, zone string) policy {
	p := &systemPolicy{cache: cacheview.New(cacheview.DefaultBlocks), health: health.New(health.DefaultConfig, epoch)}
	for _, e := range sim.engines {
		p.health.Add(health.Key{Server: e.vm.ID, Model: model}, epoch)
	}
	p.router = routing.New(routing.Config{
		AvailabilityZone: zone, Cost: routing.DefaultCost, Cache: p.cache, Health: p.health,
		Nodes: func() int { return entryCount },
	})
	return p
}

func (p *systemPolicy) choose(n *entryVM, r *request, avoid []string) routing.Choice {
	return p.router.Choose(n.backends.View(), newRoutingRequest(r, avoid), n.sim.clock.now, n.random)
}

func newRoutingRequest(r *request, avoid []string) *routing.Request {
	return &routing.Request{
		Model: model, PrefillTokens: len(r.prompt) + r.producedTokens, Blocks: r.blocks, MaxNewTokens: r.answerTokens - r.producedTokens, Avoid: avoid,
		Batch: admission.Class(r.route.priority) == admission.Batch,
	}
}

func (p *systemPolicy) attemptStarted(n *entryVM, a *attempt) {
	p.router.Begin(&a.choice, newRoutingRequest(a.req, nil), n.sim.clock.now)
}

func (p *systemPolicy) attemptEnded(n *entryVM, a *attempt, completed bool) {
	o := health.Outcome{Failed: !completed}
	if tokens := a.tokens - 1; tokens >= minTimesBetweenTokens {
		o.Ratio = float64(a.lastTokenAt.Sub(a.firstTokenAt)) / float64(tokens) / float64(a.choice.NominalBetweenTokens)
	}
	p.health.RecordOutcome(health.Key{Server: a.choice.Server.ID, Model: model}, o, n.sim.clock.now)
}

// minTimesBetweenTokens is the minimum number of times between tokens in an attempt.
// The speed of a shorter attempt is not reported to the health table.
const minTimesBetweenTokens = 3

func (p *systemPolicy) pollCache(n *entryVM, e *engineVM) {
	p.cache.Apply(e.vm.ID, e.eventsFrom(p.cache.NextSequence(e.vm.ID)))
}

// namedPolicy is a policy with its name in the tables.
type namedPolicy struct {
	name      string
	newPolicy func(sim *simulation, zone string) policy
}

var policies = []namedPolicy{
	{"round robin", func(*simulation, string) policy { return &roundRobin{} }},
	{"least outstanding", func(*simulation, string) policy { return leastOutstanding{} }},
	{"prefix hash", func(*simulation, string) policy { return prefixHash{} }},
	{"coltsfootpath", newSystemPolicy},
}
