package movebench

import "testing"

// TestGoodVersionsFinishAndFaultyVersionsRollBack simulates each kind of faulty
// version once; the command simulates 208 moves by default.
func TestGoodVersionsFinishAndFaultyVersionsRollBack(t *testing.T) {
	for _, r := range Run(7, 16) {
		if r.Policy != Planned {
			continue
		}
		if r.MovesWithoutFinalStatus > 0 {
			t.Errorf("%+v: %d moves without a final status", r.Kind, r.MovesWithoutFinalStatus)
		}
		if r.Kind.Effect == NoEffect && r.InTimeMoves != r.Moves {
			t.Errorf("%d of %d good moves finished in time: %v", r.InTimeMoves, r.Moves, r.WrongResults)
		}
		if r.Kind.Effect != NoEffect && r.RolledBackMoves != r.Moves {
			t.Errorf("%+v: %d of %d faulty versions were rolled back: %v", r.Kind, r.RolledBackMoves, r.Moves, r.WrongResults)
		}
	}
}
