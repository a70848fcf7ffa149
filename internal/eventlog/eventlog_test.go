package eventlog

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"
)

// gate is a writer that holds up its caller until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

// TestAHeldUpOutputHoldsUpNobody: ordinary lines are dropped and counted, and
// no failure is.
func TestAHeldUpOutputHoldsUpNobody(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	l := New(g)
	const failures = 500
	for range 10 * maxOrdinary {
		l.Event("part", "ordinary")
	}
	for i := range failures {
		l.Failure("part", "failed", "n", i)
	}
	close(g.open)
	l.Close()
	ordinary, lost := l.Dropped()
	if ordinary == 0 || lost != 0 {
		t.Fatalf("%d ordinary lines and %d failures dropped", ordinary, lost)
	}
	if got := strings.Count(g.text.String(), "part failed"); got != failures {
		t.Fatalf("%d of %d failures written", got, failures)
	}
}

func TestLine(t *testing.T) {
	got := line(time.UnixMilli(1_790_000_000_123), "part", "event", []any{"s", "a b", "empty", "", "n", 5, "d", 1500 * time.Millisecond, "b", true, "e", errors.New("x=1"), "f", 0.25, "nil", nil})
	want := `2026-09-21T14:13:20.123Z part event s="a b" empty=- n=5 d=1500ms b=true e="x=1" f=0.25 nil=-` + "\n"
	if got != want {
		t.Fatalf("got %q", got)
	}
}
