package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/cost"
	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/coordination/placement"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
	"coltsfootpath.example/coltsfootpath/platform"
)

// attemptState holds the results of a request's attempts so far.
type attemptState struct {
	random *rand.Rand
	// versionRandom is a random number in [0, 1). It decides whether the request
	// takes part in the trial of a version move.
	versionRandom float64
	// tried holds the IDs of the servers that must not be chosen again.
	tried map[string]bool
	// sentCount counts the servers that the request was sent to, possibleRuns
	// those of them that may have run it.
	sentCount    int
	possibleRuns int
	// fullServers counts the servers that rejected the request for lack of capacity
	// and did not state when to come back.
	fullServers int
	// choices counts the servers chosen so far, including those that could not be
	// reached.
	choices int
	// failedAnswer is a server's failure answer. It is forwarded if no later
	// attempt gives a better one.
	failedAnswer *bufferedAnswer
	// held holds the body of the last complete answer, nil if there is none.
	held *answerBuffer
	// lastEventID is the ID of the last event forwarded, -1 before the first.
	lastEventID int64
	// stream is the answer to the caller, nil until its head has been sent.
	stream          *httpserver.Stream
	timeToFirstByte time.Duration
	// longestPause is the longest time between two events that were forwarded.
	longestPause time.Duration
	// predictedFirstToken is the time to the first token that was predicted for the
	// last attempt.
	predictedFirstToken time.Duration
	// uncachedTokens is the number of prompt tokens that the server of the last
	// attempt was expected to prefill.
	uncachedTokens float64
	// predictedAnswer is the predicted length of the answer in tokens, and eventCount the
	// number of events forwarded.
	predictedAnswer *cost.Estimate
	eventCount      int
	lastServer      string
	// framing is that of the last answer, answerEnd the way in which it ended, and
	// partialEventBytes the number of bytes received after its last complete event.
	framing           string
	answerEnd         upstream.End
	partialEventBytes int
	// stops holds the orders to stop runs of the request.
	stops []*runStop
	// trialUnits are the quarantined units, its content or parts of its prompt, of which
	// the request is a trial. It is then sent to one server only.
	trialUnits []uint64
	trail      string
	// progressAt is the time of the last event forwarded, or of the request's arrival, and
	// hasForwarded is set once an event was forwarded.
	progressAt   time.Time
	hasForwarded bool
	// isCounted is set once the request is counted in its workspace's usage.
	isCounted bool
	// moves counts the attempts that were given up for a better one.
	moves int
	// room is set while the request waits for room at limited servers.
	room waitForRoom
}

// bufferedAnswer is a server's answer that has been read to its end.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// attemptOutcome is the result of an attempt.
type attemptOutcome int

const (
	// outcomeAnswered means that the caller has received its final answer.
	outcomeAnswered attemptOutcome = iota
	// outcomeNotSent means that nothing reached the server.
	outcomeNotSent
	// outcomeNotRun means that the server answered that it did not run the request.
	outcomeNotRun
	// outcomeFailed means that the server answered with a server error.
	outcomeFailed
	// outcomeLost means that the request may have run, but no complete answer
	// arrived.
	outcomeLost
	// outcomeUnresponsive means that no data arrived in time and that the request has
	// moved to another server.
	outcomeUnresponsive
	// outcomeCallerLeft means that the caller closed its connection.
	outcomeCallerLeft
	// outcomeDeadline means that the request's deadline has passed.
	outcomeDeadline
	// outcomeUnneeded means that the attempt was to take the request over from a silent
	// one, which has gone on.
	outcomeUnneeded
	// outcomeRelocated means that the request goes on with its memory on another server.
	outcomeRelocated
)

var outcomeNames = [...]string{"answered", "not-sent", "not-run", "failed", "lost", "silent", "caller-left", "late", "unneeded", "relocated"}

func (o attemptOutcome) String() string { return outcomeNames[o] }

