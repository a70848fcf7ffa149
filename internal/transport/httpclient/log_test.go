package httpclient

import (
	"testing"
	"time"
)

// TestSlowLogCanBeRead simulates a log whose calls take several seconds. At
// least half of the reads must succeed, and the margin must shrink again once
// the log is fast.
func TestSlowLogCanBeRead(t *testing.T) {
	const wait, attempts = 2 * time.Second, 12
	for _, delay := range []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second, 12 * time.Second} {
		for _, waits := range []time.Duration{0, wait} {
			margin, failed := minReadMargin, 0
			for range attempts {
				took := delay + waits
				timedOut := took >= wait+margin
				if timedOut {
					took = wait + margin
					failed++
				}
				margin = nextMargin(margin, took-wait, timedOut)
			}
			if failed > attempts/2 {
				t.Errorf("delay %v, waits %v: %d of %d reads failed", delay, waits, failed, attempts)
			}
			for range attempts {
				margin = nextMargin(margin, 0, false)
			}
			if margin != minReadMargin {
				t.Errorf("delay %v: margin stays at %v", delay, margin)
			}
		}
	}
}
