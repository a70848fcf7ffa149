package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/protocol/relayapi"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// readWait is how long a read waits at the store for a record. A connection
	// that has gone silent is noticed after readWait + readGrace.
	readWait  = 2500 * time.Millisecond
	readGrace = 700 * time.Millisecond
	// newestTimeout bounds a read of all keys.
	newestTimeout = 2 * time.Second
	// nudgeGrace is how long a read goes on after a peer has told of more: the
	// store tells all its readers at the same time.
	nudgeGrace = 400 * time.Millisecond
	// followBackoff is the pause after a failed call; the store counts refused
	// calls too.
	followBackoff    = 150 * time.Millisecond
	followBackoffMax = 600 * time.Millisecond
	// relayTimeout bounds a call to a peer that has read further. A large document
	// takes longer where many ask a peer with a thin link.
	relayTimeout = 300 * time.Millisecond
	// relayPatience bounds it while the store can't be read.
	relayPatience = 2500 * time.Millisecond
	// relayPause is how long a VM reads the store itself after a call to a peer
	// has failed.
	relayPause = 1500 * time.Millisecond
	// idleLook is how often a VM that leaves reading to others looks whether it
	// still may.
	idleLook = 300 * time.Millisecond
)

// follower keeps this VM up to date with the newest records of a keyed topic.
// Some VMs read the store; the others are told how far these are, and get the
// records from them. A VM that hears of no reader reads the store itself.
type follower struct {
	node  *Node
	topic string
	// pause is kept between two reads of the store, so that records which come one
	// by one are read together.
	pause time.Duration
	// apply takes a key's newest value, nil where the key is dropped.
	apply func(key string, value []byte, offset uint64)
	// nudge is signalled when a peer has read further.
	nudge chan struct{}
	// failing counts the calls to the store in a row that failed.
	failing atomic.Int32

	// mu guards what peers ask for.
	mu      sync.Mutex
	records map[string]relayapi.Record
	from    uint64
	// base is where this VM began to read every record.
	base uint64

	// The fields below are used by the loop alone.
	fresh bool
	// relayFrom is when peers are asked again.
	relayFrom time.Time
}

func newFollower(n *Node, topic string, pause time.Duration, apply func(string, []byte, uint64)) *follower {
	return &follower{node: n, topic: topic, pause: pause, apply: apply, nudge: make(chan struct{}, 1), records: map[string]relayapi.Record{}}
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		peer, behind := f.behind()
		if behind && !f.node.now().Before(f.relayFrom) {
			if f.fromPeer(ctx, peer) {
				continue
			}
			f.relayFrom = f.node.now().Add(relayPause)
		}
		if f.fresh && !behind && f.node.members.mayLeaveReading() {
			f.node.contact.touch(f.topic, f.node.now())
			f.node.contact.set(f.topic, false)
			f.await(ctx, idleLook)
			continue
		}
		var err error
		if f.fresh {
			err = f.read(ctx)
		} else {
			err = f.restart(ctx)
		}
		switch {
		case err == nil:
			f.fresh = true
			f.reached()
			sleep(ctx, f.pause)
		case errors.Is(err, platform.ErrGone):
			f.node.log.Event("store", "records-gone", "topic", f.topic, "from", f.end())
			f.fresh = false
		case errors.Is(err, errNudged):
		default:
			f.failed(err)
			f.await(ctx, min(followBackoff<<min(f.failing.Load(), 4), followBackoffMax))
		}
	}
}

// errNudged ends a read because a peer has read further.
var errNudged = errors.New("a peer has read further")

func (f *follower) await(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-f.nudge:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *follower) reached() {
	if failures := f.failing.Swap(0); failures > 0 {
		f.node.log.Event("store", "regained", "topic", f.topic, "failures", int(failures))
	}
	f.node.contact.touch(f.topic, f.node.now())
	f.node.contact.set(f.topic, true)
}

func (f *follower) failed(err error) {
	if f.failing.Add(1) == 1 {
		f.node.log.Failure("store", "lost", "topic", f.topic, "error", err)
	}
	f.relayFrom = time.Time{}
	f.node.contact.set(f.topic, false)
}

// isAway tells whether this VM can't read the topic at the store.
func (f *follower) isAway() bool { return f.failing.Load() > 0 }

// behind tells whether a peer has read further, and which one.
func (f *follower) behind() (peer string, behind bool) {
	peer, end := f.node.members.furthest(f.topic)
	return peer, end > f.end()
}

func (f *follower) end() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.from
}

func (f *follower) setEnd(end uint64) {
	f.mu.Lock()
	f.from = max(f.from, end)
	end = f.from
	f.mu.Unlock()
	f.node.members.hasRead(f.topic, end)
}

