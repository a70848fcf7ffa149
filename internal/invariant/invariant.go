// Package invariant checks the system's invariants at run time. A breach is
// always logged and counted in a metric; tests make it fatal.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"
)

// Name identifies an invariant; it is the value of the metric's label.
type Name string

// Invariants that the system checks at run time.
const (
	// AnswerOnlyGrows: the part of an answer that was sent to its caller is never
	// changed or shortened.
	AnswerOnlyGrows Name = "answer_only_grows"
	// SupersededFramesDropped: frames of a superseded attempt are not added to an
	// answer.
	SupersededFramesDropped Name = "superseded_frames_dropped"
	// OneRunPerKey: a non-repeatable call is sent at most once.
	OneRunPerKey Name = "one_run_per_key"
	// NotRunIsTrue: a call that may have been sent is never answered with "not
	// run".
	NotRunIsTrue Name = "not_run_is_true"
	// RevisionNeverDecreases: the active document is never replaced by an older
	// revision.
	RevisionNeverDecreases Name = "revision_never_falls"
	// FencingTokenNeverDecreases: fencing tokens never decrease.
	FencingTokenNeverDecreases Name = "fencing_never_falls"
	// CheckpointMatches: a checkpoint holds the state that its readers replayed.
	CheckpointMatches Name = "checkpoint_matches"
	// OneFinalStatusPerMove: a version move gets at most one final status.
	OneFinalStatusPerMove Name = "one_statement_per_move"
	// NoNewWorkToLeaving: a backend server that is known to be leaving gets no new
	// work.
	NoNewWorkToLeaving Name = "no_new_work_to_leaving"
	// BackendLossBounded: a request that crashes backend servers crashes only a
	// bounded number of them.
	BackendLossBounded Name = "backend_loss_bounded"
)

// Breaches counts breaches by invariant.
var Breaches = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "coltsfoot_invariant_breaches_total",
	Help: "Breaches of internal invariants.",
}, []string{"invariant"})

var breachCount atomic.Uint64

var breachHandler atomic.Pointer[func(Name, string)]

// OnBreach sets a function that is called for each breach, in addition to logging
// and counting. Tests set one that makes them fail.
func OnBreach(f func(name Name, detail string)) {
	breachHandler.Store(&f)
}

// BreachCount returns the number of breaches in this process.
func BreachCount() uint64 {
	return breachCount.Load()
}

// Check reports a breach of the invariant if holds is false.
func Check(holds bool, name Name, format string, args ...any) {
	if holds {
		return
	}
	detail := fmt.Sprintf(format, args...)
	breachCount.Add(1)
	Breaches.WithLabelValues(string(name)).Inc()
	klog.Errorf("invariant: breached name=%s detail=%q", name, detail)
	if f := breachHandler.Load(); f != nil {
		(*f)(name, detail)
	}
}
