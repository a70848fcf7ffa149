// Package claims ensures that a call which must not be repeated runs at most
// once over all entry VMs: a claim is read back from the log before anything is
// sent, and only the first claim of a key in log order may send.
package claims

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/coordination/tail"
	"coltsfootpath.example/coltsfootpath/internal/state/calls"
)

var (
	// ErrLogUnavailable means that the log could not be used for a claim;
	// nothing was sent.
	ErrLogUnavailable = errors.New("claim log is unavailable")
	// ErrKeyExpired means that the log may no longer hold the key's claim, so it
	// can't be determined whether the call has run.
	ErrKeyExpired = errors.New("the log may no longer hold the key's claim")
)

const (
	// SendTimeout bounds the time between the start of a claim and the sending of
	// its call. It is far shorter than the retention time of the log.
	SendTimeout = 5 * time.Second
	// declareMargin is added to the time of the last possible answer before an
	// entry VM declares the outcome of another VM's claim unknown.
	declareMargin = 5 * time.Second
	// claimRetryTimeout bounds the time for which a claim is retried while the
	// log answers with errors.
	claimRetryTimeout = 300 * time.Millisecond
	// ClaimTimeout bounds the time from a claim to its read-back, whatever the
	// log's latency.
	ClaimTimeout = 2 * time.Second
	// staleAfter is the time after the last successful read at which claims are
	// limited to probes.
	staleAfter = 5 * time.Second
	// readBackWait bounds the wait for a claim whose append answer was lost.
	readBackWait = 250 * time.Millisecond
	readBackPoll = 10 * time.Millisecond
	retryWait    = 100 * time.Millisecond
)

// Claimer makes the claims of one entry VM.
type Claimer struct {
	table    *Table
	writer   *Writer
	follower *tail.Follower
	clock    ports.Clock
	sends    *sentCalls
}

// NewClaimer returns a claimer that reads the claims replayed into table.
func NewClaimer(table *Table, writer *Writer, follower *tail.Follower, clock ports.Clock) *Claimer {
	return &Claimer{table: table, writer: writer, follower: follower, clock: clock, sends: newSentCalls()}
}

// Claim appends a claim and reads back which claim of the key came first. The
// caller may send the call only if the winner's token is its own, and only
// while MaySend allows it. On an error nothing may be sent; if appended is true
// the caller must call Abandon, because the claim may still be added to the
// log.
//
// A claim whose append answer is lost is appended again: readers apply the
// first one with its token and drop the repeat.
func (c *Claimer) Claim(ctx context.Context, claim calls.Claim) (winner calls.Call, appended bool, err error) {
	startedAt := c.clock.Now()
	allowed, retryTimeout := c.allow(startedAt)
	if !allowed {
		return calls.Call{}, false, ErrLogUnavailable
	}
	for {
		offset, err := c.writer.Append(ctx, calls.Record{Claim: &claim})
		winner, known, readErr := c.readBack(ctx, claim, offset, err)
		if known || readErr != nil {
			return winner, true, readErr
		}
		if ctx.Err() != nil || err != nil && c.clock.Now().Sub(startedAt) >= retryTimeout {
			return calls.Call{}, true, errors.Mark(errors.CombineErrors(err, ctx.Err()), ErrLogUnavailable)
		}
		c.pause(ctx, readBackPoll)
	}
}

// allow reports whether a claim may be appended now, and for how long it is
// retried while the log answers with errors. A log that is down is probed from
// time to time.
func (c *Claimer) allow(now time.Time) (bool, time.Duration) {
	readAt := c.follower.ReadAt()
	stale := !readAt.IsZero() && now.Sub(readAt) > staleAfter
	switch c.writer.health.check(now, stale) {
	case up:
		return true, claimRetryTimeout
	case probing:
		return true, 0
	}
	return false, 0
}