// fromPeer gets the records from a peer that has read further.
func (f *follower) fromPeer(ctx context.Context, address string) bool {
	from := f.end()
	timeout := relayTimeout
	if f.isAway() {
		timeout = relayPatience
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := relayapi.Records(ctx, f.node.pool.Conn(ctx, address), &relayapi.RecordsRequest{Topic: f.topic, From: from})
	if err != nil {
		f.node.log.Failure("store", "relay-failed", "topic", f.topic, "peer", address, "error", err)
		return false
	}
	f.takeReply(reply)
	f.node.log.Event("store", "relayed", "topic", f.topic, "peer", address, "records", len(reply.Records), "full", reply.Full, "from", from, "end", reply.End)
	f.setEnd(reply.End)
	f.fresh = true
	f.node.contact.touch(f.topic, f.node.now())
	return reply.End > from
}

// takeReply applies what a peer has told.
func (f *follower) takeReply(reply *relayapi.RecordsReply) {
	if reply.Full {
		f.takeAll(reply.Records, reply.End)
		return
	}
	for _, r := range reply.Records {
		f.take(r)
	}
}

// takeAll applies all keys that there are at an offset.
func (f *follower) takeAll(records []relayapi.Record, end uint64) {
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
		f.take(r)
	}
	for _, r := range f.dropped(present, end) {
		f.take(r)
	}
	f.mu.Lock()
	f.base = max(f.base, end)
	f.mu.Unlock()
}

// since returns the newest record of each key that changed from an offset on,
// or all keys where this VM has not read every record since then.
func (f *follower) since(from uint64) *relayapi.RecordsReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := &relayapi.RecordsReply{End: f.from, Full: from < f.base}
	for _, r := range f.records {
		if reply.Full && len(r.Value) > 0 || !reply.Full && r.Offset >= from {
			reply.Records = append(reply.Records, r)
		}
	}
	return reply
}

// restart reads the newest record of each key, at the start and after a gap.
func (f *follower) restart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	items, end, err := f.newest(ctx)
	if err != nil {
		return err
	}
	records := make([]relayapi.Record, 0, len(items))
	for _, it := range items {
		records = append(records, relayapi.Record{Key: it.Key, Value: it.Value, Offset: it.Offset})
	}
	f.takeAll(records, end)
	f.setEnd(end)
	return nil
}

// newest returns the newest record of each key, and an offset before which none
// is missing. The store may count a record in the end that it tells while the
// items beside it are older; then the items are read again.
func (f *follower) newest(ctx context.Context) ([]platform.Item, uint64, error) {
	items, end, err := f.node.platform.Newest(ctx, f.topic)
	if err != nil {
		return nil, 0, err
	}
	for _, it := range items {
		if it.Offset+1 >= end {
			return items, end, nil
		}
	}
	if end == 0 {
		return items, end, nil
	}
	items, _, err = f.node.platform.Newest(ctx, f.topic)
	return items, end, err
}

// dropped returns the end of each key that is no longer there, as of an offset.
func (f *follower) dropped(present map[string]bool, end uint64) []relayapi.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []relayapi.Record
	for key, r := range f.records {
		if !present[key] && len(r.Value) > 0 && r.Offset+1 < end {
			out = append(out, relayapi.Record{Key: key, Offset: end - 1})
		}
	}
	return out
}

// read waits at the store for records, until a peer has read further.
func (f *follower) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readWait+readGrace)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	nudged := make(chan struct{})
	nudge := f.nudge
	if f.node.now().Before(f.relayFrom) {
		// A peer was asked already and has not answered.
		nudge = nil
	}
	go func() {
		select {
		case <-nudge:
		case <-done:
			return
		}
		select {
		case <-time.After(nudgeGrace):
			close(nudged)
			cancel()
		case <-done:
		}
	}()
	batch, err := f.node.platform.Read(ctx, f.topic, f.end(), readWait)
	if err != nil {
		select {
		case <-nudged:
			return errNudged
		default:
			return err
		}
	}
	for i, record := range batch.Records {
		offset := batch.First + uint64(i)
		key, value, err := platform.DecodeKeyed(record)
		if err != nil {
			f.node.log.Failure("store", "unreadable-record", "topic", f.topic, "offset", offset, "error", err)
			f.node.metrics.unreadable.WithLabelValues(f.topic).Inc()
			continue
		}
		f.take(relayapi.Record{Key: key, Value: value, Offset: offset})
	}
	f.setEnd(batch.First + uint64(len(batch.Records)))
	return nil
}

// take applies a record unless a newer one of its key has been applied.
func (f *follower) take(r relayapi.Record) {
	f.mu.Lock()
	last, known := f.records[r.Key]
	if known && r.Offset <= last.Offset {
		f.mu.Unlock()
		return
	}
	f.records[r.Key] = r
	f.mu.Unlock()
	switch {
	case len(r.Value) > 0:
		f.apply(r.Key, r.Value, r.Offset)
	case known && len(last.Value) > 0:
		f.apply(r.Key, nil, r.Offset)
	}
}

// nudge wakes the followers whose peer has read further than they have.
func (n *Node) nudge(d *gossip.Digest) {
	if d.DocumentEnd > n.operator.end() {
		n.operator.wake()
	}
	if d.ServersEnd > n.servers.end() {
		n.servers.wake()
	}
}

func (f *follower) wake() {
	select {
	case f.nudge <- struct{}{}:
	default:
	}
}

// Records answers a peer that asks for what this VM has read.
func (n *Node) Records(_ context.Context, in *relayapi.RecordsRequest) (*relayapi.RecordsReply, error) {
	switch in.Topic {
	case platform.OperatorTopic:
		return n.operator.since(in.From), nil
	case platform.ServersTopic:
		return n.servers.since(in.From), nil
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
