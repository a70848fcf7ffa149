package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/coordination/movephase"
	"coltsfootpath.example/coltsfootpath/internal/coordination/topicview"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
	"coltsfootpath.example/coltsfootpath/platform"
)

// maxEvidenceAge is the age at which a peer's report on moves expires.
const maxEvidenceAge = 3 * time.Second

// versionMoves tracks the services' version moves, collects evidence about them,
// and advances them while this node holds the lease.
type versionMoves struct {
	node  *Node
	table *movephase.Table

	// mu guards the maps below. No other lock is acquired while it is held.
	mu          sync.Mutex
	peerReports map[string]peerReport
	// published holds the last status published for the operator, by service.
	published map[string]publishedStatus
	// attempts holds the attempts in progress of services with a move in progress.
	attempts map[*placedAttempt]versionAttempt

	losses *moveLosses
}

// versionAttempt is the evidence about a move from an attempt in progress.
type versionAttempt struct {
	route     string
	startedAt time.Time
	// timed is set once the attempt has been counted as slow or not.
	timed bool
	// failed is set if the server answered with a server error.
	failed bool
}

type peerReport struct {
	receivedAt time.Time
	moves      []gossip.Move
}

type publishedStatus struct {
	order uint64
	state string
	// era is the era of the store in which it was published.
	era uint64
}

func newVersionMoves(n *Node) *versionMoves {
	table := movephase.NewTable(movephase.DefaultConfig)
	return &versionMoves{
		node:        n,
		table:       table,
		losses:      newMoveLosses(table),
		peerReports: map[string]peerReport{},
		published:   map[string]publishedStatus{},
		attempts:    map[*placedAttempt]versionAttempt{},
	}
}

// applyOrder applies an operator's order for a version move.
func (v *versionMoves) applyOrder(c topicview.Change) {
	if len(c.Value) == 0 {
		return
	}
	m, err := platform.DecodeMove(c.Value)
	if err != nil {
		v.node.log.Failure("moves", "unreadable", "key", c.Key, "offset", c.Position, "error", err)
		v.node.metrics.undecodableRecords.WithLabelValues(platform.OperatorTopic).Inc()
		return
	}
	if c.Restored {
		v.table.Renumber(uint64(c.Position), m.Service, m.Target)
		return
	}
	v.table.AddOrder(uint64(c.Position), m.Service, m.Target, m.MaxDuration, v.node.now())
	v.node.log.Event("moves", "ordered", "service", m.Service, "target", m.Target, "within", m.MaxDuration, "offset", c.Position)
	if v.node.now().Sub(v.node.members.startedAt) < restoreWindow {
		v.node.loops.Go(func() { v.restoreStatusWithRetry(m.Service) })
	}
}

const (
	// restoreWindow is the time after this node's start during which it restores
	// the published status of each move that it reads for the first time: the move
	// may have ended before this node started.
	restoreWindow = 5 * time.Second
	// restoreRetryInterval is the pause after a failed read of the status topic.
	restoreRetryInterval = time.Second
)

// restoreStatusWithRetry restores the status that a move had before this node
// started. If all nodes started at once, no peer can report it.
func (v *versionMoves) restoreStatusWithRetry(service string) {
	for ctx := v.node.ctx; ctx.Err() == nil; sleep(ctx, restoreRetryInterval) {
		for _, m := range v.table.Moves() {
			if m.Service == service && (m.Phase != movephase.Unknown || v.restoreStatus(ctx, m)) {
				return
			}
		}
	}
}

// versionFilter selects the servers that a request may use during a version move.
type versionFilter struct {
	choice movephase.VersionChoice
	target string
}

func (f versionFilter) allows(s *deployment.Server) bool {
	switch f.choice {
	case movephase.OldVersion:
		return s.SoftwareVersion != f.target
	case movephase.NewVersion:
		return s.SoftwareVersion == f.target
	}
	return true
}

