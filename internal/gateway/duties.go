package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/duty"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// dutyTopic is the log of claims, renewals and usage reports.
	dutyTopic = "coltsfoot.duties"
	// dutyTick is how often a VM looks at its part in the duties.
	dutyTick = 200 * time.Millisecond
	// dutyTimeout bounds one call; a call without an answer is looked up in the
	// log.
	dutyTimeout = 1200 * time.Millisecond
	// dutyQuiet is how long the holder may tell its peers nothing: some digests.
	dutyQuiet = 1200 * time.Millisecond
	// dutyMargin is taken off the lease for calls under way.
	dutyMargin = 300 * time.Millisecond
	// reportDelay is how long after its end a window is reported where every VM
	// has told its counts: they do so each second, and some messages are lost.
	reportDelay = 2200 * time.Millisecond
	// reportMargin of the time in which a report is due is left for sending it.
	reportMargin = 2500 * time.Millisecond
	// reportWindows is how many windows back a holder looks for ones that have
	// not been reported.
	reportWindows = 3
	// reportAgain is the pause before a report without an answer is repeated.
	reportAgain = 700 * time.Millisecond
)

// duties is this VM's part in the deployment's single duties.
type duties struct {
	node *Node

	mu      sync.Mutex
	machine *duty.Machine

	// The fields below are used by the loop alone.
	reported map[int64]bool
	triedAt  map[int64]time.Time
	orders   *orderer
}

func newDuties(n *Node) *duties {
	cfg := duty.Config{Lease: n.set.Lease, Margin: dutyMargin, Quiet: dutyQuiet}
	return &duties{
		node:     n,
		machine:  duty.NewMachine(cfg, n.set.VM, n.incarnation, n.now()),
		reported: map[int64]bool{},
		triedAt:  map[int64]time.Time{},
		orders:   newOrderer(n),
	}
}

// windowOf returns the number of the usage window of a moment.
func (d *duties) windowOf(now time.Time) int64 {
	return d.node.clock.unixMillis(now) / d.node.set.UsageWindow.Milliseconds()
}

// tenure returns this VM's fence and where the log of duties ends, while it
// holds the duties.
func (d *duties) tenure(now time.Time) (fence, end uint64, holds bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fence, holds = d.machine.Held(now)
	return fence, d.machine.State().End, holds
}

func (d *duties) heard(w duty.Word, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.HeardOf(w, now)
}

func (d *duties) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !d.node.draining.Load() && d.node.document.Load() != nil {
			d.step(ctx)
		}
		sleep(ctx, dutyTick)
	}
}

func (d *duties) step(ctx context.Context) {
	now := d.node.now()
	patient := !d.node.members.isReader()
	d.mu.Lock()
	next := d.machine.Next(now, patient)
	d.mu.Unlock()
	switch next {
	case duty.Look:
		if d.look(ctx) == duty.Claim {
			d.append(ctx, d.record(true))
		}
	case duty.Renew:
		d.append(ctx, d.record(false))
	case duty.Wait:
		d.noteSizes(ctx)
	}
	if holder, ok := d.holder(); ok {
		d.reportUsage(ctx, holder)
		d.orders.step(ctx, holder)
		d.node.moves.step(ctx)
	}
}

// noteSizes writes how many servers there were at first as soon as more of them
// are known.
func (d *duties) noteSizes(ctx context.Context) {
	if _, ok := d.holder(); !ok {
		return
	}
	if r := d.record(false); r.Sizes != nil {
		d.append(ctx, r)
	}
}

func (d *duties) holder() (platform.Holder, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fence, ok := d.machine.Held(d.node.now())
	return platform.Holder{VM: d.node.set.VM, Fence: fence}, ok
}

func (d *duties) record(claim bool) duty.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.machine.Record(claim)
	r.Sizes = d.orders.sizes(d.machine.State().Sizes)
	return r
}

// read returns the records of the log that this VM has not seen.
func (d *duties) read(ctx context.Context) ([]duty.Record, error) {
	d.mu.Lock()
	from := d.machine.State().End
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	batch, err := d.node.platform.Read(ctx, dutyTopic, from, 0)
	if err != nil {
		return nil, err
	}
	records := make([]duty.Record, 0, len(batch.Records))
	for i, data := range batch.Records {
		var r duty.Record
		if err := json.Unmarshal(data, &r); err != nil {
			d.node.log.Failure("duties", "unreadable-record", "offset", batch.First+uint64(i), "error", err)
		}
		records = append(records, r)
	}
	return records, nil
}