const (
	// maxChoices bounds the servers that are chosen for one request, including
	// those that can't be reached or reject it. Nearly all servers of a service
	// may have stopped while their entries remain.
	maxChoices = 24
	// maxFullServers is the number of servers that may reject a request for lack of
	// capacity before the request itself is rejected.
	maxFullServers = 2
	// maxIdleNonRepeatable bounds the idle time of a kept connection that carries a
	// request which must not run twice.
	maxIdleNonRepeatable = 300 * time.Millisecond
	// maxIdleRepeatable bounds the idle time of a kept connection that carries
	// any other request.
	maxIdleRepeatable = time.Minute
	// minTimeLeft is the minimum time that must remain until the deadline for an
	// attempt to start.
	minTimeLeft = 20 * time.Millisecond
	// firstAnswerFactor determines when another server is looked for: if the answer
	// has not begun after firstAnswerFactor times the predicted time to the first
	// token, or after the route's latency target if that is longer.
	firstAnswerFactor = 3
	// timeoutMargin is added to the timeout for the start of the answer, to allow
	// for prediction errors. It is also the minimum timeout between events.
	timeoutMargin = 250 * time.Millisecond
	// pauseFactor determines when another server is looked for in a stream: once it
	// has paused for pauseFactor times the route's pause target.
	pauseFactor = 2
	// partialAnswerTimeouts is the number of silence timeouts for which the bytes of a
	// plain answer that is not complete count.
	partialAnswerTimeouts = 4
	// maxTimeoutDoublings bounds the growth of the silence timeout of a request that has
	// moved.
	maxTimeoutDoublings = 3
	// maxPlannedAnswerTokens bounds the answer tokens that placement takes into
	// account.
	maxPlannedAnswerTokens = 384
)

// run sends the request to backend servers until it has its final answer.
func (q *request) run() {
	q.tried = map[string]bool{}
	q.versionRandom = q.random.Float64()
	q.lastEventID = -1
	q.progressAt = q.startedAt
	defer q.refundIfNotRun()
	defer q.holdAnswer(nil)
	defer q.leaveQueue()
	ctx, cancel := context.WithDeadline(q.ctx, q.deadline)
	defer cancel()
	for {
		if done := q.step(ctx); done {
			return
		}
	}
}

// refundIfNotRun refunds the quota of a request that certainly did not run.
func (q *request) refundIfNotRun() {
	if q.workspace != nil && q.possibleRuns == 0 {
		q.node.quota.Refund(q.workspace.Name, q.cost)
	}
}

// step makes one attempt and reports whether the request is finished.
func (q *request) step(ctx context.Context) bool {
	n := q.node
	now := n.now()
	if q.ctx.Err() != nil {
		q.finish(outcomeCallerLeft, "caller-left")
		return true
	}
	if q.deadline.Sub(now) < minTimeLeft {
		q.finish(outcomeDeadline, "late")
		return true
	}
	if q.isQuarantined(ctx) {
		q.rejectQuarantined()
		return true
	}
	if q.choices >= maxChoices {
		q.finish(outcomeNotSent, "no-server-took-it")
		return true
	}
	query := q.serverQuery()
	query.skipLimited = q.mustYield()
	p := n.backends.choose(query, now, q.random)
	if p == nil {
		return !q.awaitServer(ctx, query, now)
	}
	if !n.limits.takePermit(ctx, p, query.parts) {
		n.backends.release(p)
		return false
	}
	q.leaveQueue()
	q.choices++
	isRetry := q.sentCount > 0
	if isRetry && !n.retries.Take(q.service, now) {
		n.backends.release(p)
		q.finish(outcomeNotSent, "retry-budget")
		return true
	}
	return q.runAttempts(ctx, p, isRetry)
}

// runAttempts makes one attempt, and one on each server that takes the request over while
// its attempt is silent. It reports whether the request is finished.
func (q *request) runAttempts(ctx context.Context, p *placedAttempt, isRetry bool) bool {
	for a := q.startAttempt(ctx, p, nil); ; isRetry = true {
		outcome, next := a.run(ctx)
		q.node.moves.countOutcome(a.placed, a.evidence(outcome))
		a.observeCost(outcome)
		q.countAttempt(a, outcome, isRetry)
		if next == nil {
			return q.afterAttempt(a.placed, outcome)
		}
		q.tried[a.placed.server.id] = true
		a = next
	}
}

