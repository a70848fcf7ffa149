package gateway

import (
	"fmt"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// TestCrashesThroughTunnelsDoNotCount: a content that ends each server is quarantined at all VMs,
// also if a VM without links has all of its requests.
func TestCrashesThroughTunnelsDoNotCount(t *testing.T) {
	t.Parallel()
	c := &crashTrial{fixture: newFixture(t), behavior: platformtest.Crash}
	for i := range 8 {
		c.addCrashingServer(fmt.Sprint("s-", i))
	}
	nodes, cuts := startLinkedNodes(c.fixture, 3, 8)
	c.nodes = nodes
	cuts[0].set(linksRefuse)
	c.eventually("the cut is noticed", func() bool {
		do(t, nodes[0], call{method: "POST", path: "/again/x", key: "key-w", id: "first", body: "first"})
		return nodes[0].usesTunnels("s")
	})
	for i := range 5 {
		do(t, nodes[0], call{method: "POST", path: "/again/report", key: "key-w", id: fmt.Sprint("crash-", i), body: crashingBody})
		time.Sleep(200 * time.Millisecond)
	}
	c.eventually("all nodes refuse the request", func() bool {
		for _, n := range nodes {
			if !c.isRefusedBy(n) {
				return false
			}
		}
		return true
	})
}
