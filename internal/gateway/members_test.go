package gateway

import (
	"testing"
	"time"
)

// TestAVMServesOnceItKnowsTheOthers: limits are shared by their number, and a VM
// that takes itself to be alone would admit whole quotas.
func TestAVMServesOnceItKnowsTheOthers(t *testing.T) {
	began := time.Unix(1_900_000_000, 0)
	m := &members{began: began}
	if m.areKnown(began.Add(membersWait)) {
		t.Error("a VM that has read nothing serves at once")
	}
	if !m.areKnown(began.Add(2 * membersWait)) {
		t.Error("a VM that can't read who there is never serves")
	}
	m.registered.Store(true)
	if !m.areKnown(began) {
		t.Error("a VM that knows all others does not serve")
	}
}
