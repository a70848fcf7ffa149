package entry

import "github.com/prometheus/client_golang/prometheus"

// requestMetrics holds the counters of attempts and of requests affected by
// failures, handovers and evacuations.
type requestMetrics struct {
	attachedRequests   prometheus.Counter
	takenOverRequests  prometheus.Counter
	unreadRequests     prometheus.Counter
	attemptsStarted    prometheus.Counter
	suspendedAttempts  prometheus.Counter
	handedOverRequests prometheus.Counter
	receivedRequests   prometheus.Counter
	condemnedRequests  prometheus.Counter
	evacuatedStreams   *prometheus.CounterVec
	// restartTokens counts the tokens that evacuated streams would have
	// recomputed by restarting from zero.
	restartTokens prometheus.Counter
}

func newRequestMetrics(registry *prometheus.Registry) requestMetrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: "coltsfoot_entry_" + name, Help: help})
		registry.MustRegister(c)
		return c
	}
	evacuated := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "coltsfoot_entry_evacuated_streams_total", Help: "Streams on leaving backend servers by evacuation method.",
	}, []string{"how"})
	registry.MustRegister(evacuated)
	return requestMetrics{
		evacuatedStreams:   evacuated,
		restartTokens:      counter("evacuated_restart_tokens_total", "Tokens that evacuated streams would have recomputed from zero."),
		handedOverRequests: counter("handed_over_requests_total", "Open requests that another entry VM took over from this one."),
		receivedRequests:   counter("received_requests_total", "Open requests that this entry VM took over from leaving ones."),
		attemptsStarted:    counter("attempts_begun_total", "Attempts started on backend servers."),
		suspendedAttempts:  counter("suspended_attempts_total", "Attempts held back because their content may crash backend servers."),
		condemnedRequests:  counter("condemned_requests_total", "Requests given up because they crash backend servers."),
		attachedRequests:   counter("attached_requests_total", "Caller retries attached to a request of another entry VM."),
		takenOverRequests:  counter("taken_over_requests_total", "Requests taken over from an entry VM that was lost."),
		unreadRequests:     counter("unread_requests_total", "Requests cancelled because no caller read the answer."),
	}
}
