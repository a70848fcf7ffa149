package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/topicview"
	"coltsfootpath.example/coltsfootpath/internal/protocol/relayapi"
	"coltsfootpath.example/coltsfootpath/internal/state/storelog"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// maxListingAge bounds the age of a listing whose next page is read. The store retains
	// the records since its first page for a limited time.
	maxListingAge = 10 * time.Second
	// partialListingAge is the age of a listing from which on its pages are in force before
	// the last one was read.
	partialListingAge = time.Second
	// minPackedRecords is the number of records from which on a reply to a peer is packed.
	minPackedRecords = 16
)

// listing is a listing of all keys of a topic that continues after failed calls.
type listing struct {
	*platform.Listing
	startedAt time.Time
	// applied is the number of items that are in force already.
	applied int
}

// listingWait returns the time for which a node that has no records yet waits for a peer
// that has, before it lists them from the store.
func (f *follower) listingWait() time.Duration {
	if f.end() > 0 {
		return 0
	}
	now := f.node.now()
	at, known := f.node.members.listingTime(now)
	if !known {
		return min(at.Sub(now), listingPoll)
	}
	return at.Sub(now)
}

// listingPoll is the interval at which a node checks whether it knows the other VMs.
const listingPoll = 10 * time.Millisecond

// listingFetch returns the function that makes the next call of a listing of all keys, at the
// start and after a gap. If a call fails, the next one takes its place.
func (f *follower) listingFetch() fetch {
	now := f.node.now()
	if l := f.listing; l != nil && now.Sub(l.startedAt) > maxListingAge {
		f.node.log.Event("store", "listing-dropped", "topic", f.topic, "items", len(l.Items()), "after", now.Sub(l.startedAt))
		f.listing = nil
	}
	if f.listing == nil {
		f.listing = &listing{Listing: f.node.platform.NewListing(f.topic), startedAt: now}
	}
	l := f.listing
	if l.IsComplete() {
		end, _ := l.End()
		from := listedEnd(l.Items(), end)
		return func(ctx context.Context) (func() error, error) {
			from, rest, err := f.readRest(ctx, from, end)
			return func() error { f.finishListing(l, from, &rest); return nil }, err
		}
	}
	readPage := l.NextPage()
	return func(ctx context.Context) (func() error, error) {
		page, err := readPage(ctx)
		return func() error { return f.addPage(l, page) }, err
	}
}

// addPage adds a page to a listing, which is put in force if nothing else is to be read.
func (f *follower) addPage(l *listing, page *platform.Page) error {
	if err := l.Add(page); err != nil {
		return err
	}
	end, _ := l.End()
	if !l.IsComplete() {
		if f.node.now().Sub(l.startedAt) >= partialListingAge {
			f.update(func(v *topicview.View) []topicview.Change { return v.ApplyPage(topicRecords(l.Items()[l.applied:])) })
			l.applied = len(l.Items())
		}
	} else if from := listedEnd(l.Items(), end); from >= end {
		f.finishListing(l, from, &platform.Batch{})
	}
	return nil
}

// finishListing puts a complete listing in force. The partition's end may count records that
// the items lack: deletions, which are not listed, and records that the store did not show
// yet. They were read from the log, from a position on.
func (f *follower) finishListing(l *listing, from storelog.Position, rest *platform.Batch) {
	f.listing = nil
	f.update(func(v *topicview.View) []topicview.Change {
		return v.ApplyListing(topicRecords(l.Items()), from, f.node.now())
	})
	if len(rest.Records) > 0 {
		f.applyBatch(rest)
	}
	if end, _ := l.End(); f.end() >= end {
		f.confirm(l.startedAt)
	}
	f.inStep, f.synced = true, true
}

// readRest reads the log from a position before a listing's end on. It returns the position
// from which on it has read: what the store no longer retains is old enough to be listed.
func (f *follower) readRest(ctx context.Context, from, end storelog.Position) (storelog.Position, platform.Batch, error) {
	batch, err := f.node.platform.Read(ctx, f.topic, from, 0)
	var trimmed *platform.TrimmedError
	if !errors.As(err, &trimmed) {
		return from, batch, err
	}
	if trimmed.First >= end || trimmed.First <= from {
		return end, platform.Batch{}, nil
	}
	batch, err = f.node.platform.Read(ctx, f.topic, trimmed.First, 0)
	return trimmed.First, batch, err
}

// listedEnd returns the position after the last listed record, at most end.
func listedEnd(items []platform.Item, end storelog.Position) storelog.Position {
	last := storelog.At(end.Era(), 0)
	for _, it := range items {
		last = max(last, it.Position+1)
	}
	return min(last, end)
}

func topicRecords(items []platform.Item) []topicview.Record {
	records := make([]topicview.Record, 0, len(items))
	for _, it := range items {
		records = append(records, topicview.Record{Key: it.Key, Value: it.Value, Position: it.Position})
	}
	return records
}

// packedReply is the last reply to a node that had no records yet. Many nodes that start
// together ask for it. Its lock is taken before that of the follower.
type packedReply struct {
	mu       sync.Mutex
	reply    *relayapi.RecordsReply
	packedAt time.Time
}

// maxPackedAge is the age up to which a packed reply is given although there are newer
// records, which the node asks for next.
const maxPackedAge = time.Second

// reply returns the reply to a peer's call for records.
func (f *follower) reply(in *relayapi.RecordsRequest) (*relayapi.RecordsReply, error) {
	if !in.TakesPacked || in.From > 0 {
		return f.recordsSince(in.From), nil
	}
	p := &f.packed
	p.mu.Lock()
	defer p.mu.Unlock()
	now, end := f.node.now(), f.end()
	if p.reply != nil && (p.reply.End == end || p.reply.End.Era() == end.Era() && now.Sub(p.packedAt) < maxPackedAge) {
		return p.reply, nil
	}
	out := f.recordsSince(0)
	if len(out.Records) < minPackedRecords {
		return out, nil
	}
	packed, err := relayapi.PackRecords(out.Records)
	if err != nil {
		return nil, err
	}
	out.Records, out.Packed = nil, packed
	p.reply, p.packedAt = out, now
	return out, nil
}
