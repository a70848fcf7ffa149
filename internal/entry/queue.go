package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/admission"
	"coltsfootpath.example/coltsfootpath/internal/coordination/routing"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
	"coltsfootpath.example/coltsfootpath/internal/state/prefix"
	"coltsfootpath.example/coltsfootpath/internal/state/requests"
)

var priorityClass = map[document.Priority]admission.Class{
	document.Interactive: admission.Interactive,
	document.Normal:      admission.Normal,
	document.Batch:       admission.Batch,
}

const (
	// dispatchInterval is the interval at which waiting requests are checked
	// when no signal triggers a check.
	dispatchInterval = 10 * time.Millisecond
	// answerTokenCost is the cost of an answer token relative to a prompt
	// token. maxAnswerCost bounds the cost of an answer, whose length is
	// unknown before it ends.
	answerTokenCost = 4
	maxAnswerCost   = 256 * answerTokenCost
)

// waitQueue holds the accepted requests that have not started.
type waitQueue struct {
	// mu guards queue. A backend server's lock may be taken while mu is held,
	// but not the other way round.
	mu          sync.Mutex
	queue       *admission.Queue
	busyWorkers atomic.Int64
	wake        chan struct{}
}

func newWaitQueue(maxItems int) *waitQueue {
	cfg := admission.DefaultQueueConfig(routing.DefaultCost.FirstTokenTarget, maxItems)
	return &waitQueue{queue: admission.NewQueue(cfg), wake: make(chan struct{}, 1)}
}

func (w *waitQueue) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *waitQueue) push(item *admission.Item, now time.Time) (admission.PushResult, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Push(item, now)
}

// popStartable removes and returns a request that may start, nil if there is
// none, and the requests whose answers can no longer be complete before their
// deadlines.
func (w *waitQueue) popStartable(now time.Time, mayStart func(*admission.Item) bool) (*admission.Item, []*admission.Item) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Pop(now, mayStart), w.queue.Expire(now)
}

func (w *waitQueue) length() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Len()
}

// enqueueNew adds a new request to the wait queue, or rejects it at once if it
// would wait too long.
func (n *Node) enqueueNew(req *requests.Request, t target) {
	r := n.newRun(req, t)
	now := n.clock.Now()
	reason, wait := n.waiting.push(&admission.Item{
		Workspace:   req.ID.Workspace,
		Weight:      float64(t.workspace.Weight),
		Class:       admission.Class(r.priority),
		Cost:        float64(r.promptTokens + min(req.MaxTokens*answerTokenCost, maxAnswerCost)),
		Deadline:    req.Deadline,
		ServiceTime: routing.DefaultCost.MinFirstTokenTime(r.promptTokens),
		Value:       r,
	}, now)
	if reason != admission.Accepted {
		n.rejectWaiting(r, reason, wait)
		return
	}
	n.waiting.signal()
}

// resume starts a request that was accepted earlier, by this or another entry
// VM. It is never rejected for lack of capacity.
func (n *Node) resume(req *requests.Request, t target) {
	r := n.newRun(req, t)
	n.waiting.busyWorkers.Add(1)
	n.runInBackground(func(ctx context.Context) {
		select {
		case n.workQueue <- r:
		case <-ctx.Done():
		}
	})
}

func (n *Node) newRun(req *requests.Request, t target) *requestRun {
	version, _ := t.service.Version(req.Version)
	split := t.state.Split(t.service)
	tokens := prefix.Tokens(req.Prompt)
	n.metrics.openRequests.Set(float64(n.requests.OpenCount()))
	r := &requestRun{
		node:         n,
		req:          req,
		model:        version.Model,
		move:         split.Move,
		step:         split.Step,
		priority:     int(priorityClass[t.route.Priority]),
		promptTokens: len(tokens),
		blocks:       prefix.Blocks(tokens),
		random:       newRandom(),
		events:       make(chan attemptEvent, eventBuffer),
		commands:     make(chan func(context.Context), commandBuffer),
		openedAt:     n.clock.Now(),
	}
	n.runs.add(r)
	return r
}

// rejectWaiting ends a request that has not started, and frees its key. If the
// request has already ended, for example because it was handed over while it
// waited, its end stays unchanged.
func (n *Node) rejectWaiting(r *requestRun, reason admission.PushResult, wait time.Duration) {
	n.runs.remove(r)
	n.requests.MarkClosed()
	if hasEnded(r.req) {
		return
	}
	e := withRetryAfter(wait, newError(callerapi.NoCapacity, callerapi.NotRun, "the request would wait too long to start"))
	if reason == admission.PastDeadline {
		e = withRetryAfter(wait, newError(callerapi.DeadlineTooShort, callerapi.NotRun, "the answer would be complete only after the deadline"))
	}
	n.finishWithError(r.req, e)
	n.requests.Remove(r.req)
	r.observeResult(e.Code)
}

// dispatch starts waiting requests as engines and workers become free, until
// ctx ends.
func (n *Node) dispatch(ctx context.Context) {
	for {
		var tick <-chan time.Time
		if n.waiting.length() > 0 {
			tick = n.clock.After(dispatchInterval)
		}
		select {
		case <-n.waiting.wake:
		case <-tick:
		case <-ctx.Done():
			return
		}
		n.startWaiting()
		n.metrics.waitingRequests.Set(float64(n.waiting.length()))
	}
}

func (n *Node) startWaiting() {
	for {
		now := n.clock.Now()
		item, expired := n.waiting.popStartable(now, func(i *admission.Item) bool { return n.mayStart(i, now) })
		for _, x := range expired {
			n.rejectWaiting(x.Value.(*requestRun), admission.PastDeadline, retryAfterRejection)
		}
		if item == nil {
			return
		}
		n.waiting.busyWorkers.Add(1)
		n.workQueue <- item.Value.(*requestRun)
	}
}

// mayStart reports whether a worker is free and an engine is predicted to start
// processing the request soon. If no engine can be chosen at all, the request may
// start too, so that its attempts report the reason.
func (n *Node) mayStart(item *admission.Item, now time.Time) bool {
	if n.waiting.busyWorkers.Load() >= int64(n.settings.Workers) {
		return false
	}
	r := item.Value.(*requestRun)
	choice := n.router.Choose(n.backends.View(), r.routingRequest(0), now, r.random)
	return choice.Server == nil || choice.Wait <= admission.MaxStartWait(item.Class, routing.DefaultCost.FirstTokenTarget)
}

// runWorker runs requests one after another until ctx ends.
func (n *Node) runWorker(ctx context.Context) {
	for {
		select {
		case r := <-n.workQueue:
			r.run(ctx)
			n.runs.remove(r)
			n.requests.MarkClosed()
			n.metrics.openRequests.Set(float64(n.requests.OpenCount()))
			n.waiting.busyWorkers.Add(-1)
			n.waiting.signal()
		case <-ctx.Done():
			return
		}
	}
}
