// Package tail follows a stream of the platform's log and hands each record,
// in order and once, to an applier.
package tail

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
)

const (
	// readWait bounds the wait of a read for new records.
	readWait = 2 * time.Second
	// retryInterval is the wait after a failed read.
	retryInterval = 100 * time.Millisecond
)

// Applier applies the records of one stream.
type Applier interface {
	// Apply applies the record at offset.
	Apply(offset uint64, data []byte)
	// Trimmed is called if the log no longer has the next record to read. earliest
	// is the offset of the earliest record in the log. Trimmed returns the offset
	// to continue from.
	Trimmed(earliest uint64) (next uint64)
}

// Resumer is an Applier that may continue at an offset other than the one after
// the last record read, because it has adopted a complete state.
type Resumer interface {
	// Resume is called after each read, from the goroutine that calls Apply.
	// It returns the offset to read next. failed reports whether the read failed.
	Resume(ctx context.Context, next uint64, failed bool) uint64
}

// Follower follows one stream.
type Follower struct {
	log     ports.Log
	stream  string
	applier Applier
	clock   ports.Clock

	mu   sync.Mutex
	next uint64
	// advanced is closed and replaced whenever next changes or a read succeeds.
	advanced chan struct{}
	readAt   time.Time
	// atHead is true once the end of the stream has been reached.
	atHead bool
}

// NewFollower returns a follower that starts at offset next.
func NewFollower(log ports.Log, clock ports.Clock, stream string, next uint64, applier Applier) *Follower {
	return &Follower{log: log, clock: clock, stream: stream, applier: applier, next: next, advanced: make(chan struct{})}
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		f.resume(ctx, err != nil)
		if err == nil {
			failing = false
			continue
		}
		if !failing && ctx.Err() == nil {
			klog.Warningf("tail: read failed stream=%s next=%d err=%q", f.stream, f.Next(), err)
		}
		failing = true
		select {
		case <-f.clock.After(retryInterval):
		case <-ctx.Done():
		}
	}
}

// resume moves the follower to the offset that the applier returns if it is a
// Resumer.
func (f *Follower) resume(ctx context.Context, failed bool) {
	r, ok := f.applier.(Resumer)
	if !ok {
		return
	}
	next := r.Resume(ctx, f.Next(), failed)
	f.mu.Lock()
	defer f.mu.Unlock()
	if next == f.next {
		return
	}
	f.next = next
	close(f.advanced)
	f.advanced = make(chan struct{})
}

// readOnce reads and applies the next batch of records.
func (f *Follower) readOnce(ctx context.Context) error {
	from := f.Next()
	batch, err := f.log.Read(ctx, f.stream, from, readWait)
	var trimmed *ports.TrimmedError
	if errors.As(err, &trimmed) {
		klog.Warningf("tail: log is trimmed stream=%s wanted=%d earliest=%d", f.stream, from, trimmed.Earliest)
		f.advance(max(f.applier.Trimmed(trimmed.Earliest), trimmed.Earliest), false)
		return nil
	}
	if err != nil {
		return err
	}
	for _, r := range batch.Records {
		if r.Offset < from {
			continue
		}
		f.applier.Apply(r.Offset, r.Data)
	}
	f.advance(max(batch.Next, from), len(batch.Records) == 0)
	return nil
}

// advance records a successful read after which next is the offset to read.
func (f *Follower) advance(next uint64, atHead bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = next
	f.readAt = f.clock.Now()
	f.atHead = f.atHead || atHead
	close(f.advanced)
	f.advanced = make(chan struct{})
}

// Next returns the first offset not yet applied.
func (f *Follower) Next() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// ReadAt returns the time of the last successful read.
func (f *Follower) ReadAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readAt
}

// CaughtUp reports whether the end of the stream has been reached at least once.
func (f *Follower) CaughtUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.atHead
}

// WaitFor waits until the record at offset has been applied.
func (f *Follower) WaitFor(ctx context.Context, offset uint64) error {
	return f.waitUntil(ctx, func() bool { return f.next > offset })
}

// WaitCaughtUp waits until the end of the stream has been reached at least once.
func (f *Follower) WaitCaughtUp(ctx context.Context) error {
	return f.waitUntil(ctx, func() bool { return f.atHead })
}

// waitUntil waits for a condition on the fields guarded by mu. It calls reached
// with mu locked.
func (f *Follower) waitUntil(ctx context.Context, reached func() bool) error {
	for {
		f.mu.Lock()
		ok, advanced := reached(), f.advanced
		f.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
