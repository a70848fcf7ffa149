package gateway

import (
	"net/http"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/cost"
	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
)

// digestsPerCosts determines how often this node's samples of services' rates are sent: with
// every digestsPerCosts-th digest. It is a multiple of digestsPerUsage.
const digestsPerCosts = 5 * digestsPerUsage

// coldTime is the time after the start of a server's process in which its speed is not that of
// later.
const coldTime = 3 * time.Second

// answerProgress is what an attempt's answer shows of its cost.
type answerProgress struct {
	// firstAt and lastAt are the times of the first and the last event, or of a plain
	// answer.
	firstAt, lastAt time.Time
	events          int
	// failed is set if the answer is no success.
	failed bool
}

// countEvent counts an event that was forwarded.
func (p *answerProgress) countEvent(now time.Time) {
	if p.events == 0 {
		p.firstAt = now
	}
	p.lastAt = now
	p.events++
}

// countAnswer records a plain answer.
func (p *answerProgress) countAnswer(status int, now time.Time) {
	p.firstAt, p.lastAt, p.failed = now, now, status >= http.StatusBadRequest
}

// rates returns the rates of an ordinary server of a service.
func (n *Node) rates(service string, now time.Time) cost.Rates {
	return n.backends.costs.Rates(service, now)
}

// costRequest returns what is known of the request's cost before it is sent.
func (q *request) costRequest() cost.Request {
	r := cost.Request{Service: q.service, Route: q.routeName(), Workspace: q.workspaceName()}
	if q.call.HasTokens {
		r.PromptTokens, r.HintTokens, r.MaxAnswerTokens = q.call.PromptTokens, q.call.LikelyAnswerTokens, q.call.MaxAnswerTokens
	}
	return r
}

// answerTokens returns the number of tokens that the answer is expected to have.
func (q *request) answerTokens() int {
	if q.predictedAnswer == nil {
		e := q.node.backends.costs.AnswerTokens(q.costRequest(), q.node.now())
		q.predictedAnswer = &e
	}
	return int(q.predictedAnswer.Mean)
}

// predictedTokens returns the median of the predicted length of the answer in tokens, 0 if none
// was predicted.
func (q *request) predictedTokens() int {
	if q.predictedAnswer == nil {
		return 0
	}
	return int(q.predictedAnswer.Median)
}

// producedTokens returns the number of tokens of the events that were forwarded.
func (q *request) producedTokens() int { return q.eventCount * q.tokensPerEvent() }

func (q *request) tokensPerEvent() int {
	if s := q.node.serviceConfig(q.service); s != nil && s.Model != nil {
		return max(s.Model.TokensPerEvent, 1)
	}
	return 1
}

// observeCost passes what an attempt has shown to the cost model. Times that were affected by
// another server, by a peer on the way or by a wait for a slot say nothing about the server.
func (a *attempt) observeCost(outcome attemptOutcome) {
	q, p := a.q, a.placed
	now := q.node.now()
	if a.progress.firstAt.IsZero() || a.progress.failed {
		return
	}
	o := cost.Observation{
		Request:           q.costRequest(),
		Server:            p.server.shortHash,
		UncachedTokens:    p.choice.UncachedTokens,
		MinUncachedTokens: p.choice.MinUncachedTokens,
		PrefillAhead:      p.choice.Load.PrefillTokens,
		Running:           p.choice.Load.Running,
		FirstToken:        a.progress.firstAt.Sub(a.startedAt),
		AnswerTokens:      q.producedTokens(),
		AnswerTime:        a.progress.lastAt.Sub(a.progress.firstAt),
		Complete:          outcome == outcomeAnswered,
		Excluded:          q.moves > 0 || a.copy != "" || p.isCold || q.sentCount > 1 || a.isNoEvidence || a.isTunneled.Load() || waitsForSlot(p) || isCold(&p.info, now),
	}
	if a.progress.events > 0 {
		o.FirstTokens = q.tokensPerEvent()
	}
	q.node.backends.costs.Observe(o, now)
	q.node.recordPrediction(q, p, o)
}

// waitsForSlot reports whether an attempt had to wait for a slot of its server.
func waitsForSlot(p *placedAttempt) bool {
	return p.info.Slots > 0 && p.choice.Load.Running >= float64(p.info.Slots)
}

// isCold reports whether a server's process has started recently.
func isCold(s *deployment.Server, now time.Time) bool {
	return s.StartedAtMillis > 0 && now.UnixMilli()-s.StartedAtMillis < coldTime.Milliseconds()
}

// recordPrediction counts the error of the prediction for an attempt.
func (n *Node) recordPrediction(q *request, p *placedAttempt, o cost.Observation) {
	if o.Excluded || p.choice.FirstToken <= 0 {
		return
	}
	n.metrics.predictionError.WithLabelValues(q.routeName(), q.service, "first-token").Observe(float64(o.FirstToken) / float64(p.choice.FirstToken))
	if median := q.predictedTokens(); o.Complete && median > 0 && o.AnswerTokens > 0 {
		n.metrics.predictionError.WithLabelValues(q.routeName(), q.service, "answer-tokens").Observe(float64(o.AnswerTokens) / float64(median))
	}
}