// chooseVersion chooses the version for a request. A request for the new version
// falls back to the old one if only that has servers. A request for the old
// version never falls back to the new one, which gets all requests only once the move
// is done.
func (v *versionMoves) chooseVersion(service string, random float64) versionFilter {
	now := v.node.now()
	choice, target := v.table.Choose(service, random, now, func(m movephase.Move) (movephase.Evidence, []movephase.Evidence) { return v.evidence(m, now) })
	if choice == movephase.NoMove {
		return versionFilter{}
	}
	hasNew, hasOld := v.node.backends.versionsPresent(service, target)
	if choice == movephase.NewVersion && !hasNew && hasOld {
		choice = movephase.OldVersion
	}
	return versionFilter{choice: choice, target: target}
}

// attemptStarted records that an attempt has started.
func (v *versionMoves) attemptStarted(p *placedAttempt, route string, now time.Time) {
	m, ok := v.table.Newest(p.info.Service)
	if !ok || m.Phase >= movephase.Done {
		return
	}
	v.table.CountSent(p.info.Service, p.info.SoftwareVersion)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.attempts[p] = versionAttempt{route: route, startedAt: now}
}

// firstAnswer records the time after which an attempt's answer began, and whether it is a
// server error.
func (v *versionMoves) firstAnswer(p *placedAttempt, failed bool, after time.Duration, now time.Time) {
	v.mu.Lock()
	a, ok := v.attempts[p]
	if ok {
		v.attempts[p] = versionAttempt{route: a.route, startedAt: a.startedAt, timed: true, failed: failed}
	}
	v.mu.Unlock()
	if m, inMove := v.table.Newest(p.info.Service); inMove && m.Phase < movephase.Done && (!ok || a.timed) {
		// The attempt started before the move, or was overdue and has been counted.
		return
	}
	if !v.isCold(p, now) {
		v.table.RecordRatio(p.info.Service, a.route, p.info.SoftwareVersion, p.choice.Ratio(after))
	}
}

// isCold reports whether an attempt's server was cold when it was chosen, or is still slow after
// its start.
func (v *versionMoves) isCold(p *placedAttempt, now time.Time) bool {
	return p.isCold || p.info.ColdRemaining > 0 && v.node.clock.unixMillis(now)-p.info.StartedAtMillis < p.info.ColdRemaining.Milliseconds()
}

// countOverdue counts the attempts that have waited so long that their answers are slow.
func (v *versionMoves) countOverdue(now time.Time) {
	v.mu.Lock()
	attempts := maps.Clone(v.attempts)
	v.mu.Unlock()
	v.countOverdueAmong(attempts, now)
}

// countOverdueAmong is countOverdue for a copy of the attempts: they may have been counted
// or may have ended since it was made.
func (v *versionMoves) countOverdueAmong(attempts map[*placedAttempt]versionAttempt, now time.Time) {
	for p, a := range attempts {
		ratio := p.choice.Ratio(now.Sub(a.startedAt))
		if a.timed || v.isCold(p, now) || !v.table.IsOverdue(p.info.Service, ratio) || !v.markTimed(p) {
			continue
		}
		v.losses.count(movephase.Loss{Service: p.info.Service, Route: a.route, Version: p.info.SoftwareVersion, IsSlow: true}, now)
	}
}

// markTimed marks an attempt as timed, and reports whether it is in progress and was not
// marked.
func (v *versionMoves) markTimed(p *placedAttempt) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	a, ok := v.attempts[p]
	if !ok || a.timed {
		return false
	}
	a.timed = true
	v.attempts[p] = a
	return true
}

// countOutcome counts the outcome of an attempt as evidence.
func (v *versionMoves) countOutcome(p *placedAttempt, outcome attemptOutcome) {
	v.mu.Lock()
	a, counted := v.attempts[p]
	delete(v.attempts, p)
	v.mu.Unlock()
	if counted && outcome == outcomeNotSent {
		v.table.CountNotSent(p.info.Service, p.info.SoftwareVersion)
	}
	switch outcome {
	case outcomeAnswered:
		v.table.CountAnswer(p.info.Service, a.route, p.info.SoftwareVersion, a.failed)
	case outcomeFailed:
		v.table.CountAnswer(p.info.Service, a.route, p.info.SoftwareVersion, true)
	case outcomeLost, outcomeUnresponsive, outcomeDeadline:
		v.losses.count(movephase.Loss{Service: p.info.Service, Route: a.route, Version: p.info.SoftwareVersion}, v.node.now())
	}
}

