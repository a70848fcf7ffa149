// Package movephase moves a service's traffic to servers of another software
// version by a deadline, or rolls the move back. During the trial a small share of
// the requests goes to the new version. Half of them go to it only late in the time
// that the operator allows, and then the move is done. Until then it gets a bounded part
// of all requests that nodes have sent since the order: a version that becomes faulty only
// after some time, or only under load, has received few requests. A fault on any node rolls the move back on all nodes: the phase of a
// move only increases, and nodes spread it in their digests.
package movephase

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Phase is the phase of a move. A higher phase replaces a lower one.
type Phase int

// Phases of a move.
const (
	// Unknown: no node has decided on a phase yet.
	Unknown Phase = iota
	// Trial: a small share of the requests goes to the new version.
	Trial
	// Shift: a large share of the requests goes to the new version, while its bounded
	// part of all requests lasts.
	Shift
	// Done: the old version is no longer needed.
	Done
	// RolledBack: no request goes to the new version.
	RolledBack
)

var phaseNames = [...]string{"unknown", "trial", "shift", "done", "taken-back"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// Evidence counts the requests sent to both versions since the order, and their answers.
// A request that was sent twice counts twice. Timed counts the
// attempts whose answer has begun or is overdue, Slow those of them that took much longer
// than predicted for the server's load and the request's prompt.
type Evidence struct {
	NewSent, OldSent        uint64
	NewAnswers, NewFailures uint64
	OldAnswers, OldFailures uint64
	NewTimed, NewSlow       uint64
	OldTimed, OldSlow       uint64
}

// Add adds the counts of o.
func (e *Evidence) Add(o Evidence) {
	e.NewSent += o.NewSent
	e.OldSent += o.OldSent
	e.NewAnswers += o.NewAnswers
	e.NewFailures += o.NewFailures
	e.OldAnswers += o.OldAnswers
	e.OldFailures += o.OldFailures
	e.NewTimed += o.NewTimed
	e.NewSlow += o.NewSlow
	e.OldTimed += o.OldTimed
	e.OldSlow += o.OldSlow
}

// subtract takes the counts of answers of o back, as far as there are any.
func (e *Evidence) subtract(o Evidence) {
	e.NewAnswers -= min(e.NewAnswers, o.NewAnswers)
	e.NewFailures -= min(e.NewFailures, o.NewFailures)
	e.OldAnswers -= min(e.OldAnswers, o.OldAnswers)
	e.OldFailures -= min(e.OldFailures, o.OldFailures)
	e.NewTimed -= min(e.NewTimed, o.NewTimed)
	e.NewSlow -= min(e.NewSlow, o.NewSlow)
	e.OldTimed -= min(e.OldTimed, o.OldTimed)
	e.OldSlow -= min(e.OldSlow, o.OldSlow)
}

// Config sets the shares, times and thresholds of a move.
type Config struct {
	// TrialShare is the share of requests that the new version gets in the
	// trial. Until InitialRequests were sent to it, it gets at least InitialShare and at
	// most MaxInitialShare: as much as it takes at the present traffic to send them
	// before the move may enter the phase Shift.
	TrialShare      float64
	InitialShare    float64
	MaxInitialShare float64
	InitialRequests uint64
	// ShiftShare is the share in the phase Shift.
	ShiftShare float64
	// Until the move is done, the new version gets no more requests than
	// MaxExposedShare of those sent to both versions, plus ExposedSlack. Nodes know each
	// other's counts with a delay, so both are lower than what the operator tolerates.
	MaxExposedShare float64
	ExposedSlack    float64
	// ShiftAfter and DoneAfter are the fractions of the allowed time after which
	// the move may enter the phases Shift and Done. StateAfter is the one after which a
	// move that is done is stated although requests still run on the old version, also if a VM
	// has known it to be done for the time from DoneAfter to StateAfter.
	ShiftAfter, DoneAfter, StateAfter float64
	// The shift requires MinAnswers of the new version, or ReducedMinAnswers
	// once the fraction ReduceAfter of the time has passed.
	MinAnswers        uint64
	ReducedMinAnswers uint64
	ReduceAfter       float64
	// MinFailures, MaxRateRatio and MinRate are the thresholds for a rollback: the
	// move is rolled back once the new version has at least MinFailures failed
	// answers, at a failure rate above MinRate and above MaxRateRatio times the old
	// version's rate, or above the mean of that rate and 1 if that is lower.
	MinFailures  uint64
	MaxRateRatio float64
	MinRate      float64
	// SlowFactor is the ratio of the time to the first token to its prediction, relative
	// to the service's usual ratio before the move, from which an answer is slow.
	SlowFactor float64
	// The new version is slow, or fails on a route, if so many of its answers are bad
	// that the probability of this is at most MaxChance for a version whose share of bad
	// answers is at the tolerated rate: ToleratedRatio times the old version's rate, plus
	// ToleratedMargin, between MinTolerated and MaxTolerated. The upper bound lets an old
	// version that is overloaded not excuse a new one that is slow by its own work.
	MaxChance       float64
	ToleratedRatio  float64
	ToleratedMargin float64
	MinTolerated    float64
	MaxTolerated    float64
	// The share is not raised above TrialShare while, of at least MinOldAnswers of the
	// old version, more than MaxOldFailureRate failed or more than MaxOldSlowRate were
	// slow.
	MinOldAnswers     uint64
	MaxOldFailureRate float64
	MaxOldSlowRate    float64
}

// DefaultConfig is the configuration that the gateway uses.
var DefaultConfig = Config{
	TrialShare:        0.08,
	InitialShare:      0.25,
	MaxInitialShare:   0.5,
	InitialRequests:   20,
	ShiftShare:        0.5,
	MaxExposedShare:   0.08,
	ExposedSlack:      30,
	ShiftAfter:        0.6,
	DoneAfter:         0.85,
	StateAfter:        0.93,
	MinAnswers:        15,
	ReducedMinAnswers: 5,
	ReduceAfter:       0.75,
	MinFailures:       4,
	MaxRateRatio:      2.5,
	MinRate:           0.08,

	SlowFactor:      2,
	MaxChance:       1e-4,
	ToleratedRatio:  1.5,
	ToleratedMargin: 0.05,
	MinTolerated:    0.15,
	MaxTolerated:    0.5,

	MinOldAnswers:     20,
	MaxOldFailureRate: 0.25,
	MaxOldSlowRate:    0.4,
}

// IsNewVersionFaulty reports whether the evidence calls for rolling the move back. routes
// holds the evidence of single routes: a fault on one of them may be rare among all
// answers.
func (c Config) IsNewVersionFaulty(e Evidence, routes []Evidence) bool {
	return c.failsMore(e) || c.isSlower(e) || slices.ContainsFunc(routes, func(r Evidence) bool {
		return c.isSlower(r) || c.isAboveTolerated(r.NewFailures, r.NewAnswers, r.OldFailures, r.OldAnswers)
	})
}

func (c Config) isSlower(e Evidence) bool {
	return c.isAboveTolerated(e.NewSlow, e.NewTimed, e.OldSlow, e.OldTimed)
}

// isAboveTolerated reports whether more of the new version's answers are bad than a
// version at the tolerated rate could have by chance.
func (c Config) isAboveTolerated(newBad, newAll, oldBad, oldAll uint64) bool {
	if newBad < c.MinFailures {
		return false
	}
	// Few answers of the old version say little about its rate.
	oldRate := float64(oldBad+1) / float64(oldAll+2)
	tolerated := min(max(c.ToleratedRatio*oldRate+c.ToleratedMargin, c.MinTolerated), c.MaxTolerated)
	return upperTail(newAll, newBad, tolerated) <= c.MaxChance
}

// upperTail returns the probability of at least k successes in n trials with success
// probability p.
func upperTail(n, k uint64, p float64) float64 {
	if float64(k) <= float64(n)*p {
		return 1
	}
	lnN, _ := math.Lgamma(float64(n) + 1)
	sum := 0.0
	for i := k; i <= n; i++ {
		lnI, _ := math.Lgamma(float64(i) + 1)
		lnRest, _ := math.Lgamma(float64(n-i) + 1)
		sum += math.Exp(lnN - lnI - lnRest + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
	}
	return sum
}

func (c Config) failsMore(e Evidence) bool {
	if e.NewFailures < c.MinFailures {
		return false
	}
	newRate := float64(e.NewFailures) / float64(max(e.NewAnswers, 1))
	oldRate := float64(e.OldFailures) / float64(max(e.OldAnswers, 1))
	return newRate > c.MinRate && newRate > min(c.MaxRateRatio*oldRate, (1+oldRate)/2)
}

// isOldVersionWell reports whether the old version serves well enough to raise the new
// version's share: an overloaded or failing service tells little about the new version.
func (c Config) isOldVersionWell(e Evidence) bool {
	isHigh := func(bad, all uint64, limit float64) bool {
		return all >= c.MinOldAnswers && float64(bad) > limit*float64(all)
	}
	return !isHigh(e.OldFailures, e.OldAnswers, c.MaxOldFailureRate) && !isHigh(e.OldSlow, e.OldTimed, c.MaxOldSlowRate)
}

// Next returns the phase that follows p. elapsed is the time since the order,
// timeLimit the time that the operator allows, and hasServers is true if the new
// version has servers.
func (c Config) Next(p Phase, e Evidence, routes []Evidence, elapsed, timeLimit time.Duration, hasServers bool) Phase {
	elapsedFraction := float64(elapsed) / float64(max(timeLimit, 1))
	switch {
	case p >= Done:
		return p
	case c.IsNewVersionFaulty(e, routes):
		return RolledBack
	case elapsedFraction >= 1 && p < Shift:
		return RolledBack
	case p == Unknown:
		return Trial
	case p == Trial && hasServers && c.isOldVersionWell(e) && (elapsedFraction >= c.ShiftAfter && e.NewAnswers >= c.MinAnswers || elapsedFraction >= c.ReduceAfter && e.NewAnswers >= c.ReducedMinAnswers):
		return Shift
	case p == Shift && elapsedFraction >= c.DoneAfter:
		return Done
	}
	return p
}

// MayState reports whether the operator may be told of a move's phase p. The operator stops the
// servers of the old version once it is told that the move is done. isOldIdle is true if no
// request runs on them and no VM sends any. elapsed is the time since the order, and sinceDone that
// since this VM knows that the move is done.
func (c Config) MayState(p Phase, isOldIdle bool, elapsed, sinceDone, timeLimit time.Duration) bool {
	limit := float64(timeLimit)
	return p != Done || isOldIdle || float64(elapsed) >= c.StateAfter*limit || float64(sinceDone) >= (c.StateAfter-c.DoneAfter)*limit
}

// Share returns the share of requests that the new version gets in phase p.
func (c Config) Share(p Phase, e Evidence, routes []Evidence, elapsed, timeLimit time.Duration) float64 {
	switch {
	case p == Done:
		return 1
	case p != Trial && p != Shift, c.IsNewVersionFaulty(e, routes), !c.mayExpose(e):
		return 0
	case p == Shift && c.isOldVersionWell(e):
		return c.ShiftShare
	case e.NewSent < c.InitialRequests:
		return c.initialShare(e, elapsed, timeLimit)
	}
	return c.TrialShare
}

// mayExpose reports whether the new version may get one more request.
func (c Config) mayExpose(e Evidence) bool {
	return float64(e.NewSent) < c.MaxExposedShare*float64(e.NewSent+e.OldSent)+c.ExposedSlack
}

// initialShare returns the share at which InitialRequests are sent before the move may
// enter the phase Shift, if the traffic stays as it was since the order.
func (c Config) initialShare(e Evidence, elapsed, timeLimit time.Duration) float64 {
	remaining := c.ShiftAfter*float64(timeLimit) - float64(elapsed)
	if elapsed < minTrafficTime || remaining <= 0 {
		return c.InitialShare
	}
	expected := float64(e.NewSent+e.OldSent) / float64(elapsed) * remaining
	missing := float64(c.InitialRequests - e.NewSent)
	return min(max(missing/max(expected, 1), c.InitialShare), c.MaxInitialShare)
}

// minTrafficTime is the time after the order from which the traffic is known.
const minTrafficTime = time.Second

// Move is one node's view of an operator's order.
type Move struct {
	// Order is the order's number; a later order has a higher one.
	Order   uint64
	Service string
	// Target is the new version.
	Target string
	// TimeLimit is the time that the operator allows, counted from the order.
	TimeLimit  time.Duration
	ReceivedAt time.Time
	// EndedAt is the time at which this node recorded that the move was done or
	// rolled back.
	EndedAt time.Time
	Phase   Phase
	// OwnEvidence counts the requests sent and the answers received by this node, and
	// OwnRoutes the answers on each route, by the route's name.
	OwnEvidence Evidence
	OwnRoutes   map[string]Evidence
}

// add adds to the evidence of this node.
func (m *Move) add(route string, e Evidence) {
	m.OwnEvidence.Add(e)
	r := m.OwnRoutes[route]
	r.Add(e)
	m.OwnRoutes[route] = r
}

// clone returns a copy that does not change with m.
func (m *Move) clone() Move {
	out := *m
	out.OwnRoutes = maps.Clone(m.OwnRoutes)
	return out
}

// Table holds the newest move of each service on one node.
type Table struct {
	cfg Config

	// mu is a leaf lock: no other lock is acquired while it is held.
	mu    sync.Mutex
	moves map[string]*Move
	// usualRatios holds, by service, the usual ratio of the time to the first token to
	// its prediction, measured while the service has no move in progress.
	usualRatios map[string]*usualRatio
}

// NewTable returns a table without moves.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, moves: map[string]*Move{}, usualRatios: map[string]*usualRatio{}}
}

// Renumber gives a service's order a higher number, if it is an order for target. The
// order has been written again.
func (t *Table) Renumber(order uint64, service, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.moves[service]; ok && m.Target == target && order > m.Order {
		m.Order = order
	}
}

// AddOrder records an operator's order, unless the service already has this
// order or a later one.
func (t *Table) AddOrder(order uint64, service, target string, timeLimit time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.moves[service]; ok && m.Order >= order {
		return
	}
	t.moves[service] = &Move{Order: order, Service: service, Target: target, TimeLimit: timeLimit, ReceivedAt: now, OwnRoutes: map[string]Evidence{}}
}

// AdvancePhase applies a phase received from a peer or decided on this node, and
// reports whether it is new.
func (t *Table) AdvancePhase(service string, order uint64, p Phase, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	if !ok || m.Order != order || p <= m.Phase || p > RolledBack {
		return false
	}
	m.Phase = p
	if p >= Done {
		m.EndedAt, m.OwnRoutes = now, nil
	}
	return true
}

// oldServerListingTime is the time after the end of a move during which servers
// of the old version may still be listed. They stop at once, but unresponsive
// servers stay listed for some heartbeats.
const oldServerListingTime = 10 * time.Second

// CountsTowardsSize reports whether a server of the given version counts towards the
// service's desired number of servers. During a move the operator starts and
// stops the servers of the new version, so these don't count; once the move is
// done, the old ones don't count because they stop without draining.
func (t *Table) CountsTowardsSize(service, version string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	if !ok {
		return true
	}
	if m.Phase == Done {
		return version == m.Target || now.Sub(m.EndedAt) > oldServerListingTime
	}
	return version != m.Target
}

// IsRetired reports whether a service no longer needs the given version: its newest move has
// ended with the other one.
func (t *Table) IsRetired(service, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	return ok && (m.Phase == Done && version != m.Target || m.Phase == RolledBack && version == m.Target)
}

// Newest returns a service's newest move.
func (t *Table) Newest(service string) (Move, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	if !ok {
		return Move{}, false
	}
	return m.clone(), true
}

// Moves returns all moves.
func (t *Table) Moves() []Move {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Move, 0, len(t.moves))
	for _, m := range t.moves {
		out = append(out, m.clone())
	}
	return out
}

