package lab

import (
	"context"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/state/control"
)

// TestBadVersionIsRolledBackOverRealSockets makes half of the new version's
// requests fail. The move must be rolled back, either by the verdict on the new
// version or at the deadline, without an effect on callers.
func TestBadVersionIsRolledBackOverRealSockets(t *testing.T) {
	rep, err := RunMove(context.Background(), MoveOptions{
		Duration: 13 * time.Second, Rate: 60, Seed: 1, FailRatio: 0.5,
		Size: Size{AvailabilityZones: 2, EntryVMs: 3, Engines: 4, Services: 1, Workers: 64},
	})
	if err != nil {
		t.Fatal(err)
	}
	s := rep.Status.Progress.FinalStatus
	if s.Result != control.MoveRolledBack || s.Reason == "" || s.At.IsZero() {
		t.Fatalf("%+v", s)
	}
	if rep.Status.Progress.SharePermille != 0 {
		t.Fatalf("share %d permille", rep.Status.Progress.SharePermille)
	}
	if rep.Calls.Failed() {
		t.Fatalf("%+v", rep.Calls.Failures)
	}
}
