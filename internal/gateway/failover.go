package gateway

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
	"coltsfootpath.example/coltsfootpath/platform"
)

// A server that writes nothing for a while may be sound and go on, or its connection may
// be dead. A running attempt is therefore given up only for another one that is better:
//
//   - search: another server answers on a new connection, and could answer the request
//     before its deadline if it takes as long to begin as this one has taken;
//   - challenge: the request is sent on it while the silent attempt goes on;
//   - move: the challenger has begun to answer, or has not rejected the request for
//     overlapTime while the silent attempt's server answers nobody, or has been silent on
//     this connection for longer than sound servers are. The silent attempt is given up.
//
// If something arrives from the silent attempt before, or if the challenger fails, the
// attempt goes on, at most until the request's deadline.

const (
	// checkTimeout bounds the time to connect to another server and, if nothing has
	// arrived from it recently, to get an answer to a check.
	checkTimeout = 300 * time.Millisecond
	// overlapTime bounds the time for which two attempts of a request run. The platform
	// allows 400 ms.
	overlapTime = 250 * time.Millisecond
	// settleTime is the time between an answer to a check and the move. When all servers
	// go on after a silence, the request's own answer arrives in it.
	settleTime = 50 * time.Millisecond
	// maxSoundSilence is the time after which a silent server is no longer expected to go
	// on.
	maxSoundSilence = 2500 * time.Millisecond
	// silenceSlack is the difference between two silences that shows which began first.
	silenceSlack = 50 * time.Millisecond
	// minSearchInterval is the time until the next search for another server after one
	// that found none. It doubles with each further one up to maxSearchInterval.
	minSearchInterval = 100 * time.Millisecond
	maxSearchInterval = 800 * time.Millisecond
	// maxChecks bounds the concurrent checks of a service's servers. Requests beyond it
	// use the results of the others.
	maxChecks = 2
)

// replacement is a server on which a request can be sent at once.
type replacement struct {
	placed     *placedAttempt
	connection *upstream.Connection
}

func (r *replacement) release(n *Node) {
	r.connection.Release()
	n.backends.release(r.placed)
}

// search looks for a replacement in the background.
type search struct {
	cancel context.CancelFunc
	// found receives the result, nil if the server did not answer.
	found chan *replacement
}

// startSearch starts to look for a server that can take the request over from a. If there
// is none, it returns nil and the reason.
func (q *request) startSearch(ctx context.Context, a *attempt) (s *search, reason string) {
	n, now := q.node, q.node.now()
	if q.isRefused() {
		return nil, reasonQuarantined
	}
	if q.choices >= maxChoices {
		return nil, "no-server-took-it"
	}
	if !a.mayTakeRetry() {
		return nil, "retry-budget"
	}
	query := q.serverQuery()
	query.isReplacement = true
	query.exclude = maps.Clone(q.tried)
	query.exclude[a.placed.server.id] = true
	p := n.backends.choose(query, now, q.random)
	if p == nil && a.silence(now) > maxSoundSilence && n.backends.isOnlyServer(a.placed.server) {
		// Its connection may be dead, and new ones may work.
		query.exclude = q.tried
		p = n.backends.choose(query, now, q.random)
	}
	if p == nil {
		return nil, "no-server"
	}
	if q.deadline.Sub(now) < q.firstAnswerTimeout(p)+a.waitForAnswer(now) {
		n.backends.release(p)
		return nil, "deadline"
	}
	var check *upstream.Request
	if (!n.backends.heardRecently(p.server, now) || p.server == a.placed.server) && !n.places.isBrittle(p.server) {
		if !n.checks.acquire(q.service) {
			n.backends.release(p)
			return nil, "checks-busy"
		}
		check = n.checkRequest(p)
	}
	ctx, cancel := context.WithCancel(ctx)
	s = &search{cancel: cancel, found: make(chan *replacement, 1)}
	go func() {
		defer cancel()
		s.found <- n.secure(ctx, p, check)
	}()
	return s, ""
}

