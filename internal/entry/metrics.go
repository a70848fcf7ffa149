package entry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"coltsfootpath.example/coltsfootpath/internal/invariant"
)

// Metrics holds the Prometheus metrics of an entry node.
type Metrics struct {
	registry         *prometheus.Registry
	requests         *prometheus.CounterVec
	answers          *prometheus.CounterVec
	attempts         *prometheus.CounterVec
	recomputedTokens prometheus.Counter
	firstToken       *prometheus.HistogramVec
	betweenToken     *prometheus.HistogramVec
	openRequests     prometheus.Gauge
	// refusedConnections counts connections that were rejected or closed because of what their
	// callers did.
	refusedConnections *prometheus.CounterVec
	documentRevision   prometheus.Gauge
	healthVerdicts     *prometheus.CounterVec
	cacheLoss          *prometheus.GaugeVec
	waitingRequests    prometheus.Gauge
	requestMetrics
}

var latencyBuckets = prometheus.ExponentialBuckets(0.001, 2, 15)

func newMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfoot_entry_requests_total", Help: "Finished requests by result code.",
		}, []string{"service", "route", "workspace", "code"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfoot_entry_answers_total", Help: "Answers that count for the service level, by whether they met it.",
		}, []string{"service", "version", "route", "workspace", "result"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfoot_entry_attempts_total", Help: "Attempts on backend servers by result.",
		}, []string{"service", "version", "result"}),
		recomputedTokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "coltsfoot_entry_recomputed_tokens_total", Help: "Tokens recomputed by continuations.",
		}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "coltsfoot_entry_first_token_seconds", Help: "Time to the first token.", Buckets: latencyBuckets,
		}, []string{"service", "version", "route"}),
		betweenToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "coltsfoot_entry_between_token_seconds", Help: "Time between two tokens.", Buckets: latencyBuckets,
		}, []string{"service", "version", "route"}),
		refusedConnections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfoot_entry_refused_connections_total",
			Help: "Connections rejected or closed because of what their callers did, by listener and reason.",
		}, []string{"listener", "reason"}),
		openRequests: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coltsfoot_entry_open_requests", Help: "Open requests.",
		}),
		documentRevision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coltsfoot_entry_document_revision", Help: "Revision of the active document.",
		}),
	}
	m.healthVerdicts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "coltsfoot_entry_backend_verdicts_total", Help: "Backend servers ejected, put on trial and returned.",
	}, []string{"model", "verdict"})
	m.cacheLoss = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "coltsfoot_entry_cache_event_loss_ratio", Help: "Recent share of an engine's cache events that were lost.",
	}, []string{"vm"})
	m.waitingRequests = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "coltsfoot_entry_waiting_requests", Help: "Requests that wait to start.",
	})
	m.registry.MustRegister(m.healthVerdicts, m.cacheLoss, m.waitingRequests)
	m.requestMetrics = newRequestMetrics(m.registry)
	m.registry.MustRegister(m.requests, m.answers, m.attempts, m.recomputedTokens, m.firstToken, m.betweenToken, m.openRequests, m.refusedConnections, m.documentRevision,
		invariant.Breaches, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}