// VersionChoice selects the version to which a request is sent.
type VersionChoice int

// Results of Table.Choose.
const (
	// NoMove: the service has no move.
	NoMove VersionChoice = iota
	// OldVersion: the request is sent to the old version.
	OldVersion
	// NewVersion: the request is sent to the new version.
	NewVersion
)

// Choose returns the version to which a request is sent, and the name of the new
// version if the service has a move. randomFraction is a random number in
// [0, 1); evidence returns what is known about the move.
func (t *Table) Choose(service string, randomFraction float64, now time.Time, evidence func(m Move) (total Evidence, routes []Evidence)) (VersionChoice, string) {
	m, ok := t.Newest(service)
	if !ok {
		return NoMove, ""
	}
	var e Evidence
	var routes []Evidence
	if m.Phase == Trial || m.Phase == Shift {
		e, routes = evidence(m)
	}
	if randomFraction < t.cfg.Share(m.Phase, e, routes, now.Sub(m.ReceivedAt), m.TimeLimit) {
		return NewVersion, m.Target
	}
	return OldVersion, m.Target
}

// CountSent counts a request sent to a server of the given version in the evidence of
// this node. CountNotSent takes back the count of one that did not reach its server.
func (t *Table) CountSent(service, version string) { t.addSent(service, version, 1) }