// waitForAnswer returns the time for which the request has waited for an answer that has not
// begun. Another server may take as long.
func (a *attempt) waitForAnswer(now time.Time) time.Duration {
	if a.answer != nil {
		return 0
	}
	return now.Sub(a.q.progressAt)
}

// secure opens a connection to a server and sends the check on it, if there is one. It
// returns nil if the server does not answer.
func (n *Node) secure(ctx context.Context, p *placedAttempt, check *upstream.Request) *replacement {
	callCtx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	connection, err := n.connectReplacement(callCtx, p, check)
	if check != nil {
		n.checks.release(p.server.service)
	}
	if err != nil {
		n.recordCheckFailure(p, ctx, err)
		n.backends.release(p)
		return nil
	}
	sleep(ctx, settleTime)
	return &replacement{p, connection}
}

// connectReplacement opens a connection to a server, through a peer if the links to the
// service's servers are cut. A peer's connection shows that the server is there.
func (n *Node) connectReplacement(ctx context.Context, p *placedAttempt, check *upstream.Request) (*upstream.Connection, error) {
	if n.usesTunnels(p.server.service) {
		return n.tunnels.connect(ctx, p)
	}
	startedAt := n.now()
	connection, err := p.server.pool.Connect(ctx, check)
	if err != nil && !errors.IsAny(err, upstream.ErrConnectionLimit, context.Canceled) && !isBrokenAnswer(err) {
		n.recordLinkFailure(p.server, startedAt)
	}
	return connection, err
}

// recordCheckFailure records that a server did not answer a check. ctx is that of the search.
func (n *Node) recordCheckFailure(p *placedAttempt, ctx context.Context, err error) {
	if ctx.Err() != nil || errors.IsAny(err, upstream.ErrConnectionLimit, errNoTunnel) || n.links.IsCut(p.server.service) && !errors.IsAny(err, errUnreachableForPeer, errRefusedForPeer) {
		return
	}
	if errors.IsAny(err, syscall.ECONNREFUSED, errUnreachableForPeer, errRefusedForPeer) {
		n.backends.recordConnectFailure(p, n.now())
	} else {
		n.backends.recordSilent(p, n.now())
	}
	n.log.Event("attempt", "check-failed", "server", p.server.id, "service", p.server.service, "error", err)
}

// stop ends a search whose result is not needed.
func (s *search) stop(n *Node) {
	s.cancel()
	go func() {
		if r := <-s.found; r != nil {
			r.release(n)
		}
	}()
}

func (n *Node) checkRequest(p *placedAttempt) *upstream.Request {
	path, isModel := "", false
	if c := n.serviceConfig(p.server.service); c != nil {
		path, isModel = c.HealthPath, c.Model != nil
	}
	return &upstream.Request{
		Method: "GET",
		Head:   platform.AppendCheck(nil, p.info.Address, p.server.id, path, isModel),
		Matches: func(status int, h http.Header) bool {
			answer := platform.DecodeAnswer(status, h)
			return answer.ID == "" && !answer.Misdirected
		},
	}
}

// checkSlots bounds the concurrent checks of each service's servers.
type checkSlots struct {
	mu   sync.Mutex
	used map[string]int
}

func newCheckSlots() *checkSlots { return &checkSlots{used: map[string]int{}} }

func (c *checkSlots) acquire(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.used[service] >= maxChecks {
		return false
	}
	c.used[service]++
	return true
}

func (c *checkSlots) release(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.used[service]--; c.used[service] == 0 {
		delete(c.used, service)
	}
}

// silenceWatch finds a better attempt for a request from whose attempt nothing arrives. It
// is used by the request's goroutine only.
type silenceWatch struct {
	ctx context.Context
	a   *attempt
	// timer is nil if the request may not be sent to another server.
	timer *time.Timer
	// At most one of search and challenger is set.
	search     *search
	challenger *attempt
	// failures counts the searches that found no better attempt.
	failures int
	// kept is set once the log states why the attempt goes on.
	kept bool
}