// countAttempt counts the outcome of an attempt that has ended.
func (q *request) countAttempt(a *attempt, outcome attemptOutcome, isRetry bool) {
	n := q.node
	if isRetry && outcome == outcomeNotSent {
		n.retries.GiveBack(q.service, n.now())
	}
	n.metrics.attempts.WithLabelValues(q.service, outcome.String()).Inc()
	if a.answer != nil {
		n.metrics.answerEnds.WithLabelValues(q.service, a.answer.Framing(), outcome.String()).Inc()
	}
	q.trail += a.placed.server.id + ":" + outcome.String() + ","
}

// afterAttempt reports whether the request is finished after an attempt with this
// outcome. If so, it sends the final answer unless the caller already has one.
func (q *request) afterAttempt(p *placedAttempt, outcome attemptOutcome) bool {
	// A server that has rejected the request for a while may take it afterwards.
	q.tried[p.server.id] = outcome != outcomeNotRun || q.node.backends.maySend(p, q.node.now())
	switch outcome {
	case outcomeAnswered:
		return true
	case outcomeCallerLeft, outcomeDeadline:
		q.finish(outcome, outcome.String())
		return true
	case outcomeNotSent, outcomeNotRun:
		if q.possibleRuns > 0 && !q.mayRetry() {
			// The copy of its memory is lost.
			q.finish(outcomeLost, outcome.String())
			return true
		}
		if outcome == outcomeNotSent {
			return false
		}
		if q.fullServers > maxFullServers {
			q.finish(outcome, "servers-full")
			return true
		}
		return false
	}
	if !q.mayRetry() {
		q.finish(outcome, outcome.String())
		return true
	}
	return false
}

// mayRetry reports whether a request that may have run may be sent again.
func (q *request) mayRetry() bool {
	return q.route.MayRepeat() && !q.isTrial() && q.possibleRuns < q.route.MaxServers
}

func (q *request) serverQuery() *serverQuery {
	query := &serverQuery{service: q.service, route: q.routeName(), zone: q.node.settings.AvailabilityZone, exclude: q.tried}
	if q.isTrial() {
		query.preferred = q.node.quarantiner.table.LostServers(q.trialUnits, q.node.quarantiner.now())
	}
	query.versions = q.node.moves.chooseVersion(q.service, q.versionRandom)
	if !q.call.HasTokens {
		return query
	}
	query.parts = q.call.Parts
	query.request = placement.Request{PromptTokens: q.call.PromptTokens, AnswerTokens: min(q.answerTokens(), maxPlannedAnswerTokens), LatencyTarget: q.route.LatencyTarget, PauseTarget: q.route.PauseTarget, Nodes: q.node.backends.members()}
	query.answer = *q.predictedAnswer
	if len(query.parts) > 1 {
		shared := query.parts[:len(query.parts)-1]
		query.request.PrefixHash = shared[len(shared)-1].ID
		for _, part := range shared {
			query.request.SharedTokens += part.Tokens
		}
	}
	return query
}

// attempt is one attempt in progress. Its own goroutine exchanges the request with the
// server; everything else is done by the request's goroutine, which receives from arrivals.
type attempt struct {
	q      *request
	placed *placedAttempt
	// copy names the copy of the request's memory with which the run goes on, empty if it
	// begins anew.
	copy      string
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	arrivals  chan arrival
	// left is closed when the request no longer receives from arrivals.
	left chan struct{}
	// sending states whether the request may still be withdrawn before it is sent.
	sending atomic.Int32
	// isTunneled is set once the attempt goes through a peer.
	isTunneled atomic.Bool
	// isNoEvidence is set if the attempt's end tells nothing about its server.
	isNoEvidence bool
	// answer and head are nil and empty until the head of the answer has arrived.
	answer *upstream.Answer
	head   platform.Answer
	// hasEvent is set after the first event.
	hasEvent bool
	// lastByteAt is the time at which bytes last arrived, in nanoseconds since startedAt.
	lastByteAt atomic.Int64
	// progressAt is the time of the last arrival that was no repeated event.
	progressAt time.Time
	// early holds what has arrived before the attempt took its request over.
	early []arrival
	// progress is what the answer shows of its cost.
	progress answerProgress
}

