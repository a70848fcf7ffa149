package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/coordination/topicview"
	"coltsfootpath.example/coltsfootpath/internal/protocol/relayapi"
	"coltsfootpath.example/coltsfootpath/internal/state/storelog"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// readWait bounds the time for which the store holds a read open until there
	// is a record. A dead connection is detected after readWait + readGrace.
	readWait  = 2500 * time.Millisecond
	readGrace = 700 * time.Millisecond
	// newestTimeout bounds a read of the newest record of every key.
	newestTimeout = 2 * time.Second
	// peerAheadGrace is the time after which a read is cancelled if a peer has
	// reported more records. The store sends records to all its readers at the
	// same time.
	peerAheadGrace = 400 * time.Millisecond
	// storeBackoff is the initial pause after a failed call, doubled up to
	// maxStoreBackoff. The store counts rejected calls too.
	storeBackoff    = 150 * time.Millisecond
	maxStoreBackoff = 600 * time.Millisecond
	// relayTimeout bounds a call to a peer that has read further. A large document
	// takes longer if many nodes read it from a peer with a slow link.
	relayTimeout = 300 * time.Millisecond
	// relayTimeoutStoreDown replaces relayTimeout while the store can't be read.
	relayTimeoutStoreDown = 2500 * time.Millisecond
	// relayBackoff is the time for which a node reads only the store after a
	// failed call to a peer.
	relayBackoff = 1500 * time.Millisecond
	// restoreTime is the time, from the first listing after the store came back from a
	// copy, in which the operator and the servers write again what the copy lacks. What
	// is missing then is gone.
	restoreTime = 3 * time.Second
	// idleCheckInterval is the interval at which a node that relies on other
	// readers checks whether one of them still reads the store.
	idleCheckInterval = 300 * time.Millisecond
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
	// apply handles a change of a key's newest value.
	apply func(c topicview.Change)
	// wakeups receives a value when a peer has read further.
	wakeups chan struct{}
	// failures counts consecutive failed calls to the store.
	failures atomic.Int32

	// mu guards view, which is also read for peers.
	mu   sync.Mutex
	view *topicview.View

	// The fields below are used only by the goroutine of run. synced is set while
	// no records are missing since the last listing of all keys.
	synced bool
	// nextRelayAt is the earliest time of the next call to a peer.
	nextRelayAt time.Time
}

func newFollower(n *Node, topic string, pause time.Duration, version func(string, []byte) (topicview.Version, bool), apply func(topicview.Change)) *follower {
	view := topicview.New(topicview.Config{RestoreTime: restoreTime, Version: version})
	return &follower{node: n, topic: topic, readPause: pause, apply: apply, wakeups: make(chan struct{}, 1), view: view}
}

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
		peer, ahead := f.peerAhead()
		if ahead && !f.node.now().Before(f.nextRelayAt) {
			if f.readFromPeer(ctx, peer) {
				continue
			}
			f.nextRelayAt = f.node.now().Add(relayBackoff)
		}
		if f.synced && !ahead && f.node.members.mayRelyOnReaders() {
			f.node.storeReads.recordRead(f.topic, f.node.now())
			f.node.storeReads.setReadsStore(f.topic, false)
			f.expire()
			f.waitForWakeup(ctx, idleCheckInterval)
			continue
		}
		if f.end().Era() < f.node.platform.Era() {
			f.synced = false
		}
		var err error
		if f.synced {
			err = f.readStore(ctx)
		} else {
			err = f.readAll(ctx)
		}
		switch {
		case err == nil:
			f.synced = true
			f.recordSuccess()
			f.expire()
			sleep(ctx, f.readPause)
		case errors.Is(err, platform.ErrTrimmed):
			f.node.log.Event("store", "records-gone", "topic", f.topic, "from", f.end())
			f.synced = false
		case errors.Is(err, platform.ErrOtherEra):
			f.node.log.Event("store", "other-era", "topic", f.topic, "from", f.end(), "error", err)
			f.synced = false
			sleep(ctx, storeBackoff)
		case errors.Is(err, errPeerAhead):
		default:
			f.recordFailure(err)
			f.expireWithoutStore(ahead)
			f.waitForWakeup(ctx, min(storeBackoff<<min(f.failures.Load(), 4), maxStoreBackoff))
		}
	}
}

