package gateway

import (
	"testing"
	"time"
)

// TestNodeServesOnceMembersAreKnown: limits are divided by the number of nodes,
// so that a node that assumes it is alone would admit full quotas.
func TestNodeServesOnceMembersAreKnown(t *testing.T) {
	began := time.Unix(1_900_000_000, 0)
	m := &members{startedAt: began}
	if m.canShareLimits(began.Add(membersTimeout)) {
		t.Error("a node without members serves immediately")
	}
	if !m.canShareLimits(began.Add(2 * membersTimeout)) {
		t.Error("a node that can't read the list of VMs never serves")
	}
	m.registered.Store(true)
	if !m.canShareLimits(began) {
		t.Error("a node with all members does not serve")
	}
}
