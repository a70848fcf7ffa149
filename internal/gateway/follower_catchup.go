package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/catchup"
	"coltsfootpath.example/coltsfootpath/internal/coordination/freshness"
	"coltsfootpath.example/coltsfootpath/internal/protocol/relayapi"
	"coltsfootpath.example/coltsfootpath/platform"
)

// maxRelayPeers is the number of peers that are asked in turn for records that they have read.
const maxRelayPeers = 3

// catchUp asks the store, and peers that have read further, until an answer has brought the
// copy up to date or, while all keys are listed, the store has answered once.
func (f *follower) catchUp(ctx context.Context, role freshness.Role) error {
	r := round{
		node:     f.node,
		machine:  f.calls,
		schedule: f.schedule(),
		input: func() (catchup.Input, bool) {
			in := catchup.Input{Peers: f.node.members.readersBeyond(f.topic, f.end(), maxRelayPeers), HasNoCopy: f.end() == 0}
			wait := time.Duration(0)
			if !f.synced {
				wait = max(f.listingWait(), 0)
			}
			in.StoreAt = f.node.now().Add(wait)
			return in, !f.isCurrent(role) && (wait == 0 || len(in.Peers) > 0)
		},
		fetch: func(c catchup.Call) fetch {
			switch {
			case c.Peer != "":
				return f.relayFetch(c.Peer)
			case f.synced:
				return f.checkFetch()
			}
			return f.listingFetch()
		},
		failed: func(end *callEnd) error {
			if end.call.Peer != "" {
				f.node.log.Failure("store", "relay-failed", "topic", f.topic, "peer", end.call.Peer, "after", end.after, "error", end.err)
				return nil
			}
			if errors.IsAny(end.err, platform.ErrReplyTooLong, platform.ErrOtherEra) {
				f.listing = nil
			}
			if errors.IsAny(end.err, platform.ErrTrimmed, platform.ErrOtherEra) {
				return end.err
			}
			f.recordFailure(end.err, end.after)
			return nil
		},
		silent:  func() { f.recordFailure(errSilent, f.schedule().RepeatAfter(0)) },
		wakeups: f.wakeups,
	}
	answered, err := r.run(ctx)
	if err == nil && answered.Peer != "" {
		return errRelayed
	}
	return err
}

// checkFetch returns the function that asks the store for new records, without waiting for any.
func (f *follower) checkFetch() fetch {
	startedAt, from := f.node.now(), f.end()
	_, isBehind := f.peerAhead()
	return func(ctx context.Context) (func() error, error) {
		batch, err := f.node.platform.Read(ctx, f.topic, from, 0)
		return func() error {
			f.applyBatch(&batch)
			if isBehind && batch.End() == from {
				return errStoreBehind
			}
			f.inStep = true
			if batch.IsLast {
				f.confirm(startedAt)
				f.node.members.sendEarly()
			}
			return nil
		}, err
	}
}

// relayFetch returns the function that asks a peer for the records that it has read.
func (f *follower) relayFetch(peer string) fetch {
	from := f.end()
	return func(ctx context.Context) (func() error, error) {
		reply, err := relayapi.FetchRecords(ctx, f.node.peerPool.Conn(ctx, peer), &relayapi.RecordsRequest{Topic: f.topic, From: from, TakesPacked: true})
		return func() error {
			f.applyReply(reply)
			f.listing = nil
			f.expire()
			f.node.log.Event("store", "relayed", "topic", f.topic, "peer", peer, "records", len(reply.Records), "full", reply.Full, "from", from, "end", reply.End)
			f.synced = f.end().Era() == reply.End.Era()
			if reply.End <= from {
				return errors.Newf("peer has read up to %v only", reply.End)
			}
			return nil
		}, err
	}
}
