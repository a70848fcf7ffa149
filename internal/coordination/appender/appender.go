// Package appender appends records to the control stream and reads them back. An
// append is complete only once its record has been read back. Package control
// decides the effect of each record.
package appender

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/coordination/tail"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
)

const (
	readBackTimeout = time.Second
	retryDelay      = 100 * time.Millisecond
)

// ErrUnknown indicates that the record may or may not have taken effect.
var ErrUnknown = errors.New("record may or may not have taken effect")

// ErrNotAppended indicates that the record did not take effect.
var ErrNotAppended = errors.New("record was not appended")

// Appender appends one record at a time. An append whose answer is lost is
// retried with the same writer id; readers drop the duplicate. It is safe for
// concurrent use.
type Appender struct {
	log   ports.Log
	clock ports.Clock

	// appendMu is held for the duration of an append. It is acquired before mu.
	appendMu sync.Mutex

	mu      sync.Mutex
	writer  control.WriterID
	pending map[control.WriterID]chan tail.Applied
}

// New returns an appender that receives the verdicts on its records from replay.
func New(log ports.Log, clock ports.Clock, replay *tail.ControlReplay) *Appender {
	a := &Appender{log: log, clock: clock, pending: map[control.WriterID]chan tail.Applied{}}
	a.startIncarnation()
	replay.Watch(a.observe)
	return a
}

func (a *Appender) startIncarnation() {
	a.writer = control.WriterID{Incarnation: rand.Text()}
}

func (a *Appender) observe(applied tail.Applied) {
	if applied.Verdict == control.Repeated {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if ch, ok := a.pending[applied.Record.Writer]; ok {
		ch <- applied
		delete(a.pending, applied.Record.Writer)
	}
}

// Append appends the record and returns its effect. The error is ErrUnknown or
// ErrNotAppended.
func (a *Appender) Append(ctx context.Context, r control.Record) (tail.Applied, error) {
	a.appendMu.Lock()
	defer a.appendMu.Unlock()
	readBack := a.register(&r)
	defer a.unregister(r.Writer)
	data, err := control.Encode(r)
	if err != nil {
		return tail.Applied{}, errors.Mark(err, ErrNotAppended)
	}
	maybeAppended := false
	for {
		applied, ok, err := a.attempt(ctx, data, readBack)
		if ok {
			return applied, nil
		}
		if !notAppended(err) {
			maybeAppended = true
		}
		if applied, ok := a.awaitReadBack(ctx, readBack, err); ok {
			return applied, nil
		}
		if ctx.Err() != nil {
			return tail.Applied{}, a.abandon(maybeAppended, err)
		}
		klog.V(1).Infof("appender: retrying append sequence=%d err=%v", r.Writer.Sequence, err)
	}
}

// attempt appends once. ok is true if the record was read back before the log
// answered; a slow log may expose a record before it confirms the append.
func (a *Appender) attempt(ctx context.Context, data []byte, readBack <-chan tail.Applied) (applied tail.Applied, ok bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan error, 1)
	go func() {
		_, err := a.log.Append(ctx, control.Stream, [][]byte{data})
		answered <- err
	}()
	select {
	case applied := <-readBack:
		return applied, true, nil
	case err := <-answered:
		return tail.Applied{}, false, err
	}
}

func notAppended(err error) bool {
	return errors.IsAny(err, ports.ErrNotSent, ports.ErrRejected, ports.ErrOverloaded, ports.ErrUnavailable)
}

// register sets the record's writer id and returns the channel that receives its
// effect.
func (a *Appender) register(r *control.Record) <-chan tail.Applied {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writer.Sequence++
	r.Writer = a.writer
	ch := make(chan tail.Applied, 1)
	a.pending[r.Writer] = ch
	return ch
}

func (a *Appender) unregister(w control.WriterID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, w)
}

// awaitReadBack waits until the record is read back or the append is to be retried.
func (a *Appender) awaitReadBack(ctx context.Context, readBack <-chan tail.Applied, err error) (tail.Applied, bool) {
	timeout := readBackTimeout
	if notAppended(err) {
		timeout = retryDelay
	}
	select {
	case applied := <-readBack:
		return applied, true
	case <-a.clock.After(timeout):
	case <-ctx.Done():
	}
	return tail.Applied{}, false
}

// abandon gives up a record and returns the error for it. If the record may still
// appear in the log, no higher sequence of the same writer may follow it, so a new
// writer incarnation is started.
func (a *Appender) abandon(maybeAppended bool, err error) error {
	if !maybeAppended {
		return errors.Mark(errors.Wrap(err, "append"), ErrNotAppended)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startIncarnation()
	return ErrUnknown
}
