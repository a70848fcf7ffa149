package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootpath.example/coltsfootpath/internal/coordination/cacheview"
	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type fixture struct {
	table  *fleet.Table
	cache  *cacheview.View
	health *health.Table
	router *Router
	random *rand.Rand
}

func newFixture(engines int) *fixture {
	f := &fixture{
		table: fleet.NewTable(), cache: cacheview.New(1 << 12),
		health: health.New(health.DefaultConfig, testStart), random: rand.New(rand.NewPCG(1, 1)),
	}
	var vms []fleet.VM
	for i := range engines {
		vms = append(vms, fleet.VM{ID: engineID(i), Role: fleet.EngineRole, AvailabilityZone: fmt.Sprintf("zone-%d", i%4)})
	}
	f.table.SetVMs(vms)
	for i := range engines {
		f.report(i, fleet.LoadReport{})
	}
	f.router = New(Config{
		AvailabilityZone: "zone-0", Cost: DefaultCost, Cache: f.cache, Health: f.health, Nodes: func() int { return 8 },
	})
	return f
}

func engineID(i int) string { return fmt.Sprintf("engine-%03d", i) }

func (f *fixture) report(i int, load fleet.LoadReport) {
	load.Models, load.Slots, load.At = []string{"m"}, 32, testStart
	f.table.ApplyReport(engineID(i), load, testStart)
}

func (f *fixture) choose(req Request) *fleet.Server {
	req.Model = "m"
	return f.router.Choose(f.table.View(), &req, testStart, f.random).Server
}

var prompt = []uint64{11, 12, 13, 14, 15, 16, 17, 18}

func TestPrefixHolderIsPreferred(t *testing.T) {
	f := newFixture(12)
	f.cache.RecordHeld(engineID(7), prompt)
	for range 50 {
		if s := f.choose(Request{PrefillTokens: 130, Blocks: prompt, MaxNewTokens: 20}); s.ID != engineID(7) {
			t.Fatalf("chose %s, want the prefix holder", s.ID)
		}
	}
}

func TestOverloadedPrefixHolderIsNotChosen(t *testing.T) {
	f := newFixture(12)
	f.cache.RecordHeld(engineID(7), prompt)
	f.report(7, fleet.LoadReport{Running: 32, Waiting: 60, QueuedPrefill: 20_000})
	if s := f.choose(Request{PrefillTokens: 130, Blocks: prompt, MaxNewTokens: 20}); s.ID == engineID(7) {
		t.Fatal("chose the overloaded prefix holder")
	}
}

func TestOwnAttemptsCountBeforeTheNextReport(t *testing.T) {
	f := newFixture(2)
	used := map[string]int{}
	for range 20 {
		c := f.router.Choose(f.table.View(), &Request{Model: "m", PrefillTokens: 2000, MaxNewTokens: 50}, testStart, f.random)
		c.Begin(testStart)
		used[c.Server.ID]++
	}
	if used[engineID(0)] < 6 || used[engineID(1)] < 6 {
		t.Fatalf("attempts between two load reports were distributed as %v", used)
	}
}

func TestAllNodesSendANewPrefixToTheSameHome(t *testing.T) {
	chosen := map[string]bool{}
	for node := range 8 {
		f := newFixture(12)
		f.random = rand.New(rand.NewPCG(uint64(node), 9))
		f.router.cfg.AvailabilityZone = fmt.Sprintf("zone-%d", node%4)
		chosen[f.choose(Request{PrefillTokens: 400, Blocks: prompt, MaxNewTokens: 20}).ID] = true
	}
	if len(chosen) != 1 {
		t.Fatalf("nodes chose different engines: %v", chosen)
	}
}

func TestLeavingUnresponsiveAndAvoidedServersAreNotChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "engines")
		f := newFixture(n)
		for i := range n {
			for range rapid.IntRange(0, MaxMisses).Draw(t, "misses") {
				f.table.CountMissedReport(engineID(i))
			}
			if rapid.Bool().Draw(t, "holds") {
				f.cache.RecordHeld(engineID(i), prompt)
			}
			if rapid.Bool().Draw(t, "leaving") {
				f.table.MarkLeaving([]fleet.VM{{ID: engineID(i)}})
			}
		}
		avoid := []string{engineID(rapid.IntRange(0, n-1).Draw(t, "avoid"))}
		s := f.choose(Request{PrefillTokens: 130, Blocks: prompt, MaxNewTokens: 20, Avoid: avoid})
		usable, only := 0, false
		view := f.table.View()
		for i := range view.Servers {
			if x := &view.Servers[i]; !x.Leaving && x.Misses() < MaxMisses {
				usable++
				only = only || x.ID == avoid[0]
			}
		}
		switch {
		case usable == 0 && s != nil:
			t.Fatalf("chose %s although no server is usable", s.ID)
		case usable > 0 && s == nil:
			t.Fatalf("chose none of %d usable servers", usable)
		case s != nil && (s.Leaving || s.Misses() >= MaxMisses):
			t.Fatalf("chose %s leaving=%v misses=%d", s.ID, s.Leaving, s.Misses())
		case s != nil && s.ID == avoid[0] && !(only && usable == 1):
			t.Fatalf("chose the avoided server although there are %d usable ones", usable)
		}
	})
}

func TestChooseDoesNotAllocate(t *testing.T) {
	f := newFixture(100)
	f.cache.RecordHeld(engineID(7), prompt)
	req := &Request{Model: "m", PrefillTokens: 130, Blocks: prompt, MaxNewTokens: 20}
	allocs := testing.AllocsPerRun(100, func() { f.router.Choose(f.table.View(), req, testStart, f.random) })
	if allocs != 0 {
		t.Fatalf("Choose made %v allocations, want 0", allocs)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{12, 100, 850} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			f := newFixture(engines)
			prompts := make([][]uint64, 256)
			for p := range prompts {
				for i := range 40 {
					prompts[p] = append(prompts[p], uint64(p)*0x9e3779b97f4a7c15+uint64(i))
				}
				f.cache.RecordHeld(engineID(p%engines), prompts[p])
			}
			req := &Request{Model: "m", PrefillTokens: 700, MaxNewTokens: 60}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				req.Blocks = prompts[i%len(prompts)]
				f.router.Choose(f.table.View(), req, testStart, f.random)
			}
		})
	}
}
