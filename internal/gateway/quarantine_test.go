package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

const (
	// crashingBody is the body of the requests that end every server which runs them.
	crashingBody = "crashes"
	// contactBound is the time within which all nodes act on a loss, and
	// maxLateRuns the number of runs allowed after it.
	contactBound = 3 * time.Second
	maxLateRuns  = 3
)

// crashTrial runs three nodes with servers that behave as given towards requests
// with crashingBody.
type crashTrial struct {
	*fixture
	behavior platformtest.Behavior
	servers  []*platformtest.Server
	nodes    []*Node

	mu sync.Mutex
	// lostAt holds the times at which a server was lost to a crashing request, and
	// runAt those at which a crashing request began to run.
	lostAt, runAt []time.Time
}

func newCrashTrial(t *testing.T, servers int, behavior platformtest.Behavior) *crashTrial {
	c := &crashTrial{fixture: newFixture(t), behavior: behavior}
	for i := range servers {
		c.addCrashingServer(fmt.Sprint("s-", i))
	}
	for i := range 3 {
		c.nodes = append(c.nodes, c.startNode(fmt.Sprint("vm-", i), servers))
	}
	c.eventually("nodes share their state", func() bool {
		return !slices.ContainsFunc(c.nodes, func(n *Node) bool { return n.members.count() != len(c.nodes) })
	})
	return c
}

func (c *crashTrial) addCrashingServer(id string) {
	s := c.addServer(id, func(_ int, r platformtest.Run) platformtest.Behavior {
		if r.Body != crashingBody {
			return platformtest.CompleteAnswer
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.runAt = append(c.runAt, r.At)
		c.lostAt = append(c.lostAt, r.At)
		return c.behavior
	})
	s.RestartAfter = 300 * time.Millisecond
	s.OnRestart = func() { c.store.Put(platform.ServersTopic, id, s.Registration("s", "zone-a", "ready")) }
	c.servers = append(c.servers, s)
}

// lateRuns returns the number of crashing requests that ran later than
// contactBound after the third loss.
func (c *crashTrial) lateRuns() (late, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.lostAt) < 3 {
		return 0, len(c.runAt)
	}
	for _, at := range c.runAt {
		if at.Sub(c.lostAt[2]) > contactBound {
			late++
		}
	}
	return late, len(c.runAt)
}

// TestCrashingRequestIsSentOnAfterThreeServersEnded resubmits one request
// under new ids to all nodes in turn, with an innocent request after each.
func TestCrashingRequestIsSentOnAfterThreeServersEnded(t *testing.T) {
	for name, behavior := range map[string]platformtest.Behavior{"reset": platformtest.ResetBeforeAnswer, "crash": platformtest.Crash} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCrashTrial(t, 8, behavior)
			innocentServed := 0
			const sends = 24
			for i := range sends {
				n := c.nodes[i%len(c.nodes)]
				got := do(t, n, call{method: "POST", path: "/again/report", key: "key-w", id: fmt.Sprint("crash-", i), body: crashingBody})
				if got.err == nil && (got.status == http.StatusOK || got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests) {
					t.Errorf("resubmission %d: answered with status %d", i, got.status)
				}
				if got := do(t, n, call{method: "POST", path: "/again/report", key: "key-w", id: fmt.Sprint("innocent-", i), body: fmt.Sprint("innocent ", i)}); got.status == http.StatusOK {
					innocentServed++
				}
				time.Sleep(400 * time.Millisecond)
			}
			late, all := c.lateRuns()
			t.Logf("%d runs, %d of them late; %d of %d innocent requests served", all, late, innocentServed, sends)
			if late > maxLateRuns {
				t.Errorf("%d runs later than %v after the third loss, want at most %d", late, contactBound, maxLateRuns)
			}
			if innocentServed != sends {
				t.Errorf("%d of %d innocent requests were served", innocentServed, sends)
			}
			if t.Failed() {
				c.logs.mu.Lock()
				defer c.logs.mu.Unlock()
				for line := range strings.Lines(c.logs.text.String()) {
					if strings.Contains(line, "crash-") {
						t.Log(strings.TrimSpace(line))
					}
				}
			}
		})
	}
}
