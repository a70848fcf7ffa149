package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/freshness"
	"coltsfootpath.example/coltsfootpath/internal/coordination/singleton"
	"coltsfootpath.example/coltsfootpath/internal/state/storelog"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// dutyTopic is the topic with the log of claims, renewals and usage reports.
	dutyTopic = "coltsfoot.duties"
	// dutyInterval is the interval between two steps of the duties loop.
	dutyInterval = 200 * time.Millisecond
	// dutyCallTimeout bounds one call of a duty itself.
	dutyCallTimeout = 1200 * time.Millisecond
	// holderTimeout is the time after which peers read the log if they receive no
	// report from the lease holder. It spans several digest intervals.
	holderTimeout = 1200 * time.Millisecond
	// leaseMargin is the time before the end of its lease from which the holder
	// starts no more duties, because calls may still be in progress.
	leaseMargin = 300 * time.Millisecond
	// reportDelay is the delay between a window's end and its report if all nodes
	// have sent their counts. Nodes send them every second, and some messages are
	// lost.
	reportDelay = 2200 * time.Millisecond
	// reportMargin is the time before a report's deadline that is reserved for
	// sending it.
	reportMargin = 2500 * time.Millisecond
	// reportWindows is the number of past windows that a lease holder checks for
	// missing reports.
	reportWindows = 3
	// reportRetryInterval is the pause before a failed report is sent again.
	reportRetryInterval = 700 * time.Millisecond
)

// duties performs the deployment's singleton duties while this node holds the
// lease, and competes for the lease otherwise.
type duties struct {
	node *Node

	mu         sync.Mutex
	machine    *singleton.Machine
	suspension *suspensionWatch

	// The fields below are used only by the goroutine of run.
	reported    map[int64]bool
	attemptedAt map[int64]time.Time
	orderer     *orderer
}

func newDuties(n *Node) *duties {
	cfg := singleton.Config{LeaseDuration: n.settings.Lease, Margin: leaseMargin, HolderTimeout: holderTimeout, IsFirstStart: n.settings.FirstStart}
	return &duties{
		node:        n,
		machine:     singleton.NewMachine(cfg, n.settings.VM, n.incarnation, n.now()),
		reported:    map[int64]bool{},
		attemptedAt: map[int64]time.Time{},
		suspension:  newSuspensionWatch(),
		orderer:     newOrderer(n),
	}
}

// schedule returns the times of calls for the log. After an append without an answer, the log is
// read to find out whether the record was written.
func (d *duties) schedule() freshness.Schedule {
	return freshness.Schedule{Bound: d.node.settings.Lease}
}

// windowOf returns the number of the usage window that contains now.
func (d *duties) windowOf(now time.Time) int64 {
	return d.node.clock.unixMillis(now) / d.node.settings.UsageWindow.Milliseconds()
}

// leaseState returns this node's fencing token and the end position of the duties log.
// holds reports whether this node holds the lease.
func (d *duties) leaseState(now time.Time) (token uint64, end storelog.Position, holds bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	token, holds = d.fencingToken(now)
	return token, d.machine.State().End, holds
}

// fencingToken returns the token under which this node may act, and false if it may not. A
// node that was suspended gives its lease up. The caller must hold mu.
func (d *duties) fencingToken(now time.Time) (token uint64, ok bool) {
	suspended := d.suspension.check()
	token, ok = d.machine.FencingToken(now)
	if !ok || suspended == 0 {
		return token, ok
	}
	d.machine.FencingTokenRejected(now)
	d.node.log.Failure("duties", "suspended", "for", suspended, "fence", token)
	return token, false
}

func (d *duties) recordHolder(report singleton.HolderReport, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.ObserveHolder(report, now)
}

func (d *duties) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !d.node.draining.Load() && d.node.document.Load() != nil {
			d.step(ctx)
		}
		sleep(ctx, dutyInterval)
	}
}

func (d *duties) step(ctx context.Context) {
	now := d.node.now()
	backup := !d.node.members.isReader()
	d.mu.Lock()
	if from := d.machine.State().End; from > 0 && d.machine.EraChanged(d.node.storeEra(), now) {
		d.node.log.Event("duties", "era-changed", "from", from, "era", d.node.storeEra())
	}
	action := d.machine.Next(now, backup)
	d.mu.Unlock()
	switch action {
	case singleton.ReadLog:
		if d.checkLog(ctx) == singleton.Claim {
			d.appendRecord(ctx, d.newRecord(true))
		}
	case singleton.Renew:
		d.appendRecord(ctx, d.newRecord(false))
	case singleton.Wait:
		d.recordSizes(ctx)
	}
	if holder, ok := d.ownHolder(); ok {
		d.reportUsage(ctx, holder)
		d.orderer.step(ctx, holder)
		d.node.moves.advance(ctx)
	}
}