// errPeerAhead is returned by a read that was cancelled because a peer has read
// further.
var errPeerAhead = errors.New("a peer has read further")

func (f *follower) waitForWakeup(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-f.wakeups:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *follower) recordSuccess() {
	if failures := f.failures.Swap(0); failures > 0 {
		f.node.log.Event("store", "regained", "topic", f.topic, "failures", int(failures))
	}
	f.node.storeReads.recordRead(f.topic, f.node.now())
	f.node.storeReads.setReadsStore(f.topic, true)
}

func (f *follower) recordFailure(err error) {
	if f.failures.Add(1) == 1 {
		f.node.log.Failure("store", "lost", "topic", f.topic, "error", err)
	}
	f.nextRelayAt = time.Time{}
	f.node.storeReads.setReadsStore(f.topic, false)
}

// isFailing reports whether the last call to the store for this topic failed.
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
		f.apply(c)
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

// readFromPeer reads records from a peer, and reports whether that advanced this
// node's end offset.
func (f *follower) readFromPeer(ctx context.Context, address string) bool {
	from := f.end()
	timeout := relayTimeout
	if f.isFailing() {
		timeout = relayTimeoutStoreDown
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := relayapi.FetchRecords(ctx, f.node.peerPool.Conn(ctx, address), &relayapi.RecordsRequest{Topic: f.topic, From: from})
	if err != nil {
		f.node.log.Failure("store", "relay-failed", "topic", f.topic, "peer", address, "error", err)
		return false
	}
	f.applyReply(reply)
	f.expire()
	f.node.log.Event("store", "relayed", "topic", f.topic, "peer", address, "records", len(reply.Records), "full", reply.Full, "from", from, "end", reply.End)
	f.synced = f.end().Era() == reply.End.Era()
	f.node.storeReads.recordRead(f.topic, f.node.now())
	return reply.End > from
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

// readAll reads the newest record of each key, at the start and after a gap.
func (f *follower) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	items, end, err := f.listNewest(ctx)
	if err != nil {
		return err
	}
	records := make([]topicview.Record, 0, len(items))
	for _, it := range items {
		records = append(records, topicview.Record{Key: it.Key, Value: it.Value, Position: it.Position})
	}
	f.update(func(v *topicview.View) []topicview.Change { return v.ApplyListing(records, end, f.node.now()) })
	return nil
}

// listNewest returns the newest record of each key, and an end offset before
// which no record is missing. The store's end offset may already count a record
// that the returned items lack; the items are then read again.
func (f *follower) listNewest(ctx context.Context) ([]platform.Item, storelog.Position, error) {
	items, end, err := f.node.platform.ListNewest(ctx, f.topic)
	if err != nil {
		return nil, 0, err
	}
	for _, it := range items {
		if it.Position+1 >= end {
			return items, end, nil
		}
	}
	if end.Offset() == 0 {
		return items, end, nil
	}
	items, again, err := f.node.platform.ListNewest(ctx, f.topic)
	if err == nil && again.Era() != end.Era() {
		end = again
	}
	return items, end, err
}

// readStore waits for new records at the store. It is cancelled if a peer reports
// more records in the meantime.
func (f *follower) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readWait+readGrace)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	interrupted := make(chan struct{})
	wakeups := f.wakeups
	if f.node.now().Before(f.nextRelayAt) {
		// The last call to a peer failed recently, so a wakeup must not cancel
		// the read of the store.
		wakeups = nil
	}
	go func() {
		select {
		case <-wakeups:
		case <-done:
			return
		}
		select {
		case <-time.After(peerAheadGrace):
			close(interrupted)
			cancel()
		case <-done:
		}
	}()
	batch, err := f.node.platform.Read(ctx, f.topic, f.end(), readWait)
	if err != nil {
		select {
		case <-interrupted:
			return errPeerAhead
		default:
			return err
		}
	}
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
	return nil
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
		return n.operatorFollower.recordsSince(in.From), nil
	case platform.ServersTopic:
		return n.serverFollower.recordsSince(in.From), nil
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
