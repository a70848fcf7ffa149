// Package eventlog writes structured lines to standard output without ever
// holding up who writes them. When lines come faster than they are written,
// those of ordinary outcomes are dropped and counted; those of failures are
// kept much longer.
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
	// maxOrdinary and maxFailures bound the lines that wait to be written.
	maxOrdinary = 256
	maxFailures = 8192
	// dropReport is how often dropped lines are told of.
	dropReport = time.Second
)

// Logger writes the lines of one process.
type Logger struct {
	out  io.Writer
	wake chan struct{}
	stop chan struct{}
	once sync.Once
	done chan struct{}

	// mu is a leaf: nothing else is locked while it is held.
	mu       sync.Mutex
	ordinary []string
	failures []string

	dropped atomic.Int64
	lost    atomic.Int64
}

// New returns a logger that writes to out until Close.
func New(out io.Writer) *Logger {
	l := &Logger{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go l.run()
	return l
}

// Event writes one line about an ordinary outcome or a change of belief.
func (l *Logger) Event(part, event string, pairs ...any) {
	l.add(&l.ordinary, maxOrdinary, &l.dropped, line(time.Now(), part, event, pairs))
}

// Failure writes one line about something that went wrong.
func (l *Logger) Failure(part, event string, pairs ...any) {
	l.add(&l.failures, maxFailures, &l.lost, line(time.Now(), part, event, pairs))
}

// Dropped returns the number of ordinary lines and of failures not written.
func (l *Logger) Dropped() (ordinary, failures int64) {
	return l.dropped.Load(), l.lost.Load()
}

func (l *Logger) add(queue *[]string, limit int, dropped *atomic.Int64, text string) {
	l.mu.Lock()
	full := len(*queue) >= limit
	if !full {
		*queue = append(*queue, text)
	}
	l.mu.Unlock()
	if full {
		dropped.Add(1)
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Close writes what waits and ends.
func (l *Logger) Close() {
	l.once.Do(func() { close(l.stop) })
	<-l.done
}

func (l *Logger) run() {
	defer close(l.done)
	var told int64
	var toldAt time.Time
	for {
		select {
		case <-l.wake:
		case <-l.stop:
			l.flush()
			return
		}
		l.flush()
		if n := l.dropped.Load() + l.lost.Load(); n > told && time.Since(toldAt) > dropReport {
			told, toldAt = n, time.Now()
			l.Event("log", "dropped", "ordinary", l.dropped.Load(), "failures", l.lost.Load())
		}
	}
}

func (l *Logger) flush() {
	l.mu.Lock()
	lines := append(l.failures, l.ordinary...)
	l.failures, l.ordinary = nil, nil
	l.mu.Unlock()
	if len(lines) > 0 {
		_, _ = io.WriteString(l.out, strings.Join(lines, ""))
	}
}

// timeFormat is the time of day in UTC, to the millisecond.
const timeFormat = "2006-01-02T15:04:05.000Z"

// line builds "time part event key=value ...".
func line(at time.Time, part, event string, pairs []any) string {
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
