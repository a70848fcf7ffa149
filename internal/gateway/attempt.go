package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/coordination/placement"
	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
	"coltsfootpath.example/coltsfootpath/platform"
)

// attemptState is what a request's attempts have come to.
type attemptState struct {
	random *rand.Rand
	// draw decides whether a move's trial gets the request.
	draw float64
	// tried are the servers that are not to be chosen again.
	tried map[string]bool
	// sends counts the servers that the request has reached, ran those that
	// may have run it.
	sends int
	ran   int
	// looks bounds the choices, those of servers that can't be reached too.
	looks int
	// failed is an answer of a server that is passed on if nothing better comes.
	failed *wholeAnswer
	// lastEvent is the last event passed on, -1 before the first.
	lastEvent int64
	// headSent is true once the caller has been sent the head of an answer.
	headSent   bool
	firstAfter time.Duration
	// predicted is the time to the first answer that the last choice expected.
	predicted time.Duration
	// uncached is the number of prompt tokens that it took the server to read.
	uncached   float64
	lastServer string
	trail      string
}

// wholeAnswer is a server's answer, read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// end is how an attempt ended.
type end int

const (
	// endAnswered: the caller has its final answer.
	endAnswered end = iota
	// endNotSent: nothing reached the server.
	endNotSent
	// endNotRun: the server says that it has not run the request.
	endNotRun
	// endFailed: the server answered with a failure of its own.
	endFailed
	// endLost: the request may have run and no whole answer came.
	endLost
	// endSilent: this VM gave the attempt up for want of news.
	endSilent
	// endLeft: the caller has gone.
	endLeft
	// endLate: the request's time is over.
	endLate
)

var endNames = [...]string{"answered", "not-sent", "not-run", "failed", "lost", "silent", "caller-left", "late"}

func (e end) String() string { return endNames[e] }

const (
	// maxLooks bounds the servers that one request is tried on, those that
	// can't be reached or refuse it among them: nearly all of a service may be
	// gone while their entries stand.
	maxLooks = 24
	// maxRefusedSends is how many servers may refuse a request for want of room
	// before it is refused itself.
	maxRefusedSends = 2
	// onceIdle is the longest that a kept connection may have been idle to carry
	// a request that must not run twice.
	onceIdle = 300 * time.Millisecond
	// anyIdle is the same for other requests.
	anyIdle = time.Minute
	// minLeft is the time below which an attempt is not worth its start.
	minLeft = 20 * time.Millisecond
	// silenceFactor times the predicted time is when a repeatable request is
	// sent elsewhere; silenceExtra is added for what predictions miss.
	silenceFactor = 3
	silenceExtra  = 250 * time.Millisecond
	// pauseFactor times a route's longest pause is when a stream goes on
	// elsewhere.
	pauseFactor = 2
	// answerLook bounds the answer tokens that a placement looks ahead.
	answerLook = 384
)

// run sends the request to backend servers until it has its final answer.
func (q *request) run() {
	q.tried = map[string]bool{}
	q.draw = q.random.Float64()
	q.lastEvent = -1
	defer q.settle()
	ctx, cancel := context.WithDeadline(q.ctx, q.deadline)
	defer cancel()
	for {
		if done := q.step(ctx); done {
			return
		}
	}
}

// settle gives back the quota of a request that has not run.
func (q *request) settle() {
	if q.workspace != nil && q.ran == 0 {
		q.node.quota.Refund(q.workspace.Name, q.cost)
	}
}

// step makes one attempt, and tells whether the request is over.
func (q *request) step(ctx context.Context) bool {
	n := q.node
	now := n.now()
	if q.ctx.Err() != nil {
		q.finish(endLeft, "caller-left")
		return true
	}
	if q.deadline.Sub(now) < minLeft {
		q.finish(endLate, "late")
		return true
	}
	q.looks++
	if q.looks > maxLooks {
		q.finish(endNotSent, "no-server-took-it")
		return true
	}
	p := n.backends.choose(q.want(), now, q.random)
	if p == nil {
		q.finish(endNotSent, "no-server")
		return true
	}
	again := q.sends > 0
	if again && !n.retries.Take(q.service, now) {
		n.backends.release(p)
		q.finish(endNotSent, "retry-budget")
		return true
	}
	e := q.attempt(ctx, p)
	if again && e == endNotSent {
		n.retries.GiveBack(q.service, n.now())
	}
	n.moves.answered(&p.server.info, e)
	n.metrics.attempts.WithLabelValues(q.service, e.String()).Inc()
	q.trail += p.server.info.ID + ":" + e.String() + ","
	return q.after(p, e)
}

// after decides what follows the end of an attempt.
func (q *request) after(p *pick, e end) bool {
	id := p.server.info.ID
	q.tried[id] = true
	switch e {
	case endAnswered:
		return true
	case endLeft, endLate:
		q.finish(e, e.String())
		return true
	case endNotSent:
		return false
	case endNotRun:
		if q.sends > q.ran+maxRefusedSends {
			q.finish(e, "servers-full")
			return true
		}
		return false
	}
	if !q.mayRepeat() {
		q.finish(e, e.String())
		return true
	}
	return false
}

// mayRepeat tells whether a request that may have run may be sent once more.
func (q *request) mayRepeat() bool {
	return q.route.Repeats() && q.ran < q.route.MaxServers
}

func (q *request) want() *wanted {
	w := &wanted{service: q.service, zone: q.node.set.AvailabilityZone, avoid: q.tried}
	w.prefer = q.node.moves.side(q.service, q.draw)
	if !q.call.HasTokens {
		return w
	}
	w.parts = q.call.Parts
	w.request = placement.Request{Prompt: q.call.PromptTokens, Answer: min(q.answerTokens(), answerLook)}
	if len(w.parts) > 1 {
		shared := w.parts[:len(w.parts)-1]
		w.request.Home = shared[len(shared)-1].ID
		for _, part := range shared {
			w.request.Shared += part.Tokens
		}
	}
	return w
}

