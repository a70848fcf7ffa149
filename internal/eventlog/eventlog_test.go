package eventlog

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingWriter is a writer that blocks until open is closed.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// TestBlockedOutputBlocksNoLogger checks that logging doesn't block while the
// output does: ordinary lines are dropped and counted, failures are all written.
func TestBlockedOutputBlocksNoLogger(t *testing.T) {
	w := &blockingWriter{open: make(chan struct{})}
	l := New(w)
	const failures = 500
	for range 10 * maxOrdinaryLines {
		l.Event("part", "ordinary")
	}
	for i := range failures {
		l.Failure("part", "failed", "n", i)
	}
	close(w.open)
	l.Close()
	ordinary, droppedFailures := l.Dropped()
	if ordinary == 0 || droppedFailures != 0 {
		t.Fatalf("%d ordinary lines and %d failures dropped", ordinary, droppedFailures)
	}
	if got := strings.Count(w.text.String(), "part failed"); got != failures {
		t.Fatalf("%d of %d failures written", got, failures)
	}
}

func TestLine(t *testing.T) {
	got := formatLine(time.UnixMilli(1_790_000_000_123), "part", "event", []any{"s", "a b", "empty", "", "n", 5, "d", 1500 * time.Millisecond, "b", true, "e", errors.New("x=1"), "f", 0.25, "nil", nil})
	want := `2026-09-21T14:13:20.123Z part event s="a b" empty=- n=5 d=1500ms b=true e="x=1" f=0.25 nil=-` + "\n"
	if got != want {
		t.Fatalf("got %q", got)
	}
}

// TestLongLinesAreBounded: long lines, as callers can cause them, take bounded memory while the
// output blocks.
func TestLongLinesAreBounded(t *testing.T) {
	w := &blockingWriter{open: make(chan struct{})}
	l := New(w)
	id := strings.Repeat("x", 16<<10)
	for range 2 * maxFailureLines {
		l.Failure("request", "refused", "id", id)
		l.Event("request", "served", "id", id)
	}
	l.mu.Lock()
	held := l.failures.bytes + l.ordinary.bytes
	l.mu.Unlock()
	close(w.open)
	l.Close()
	if held > maxFailureBytes+maxOrdinaryBytes {
		t.Errorf("%d bytes wait to be written", held)
	}
	if ordinary, failures := l.Dropped(); ordinary == 0 || failures == 0 {
		t.Errorf("%d ordinary lines and %d failures dropped", ordinary, failures)
	}
}
