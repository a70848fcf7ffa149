// Package answer combines any number of attempts at one model request into one
// complete answer. Core is a pure state machine over typed events: the caller
// of Step does all sending, waiting and storing.
package answer

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Cause is the reason for which an attempt ended early.
type Cause int

// Values of Cause.
const (
	// CauseNotSent: the backend server was not reached.
	CauseNotSent Cause = iota
	// CauseRejected: the backend server rejected the request.
	CauseRejected
	// CauseFailed: the backend server answered with a failure.
	CauseFailed
	// CauseInterrupted: the stream ended early; the backend server may have died.
	CauseInterrupted
	// CauseLeaving: the backend server is leaving and the request moves to
	// another one.
	CauseLeaving
	// CauseCorrupt: the attempt's frames contradicted the answer.
	CauseCorrupt
	// CauseNoServer: no backend server could be chosen; nothing was tried.
	CauseNoServer
	// CauseSuspended: the attempt was not started because its request content may
	// crash backend servers; nothing was tried.
	CauseSuspended
)

// exempt reports whether an attempt that ended with this cause is exempt from
// all limits: the request did not cause the end, and a server did little or no
// work for it.
func (c Cause) exempt() bool {
	return c == CauseLeaving || c == CauseNoServer || c == CauseSuspended || c == CauseNotSent
}

// IsRetry reports whether an attempt that follows this cause is a retry of a
// failed one.
func (c Cause) IsRetry() bool {
	return !c.exempt()
}

// NeedsBudget reports whether an attempt after this cause takes a retry from the
// workspace's retry budget. The loss of a server does not: each loss moves its
// streams once, whatever the workspace does.
func (c Cause) NeedsBudget() bool {
	return !c.exempt() && c != CauseInterrupted
}

// Event is an input of Core.Step.
type Event interface{ isEvent() }

// Start starts the first attempt.
type Start struct{}

// Frame is one part of an attempt's answer.
type Frame struct {
	Attempt   int
	Offset    int
	Tokens    []string
	Prefilled int
	Done      bool
	Total     int
}

// AttemptEnded reports that an attempt ended without a last frame.
type AttemptEnded struct {
	Attempt int
	Cause   Cause
	// MayRetry is true if the retry budget allows another attempt.
	MayRetry bool
	// EarliestCompletion is the earliest time at which a further attempt could
	// complete the answer.
	EarliestCompletion time.Time
	// Blamed is true if a lost connection counts against the request content.
	Blamed bool
	// TooManyCrashes is true if too many backend servers were lost while running the
	// request content, so it may no longer run.
	TooManyCrashes bool
}

// Move requests another attempt elsewhere because the backend server is
// leaving.
type Move struct{ Attempt int }

// Expire reports that the deadline has passed.
type Expire struct{}

func (Start) isEvent()        {}
func (Frame) isEvent()        {}
func (AttemptEnded) isEvent() {}
func (Move) isEvent()         {}
func (Expire) isEvent()       {}

// Action is an output of Core.Step, which the caller carries out.
type Action interface{ isAction() }

// StartAttempt requests a new attempt that continues after the tokens in
// Generated.
type StartAttempt struct {
	Attempt   int
	Generated []string
}

// CancelAttempt requests the end of an attempt whose frames are no longer
// needed.
type CancelAttempt struct{ Attempt int }

// Append adds tokens to the answer at Offset.
type Append struct {
	Offset int
	Tokens []string
}

// Finish ends the request with a complete answer.
type Finish struct{ RecomputedTokens int }

// GiveUp ends the request with a failure.
type GiveUp struct{ Reason Reason }

func (StartAttempt) isAction()  {}
func (CancelAttempt) isAction() {}
func (Append) isAction()        {}
func (Finish) isAction()        {}
func (GiveUp) isAction()        {}

// Reason is the reason for which a request was given up.
type Reason int

// Values of Reason.
const (
	ReasonDeadline Reason = iota
	ReasonNoRetry
	ReasonTooManyAttempts
	ReasonCrashes
)

// ErrNotStarted means that an event came before Start.
var ErrNotStarted = errors.New("request has not started")

// Limits holds the limits on the attempts of one request.
type Limits struct {
	// MaxAttempts bounds the number of failed attempts.
	MaxAttempts int
	// MaxBlamedCrashes bounds the number of attempts whose backend server presumably
	// crashed because of the request.
	MaxBlamedCrashes int
}

// DefaultLimits apply unless the settings give other limits.
var DefaultLimits = Limits{MaxAttempts: 6, MaxBlamedCrashes: 3}

// Core is the state of one request's answer. It is not safe for concurrent use.
type Core struct {
	limits           Limits
	deadline         time.Time
	tokens           []string
	attempt          int
	attemptRunning   bool
	ended            bool
	failures         int
	blamedCrashes    int
	moves            int
	recomputedTokens int
	// hasPrefilled is true once a backend server has prefilled the request. Any
	// tokens prefilled after that are recomputed.
	hasPrefilled bool
	// mayHaveRun is true once a backend server may have worked on the request.
	mayHaveRun bool
}

