package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// readWait is how long a read waits at the store for a record. A connection
	// that has gone silent is noticed after readWait + readGrace.
	readWait  = 2500 * time.Millisecond
	readGrace = 700 * time.Millisecond
	// newestTimeout bounds a read of all keys.
	newestTimeout = 2 * time.Second
	// followBackoff is the pause after a failed call; the store counts refused
	// calls too.
	followBackoff    = 150 * time.Millisecond
	followBackoffMax = 600 * time.Millisecond
)

// follower keeps this VM up to date with the newest records of a keyed topic.
type follower struct {
	node  *Node
	topic string
	// pause is kept between two reads, so that records which come one by one
	// are read together.
	pause time.Duration
	// apply takes a key's newest value, nil where the key is dropped.
	apply func(key string, value []byte, offset uint64)

	offsets map[string]uint64
	from    uint64
	failing int
}

func (f *follower) run(ctx context.Context) {
	f.offsets = map[string]uint64{}
	fresh := false
	for ctx.Err() == nil {
		var err error
		if fresh {
			err = f.read(ctx)
		} else {
			err = f.restart(ctx)
		}
		switch {
		case err == nil:
			fresh = true
			f.reached()
			sleep(ctx, f.pause)
		case errors.Is(err, platform.ErrGone):
			f.node.log.Event("store", "records-gone", "topic", f.topic, "from", f.from)
			fresh = false
		default:
			f.failed(err)
			sleep(ctx, min(followBackoff<<min(f.failing, 4), followBackoffMax))
		}
	}
}

func (f *follower) reached() {
	if f.failing > 0 {
		f.node.log.Event("store", "regained", "topic", f.topic, "failures", f.failing)
	}
	f.failing = 0
	f.node.contact.touch(f.topic, f.node.now())
}

func (f *follower) failed(err error) {
	if f.failing == 0 {
		f.node.log.Failure("store", "lost", "topic", f.topic, "error", err)
	}
	f.failing++
}

// restart reads the newest record of each key, at the start and after a gap.
func (f *follower) restart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	items, end, err := f.node.platform.Newest(ctx, f.topic)
	if err != nil {
		return err
	}
	present := make(map[string]bool, len(items))
	for _, it := range items {
		present[it.Key] = true
		f.take(it.Key, it.Value, it.Offset)
	}
	for key, offset := range f.offsets {
		if !present[key] && offset < end {
			f.drop(key, end)
		}
	}
	f.from = max(f.from, end)
	return nil
}

func (f *follower) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readWait+readGrace)
	defer cancel()
	batch, err := f.node.platform.Read(ctx, f.topic, f.from, readWait)
	if err != nil {
		return err
	}
	for i, record := range batch.Records {
		offset := batch.First + uint64(i)
		key, value, err := platform.DecodeKeyed(record)
		if err != nil {
			f.node.log.Failure("store", "unreadable-record", "topic", f.topic, "offset", offset, "error", err)
			f.node.metrics.unreadable.WithLabelValues(f.topic).Inc()
			continue
		}
		if len(value) == 0 {
			f.drop(key, offset)
			continue
		}
		f.take(key, value, offset)
	}
	f.from = batch.First + uint64(len(batch.Records))
	return nil
}

// take applies a record unless a newer one of its key has been applied.
func (f *follower) take(key string, value []byte, offset uint64) {
	if last, ok := f.offsets[key]; ok && offset <= last {
		return
	}
	f.offsets[key] = offset
	f.apply(key, value, offset)
}

func (f *follower) drop(key string, offset uint64) {
	last, ok := f.offsets[key]
	if !ok || offset <= last {
		return
	}
	delete(f.offsets, key)
	f.apply(key, nil, offset)
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