// recordSizes appends the initial numbers of servers to the log when more of the
// initial servers have registered.
func (d *duties) recordSizes(ctx context.Context) {
	if _, ok := d.ownHolder(); !ok {
		return
	}
	if r := d.newRecord(false); r.InitialServers != nil {
		d.appendRecord(ctx, r)
	}
}

func (d *duties) ownHolder() (platform.Holder, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	token, ok := d.fencingToken(d.node.now())
	return platform.Holder{VM: d.node.settings.VM, FencingToken: token}, ok
}

func (d *duties) newRecord(claim bool) singleton.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.machine.NewRecord(claim, d.lastReportable(d.node.now()))
	if sizes := d.orderer.initialSizes(d.machine.State().InitialServers); sizes != nil {
		r.InitialServers = sizes
	}
	return r
}

// readNew returns the log's records that this node has not read yet.
func (d *duties) readNew(ctx context.Context) ([]singleton.Record, error) {
	d.mu.Lock()
	from := d.machine.State().End
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, d.schedule().AppendTimeout())
	defer cancel()
	read := func(from storelog.Position) (platform.Batch, error) {
		return askStore(ctx, d.node, d.schedule(), func(ctx context.Context) (platform.Batch, error) {
			return d.node.platform.Read(ctx, dutyTopic, from, 0)
		})
	}
	batch, err := read(from)
	if d.followLog(err) {
		d.mu.Lock()
		from = d.machine.State().End
		d.mu.Unlock()
		batch, err = read(from)
	}
	if err != nil {
		return nil, err
	}
	records := make([]singleton.Record, 0, len(batch.Records))
	for i, data := range batch.Records {
		var r singleton.Record
		if err := json.Unmarshal(data, &r); err != nil {
			d.node.log.Failure("duties", "unreadable-record", "offset", batch.First+storelog.Position(i), "error", err)
		}
		records = append(records, r)
	}
	return records, nil
}

// followLog reports whether err means that the log goes on at another position, and makes
// the machine continue there.
func (d *duties) followLog(err error) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	from := d.machine.State().End
	if era, ok := platform.NewerEra(err); ok && d.machine.EraChanged(era, d.node.now()) {
		if from > 0 {
			d.node.log.Event("duties", "era-changed", "from", from, "era", era)
		}
		return true
	}
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) && trimmed.First > from {
		d.machine.SkipTo(trimmed.First)
		d.node.log.Event("duties", "records-gone", "from", from, "first", trimmed.First)
		return true
	}
	return false
}

func (d *duties) checkLog(ctx context.Context) singleton.Action {
	records, err := d.readNew(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.node.log.Failure("duties", "not-read", "error", err)
		d.machine.LogReadFailed(d.node.now())
		return singleton.Wait
	}
	action := d.machine.LogRead(records, d.node.now())
	s := d.machine.State()
	d.node.log.Event("duties", "looked", "records", len(records), "end", s.End, "holder", s.Holder.VM, "fence", s.FencingToken, "claims", action == singleton.Claim)
	return action
}

