package peerapi

import "coltsfootpath.example/coltsfootpath/internal/coordination/burn"

// EncodeBurn converts a snapshot to a peer message.
func EncodeBurn(s burn.Snapshot) *BurnReply {
	out := &BurnReply{}
	for _, r := range s.Rows {
		out.Rows = append(out.Rows, &BurnRow{
			Service: r.Key.Service, Version: r.Key.Version, Route: r.Key.Route, Workspace: r.Key.Workspace,
			Counts: encodeCounts(r.Counts),
		})
	}
	for _, x := range s.Series {
		out.Series = append(out.Series, &BurnSeries{Service: x.Service, Minutes: encodeCounts(x.Minutes)})
	}
	return out
}

// DecodeBurn converts a peer message to a snapshot. Lists of counts with
// another length than this version uses are truncated or padded with zeros.
func DecodeBurn(m *BurnReply) burn.Snapshot {
	var out burn.Snapshot
	for _, r := range m.GetRows() {
		key := burn.Key{Service: r.GetService(), Version: r.GetVersion(), Route: r.GetRoute(), Workspace: r.GetWorkspace()}
		out.Rows = append(out.Rows, burn.Row{Key: key, Counts: decodeCounts(r.GetCounts(), len(burn.Windows))})
	}
	for _, x := range m.GetSeries() {
		out.Series = append(out.Series, burn.Series{Service: x.GetService(), Minutes: decodeCounts(x.GetMinutes(), burn.SeriesLength)})
	}
	return out
}

func encodeCounts(counts []burn.Count) []*BurnCount {
	out := make([]*BurnCount, len(counts))
	for i, c := range counts {
		out[i] = &BurnCount{Answers: c.Answers, Bad: c.BadAnswers}
	}
	return out
}

func decodeCounts(counts []*BurnCount, length int) []burn.Count {
	out := make([]burn.Count, length)
	for i := range min(len(counts), length) {
		out[i] = burn.Count{Answers: counts[i].GetAnswers(), BadAnswers: counts[i].GetBad()}
	}
	return out
}
