package entry

import (
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
)

// Observation holds the result and the latencies of one finished request.
type Observation struct {
	Workspace string
	Service   string
	Route     string
	Version   string
	// Move and Step identify the version move and its step under which the
	// version was chosen.
	Move string
	Step int
	// Code is servedCode or the code of the error sent to the caller.
	Code callerapi.Code
	// FirstToken is the time to the first token, 0 if there was none.
	FirstToken    time.Duration
	BetweenTokens []time.Duration
	// Answer is the duration of the whole request.
	Answer time.Duration
}

// observeRequest adds a finished request to the burn counts, the latency metrics
// and the evidence of moves.
func (n *Node) observeRequest(o Observation) {
	n.countBurn(o)
	if o.FirstToken > 0 {
		n.metrics.firstToken.WithLabelValues(o.Service, o.Version, o.Route).Observe(o.FirstToken.Seconds())
	}
	for _, d := range o.BetweenTokens {
		n.metrics.betweenToken.WithLabelValues(o.Service, o.Version, o.Route).Observe(d.Seconds())
	}
	n.countEvidence(o)
}

// observeCall records a finished call of a plain service.
func (n *Node) observeCall(t target, rejection *callerapi.Error, duration time.Duration) {
	o := Observation{
		Workspace: t.workspace.Name,
		Service:   t.service.Name,
		Route:     t.route.Name,
		Version:   n.pinVersion(t, t.key).name,
		Code:      servedCode,
		Answer:    duration,
	}
	if rejection != nil {
		o.Code = rejection.Code
	}
	n.observeRequest(o)
}

// observeResult passes the finished request to observeRequest.
func (r *requestRun) observeResult(code callerapi.Code) {
	r.node.observeRequest(Observation{
		Workspace:     r.req.ID.Workspace,
		Service:       r.req.Service,
		Route:         r.req.Route,
		Version:       r.req.AnsweringVersion(),
		Move:          r.move,
		Step:          r.step,
		Code:          code,
		FirstToken:    r.firstToken,
		BetweenTokens: r.tokenGaps,
		Answer:        r.node.clock.Now().Sub(r.openedAt),
	})
}

// attemptResult is the result of an attempt on a backend server, as a metric
// label.
type attemptResult string

const (
	attemptDone      attemptResult = "done"
	attemptFailed    attemptResult = "failed"
	attemptCancelled attemptResult = "cancelled"
)

// observeAttempt counts a finished attempt and passes its outcome to the
// server's health.
func (r *requestRun) observeAttempt(m *attemptMeter, result attemptResult) {
	version := r.req.AnsweringVersion()
	r.node.metrics.attempts.WithLabelValues(r.req.Service, version, string(result)).Inc()
	now := r.node.clock.Now()
	if o, ok := m.outcome(result, now); ok {
		r.node.health.RecordOutcome(health.Key{Server: m.choice.Server.ID, Model: r.model}, o, now)
	}
}