func newSilenceWatch(ctx context.Context, a *attempt) *silenceWatch {
	w := &silenceWatch{ctx: ctx, a: a}
	if a.mayRetryAfterCurrent() {
		w.timer = time.NewTimer(a.silenceTimeout())
	}
	return w
}

// expired returns the channel that receives when it is time for timedOut.
func (w *silenceWatch) expired() <-chan time.Time {
	if w.timer == nil {
		return nil
	}
	return w.timer.C
}

// found returns the channel that receives the result of the search in progress.
func (w *silenceWatch) found() <-chan *replacement {
	if w.search == nil {
		return nil
	}
	return w.search.found
}

// challengerArrivals returns the channel that receives what arrives from the challenger.
func (w *silenceWatch) challengerArrivals() <-chan arrival {
	if w.challenger == nil {
		return nil
	}
	return w.challenger.arrivals
}

// arrived processes an arrival from the silent attempt. It reports whether the attempt has
// ended, its outcome, and the challenger if that takes the request over.
func (w *silenceWatch) arrived(x arrival) (outcome attemptOutcome, next *attempt, ended bool) {
	a := w.a
	isRepeated := x.kind == arrivedEvent && a.q.isRepeated(x.event)
	outcome, ended = a.receive(x)
	switch {
	case !ended && (a.head.NotRun || isRepeated):
		return 0, nil, false
	case !ended:
		a.progressAt = a.q.node.now()
		w.endSearch("arrived")
		w.dropChallenger(outcomeUnneeded)
		if w.timer != nil {
			w.timer.Reset(a.silenceTimeout())
		}
		return 0, nil, false
	case outcome == outcomeAnswered || outcome == outcomeCallerLeft || outcome == outcomeDeadline:
		w.dropChallenger(outcomeUnneeded)
		return outcome, nil, true
	}
	return outcome, w.takeOver(), true
}

// timedOut starts a search, or returns the challenger after overlapTime.
func (w *silenceWatch) timedOut() (next *attempt) {
	if w.challenger != nil {
		switch {
		case w.challenger.head.NotRun:
			w.dropChallenger(outcomeNotRun)
			w.keep(outcomeNotRun.String())
			return nil
		case w.a.isServerAnswering(w.a.q.node.now()):
			w.dropChallenger(outcomeUnneeded)
			w.keep("server-answers")
			if w.timer != nil {
				w.timer.Reset(maxSoundSilence)
			}
			return nil
		}
		return w.challenger
	}
	if left := w.a.silenceTimeout() - w.a.silence(w.a.q.node.now()); left > 0 {
		// Bytes arrive that are not a complete event or answer yet.
		w.timer.Reset(left)
		return nil
	}
	s, reason := w.a.q.startSearch(w.ctx, w.a)
	if s == nil {
		w.keep(reason)
		return nil
	}
	w.search = s
	return nil
}

// challenge sends the request to a server that a search has found, nil for none.
func (w *silenceWatch) challenge(r *replacement) {
	q, n := w.a.q, w.a.q.node
	w.search = nil
	switch {
	case r == nil:
		w.keep("no-answer")
	case !n.backends.maySend(r.placed, n.now()):
		r.release(n)
		w.keep("no-server")
	case !w.a.takeRetry():
		r.release(n)
		w.keep("retry-budget")
	default:
		q.choices++
		n.backends.recordSent(r.placed, q.call.Parts, n.now())
		w.challenger = q.startAttempt(w.ctx, r.placed, r.connection)
		w.timer.Reset(overlapTime)
		go w.a.checkServer(w.ctx)
	}
}