// slowdown returns a server's time for the same work over that of an ordinary server. Fixed
// rates are not exact enough to tell that a server is fast.
func (t *backendTable) slowdown(b *backend, key health.Key, now time.Time) float64 {
	if t.costs.Learns() {
		return t.costs.Slowdown(b.service, b.shortHash, now)
	}
	return max(t.health.Slowdown(key, now), 1)
}

// recordProduced updates what an attempt is expected to produce yet, given the number of tokens
// that the answer has so far.
func (t *backendTable) recordProduced(p *placedAttempt, answer *cost.Estimate, produced float64) {
	if answer == nil {
		return
	}
	left := answer.Remaining(produced)
	t.mu.Lock()
	defer t.mu.Unlock()
	p.server.ownLoad.AnswerTokens += left - p.load.AnswerTokens
	p.load.AnswerTokens = left
}

// retainCosts forgets the speed of servers that are no longer in the table. The caller must hold
// the lock.
func (t *backendTable) retainCosts() {
	known := make(map[uint32]bool, len(t.byID))
	for _, b := range t.byID {
		known[b.shortHash] = true
	}
	t.costs.Retain(func(server uint32) bool { return known[server] })
}

// addSpeedSamples adds the samples of servers' speeds since the last digest to this node's loads.
func (m *members) addSpeedSamples(loads []gossip.Load) []gossip.Load {
	samples := m.node.backends.costs.TakeSpeedSamples()
	for i := range loads {
		if s, ok := samples[loads[i].Server]; ok {
			loads[i].SpeedSamples, loads[i].SpeedSum = s.Count, s.Sum
			delete(samples, loads[i].Server)
		}
	}
	for server, s := range samples {
		loads = append(loads, gossip.Load{Server: server, SpeedSamples: s.Count, SpeedSum: s.Sum})
	}
	return loads
}

// applySpeedSamples passes on what peers' loads say about the speed of servers, if their key is
// in use.
func (m *members) applySpeedSamples(key string, loads []gossip.Load, now time.Time) {
	if !m.node.backends.isActiveKey(key) {
		return
	}
	for _, l := range loads {
		if l.SpeedSamples > 0 {
			m.node.backends.costs.AddPeerSpeed(l.Server, cost.SpeedSamples{Count: l.SpeedSamples, Sum: l.SpeedSum}, now)
		}
	}
}

// isActiveKey reports whether the loads reported under a key are counted.
func (t *backendTable) isActiveKey(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.activeKeys[key] > 0
}

// addCosts adds the totals of the cost model to a digest.
func (m *members) addCosts(d *gossip.Digest) {
	m.node.backends.costs.Totals(func(name string, value uint64) {
		d.Work = append(d.Work, gossip.Work{Service: shortHash(name), Millis: value})
	})
}

// applyCosts passes the totals of peers' cost models on. update holds their growth under a key
// since this node's first digest from there, and all the totals of the digest itself.
func (m *members) applyCosts(key string, update, all []gossip.Work, now time.Time) {
	doc := m.node.document.Load()
	if doc == nil || len(all) == 0 {
		return
	}
	services := make([]string, 0, len(doc.Services))
	for name := range doc.Services {
		services = append(services, name)
	}
	costs := m.node.backends.costs
	if costs.HasFewSamples(services) {
		costs.Seed(services, valueOf(workTotals(all)), now)
	}
	totals := workTotals(update)
	last := m.costTotals[key]
	m.costTotals[key] = totals
	if last == nil {
		return
	}
	costs.ApplyGrowth(services, func(name string) uint64 {
		hash := shortHash(name)
		return totals[hash] - min(last[hash], totals[hash])
	}, now)
}

func workTotals(work []gossip.Work) map[uint32]uint64 {
	out := make(map[uint32]uint64, len(work))
	for _, w := range work {
		out[w.Service] = w.Millis
	}
	return out
}

func valueOf(totals map[uint32]uint64) func(name string) uint64 {
	return func(name string) uint64 { return totals[shortHash(name)] }
}

// ratesLogInterval is the interval at which the learned rates are logged.
const ratesLogInterval = 10 * time.Second

// logRates logs the learned rates of all services, at most once per ratesLogInterval.
func (n *Node) logRates(now time.Time) {
	if !n.backends.costs.Learns() || now.Sub(n.ratesLoggedAt) < ratesLogInterval {
		return
	}
	n.ratesLoggedAt = now
	for _, name := range n.backends.costs.Services() {
		r := n.rates(name, now)
		n.log.Event("costs", "rates", "service", name, "prompt-tokens-per-ms", r.PrefillTokensPerMilli, "quadratic-ms", r.QuadraticMillis,
			"overhead", r.Overhead, "step", r.Step, "step-per-request", r.StepPerRequest, "call", r.CallTime)
	}
}