// appendRecord appends a record at the end of the log as known to this node, and
// reports whether it was written. If the outcome is unknown or the log has other
// records there, the log is read.
func (d *duties) appendRecord(ctx context.Context, r singleton.Record) bool {
	d.mu.Lock()
	at := d.machine.State().End
	d.mu.Unlock()
	data, err := json.Marshal(r)
	if err != nil {
		d.node.log.Failure("duties", "not-encoded", "error", err)
		return false
	}
	startedAt := d.node.now()
	callCtx, cancel := context.WithTimeout(ctx, d.schedule().AppendTimeout())
	_, err = d.node.platform.AppendAt(callCtx, dutyTopic, data, at)
	cancel()
	if err == nil {
		d.mu.Lock()
		d.machine.Appended(r, startedAt, d.node.now())
		token := d.machine.State().FencingToken
		d.mu.Unlock()
		if r.IsClaim || r.Released {
			d.node.log.Event("duties", "tenure", "claim", r.IsClaim, "released", r.Released, "fence", token)
		}
		return true
	}
	d.node.log.Failure("duties", "not-appended", "claim", r.IsClaim, "at", at, "error", err)
	if d.followLog(err) || !errors.IsAny(err, platform.ErrOffsetMismatch, platform.ErrUnknown) {
		return false
	}
	records, err := d.readNew(ctx)
	if err != nil {
		d.node.log.Failure("duties", "not-read", "error", err)
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.AppendFailed(records, d.node.now())
	return false
}

func (d *duties) recordOutdatedToken(dutyName string, h platform.Holder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.FencingTokenRejected(d.node.now())
	d.node.log.Failure("duties", "fenced", "duty", dutyName, "fence", h.FencingToken)
}

// release gives up the lease, so that another node can take it immediately.
func (d *duties) release() {
	if _, ok := d.ownHolder(); !ok {
		return
	}
	r := d.newRecord(false)
	r.Released = true
	d.appendRecord(d.node.ctx, r)
}

// reportUsage reports the usage windows that have ended. A report is appended to
// the log before it is sent, so that every lease holder sends the same counts for
// a window.
func (d *duties) reportUsage(ctx context.Context, h platform.Holder) {
	n := d.node
	now := n.now()
	wallMillis := n.clock.unixMillis(now)
	last := d.lastReportable(now)
	for w := last - reportWindows; w <= last; w++ {
		if n.now().Sub(now) > dutyInterval {
			// The lease may have to be renewed, and a move to be decided, before the next call.
			return
		}
		if d.reported[w] || now.Sub(d.attemptedAt[w]) < reportRetryInterval {
			continue
		}
		if d.shouldAwaitCounts(w, wallMillis, now) {
			continue
		}
		if d.mayBeLost(w) {
			d.reported[w] = true
			n.log.Failure("duties", "usage-skipped", "window", w, "fence", h.FencingToken)
			n.metrics.duties.WithLabelValues("usage", "skipped").Inc()
			continue
		}
		d.attemptedAt[w] = now
		counts, ok := d.loggedCounts(ctx, w)
		if !ok {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
		err := n.platform.ReportUsage(callCtx, h, w, counts)
		cancel()
		n.metrics.duties.WithLabelValues("usage", callOutcome(err)).Inc()
		switch {
		case err == nil:
			d.reported[w] = true
			n.log.Event("duties", "usage", "window", w, "fence", h.FencingToken, "workspaces", len(counts))
		case errors.Is(err, platform.ErrOutdatedFencingToken):
			d.recordOutdatedToken("usage", h)
			return
		default:
			n.log.Failure("duties", "usage-not-reported", "window", w, "error", err)
		}
	}
	for w := range d.reported {
		if w < last-2*reportWindows {
			delete(d.reported, w)
			delete(d.attemptedAt, w)
		}
	}
}

// lastReportable returns the last usage window that may have been reported.
func (d *duties) lastReportable(now time.Time) int64 {
	return (d.node.clock.unixMillis(now)-reportDelay.Milliseconds())/d.node.settings.UsageWindow.Milliseconds() - 1
}

// mayBeLost reports whether a window may have been reported, with counts that the log has
// lost.
func (d *duties) mayBeLost(window int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.machine.State()
	_, known := s.Reports[window]
	return !known && window <= s.LostUpTo
}

// shouldAwaitCounts reports whether a window's report is still delayed for nodes that
// have not sent their counts since its end. Partitioned nodes may become
// reachable again before the report is due.
func (d *duties) shouldAwaitCounts(window, wallMillis int64, now time.Time) bool {
	n := d.node
	endMillis := (window + 1) * n.settings.UsageWindow.Milliseconds()
	passed := time.Duration(wallMillis-endMillis) * time.Millisecond
	return passed < n.liveSettings.Load().UsageReportTimeout-reportMargin && n.usage.MissingSources(now.Add(-passed), now) > 0
}

func callOutcome(err error) string {
	if err == nil {
		return "done"
	}
	return "failed"
}

// loggedCounts returns a window's counts from the log. If the log has none, it
// first appends this node's totals.
func (d *duties) loggedCounts(ctx context.Context, window int64) (map[string]int, bool) {
	d.mu.Lock()
	counts, ok := d.machine.State().Reports[window]
	d.mu.Unlock()
	if ok {
		return counts, true
	}
	totals := d.node.usage.Total(window)
	if len(totals) == 0 {
		return nil, false
	}
	r := d.newRecord(false)
	r.Window, r.Counts = window, totals
	if !d.appendRecord(ctx, r) {
		return nil, false
	}
	return totals, true
}
