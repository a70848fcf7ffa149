package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	slow, fast  = 1.0, 0.41
	pauseTarget = 500 * time.Millisecond
)

// newUnevenCandidates returns engines of 16 slots: two slow ones, then a fast one, and so on.
func newUnevenCandidates(n int) []Candidate {
	candidates := newCandidates(n)
	for i := range candidates {
		candidates[i].Slots, candidates[i].Slowdown = 16, slow
		if i%3 == 2 {
			candidates[i].Slowdown = fast
		}
	}
	return candidates
}

// TestLongPromptsLeaveSlowEnginesToAnswers: long prompts meet short answers on engines of
// unequal speed. Between two events of an answer a slow engine computes hundreds of
// milliseconds of a long prompt, so the prompt goes to a fast one, also if that is busier.
func TestLongPromptsLeaveSlowEnginesToAnswers(t *testing.T) {
	candidates, r := newUnevenCandidates(12), newRandom()
	for i := range candidates {
		candidates[i].Load = Load{Running: 4}
		if candidates[i].Slowdown == fast {
			candidates[i].Load = Load{Running: 8, PrefillTokens: 2_000}
		}
	}
	for session := range uint64(50) {
		req := Request{PromptTokens: 18_000, AnswerTokens: 384, SharedTokens: 5_400, PrefixHash: mix(session + 1), LatencyTarget: time.Second, PauseTarget: pauseTarget}
		if c := Choose(ordinaryRates, req, candidates, r); candidates[c.Index].Slowdown != fast {
			t.Fatalf("session %d: a long prompt on slow engine %d with %v answers", session, c.Index, candidates[c.Index].Load.Running)
		}
	}
}

// TestShortPromptsLeaveFastEnginesFree: requests that are in time on any engine don't fill the
// fast ones, which long prompts need.
func TestShortPromptsLeaveFastEnginesFree(t *testing.T) {
	candidates, r := newUnevenCandidates(12), newRandom()
	onFast := 0
	for range 24 {
		c := Choose(ordinaryRates, Request{PromptTokens: 800, AnswerTokens: 300, LatencyTarget: 500 * time.Millisecond, PauseTarget: pauseTarget}, candidates, r)
		candidates[c.Index].Load.Add(Load{Running: 1})
		if candidates[c.Index].Slowdown == fast {
			onFast++
		}
	}
	if onFast > 4 {
		t.Errorf("%d of 24 short requests on the 4 fast engines, while the 8 slow ones are nearly idle", onFast)
	}
}

// TestLongPromptGoesWhereFewAnswersRun: engines of the same speed, of which one runs fewer
// answers, but in another zone.
func TestLongPromptGoesWhereFewAnswersRun(t *testing.T) {
	candidates, r := newCandidates(4), newRandom()
	for i := range candidates {
		candidates[i].Load, candidates[i].SameZone, candidates[i].Slots = Load{Running: 10}, i != 3, 16
	}
	candidates[3].Load = Load{Running: 2, PrefillTokens: 3_000}
	for range 20 {
		if c := Choose(ordinaryRates, Request{PromptTokens: 16_000, AnswerTokens: 384, LatencyTarget: time.Second, PauseTarget: pauseTarget}, candidates, r); c.Index != 3 {
			t.Fatalf("chose engine %d with %v answers, want the one with 2", c.Index, candidates[c.Index].Load.Running)
		}
	}
}

// TestFastEnginesAreHomesOfMorePrefixes: nodes that have measured the speeds a little
// differently agree on the homes of nine in ten prefixes.
func TestFastEnginesAreHomesOfMorePrefixes(t *testing.T) {
	const sessions = 1000
	a, b := newUnevenCandidates(12), newUnevenCandidates(12)
	r := rand.New(rand.NewPCG(5, 6))
	for i := range a {
		a[i].Slowdown *= 0.95 + 0.1*r.Float64()
		b[i].Slowdown *= 0.95 + 0.1*r.Float64()
	}
	onFast, differ := 0, 0
	for session := range uint64(sessions) {
		home := homeIndex(mix(session+1), a)
		if a[home].Slowdown < slow/2 {
			onFast++
		}
		if homeIndex(mix(session+1), b) != home {
			differ++
		}
	}
	if onFast < sessions*6/10 || differ > sessions/10 {
		t.Errorf("%d of %d homes on the 4 fast engines of 12, and nodes differ on %d", onFast, sessions, differ)
	}
}

// TestNodesWithTheSameViewSpreadLongPrompts: many nodes place long prompts within the age of
// their peers' reports, while one fast engine has the least work.
func TestNodesWithTheSameViewSpreadLongPrompts(t *testing.T) {
	candidates := newUnevenCandidates(24)
	for i := range candidates {
		candidates[i].Load = Load{Running: 4, PrefillTokens: 3_000}
	}
	candidates[2].Load = Load{}
	used := map[int]int{}
	for vm := range 24 {
		req := Request{PromptTokens: 18_000, AnswerTokens: 384, LatencyTarget: time.Second, PauseTarget: pauseTarget, Nodes: 24}
		used[Choose(ordinaryRates, req, candidates, rand.New(rand.NewPCG(uint64(vm), 11))).Index]++
	}
	for i, n := range used {
		if n > 9 {
			t.Errorf("%d of 24 long prompts on engine %d", n, i)
		}
	}
}
