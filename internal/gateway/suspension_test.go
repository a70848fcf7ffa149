package gateway

import (
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/singleton"
)

// TestSuspendedHolderActsNoMore: the monotonic clock stands still while a VM is suspended, so a
// lease that ran out meanwhile seems to be held when the VM goes on.
func TestSuspendedHolderActsNoMore(t *testing.T) {
	n := newNode(Settings{VM: "vm-1", Lease: 3 * time.Second, UsageWindow: time.Second, FirstStart: true}, discard{})
	t.Cleanup(n.log.Close)
	d := n.duties
	now := n.now()
	sinceBoot := time.Hour
	d.suspension = &suspensionWatch{startedAt: now, now: time.Now, sinceBoot: func() (time.Duration, error) { return sinceBoot + time.Since(now), nil }}
	d.machine.Appended(singleton.Record{IsClaim: true, VM: "vm-1", Incarnation: n.incarnation}, now, now)
	if _, holds := d.ownHolder(); !holds {
		t.Fatal("the lease is not held after a claim")
	}
	if _, holds := d.ownHolder(); !holds {
		t.Fatal("the lease is lost without a suspension")
	}
	sinceBoot += 5 * time.Second
	if _, holds := d.ownHolder(); holds {
		t.Error("the lease is held after a suspension of 5 s")
	}
	if _, _, holds := d.leaseState(n.now()); holds {
		t.Error("the VM reports that it holds the lease after a suspension")
	}
}

// TestPauseIsNoSuspension: a process that gets no processor time for a while, also between the
// readings of the two clocks, was not suspended: both clocks went on.
func TestPauseIsNoSuspension(t *testing.T) {
	const pause = 300 * time.Millisecond
	start := time.Unix(1_900_000_000, 0)
	monotonic, suspended, pauseBefore, pauseAfter := time.Duration(0), time.Duration(0), time.Duration(0), time.Duration(0)
	w := &suspensionWatch{startedAt: start, now: func() time.Time { return start.Add(monotonic) }}
	w.sinceBoot = func() (time.Duration, error) {
		monotonic += pauseBefore
		boot := time.Hour + monotonic + suspended
		monotonic += pauseAfter
		return boot, nil
	}
	for i := range 16 {
		pauseBefore, pauseAfter = time.Duration(i&1)*pause, time.Duration(i>>1&1)*pause
		monotonic += time.Duration(i>>2) * pause
		if got := w.check(); got != 0 {
			t.Errorf("check %d: a pause is taken for a suspension of %v", i, got)
		}
	}
	pauseBefore, pauseAfter = 0, 0
	w.check()
	suspended += 5 * time.Second
	if got := w.check(); got < 4*time.Second {
		t.Errorf("a suspension of 5 s is taken for one of %v", got)
	}
	if got := w.check(); got != 0 {
		t.Errorf("the suspension is reported again, as one of %v", got)
	}
}
