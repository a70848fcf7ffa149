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
	d.suspension = &suspensionWatch{startedAt: now, sinceBoot: func() (time.Duration, error) { return sinceBoot + time.Since(now), nil }}
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
