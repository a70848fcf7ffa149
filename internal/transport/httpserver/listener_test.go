package httpserver

import (
	"net"
	"testing"
	"time"
)

// TestAClosedListenerDoesNotSpin: the library calls Accept again at once after an
// error until its Stop has begun. Seen on detsporenie-tt-grown trouble-1
// --no-cpu: two VMs that drained did nothing else, and the day stood still.
func TestAClosedListenerDoesNotSpin(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newListener(inner)
	pauses := 0
	l.pause = func(d time.Duration) {
		if d <= 0 {
			t.Errorf("paused for %v", d)
		}
		pauses++
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if _, err := l.Accept(); err == nil {
			t.Fatal("a closed listener accepts")
		}
	}
	if pauses != 3 {
		t.Fatalf("%d pauses for 3 errors", pauses)
	}
}
