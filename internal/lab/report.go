package lab

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Report aggregates the results of callers and the counts of stand-ins.
type Report struct {
	Requests           int
	Served             int
	Rejected           int
	Unknown            int
	Retried            int
	CallsRunTwice      int
	LostRequests       int
	TruncatedAnswers   int
	MixedAnswers       int
	FalseNotRunAnswers int
	FirstToken         []time.Duration
	BetweenTokens      []time.Duration
	Work               Work
	Elapsed            time.Duration
	Failures           []string
}

const maxListedFailures = 10

// Summarise counts the results. runs holds the services' run counts by
// "route/key".
func Summarise(results []Result, runs map[string]int, work Work, elapsed time.Duration) Report {
	rep := Report{Requests: len(results), Work: work, Elapsed: elapsed}
	for _, r := range results {
		rep.add(r, runs)
	}
	for _, n := range runs {
		if n > 1 {
			rep.CallsRunTwice++
		}
	}
	slices.Sort(rep.FirstToken)
	slices.Sort(rep.BetweenTokens)
	return rep
}

func (rep *Report) add(r Result, runs map[string]int) {
	if r.Retries > 0 {
		rep.Retried++
	}
	ran := runs[routeDeposit+"/"+r.Key] > 0
	switch r.Outcome {
	case Served:
		rep.Served++
		if !r.IsModel && !ran {
			rep.LostRequests++
		}
		if r.IsModel {
			rep.FirstToken = append(rep.FirstToken, r.Timing.FirstToken)
			rep.BetweenTokens = append(rep.BetweenTokens, r.Timing.BetweenTokens...)
		}
	case RejectedNotRun:
		rep.Rejected++
		if ran {
			rep.FalseNotRunAnswers++
		}
	case Unknown:
		rep.Unknown++
	case Lost:
		rep.LostRequests++
	case Truncated:
		rep.TruncatedAnswers++
	case Mixed:
		rep.MixedAnswers++
	}
	if r.Err != nil && len(rep.Failures) < maxListedFailures {
		rep.Failures = append(rep.Failures, fmt.Sprintf("%s: %v", r.Key, r.Err))
	}
}

// Failed reports whether a guarantee was violated or no request was served.
func (rep Report) Failed() bool {
	return rep.LostRequests+rep.TruncatedAnswers+rep.MixedAnswers+rep.CallsRunTwice+rep.FalseNotRunAnswers > 0 || rep.Served == 0
}

// Write prints a table, the causes of requests not served, and the verdict as
// the last line.
func (rep Report) Write(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, value any) { fmt.Fprintf(w, "%s\t%v\t\n", name, value) }
	row("requests", rep.Requests)
	row("served whole", rep.Served)
	row("refused, not run", rep.Rejected)
	row("outcome unknown", rep.Unknown)
	row("resent by callers", rep.Retried)
	row("run twice", rep.CallsRunTwice)
	row("refused, yet run", rep.FalseNotRunAnswers)
	row("lost", rep.LostRequests)
	row("cut", rep.TruncatedAnswers)
	row("mixed up", rep.MixedAnswers)
	row("tokens recomputed", rep.Work.Recomputed)
	row("tokens prefilled", rep.Work.Prefilled)
	row("tokens generated", rep.Work.Generated)
	row("first token p50", Quantile(rep.FirstToken, 0.50).Round(100*time.Microsecond))
	row("first token p95", Quantile(rep.FirstToken, 0.95).Round(100*time.Microsecond))
	row("between tokens p50", Quantile(rep.BetweenTokens, 0.50).Round(100*time.Microsecond))
	row("between tokens p95", Quantile(rep.BetweenTokens, 0.95).Round(100*time.Microsecond))
	row("cost per 1,000 served", fmt.Sprintf("%.6f", float64(rep.Work.Cost)/1e6/float64(max(rep.Served, 1))*1000))
	row("elapsed", rep.Elapsed.Round(10*time.Millisecond))
	_ = w.Flush()
	for _, failure := range rep.Failures {
		fmt.Fprintln(out, "not served:", failure)
	}
	verdict := "PASS: no request was lost, cut, mixed up or run twice"
	if rep.Failed() {
		verdict = "FAIL: a promise was broken"
	}
	fmt.Fprintln(out, verdict)
}

// Quantile returns the q-quantile of sorted values, or 0 if there are none.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
