package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/claims"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/calls"
)

const (
	// outcomeLogTimeout bounds a caller's wait for the outcome to reach the
	// log.
	outcomeLogTimeout    = 500 * time.Millisecond
	declareTimeout       = time.Second
	underWayPollInterval = 20 * time.Millisecond
	underWayTimeout      = 2 * time.Second
	retryAfterUnderWay   = time.Second
	retryAfterClaim      = time.Second
	retryAfterNoServer   = time.Second
)

// callLimits bounds the calls that are replayed from the log and held in
// memory.
var callLimits = calls.Limits{Retention: time.Hour, MaxCalls: 20_000}

// onceCall is a call that must not be repeated.
type onceCall struct {
	target
	body  []byte
	claim calls.Claim
	// startedAt is the start of the claim on this VM's clock.
	startedAt time.Time
}

// serveOnceCall reads the key's issue time and passes the call to callOnce.
func (n *Node) serveOnceCall(ctx context.Context, r *http.Request, t target, body []byte) (callerapi.CallAnswer, *callerapi.Error) {
	issuedAt, rejection := keyIssuedAt(r)
	if rejection != nil {
		return callerapi.CallAnswer{}, rejection
	}
	now := n.clock.Now()
	return n.callOnce(ctx, onceCall{target: t, body: body, startedAt: now, claim: calls.Claim{
		ID:          calls.ID{Workspace: t.workspace.Name, Key: t.key},
		Fingerprint: fingerprint(t, body),
		Token:       fmt.Sprintf("%s-%d-%d", n.settings.VM, now.UnixNano(), n.lastID.Add(1)),
		VM:          n.settings.VM,
		IssuedAt:    issuedAt,
	}})
}

// callOnce runs a call that must not be repeated, or returns the outcome of an
// earlier request with the same key.
func (n *Node) callOnce(ctx context.Context, c onceCall) (callerapi.CallAnswer, *callerapi.Error) {
	known, ok := n.claimer.Lookup(c.claim.ID)
	if ok && !known.HasResult(calls.ResultNotRun) {
		return n.answerKnownKey(ctx, c, known)
	}
	if rejection := n.admitOnce(c, ok); rejection != nil {
		return callerapi.CallAnswer{}, rejection
	}
	claimCtx, cancel := context.WithTimeout(ctx, claims.ClaimTimeout)
	defer cancel()
	winner, appended, err := n.claimer.Claim(claimCtx, c.claim)
	n.calls.observeClaim(n.clock.Now().Sub(c.startedAt), err)
	if err != nil {
		return callerapi.CallAnswer{}, n.handleClaimFailure(c, appended, err)
	}
	if winner.Claim.Token != c.claim.Token {
		return n.answerKnownKey(ctx, c, winner)
	}
	return n.runClaimed(ctx, c)
}

// admitOnce rejects a call that certainly can't be claimed, before a record is
// appended to the log.
func (n *Node) admitOnce(c onceCall, known bool) *callerapi.Error {
	if c.claim.IssuedAt.After(c.startedAt.Add(maxKeyClockSkew)) {
		return newError(callerapi.MalformedRequest, callerapi.RunUnknown, "%s is in the future", callerapi.KeyIssuedAtHeader)
	}
	if !known && !n.claimer.MayClaimUnknown(c.claim.IssuedAt) {
		return keyExpiredError()
	}
	return n.admit(c.target, c.startedAt)
}

// handleClaimFailure returns the error for a claim that could not be made. If its
// record was appended, the claim may still appear in the log, so it is
// abandoned in the background.
func (n *Node) handleClaimFailure(c onceCall, appended bool, err error) *callerapi.Error {
	if appended {
		n.tasks.start(func() { _ = n.claimer.Abandon(n.ctx, c.claim) })
	}
	if errors.Is(err, claims.ErrKeyExpired) {
		return keyExpiredError()
	}
	klog.V(1).Infof("entry: claim failed key=%s err=%q", c.key, err)
	return withRetryAfter(retryAfterClaim, newError(callerapi.LogUnavailable, callerapi.NotRun, "the call could not be claimed in the log"))
}

// runClaimed sends a call that this node has claimed. Before each attempt,
// MaySend checks that the claim has not expired and that no other node has
// declared its outcome.
func (n *Node) runClaimed(ctx context.Context, c onceCall) (callerapi.CallAnswer, *callerapi.Error) {
	var avoid []string
	for range maxCallAttempts {
		if !n.claimer.MaySend(c.claim, c.startedAt) {
			break
		}
		result, server, err := n.sendCall(ctx, c.target, c.body, avoid)
		if err == nil {
			n.recordOutcome(ctx, c.claim, calls.ResultRan, result.Body)
			return callerapi.CallAnswer{Body: result.Body}, nil
		}
		if !errors.IsAny(err, ports.ErrNotSent, ports.ErrRejected, ports.ErrOverloaded) {
			klog.Warningf("entry: outcome unknown key=%s vm=%s err=%q", c.key, server, err)
			n.recordOutcome(ctx, c.claim, calls.ResultUnknown, nil)
			return callerapi.CallAnswer{}, outcomeUnknownError()
		}
		n.claimer.RecordNotSent(c.claim)
		avoid = append(avoid, server)
	}
	n.recordOutcome(ctx, c.claim, calls.ResultNotRun, nil)
	return callerapi.CallAnswer{}, withRetryAfter(retryAfterNoServer, newError(callerapi.NoCapacity, callerapi.NotRun, "no backend server accepted the call"))
}

