package peerapi

import "coltsfootpath.example/coltsfootpath/internal/coordination/evidence"

// EncodeEvidence converts a report to a peer message.
func EncodeEvidence(r evidence.Report) *EvidenceRequest {
	out := &EvidenceRequest{Vm: r.Node, Epoch: r.Epoch, Sequence: r.Sequence, Braked: r.BlockedMoves}
	for _, s := range r.Samples {
		out.Samples = append(out.Samples, &Sample{
			Move:         s.Move,
			Version:      s.Version,
			Route:        s.Route,
			Step:         uint32(s.Step),
			Answers:      s.Answers,
			Failures:     s.Failures,
			FirstToken:   trimEmptyBuckets(s.FirstToken),
			BetweenToken: trimEmptyBuckets(s.BetweenTokens),
		})
	}
	return out
}

// trimEmptyBuckets returns the buckets of a histogram without the empty ones at
// the end.
func trimEmptyBuckets(h evidence.Histogram) []uint64 {
	n := len(h)
	for n > 0 && h[n-1] == 0 {
		n--
	}
	return h[:n]
}

// DecodeEvidence converts a peer message to a report. Buckets beyond the end of
// evidence.Histogram are dropped.
func DecodeEvidence(in *EvidenceRequest) evidence.Report {
	r := evidence.Report{Node: in.GetVm(), Epoch: in.GetEpoch(), Sequence: in.GetSequence(), BlockedMoves: in.GetBraked()}
	for _, s := range in.GetSamples() {
		sample := evidence.Sample{
			Key:    evidence.Key{Move: s.GetMove(), Version: s.GetVersion(), Route: s.GetRoute(), Step: int(s.GetStep())},
			Counts: evidence.Counts{Answers: s.GetAnswers(), Failures: s.GetFailures()},
		}
		copy(sample.FirstToken[:], s.GetFirstToken())
		copy(sample.BetweenTokens[:], s.GetBetweenToken())
		r.Samples = append(r.Samples, sample)
	}
	return r
}