// States of attempt.sending.
const (
	notSent int32 = iota
	sent
	withdrawn
)

// startAttempt starts to send the request to a server, on the given connection if there is
// one. The attempt's end method must be called.
func (q *request) startAttempt(ctx context.Context, p *placedAttempt, connection *upstream.Connection) *attempt {
	return q.startAttemptWith(ctx, p, connection, "")
}

// startAttemptWith starts an attempt that goes on with a copy of the request's memory, empty for
// none.
func (q *request) startAttemptWith(ctx context.Context, p *placedAttempt, connection *upstream.Connection, memoryCopy string) *attempt {
	now := q.node.now()
	a := &attempt{q: q, placed: p, copy: memoryCopy, startedAt: now, progressAt: now, arrivals: make(chan arrival), left: make(chan struct{})}
	a.ctx, a.cancel = context.WithCancel(ctx)
	q.node.moves.attemptStarted(p, q.routeName(), a.startedAt)
	request := q.upstreamRequest(p, memoryCopy)
	request.Connection = connection
	request.MaySend = a.maySend
	request.OnData = func() { a.lastByteAt.Store(int64(time.Since(a.startedAt))) }
	go func() {
		if !q.node.contain("exchange", func() { a.exchange(request) }) {
			a.deliver(arrival{kind: arrivedEnd, err: errPanic})
		}
	}()
	return a
}

// run processes the answer until the attempt ends. If another attempt has taken the request
// over, run returns that as next, and the outcome of this one.
func (a *attempt) run(ctx context.Context) (outcome attemptOutcome, next *attempt) {
	defer a.end()
	for _, x := range a.early {
		if outcome, ended := a.receive(x); ended {
			return outcome, nil
		}
	}
	w := newSilenceWatch(ctx, a)
	defer w.stop()
	r := &relocation{a: a}
	defer r.stop()
	for {
		select {
		case x := <-a.arrivals:
			if x.kind == arrivedEnd && !a.isComplete(x) {
				if next := r.streamEnded(ctx); next != nil {
					return outcomeRelocated, next
				}
			}
			if outcome, next, ended := w.arrived(x); ended {
				return outcome, next
			}
			continue
		case <-r.leaving():
			r.start(ctx, w)
			continue
		case result := <-r.results():
			r.received(result)
			continue
		case <-r.lastEventsDue():
			if next := r.continueRun(ctx); next != nil {
				return outcomeRelocated, next
			}
			continue
		case <-w.expired():
			next = w.timedOut()
		case r := <-w.found():
			w.challenge(r)
		case x := <-w.challengerArrivals():
			next = w.challengerArrived(x)
		}
		if next == nil {
			continue
		}
		select {
		case x := <-a.arrivals:
			if outcome, next, ended := w.arrived(x); ended {
				return outcome, next
			}
		default:
			return a.giveUp(), w.takeOver()
		}
	}
}

// end leaves the exchange and removes the attempt's load from its server.
func (a *attempt) end() {
	a.leave()
	a.q.node.backends.release(a.placed)
}

// maySend reports whether the request may still be sent, when a connection is at hand.
func (a *attempt) maySend() bool {
	n := a.q.node
	if n.backends.isEvacuated(&a.placed.info) {
		n.metrics.diverted.WithLabelValues(a.q.service, "evacuated").Inc()
		return false
	}
	return n.backends.maySend(a.placed, n.now()) && a.sending.CompareAndSwap(notSent, sent)
}

