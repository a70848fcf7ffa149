package policybench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/admission"
	"coltsfootpath.example/coltsfootpath/internal/coordination/routing"
	"coltsfootpath.example/coltsfootpath/internal/standin/engine"
	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
)

const (
	loadInterval = 250 * time.Millisecond
	listInterval = 500 * time.Millisecond
	// retryBackoff is the delay before a retry.
	retryBackoff = 20 * time.Millisecond
	// queueCheckInterval is the interval between periodic checks of each queue. A
	// queue is also checked when a request arrives or an attempt ends.
	queueCheckInterval = 10 * time.Millisecond
	// requestTimeout bounds the time from a request's arrival to its complete
	// answer.
	requestTimeout = 12 * time.Second
)

// entryVM simulates an entry node, which chooses an engine for each request.
type entryVM struct {
	sim      *simulation
	zone     string
	backends *fleet.Table
	policy   policy
	// queue is nil for a policy that starts each request immediately.
	queue  *admission.Queue
	random *rand.Rand
}

// attempt holds the state of a request on one engine.
type attempt struct {
	id           string
	node         *entryVM
	req          *request
	choice       routing.Choice
	engine       *engineVM
	blocks       []uint64
	isRetry      bool
	startedAt    time.Time
	tokens       int
	firstTokenAt time.Time
	lastTokenAt  time.Time
}

func (n *entryVM) refreshVMs() {
	n.backends.SetVMs(n.sim.vms())
}

func (n *entryVM) pollEngine(e *engineVM) {
	if !e.isRunning() {
		n.backends.CountMissedReport(e.vm.ID)
		return
	}
	n.backends.ApplyReport(e.vm.ID, e.loadReport(), n.sim.clock.now)
	n.policy.pollCache(n, e)
}

// accept receives a new request from a caller.
func (n *entryVM) accept(r *request) {
	r.arrivedAt = n.sim.clock.now
	r.lastTokenAt = r.arrivedAt
	n.enqueue(r)
}

// enqueue queues the request, or starts it immediately if there is no queue.
func (n *entryVM) enqueue(r *request) {
	if n.queue == nil {
		n.send(r, nil)
		return
	}
	now := n.sim.clock.now
	reason, wait := n.queue.Push(&admission.Item{
		Workspace: workspaceNames[r.workspace], Weight: workspaceWeights[r.workspace], Class: admission.Class(r.route.priority),
		Cost: float64(r.route.ownTokens + r.answerTokens*answerTokenCost), Deadline: r.arrivedAt.Add(requestTimeout),
		ServiceTime: routing.DefaultCost.MinFirstTokenTime(len(r.prompt)), Value: r,
	}, now)
	if reason != admission.Accepted {
		n.reject(r, wait)
		return
	}
	n.processQueue()
}

// answerTokenCost is the cost of an answer token relative to a prompt token.
const answerTokenCost = 4

// reject rejects the request. Its caller resubmits it to a random node after wait
// plus a random time of up to half of wait. If that would be past the deadline, or
// after maxCallerRetries resubmissions, the request stays rejected.
func (n *entryVM) reject(r *request, wait time.Duration) {
	sim := n.sim
	r.rejections++
	wait += time.Duration(n.random.Int64N(int64(wait)/2 + 1))
	if sim.clock.now.Add(wait).Sub(r.arrivedAt) >= requestTimeout || r.rejections > maxCallerRetries {
		r.outcome = rejected
		return
	}
	sim.clock.after(wait, func() { sim.nodes[sim.random.IntN(len(sim.nodes))].enqueue(r) })
}

// maxCallerRetries bounds the number of times that a caller resubmits a rejected
// request.
const maxCallerRetries = 3

// processQueue rejects the queued requests that can no longer be answered by their
// deadline and starts those that may start.
func (n *entryVM) processQueue() {
	if n.queue == nil {
		return
	}
	now := n.sim.clock.now
	for _, item := range n.queue.Expire(now) {
		n.reject(item.Value.(*request), requestTimeout)
	}
	for {
		item := n.queue.Pop(now, n.canStart)
		if item == nil {
			return
		}
		n.send(item.Value.(*request), nil)
	}
}

// canStart reports whether the predicted wait of the request at an engine is within
// the maximum for its class.
func (n *entryVM) canStart(item *admission.Item) bool {
	choice := n.policy.choose(n, item.Value.(*request), nil)
	return choice.Server != nil && choice.Wait <= admission.MaxStartWait(item.Class, firstTokenTarget)
}

// send starts an attempt on an engine that is not in avoid. If there is none, it
// tries again after retryBackoff until the request's deadline.
func (n *entryVM) send(r *request, avoid []string) {
	if r.outcome != pending {
		return
	}
	now := n.sim.clock.now
	if now.Sub(r.arrivedAt) >= requestTimeout {
		r.outcome = expired
		return
	}
	choice := n.policy.choose(n, r, avoid)
	if choice.Server == nil {
		n.sim.clock.after(retryBackoff, func() { n.send(r, avoid) })
		return
	}
	r.attempts++
	a := &attempt{
		id: fmt.Sprintf("%d-%d", r.id, r.attempts), node: n, req: r, choice: choice,
		engine: n.sim.enginesByID[choice.Server.ID], blocks: r.blocks, isRetry: r.attempts > 1, startedAt: now,
	}
	n.policy.attemptStarted(n, a)
	n.sim.clock.after(n.sim.latency(n.zone, a.engine.vm.AvailabilityZone), func() { a.arrive() })
	n.sim.clock.after(requestTimeout-now.Sub(r.arrivedAt), func() { a.expire() })
}

// arrive adds the attempt to its engine, or fails it if the engine has stopped.
func (a *attempt) arrive() {
	if !a.engine.isRunning() {
		a.fail()
		return
	}
	context := a.req.prompt
	if a.req.producedTokens > 0 {
		context = slices.Clone(context)
		for i := range a.req.producedTokens {
			context = append(context, engine.Token("answer", i))
		}
	}
	a.engine.add(a, &engine.Sequence{
		Attempt: a.id, Model: model, Route: a.req.route.name, Priority: a.req.route.priority,
		InitialTokens: context, NextToken: a.req.producedTokens, TotalTokens: a.req.answerTokens,
	})
}

// receiveToken records one token of the answer.
func (a *attempt) receiveToken(em engine.Emission) {
	r := a.req
	now := a.node.sim.clock.now
	if r.firstToken == 0 {
		r.firstToken = now.Sub(r.arrivedAt)
	} else {
		r.betweenTokens = append(r.betweenTokens, now.Sub(r.lastTokenAt))
	}
	a.tokens++
	if a.tokens == 1 {
		a.firstTokenAt = now
	}
	a.lastTokenAt = now
	r.lastTokenAt = now
	r.producedTokens = em.Offset + 1
	if em.Done {
		r.outcome = served
		a.end(true)
	}
}

func (a *attempt) end(completed bool) {
	a.choice.Server.Outstanding.Add(-1)
	a.node.policy.attemptEnded(a.node, a, completed)
	a.node.processQueue()
}

// fail ends the attempt because its engine has stopped and retries the request on
// another engine.
func (a *attempt) fail() {
	a.end(false)
	a.node.sim.clock.after(retryBackoff, func() { a.node.send(a.req, []string{a.choice.Server.ID}) })
}

func (a *attempt) expire() {
	if a.req.outcome != pending || a.engine.attempts[a.id] != a {
		return
	}
	a.engine.cancel(a.id)
	a.req.outcome = expired
	a.end(false)
}
