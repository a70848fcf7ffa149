package policybench

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// An answer is on time if its first token takes at most firstTokenTarget and the
// mean of its times between tokens is at most betweenTokenTarget.
const (
	firstTokenTarget   = 1700 * time.Millisecond
	betweenTokenTarget = 33 * time.Millisecond
	// lastWindow is the duration of the period that row.lastWindowOnTimeRatio covers.
	// The period ends with the last arrival.
	lastWindow = 15 * time.Second
)

// row holds the results of one policy in one scenario.
type row struct {
	scenario, policy string
	requests         int
	onTimeAnswers    int
	rejectedRequests int
	expiredRequests  int
	// costPer1000OnTime is the cost per 1,000 answers on time, in millionths of the
	// currency unit.
	costPer1000OnTime float64
	prefilledTokens   int
	recomputedTokens  int
	firstToken        []time.Duration
	betweenTokens     []time.Duration
	// worstWorkspaceOnTimeRatio is the fraction of requests on time in the workspace
	// where it is smallest.
	worstWorkspaceOnTimeRatio float64
	// lastWindowOnTimeRatio is the fraction of requests on time among those that
	// arrived within lastWindow.
	lastWindowOnTimeRatio float64
}

func summarise(scenario, policy string, requests []*request, sim *simulation, costMicros float64) row {
	out := row{scenario: scenario, policy: policy, requests: len(requests), prefilledTokens: sim.prefill.prefilledTokens, recomputedTokens: sim.prefill.recomputedTokens, worstWorkspaceOnTimeRatio: 1}
	sent := make([]int, len(workspaceNames))
	onTime := make([]int, len(workspaceNames))
	lastWindowSent, lastWindowOnTime := 0, 0
	lastArrival := requests[len(requests)-1].arrivalOffset
	for _, r := range requests {
		sent[r.workspace]++
		if r.arrivalOffset > lastArrival-lastWindow {
			lastWindowSent++
			if r.outcome == served && r.onTime() {
				lastWindowOnTime++
			}
		}
		switch r.outcome {
		case rejected:
			out.rejectedRequests++
			continue
		case served:
		default:
			out.expiredRequests++
			continue
		}
		out.firstToken = append(out.firstToken, r.firstToken)
		out.betweenTokens = append(out.betweenTokens, r.betweenTokens...)
		if r.onTime() {
			out.onTimeAnswers++
			onTime[r.workspace]++
		}
	}
	for i := range sent {
		out.worstWorkspaceOnTimeRatio = min(out.worstWorkspaceOnTimeRatio, float64(onTime[i])/float64(max(sent[i], 1)))
	}
	out.lastWindowOnTimeRatio = float64(lastWindowOnTime) / float64(max(lastWindowSent, 1))
	out.costPer1000OnTime = costMicros / float64(max(out.onTimeAnswers, 1)) * 1000
	slices.Sort(out.firstToken)
	slices.Sort(out.betweenTokens)
	return out
}

// onTime reports whether a complete answer met both latency targets.
func (r *request) onTime() bool {
	var sum time.Duration
	for _, g := range r.betweenTokens {
		sum += g
	}
	return r.firstToken <= firstTokenTarget && sum <= betweenTokenTarget*time.Duration(max(len(r.betweenTokens), 1))
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func writeTable(out io.Writer, rows []row) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "scenario\tpolicy\trequests\ton time\trejected\texpired\tcost per 1,000 on time\tfirst token p50/p95 ms\tbetween tokens p50/p95 ms\tprefilled\trecomputed\tworst workspace on time\tlast 15 s on time")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%.4f\t%d/%d\t%.1f/%.1f\t%d\t%d\t%.1f%%\t%.1f%%\n",
			r.scenario, r.policy, r.requests, r.onTimeAnswers, r.rejectedRequests, r.expiredRequests, r.costPer1000OnTime/1e6,
			quantile(r.firstToken, 0.5).Milliseconds(), quantile(r.firstToken, 0.95).Milliseconds(),
			millis(quantile(r.betweenTokens, 0.5)), millis(quantile(r.betweenTokens, 0.95)),
			r.prefilledTokens, r.recomputedTokens, r.worstWorkspaceOnTimeRatio*100, r.lastWindowOnTimeRatio*100)
	}
	_ = w.Flush()
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
