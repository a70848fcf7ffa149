package httpserver

import (
	"net"
	"testing"
	"time"
)

// TestClosedListenerDelaysErrors guards against a busy loop: after an error the
// library calls Accept again at once, until its Stop has started. Without the delay,
// two draining VMs in the run detsporenie-tt-grown trouble-1 --no-cpu only called
// Accept in a loop, and the run made no progress.
func TestClosedListenerDelaysErrors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newListener(inner)
	delays := 0
	l.sleep = func(d time.Duration) {
		if d <= 0 {
			t.Errorf("delay of %v", d)
		}
		delays++
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if _, err := l.Accept(); err == nil {
			t.Fatal("a closed listener accepted a connection")
		}
	}
	if delays != 3 {
		t.Fatalf("%d delays for 3 errors", delays)
	}
}
