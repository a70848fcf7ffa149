package routing

import (
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
)

// TestPrefixHolderWithoutTheModelIsNotChosen loads a new version's model on one
// engine, while the prefix is cached on an engine that runs only the old one.
func TestPrefixHolderWithoutTheModelIsNotChosen(t *testing.T) {
	f := newFixture(12)
	f.table.ApplyReport(engineID(3), fleet.LoadReport{Models: []string{"m", "new"}, Slots: 32, At: testStart}, testStart)
	f.cache.RecordHeld(engineID(7), prompt)
	for range 50 {
		req := Request{Model: "new", PrefillTokens: 130, Blocks: prompt, MaxNewTokens: 20}
		if s := f.router.Choose(f.table.View(), &req, testStart, f.random).Server; s.ID != engineID(3) {
			t.Fatalf("chose %s, want the engine with the model", s.ID)
		}
	}
}
