package entry

import (
	"fmt"
	"sync"
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/coordination/suspects"
	"coltsfootpath.example/coltsfootpath/internal/invariant"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/standin/engine"
)

// TestCrashingRequestIsGivenUp sends a request that crashes every engine to all
// entry VMs, each time with a new key, while other requests run on the same
// engines. The number of lost engines must stay within suspects.MaxLostServers, and
// the other requests must complete.
func TestCrashingRequestIsGivenUp(t *testing.T) {
	invariant.OnBreach(func(name invariant.Name, detail string) { t.Errorf("%s: %s", name, detail) })
	defer invariant.OnBreach(func(invariant.Name, string) {})
	const engines, innocents, want = 12, 24, 120
	c := startCluster(t, 3, engines, nil)
	for _, e := range c.engines {
		e.SetFaults(engine.Faults{CrashMarker: "poison"})
	}
	var callers, started sync.WaitGroup
	started.Add(innocents)
	replies := make([]reply, innocents)
	for i := range innocents {
		callers.Go(func() {
			once := sync.OnceFunc(started.Done)
			replies[i] = c.send(c.nodes[i%3], fmt.Sprintf("innocent-%d", i), longPrompt(i, 20), want, 0, 0, once)
			once()
		})
	}
	started.Wait()
	for i := range 6 {
		callers.Go(func() {
			r := c.send(c.nodes[i%3], fmt.Sprintf("crash-%d", i), "this is poison indeed", 5, 0, 0, nil)
			if r.err == nil || r.err.Code != callerapi.CrashesBackends || r.err.RetryAfterMillis == 0 || r.err.Run == callerapi.NotRun {
				t.Errorf("crashing request %d: %+v %+v", i, r, r.err)
			}
		})
	}
	callers.Wait()
	for i, r := range replies {
		if !r.complete || len(r.tokens) != want {
			t.Errorf("innocent request %d: %d tokens, error %+v", i, len(r.tokens), r.err)
		}
		c.checkTokens(longPrompt(i, 20), 0, r.tokens)
	}
	list, err := c.cloud.ListVMs(c.ctx)
	if err != nil {
		t.Fatal(err)
	}
	lost := engines + len(c.nodes) - len(list)
	t.Logf("backend servers lost: %d", lost)
	if lost > suspects.MaxLostServers {
		t.Fatalf("%d backend servers lost, want at most %d", lost, suspects.MaxLostServers)
	}
}
