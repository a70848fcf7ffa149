package policybench

import (
	"reflect"
	"testing"
	"time"
)

var shortScenario = scenario{name: "short", phases: []phase{{2 * time.Second, burstRate}}, injectFaults: func(sim *simulation) {
	sim.clock.after(500*time.Millisecond, func() { sim.reclaim(reclaimedZone, 500*time.Millisecond) })
}}

func TestSameSeedGivesSameResults(t *testing.T) {
	for _, p := range policies {
		first, second := shortScenario.run(p, 7), shortScenario.run(p, 7)
		if !reflect.DeepEqual(first, second) {
			t.Errorf("%s: two runs with the same seed differ", p.name)
		}
		other := shortScenario.run(p, 8)
		if reflect.DeepEqual(first.firstToken, other.firstToken) {
			t.Errorf("%s: two seeds give the same first-token times", p.name)
		}
	}
}

func TestEveryRequestEnds(t *testing.T) {
	for _, p := range policies {
		r := shortScenario.run(p, 7)
		if len(r.firstToken)+r.rejectedRequests+r.expiredRequests != r.requests || r.requests == 0 {
			t.Errorf("%s: %d answered, %d rejected and %d expired of %d requests", p.name, len(r.firstToken), r.rejectedRequests, r.expiredRequests, r.requests)
		}
	}
}

func TestPreviouslyComputedBlocksCountAsRecomputed(t *testing.T) {
	c := prefillCounter{computedBlocks: map[uint64]bool{}}
	c.add([]uint64{1, 2}, 40, 40, false)
	if c.prefilledTokens != 40 || c.recomputedTokens != 0 {
		t.Fatalf("first prompt: prefilled %d, recomputed %d", c.prefilledTokens, c.recomputedTokens)
	}
	c.add([]uint64{1, 2}, 40, 24, false)
	if c.prefilledTokens != 64 || c.recomputedTokens != 16 {
		t.Fatalf("one block cached: prefilled %d, recomputed %d", c.prefilledTokens, c.recomputedTokens)
	}
	c.add([]uint64{1, 2}, 45, 45, true)
	if c.recomputedTokens != 61 {
		t.Fatalf("retry: recomputed %d", c.recomputedTokens)
	}
}

func TestOnTimeRequiresBothTargets(t *testing.T) {
	tests := []struct {
		first time.Duration
		gaps  []time.Duration
		want  bool
	}{
		{firstTokenTarget, []time.Duration{betweenTokenTarget}, true},
		{firstTokenTarget + 1, nil, false},
		{0, []time.Duration{betweenTokenTarget, betweenTokenTarget + 1}, false},
	}
	for _, tt := range tests {
		r := request{firstToken: tt.first, betweenTokens: tt.gaps}
		if r.onTime() != tt.want {
			t.Errorf("first %v gaps %v: on time %v", tt.first, tt.gaps, r.onTime())
		}
	}
}

// TestGoodputRecoversAfterOverload guards against lasting effects of an overload:
// after a burst of more than twice the engines' capacity, neither full queues nor
// resubmitted requests may reduce the fraction of later requests on time.
func TestGoodputRecoversAfterOverload(t *testing.T) {
	s := scenario{name: "overload", phases: []phase{
		{2 * time.Second, calmRate}, {5 * time.Second, overloadRate}, {22 * time.Second, calmRate},
	}, injectFaults: func(*simulation) {}}
	calm := scenario{name: "calm", phases: []phase{{15 * time.Second, calmRate}}, injectFaults: func(*simulation) {}}
	system := policies[len(policies)-1]
	undisturbed, after := calm.run(system, 3).lastWindowOnTimeRatio, s.run(system, 3).lastWindowOnTimeRatio
	if after < undisturbed-0.01 {
		t.Fatalf("on time: %.3f without an overload, %.3f after one", undisturbed, after)
	}
}