// ownReport returns the moves' phases at this node and its own evidence, for a
// digest.
func (v *versionMoves) ownReport() []gossip.Move {
	v.countOverdue(v.node.now())
	var out []gossip.Move
	for _, m := range v.table.Moves() {
		out = append(out, reportOf(shortHash(m.Service), m, m.OwnEvidence))
		for route, e := range m.OwnRoutes {
			// Evidence of the old version alone decides nothing.
			if e.NewAnswers+e.NewTimed > 0 {
				out = append(out, reportOf(routeHash(m.Service, route), m, e))
			}
		}
	}
	return out
}

// routeHash identifies the evidence of one route of a service in digests.
func routeHash(service, route string) uint32 { return shortHash(service + "/" + route) }

func reportOf(service uint32, m movephase.Move, e movephase.Evidence) gossip.Move {
	return gossip.Move{
		Service: service, Order: m.Order, Phase: int(m.Phase),
		NewAnswers: e.NewAnswers, NewFailures: e.NewFailures, OldAnswers: e.OldAnswers, OldFailures: e.OldFailures,
		NewTimed: e.NewTimed, NewSlow: e.NewSlow, OldTimed: e.OldTimed, OldSlow: e.OldSlow,
		NewSent: e.NewSent, OldSent: e.OldSent,
	}
}

// applyReport stores a peer's report and adopts later phases from it.
func (v *versionMoves) applyReport(key string, moves []gossip.Move, now time.Time) {
	v.mu.Lock()
	v.peerReports[key] = peerReport{receivedAt: now, moves: moves}
	v.mu.Unlock()
	for _, known := range v.table.Moves() {
		for _, m := range moves {
			if m.Service == shortHash(known.Service) && v.table.AdvancePhase(known.Service, m.Order, movephase.Phase(m.Phase), now) {
				v.node.log.Event("moves", "phase-heard", "service", known.Service, "phase", movephase.Phase(m.Phase), "from", key)
			}
		}
	}
}