// New returns the core of a request whose caller waits until deadline. tokens
// holds the answer so far, as produced by earlier owners of the request.
func New(limits Limits, deadline time.Time, tokens []string) *Core {
	return &Core{limits: limits, deadline: deadline, tokens: tokens, hasPrefilled: len(tokens) > 0, mayHaveRun: len(tokens) > 0}
}

// Tokens returns the tokens of the answer so far.
func (c *Core) Tokens() []string { return c.tokens }

// Attempt returns the number of the latest attempt.
func (c *Core) Attempt() int { return c.attempt }

// Ended reports whether the request has ended.
func (c *Core) Ended() bool { return c.ended }

// RecomputedTokens returns the number of tokens prefilled again by attempts after the
// first.
func (c *Core) RecomputedTokens() int { return c.recomputedTokens }

// MayHaveRun reports whether a backend server may have worked on the request.
func (c *Core) MayHaveRun() bool { return c.mayHaveRun }

// Step applies an event and returns the resulting actions in order.
func (c *Core) Step(ev Event) []Action {
	if c.ended {
		return nil
	}
	switch ev := ev.(type) {
	case Start:
		return c.startAttempt()
	case Frame:
		return c.frame(ev)
	case AttemptEnded:
		return c.attemptEnded(ev)
	case Move:
		return c.move(ev)
	case Expire:
		return c.giveUp(ReasonDeadline)
	}
	return nil
}

func (c *Core) startAttempt() []Action {
	c.attempt++
	c.attemptRunning = true
	return []Action{StartAttempt{Attempt: c.attempt, Generated: c.tokens}}
}

func (c *Core) isCurrent(attempt int) bool {
	return c.attemptRunning && attempt == c.attempt
}

func (c *Core) frame(f Frame) []Action {
	if !c.isCurrent(f.Attempt) {
		return nil
	}
	if !c.fits(f) {
		return c.restartCorrupt()
	}
	c.countRecomputed(f)
	fresh := f.Tokens[min(len(c.tokens)-f.Offset, len(f.Tokens)):]
	var actions []Action
	if len(fresh) > 0 {
		offset := len(c.tokens)
		c.tokens = append(c.tokens, fresh...)
		actions = append(actions, Append{Offset: offset, Tokens: fresh})
	}
	if !f.Done {
		return actions
	}
	if f.Total != len(c.tokens) {
		return append(actions, c.restartCorrupt()...)
	}
	c.ended = true
	c.attemptRunning = false
	return append(actions, Finish{RecomputedTokens: c.recomputedTokens})
}

// countRecomputed counts the tokens that an attempt prefilled again. An
// attempt's first frame reports their number.
func (c *Core) countRecomputed(f Frame) {
	if c.hasPrefilled {
		c.recomputedTokens += f.Prefilled
	}
	c.hasPrefilled, c.mayHaveRun = true, true
}

// fits reports whether the frame is adjacent to or overlaps the answer so far
// and agrees with it.
func (c *Core) fits(f Frame) bool {
	if f.Offset < 0 || f.Offset > len(c.tokens) {
		return false
	}
	for i, t := range f.Tokens {
		at := f.Offset + i
		if at < len(c.tokens) && c.tokens[at] != t {
			return false
		}
	}
	return true
}

func (c *Core) restartCorrupt() []Action {
	cancel := CancelAttempt{Attempt: c.attempt}
	c.failures++
	if c.failures >= c.limits.MaxAttempts {
		return append([]Action{cancel}, c.giveUp(ReasonTooManyAttempts)...)
	}
	return append([]Action{cancel}, c.startAttempt()...)
}

func (c *Core) attemptEnded(ev AttemptEnded) []Action {
	if !c.isCurrent(ev.Attempt) {
		return nil
	}
	c.attemptRunning = false
	if !ev.Cause.exempt() && ev.Cause != CauseInterrupted {
		c.failures++
	}
	if ev.Cause == CauseInterrupted || ev.Cause == CauseFailed || ev.Cause == CauseLeaving {
		c.mayHaveRun = true
	}
	if ev.Blamed {
		c.blamedCrashes++
	}
	switch {
	case ev.TooManyCrashes:
		return c.giveUp(ReasonCrashes)
	case c.blamedCrashes >= c.limits.MaxBlamedCrashes:
		return c.giveUp(ReasonCrashes)
	case c.failures >= c.limits.MaxAttempts:
		return c.giveUp(ReasonTooManyAttempts)
	case !ev.EarliestCompletion.Before(c.deadline):
		return c.giveUp(ReasonDeadline)
	case ev.Cause.NeedsBudget() && !ev.MayRetry:
		return c.giveUp(ReasonNoRetry)
	}
	return c.startAttempt()
}

func (c *Core) move(ev Move) []Action {
	if !c.isCurrent(ev.Attempt) {
		return nil
	}
	c.moves++
	c.mayHaveRun = true
	cancel := CancelAttempt{Attempt: c.attempt}
	return append([]Action{cancel}, c.startAttempt()...)
}

func (c *Core) giveUp(reason Reason) []Action {
	var actions []Action
	if c.attemptRunning {
		actions = append(actions, CancelAttempt{Attempt: c.attempt})
	}
	c.ended = true
	c.attemptRunning = false
	return append(actions, GiveUp{Reason: reason})
}
