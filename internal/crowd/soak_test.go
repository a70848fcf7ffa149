package crowd

import (
	"context"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/faultlab"
)

// TestCrowdBesideFaults runs short rounds of the soak with crowds of callers, beside restarts,
// kills, changed settings and faults of the store and the servers.
func TestCrowdBesideFaults(t *testing.T) {
	programs := buildPrograms(t)
	for _, seed := range []uint64{1, 100} {
		var out strings.Builder
		err := faultlab.Run(context.Background(), faultlab.Options{
			Seed: seed, Processes: 3, Scenario: faultlab.ScenarioCrowd, RoundDuration: 15 * time.Second,
			Binary: filepath.Join(programs, "coltsfoot-gateway"), Dir: t.TempDir(),
		}, &out)
		t.Log(lastBytes(out.String(), 2000))
		if err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}
