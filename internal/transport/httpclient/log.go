package httpclient

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/protocol/logapi"
)

const (
	logCallTimeout = 5 * time.Second
	// A read times out after its wait time plus a margin between minReadMargin and
	// maxReadMargin. The margin adapts to the log's response times, so that a slow
	// log can still be read.
	minReadMargin = 2 * time.Second
	maxReadMargin = 30 * time.Second
)

// Log is the adapter for the platform's log service.
type Log struct {
	client *Client
	base   string
	// readMargin is the timeout margin of the next read, in nanoseconds.
	readMargin atomic.Int64
}

var _ ports.Log = (*Log)(nil)

// NewLog returns an adapter for the log service at address.
func NewLog(client *Client, address string) *Log {
	l := &Log{client: client, base: "http://" + address}
	l.readMargin.Store(int64(minReadMargin))
	return l
}

// Append appends records in order and returns the offset of the first.
func (l *Log) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	var answer logapi.AppendAnswer
	url := l.base + fmt.Sprintf(logapi.AppendPath, stream)
	err := l.client.CallJSON(ctx, http.MethodPost, url, logapi.AppendRequest{Records: records}, &answer)
	return answer.First, err
}

// Read returns the records from an offset on and waits up to wait for the first
// one. It returns a *ports.TrimmedError if the log no longer holds the
// offset.
func (l *Log) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (ports.LogBatch, error) {
	var answer logapi.ReadAnswer
	url := l.base + fmt.Sprintf(logapi.ReadPath, stream) + fmt.Sprintf("?from=%d&wait_ms=%d", from, wait.Milliseconds())
	if err := l.readJSON(ctx, url, wait, &answer); err != nil {
		return ports.LogBatch{}, err
	}
	if answer.Trimmed {
		return ports.LogBatch{Earliest: answer.Earliest}, &ports.TrimmedError{Earliest: answer.Earliest}
	}
	if !isContiguous(answer, from) {
		return ports.LogBatch{}, errors.Mark(errors.Newf("records in answer are not contiguous from offset %d", from), ports.ErrInterrupted)
	}
	batch := ports.LogBatch{Earliest: answer.Earliest, Next: answer.Next}
	for _, r := range answer.Records {
		batch.Records = append(batch.Records, ports.LogRecord{Offset: r.Offset, Data: r.Data})
	}
	return batch, nil
}

// isContiguous reports whether the records of an answer start at offset from
// and have no gaps, and Next is the offset after the last one.
func isContiguous(answer logapi.ReadAnswer, from uint64) bool {
	for i, r := range answer.Records {
		if r.Offset != from+uint64(i) {
			return false
		}
	}
	return answer.Next == from+uint64(len(answer.Records))
}

// readJSON reads with a timeout of wait plus the margin, and sets the margin of
// the next read.
func (l *Log) readJSON(ctx context.Context, url string, wait time.Duration, out any) error {
	margin := time.Duration(l.readMargin.Load())
	limited, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	startedAt := time.Now()
	err := l.client.CallJSON(limited, http.MethodGet, url, nil, out)
	timedOut := err != nil && ctx.Err() == nil && limited.Err() != nil
	if err == nil || timedOut {
		l.readMargin.Store(int64(nextMargin(margin, time.Since(startedAt)-wait, timedOut)))
	}
	return err
}

// nextMargin doubles the margin after a read that timed out. After any other
// read the margin is twice the time that the read took beyond its wait time.
// The result is between minReadMargin and maxReadMargin.
func nextMargin(margin, excess time.Duration, timedOut bool) time.Duration {
	next := 2 * excess
	if timedOut {
		next = 2 * margin
	}
	return min(max(next, minReadMargin), maxReadMargin)
}
