package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/catchup"
	"coltsfootpath.example/coltsfootpath/internal/coordination/freshness"
	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/coordination/topicview"
	"coltsfootpath.example/coltsfootpath/internal/protocol/relayapi"
	"coltsfootpath.example/coltsfootpath/internal/state/storelog"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// restoreTime is the time, from the first listing after the store came back from a
	// copy, in which the operator and the servers write again what the copy lacks. What
	// is missing then is gone.
	restoreTime = 3 * time.Second
	// idleCheckInterval is the interval at which a node that relies on other
	// readers checks whether one of them still reads the store.
	idleCheckInterval = time.Second
)

// follower keeps this node up to date with the newest records of a keyed topic.
// Some nodes read the store. The others read the records from these nodes, whose
// digests state how far they have read. A node that receives no digest from a
// reader reads the store itself.
type follower struct {
	node  *Node
	topic string
	// readPause is the pause between two reads of the store, so that records that
	// arrive one by one are read together.
	readPause time.Duration
	// bound returns the time within which a record must be in force after the store has
	// acknowledged it.
	bound func() time.Duration
	// apply handles a change of a key's newest value.
	apply func(c topicview.Change)
	// wakeups receives a value when a peer has read further.
	wakeups chan struct{}
	// failures counts consecutive failed calls to the store.
	failures atomic.Int32

	// mu guards view, which is also read for peers, and confirmedAt, the last time at
	// which the store had no records beyond the view's end, as this node's own read showed.
	mu          sync.Mutex
	view        *topicview.View
	confirmedAt time.Time

	packed packedReply

	// The fields below are used only by the goroutine of run. synced is set while
	// no records are missing since the last listing of all keys.
	synced bool
	// inStep is set if other readers may begin their next read at the same time as this
	// node.
	inStep bool
	// lostAt is the time of the first of the consecutive failed calls.
	lostAt time.Time
	// calls decides about the calls that bring the view up to date.
	calls *catchup.Machine
	// listing is a listing of all keys that has not ended yet, nil if there is none.
	listing *listing
}

func newFollower(n *Node, topic string, bound func() time.Duration, version func(string, []byte) (topicview.Version, bool), apply func(topicview.Change)) *follower {
	view := topicview.New(topicview.Config{RestoreTime: restoreTime, Version: version})
	return &follower{node: n, topic: topic, bound: bound, apply: apply, wakeups: make(chan struct{}, 1), view: view, inStep: true, calls: catchup.NewMachine()}
}

func (f *follower) schedule() freshness.Schedule { return freshness.Schedule{Bound: f.bound()} }

// operatorRecordVersion and serverRecordVersion are the versions of the records of the two
// topics.
func operatorRecordVersion(key string, value []byte) (topicview.Version, bool) {
	version, ok := platform.OperatorRecordVersion(key, value)
	return topicview.Version{Major: version}, ok
}

func serverRecordVersion(_ string, value []byte) (topicview.Version, bool) {
	startedAt, sequence, ok := platform.ServerRecordVersion(value)
	return topicview.Version{Major: startedAt, Minor: sequence}, ok
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		role := f.node.members.readerRole()
		isCurrent := f.isCurrent(role)
		if isCurrent && f.node.members.mayRelyOnReaders() {
			f.recordConfirmed()
			f.node.storeReads.setReadsStore(f.topic, false)
			f.inStep = true
			f.expire()
			f.waitForWakeup(ctx, min(idleCheckInterval, f.doubtAt(role).Sub(f.node.now())))
			continue
		}
		if f.end().Era() < f.node.platform.Era() {
			f.synced = false
		}
		if _, ahead := f.peerAhead(); !f.synced && !ahead {
			if wait := f.listingWait(); wait > 0 {
				f.waitForWakeup(ctx, wait)
				continue
			}
		}
		begunAt := f.node.now()
		var err error
		if isCurrent && f.synced {
			err = f.holdRead(ctx, role)
		} else {
			err = f.catchUp(ctx, role)
		}
		switch {
		case err == nil:
			f.calls.StoreAnswered()
			if f.synced {
				f.recordSuccess(begunAt)
				f.expire()
				sleep(ctx, f.readPause)
			}
		case errors.Is(err, errReadDoubted):
			f.node.platform.DropIdleConnections()
		case errors.Is(err, platform.ErrTrimmed):
			f.node.log.Event("store", "records-gone", "topic", f.topic, "from", f.end())
			f.synced = false
		case errors.Is(err, platform.ErrOtherEra):
			f.node.log.Event("store", "other-era", "topic", f.topic, "from", f.end(), "error", err)
			f.synced = false
			sleep(ctx, f.schedule().FailurePause(1))
		case errors.IsAny(err, errPeerAhead, errRelayed, errNotNeeded):
		default:
			f.calls.StoreFailed()
			f.recordFailure(err, f.node.now().Sub(begunAt))
			f.waitForWakeup(ctx, f.schedule().FailurePause(f.calls.Failures()))
		}
	}
}

