package lab

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/caller"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
)

// SoakReport counts the results of callers and stand-ins in one or more rounds.
type SoakReport struct {
	Requests int
	Served   int
	// Rejected counts requests that were rejected as "not run".
	Rejected int
	// Unknown counts deposits that were answered with an unknown outcome.
	Unknown int
	// Expired counts deposits that were rejected for an expired key.
	Expired int
	// GivenUp counts accepted model requests whose final answer was an error.
	GivenUp int
	// Resolved counts deposits whose callers had to ask for the outcome.
	Resolved int

	// Each of the fields below counts violations of a guarantee.
	LostRequests       int
	TruncatedAnswers   int
	MixedAnswers       int
	CallsRunTwice      int
	FalseNotRunAnswers int
	FalseServedAnswers int
	// UnexpectedFailures counts final answers that are allowed only after certain
	// kinds of faults, none of which the round has injected.
	UnexpectedFailures int
	// InvariantViolations counts the violations that package invariant recorded.
	InvariantViolations uint64

	violations []string
	faults     []string
}

// String returns the counts in one line.
func (rep SoakReport) String() string {
	return fmt.Sprintf("requests=%d served=%d refused=%d unknown=%d expired=%d given_up=%d settled=%d "+
		"lost=%d cut=%d mixed=%d run_twice=%d false_not_run=%d false_served=%d not_allowed=%d breaches=%d",
		rep.Requests, rep.Served, rep.Rejected, rep.Unknown, rep.Expired, rep.GivenUp, rep.Resolved,
		rep.LostRequests, rep.TruncatedAnswers, rep.MixedAnswers, rep.CallsRunTwice, rep.FalseNotRunAnswers, rep.FalseServedAnswers, rep.UnexpectedFailures, rep.InvariantViolations)
}

// Failed reports whether a guarantee was violated or no request was served.
func (rep SoakReport) Failed() bool {
	violations := rep.LostRequests + rep.TruncatedAnswers + rep.MixedAnswers + rep.CallsRunTwice + rep.FalseNotRunAnswers + rep.FalseServedAnswers + rep.UnexpectedFailures
	return violations > 0 || rep.InvariantViolations > 0 || rep.Served == 0
}

func (rep SoakReport) writeDetails(out io.Writer) {
	for _, f := range rep.faults {
		fmt.Fprintln(out, "fault:", f)
	}
	for _, violation := range rep.violations {
		fmt.Fprintln(out, "seen:", violation)
	}
}

func (rep *SoakReport) merge(o SoakReport) {
	rep.Requests += o.Requests
	rep.Served += o.Served
	rep.Rejected += o.Rejected
	rep.Unknown += o.Unknown
	rep.Expired += o.Expired
	rep.GivenUp += o.GivenUp
	rep.Resolved += o.Resolved
	rep.LostRequests += o.LostRequests
	rep.TruncatedAnswers += o.TruncatedAnswers
	rep.MixedAnswers += o.MixedAnswers
	rep.CallsRunTwice += o.CallsRunTwice
	rep.FalseNotRunAnswers += o.FalseNotRunAnswers
	rep.FalseServedAnswers += o.FalseServedAnswers
	rep.UnexpectedFailures += o.UnexpectedFailures
	rep.InvariantViolations += o.InvariantViolations
}

// summariseSoak compares the callers' results with the services' runs.
func summariseSoak(results []*soakResult, runs map[string]int, faults *faultInjector) SoakReport {
	rep := SoakReport{Requests: len(results), faults: faults.eventLog()}
	for _, r := range results {
		if r.resolved {
			rep.Resolved++
		}
		if r.spec.isDeposit {
			rep.addDeposit(r, runs[routeDeposit+"/"+r.key.Value], faults)
			continue
		}
		rep.addModel(r, faults)
	}
	for key, n := range runs {
		if n > 1 {
			rep.CallsRunTwice++
			rep.addViolation("%s ran %d times", key, n)
		}
	}
	return rep
}

func (rep *SoakReport) addViolation(format string, args ...any) {
	if len(rep.violations) < maxListedFailures {
		rep.violations = append(rep.violations, fmt.Sprintf(format, args...))
	}
}

func (rep *SoakReport) addDeposit(r *soakResult, runs int, faults *faultInjector) {
	if r.err == nil {
		rep.addReceipt(r, runs)
		return
	}
	var rejection *callerapi.Error
	errors.As(r.err, &rejection)
	switch {
	case rejection == nil || !r.isFinal():
		rep.LostRequests++
		rep.addViolation("%s lost: runs=%d %v", r.key.Value, runs, r.err)
	case rejection.Run == callerapi.NotRun:
		rep.Rejected++
		if runs > 0 {
			rep.FalseNotRunAnswers++
			rep.addViolation("%s reported as not run, ran %d times: %v", r.key.Value, runs, r.err)
		}
	case rejection.Code == callerapi.KeyExpired:
		rep.Expired++
		if !faults.hasInjected(faultTrim) {
			rep.UnexpectedFailures++
			rep.addViolation("%s expired although no records were trimmed", r.key.Value)
		}
	default:
		rep.Unknown++
		if !faults.hasInjected(faultService, faultKill, faultReclaim) {
			rep.UnexpectedFailures++
			rep.addViolation("%s unknown although no process died and no answer was lost", r.key.Value)
		}
	}
}

func (rep *SoakReport) addReceipt(r *soakResult, runs int) {
	receipt, err := r.receipt()
	switch {
	case err != nil || receipt.Key != r.key.Value || receipt.Route != r.spec.route:
		rep.MixedAnswers++
		rep.addViolation("%s got another receipt: %s", r.key.Value, r.body)
	case runs == 0:
		rep.FalseServedAnswers++
		rep.addViolation("%s served but not run", r.key.Value)
	default:
		rep.Served++
	}
}

func (rep *SoakReport) addModel(r *soakResult, faults *faultInjector) {
	var rejection *callerapi.Error
	switch {
	case r.err == nil:
		rep.addAnswer(r)
	case errors.Is(r.err, caller.ErrInterrupted) || !errors.As(r.err, &rejection):
		rep.LostRequests++
		rep.addViolation("%s lost after %d tokens: %v", r.key.Value, len(r.answer.Tokens), r.err)
	case rejection.Run == callerapi.NotRun && len(r.answer.Tokens) == 0:
		rep.Rejected++
	default:
		rep.GivenUp++
		if !faults.hasInjected(faultEngine, faultKill) {
			rep.UnexpectedFailures++
			rep.addViolation("%s given up although neither a kill nor an engine fault was injected: %v", r.key.Value, r.err)
		}
	}
}

func (rep *SoakReport) addAnswer(r *soakResult) {
	switch checkAnswer(r.spec, r.answer.Tokens) {
	case Served:
		rep.Served++
	case Truncated:
		rep.TruncatedAnswers++
		rep.addViolation("%s truncated at %d of %d tokens", r.key.Value, len(r.answer.Tokens), r.spec.maxTokens)
	default:
		rep.MixedAnswers++
		rep.addViolation("%s has tokens of another request or in the wrong order", r.key.Value)
	}
}
