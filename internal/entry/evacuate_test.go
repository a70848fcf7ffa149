package entry

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
)

func longPrompt(i, words int) string {
	var b strings.Builder
	for w := range words {
		fmt.Fprintf(&b, "p%d-%d ", i, w)
	}
	return b.String()
}

// sumCounter returns a counter's total over the nodes. label selects the series
// by the value of their first label; if it is empty, all series are added.
func (c *cluster) sumCounter(name, label string) float64 {
	c.t.Helper()
	total := 0.0
	for _, n := range c.nodes {
		families, err := n.Registry().Gather()
		if err != nil {
			c.t.Fatal(err)
		}
		for _, family := range families {
			if family.GetName() != "coltsfoot_entry_"+name {
				continue
			}
			for _, m := range family.GetMetric() {
				if label == "" || m.GetLabel()[0].GetValue() == label {
					total += m.GetCounter().GetValue()
				}
			}
		}
	}
	return total
}

// TestZoneEvacuation reclaims an availability zone's engines during long
// streams. All answers must be complete, and the evacuation must recompute at
// most half of the tokens that restarts from zero would.
func TestZoneEvacuation(t *testing.T) {
	c := startCluster(t, 2, 6, nil)
	const streams, want, promptWords = 24, 150, 400
	var callers sync.WaitGroup
	var started sync.WaitGroup
	started.Add(streams)
	replies := make([]reply, streams)
	for i := range streams {
		callers.Go(func() {
			once := sync.OnceFunc(started.Done)
			replies[i] = c.send(c.nodes[i%2], fmt.Sprintf("key-%d", i), longPrompt(i, promptWords), want, 0, 0, once)
			once()
		})
	}
	started.Wait()
	c.cloud.Reclaim(4*time.Second, func(vm ports.VM) bool {
		return vm.Role == ports.EngineRole && vm.AvailabilityZone == "zone-a"
	})
	callers.Wait()
	for i, r := range replies {
		if !r.complete || len(r.tokens) != want {
			t.Fatalf("request %d: complete=%t tokens=%d err=%+v", i, r.complete, len(r.tokens), r.err)
		}
		c.checkTokens(longPrompt(i, promptWords), 0, r.tokens)
	}
	recomputed := c.sumCounter("recomputed_tokens_total", "")
	restart := c.sumCounter("evacuated_restart_tokens_total", "")
	for _, how := range []string{"transfer", "prefill", "stay"} {
		t.Logf("%s: %.0f streams", how, c.sumCounter("evacuated_streams_total", how))
	}
	t.Logf("tokens recomputed: %.0f, by restarts from zero: %.0f", recomputed, restart)
	if restart == 0 {
		t.Fatal("no stream was moved")
	}
	if recomputed*2 > restart {
		t.Fatalf("%.0f tokens recomputed, want at most half of the %.0f by restarts from zero", recomputed, restart)
	}
}