// challengerArrived processes an arrival from the challenger. It returns the challenger once
// that has begun to answer.
func (w *silenceWatch) challengerArrived(x arrival) (next *attempt) {
	c := w.challenger
	if x.kind == arrivedEnd {
		c.confirmEnd(&x)
	}
	c.early = append(c.early, x)
	switch {
	case x.kind == arrivedHead:
		c.answer, c.head = x.answer, platform.DecodeAnswer(x.answer.Status, x.answer.Header)
		return nil
	case x.kind == arrivedEvent || c.isComplete(x):
		return c
	}
	outcome := w.keepState(func() attemptOutcome { return c.receiveFailure(x) })
	w.dropChallenger(outcome)
	w.keep(outcome.String())
	return nil
}

// receiveFailure processes the end of a challenger that has not begun to answer.
func (a *attempt) receiveFailure(x arrival) attemptOutcome {
	if a.answer == nil {
		return a.handleSendError(x.err)
	}
	a.recordHead(a.answer)
	if a.answer.Status >= http.StatusInternalServerError && !a.head.NotRun {
		a.q.node.health.RecordOutcome(a.placed.health, health.Outcome{Failed: a.head.Backoff == 0}, a.q.node.now())
		return outcomeFailed
	}
	return a.receiveEnd(x)
}

// checkServer asks the attempt's server on a new connection whether it answers.
func (a *attempt) checkServer(ctx context.Context) {
	n := a.q.node
	if !n.backends.mayAsk(a.placed.server) || n.links.IsCut(a.q.service) || n.backends.heardRecently(a.placed.server, n.now()) || n.backends.isLimited(a.placed.server) || n.places.isBrittle(a.placed.server) || !n.checks.acquire(a.q.service) {
		return
	}
	defer n.checks.release(a.q.service)
	ctx, cancel := context.WithTimeout(ctx, overlapTime)
	defer cancel()
	connection, err := a.placed.server.pool.Connect(ctx, n.checkRequest(a.placed))
	if err != nil {
		return
	}
	connection.Release()
}

// isServerAnswering reports whether the attempt's server answers others, so that this
// attempt is slow, or its connection dead if its silence lasts.
func (a *attempt) isServerAnswering(now time.Time) bool {
	silent, heard := a.q.node.backends.silence(a.placed.server, now)
	return heard && silent < overlapTime+recentlyHeard && a.silence(now) < maxSoundSilence
}

// isProbablyDead reports whether the attempt's connection is probably dead: bytes have
// arrived from its server on others while it was silent, or it has been silent for longer
// than sound servers are.
func (a *attempt) isProbablyDead(now time.Time) bool {
	silent := a.silence(now)
	server, heard := a.q.node.backends.silence(a.placed.server, now)
	return silent > maxSoundSilence || heard && server+silenceSlack < silent
}

// takeRetry takes a retry for a challenger. Unless the attempt is probably dead, some are
// left for attempts that have failed.
func (a *attempt) takeRetry() bool {
	n := a.q.node
	now := n.now()
	if a.isProbablyDead(now) {
		return n.retries.Take(a.q.service, now)
	}
	return n.retries.TakeOptional(a.q.service, now)
}

// mayTakeRetry reports whether takeRetry would take one.
func (a *attempt) mayTakeRetry() bool {
	n := a.q.node
	now := n.now()
	if a.isProbablyDead(now) {
		return n.retries.MayTake(a.q.service, now)
	}
	return n.retries.MayTakeOptional(a.q.service, now)
}

// isComplete reports whether the end x makes the answer a complete one that is no failure.
func (a *attempt) isComplete(x arrival) bool {
	if a.answer == nil || x.err != nil && !a.q.isStreamAnswer(a.answer) || a.head.NotRun || a.answer.Status >= http.StatusInternalServerError {
		return false
	}
	if a.answer.Status/100 == 2 && !a.head.Sealed {
		return false
	}
	if a.q.isStreamAnswer(a.answer) {
		return a.answer.End() == upstream.EndFramed && x.partialBytes == 0
	}
	return a.answer.End() != upstream.EndNotSeen
}

