package gateway

import (
	"testing"
	"time"
)

// TestNodeServesOnceMembersAreKnown: limits are divided by the number of nodes. A
// node without the list of VMs would count only itself and admit full quotas.
func TestNodeServesOnceMembersAreKnown(t *testing.T) {
	startedAt := time.Unix(1_900_000_000, 0)
	m := &members{startedAt: startedAt}
	if m.canShareLimits(startedAt.Add(membersTimeout)) {
		t.Error("a node without members serves immediately")
	}
	if !m.canShareLimits(startedAt.Add(2 * membersTimeout)) {
		t.Error("a node that can't read the list of VMs never serves")
	}
	m.vmsListed.Store(true)
	if !m.canShareLimits(startedAt) {
		t.Error("a node with all members does not serve")
	}
}
