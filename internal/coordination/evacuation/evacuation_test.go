package evacuation

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var rates = Rates{
	PrefillPerToken: 100 * time.Microsecond,
	BetweenTokens:   10 * time.Millisecond,
	BytesPerToken:   1 << 10,
	BytesPerSecond:  1 << 20,
	Overhead:        10 * time.Millisecond,
	Lanes:           1,
	Margin:          100 * time.Millisecond,
}

// stream returns a stream whose transfer takes about one millisecond for each
// cached token.
func stream(id, cached, uncached int) Stream {
	return Stream{ID: id, Server: "engine-1", RemainingNotice: time.Second, CachedTokens: cached, UncachedTokens: uncached, RemainingTokens: 1000}
}

func stepOrder(steps []Step) (ids []int, methods []Method) {
	for _, s := range steps {
		ids, methods = append(ids, s.ID), append(methods, s.Method)
	}
	return ids, methods
}

// TestOrderOfEvacuation checks that transfers are ordered by the prefill time
// saved per second of transfer, that streams whose transfer exceeds the notice
// are prefilled, and that streams which end soon stay.
func TestOrderOfEvacuation(t *testing.T) {
	ends := stream(5, 100, 100)
	ends.RemainingTokens = 20
	other := stream(6, 400, 100)
	other.Server = "engine-2"
	steps := Plan([]Stream{
		ends,
		stream(1, 400, 100),  // saves the least per second
		stream(2, 400, 400),  // saves the most
		stream(3, 400, 300),  // saves the second most
		stream(4, 2000, 600), // too long for the remaining notice
		other,                // on a server with separate lanes
	}, rates)
	ids, methods := stepOrder(steps)
	if !slices.Equal(ids, []int{2, 3, 6, 4, 1, 5}) {
		t.Fatalf("order of streams is %v", ids)
	}
	if !slices.Equal(methods, []Method{Transfer, Transfer, Transfer, Prefill, Prefill, Stay}) {
		t.Fatalf("%v", methods)
	}
}

// TestTransfersOfEqualCachesAreOptimal compares the plan with all possible
// choices: with caches of one size it saves as many tokens as the best of them.
func TestTransfersOfEqualCachesAreOptimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		streams := make([]Stream, rapid.IntRange(1, 8).Draw(t, "streams"))
		for i := range streams {
			streams[i] = stream(i, 200, rapid.IntRange(1, 200).Draw(t, "uncached"))
		}
		maxTransfers := int((time.Second - rates.Margin) / rates.TransferTime(200))
		best := 0
		for mask := range 1 << len(streams) {
			count, saved := 0, 0
			for i, s := range streams {
				if mask>>i&1 == 1 {
					count++
					saved += s.UncachedTokens
				}
			}
			if count <= maxTransfers {
				best = max(best, saved)
			}
		}
		got := 0
		for _, s := range Plan(streams, rates) {
			if s.Method == Transfer {
				got += s.UncachedTokens
			}
		}
		if got != best {
			t.Fatalf("plan saves %d tokens, want %d", got, best)
		}
	})
}

// TestTransfersFitTheNotice checks for arbitrary streams that each gets one
// step and that no lane is used beyond its server's notice.
func TestTransfersFitTheNotice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rates
		r.Lanes = rapid.IntRange(1, 4).Draw(t, "lanes")
		streams := make([]Stream, rapid.IntRange(0, 30).Draw(t, "streams"))
		for i := range streams {
			streams[i] = Stream{
				ID:              i,
				Server:          rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"),
				RemainingNotice: time.Duration(rapid.IntRange(0, 3000).Draw(t, "notice")) * time.Millisecond,
				CachedTokens:    rapid.IntRange(0, 2000).Draw(t, "cached"),
				UncachedTokens:  rapid.IntRange(0, 2000).Draw(t, "uncached"),
				RemainingTokens: rapid.IntRange(0, 500).Draw(t, "remaining"),
			}
		}
		steps := Plan(streams, r)
		seen := map[int]bool{}
		lanes := map[string][]time.Duration{"a": make([]time.Duration, r.Lanes), "b": make([]time.Duration, r.Lanes)}
		for _, s := range steps {
			if seen[s.ID] {
				t.Fatalf("stream %d has two steps", s.ID)
			}
			seen[s.ID] = true
			if s.Method != Transfer {
				continue
			}
			free := lanes[s.Server]
			slices.Sort(free)
			free[0] += r.TransferTime(s.CachedTokens)
			if free[0]+r.Margin > s.RemainingNotice {
				t.Fatalf("transfer of stream %d ends after the notice", s.ID)
			}
		}
		if len(steps) != len(streams) {
			t.Fatalf("%d steps for %d streams", len(steps), len(streams))
		}
	})
}
