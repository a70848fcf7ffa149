// Package evacuation decides how the streams on backend servers under a reclaim
// notice continue: which ones stay until they end, whose KV cache is
// transferred and in which order, and which ones are prefilled again on another
// server.
package evacuation

import (
	"cmp"
	"slices"
	"time"
)

// Method is the way in which one stream continues.
type Method int

// Values of Method.
const (
	// Stay: the stream ends well before its server leaves.
	Stay Method = iota
	// Transfer: the KV cache is transferred to another server.
	Transfer
	// Prefill: another server prefills the prompt and the answer so far again.
	Prefill
)

// String returns the method's name.
func (m Method) String() string {
	return [...]string{"stay", "transfer", "prefill"}[m]
}

// Stream is one running answer on a leaving server.
type Stream struct {
	// ID is the stream's identifier, assigned by the caller of Plan.
	ID int
	// Server is the leaving backend server.
	Server string
	// RemainingNotice is the remaining time until the server leaves.
	RemainingNotice time.Duration
	// CachedTokens is the number of tokens in the cache that a transfer would send.
	CachedTokens int
	// UncachedTokens is the number of tokens that another server would have to
	// compute without a transfer.
	UncachedTokens int
	// RemainingTokens is the number of tokens still to produce.
	RemainingTokens int
}

// Rates holds the plan's assumptions about servers and links.
type Rates struct {
	PrefillPerToken time.Duration
	BetweenTokens   time.Duration
	BytesPerToken   int64
	// BytesPerSecond is this node's share of the bandwidth of one leaving
	// server's link.
	BytesPerSecond float64
	// Overhead is the time that a transfer takes in addition to sending its
	// bytes.
	Overhead time.Duration
	// Lanes is the number of concurrent transfers from one server.
	Lanes int
	// Margin is the time that is kept free before a server leaves.
	Margin time.Duration
}

// stayDivisor divides the remaining notice: a stream that stays must end within
// the quotient.
const stayDivisor = 2

// Step is the planned method for one stream.
type Step struct {
	Stream
	Method Method
}

// TransferTime returns the time that one lane takes to transfer a cache of the
// given number of tokens.
func (r Rates) TransferTime(tokens int) time.Duration {
	perLane := r.BytesPerSecond / float64(r.Lanes)
	return r.Overhead + time.Duration(float64(int64(tokens)*r.BytesPerToken)/perLane*float64(time.Second))
}

// gain returns the prefill time saved per second of transfer.
func (r Rates) gain(s Stream) float64 {
	saved := time.Duration(s.UncachedTokens) * r.PrefillPerToken
	return saved.Seconds() / r.TransferTime(s.CachedTokens).Seconds()
}

// Plan decides on all streams of all leaving servers at once. The transfers
// come first, in the order in which each server's lanes have to start them,
// then the prefills, beginning with the longest remaining answer, then the
// streams that stay.
func Plan(streams []Stream, rates Rates) []Step {
	var staying, prefills []Step
	var moving []Stream
	for _, s := range streams {
		if endsInTime(s, rates) {
			staying = append(staying, Step{Stream: s, Method: Stay})
			continue
		}
		moving = append(moving, s)
	}
	slices.SortStableFunc(moving, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(rates.gain(b), rates.gain(a)), cmp.Compare(a.ID, b.ID))
	})
	lanes := map[string][]time.Duration{}
	var steps []Step
	for _, s := range moving {
		if reserveLane(lanes, s, rates) {
			steps = append(steps, Step{Stream: s, Method: Transfer})
			continue
		}
		prefills = append(prefills, Step{Stream: s, Method: Prefill})
	}
	slices.SortStableFunc(prefills, func(a, b Step) int { return cmp.Compare(b.RemainingTokens, a.RemainingTokens) })
	return append(append(steps, prefills...), staying...)
}

func endsInTime(s Stream, rates Rates) bool {
	end := time.Duration(s.RemainingTokens) * rates.BetweenTokens
	return end+rates.Margin <= s.RemainingNotice/stayDivisor
}

// reserveLane reserves time for the stream's transfer on the lane of its server
// that is free first, and reports whether the transfer ends in time.
func reserveLane(lanes map[string][]time.Duration, s Stream, rates Rates) bool {
	if s.UncachedTokens == 0 {
		return false
	}
	if lanes[s.Server] == nil {
		lanes[s.Server] = make([]time.Duration, rates.Lanes)
	}
	laneFreeAt := lanes[s.Server]
	first := slices.Index(laneFreeAt, slices.Min(laneFreeAt))
	end := laneFreeAt[first] + rates.TransferTime(s.CachedTokens)
	if end+rates.Margin > s.RemainingNotice {
		return false
	}
	laneFreeAt[first] = end
	return true
}