func (d *duties) look(ctx context.Context) duty.Do {
	records, err := d.read(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.node.log.Failure("duties", "not-read", "error", err)
		d.machine.NotLooked(d.node.now())
		return duty.Wait
	}
	do := d.machine.Looked(records, d.node.now())
	s := d.machine.State()
	d.node.log.Event("duties", "looked", "records", len(records), "end", s.End, "holder", s.Holder.VM, "fence", s.Fence, "claims", do == duty.Claim)
	return do
}

// append writes a record where the log ends as this VM knows it. Without an
// answer, or where the log has moved on, the log is read again.
func (d *duties) append(ctx context.Context, r duty.Record) bool {
	d.mu.Lock()
	at := d.machine.State().End
	d.mu.Unlock()
	data, err := json.Marshal(r)
	if err != nil {
		d.node.log.Failure("duties", "not-encoded", "error", err)
		return false
	}
	began := d.node.now()
	callCtx, cancel := context.WithTimeout(ctx, dutyTimeout)
	_, err = d.node.platform.AppendAt(callCtx, dutyTopic, data, at)
	cancel()
	if err == nil {
		d.mu.Lock()
		d.machine.Appended(r, began, d.node.now())
		fence := d.machine.State().Fence
		d.mu.Unlock()
		if r.Claim || r.Released {
			d.node.log.Event("duties", "tenure", "claim", r.Claim, "released", r.Released, "fence", fence)
		}
		return true
	}
	d.node.log.Failure("duties", "not-appended", "claim", r.Claim, "at", at, "error", err)
	if !errors.Is(err, platform.ErrMoved) && !errors.Is(err, platform.ErrUnknown) {
		return false
	}
	records, err := d.read(ctx)
	if err != nil {
		d.node.log.Failure("duties", "not-read", "error", err)
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Moved(records, d.node.now())
	return false
}

func (d *duties) fenced(what string, h platform.Holder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Fenced(d.node.now())
	d.node.log.Failure("duties", "fenced", "duty", what, "fence", h.Fence)
}

// release gives the duties up, so that another VM takes them at once.
func (d *duties) release() {
	if _, ok := d.holder(); !ok {
		return
	}
	r := d.record(false)
	r.Released = true
	d.append(d.node.ctx, r)
}

// reportUsage reports the windows that are over. A report is written to the log
// before it is sent: whoever sends a window sends the same counts.
func (d *duties) reportUsage(ctx context.Context, h platform.Holder) {
	n := d.node
	now := n.now()
	wall := n.clock.unixMillis(now)
	last := (wall-reportDelay.Milliseconds())/n.set.UsageWindow.Milliseconds() - 1
	for w := last - reportWindows; w <= last; w++ {
		if d.reported[w] || now.Sub(d.triedAt[w]) < reportAgain {
			continue
		}
		if d.awaitsCounts(w, wall, now) {
			continue
		}
		d.triedAt[w] = now
		counts, ok := d.writtenReport(ctx, w)
		if !ok {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, dutyTimeout)
		err := n.platform.ReportUsage(callCtx, h, w, counts)
		cancel()
		n.metrics.duties.WithLabelValues("usage", outcomeOf(err)).Inc()
		switch {
		case err == nil:
			d.reported[w] = true
			n.log.Event("duties", "usage", "window", w, "fence", h.Fence, "workspaces", len(counts))
		case errors.Is(err, platform.ErrFenced):
			d.fenced("usage", h)
			return
		default:
			n.log.Failure("duties", "usage-not-reported", "window", w, "error", err)
		}
	}
	for w := range d.reported {
		if w < last-2*reportWindows {
			delete(d.reported, w)
			delete(d.triedAt, w)
		}
	}
}

// awaitsCounts tells whether a window's report waits for VMs that have not told
// their counts since its end: those that are cut off may be back in time.
func (d *duties) awaitsCounts(window, wall int64, now time.Time) bool {
	n := d.node
	end := (window + 1) * n.set.UsageWindow.Milliseconds()
	passed := time.Duration(wall-end) * time.Millisecond
	return passed < n.live.Load().UsageLate-reportMargin && n.usage.Missing(now.Add(-passed), now) > 0
}

func outcomeOf(err error) string {
	if err == nil {
		return "done"
	}
	return "failed"
}

// writtenReport returns a window's counts as the log has them, after writing
// them there if nobody has.
func (d *duties) writtenReport(ctx context.Context, window int64) (map[string]int, bool) {
	d.mu.Lock()
	counts, ok := d.machine.State().Reports[window]
	d.mu.Unlock()
	if ok {
		return counts, true
	}
	sum := d.node.usage.Sum(window)
	if len(sum) == 0 {
		return nil, false
	}
	r := d.record(false)
	r.Window, r.Counts = window, sum
	if !d.append(ctx, r) {
		return nil, false
	}
	return sum, true
}
