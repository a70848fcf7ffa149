package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/coordination/placement"
	"coltsfootpath.example/coltsfootpath/internal/protocol/digest"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
	"coltsfootpath.example/coltsfootpath/platform"
)

// The size of the users' large deployment.
const (
	benchVMs     = 295
	benchZones   = 6
	benchServers = 320
)

// newBenchNode returns a node of the large deployment that knows all VMs and servers. It runs
// no loops.
func newBenchNode(b *testing.B) *Node {
	settings := Settings{VM: "vm-0", AvailabilityZone: "zone-0", PeerAddress: "10.1.0.1:7600", CallerAddress: "10.1.0.1:7000", LinkMbps: 20, MemoryMB: 184,
		DocumentBound: 4 * time.Second, LeaveBound: 4 * time.Second, UsageWindow: 5 * time.Second, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 630, Lease: 3 * time.Second}
	n := newNode(settings, discard{})
	n.ctx, n.cancel = context.WithCancel(context.Background())
	b.Cleanup(n.Close)
	for i := 1; i < benchVMs; i++ {
		link := 20
		if i < 3*benchZones {
			link = 200
		}
		n.members.add(gossip.Identity{VM: fmt.Sprint("vm-", i), PeerAddress: fmt.Sprintf("10.%d.0.%d:7600", i%benchZones+1, i+1), AvailabilityZone: fmt.Sprint("zone-", i%benchZones), LinkMbps: link})
	}
	now := n.now()
	for i := range benchServers {
		n.backends.put(deployment.Server{ID: fmt.Sprint("i-", i), Service: "llm", Address: fmt.Sprintf("10.%d.64.%d:8000", i%benchZones+1, i), AvailabilityZone: fmt.Sprint("zone-", i%benchZones), Slots: 12, SoftwareVersion: "v1", StartedAtMillis: 1}, now)
	}
	return n
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// allDigest returns a hub's digest over all VMs.
func allDigest(n *Node, sequence uint64) *gossip.Digest {
	d := &gossip.Digest{Kind: gossip.AllVMs, Sequence: sequence, Count: benchVMs - 2}
	d.Identity = gossip.Identity{VM: "vm-6", Incarnation: 1, PeerAddress: "10.1.0.7:7600", AvailabilityZone: "zone-0", LinkMbps: 200}
	d.Ready = true
	for _, b := range n.backends.byService["llm"] {
		d.Loads = append(d.Loads, gossip.Load{Server: b.shortHash, PrefillTokens: 3000, Running: 4, MemoryTokens: 40_000})
	}
	for i := range 40 {
		d.AdmittedTotals = append(d.AdmittedTotals, gossip.AdmittedTotal{Workspace: uint32(i), Total: sequence * 1000})
	}
	return d
}

func BenchmarkLargeFleetDigest(b *testing.B) {
	n := newBenchNode(b)
	data := make([][]byte, 0, b.N)
	for i := range b.N {
		data = append(data, digest.Marshal(allDigest(n, uint64(i+1))))
	}
	b.ResetTimer()
	for i := range b.N {
		d, err := digest.Unmarshal(data[i])
		if err != nil {
			b.Fatal(err)
		}
		n.members.handleDigest(d, n.now())
	}
}

func BenchmarkLargeFleetTick(b *testing.B) {
	n := newBenchNode(b)
	n.members.handleDigest(allDigest(n, 1), n.now())
	b.ResetTimer()
	for range b.N {
		own := n.members.composeDigest(n.now())
		n.members.mu.Lock()
		messages := n.members.core.Tick(own, n.now())
		n.members.mu.Unlock()
		for _, m := range messages {
			digest.Marshal(m.Digest)
		}
		n.members.updateTables()
	}
}

func BenchmarkLargeFleetChoose(b *testing.B) {
	n := newBenchNode(b)
	n.members.handleDigest(allDigest(n, 1), n.now())
	n.members.updateTables()
	random := newRandom()
	query := &serverQuery{
		service: "llm", zone: "zone-0", exclude: map[string]bool{},
		request: placement.Request{PromptTokens: 6000, AnswerTokens: 200, SharedTokens: 5000, PrefixHash: 42},
		parts:   []platform.Part{{ID: 41, Tokens: 500}, {ID: 42, Tokens: 4500}, {ID: 43, Tokens: 1000}},
	}
	b.ResetTimer()
	for range b.N {
		n.backends.release(n.backends.choose(query, n.now(), random))
	}
}

// BenchmarkLargeFleetFollowers measures what the loops that follow the store ask of members
// while there is nothing new.
func BenchmarkLargeFleetFollowers(b *testing.B) {
	n := newBenchNode(b)
	n.members.handleDigest(allDigest(n, 1), n.now())
	b.ResetTimer()
	for range b.N {
		n.operatorFollower.peerAhead()
		n.members.readerRole()
		n.operatorFollower.confirmation()
		n.members.mayRelyOnReaders()
	}
}
