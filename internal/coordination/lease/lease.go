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
	// Duration is the length of a term, counted from just before its record was
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

// TakeoverDelay returns the time that a successor waits after the last record
// that it read.
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

	inFlight   bool
	lastNumber uint64
	// sentAt holds the send times, by number, of the attempts that may still be
	// read back.
	sentAt map[uint64]time.Time

	// fencing is the fencing token of this coordinator's own term, 0 if there is
	// none.
	fencing uint64
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

// Observe takes the lease's state in the log after one more record, read at now.
// attempt is the record's attempt if it was an accepted claim or renewal, and
// empty for any other record. Records must be observed in the order of the log.
func (k *Elector) Observe(lease control.Lease, attempt control.AttemptID, now time.Time) {
	if !k.started || lease.LastOffset != k.lease.LastOffset {
		k.observedAt = now
	}
	k.started = true
	k.lease = lease
	if attempt.Process == k.process {
		k.observeOwn(attempt.Number)
	}
	if lease.Fencing != k.fencing || lease.Released {
		k.fencing = 0
	}
}

// observeOwn starts or extends a term. The term counts from the time just before
// the record that was read was sent, even if a later one is in flight.
func (k *Elector) observeOwn(number uint64) {
	sentAt, ok := k.sentAt[number]
	if !ok {
		return
	}
	delete(k.sentAt, number)
	if k.fencing == k.lease.Fencing && sentAt.Before(k.termStartedAt) {
		return
	}
	k.fencing = k.lease.Fencing
	k.termStartedAt = sentAt
}

// AppendEnded reports that the append of the last Step has ended: it was read back or
// failed, or its answer was lost. If the append took effect, its record reaches
// Observe, possibly later.
func (k *Elector) AppendEnded() {
	k.inFlight = false
}

// Step returns the record to append at now, if any. It returns no other record
// until the caller has reported the end of the append.
func (k *Elector) Step(now time.Time) (Append, bool) {
	if !k.started || k.inFlight || k.stopped {
		return Append{}, false
	}
	k.dropExpired(now)
	if k.fencing != 0 {
		return k.renew(now)
	}
	return k.claim(now)
}

// dropExpired removes attempts that are too old to start or extend a term.
func (k *Elector) dropExpired(now time.Time) {
	for number, sentAt := range k.sentAt {
		if elapsed(sentAt, now) > k.cfg.Duration {
			delete(k.sentAt, number)
		}
	}
}

func (k *Elector) renew(now time.Time) (Append, bool) {
	if elapsed(k.termStartedAt, now) < k.cfg.RenewInterval() {
		return Append{}, false
	}
	return Append{Renewal: &control.LeaseRenewal{Fencing: k.fencing, Attempt: k.newAttempt(now)}}, true
}

func (k *Elector) claim(now time.Time) (Append, bool) {
	if now.Sub(k.observedAt) < k.takeoverDelay() {
		return Append{}, false
	}
	return Append{Claim: &control.LeaseClaim{After: k.lease.LastOffset, Holder: k.self, Attempt: k.newAttempt(now)}}, true
}

// takeoverDelay returns the time for which the observed lease must remain
// unchanged before it may be claimed.
func (k *Elector) takeoverDelay() time.Duration {
	switch {
	case k.lease.LastOffset == 0:
		return 0
	case k.lease.Released:
		return k.cfg.TakeoverDelayAfterRelease()
	}
	return k.cfg.TakeoverDelay()
}

func (k *Elector) newAttempt(now time.Time) control.AttemptID {
	k.inFlight = true
	k.lastNumber++
	k.sentAt[k.lastNumber] = now
	return control.AttemptID{Process: k.process, Number: k.lastNumber}
}

// FencingToken returns the fencing token for an order at now, and whether an order
// may be given. It must be called immediately before each order.
func (k *Elector) FencingToken(now time.Time) (uint64, bool) {
	if k.fencing == 0 || k.stopped || elapsed(k.termStartedAt, now) >= k.cfg.Duration-k.cfg.Margin {
		return 0, false
	}
	return k.fencing, true
}

// Stop ends the permission to give orders and the sending of records. It returns
// the fencing token of the current term, for its release, and whether there is
// one.
func (k *Elector) Stop() (fencing uint64, holding bool) {
	k.stopped = true
	return k.fencing, k.fencing != 0
}

// elapsed returns the time since start by the monotonic or the wall clock,
// whichever is longer: the monotonic clock may stop while a VM is paused.
func elapsed(start, now time.Time) time.Duration {
	return max(now.Sub(start), now.Round(0).Sub(start.Round(0)))
}
