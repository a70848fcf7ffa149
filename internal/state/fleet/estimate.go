package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

// Counters holds a server's newest load report and the counts of this node's own
// attempts on it. All views share the counters of a server.
type Counters struct {
	// Outstanding is the number of this node's attempts in progress.
	Outstanding atomic.Int64

	// mu is a leaf lock: no other lock is acquired while it is held.
	mu         sync.Mutex
	load       LoadReport
	reportedAt time.Time
	misses     int
	// outstandingAtReport is the estimate of Outstanding at the time at which load
	// was measured.
	outstandingAtReport float64
	// outstandingOnReceipt is the value of Outstanding at the time at which the
	// newest report was received.
	outstandingOnReceipt int64
	// prefill is the estimated number of prompt tokens queued at prefillAt,
	// including those of this node's attempts.
	prefill   float64
	prefillAt time.Time
	// prefillSinceReport is the number of prompt tokens of the attempts that began
	// since the newest report was received.
	prefillSinceReport float64
}

// Estimate is an estimate of a server's load at a given time.
type Estimate struct {
	// Running is the number of running and waiting sequences.
	Running float64
	// PrefillTokens is the number of prompt tokens that are still to be computed.
	PrefillTokens float64
	// Slots bounds the number of sequences that run at once, 0 if it is unknown.
	Slots int
	// Misses is the number of consecutive missed load reports.
	Misses int
	// HasReport is false before the first report.
	HasReport bool
}

// BeginAttempt records the start of an attempt by this node that computes the given
// number of prompt tokens. prefillRate is the number of prompt tokens that the
// server computes per second.
func (c *Counters) BeginAttempt(tokens int, now time.Time, prefillRate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefill = c.queuedPrefill(now, prefillRate) + float64(tokens)
	c.prefillAt = now
	c.prefillSinceReport += float64(tokens)
}

// Estimate returns the estimated load at now. prefillRate is the number of prompt
// tokens that the server computes per second. fleetFactor is the estimated ratio of
// the change in the attempts of all entry VMs since the report to the change in this
// node's attempts.
func (c *Counters) Estimate(now time.Time, prefillRate, fleetFactor float64) Estimate {
	c.mu.Lock()
	defer c.mu.Unlock()
	change := (float64(c.Outstanding.Load()) - c.outstandingAtReport) * fleetFactor
	return Estimate{
		Running:       max(float64(c.load.Running+c.load.Waiting)+change, float64(c.Outstanding.Load())),
		PrefillTokens: c.queuedPrefill(now, prefillRate),
		Slots:         c.load.Slots,
		Misses:        c.misses,
		HasReport:     !c.reportedAt.IsZero(),
	}
}

// Load returns the newest load report and the time of its receipt, which is zero
// before the first report.
func (c *Counters) Load() (LoadReport, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.load, c.reportedAt
}

// Misses returns the number of consecutive missed load reports.
func (c *Counters) Misses() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.misses
}

// queuedPrefill returns the estimated number of queued prompt tokens at now. The
// caller holds c.mu.
func (c *Counters) queuedPrefill(now time.Time, prefillRate float64) float64 {
	return max(c.prefill-now.Sub(c.prefillAt).Seconds()*prefillRate, 0)
}

// applyReport replaces the load report. The report lacks the attempts that this
// node began after it was measured; they are estimated on the assumption that the
// attempts since the previous report began at a constant rate.
func (c *Counters) applyReport(load LoadReport, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	missing := 1.0
	if interval := now.Sub(c.reportedAt); !c.reportedAt.IsZero() && interval > 0 {
		missing = min(max(float64(now.Sub(load.At))/float64(interval), 0), 1)
	}
	outstanding := c.Outstanding.Load()
	c.outstandingAtReport = float64(outstanding) - float64(outstanding-c.outstandingOnReceipt)*missing
	c.outstandingOnReceipt = outstanding
	c.prefill = float64(load.QueuedPrefill) + c.prefillSinceReport*missing
	c.prefillAt = now
	c.prefillSinceReport = 0
	c.load, c.reportedAt, c.misses = load, now, 0
}

func (c *Counters) countMiss() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.misses++
}
