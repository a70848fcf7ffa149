// Package logservice is a small stand-in for the platform's append-only log
// service: limited retention, a limited append rate, outages, slowness, and
// answers lost after the append took effect.
package logservice

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"coltsfootpath.example/coltsfootpath/internal/coordination/platform"
)

// Faults that can be switched on at run time.
type Faults struct {
	Outage bool `json:"outage"`
	// SlowMillis delays each call.
	SlowMillis int `json:"slow_ms"`
	// LoseAnswers is the share of appends whose answer is lost, 0 to 1.
	LoseAnswers float64 `json:"lose_answers"`
}

// Config bounds the log.
type Config struct {
	// RetainRecords is how many records each stream keeps.
	RetainRecords int
	// AppendsPerSecond bounds the appends of all streams together.
	AppendsPerSecond float64
	Seed             uint64
}

// Defaults of Config.
const (
	DefaultRetainRecords    = 100_000
	DefaultAppendsPerSecond = 400
	maxReadRecords          = 1000
)

// Log is the stand-in; it implements platform.Log for use in one process.
type Log struct {
	retain  int
	limiter *rate.Limiter

	mu      sync.Mutex
	faults  Faults
	random  *rand.Rand
	streams map[string]*stream
	appends int
	reads   int
}

type stream struct {
	first   uint64
	records [][]byte
	grown   chan struct{}
}

var _ platform.Log = (*Log)(nil)

// New returns an empty log.
func New(cfg Config) *Log {
	if cfg.RetainRecords == 0 {
		cfg.RetainRecords = DefaultRetainRecords
	}
	if cfg.AppendsPerSecond == 0 {
		cfg.AppendsPerSecond = DefaultAppendsPerSecond
	}
	return &Log{
		retain:  cfg.RetainRecords,
		limiter: rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), int(cfg.AppendsPerSecond)),
		random:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		streams: map[string]*stream{},
	}
}

// SetFaults replaces the faults in force.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Counts returns how many appends and reads have come.
func (l *Log) Counts() (appends, reads int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}

// Trim drops the records of a stream before offset, as retention does.
func (l *Log) Trim(name string, before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for s.first < before && len(s.records) > 0 {
		s.records = s.records[1:]
		s.first++
	}
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1, grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// ErrMoved means that a stream does not end where a condition says.
var ErrMoved = errors.New("stream has moved on")

// Append adds records in order. It may fail after having taken effect.
func (l *Log) Append(ctx context.Context, name string, records [][]byte) (uint64, error) {
	return l.append(ctx, name, records, nil)
}

// AppendAt adds records only where the stream ends at an offset.
func (l *Log) AppendAt(ctx context.Context, name string, records [][]byte, at uint64) (uint64, error) {
	return l.append(ctx, name, records, &at)
}

func (l *Log) append(ctx context.Context, name string, records [][]byte, at *uint64) (uint64, error) {
	if err := l.delay(ctx); err != nil {
		return 0, err
	}
	if !l.limiter.Allow() {
		return 0, errors.Mark(errors.New("append rate exceeded"), platform.ErrRefused)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	s := l.stream(name)
	first := s.first + uint64(len(s.records))
	if at != nil && *at != first {
		return 0, errors.Wrapf(ErrMoved, "ends at %d", first)
	}
	s.records = append(s.records, records...)
	for len(s.records) > l.retain {
		s.records = s.records[1:]
		s.first++
	}
	close(s.grown)
	s.grown = make(chan struct{})
	if l.faults.LoseAnswers > 0 && l.random.Float64() < l.faults.LoseAnswers {
		return 0, errors.Wrap(platform.ErrCutOff, "answer lost")
	}
	return first, nil
}

// delay applies outage and slowness.
func (l *Log) delay(ctx context.Context) error {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.Outage {
		return errors.Wrap(platform.ErrUnavailable, "log is down")
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

// Read returns records from an offset on, waiting up to wait for the first.
func (l *Log) Read(ctx context.Context, name string, from uint64, wait time.Duration) (platform.LogBatch, error) {
	if err := l.delay(ctx); err != nil {
		return platform.LogBatch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	l.mu.Lock()
	l.reads++
	l.mu.Unlock()
	for {
		batch, grown, err := l.readNow(name, from)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-grown:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

func (l *Log) readNow(name string, from uint64) (platform.LogBatch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return platform.LogBatch{}, nil, errors.Wrap(platform.ErrUnavailable, "log is down")
	}
	s := l.stream(name)
	batch := platform.LogBatch{Earliest: s.first, Next: max(from, s.first)}
	if from < s.first {
		return batch, nil, &platform.TrimmedError{Earliest: s.first}
	}
	end := s.first + uint64(len(s.records))
	for off := from; off < end && len(batch.Records) < maxReadRecords; off++ {
		batch.Records = append(batch.Records, platform.LogRecord{Offset: off, Data: s.records[off-s.first]})
		batch.Next = off + 1
	}
	return batch, s.grown, nil
}
