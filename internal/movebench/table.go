package movebench

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// PolicyName names a policy for version moves.
type PolicyName string

// Policies that are compared.
const (
	Planned   PolicyName = "planned"
	Canary    PolicyName = "canary"
	AllAtOnce PolicyName = "all at once"
	// NoHolder is Planned, but the lease holder stops permanently when the fault
	// begins. With NoHolderNoBlock the nodes also do not block the new version locally.
	NoHolder        PolicyName = "no holder"
	NoHolderNoBlock PolicyName = "no holder or brake"
)

var policies = []PolicyName{Planned, Canary, AllAtOnce, NoHolder, NoHolderNoBlock}

// appliesTo reports whether the policy is simulated for the kind of move.
func (p PolicyName) appliesTo(k Kind) bool {
	return (p != NoHolder && p != NoHolderNoBlock) || k.Onset == Later
}

// detectsFaults reports whether the policy is expected to finish good moves and to
// roll back faulty ones.
func (p PolicyName) detectsFaults() bool {
	return p == Planned || p == Canary
}

// Row summarises the moves of one kind under one policy.
type Row struct {
	Kind            Kind
	Policy          PolicyName
	Moves           int
	FinishedMoves   int
	InTimeMoves     int
	RolledBackMoves int
	// MovesWithoutFinalStatus counts moves that had no final status at the end.
	MovesWithoutFinalStatus int
	// MovesWithExposure counts moves whose fault affected at least one request.
	MovesWithExposure int
	Requests          int
	ExposedRequests   []int
	// ExposureTimes holds, for each faulty move that was rolled back, the time from
	// the first request affected by the fault to the last.
	ExposureTimes []time.Duration
	// WrongResults describes the good moves that did not finish and the faulty ones
	// that did. It is empty for policies that do not detect faults.
	WrongResults []string
}

// Run simulates count moves, half of them good, under each policy.
func Run(seed uint64, count int) []Row {
	scenarios := make([]scenario, count)
	outcomes := make([]map[PolicyName]outcome, count)
	var running sync.WaitGroup
	slots := make(chan struct{}, maxParallel)
	for i := range count {
		scenarios[i] = newScenario(seed*1_000_003+uint64(i), kindOf(i))
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			outcomes[i] = simulateAll(scenarios[i])
		})
	}
	running.Wait()
	rows := map[Kind]map[PolicyName]*Row{}
	for i, s := range scenarios {
		if rows[s.kind] == nil {
			rows[s.kind] = map[PolicyName]*Row{}
		}
		for name, o := range outcomes[i] {
			r, ok := rows[s.kind][name]
			if !ok {
				r = &Row{Kind: s.kind, Policy: name}
				rows[s.kind][name] = r
			}
			r.add(s, o)
		}
	}
	return sortedRows(rows)
}

// maxParallel bounds the number of moves that are simulated at the same time.
const maxParallel = 3

func kindOf(i int) Kind {
	if i%2 == 0 {
		return kinds[0]
	}
	return kinds[1+(i/2)%(len(kinds)-1)]
}

func simulateAll(s scenario) map[PolicyName]outcome {
	out := map[PolicyName]outcome{}
	for _, name := range policies {
		if name.appliesTo(s.kind) {
			out[name] = simulate(s, newPolicy(name, s))
		}
	}
	return out
}

func newPolicy(name PolicyName, s scenario) policy {
	p := newPlanned(s)
	switch name {
	case NoHolder:
		p.holderStopsAtFault = true
	case NoHolderNoBlock:
		p.holderStopsAtFault, p.localBlocksDisabled = true, true
	case Canary:
		return &canary{scenario: s}
	case AllAtOnce:
		return &allAtOnce{scenario: s}
	}
	return p
}

func sortedRows(rows map[Kind]map[PolicyName]*Row) []Row {
	var out []Row
	for _, k := range kinds {
		for _, p := range policies {
			if r, ok := rows[k][p]; ok {
				out = append(out, *r)
			}
		}
	}
	return out
}

func (r *Row) add(s scenario, o outcome) {
	r.Moves++
	r.Requests += o.requests
	switch {
	case !o.hasFinalStatus:
		r.MovesWithoutFinalStatus++
	case o.finished:
		r.FinishedMoves++
		if o.endedAt <= s.duration {
			r.InTimeMoves++
		}
	default:
		r.RolledBackMoves++
	}
	if o.finished == s.isFaulty() && r.Policy.detectsFaults() {
		r.WrongResults = append(r.WrongResults, fmt.Sprintf("seed %d: finished=%v at %v of %v: %s", s.seed, o.finished, o.endedAt, s.duration, o.reason))
	}
	if !s.isFaulty() {
		return
	}
	r.ExposedRequests = append(r.ExposedRequests, o.exposedRequests)
	if !o.hasExposure {
		return
	}
	r.MovesWithExposure++
	if o.hasFinalStatus && !o.finished {
		r.ExposureTimes = append(r.ExposureTimes, o.lastExposedAt-o.firstExposedAt)
	}
}

// quantile returns the q-quantile of the values, or 0 if there are none.
func quantile[T int | time.Duration](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Write prints the table.
func Write(out io.Writer, rows []Row) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "version\tpolicy\tmoves\tfinished\tin time\trolled back\tno final status\texposed p50\tp95\tmax\tper 1000\texposure time p50\tmax\t")
	for _, r := range rows {
		name := string(r.Kind.Effect)
		if r.Kind.Onset != NoOnset {
			name += ", " + string(r.Kind.Onset)
		}
		total := 0
		for _, e := range r.ExposedRequests {
			total += e
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%v\t%v\t\n",
			name, r.Policy, r.Moves, r.FinishedMoves, r.InTimeMoves, r.RolledBackMoves, r.MovesWithoutFinalStatus,
			quantile(r.ExposedRequests, 0.5), quantile(r.ExposedRequests, 0.95), quantile(r.ExposedRequests, 1),
			1000*float64(total)/float64(r.Requests), quantile(r.ExposureTimes, 0.5), quantile(r.ExposureTimes, 1))
	}
	_ = w.Flush()
	for _, r := range rows {
		for _, reason := range r.WrongResults {
			fmt.Fprintf(out, "wrong result: %s %s, %s: %s\n", r.Kind.Effect, r.Kind.Onset, r.Policy, reason)
		}
	}
}

// Command returns the command that prints the table.
func Command() *cobra.Command {
	var seed uint64
	var count int
	cmd := &cobra.Command{
		Use:   "moves",
		Short: "Compares planned version moves, good and faulty, with two baselines in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			Write(cmd.OutOrStdout(), Run(seed, count))
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the moves")
	cmd.Flags().IntVar(&count, "count", 208, "number of moves to simulate under each policy")
	return cmd
}
