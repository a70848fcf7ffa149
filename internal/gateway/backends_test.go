package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/coordination/placement"
	"coltsfootpath.example/coltsfootpath/internal/state/site"
)

// TestEnginesMemoryBoundsWhatTheyAreGiven: the document tells how much an engine
// holds. Without it, long prompts pushed each other out of an engine while another
// had room.
func TestEnginesMemoryBoundsWhatTheyAreGiven(t *testing.T) {
	const memory = 100_000
	now := time.Unix(1_900_000_000, 0)
	table := newBackendTable(health.New(healthConfig, now))
	table.members = func() int { return 1 }
	table.maxConns = func(string) int { return 100 }
	table.memoryOf = func(string) int { return memory }
	for _, id := range []string{"e-1", "e-2"} {
		table.put(site.Server{ID: id, Service: "s", Address: "127.0.0.1:1", Slots: 64}, now)
	}
	table.byID["e-1"].own = placement.Load{Running: 4, Memory: memory}
	table.byID["e-2"].own = placement.Load{Running: 10, Prefill: 2_000}
	random := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		p := table.choose(&wanted{service: "s", request: placement.Request{Prompt: 10_000, Answer: 100}}, now, random)
		if p.server.info.ID != "e-2" {
			t.Fatal("the engine whose memory is full was chosen")
		}
		table.release(p)
	}
}