// keepState runs record, which records the end of the challenger, and restores what the
// request's log line states about the attempt that goes on.
func (w *silenceWatch) keepState(record func() attemptOutcome) attemptOutcome {
	q := w.a.q
	before := q.attemptState
	outcome := record()
	q.framing, q.answerEnd, q.partialEventBytes, q.fullServers = before.framing, before.answerEnd, before.partialEventBytes, before.fullServers
	q.lastServer, q.predictedFirstToken, q.uncachedTokens = before.lastServer, before.predictedFirstToken, before.uncachedTokens
	return outcome
}

// dropChallenger ends the challenger, if there is one, and lets the attempt go on.
func (w *silenceWatch) dropChallenger(outcome attemptOutcome) {
	c, q := w.challenger, w.a.q
	if c == nil {
		return
	}
	w.challenger = nil
	if c.sending.CompareAndSwap(notSent, withdrawn) {
		outcome = outcomeNotSent
	}
	c.end()
	for _, x := range c.early {
		if x.buffer != nil {
			x.buffer.release()
		}
	}
	if outcome == outcomeUnneeded {
		w.keepState(func() attemptOutcome {
			q.recordSent(c.placed)
			q.possibleRuns++
			return outcome
		})
	}
	q.tried[c.placed.server.id] = true
	q.node.moves.countOutcome(c.placed, c.evidence(outcome))
	q.countAttempt(c, outcome, true)
}

// takeOver returns the challenger, which the watch no longer watches, or nil if there is
// none.
func (w *silenceWatch) takeOver() *attempt {
	c := w.challenger
	w.challenger = nil
	if c != nil {
		w.a.q.moves++
		w.countSearch("moved")
	}
	return c
}

// keep lets the attempt go on, and searches again later.
func (w *silenceWatch) keep(reason string) {
	w.countSearch(reason)
	if !w.a.mayRetryAfterCurrent() {
		w.timer.Stop()
		w.timer = nil
	} else {
		w.timer.Reset(min(minSearchInterval<<min(w.failures, 8), maxSearchInterval))
		w.failures++
	}
	if w.kept {
		return
	}
	w.kept = true
	q, n := w.a.q, w.a.q.node
	silent, _ := n.backends.silence(w.a.placed.server, n.now())
	n.log.Failure("attempt", "kept", "id", q.call.ID, "server", w.a.placed.server.id, "reason", reason, "after", n.now().Sub(w.a.startedAt), "server-silent", silent)
}

func (w *silenceWatch) countSearch(end string) {
	w.a.q.node.metrics.searches.WithLabelValues(w.a.q.service, end).Inc()
}

// endSearch ends the search in progress, if there is one.
func (w *silenceWatch) endSearch(end string) {
	if w.search != nil {
		w.countSearch(end)
		w.search.stop(w.a.q.node)
		w.search = nil
	}
}

func (w *silenceWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.endSearch("ended")
	w.dropChallenger(outcomeUnneeded)
}

// giveUp ends an attempt whose request moves to another server, and returns its outcome.
func (a *attempt) giveUp() attemptOutcome {
	q := a.q
	isSent := !a.sending.CompareAndSwap(notSent, withdrawn)
	a.leave()
	if !isSent {
		// The request has reached no other server than the next one instead.
		q.node.retries.GiveBack(q.service, q.node.now())
		return outcomeNotSent
	}
	if a.answer == nil {
		q.recordSent(a.placed)
		q.possibleRuns++
	}
	return a.recordLost(outcomeUnresponsive, errors.New("moved to another server"))
}

// isRefused reports whether the request's content or a part of its prompt is quarantined,
// or must not be sent again.
func (q *request) isRefused() bool {
	z := q.node.quarantiner
	now := z.now()
	return z.table.Check(q.content, q.service, now).Refused || len(z.table.CheckParts(q.parts, true, now).Refused) > 0
}
