// Package logservice is a small stand-in for the platform's append-only log
// service. It simulates limited retention, a limited append rate, outages,
// delays, and answers lost after an append has taken effect.
package logservice

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
)

// Faults holds the faults that can be set at run time.
type Faults struct {
	Outage bool `json:"outage"`
	// SlowMillis is the delay of each call in milliseconds.
	SlowMillis int `json:"slow_ms"`
	// AnswerLossRatio is the fraction of appends whose answer is lost, 0 to 1.
	AnswerLossRatio float64 `json:"lose_answers"`
}

// Config configures a Log. Zero limits stand for the defaults.
type Config struct {
	// RetainRecords is the number of records that each stream retains.
	RetainRecords int
	// AppendsPerSecond limits the append rate of all streams together.
	AppendsPerSecond float64
	Seed             uint64
}

// Defaults of Config, and the maximum number of records per read.
const (
	DefaultRetainRecords    = 100_000
	DefaultAppendsPerSecond = 400
	maxReadRecords          = 1000
)

// Log is the in-memory log. It implements ports.Log for use within a
// process, and is safe for concurrent use.
type Log struct {
	retainRecords int
	limiter       *rate.Limiter

	mu      sync.Mutex
	faults  Faults
	random  *rand.Rand
	streams map[string]*stream
	appends int
	reads   int
}

type stream struct {
	// firstOffset is the offset of records[0].
	firstOffset uint64
	records     [][]byte
	// appended is closed and replaced on each append.
	appended chan struct{}
}

var _ ports.Log = (*Log)(nil)

// New returns an empty log.
func New(cfg Config) *Log {
	if cfg.RetainRecords == 0 {
		cfg.RetainRecords = DefaultRetainRecords
	}
	if cfg.AppendsPerSecond == 0 {
		cfg.AppendsPerSecond = DefaultAppendsPerSecond
	}
	return &Log{
		retainRecords: cfg.RetainRecords,
		limiter:       rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), int(cfg.AppendsPerSecond)),
		random:        rand.New(rand.NewPCG(cfg.Seed, 1)),
		streams:       map[string]*stream{},
	}
}

// SetFaults replaces the active faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Counts returns the numbers of appends and reads, without those that failed
// during an outage or exceeded the append rate.
func (l *Log) Counts() (appends, reads int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}

// Trim drops the records of a stream below the offset before, as retention
// does.
func (l *Log) Trim(name string, before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for s.firstOffset < before && len(s.records) > 0 {
		s.records = s.records[1:]
		s.firstOffset++
	}
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{firstOffset: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Copy is the content of a log at one time.
type Copy struct {
	streams map[string]stream
}

// Copy returns a copy of the log's content.
func (l *Log) Copy() *Copy {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &Copy{streams: map[string]stream{}}
	for name, s := range l.streams {
		c.streams[name] = stream{firstOffset: s.firstOffset, records: slices.Clone(s.records)}
	}
	return c
}

// Restore replaces the log's content by a copy, which may be used again. Waiting reads go
// on.
func (l *Log) Restore(c *Copy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, s := range l.streams {
		old := c.streams[name]
		s.firstOffset, s.records = max(old.firstOffset, 1), slices.Clone(old.records)
		close(s.appended)
		s.appended = make(chan struct{})
	}
}

// ErrOffsetMismatch means that a conditional append named an offset that is not the
// end of the stream.
var ErrOffsetMismatch = errors.New("stream does not end at the expected offset")

// Append adds records in order and returns the offset of the first. It may
// return an error after the append has taken effect.
func (l *Log) Append(ctx context.Context, name string, records [][]byte) (uint64, error) {
	return l.append(ctx, name, records, nil)
}

// AppendAt appends like Append if the first record gets the offset at. Otherwise it
// appends nothing and returns ErrOffsetMismatch.
func (l *Log) AppendAt(ctx context.Context, name string, records [][]byte, at uint64) (uint64, error) {
	return l.append(ctx, name, records, &at)
}

func (l *Log) append(ctx context.Context, name string, records [][]byte, at *uint64) (uint64, error) {
	if err := l.applyFaults(ctx); err != nil {
		return 0, err
	}
	if !l.limiter.Allow() {
		return 0, errors.Mark(errors.New("append rate exceeded"), ports.ErrRejected)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	s := l.stream(name)
	first := s.firstOffset + uint64(len(s.records))
	if at != nil && *at != first {
		return 0, errors.Wrapf(ErrOffsetMismatch, "stream ends at %d", first)
	}
	s.records = append(s.records, records...)
	for len(s.records) > l.retainRecords {
		s.records = s.records[1:]
		s.firstOffset++
	}
	close(s.appended)
	s.appended = make(chan struct{})
	if l.faults.AnswerLossRatio > 0 && l.random.Float64() < l.faults.AnswerLossRatio {
		return 0, errors.Wrap(ports.ErrInterrupted, "answer lost")
	}
	return first, nil
}

// applyFaults returns an error during an outage, and otherwise waits for the
// configured delay.
func (l *Log) applyFaults(ctx context.Context) error {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.Outage {
		return errors.Wrap(ports.ErrUnavailable, "log is down")
	}
	if f.SlowMillis == 0 {
		return nil
	}
	timer := time.NewTimer(time.Duration(f.SlowMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read returns records starting at offset from. If there are none, it waits up
// to wait for the first.
func (l *Log) Read(ctx context.Context, name string, from uint64, wait time.Duration) (ports.LogBatch, error) {
	if err := l.applyFaults(ctx); err != nil {
		return ports.LogBatch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	l.mu.Lock()
	l.reads++
	l.mu.Unlock()
	for {
		batch, appended, err := l.readAvailable(name, from)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-appended:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

func (l *Log) readAvailable(name string, from uint64) (ports.LogBatch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return ports.LogBatch{}, nil, errors.Wrap(ports.ErrUnavailable, "log is down")
	}
	s := l.stream(name)
	batch := ports.LogBatch{Earliest: s.firstOffset, Next: max(from, s.firstOffset)}
	if from < s.firstOffset {
		return batch, nil, &ports.TrimmedError{Earliest: s.firstOffset}
	}
	end := s.firstOffset + uint64(len(s.records))
	for off := from; off < end && len(batch.Records) < maxReadRecords; off++ {
		batch.Records = append(batch.Records, ports.LogRecord{Offset: off, Data: s.records[off-s.firstOffset]})
		batch.Next = off + 1
	}
	return batch, s.appended, nil
}
