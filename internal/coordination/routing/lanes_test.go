package routing

import (
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
)

func TestLanesFollowTheWorkShares(t *testing.T) {
	l := lanes{batchShare: initialShare}
	for i := range 10 * laneWindow {
		l.record(i%10 < 3, 1)
	}
	batch, other := l.lane(true, 12), l.lane(false, 12)
	if batch.To < 0.2 || batch.To > 0.4 || other.From != batch.To || batch.From != 0 || other.To != 1 {
		t.Fatalf("lanes are %+v and %+v at a batch share of 0.3", batch, other)
	}
}

func TestNoLanesWithoutBatchRequestsOrWithFewServers(t *testing.T) {
	l := lanes{batchShare: initialShare}
	if l.lane(true, minLaneServers-1) != fleet.AllServers {
		t.Fatal("a small group is divided")
	}
	for range 10 * laneWindow {
		l.record(false, 1)
	}
	if l.lane(false, 12) != fleet.AllServers {
		t.Fatal("servers are reserved for batch requests although there are none")
	}
}

func TestSmallFluctuationsDoNotChangeLanes(t *testing.T) {
	l := lanes{batchShare: initialShare}
	for i := range 40 * laneWindow {
		l.record(i%2 == 0, 1)
		if l.requests > laneWindow && l.batchShare != initialShare {
			t.Fatalf("batch share changed to %v", l.batchShare)
		}
	}
}