var (
	// errPeerAhead is returned by a read that was cancelled because a peer has read
	// further.
	errPeerAhead = errors.New("a peer has read further")
	// errReadDoubted is returned by a read that was cancelled because nothing has
	// confirmed for too long that there are no further records.
	errReadDoubted = errors.New("nothing confirms that there are no further records")
	// errRelayed is returned if a peer's records have brought the copy up to date, and
	// errNotNeeded if nothing has to be asked any more.
	errRelayed   = errors.New("a peer has passed the records on")
	errNotNeeded = errors.New("the copy is up to date")
	// errSilent is recorded for a call that has no answer in time, but may still get one.
	errSilent = errors.New("no answer in time")
	// errStoreBehind is returned if the store does not show the records that a peer has
	// read.
	errStoreBehind = errors.New("the store shows fewer records than a peer has read")
)

// confirmation returns the last time, known to this node, at which the store had no records
// beyond those that the node has read, and the VM whose read showed that.
func (f *follower) confirmation() gossip.Confirmation {
	f.mu.Lock()
	end, ownAt := f.view.End(), f.confirmedAt
	f.mu.Unlock()
	c := f.node.members.confirmation(f.topic, end)
	if ownAt.After(c.At) {
		return gossip.Confirmation{At: ownAt, VM: f.node.settings.VM}
	}
	return c
}

// isCurrent reports whether the copy is known to be up to date, so that nothing has to be asked.
func (f *follower) isCurrent(role freshness.Role) bool {
	_, ahead := f.peerAhead()
	return f.synced && !ahead && f.doubtAt(role).After(f.node.now())
}

// doubtAt returns the time at which this node asks the store unless it is confirmed before
// that there are no further records.
func (f *follower) doubtAt(role freshness.Role) time.Time {
	return f.confirmation().At.Add(f.schedule().DoubtAge(role))
}

// confirm records that a read of this node showed no records beyond its end at a time.
func (f *follower) confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// ownConfirmation returns the last time at which this node's own read confirmed its copy.
func (f *follower) ownConfirmation() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt
}

func (f *follower) waitForWakeup(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-f.wakeups:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *follower) recordSuccess(begunAt time.Time) {
	if failures := f.failures.Swap(0); failures > 0 {
		now := f.node.now()
		f.node.log.Event("store", "regained", "topic", f.topic, "failures", int(failures), "lost-for", now.Sub(f.lostAt), "answered-after", now.Sub(begunAt), "end", f.end())
	}
	f.node.storeReads.setReadsStore(f.topic, true)
}

// recordConfirmed records that others, on which this node relies, have confirmed the copy.
func (f *follower) recordConfirmed() {
	if failures := f.failures.Swap(0); failures > 0 {
		f.node.log.Event("store", "confirmed-by-peer", "topic", f.topic, "failures", int(failures), "lost-for", f.node.now().Sub(f.lostAt), "peer", f.confirmation().VM, "end", f.end())
	}
}

// recordFailure records a call to the store that failed after some time.
func (f *follower) recordFailure(err error, after time.Duration) {
	failures := f.failures.Add(1)
	if failures == 1 {
		f.lostAt = f.node.now()
		f.node.log.Failure("store", "lost", "topic", f.topic, "error", err)
	}
	peer, ahead := f.peerAhead()
	if !ahead {
		peer = "none"
	}
	f.node.log.Event("store", "call-failed", "topic", f.topic, "failures", int(failures), "after", after, "peer-ahead", peer, "confirmed-ago", f.node.now().Sub(f.confirmation().At), "error", err)
	f.node.storeReads.setReadsStore(f.topic, false)
	f.expireWithoutStore(ahead)
}

// isFailing reports whether the last call to the store for this topic failed, and no VM on which
// this node relies has confirmed the copy since.
func (f *follower) isFailing() bool { return f.failures.Load() > 0 }

// peerAhead returns the peer that has read furthest, and reports whether it has
// read further than this node.
func (f *follower) peerAhead() (peer string, ahead bool) {
	peer, end := f.node.members.furthestReader(f.topic)
	return peer, end > f.end()
}

func (f *follower) end() storelog.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.End()
}

// update changes the view, announces its end to peers, and applies the records that change
// what is in force.
func (f *follower) update(change func(v *topicview.View) []topicview.Change) {
	f.mu.Lock()
	before := f.view.End()
	changes := change(f.view)
	end, isRestoring := f.view.End(), f.view.IsRestoring()
	f.mu.Unlock()
	if end.Era() > before.Era() && before > 0 {
		f.node.log.Event("store", "restored", "topic", f.topic, "from", before, "end", end, "awaits-records", isRestoring)
		f.node.metrics.restorations.WithLabelValues(f.topic).Inc()
	}
	for _, c := range changes {
		f.node.contain("record", func() { f.apply(c) })
	}
	f.node.members.recordReadEnd(f.topic, end)
}

// isRestoring reports whether records that the store has lost are still awaited.
func (f *follower) isRestoring() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.IsRestoring()
}

