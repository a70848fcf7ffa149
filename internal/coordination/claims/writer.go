package claims

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/state/calls"
)

const (
	batchWait       = 4 * time.Millisecond
	maxBatchRecords = 256
	// MaxAppendsPerSecond bounds the appends that all entry VMs together may make
	// for calls; the log accepts several hundred per second in total.
	MaxAppendsPerSecond = 200
	// appendBurst is the number of appends that a VM may make at once above its
	// share.
	appendBurst = 20
)

type pendingRecord struct {
	record []byte
	done   chan appendResult
}

type appendResult struct {
	offset uint64
	err    error
}

// Writer appends records in batches, one batch at a time. Appends beyond this
// VM's share of MaxAppendsPerSecond are delayed.
type Writer struct {
	log    ports.Log
	clock  ports.Clock
	queue  chan pendingRecord
	health *health
	share  *rate.Limiter
}

// NewWriter returns a writer, which appends only while Run is running.
func NewWriter(log ports.Log, clock ports.Clock) *Writer {
	return &Writer{log: log, clock: clock, queue: make(chan pendingRecord, maxBatchRecords), health: &health{}, share: rate.NewLimiter(MaxAppendsPerSecond, appendBurst)}
}

// SetVMCount sets the number of entry VMs that share the append budget.
func (w *Writer) SetVMCount(vms int) {
	w.share.SetLimitAt(w.clock.Now(), rate.Limit(MaxAppendsPerSecond/float64(max(vms, 1))))
}

// Run appends batches until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case first := <-w.queue:
			w.appendBatch(ctx, w.collect(first))
		case <-ctx.Done():
			return
		}
	}
}

// collect gathers records for batchWait, or longer if this VM has used up its
// share of the appends.
func (w *Writer) collect(first pendingRecord) []pendingRecord {
	batch := []pendingRecord{first}
	now := w.clock.Now()
	waitOver := w.clock.After(max(batchWait, w.share.ReserveN(now, 1).DelayFrom(now)))
	for len(batch) < maxBatchRecords {
		select {
		case p := <-w.queue:
			batch = append(batch, p)
		case <-waitOver:
			return batch
		}
	}
	return batch
}

func (w *Writer) appendBatch(ctx context.Context, batch []pendingRecord) {
	records := make([][]byte, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	w.health.appendStarted(w.clock.Now())
	first, err := w.log.Append(ctx, calls.Stream, records)
	w.health.appendEnded(w.clock.Now(), err)
	for i, p := range batch {
		p.done <- appendResult{offset: first + uint64(i), err: err}
	}
}

// Append sets the time of one record, appends the record as part of a batch and
// returns its offset. If it returns an error, the record may still be appended
// later.
func (w *Writer) Append(ctx context.Context, r calls.Record) (uint64, error) {
	r.At = w.clock.Now().UTC()
	data, err := calls.Encode(r)
	if err != nil {
		return 0, errors.Mark(err, ports.ErrNotSent)
	}
	p := pendingRecord{record: data, done: make(chan appendResult, 1)}
	select {
	case w.queue <- p:
	case <-ctx.Done():
		return 0, errors.Mark(ctx.Err(), ports.ErrNotSent)
	}
	select {
	case a := <-p.done:
		return a.offset, a.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}
