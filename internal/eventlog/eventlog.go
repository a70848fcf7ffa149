// Package eventlog writes structured log lines without ever blocking the
// goroutines that log. Lines wait in two bounded queues, one for ordinary
// outcomes and a much larger one for failures. Lines that don't fit are dropped
// and counted.
package eventlog

import (
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxOrdinaryLines and maxFailureLines bound the lines that wait to be written.
	maxOrdinaryLines = 256
	maxFailureLines  = 8192
	// maxOrdinaryBytes and maxFailureBytes bound their size. A line contains texts of callers.
	maxOrdinaryBytes = 256 << 10
	maxFailureBytes  = 4 << 20
	// dropReportInterval is the minimum time between reports of dropped lines.
	dropReportInterval = time.Second
)

// Logger writes the lines of one process.
type Logger struct {
	out       io.Writer
	wake      chan struct{}
	stop      chan struct{}
	closeOnce sync.Once
	done      chan struct{}

	// mu guards ordinary and failures. No other lock is taken while it is held.
	mu       sync.Mutex
	ordinary lineQueue
	failures lineQueue

	droppedOrdinary atomic.Int64
	droppedFailures atomic.Int64
}

// New returns a logger that writes to out until Close.
func New(out io.Writer) *Logger {
	l := &Logger{
		out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
		ordinary: lineQueue{maxLines: maxOrdinaryLines, maxBytes: maxOrdinaryBytes},
		failures: lineQueue{maxLines: maxFailureLines, maxBytes: maxFailureBytes},
	}
	go l.run()
	return l
}

// Event queues one line about an ordinary outcome or a change of state. In pairs,
// string keys and values alternate.
func (l *Logger) Event(part, event string, pairs ...any) {
	l.add(&l.ordinary, &l.droppedOrdinary, formatLine(time.Now(), part, event, pairs))
}

// Failure queues one line about a failure. In pairs, string keys and values
// alternate.
func (l *Logger) Failure(part, event string, pairs ...any) {
	l.add(&l.failures, &l.droppedFailures, formatLine(time.Now(), part, event, pairs))
}

// Dropped returns the numbers of ordinary lines and of failure lines that were
// dropped.
func (l *Logger) Dropped() (ordinary, failures int64) {
	return l.droppedOrdinary.Load(), l.droppedFailures.Load()
}

// lineQueue holds lines that wait to be written.
type lineQueue struct {
	maxLines, maxBytes int
	lines              []string
	bytes              int
}

// push adds a line and reports whether it fits.
func (q *lineQueue) push(text string) bool {
	if len(q.lines) >= q.maxLines || q.bytes+len(text) > q.maxBytes {
		return false
	}
	q.lines = append(q.lines, text)
	q.bytes += len(text)
	return true
}

// take returns all lines and removes them.
func (q *lineQueue) take() []string {
	lines := q.lines
	q.lines, q.bytes = nil, 0
	return lines
}

func (l *Logger) add(queue *lineQueue, dropped *atomic.Int64, text string) {
	l.mu.Lock()
	fits := queue.push(text)
	l.mu.Unlock()
	if !fits {
		dropped.Add(1)
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Close writes all queued lines and stops the logger.
func (l *Logger) Close() {
	l.closeOnce.Do(func() { close(l.stop) })
	<-l.done
}

func (l *Logger) run() {
	defer close(l.done)
	var reported int64
	var reportedAt time.Time
	for {
		select {
		case <-l.wake:
		case <-l.stop:
			l.flush()
			return
		}
		l.flush()
		if n := l.droppedOrdinary.Load() + l.droppedFailures.Load(); n > reported && time.Since(reportedAt) > dropReportInterval {
			reported, reportedAt = n, time.Now()
			l.Event("log", "dropped", "ordinary", l.droppedOrdinary.Load(), "failures", l.droppedFailures.Load())
		}
	}
}

func (l *Logger) flush() {
	l.mu.Lock()
	lines := append(l.failures.take(), l.ordinary.take()...)
	l.mu.Unlock()
	if len(lines) > 0 {
		_, _ = io.WriteString(l.out, strings.Join(lines, ""))
	}
}

// timeFormat formats a UTC time with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z"

// formatLine returns a line of the form "time part event key=value ...".
func formatLine(at time.Time, part, event string, pairs []any) string {
	b := at.UTC().AppendFormat(make([]byte, 0, 256), timeFormat)
	b = append(b, ' ')
	b = append(b, part...)
	b = append(b, ' ')
	b = append(b, event...)
	for i := 0; i+1 < len(pairs); i += 2 {
		b = append(b, ' ')
		b = append(b, pairs[i].(string)...)
		b = append(b, '=')
		b = appendValue(b, pairs[i+1])
	}
	return string(append(b, '\n'))
}

func appendValue(b []byte, v any) []byte {
	switch v := v.(type) {
	case string:
		return appendText(b, v)
	case int:
		return strconv.AppendInt(b, int64(v), 10)
	case int64:
		return strconv.AppendInt(b, v, 10)
	case uint64:
		return strconv.AppendUint(b, v, 10)
	case float64:
		return strconv.AppendFloat(b, v, 'g', 5, 64)
	case bool:
		return strconv.AppendBool(b, v)
	case time.Duration:
		return append(strconv.AppendInt(b, v.Milliseconds(), 10), "ms"...)
	case error:
		return appendText(b, v.Error())
	case interface{ String() string }:
		return appendText(b, v.String())
	case nil:
		return append(b, '-')
	}
	return append(b, '?')
}

func appendText(b []byte, s string) []byte {
	if s == "" {
		return append(b, '-')
	}
	if strings.ContainsAny(s, " \"=\n\r\t") {
		return strconv.AppendQuote(b, s)
	}
	return append(b, s...)
}