// expireWithoutStore is expire for a node that can't read the store. A peer that does may
// have passed on all there is; otherwise the writers can't have written their records again.
func (f *follower) expireWithoutStore(isBehind bool) {
	if !isBehind && f.node.members.hasStoreReader() {
		f.expire()
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.Postpone(f.node.now())
}

// expire ends the time in which records of an earlier era are awaited, once it has passed.
func (f *follower) expire() {
	if !f.isRestoring() {
		return
	}
	f.update(func(v *topicview.View) []topicview.Change {
		changes := v.Expire(f.node.now())
		if !v.IsRestoring() {
			f.node.log.Event("store", "restoration-ended", "topic", f.topic, "end", v.End(), "changes", len(changes))
		}
		return changes
	})
}

// applyReply applies the records that a peer has returned.
func (f *follower) applyReply(reply *relayapi.RecordsReply) {
	f.update(func(v *topicview.View) []topicview.Change {
		if reply.Full {
			return v.ApplyListing(reply.Records, reply.End, f.node.now())
		}
		return v.ApplyRecords(reply.Records, reply.End)
	})
}

// recordsSince returns the newest record of each key that changed at or after the
// position from, or all keys if those are not known.
func (f *follower) recordsSince(from storelog.Position) *relayapi.RecordsReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	records, full := f.view.Since(from)
	return &relayapi.RecordsReply{Records: records, End: f.view.End(), Full: full}
}

// holdRead waits for new records at the store. It is cancelled if a peer reports more
// records in the meantime, and if nothing confirms for too long that there are none.
func (f *follower) holdRead(ctx context.Context, role freshness.Role) error {
	wait := f.schedule().HoldTime(role, f.inStep)
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	ctx, cancel := context.WithTimeout(ctx, wait+f.schedule().ReadGrace())
	defer cancel()
	go f.watchRead(ctx, cancelCause, role)
	startedAt := f.node.now()
	batch, err := f.node.platform.Read(ctx, f.topic, f.end(), wait)
	if err != nil {
		if cause := context.Cause(ctx); errors.IsAny(cause, errPeerAhead, errReadDoubted) {
			f.node.log.Event("store", "read-left", "topic", f.topic, "cause", cause, "after", f.node.now().Sub(startedAt), "confirmed-ago", f.node.now().Sub(f.confirmation().At))
			f.node.metrics.readsLeft.WithLabelValues(f.topic, readLeftCause(cause)).Inc()
			return cause
		}
		return err
	}
	f.applyBatch(&batch)
	f.inStep = len(batch.Records) > 0
	answeredAt := f.node.now()
	switch {
	case !batch.IsLast:
	case f.inStep || answeredAt.Sub(startedAt) >= wait:
		f.confirm(answeredAt)
	default:
		f.confirm(startedAt)
	}
	return nil
}

func readLeftCause(cause error) string {
	if errors.Is(cause, errPeerAhead) {
		return "peer-ahead"
	}
	return "doubted"
}

// watchRead cancels a held read with its cause, until ctx ends.
func (f *follower) watchRead(ctx context.Context, cancel context.CancelCauseFunc, role freshness.Role) {
	doubt := time.NewTimer(f.doubtAt(role).Sub(f.node.now()))
	defer doubt.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wakeups:
			sleep(ctx, f.schedule().WakeupGrace())
			if _, ahead := f.peerAhead(); ahead {
				cancel(errPeerAhead)
				return
			}
		case <-doubt.C:
			left := f.doubtAt(role).Sub(f.node.now())
			if left <= 0 {
				cancel(errReadDoubted)
				return
			}
			doubt.Reset(left)
		}
	}
}

// applyBatch applies the records of a read.
func (f *follower) applyBatch(batch *platform.Batch) {
	records := make([]topicview.Record, 0, len(batch.Records))
	for i, record := range batch.Records {
		at := batch.First + storelog.Position(i)
		key, value, err := platform.DecodeKeyed(record)
		if err != nil {
			f.node.log.Failure("store", "unreadable-record", "topic", f.topic, "offset", at, "error", err)
			f.node.metrics.undecodableRecords.WithLabelValues(f.topic).Inc()
			continue
		}
		records = append(records, topicview.Record{Key: key, Value: value, Position: at})
	}
	f.update(func(v *topicview.View) []topicview.Change { return v.ApplyRecords(records, batch.End()) })
}

// wakeFollowers wakes the followers of topics in which the sender of d has read
// further.
func (n *Node) wakeFollowers(d *gossip.Digest) {
	if d.DocumentEnd > n.operatorFollower.end() {
		n.operatorFollower.wake()
	}
	if d.ServersEnd > n.serverFollower.end() {
		n.serverFollower.wake()
	}
}

func (f *follower) wake() {
	select {
	case f.wakeups <- struct{}{}:
	default:
	}
}

// Records handles a peer's call for the records that this node has read.
func (n *Node) Records(_ context.Context, in *relayapi.RecordsRequest) (*relayapi.RecordsReply, error) {
	switch in.Topic {
	case platform.OperatorTopic:
		return n.operatorFollower.reply(in)
	case platform.ServersTopic:
		return n.serverFollower.reply(in)
	}
	return nil, errors.Newf("topic %q is not relayed", in.Topic)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
