package gateway

import (
	"fmt"
	"testing"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// TestRequestCountsOnceInUsage: a request that a server has answered with a failure and another
// one has then served is one request. Seen on detsporenie-tt-large trouble-1: while servers
// answered with errors, the usage of a window was off by an eighth.
func TestRequestCountsOnceInUsage(t *testing.T) {
	f := newFixture(t)
	failOnce := func(n int, _ platformtest.Run) platformtest.Behavior {
		if n == 1 {
			return platformtest.Behavior{Head: platformtest.HeadServerError}
		}
		return platformtest.Behavior{}
	}
	f.addServer("s-1", failOnce)
	f.addServer("s-2", failOnce)
	n := f.startNode("vm-1", 2)
	const requests = 4
	for i := range requests {
		do(t, n, call{method: "GET", path: "/again/x", key: "key-w", id: fmt.Sprint("id-", i)})
	}
	counted := 0
	for _, counts := range n.usage.OwnCounts(0) {
		for _, c := range counts {
			counted += c
		}
	}
	if counted != requests {
		t.Errorf("%d requests are counted as %d", requests, counted)
	}
}
