package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/answer"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/coordination/retry"
	"coltsfootpath.example/coltsfootpath/internal/coordination/suspects"
	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
)

// attemptName returns an attempt name that is unique over all entry VMs.
func (n *Node) attemptName() string {
	return fmt.Sprintf("%s-%x-%d", n.settings.VM, n.incarnation, n.lastID.Add(1))
}

// attempt is one attempt of a run on a backend server. It communicates with the
// run's worker only through events.
type attempt struct {
	run    *requestRun
	number int
	name   string
	server *fleet.Server
	meter  *attemptMeter
	permit permit
}

// execute waits for the duration wait and then runs the attempt to its end.
func (a *attempt) execute(ctx context.Context, wait time.Duration, req ports.GenerateRequest) {
	r := a.run
	defer a.server.Outstanding.Add(-1)
	defer r.node.runningAttempts.remove(a.server.ID, r, a.number)
	if !r.waitFor(ctx, wait) {
		return
	}
	if a.isLeaving() {
		a.reportLeaving(ctx)
		return
	}
	a.permit = permit{node: r.node, content: contentHash(r.req.Service, r.req.Prompt), server: a.server.ID, attemptID: a.name}
	if v := a.permit.acquire(ctx); !v.Granted {
		a.reportSuspended(ctx, v)
		return
	}
	if a.isLeaving() {
		a.permit.release(suspects.Released)
		a.reportLeaving(ctx)
		return
	}
	err := r.node.deps.Engine.Generate(ctx, a.server.Address, req, func(f ports.Frame) error {
		if f.Attempt != req.Attempt {
			return errors.Newf("frame of attempt %q received for attempt %q", f.Attempt, req.Attempt)
		}
		a.meter.addTokens(len(f.Tokens), r.node.clock.Now())
		r.sendEvent(ctx, attemptEvent{Event: answer.Frame{
			Attempt: a.number, Offset: f.Offset, Tokens: f.Tokens, Prefilled: f.Prefilled, Done: f.Done, Total: f.Total,
		}})
		return ctx.Err()
	})
	a.finish(ctx, err)
}

// isLeaving reports whether the server has come under a reclaim notice since it
// was chosen.
func (a *attempt) isLeaving() bool {
	s, ok := a.run.node.backends.View().Find(a.server.ID)
	return ok && s.Leaving
}

// reportLeaving reports that nothing was sent because the server is leaving.
func (a *attempt) reportLeaving(ctx context.Context) {
	r := a.run
	r.sendEvent(ctx, attemptEvent{Event: answer.AttemptEnded{
		Attempt: a.number, Cause: answer.CauseNoServer, EarliestCompletion: r.node.clock.Now(),
	}})
}

// reportSuspended reports that the attempt may not run now, or never if too many
// servers were lost while they ran its content.
func (a *attempt) reportSuspended(ctx context.Context, v suspects.Verdict) {
	r := a.run
	r.node.metrics.suspendedAttempts.Inc()
	ended := answer.AttemptEnded{Attempt: a.number, Cause: answer.CauseSuspended, TooManyCrashes: v.TooManyCrashes}
	ended.EarliestCompletion = r.node.clock.Now()
	r.sendEvent(ctx, attemptEvent{Event: ended, preferredServer: v.Server})
}

// finish records the attempt's end and gives up its permit.
func (a *attempt) finish(ctx context.Context, err error) {
	r := a.run
	switch {
	case err == nil:
		a.permit.release(suspects.Finished)
		r.observeAttempt(a.meter, attemptDone)
	case ctx.Err() != nil:
		a.permit.release(suspects.Released)
		r.observeAttempt(a.meter, attemptCancelled)
	default:
		r.observeAttempt(a.meter, attemptFailed)
		a.reportFailure(ctx, err)
	}
}

// reportFailure counts and reports a failed attempt. If the server was lost, it
// reports the crash to the registrars and includes their verdict on the request's
// content.
func (a *attempt) reportFailure(ctx context.Context, err error) {
	r := a.run
	ended := answer.AttemptEnded{Attempt: a.number, Cause: a.cause(ctx, err)}
	r.node.countFailedAttempt(r, r.req.AnsweringVersion(), ended.Cause)
	klog.V(1).Infof("entry: attempt failed key=%s vm=%s cause=%d err=%q", r.req.ID.Key, a.server.ID, ended.Cause, err)
	if ended.Cause == answer.CauseInterrupted {
		v := a.permit.reportCrash(ctx)
		ended.Blamed, ended.TooManyCrashes = v.Blamed, v.TooManyCrashes
		klog.Infof("entry: backend server lost vm=%s key=%s lost=%d blamed=%t", a.server.ID, r.req.ID.Key, v.LostServers, v.Blamed)
	} else {
		a.permit.release(suspects.Released)
	}
	ended.MayRetry = !ended.Cause.NeedsBudget() || r.node.workspaceBudgets.TakeAt(r.req.ID.Workspace, r.node.clock.Now())
	ended.EarliestCompletion = r.earliestEnd(retry.BackoffBase)
	r.sendEvent(ctx, attemptEvent{Event: ended, failedServer: a.server.ID})
}

// cause returns the cause of the attempt's failure. A server that still
// responds has not crashed, and a leaving one was not crashed by the request.
func (a *attempt) cause(ctx context.Context, err error) answer.Cause {
	cause := causeOf(err)
	if cause != answer.CauseInterrupted && cause != answer.CauseFailed {
		return cause
	}
	if a.isLeaving() {
		return answer.CauseLeaving
	}
	if a.run.node.stillResponds(ctx, a.server.Address) {
		return answer.CauseFailed
	}
	return answer.CauseInterrupted
}

func causeOf(err error) answer.Cause {
	switch {
	case errors.Is(err, ports.ErrNotSent):
		return answer.CauseNotSent
	case errors.IsAny(err, ports.ErrRejected, ports.ErrOverloaded):
		return answer.CauseRejected
	case errors.Is(err, ports.ErrInterrupted):
		return answer.CauseInterrupted
	}
	return answer.CauseFailed
}