// leave ends the exchange. Further calls have no effect.
func (a *attempt) leave() {
	if a.ctx.Err() == nil {
		a.cancel()
	}
	select {
	case <-a.left:
	default:
		close(a.left)
	}
}

// silence returns the time since the last event or head, or since the attempt's start. Bytes
// of a plain answer count too, for a while.
func (a *attempt) silence(now time.Time) time.Duration {
	silent := now.Sub(a.progressAt)
	if a.q.route.Kind == deployment.Stream || silent > partialAnswerTimeouts*a.silenceTimeout() {
		return silent
	}
	return min(silent, now.Sub(a.startedAt)-time.Duration(a.lastByteAt.Load()))
}

// silenceTimeout returns the time without an arrival after which another server is looked
// for.
func (a *attempt) silenceTimeout() time.Duration {
	timeout := a.q.firstAnswerTimeout(a.placed)
	if a.hasEvent {
		timeout = a.q.pauseTimeout()
	}
	return timeout << min(a.q.moves, maxTimeoutDoublings)
}

// receive processes an arrival. It reports whether the attempt has ended, and its outcome.
func (a *attempt) receive(x arrival) (outcome attemptOutcome, ended bool) {
	switch x.kind {
	case arrivedHead:
		a.recordHead(x.answer)
		return 0, false
	case arrivedEvent:
		return a.receiveEvent(x.event)
	}
	if a.answer == nil {
		return a.handleSendError(x.err), true
	}
	a.confirmEnd(&x)
	a.q.holdAnswer(x.buffer)
	return a.receiveEnd(x), true
}

func (q *request) recordSent(p *placedAttempt) {
	q.sentCount++
	q.predictedFirstToken = p.choice.FirstToken
	q.uncachedTokens = p.choice.UncachedTokens
	q.lastServer = p.server.id
	if q.sentCount == 1 {
		q.node.retries.RecordFirstAttempt(q.service, q.node.now())
	}
	if p.load.MemoryTokens > 0 {
		q.node.work.add(q.service, q.node.backends.costs.Work(q.service, p.choice.UncachedTokens, float64(q.predictedTokens()), q.node.now()))
	}
}

// mayRetryAfterCurrent reports whether the request may be sent again if the
// attempt in progress turns out to have run.
func (a *attempt) mayRetryAfterCurrent() bool {
	q := a.q
	runs := q.possibleRuns
	if a.answer == nil {
		runs++
	}
	return q.route.MayRepeat() && !q.isTrial() && runs < q.route.MaxServers
}

func (q *request) firstAnswerTimeout(p *placedAttempt) time.Duration {
	return max(q.route.LatencyTarget, firstAnswerFactor*p.choice.FirstToken) + timeoutMargin
}

func (q *request) pauseTimeout() time.Duration {
	return max(pauseFactor*q.route.PauseTarget, timeoutMargin)
}

// evidence returns the outcome as evidence about the attempt's server.
func (a *attempt) evidence(outcome attemptOutcome) attemptOutcome {
	if a.isNoEvidence {
		return outcomeUnneeded
	}
	return outcome
}

func (q *request) upstreamRequest(p *placedAttempt, memoryCopy string) upstream.Request {
	forward := platform.ForwardedFields{
		Server:    p.server.id,
		Workspace: q.workspaceName(),
		Priority:  q.priority(),
		LastEvent: q.lastEventID,
		Copy:      memoryCopy,
	}
	maxIdle := maxIdleRepeatable
	if !q.route.MayRepeat() {
		maxIdle = maxIdleNonRepeatable
	}
	return upstream.Request{
		Method: q.r.Method,
		Head:   platform.AppendHead(make([]byte, 0, 1024), q.r.Method, q.r.RequestURI, q.r.Host, q.r.Header, forward, len(q.body)),
		// Opening a connection, or a tunnel, takes some of the time that is left.
		FinishHead: func(head []byte) []byte { return platform.AppendDeadline(head, q.deadline.Sub(q.node.now())) },
		Body:       q.body,
		MaxIdle:    maxIdle,
		Matches: func(status int, h http.Header) bool {
			id := platform.DecodeAnswer(status, h).ID
			return id == "" || id == q.call.ID
		},
	}
}