func outcomeUnknownError() *callerapi.Error {
	return newError(callerapi.OutcomeUnknown, callerapi.RunUnknown, "the call may have run; it will not be run again")
}

// recordOutcome appends the outcome to the log and waits for it, but no longer
// than outcomeLogTimeout, so that a slow log doesn't delay the caller.
func (n *Node) recordOutcome(ctx context.Context, claim calls.Claim, result calls.Result, body json.RawMessage) {
	n.calls.countOutcome(result)
	logged := make(chan struct{})
	started := n.tasks.start(func() {
		defer close(logged)
		if err := n.claimer.Finish(n.ctx, claim, result, body); err != nil {
			klog.Warningf("entry: outcome not written to the log key=%s result=%s err=%q", claim.ID.Key, result, err)
		}
	})
	if !started {
		return
	}
	select {
	case <-logged:
	case <-n.clock.After(outcomeLogTimeout):
	case <-ctx.Done():
	}
}

// answerKnownKey answers a caller retry from the log's record of the key's
// call.
func (n *Node) answerKnownKey(ctx context.Context, c onceCall, call calls.Call) (callerapi.CallAnswer, *callerapi.Error) {
	if call.Claim.Fingerprint != c.claim.Fingerprint {
		return callerapi.CallAnswer{}, newError(callerapi.KeyConflict, callerapi.NotRun, "the key is already used by a different call")
	}
	if !call.Claim.IssuedAt.Equal(c.claim.IssuedAt) {
		return callerapi.CallAnswer{}, newError(callerapi.KeyConflict, callerapi.RunUnknown, "the key was first sent with a different %s", callerapi.KeyIssuedAtHeader)
	}
	call = n.awaitOutcome(ctx, call)
	if call.Outcome == nil && n.clock.Now().Sub(call.AppliedAt) >= claims.DeclareUnknownDelay(c.answerTimeout()) {
		call = n.declareUnknown(ctx, call)
	}
	return answerFromOutcome(call)
}

// awaitOutcome waits up to underWayTimeout for the outcome of a call that is
// under way, and returns the call in its latest state.
func (n *Node) awaitOutcome(ctx context.Context, call calls.Call) calls.Call {
	deadline := n.clock.Now().Add(underWayTimeout)
	for call.Outcome == nil && n.clock.Now().Before(deadline) {
		select {
		case <-n.clock.After(underWayPollInterval):
		case <-ctx.Done():
			return call
		}
		if latest, ok := n.claimer.Lookup(call.Claim.ID); ok {
			call = latest
		}
	}
	return call
}

// declareUnknown ends the claim of a lost owner with an unknown outcome. It
// returns call unchanged if that can't be logged.
func (n *Node) declareUnknown(ctx context.Context, call calls.Call) calls.Call {
	ctx, cancel := context.WithTimeout(ctx, declareTimeout)
	defer cancel()
	declared, err := n.claimer.DeclareUnknown(ctx, call)
	if err != nil {
		klog.V(1).Infof("entry: declaration of an unknown outcome not logged key=%s err=%q", call.Claim.ID.Key, err)
		return call
	}
	klog.Warningf("entry: outcome of a lost owner's claim declared unknown key=%s owner=%s", call.Claim.ID.Key, call.Claim.VM)
	n.calls.countOutcome(calls.ResultUnknown)
	return declared
}

// answerFromOutcome returns the answer or the error for the outcome of a call,
// and CallUnderWay if there is none yet.
func answerFromOutcome(call calls.Call) (callerapi.CallAnswer, *callerapi.Error) {
	if call.Outcome == nil {
		return callerapi.CallAnswer{}, withRetryAfter(retryAfterUnderWay, newError(callerapi.CallUnderWay, callerapi.RunUnknown, "the call is under way"))
	}
	switch call.Outcome.Result {
	case calls.ResultRan:
		return callerapi.CallAnswer{Body: call.Outcome.Body, Replayed: true}, nil
	case calls.ResultNotRun:
		return callerapi.CallAnswer{}, withRetryAfter(retryAfterNoServer, newError(callerapi.NoCapacity, callerapi.NotRun, "no backend server accepted the call"))
	}
	return callerapi.CallAnswer{}, outcomeUnknownError()
}

// answerTimeout returns the time within which a backend server must answer.
func (t target) answerTimeout() time.Duration {
	return time.Duration(t.service.Target.AnswerMillis) * time.Millisecond
}
