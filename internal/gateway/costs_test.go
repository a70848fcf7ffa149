package gateway

import (
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/cost"
	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
)

// newCostMembers returns members with nothing but a cost model for service "s".
func newCostMembers() *members {
	n := &Node{backends: &backendTable{costs: cost.NewModel(), activeKeys: map[string]int{"vm-1": 1}}}
	n.document.Store(&deployment.Document{Services: map[string]*deployment.Service{"s": {}}})
	return &members{node: n, costTotals: map[string]map[uint32]uint64{}}
}

// TestPeersCostsAreAppliedOnce: what a peer has learned is taken over from the totals of its
// digests, and the same totals say nothing new.
func TestPeersCostsAreAppliedOnce(t *testing.T) {
	now := time.Unix(1_900_000_000, 0)
	sender, receiver := newCostMembers(), newCostMembers()
	observe := func() {
		for range 200 {
			sender.node.backends.costs.Observe(cost.Observation{
				Request: cost.Request{Service: "s", Route: "r", PromptTokens: 5000}, Server: 7, UncachedTokens: 5000, MinUncachedTokens: 5000,
				FirstToken: 200 * time.Millisecond, AnswerTokens: 100, FirstTokens: 7, AnswerTime: time.Second, Complete: true,
			}, now)
		}
	}
	var first map[uint32]uint64
	send := func() {
		var d gossip.Digest
		sender.addCosts(&d)
		growth := make([]gossip.Work, len(d.Work))
		if first == nil {
			first = workTotals(d.Work)
		}
		for i, w := range d.Work {
			growth[i] = gossip.Work{Service: w.Service, Millis: w.Millis - first[w.Service]}
		}
		receiver.applyCosts("vm-1", growth, d.Work, now)
	}
	predicted := func() float64 { return receiver.node.rates("s", now).FirstTokenMillis(5000, 0, 0) }
	before := predicted()
	observe()
	send()
	if seeded := predicted(); seeded < before+20 {
		t.Errorf("5000 tokens are predicted to take %.0f ms after a peer's first digest, %.0f ms before, want about 200", seeded, before)
	}
	for range 3 {
		observe()
		send()
	}
	learned := predicted()
	if learned < 170 || learned > 230 {
		t.Errorf("5000 tokens are predicted to take %.0f ms, want about 200", learned)
	}
	send()
	if again := predicted(); again != learned {
		t.Errorf("the same totals changed the prediction from %v to %v ms", learned, again)
	}
}

// TestSpeedSamplesOfPeers: samples go out once, also those of servers without load, and count only
// under a key in use.
func TestSpeedSamplesOfPeers(t *testing.T) {
	now := time.Unix(1_900_000_000, 0)
	sender, receiver := newCostMembers(), newCostMembers()
	for i := range 40 {
		for server, took := range map[uint32]time.Duration{7: 100 * time.Millisecond, 8: 300 * time.Millisecond} {
			sender.node.backends.costs.Observe(cost.Observation{
				Request: cost.Request{Service: "s", Route: "r", PromptTokens: 5000}, Server: server, UncachedTokens: 5000, MinUncachedTokens: 5000,
				FirstToken: took, Complete: true,
			}, now)
		}
		loads := sender.addSpeedSamples([]gossip.Load{{Server: 7, Running: 1}})
		if len(loads) != 2 || loads[0].SpeedSamples != 1 || loads[1].Server != 8 {
			t.Fatalf("round %d: loads %+v, want those of servers 7 and 8 with a sample each", i, loads)
		}
		receiver.applySpeedSamples("vm-1", loads, now)
		receiver.applySpeedSamples("unused", []gossip.Load{{Server: 7, SpeedSamples: 9, SpeedSum: 9 * 40}}, now)
	}
	costs := receiver.node.backends.costs
	costs.Slowdown("s", 7, now)
	if fast, slow := costs.Slowdown("s", 7, now.Add(time.Second)), costs.Slowdown("s", 8, now.Add(time.Second)); slow < 1.5*fast {
		t.Errorf("slowdowns %.2f and %.2f of servers that take 100 and 300 ms", fast, slow)
	}
}