const (
	// priorityStep is the distance between two successive workspace priorities;
	// route priorities are ordered within it. lowestPriority is the least urgent
	// priority.
	priorityStep   = 3
	lowestPriority = 9
)

func (q *request) priority() int {
	p := q.route.Priority
	if q.workspace != nil && q.workspace.HasPriority {
		p = q.workspace.Priority*priorityStep + min(p, priorityStep-1)
	}
	return min(max(p, 0), lowestPriority)
}

// handleSendError handles an attempt that ended without an answer, and returns its
// outcome.
func (a *attempt) handleSendError(err error) attemptOutcome {
	q, n := a.q, a.q.node
	if errors.Is(err, upstream.ErrNotSent) {
		if !errors.IsAny(err, upstream.ErrConnectionLimit, upstream.ErrWithdrawn, errNoTunnel) && a.ctx.Err() == nil {
			n.health.RecordOutcome(a.placed.health, health.Outcome{Failed: true}, n.now())
			n.backends.recordConnectFailure(a.placed, n.now())
			n.log.Failure("attempt", "not-sent", "id", q.call.ID, "server", a.placed.server.id, "error", err)
		}
		return a.outcomeOr(outcomeNotSent)
	}
	q.recordSent(a.placed)
	q.possibleRuns++
	if errors.Is(err, upstream.ErrAnswerStarted) {
		q.countUsage(n.now())
	}
	return a.handleLost(err)
}

// handleLost handles an attempt that may have run and whose answer is incomplete,
// and returns its outcome.
func (a *attempt) handleLost(err error) attemptOutcome {
	return a.recordLost(a.outcomeOr(outcomeLost), err)
}

// recordLost records that no complete answer arrived, and returns the outcome.
func (a *attempt) recordLost(outcome attemptOutcome, err error) attemptOutcome {
	n := a.q.node
	now := n.now()
	isTunneled := a.isTunneled.Load()
	if isTunneled && errors.Is(err, errTunnelLost) || !isTunneled && n.links.IsCut(a.q.service) {
		a.isNoEvidence = true
		n.log.Failure("attempt", outcome.String(), "id", a.q.call.ID, "server", a.placed.server.id, "after", now.Sub(a.startedAt), "events", a.q.lastEventID, "links", "cut", "error", err)
		return outcome
	}
	if a.isStopped() {
		a.isNoEvidence = true
		if outcome == outcomeLost || outcome == outcomeUnresponsive {
			n.log.Failure("attempt", outcome.String(), "id", a.q.call.ID, "server", a.placed.server.id, "after", now.Sub(a.startedAt), "events", a.q.lastEventID, "stop", a.q.describeStops(), "error", err)
		}
		return outcome
	}
	if outcome != outcomeCallerLeft {
		n.serverChecks.add(a.placed.server, loss{
			requestID: a.q.call.ID, content: a.q.content, parts: a.q.parts, outcome: outcome, disconnected: outcome == outcomeLost && isDisconnect(err), at: now,
		})
	}
	if outcome == outcomeLost || outcome == outcomeUnresponsive {
		n.health.RecordOutcome(a.placed.health, health.Outcome{Failed: true}, now)
		silent, _ := n.backends.silence(a.placed.server, now)
		n.log.Failure("attempt", outcome.String(), "id", a.q.call.ID, "server", a.placed.server.id, "after", now.Sub(a.startedAt), "events", a.q.lastEventID, "server-silent", silent, "error", err)
	}
	return outcome
}

// outcomeOr returns the outcome of an attempt that the caller or the deadline ended, and
// otherwise the given one.
func (a *attempt) outcomeOr(fallback attemptOutcome) attemptOutcome {
	switch {
	case a.q.ctx.Err() != nil:
		return outcomeCallerLeft
	case a.ctx.Err() != nil || a.q.deadline.Sub(a.q.node.now()) <= 0:
		return outcomeDeadline
	}
	return fallback
}
