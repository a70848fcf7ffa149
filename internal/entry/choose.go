package entry

import (
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/admission"
	"coltsfootpath.example/coltsfootpath/internal/coordination/cacheview"
	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/coordination/routing"
	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
)

func (n *Node) newRouter() *routing.Router {
	return routing.New(routing.Config{
		AvailabilityZone: n.settings.AvailabilityZone,
		Cost:             routing.DefaultCost,
		Cache:            n.cache,
		Health:           n.health,
		Nodes:            n.stayingEntryVMCount,
	})
}

func (n *Node) newHealth() *health.Table {
	t := health.New(health.DefaultConfig, n.clock.Now())
	t.OnChange(n.recordVerdict)
	return t
}

func (n *Node) newCache() *cacheview.View {
	return cacheview.New(cacheview.DefaultBlocks)
}

// chooseServer returns the backend server for the next attempt, nil if none is
// suitable. generated is the number of tokens that earlier attempts produced.
func (r *requestRun) chooseServer(generated int) *fleet.Server {
	now := r.node.clock.Now()
	r.choice = r.node.router.Choose(r.node.backends.View(), r.routingRequest(generated), now, r.random)
	return r.choice.Server
}

func (r *requestRun) routingRequest(generated int) *routing.Request {
	return &routing.Request{
		Model:         r.model,
		PrefillTokens: r.promptTokens + generated,
		Blocks:        r.blocks,
		MaxNewTokens:  r.req.MaxTokens - generated,
		Avoid:         r.avoidServers,
		Batch:         admission.Class(r.priority) == admission.Batch,
	}
}

// beginAttempt registers an attempt on the chosen server with the router and
// returns the attempt's meter.
func (r *requestRun) beginAttempt() *attemptMeter {
	now := r.node.clock.Now()
	r.node.router.Begin(&r.choice, r.routingRequest(0), now)
	return &attemptMeter{choice: r.choice, startedAt: now}
}

// attemptMeter measures one attempt. It is used by the attempt's goroutine
// only.
type attemptMeter struct {
	choice       routing.Choice
	startedAt    time.Time
	firstTokenAt time.Time
	lastTokenAt  time.Time
	tokens       int
}

// addTokens records the arrival of tokens at the time now.
func (m *attemptMeter) addTokens(tokens int, now time.Time) {
	if tokens == 0 {
		return
	}
	if m.tokens == 0 {
		m.firstTokenAt = now
	}
	m.tokens += tokens
	m.lastTokenAt = now
}

const (
	// minTokenGaps is the minimum number of intervals between tokens from which a
	// server's speed is computed.
	minTokenGaps = 3
	// A cancelled attempt without any token counts as a failure of its server
	// once it has lasted noTokenFactor times the predicted time to the first
	// token, and at least minNoTokenTimeout.
	noTokenFactor     = 4
	minNoTokenTimeout = 2 * time.Second
)

// outcome returns the outcome of an attempt that ended with result, for the
// health of its server, and reports whether the health table should record it.
func (m *attemptMeter) outcome(result attemptResult, now time.Time) (health.Outcome, bool) {
	o := health.Outcome{Failed: result == attemptFailed}
	if gaps := m.tokens - 1; gaps >= minTokenGaps && m.choice.NominalBetweenTokens > 0 {
		o.Ratio = float64(m.lastTokenAt.Sub(m.firstTokenAt)) / float64(gaps) / float64(m.choice.NominalBetweenTokens)
	}
	if result != attemptCancelled {
		return o, true
	}
	noToken := m.tokens == 0 && now.Sub(m.startedAt) > max(noTokenFactor*m.choice.FirstToken, minNoTokenTimeout)
	o.Failed = noToken
	return o, noToken || o.Ratio > 0
}
