package faultlab

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// seeds are those played in CI. A seed that ever failed stays here with a line
// on its cause.
var seeds = []uint64{
	// 1: servers that all ramp up after a start were all passed over.
	1,
}

// TestFaults plays a short round of each seed with the real program.
func TestFaults(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "coltsfoot-gateway")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/coltsfoot-gateway").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, seed := range seeds {
		var out strings.Builder
		o := Options{Seed: seed, Processes: 3, Binary: binary, Dir: t.TempDir(), RoundTime: 4 * time.Second}
		if err := Run(context.Background(), o, &out); err != nil {
			t.Errorf("%v\n%s", err, out.String())
		}
	}
}