// readBack waits until the log shows which claim holds the key. It returns
// false if the claim has to be appended again.
func (c *Claimer) readBack(ctx context.Context, claim calls.Claim, offset uint64, appendErr error) (calls.Call, bool, error) {
	if appendErr != nil {
		return c.readBackLost(ctx, claim, appendErr)
	}
	if c.follower.WaitFor(ctx, offset) != nil {
		return calls.Call{}, false, nil
	}
	return c.table.winner(claim)
}

// readBackLost waits up to readBackWait for a claim whose append answer was
// lost. It doesn't wait if the append certainly failed.
func (c *Claimer) readBackLost(ctx context.Context, claim calls.Claim, appendErr error) (calls.Call, bool, error) {
	deadline := c.clock.Now().Add(readBackWait)
	if errors.IsAny(appendErr, ports.ErrNotSent, ports.ErrRejected, ports.ErrOverloaded, ports.ErrUnavailable) {
		deadline = c.clock.Now()
	}
	for {
		if call, known, err := c.table.winner(claim); known || err != nil {
			return call, known, err
		}
		if ctx.Err() != nil || !c.clock.Now().Before(deadline) {
			return calls.Call{}, false, nil
		}
		c.pause(ctx, readBackPoll)
	}
}

func (c *Claimer) pause(ctx context.Context, wait time.Duration) {
	select {
	case <-c.clock.After(wait):
	case <-ctx.Done():
	}
}

// Lookup returns the call of an id according to the part of the log that has
// been read.
func (c *Claimer) Lookup(id calls.ID) (calls.Call, bool) {
	return c.table.Get(id)
}

// MayClaimUnknown reports whether a key that was issued at issuedAt and is unknown to
// this VM may be claimed. Before this VM has reached the end of the stream, that
// can't be decided; MayClaimUnknown then returns true and the read-back decides.
func (c *Claimer) MayClaimUnknown(issuedAt time.Time) bool {
	return !c.follower.CaughtUp() || c.table.provesUnclaimed(issuedAt)
}

// Finish appends the outcome of a claim, and retries until the log accepts it
// or ctx ends. Repeats are harmless.
func (c *Claimer) Finish(ctx context.Context, claim calls.Claim, result calls.Result, body json.RawMessage) error {
	c.sends.checkResult(claim, result)
	return c.append(ctx, calls.Outcome{ID: claim.ID, Token: claim.Token, Result: result, Body: body})
}

func (c *Claimer) append(ctx context.Context, outcome calls.Outcome) error {
	for {
		_, err := c.writer.Append(ctx, calls.Record{Outcome: &outcome})
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		c.pause(ctx, retryWait)
	}
}

// Abandon ends a claim under which nothing has been sent and nothing will be.
func (c *Claimer) Abandon(ctx context.Context, claim calls.Claim) error {
	return c.Finish(ctx, claim, calls.ResultNotRun, nil)
}

// DeclareUnknownDelay returns the time after which another VM may declare the outcome of
// a claim unknown, counted from when that VM applied the claim. Unless the claim's
// owner was paused, it can no longer report an outcome by then. answerTimeout
// bounds the time within which the owner's service answers.
func DeclareUnknownDelay(answerTimeout time.Duration) time.Duration {
	return SendTimeout + answerTimeout + declareMargin
}

// DeclareUnknown ends the claim of an unresponsive owner with an unknown outcome.
// The owner may still replace it with the real outcome later. DeclareUnknown
// returns the call as the log then shows it.
func (c *Claimer) DeclareUnknown(ctx context.Context, call calls.Call) (calls.Call, error) {
	if allowed, _ := c.allow(c.clock.Now()); !allowed {
		return call, ErrLogUnavailable
	}
	outcome := calls.Outcome{ID: call.Claim.ID, Token: call.Claim.Token, Result: calls.ResultUnknown}
	offset, err := c.writer.Append(ctx, calls.Record{Outcome: &outcome})
	if err != nil {
		return call, err
	}
	if err := c.follower.WaitFor(ctx, offset); err != nil {
		return call, err
	}
	if now, ok := c.table.Get(call.Claim.ID); ok {
		return now, nil
	}
	return call, nil
}