// evidence returns the aggregate evidence of all nodes about a move, in total and by
// route.
func (v *versionMoves) evidence(m movephase.Move, now time.Time) (total movephase.Evidence, routes []movephase.Evidence) {
	total = m.OwnEvidence
	byRoute := map[uint32]*movephase.Evidence{}
	if doc := v.node.document.Load(); doc != nil {
		for _, r := range doc.Routes {
			e := m.OwnRoutes[r.Name]
			byRoute[routeHash(m.Service, r.Name)] = &e
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, report := range v.peerReports {
		if now.Sub(report.receivedAt) > maxEvidenceAge {
			continue
		}
		for _, x := range report.moves {
			sum, ok := byRoute[x.Service]
			if x.Service == shortHash(m.Service) {
				sum, ok = &total, true
			}
			if !ok || x.Order != m.Order {
				continue
			}
			sum.Add(movephase.Evidence{
				NewAnswers: x.NewAnswers, NewFailures: x.NewFailures, OldAnswers: x.OldAnswers, OldFailures: x.OldFailures,
				NewTimed: x.NewTimed, NewSlow: x.NewSlow, OldTimed: x.OldTimed, OldSlow: x.OldSlow,
				NewSent: x.NewSent, OldSent: x.OldSent,
			})
		}
	}
	for _, e := range byRoute {
		routes = append(routes, *e)
	}
	return total, routes
}

// advance decides the next phase of each move and publishes its status. It is
// called only while this node holds the lease.
func (v *versionMoves) advance(ctx context.Context) {
	now := v.node.now()
	v.countOverdue(now)
	for _, m := range v.table.Moves() {
		if m.Phase == movephase.Unknown && !v.restoreStatus(ctx, m) {
			continue
		}
		hasServers, _ := v.node.backends.versionsPresent(m.Service, m.Target)
		e, routes := v.evidence(m, now)
		next := movephase.DefaultConfig.Next(m.Phase, e, routes, now.Sub(m.ReceivedAt), m.TimeLimit, hasServers)
		if v.table.AdvancePhase(m.Service, m.Order, next, now) {
			v.node.log.Event("moves", "phase", "service", m.Service, "target", m.Target, "phase", next,
				"new-sent", e.NewSent, "old-sent", e.OldSent, "new", e.NewAnswers, "new-bad", e.NewFailures, "new-timed", e.NewTimed, "new-slow", e.NewSlow,
				"old", e.OldAnswers, "old-bad", e.OldFailures, "old-timed", e.OldTimed, "old-slow", e.OldSlow, "after", now.Sub(m.ReceivedAt))
		}
		sinceDone := time.Duration(0)
		if m.Phase == movephase.Done {
			sinceDone = now.Sub(m.EndedAt)
		}
		if movephase.DefaultConfig.MayState(next, v.isOldVersionIdle(m, now), now.Sub(m.ReceivedAt), sinceDone, m.TimeLimit) {
			v.publishStatus(ctx, m, next)
		}
	}
}

// isOldVersionIdle reports whether all VMs know that a move is done, and no request runs on the
// old version.
func (v *versionMoves) isOldVersionIdle(m movephase.Move, now time.Time) bool {
	if v.node.backends.runningOnOthers(m.Service, m.Target, now) > 0 {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, report := range v.peerReports {
		if now.Sub(report.receivedAt) > maxEvidenceAge {
			continue
		}
		for _, x := range report.moves {
			if x.Service == shortHash(m.Service) && x.Order == m.Order && movephase.Phase(x.Phase) < movephase.Done {
				return false
			}
		}
	}
	return true
}

// restoreStatus reads the status that an earlier lease holder published for the
// move, because all nodes may have restarted since. It returns false if the store
// can't be read.
func (v *versionMoves) restoreStatus(ctx context.Context, m movephase.Move) bool {
	ctx, cancel := context.WithTimeout(ctx, v.node.duties.schedule().AppendTimeout())
	defer cancel()
	items, end, err := v.node.listNewest(ctx, platform.StatusTopic)
	if err != nil {
		v.node.log.Failure("moves", "status-unread", "service", m.Service, "error", err)
		return false
	}
	for _, it := range items {
		state, ok := platform.DecodeMoveStatus(it.Key, it.Value, m.Service, m.Target)
		if !ok {
			continue
		}
		switch state {
		case platform.MoveDone:
			v.table.AdvancePhase(m.Service, m.Order, movephase.Done, v.node.now())
		case platform.MoveRolledBack:
			v.table.AdvancePhase(m.Service, m.Order, movephase.RolledBack, v.node.now())
		}
		v.mu.Lock()
		v.published[m.Service] = publishedStatus{order: m.Order, state: state, era: end.Era()}
		v.mu.Unlock()
	}
	return true
}

// phaseStates maps the phases to the states that are published for the operator.
// A phase without an entry is not published.
var phaseStates = map[movephase.Phase]string{
	movephase.Trial:      platform.MoveRunning,
	movephase.Shift:      platform.MoveRunning,
	movephase.Done:       platform.MoveDone,
	movephase.RolledBack: platform.MoveRolledBack,
}

// publishStatus writes a move's status for the operator if it has changed, or if the store
// has come back from a copy that may lack it.
func (v *versionMoves) publishStatus(ctx context.Context, m movephase.Move, p movephase.Phase) {
	status := publishedStatus{order: m.Order, state: phaseStates[p], era: v.node.storeEra()}
	v.mu.Lock()
	unchanged := v.published[m.Service] == status
	v.mu.Unlock()
	if status.state == "" || unchanged {
		return
	}
	key, value, err := platform.MoveStatus(m.Service, m.Target, status.state)
	if err != nil {
		v.node.log.Failure("moves", "not-encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, v.node.duties.schedule().AppendTimeout())
	defer cancel()
	at, err := v.node.platform.Append(ctx, platform.StatusTopic, platform.EncodeKeyed(key, value))
	if err != nil {
		v.node.log.Failure("moves", "not-stated", "service", m.Service, "state", status.state, "error", err)
		return
	}
	status.era = at.Era()
	v.node.log.Event("moves", "stated", "service", m.Service, "target", m.Target, "state", status.state)
	v.mu.Lock()
	v.published[m.Service] = status
	v.mu.Unlock()
}
