package coordinator

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/appender"
	"coltsfootpath.example/coltsfootpath/internal/coordination/lease"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/coordination/tail"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
)

const leaseInterval = 100 * time.Millisecond

// leaseLoop acquires, renews and releases the lease through the control stream.
type leaseLoop struct {
	cfg      lease.Config
	clock    ports.Clock
	appender *appender.Appender
	replay   *tail.ControlReplay

	// mu guards elector. It may be locked while the appender's locks are held.
	mu      sync.Mutex
	elector *lease.Elector

	checkpoints *checkpointer
}

func newLeaseLoop(settings Settings, self control.Holder, log ports.Log, clock ports.Clock, replay *tail.ControlReplay) *leaseLoop {
	l := &leaseLoop{cfg: settings.Lease, clock: clock, replay: replay, elector: lease.NewElector(settings.Lease, self, rand.Text())}
	replay.Watch(l.observe)
	l.appender = appender.New(log, clock, replay)
	l.checkpoints = newCheckpointer(settings.CheckpointRecords, settings.CheckpointInterval, clock, replay, l.appender)
	return l
}

// observe passes an applied record of the control stream to the elector.
func (l *leaseLoop) observe(a tail.Applied) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.elector.Observe(a.State.Lease, attemptIDOf(a), l.clock.Now())
}

// attemptIDOf returns the id of an accepted claim or renewal, or the zero value
// for any other record.
func attemptIDOf(a tail.Applied) control.AppendID {
	switch {
	case a.Verdict != control.Accepted:
	case a.Record.Claim != nil:
		return a.Record.Claim.Attempt
	case a.Record.Renewal != nil:
		return a.Record.Renewal.Attempt
	}
	return control.AppendID{}
}

// run claims and renews the lease until ctx ends. It first waits until the
// complete stream has been read, so that no claim is based on outdated state.
func (l *leaseLoop) run(ctx context.Context, follower *tail.Follower, gauge prometheus.Gauge) {
	if follower.WaitCaughtUp(ctx) != nil {
		return
	}
	l.observe(tail.Applied{Verdict: tail.Adopted, State: l.replay.State()})
	l.checkpoints.recordExisting()
	for ctx.Err() == nil {
		if l.replay.Complete() {
			l.step(ctx)
			l.checkpoint(ctx)
		}
		gauge.Set(l.gaugeValue())
		select {
		case <-l.clock.After(leaseInterval):
		case <-ctx.Done():
		}
	}
}

// checkpoint writes a due checkpoint if this coordinator holds the lease.
func (l *leaseLoop) checkpoint(ctx context.Context) {
	if fencingToken, ok := l.fencingToken(); ok {
		l.checkpoints.step(ctx, fencingToken, l.cfg.RenewInterval())
	}
}

// gaugeValue returns 1 while this coordinator holds the lease, otherwise 0.
func (l *leaseLoop) gaugeValue() float64 {
	if _, ok := l.fencingToken(); ok {
		return 1
	}
	return 0
}

// step appends the claim or renewal that is due, if any.
func (l *leaseLoop) step(ctx context.Context) {
	l.mu.Lock()
	due, ok := l.elector.Step(l.clock.Now())
	l.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.cfg.RenewInterval())
	defer cancel()
	applied, err := l.appender.Append(ctx, control.Record{Claim: due.Claim, Renewal: due.Renewal})
	l.mu.Lock()
	l.elector.AppendEnded()
	l.mu.Unlock()
	switch {
	case err != nil:
		klog.V(1).Infof("lease: append failed err=%q", err)
	case due.Claim != nil && applied.Verdict == control.Accepted:
		klog.Infof("lease: acquired fencing=%d", applied.Offset)
	}
}

// fencingToken returns the fencing token of the held lease, and false if no order
// may be sent now. It must be called immediately before each order.
func (l *leaseLoop) fencingToken() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.elector.FencingToken(l.clock.Now())
}

// release releases the lease if it is held. Orders stop before the release is
// sent.
func (l *leaseLoop) release(ctx context.Context) {
	l.mu.Lock()
	token, ok := l.elector.Stop()
	l.mu.Unlock()
	if !ok {
		return
	}
	if _, err := l.appender.Append(ctx, control.Record{Release: &control.LeaseRelease{FencingToken: token}}); err != nil {
		klog.Warningf("lease: release failed err=%q", err)
	}
}
