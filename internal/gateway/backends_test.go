package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/coordination/placement"
	"coltsfootpath.example/coltsfootpath/internal/coordination/serverlimit"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
)

func newTestTable(now time.Time, servers ...string) *backendTable {
	table := newBackendTable(health.New(healthConfig, now))
	table.members = func() int { return 1 }
	table.serviceConfig = func(string) *deployment.Service { return nil }
	for _, id := range servers {
		table.put(deployment.Server{ID: id, Service: "s", Address: "127.0.0.1:1", Slots: 64}, now)
	}
	return table
}

// TestUnreachableServerIsAvoided: a server that can't be connected to is avoided
// while there are others, each time for twice as long.
func TestUnreachableServerIsAvoided(t *testing.T) {
	now := time.Unix(1_900_000_000, 0)
	table := newTestTable(now, "away", "here")
	random := rand.New(rand.NewPCG(1, 2))
	choose := func(exclude map[string]bool, at time.Time) *placedAttempt {
		p := table.choose(&serverQuery{service: "s", exclude: exclude}, at, random)
		table.release(p)
		return p
	}
	excludeHere := map[string]bool{"here": true}
	for _, length := range []time.Duration{minConnectBackoff, 2 * minConnectBackoff, 4 * minConnectBackoff, maxConnectBackoff, maxConnectBackoff} {
		p := choose(excludeHere, now)
		if p.server.id != "away" {
			t.Fatal("the only remaining server was not chosen")
		}
		table.recordConnectFailure(p, now)
		last := now.Add(length - time.Millisecond)
		for range 20 {
			if choose(nil, last).server.id == "away" {
				t.Fatalf("unreachable server chosen before %v passed", length)
			}
		}
		if got := table.reachableServers("s", last); len(got) != 1 || got[0].ID != "here" {
			t.Errorf("reachable servers before %v passed: %v, want only server \"here\"", length, got)
		}
		now = now.Add(length)
		if got := table.reachableServers("s", now); len(got) != 2 {
			t.Errorf("reachable servers after %v: %v, want both", length, got)
		}
	}
	table.recordConnected(choose(excludeHere, now))
	if b := table.byID["away"]; b.connectFailures != 0 {
		t.Error("an answer did not reset connectFailures")
	}
}

// TestEngineWithFullMemoryIsNotChosen: the document states the memory of an
// engine. Without it, long prompts evicted each other from one engine while
// another had free memory.
func TestEngineWithFullMemoryIsNotChosen(t *testing.T) {
	const memory = 100_000
	now := time.Unix(1_900_000_000, 0)
	table := newTestTable(now, "e-1", "e-2")
	table.serviceConfig = func(string) *deployment.Service {
		return &deployment.Service{Model: &deployment.Model{MemoryTokens: memory}}
	}
	table.byID["e-1"].ownLoad = placement.Load{Running: 4, MemoryTokens: memory}
	table.byID["e-2"].ownLoad = placement.Load{Running: 10, PrefillTokens: 2_000}
	random := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		p := table.choose(&serverQuery{service: "s", request: placement.Request{PromptTokens: 10_000, AnswerTokens: 100}}, now, random)
		if p.server.id != "e-2" {
			t.Fatal("an engine with full memory was chosen")
		}
		table.release(p)
	}
}

// TestBrittleEngineIsFilledBeyondItsMemory: an engine whose memory is full lets requests wait,
// and rejects others, while it has places.
func TestBrittleEngineIsFilledBeyondItsMemory(t *testing.T) {
	const memory = 100_000
	now := time.Unix(1_900_000_000, 0)
	table := newTestTable(now, "e-1")
	table.serviceConfig = func(string) *deployment.Service {
		return &deployment.Service{Model: &deployment.Model{MemoryTokens: memory}}
	}
	e := table.byID["e-1"]
	e.info.Slots = 20
	query := &serverQuery{service: "s", request: placement.Request{PromptTokens: 30_000, AnswerTokens: 1_000}}
	choose := func(when string, want int) {
		t.Helper()
		var chosen []*placedAttempt
		for range 10 {
			if p := table.choose(query, now, rand.New(rand.NewPCG(1, 2))); p != nil {
				chosen = append(chosen, p)
			}
		}
		if len(chosen) != want {
			t.Errorf("%s: %d requests, want %d", when, len(chosen), want)
		}
		for _, p := range chosen {
			table.release(p)
		}
	}
	choose("sound", 10)
	table.brittle.Observe(serverlimit.Observation{Server: e.shortHash, HasLimit: true, Rate: 1, SentAt: now.UnixMilli(), ArrivedAt: now.UnixMilli()}, now)
	choose("brittle", 2)
	table.servingVMs = []string{"vm-2", "vm-3"}
	choose("brittle, three VMs", 1)
	query.request.PromptTokens = 3 * memory
	choose("larger than the memory", 1)
	e.ownLoad = placement.Load{Running: 1, MemoryTokens: memory}
	choose("larger than the memory, beside another", 0)
}

// TestAttemptIsCountedForLaterVersion: the entry of a server may change while an
// attempt runs there.
func TestAttemptIsCountedForLaterVersion(t *testing.T) {
	now := time.Unix(1_900_000_000, 0)
	table := newTestTable(now)
	entry := deployment.Server{ID: "e-1", Service: "s", Address: "127.0.0.1:1", Slots: 64, SoftwareVersion: "v1"}
	table.put(entry, now)
	p := table.choose(&serverQuery{service: "s"}, now, rand.New(rand.NewPCG(1, 2)))
	entry.SoftwareVersion, entry.Leaving = "v2", true
	table.put(entry, now)
	if p.info.SoftwareVersion != "v1" || p.info.Leaving {
		t.Errorf("the attempt has the entry %+v", p.info)
	}
}

// TestFastRestartHidesLoss: a server may listen again before its loss is examined.
func TestFastRestartHidesLoss(t *testing.T) {
	now := time.Unix(1_900_000_000, 0)
	table := newTestTable(now)
	entry := deployment.Server{ID: "e-1", Service: "s", Address: "127.0.0.1:1", Slots: 64, StartedAtMillis: 1000}
	table.put(entry, now)
	b := table.byID["e-1"]
	entry.Leaving = true
	table.put(entry, now)
	if table.hasRestarted(b) {
		t.Error("a changed entry is taken for a restart")
	}
	entry.StartedAtMillis = 2000
	table.put(entry, now)
	if !table.hasRestarted(b) {
		t.Error("a restart is not recognised")
	}
}
