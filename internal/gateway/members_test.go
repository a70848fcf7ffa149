package gateway

import (
	"sync"
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

// TestConcurrentDigestsShareSequence: a node that drains sends digests beside its loop.
// Peers drop a digest whose sequence number they have received.
func TestConcurrentDigestsShareSequence(t *testing.T) {
	f := newFixture(t)
	f.addServer("s-1", nil)
	n := f.startNode("vm-1", 1)
	sequence := func() uint64 {
		n.members.mu.Lock()
		defer n.members.mu.Unlock()
		return n.members.sequence
	}
	const senders, digests = 8, 2000
	before := sequence()
	var running sync.WaitGroup
	for range senders {
		running.Go(func() {
			for range digests {
				n.members.composeDigest(n.now())
			}
		})
	}
	running.Wait()
	if counted := sequence() - before; counted < senders*digests {
		t.Errorf("%d sequence numbers for %d digests", counted, senders*digests)
	}
}
