package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/coordination/placement"
	"coltsfootpath.example/coltsfootpath/internal/state/site"
)

func newTestTable(now time.Time, servers ...string) *backendTable {
	table := newBackendTable(health.New(healthConfig, now))
	table.members = func() int { return 1 }
	table.service = func(string) *site.Service { return nil }
	for _, id := range servers {
		table.put(site.Server{ID: id, Service: "s", Address: "127.0.0.1:1", Slots: 64}, now)
	}
	return table
}

// TestAServerThatCannotBeConnectedToIsPassedOver for a time that doubles, while
// there are others.
func TestAServerThatCannotBeConnectedToIsPassedOver(t *testing.T) {
	now := time.Unix(1_900_000_000, 0)
	table := newTestTable(now, "away", "here")
	random := rand.New(rand.NewPCG(1, 2))
	choose := func(avoid map[string]bool, at time.Time) *pick {
		p := table.choose(&wanted{service: "s", avoid: avoid}, at, random)
		table.release(p)
		return p
	}
	notHere := map[string]bool{"here": true}
	for _, length := range []time.Duration{awayFirst, 2 * awayFirst, 4 * awayFirst, awayMost, awayMost} {
		p := choose(notHere, now)
		if p.server.info.ID != "away" {
			t.Fatal("the only server left was not chosen")
		}
		table.notConnected(p, now)
		last := now.Add(length - time.Millisecond)
		for range 20 {
			if choose(nil, last).server.info.ID == "away" {
				t.Fatalf("chosen before %v have passed", length)
			}
		}
		if got := table.reachable("s", last); len(got) != 1 || got[0].ID != "here" {
			t.Errorf("reachable before %v have passed: %v", length, got)
		}
		now = now.Add(length)
		if got := table.reachable("s", now); len(got) != 2 {
			t.Errorf("reachable after %v: %v", length, got)
		}
	}
	table.connected(choose(notHere, now))
	if b := table.byID["away"]; b.refusals != 0 {
		t.Error("an answer does not end the count")
	}
}

// TestEnginesMemoryBoundsWhatTheyAreGiven: the document tells how much an engine
// holds. Without it, long prompts pushed each other out of an engine while another
// had room.
func TestEnginesMemoryBoundsWhatTheyAreGiven(t *testing.T) {
	const memory = 100_000
	now := time.Unix(1_900_000_000, 0)
	table := newTestTable(now, "e-1", "e-2")
	table.service = func(string) *site.Service {
		return &site.Service{Model: &site.Model{MemoryTokens: memory}}
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
