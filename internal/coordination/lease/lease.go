// Package lease decides when a coordinator claims, renews and uses the lease
// of the control stream. It does no I/O: the caller appends the records that
// Step returns and reports every record read back.
//
// Only the order of the log decides which coordinator holds the lease. Clocks
// only ensure that a holder stops early and that a successor waits long enough;
// each uses its own monotonic clock.
package lease

import (
	"time"

	"coltsfootpath.example/coltsfootpath/internal/state/control"
)

// Config holds the times that govern the lease.
type Config struct {
	// Duration is the length of a term. A term starts just before its record is
	// sent.
	Duration time.Duration
	// Margin is the time before the end of a term at which the holder stops
	// giving orders.
	Margin time.Duration
	// MaxOrderTime bounds the duration of an order.
	MaxOrderTime time.Duration
	// ClockError is the maximum relative difference between the rates of two
	// clocks.
	ClockError float64
}

// DefaultConfig holds the default times, chosen so that the required reaction
// times of a few seconds are met.
var DefaultConfig = Config{
	Duration:     5 * time.Second,
	Margin:       time.Second,
	MaxOrderTime: 2 * time.Second,
	ClockError:   0.01,
}

// RenewInterval returns the time between the sending of two renewals.
func (c Config) RenewInterval() time.Duration {
	return c.Duration / 3
}

// TakeoverDelay returns the time that a successor waits after it read the last
// record of the lease.
func (c Config) TakeoverDelay() time.Duration {
	return c.addClockError(c.Duration + c.MaxOrderTime)
}

// TakeoverDelayAfterRelease returns the time that a successor waits after it read
// a release. The holder stopped giving orders before it sent the release.
func (c Config) TakeoverDelayAfterRelease() time.Duration {
	return c.addClockError(c.MaxOrderTime)
}

// addClockError extends a wait by the maximum difference between two clocks.
func (c Config) addClockError(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*2*c.ClockError)
}

// Append is a record to append. Exactly one of the fields is set.
type Append struct {
	Claim   *control.LeaseClaim
	Renewal *control.LeaseRenewal
}

// Elector is the lease state machine of one coordinator. It is not safe for
// concurrent use.
type Elector struct {
	cfg     Config
	self    control.Holder
	process string

	lease      control.Lease
	observedAt time.Time
	started    bool

	appendInFlight    bool
	lastAttemptNumber uint64
	// sentAt holds, by attempt number, the send times of the records that may still
	// be read back.
	sentAt map[uint64]time.Time

	// fencingToken is the fencing token of this coordinator's own term, 0 if there
	// is none.
	fencingToken uint64
	// termStartedAt is the send time of the term's newest record that was read
	// back.
	termStartedAt time.Time
	stopped       bool
}

// NewElector returns the state machine of a coordinator that has not read the log
// yet. process must be unique to this process, also among later processes on the
// same VM.
func NewElector(cfg Config, self control.Holder, process string) *Elector {
	return &Elector{cfg: cfg, self: self, process: process, sentAt: map[uint64]time.Time{}}
}

// Observe records the state of the lease after one more record of the log, which
// was read at now. attempt is the record's attempt if it was an accepted claim or
// renewal, and empty for any other record. Records must be observed in the order of
// the log.
func (e *Elector) Observe(lease control.Lease, attempt control.AppendID, now time.Time) {
	if !e.started || lease.LastOffset != e.lease.LastOffset {
		e.observedAt = now
	}
	e.started = true
	e.lease = lease
	if attempt.Process == e.process {
		e.observeOwn(attempt.Number)
	}
	if lease.FencingToken != e.fencingToken || lease.Released {
		e.fencingToken = 0
	}
}

// observeOwn starts or extends a term. The term starts at the send time of the
// record that was read back, even if a later record is in flight.
func (e *Elector) observeOwn(number uint64) {
	sentAt, ok := e.sentAt[number]
	if !ok {
		return
	}
	delete(e.sentAt, number)
	if e.fencingToken == e.lease.FencingToken && sentAt.Before(e.termStartedAt) {
		return
	}
	e.fencingToken = e.lease.FencingToken
	e.termStartedAt = sentAt
}

// AppendEnded records that the append of the last Step has ended: it was read back
// or failed, or its answer was lost. If the append took effect, its record must
// still be passed to Observe, possibly later.
func (e *Elector) AppendEnded() {
	e.appendInFlight = false
}

// Step returns the record to append at now, if any. It returns no other record
// until the caller has called AppendEnded.
func (e *Elector) Step(now time.Time) (Append, bool) {
	if !e.started || e.appendInFlight || e.stopped {
		return Append{}, false
	}
	e.dropExpired(now)
	if e.fencingToken != 0 {
		return e.renew(now)
	}
	return e.claim(now)
}

// dropExpired removes attempts that are too old to start or extend a term.
func (e *Elector) dropExpired(now time.Time) {
	for number, sentAt := range e.sentAt {
		if elapsed(sentAt, now) > e.cfg.Duration {
			delete(e.sentAt, number)
		}
	}
}

func (e *Elector) renew(now time.Time) (Append, bool) {
	if elapsed(e.termStartedAt, now) < e.cfg.RenewInterval() {
		return Append{}, false
	}
	return Append{Renewal: &control.LeaseRenewal{FencingToken: e.fencingToken, Attempt: e.newAttempt(now)}}, true
}

func (e *Elector) claim(now time.Time) (Append, bool) {
	if now.Sub(e.observedAt) < e.takeoverDelay() {
		return Append{}, false
	}
	return Append{Claim: &control.LeaseClaim{After: e.lease.LastOffset, Holder: e.self, Attempt: e.newAttempt(now)}}, true
}

// takeoverDelay returns the time for which the observed lease must remain
// unchanged before it may be claimed.
func (e *Elector) takeoverDelay() time.Duration {
	switch {
	case e.lease.LastOffset == 0:
		return 0
	case e.lease.Released:
		return e.cfg.TakeoverDelayAfterRelease()
	}
	return e.cfg.TakeoverDelay()
}

func (e *Elector) newAttempt(now time.Time) control.AppendID {
	e.appendInFlight = true
	e.lastAttemptNumber++
	e.sentAt[e.lastAttemptNumber] = now
	return control.AppendID{Process: e.process, Number: e.lastAttemptNumber}
}

// FencingToken returns the fencing token for an order at now, and false if no order
// may be given. It must be called immediately before each order.
func (e *Elector) FencingToken(now time.Time) (uint64, bool) {
	if e.fencingToken == 0 || e.stopped || elapsed(e.termStartedAt, now) >= e.cfg.Duration-e.cfg.Margin {
		return 0, false
	}
	return e.fencingToken, true
}

// Stop makes FencingToken and Step return false from now on. It returns the fencing
// token of the current term, which its release needs, and false if there is no
// term.
func (e *Elector) Stop() (token uint64, held bool) {
	e.stopped = true
	return e.fencingToken, e.fencingToken != 0
}

// elapsed returns the time since start by the monotonic or the wall clock,
// whichever is longer: the monotonic clock may stop while a VM is paused.
func elapsed(start, now time.Time) time.Duration {
	return max(now.Sub(start), now.Round(0).Sub(start.Round(0)))
}