// CountNotSent takes back one CountSent.
func (t *Table) CountNotSent(service, version string) { t.addSent(service, version, -1) }

func (t *Table) addSent(service, version string, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	if !ok || m.Phase >= Done {
		return
	}
	sent := &m.OwnEvidence.OldSent
	if version == m.Target {
		sent = &m.OwnEvidence.NewSent
	}
	*sent = uint64(max(int64(*sent)+n, 0))
}

// CountAnswer counts an answer of a server of the given version in the evidence
// of this node.
func (t *Table) CountAnswer(service, route, version string, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	if !ok || m.Phase >= Done {
		return
	}
	var n uint64
	if failed {
		n = 1
	}
	if version == m.Target {
		m.add(route, Evidence{NewAnswers: 1, NewFailures: n})
		return
	}
	m.add(route, Evidence{OldAnswers: 1, OldFailures: n})
}

// Loss is an attempt that got no answer, or none in time.
type Loss struct {
	Service, Route, Version string
	// IsSlow is set if the attempt may still get an answer, which is slow then.
	IsSlow bool
}

// CountLoss counts a loss in the evidence of this node.
func (t *Table) CountLoss(l Loss) { t.addLoss(l, (*Evidence).Add) }

// TakeBack takes back one CountLoss.
func (t *Table) TakeBack(l Loss) { t.addLoss(l, (*Evidence).subtract) }

