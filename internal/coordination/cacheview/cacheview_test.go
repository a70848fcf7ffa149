package cacheview

import (
	"testing"

	"pgregory.net/rapid"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
)

func events(from uint64, blocks ...uint64) []ports.CacheEvent {
	var out []ports.CacheEvent
	for i, b := range blocks {
		out = append(out, ports.CacheEvent{Sequence: from + uint64(i), Block: b})
	}
	return out
}

func lookup(v *View, blocks ...uint64) Matches {
	var m Matches
	v.Lookup(blocks, &m)
	return m
}

func TestLongestLeadingPartIsFound(t *testing.T) {
	v := New(100)
	v.Apply("a", events(1, 10, 11, 12))
	v.Apply("b", events(1, 10, 12))
	m := lookup(v, 10, 11, 12, 13)
	if a, _ := m.ForServer("a"); a.Blocks != 3 {
		t.Fatalf("a holds %d blocks, want 3", a.Blocks)
	}
	if b, _ := m.ForServer("b"); b.Blocks != 1 {
		t.Fatalf("b holds %d blocks, want 1", b.Blocks)
	}
}

func TestEvictedBlockIsNoLongerHeld(t *testing.T) {
	v := New(100)
	v.Apply("a", events(1, 10, 11))
	v.Apply("a", []ports.CacheEvent{{Sequence: 3, Block: 10, Evicted: true}})
	if m := lookup(v, 10, 11); len(m.All()) != 0 {
		t.Fatalf("unexpected matches: %+v", m.All())
	}
}

func TestRepeatedEventChangesNothing(t *testing.T) {
	v := New(100)
	v.Apply("a", []ports.CacheEvent{{Sequence: 1, Block: 10}, {Sequence: 2, Block: 10, Evicted: true}})
	v.Apply("a", events(1, 10))
	if m := lookup(v, 10); len(m.All()) != 0 {
		t.Fatalf("unexpected matches: %+v", m.All())
	}
}

func TestTrustFallsWithGapsAndAge(t *testing.T) {
	complete, gappy := New(1<<14), New(1<<14)
	for _, v := range []*View{complete, gappy} {
		v.Apply("a", events(1, 10))
	}
	before := lookup(gappy, 10)
	for n := uint64(2); n < 2*cacheTurnover; n += 2 {
		complete.Apply("a", events(n, 1000+n, 1001+n))
		gappy.Apply("a", events(n+1, 1001+n))
	}
	if m := lookup(complete, 10); m.All()[0].Trust != 1 {
		t.Fatalf("trust is %v without gaps, want 1", m.All()[0].Trust)
	}
	after := lookup(gappy, 10)
	if after.All()[0].Trust >= before.All()[0].Trust {
		t.Fatalf("trust went from %v to %v", before.All()[0].Trust, after.All()[0].Trust)
	}
	gappy.Apply("a", events(2*cacheTurnover+1, 10))
	if again := lookup(gappy, 10); again.All()[0].Trust <= after.All()[0].Trust {
		t.Fatal("a new event does not restore trust")
	}
}

func TestLostEventsDoNotShortenAMatch(t *testing.T) {
	v := New(1 << 14)
	for n := uint64(1); n < 200; n += 2 {
		v.Apply("a", events(n, 1000+n))
	}
	v.Apply("a", []ports.CacheEvent{{Sequence: 201, Block: 10}, {Sequence: 203, Block: 12}, {Sequence: 204, Block: 13}})
	if a, _ := matchOf(v, "a", 10, 11, 12, 13); a.Blocks != 4 {
		t.Fatalf("a holds %d blocks, want 4", a.Blocks)
	}
}

func matchOf(v *View, id string, blocks ...uint64) (Match, bool) {
	m := lookup(v, blocks...)
	return m.ForServer(id)
}

func TestRemovedServerHoldsNothing(t *testing.T) {
	v := New(100)
	v.Apply("a", events(1, 10))
	v.Retain(func(x string) bool { return x != "a" })
	v.Apply("b", events(1, 11))
	if m := lookup(v, 10); len(m.All()) != 0 {
		t.Fatalf("unexpected matches: %+v", m.All())
	}
	if v.NextSequence("a") != 0 {
		t.Fatal("the sequence of a removed server was kept")
	}
}

func TestServerAddedAgainByADelayedAnswerIsRemoved(t *testing.T) {
	v := New(100)
	v.Apply("a", events(1, 10))
	v.Apply("b", events(1, 10))
	onlyB := func(id string) bool { return id == "b" }
	v.Retain(onlyB)
	v.Apply("a", events(2, 11))
	v.Retain(onlyB)
	if m := lookup(v, 10); len(m.All()) != 1 || m.All()[0].Server != "b" {
		t.Fatalf("unexpected matches: %+v", m.All())
	}
	if m := lookup(v, 11); len(m.All()) != 0 {
		t.Fatalf("unexpected matches: %+v", m.All())
	}
}

func TestServerIsListedOnceAmongABlocksHolders(t *testing.T) {
	v := New(100)
	v.Apply("a", events(1, 10))
	v.Apply("b", events(1, 10))
	v.Retain(func(x string) bool { return x != "a" })
	v.Apply("b", events(2, 10))
	v.Apply("b", []ports.CacheEvent{{Sequence: 3, Block: 10, Evicted: true}})
	if m := lookup(v, 10); len(m.All()) != 0 {
		t.Fatalf("unexpected matches: %+v", m.All())
	}
}

// TestViewNeverClaimsMoreThanWasReported compares the view with an oracle that
// keeps every block of every server: without gaps, the view may hold less than the
// oracle but never more.
func TestViewNeverClaimsMoreThanWasReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxBlocks := rapid.IntRange(1, 12).Draw(t, "bound")
		v := New(maxBlocks)
		reported := map[string]map[uint64]bool{}
		next := map[string]uint64{}
		names := []string{"a", "b", "c", "d", "e", "f"}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := rapid.SampledFrom(names).Draw(t, "server")
			if rapid.IntRange(0, 9).Draw(t, "forget") == 0 {
				v.Retain(func(x string) bool { return x != id })
				delete(reported, id)
				next[id] = 0
				continue
			}
			if reported[id] == nil {
				reported[id] = map[uint64]bool{}
			}
			next[id]++
			ev := ports.CacheEvent{Sequence: next[id], Block: rapid.Uint64Range(1, 20).Draw(t, "block"), Evicted: rapid.Bool().Draw(t, "evicted")}
			reported[id][ev.Block] = !ev.Evicted
			v.Apply(id, []ports.CacheEvent{ev})
			blocks := rapid.SliceOfN(rapid.Uint64Range(1, 20), 1, 4).Draw(t, "lookup")
			m := lookup(v, blocks...)
			for _, x := range m.All() {
				for _, b := range blocks[:x.Blocks] {
					if !reported[x.Server][b] {
						t.Fatalf("the view claims that %s holds block %d", x.Server, b)
					}
				}
			}
			if v.Len() > maxBlocks {
				t.Fatalf("%d blocks, limit %d", v.Len(), maxBlocks)
			}
		}
	})
}