func (q *request) answerTokens() int {
	if q.call.LikelyAnswerTokens > 0 {
		return q.call.LikelyAnswerTokens
	}
	return q.call.MaxAnswerTokens
}

// attemptRun is one attempt under way.
type attemptRun struct {
	q      *request
	pick   *pick
	ctx    context.Context
	cancel context.CancelFunc
	began  time.Time
	// silent is set once the attempt is given up for want of news.
	silent atomic.Bool
	timer  *time.Timer
}

// attempt sends the request to one server.
func (q *request) attempt(ctx context.Context, p *pick) end {
	n := q.node
	defer n.backends.release(p)
	a := &attemptRun{q: q, pick: p, began: n.now()}
	a.ctx, a.cancel = context.WithCancel(ctx)
	defer a.cancel()
	a.watch(q.firstBound(p))
	defer a.unwatch()
	answer, err := p.server.pool.Do(a.ctx, q.upstreamRequest(p, a.began))
	if err != nil {
		return a.failedToSend(err)
	}
	q.reached(p)
	n.backends.connected(p)
	return a.receive(answer)
}

func (q *request) reached(p *pick) {
	q.sends++
	q.predicted = p.choice.First
	q.uncached = p.choice.Uncached
	q.lastServer = p.server.info.ID
	if q.sends == 1 {
		q.node.retries.First(q.service, q.node.now())
	}
	if p.load.Memory > 0 {
		q.node.work.add(q.service, placement.DefaultCost.Work(p.choice.Uncached, q.answerTokens()))
	}
}

// watch gives the attempt up after a time without news, where the request may
// be sent elsewhere.
func (a *attemptRun) watch(bound time.Duration) {
	if !a.q.mayRepeatAfterThis() {
		return
	}
	a.timer = time.AfterFunc(bound, func() {
		a.silent.Store(true)
		a.cancel()
	})
}

// mayRepeatAfterThis is mayRepeat with the attempt under way counted.
func (q *request) mayRepeatAfterThis() bool {
	return q.route.Repeats() && q.ran+1 < q.route.MaxServers
}

func (a *attemptRun) unwatch() {
	if a.timer != nil {
		a.timer.Stop()
	}
}

// news restarts the watch.
func (a *attemptRun) news(bound time.Duration) {
	if a.timer != nil {
		a.timer.Reset(bound)
	}
}

func (q *request) firstBound(p *pick) time.Duration {
	return max(q.route.LatencyTarget, silenceFactor*p.choice.First) + silenceExtra
}

func (q *request) pauseBound() time.Duration {
	return max(pauseFactor*q.route.PauseTarget, silenceExtra)
}

func (q *request) upstreamRequest(p *pick, now time.Time) upstream.Request {
	workspace := ""
	if q.workspace != nil {
		workspace = q.workspace.Name
	}
	forward := platform.Forward{
		Server:    p.server.info.ID,
		Workspace: workspace,
		Left:      q.deadline.Sub(now),
		Priority:  q.priority(),
		LastEvent: q.lastEvent,
	}
	maxIdle := anyIdle
	if !q.route.Repeats() {
		maxIdle = onceIdle
	}
	return upstream.Request{
		Method:  q.r.Method,
		Head:    platform.AppendHead(make([]byte, 0, 1024), q.r.Method, q.r.RequestURI, q.r.Host, q.r.Header, forward, len(q.body)),
		Body:    q.body,
		MaxIdle: maxIdle,
		IsOurs: func(status int, h http.Header) bool {
			id := platform.DecodeAnswer(status, h).ID
			return id == "" || id == q.call.ID
		},
	}
}

const (
	// priorityStep separates the priorities of workspaces, within which those of
	// routes count; lowestPriority is the least urgent one.
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

// failedToSend tells how an attempt ended that got no answer.
func (a *attemptRun) failedToSend(err error) end {
	q, n := a.q, a.q.node
	if errors.Is(err, upstream.ErrNotSent) {
		if !errors.Is(err, upstream.ErrFull) && a.ctx.Err() == nil {
			n.health.Ended(a.pick.health, health.Outcome{Failed: true}, n.now())
			n.backends.notConnected(a.pick, n.now())
			n.log.Failure("attempt", "not-sent", "id", q.call.ID, "server", a.pick.server.info.ID, "error", err)
		}
		return a.endOf(endNotSent)
	}
	q.reached(a.pick)
	q.ran++
	if errors.Is(err, upstream.ErrBegun) {
		q.countBegun(n.now())
	}
	return a.lost(err)
}

// lost notes an attempt that may have run and whose answer did not come whole.
func (a *attemptRun) lost(err error) end {
	n := a.q.node
	e := a.endOf(endLost)
	if e == endLost || e == endSilent {
		n.health.Ended(a.pick.health, health.Outcome{Failed: true}, n.now())
		n.log.Failure("attempt", e.String(), "id", a.q.call.ID, "server", a.pick.server.info.ID, "after", n.now().Sub(a.began), "events", a.q.lastEvent, "error", err)
	}
	return e
}

// endOf tells a caller's leaving, the end of the time and this VM's own giving
// up from what else ended an attempt.
func (a *attemptRun) endOf(otherwise end) end {
	switch {
	case a.q.ctx.Err() != nil:
		return endLeft
	case a.silent.Load():
		return endSilent
	case a.ctx.Err() != nil || a.q.deadline.Sub(a.q.node.now()) <= 0:
		return endLate
	}
	return otherwise
}