func (t *Table) addLoss(l Loss, apply func(e *Evidence, o Evidence)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[l.Service]
	if !ok || m.Phase >= Done {
		return
	}
	e := Evidence{OldAnswers: 1, OldFailures: 1}
	switch isNew := l.Version == m.Target; {
	case isNew && l.IsSlow:
		e = Evidence{NewTimed: 1, NewSlow: 1}
	case isNew:
		e = Evidence{NewAnswers: 1, NewFailures: 1}
	case l.IsSlow:
		e = Evidence{OldTimed: 1, OldSlow: 1}
	}
	apply(&m.OwnEvidence, e)
	r := m.OwnRoutes[l.Route]
	apply(&r, e)
	m.OwnRoutes[l.Route] = r
}

// usualRatioWindow is the number of answers over which the usual ratio is averaged.
const usualRatioWindow = 200

// usualRatio is a running geometric mean.
type usualRatio struct {
	meanLog float64
	answers int
}

func (u *usualRatio) add(ratio float64) {
	u.answers = min(u.answers+1, usualRatioWindow)
	u.meanLog += (math.Log(ratio) - u.meanLog) / float64(u.answers)
}

// RecordRatio records the ratio of an attempt's time to the first token to its
// prediction. During a move it counts the attempt in the evidence of this node.
func (t *Table) RecordRatio(service, route, version string, ratio float64) {
	if ratio <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.moves[service]; ok {
		if m.Phase < Done {
			t.countTimed(m, route, version, t.isSlow(service, ratio))
		}
		if m.Phase < Done || m.Phase == RolledBack && version == m.Target {
			return
		}
	}
	u, ok := t.usualRatios[service]
	if !ok {
		u = &usualRatio{}
		t.usualRatios[service] = u
	}
	u.add(ratio)
}

// IsOverdue reports whether an attempt of a service with a move in progress has waited for
// so long, as a ratio to the prediction, that its answer is slow whenever it begins.
func (t *Table) IsOverdue(service string, ratio float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.moves[service]
	return ok && m.Phase < Done && t.isSlow(service, ratio)
}

func (t *Table) isSlow(service string, ratio float64) bool {
	usual := 1.0
	if u, ok := t.usualRatios[service]; ok {
		usual = max(usual, math.Exp(u.meanLog))
	}
	return ratio > t.cfg.SlowFactor*usual
}

func (t *Table) countTimed(m *Move, route, version string, slow bool) {
	var n uint64
	if slow {
		n = 1
	}
	if version == m.Target {
		m.add(route, Evidence{NewTimed: 1, NewSlow: n})
		return
	}
	m.add(route, Evidence{OldTimed: 1, OldSlow: n})
}
