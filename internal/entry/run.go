package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/answer"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/coordination/retry"
	"coltsfootpath.example/coltsfootpath/internal/coordination/routing"
	"coltsfootpath.example/coltsfootpath/internal/coordination/suspects"
	"coltsfootpath.example/coltsfootpath/internal/invariant"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
	"coltsfootpath.example/coltsfootpath/internal/state/requests"
)

// requestRun is the execution of one model request by a worker.
type requestRun struct {
	node  *Node
	req   *requests.Request
	model string
	// move and step identify the version move and its step under which the
	// request's version was chosen.
	move         string
	step         int
	priority     int
	promptTokens int
	blocks       []uint64
	core         *answer.Core
	random       *rand.Rand
	events       chan attemptEvent
	// commands are executed by the worker between events.
	commands chan func(ctx context.Context)
	// started is set before the worker first reads commands.
	started  atomic.Bool
	openedAt time.Time

	// The fields below are used by the worker only. choice and cancel belong to
	// the current attempt.
	choice       routing.Choice
	cancel       context.CancelFunc
	avoidServers []string
	// retrying is true if the next attempt counts as a retry of a failed one.
	retrying bool
	// preset is the server selected for the next attempt, nil if the router is to
	// choose it.
	preset      *presetServer
	lastTokenAt time.Time

	firstToken time.Duration
	tokenGaps  []time.Duration
}

// presetServer is a backend server selected in advance for an attempt. kvHandle
// is empty unless the KV cache was transferred to it.
type presetServer struct {
	id       string
	kvHandle string
}

// attemptEvent is an event of an attempt with further information for the
// worker.
type attemptEvent struct {
	answer.Event
	// failedServer is a server to avoid, empty if none failed.
	failedServer string
	// preferredServer is the server for the next attempt, empty for no
	// preference.
	preferredServer string
}

const (
	eventBuffer   = 64
	commandBuffer = 8
)

// errRunEnded means that the request ended before a command was complete.
var errRunEnded = errors.New("run has ended")

