package entry

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"coltsfootpath.example/coltsfootpath/internal/coordination/claims"
	"coltsfootpath.example/coltsfootpath/internal/state/calls"
)

// callMetrics holds the metrics of calls that must not be repeated.
type callMetrics struct {
	claims       *prometheus.CounterVec
	claimSeconds prometheus.Histogram
	outcomes     *prometheus.CounterVec
}

// Values of the label "result" of the claim metrics.
const (
	claimMade        = "made"
	claimExpired     = "key_expired"
	claimUnavailable = "log_unavailable"
)

func newCallMetrics(registry *prometheus.Registry, table *claims.Table) *callMetrics {
	m := &callMetrics{
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfoot_calls_claims_total", Help: "Claims by result.",
		}, []string{"result"}),
		claimSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "coltsfoot_calls_claim_seconds", Help: "Time from a claim to its read-back.", Buckets: latencyBuckets,
		}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfoot_calls_outcomes_total", Help: "Outcomes that this entry VM wrote, by result.",
		}, []string{"result"}),
	}
	heldCalls := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "coltsfoot_calls_held_count", Help: "Calls held in memory.",
	}, func() float64 { return float64(table.Len()) })
	registry.MustRegister(m.claims, m.claimSeconds, m.outcomes, heldCalls)
	return m
}

// observeClaim records the result and the duration of a claim.
func (m *callMetrics) observeClaim(duration time.Duration, err error) {
	result := claimMade
	switch {
	case errors.Is(err, claims.ErrKeyExpired):
		result = claimExpired
	case err != nil:
		result = claimUnavailable
	}
	m.claims.WithLabelValues(result).Inc()
	m.claimSeconds.Observe(duration.Seconds())
}

func (m *callMetrics) countOutcome(result calls.Result) {
	m.outcomes.WithLabelValues(string(result)).Inc()
}