// runCommand makes the worker run f and waits until f returns. A worker that
// has not started the run yet runs f before anything else. runCommand returns
// errRunEnded if the request ends first.
func (r *requestRun) runCommand(ctx context.Context, f func(ctx context.Context)) error {
	done := make(chan struct{})
	command := func(ctx context.Context) {
		f(ctx)
		close(done)
	}
	select {
	case r.commands <- command:
	case <-r.req.Done():
		return errRunEnded
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-r.req.Done():
		return errRunEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run drives the request's core until it is over or ctx ends.
func (r *requestRun) run(ctx context.Context) {
	if hasEnded(r.req) {
		return
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r.started.Store(true)
	tokens, _ := r.req.Snapshot()
	r.core = answer.New(answer.DefaultLimits, r.req.Deadline, slices.Clone(tokens))
	r.lastTokenAt = r.openedAt
	r.node.workspaceBudgets.RecordFirstAttempt(r.req.ID.Workspace)
	expired := r.node.clock.After(r.req.Deadline.Sub(r.node.clock.Now()))
	r.runPending(ctx)
	if hasEnded(r.req) {
		return
	}
	r.execute(ctx, r.core.Step(answer.Start{}))
	for !r.core.Ended() {
		select {
		case ev := <-r.events:
			r.handleEvent(ctx, ev)
		case command := <-r.commands:
			command(ctx)
		case <-expired:
			r.execute(ctx, r.core.Step(answer.Expire{}))
		case <-r.req.Done():
			r.cancelAttempt()
			return
		case <-ctx.Done():
			return
		}
	}
}

// runPending runs the commands that were queued before the worker started.
func (r *requestRun) runPending(ctx context.Context) {
	for {
		select {
		case command := <-r.commands:
			command(ctx)
		default:
			return
		}
	}
}

// handleEvent applies an event. It uses the servers to avoid and to prefer only
// if the event ends the current attempt.
func (r *requestRun) handleEvent(ctx context.Context, ev attemptEvent) {
	if ended, ok := ev.Event.(answer.AttemptEnded); ok && ended.Attempt == r.core.Attempt() {
		if ev.failedServer != "" {
			r.avoidServers = append(r.avoidServers, ev.failedServer)
		}
		r.retrying = ended.Cause.IsRetry()
		if ev.preferredServer != "" {
			r.preset = &presetServer{id: ev.preferredServer}
		}
	}
	current := r.core.Attempt()
	actions := r.core.Step(ev.Event)
	if f, ok := ev.Event.(answer.Frame); ok && f.Attempt != current {
		invariant.Check(len(actions) == 0, invariant.SupersededFramesDropped, "frame of attempt %d caused actions in attempt %d of %s", f.Attempt, current, r.req.ID.Key)
	}
	r.execute(ctx, actions)
}

func (r *requestRun) execute(ctx context.Context, actions []answer.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case answer.StartAttempt:
			r.startAttempt(ctx, a)
		case answer.CancelAttempt:
			r.cancelAttempt()
		case answer.Append:
			r.append(a)
		case answer.Finish:
			r.cancelAttempt()
			r.node.metrics.recomputedTokens.Add(float64(a.RecomputedTokens))
			r.req.Finish(requests.End{Recomputed: a.RecomputedTokens}, r.node.clock.Now())
			r.observeResult(servedCode)
		case answer.GiveUp:
			r.giveUp(a.Reason)
		}
	}
}

func (r *requestRun) append(a answer.Append) {
	now := r.node.clock.Now()
	if r.firstToken == 0 {
		r.firstToken = now.Sub(r.openedAt)
	} else {
		r.tokenGaps = append(r.tokenGaps, now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = now
	appended := r.req.Append(a.Offset, a.Tokens)
	invariant.Check(appended || hasEnded(r.req), invariant.AnswerOnlyGrows, "tokens at offset %d do not follow the answer of %s", a.Offset, r.req.ID.Key)
}

func (r *requestRun) startAttempt(ctx context.Context, a answer.StartAttempt) {
	wait := time.Duration(0)
	if a.Attempt > 1 && (r.preset == nil || r.preset.kvHandle == "") {
		wait = retry.Backoff(a.Attempt-1, r.random)
	}
	r.switchFromWithdrawn()
	server, kvHandle := r.chooseNext(len(a.Generated))
	attemptCtx, cancel := context.WithCancel(ctx)
	r.cancel = cancel
	if server == nil || r.retrying && !r.node.serverBudgets.TakeAt(server.ID, r.node.clock.Now()) {
		ended := answer.AttemptEnded{Attempt: a.Attempt, Cause: answer.CauseNoServer}
		r.node.spawn(func() { r.sendAfter(attemptCtx, max(wait, retry.MaxBackoff), ended) })
		return
	}
	if a.Attempt == 1 {
		r.node.serverBudgets.RecordFirstAttempt(server.ID)
	}
	invariant.Check(!server.Leaving, invariant.NoNewWorkToLeaving, "attempt on %s", server.ID)
	r.node.metrics.attemptsStarted.Inc()
	t := &attempt{run: r, number: a.Attempt, name: r.node.attemptName(), server: server, meter: r.beginAttempt()}
	r.node.runningAttempts.add(server.ID, r, runningAttempt{number: a.Attempt, name: t.name})
	req := ports.GenerateRequest{
		Attempt:   t.name,
		Model:     r.model,
		Route:     r.req.Route,
		Prompt:    r.req.Prompt,
		MaxTokens: r.req.MaxTokens,
		Generated: slices.Clone(a.Generated),
		KVHandle:  kvHandle,
		Priority:  r.priority,
	}
	r.node.spawn(func() { t.execute(attemptCtx, wait, req) })
}

// chooseNext returns the server selected in advance for the next attempt, or
// chooses one if there is none or it is no longer usable.
func (r *requestRun) chooseNext(generated int) (server *fleet.Server, kvHandle string) {
	next := r.preset
	r.preset = nil
	if next != nil {
		s, ok := r.node.backends.View().Find(next.id)
		if ok && !s.Leaving {
			r.choice = routing.Choice{Server: s}
			return s, next.kvHandle
		}
	}
	return r.chooseServer(generated), ""
}

func (r *requestRun) cancelAttempt() {
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
}

// earliestEnd returns the earliest time at which an attempt that begins after
// wait could complete the answer, estimated from the mean time between tokens
// so far.
func (r *requestRun) earliestEnd(wait time.Duration) time.Time {
	startAt := r.node.clock.Now().Add(wait)
	if len(r.tokenGaps) == 0 {
		return startAt
	}
	var sum time.Duration
	for _, d := range r.tokenGaps {
		sum += d
	}
	tokens, _ := r.req.Snapshot()
	return startAt.Add(sum / time.Duration(len(r.tokenGaps)) * time.Duration(max(r.req.MaxTokens-len(tokens), 0)))
}

// sendAfter sends the end of an attempt after wait, unless ctx ends first.
func (r *requestRun) sendAfter(ctx context.Context, wait time.Duration, ev answer.AttemptEnded) {
	if r.waitFor(ctx, wait) {
		ev.EarliestCompletion = r.node.clock.Now()
		r.sendEvent(ctx, attemptEvent{Event: ev})
	}
}

// waitFor waits and reports whether ctx is still active.
func (r *requestRun) waitFor(ctx context.Context, wait time.Duration) bool {
	if wait == 0 {
		return ctx.Err() == nil
	}
	select {
	case <-r.node.clock.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *requestRun) sendEvent(ctx context.Context, ev attemptEvent) {
	select {
	case r.events <- ev:
	case <-ctx.Done():
	}
}

// giveUp ends the request with the error for reason.
func (r *requestRun) giveUp(reason answer.Reason) {
	run := callerapi.NotRun
	if r.core.MayHaveRun() {
		run = callerapi.RunUnknown
	}
	var e *callerapi.Error
	switch reason {
	case answer.ReasonDeadline:
		e = newError(callerapi.DeadlinePassed, run, "the deadline has passed")
	case answer.ReasonCrashes:
		r.node.metrics.condemnedRequests.Inc()
		e = withRetryAfter(suspects.CrashRetention, newError(callerapi.CrashesBackends, callerapi.RunUnknown, "backend servers crashed while they ran requests with this content"))
	default:
		e = withRetryAfter(time.Second, newError(callerapi.BackendFailed, run, "no backend server could answer"))
	}
	data, err := json.Marshal(e)
	if err != nil {
		data = []byte("{}")
	}
	r.cancelAttempt()
	r.req.Finish(requests.End{Failure: data, Recomputed: r.core.RecomputedTokens()}, r.node.clock.Now())
	r.observeResult(e.Code)
}
