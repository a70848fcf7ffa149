package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

type metrics struct {
	registry           *prometheus.Registry
	requests           *prometheus.CounterVec
	firstAnswerSeconds *prometheus.HistogramVec
	longPauses         *prometheus.CounterVec
	answerSeconds      *prometheus.HistogramVec
	predictionError    *prometheus.HistogramVec
	attempts           *prometheus.CounterVec
	answerEnds         *prometheus.CounterVec
	searches           *prometheus.CounterVec
	relocations        *prometheus.CounterVec
	runStops           *prometheus.CounterVec
	unframedEnds       *prometheus.CounterVec
	platformCalls      *prometheus.CounterVec
	contentLosses      *prometheus.CounterVec
	contentRefusals    *prometheus.CounterVec
	contentTrials      *prometheus.CounterVec
	contents           *prometheus.GaugeVec
	partRefusals       *prometheus.CounterVec
	promptParts        *prometheus.GaugeVec
	undecodableRecords *prometheus.CounterVec
	announcements      *prometheus.CounterVec
	healthVerdicts     *prometheus.CounterVec
	duties             *prometheus.CounterVec
	openRequests       prometheus.Gauge
	documentVersion    prometheus.Gauge
	storeEra           prometheus.Gauge
	permits            *prometheus.CounterVec
	serverLimits       *prometheus.GaugeVec
	utilizationLimit   *prometheus.GaugeVec
	panics             *prometheus.CounterVec
	brittleServers     *prometheus.GaugeVec
	evacuatedZones     *prometheus.GaugeVec
	coldServers        *prometheus.GaugeVec
	diverted           *prometheus.CounterVec
	tunnels            *prometheus.CounterVec
	servedTunnels      prometheus.Gauge
	linksCut           *prometheus.GaugeVec
	readsLeft          *prometheus.CounterVec
	confirmationAge    *prometheus.GaugeVec
	restorations       *prometheus.CounterVec
	backendServers     prometheus.Gauge
	members            prometheus.Gauge
	droppedLines       *prometheus.GaugeVec
	refusedConnections *prometheus.CounterVec
	callerMemory       *prometheus.GaugeVec
	callerConnections  *prometheus.GaugeVec
}

// latencyBuckets are in seconds.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.75, 1, 1.5, 2.5, 5, 10, 15}

// errorBuckets are ratios of a measured value to the predicted one.
var errorBuckets = []float64{0.1, 0.25, 0.5, 0.67, 0.8, 0.95, 1.05, 1.25, 1.5, 2, 3, 4, 10}

func newMetrics() *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "coltsfoot_gateway_" + name, Help: help}, labels)
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "coltsfoot_gateway_" + name, Help: help})
	}
	histogram := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "coltsfoot_gateway_" + name, Help: help, Buckets: latencyBuckets}, []string{"route"})
	}
	m := &metrics{
		registry:           prometheus.NewRegistry(),
		requests:           counter("requests_total", "Requests by route and outcome.", "route", "outcome"),
		firstAnswerSeconds: histogram("first_answer_seconds", "Time to the first byte of an answer."),
		longPauses:         counter("long_pauses_total", "Answers with a pause between two events that is over the route's target.", "route"),
		answerSeconds:      histogram("answer_seconds", "Time to the end of an answer."),
		predictionError: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "coltsfoot_gateway_prediction_error_ratio", Help: "Measured time to the first token, or length of the answer in tokens, over the predicted one, by route, service and part.", Buckets: errorBuckets,
		}, []string{"route", "service", "part"}),
		attempts:        counter("attempts_total", "Attempts on backend servers by service and end.", "service", "end"),
		relocations:     counter("relocations_total", "Streams on reclaimable servers that leave, by service and what became of their move to another server.", "service", "end"),
		runStops:        counter("run_stops_total", "Orders to stop a stream's run on a server that leaves, by service and state: answered, rejected, unanswered, not-sent.", "service", "state"),
		unframedEnds:    counter("unframed_ends_total", "Answers without length or chunks that ended with their connections, by service and verdict on that end: believed, run-stopped, server-ended, deadline.", "service", "verdict"),
		answerEnds:      counter("answer_ends_total", "Answers of backend servers by service, framing and end.", "service", "framing", "end"),
		searches:        counter("replacement_searches_total", "Searches for another server while an attempt was silent, by service and end.", "service", "end"),
		platformCalls:   counter("platform_calls_total", "Calls to the platform by call and outcome.", "call", "outcome"),
		contentLosses:   counter("content_losses_total", "Attempts whose answer was lost, by service and state of the server afterwards.", "service", "server_state"),
		contentRefusals: counter("content_refusals_total", "Attempts refused because the request content is quarantined, by service.", "service"),
		contentTrials:   counter("content_trials_total", "Trials of quarantined request contents and parts of prompts, by outcome.", "outcome"),
		contents: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "coltsfoot_gateway_contents", Help: "Request contents with lost servers, tracked and quarantined.",
		}, []string{"state"}),
		partRefusals: counter("part_refusals_total", "Attempts refused because a part of the prompt is quarantined, by service.", "service"),
		promptParts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "coltsfoot_gateway_prompt_parts", Help: "Parts of prompts with lost servers, tracked and quarantined.",
		}, []string{"state"}),
		undecodableRecords: counter("unreadable_total", "Undecodable records in the platform's store, by topic.", "topic"),
		announcements:      counter("server_announcements_total", "Answers in which servers stated that they leave or want no requests for a while, by service and kind.", "service", "kind"),
		healthVerdicts:     counter("verdicts_total", "Changes of health verdicts by service and phase.", "service", "phase"),
		duties:             counter("duties_total", "Calls made for singleton duties, by duty and outcome.", "duty", "outcome"),
		openRequests:       gauge("open_requests", "Open requests."),
		documentVersion:    gauge("document_version", "Version of the active document."),
		restorations:       counter("restorations_total", "Times that a topic was read anew because the platform's store came back from a copy.", "topic"),
		permits:            counter("permits_total", "Attempts that needed a permit because their server has named a limit, by service and result.", "service", "result"),
		serverLimits: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "coltsfoot_gateway_server_limit", Help: "Requests per second that a backend server takes from all VMs, as it has named them.",
		}, []string{"server", "service"}),
		panics: counter("panics_total", "Panics that were contained, by the part of the process.", "part"),
		utilizationLimit: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "coltsfoot_gateway_utilization_limit_ratio", Help: "Utilization of a service's servers up to which answers are expected to begin in time, as the lease holder has learned it from late ones; 0 if it has learned none.",
		}, []string{"service"}),
		brittleServers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "coltsfoot_gateway_brittle_server_places", Help: "Places of a backend server that states that it fails if it has to reject many requests.",
		}, []string{"server", "service"}),
		evacuatedZones: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "coltsfoot_gateway_evacuated_zone", Help: "1 while the operator has evacuated the availability zone.",
		}, []string{"zone"}),
		coldServers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "coltsfoot_gateway_cold_servers", Help: "Backend servers that are cold.",
		}, []string{"service"}),
		diverted:      counter("diverted_total", "Attempts that were not sent to the chosen server because its zone was evacuated meanwhile or because it is cold and had no room, by service and cause.", "service", "cause"),
		tunnels:       counter("tunnels_total", "Connections to backend servers that peers were asked for as the VM's own links to them were cut, by service and result.", "service", "result"),
		servedTunnels: gauge("served_tunnels", "Connections to backend servers that are open for peers."),
		linksCut: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "coltsfoot_gateway_links_cut", Help: "1 while the VM's links to the backend servers of a service are cut.",
		}, []string{"service"}),
		readsLeft: counter("store_reads_left_total", "Held reads of the platform's store that were cancelled before their end, by topic and cause.", "topic", "cause"),
		confirmationAge: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "coltsfoot_gateway_confirmation_age_seconds", Help: "Time since a read of any VM last showed that there are no further records in the platform's store, by topic.",
		}, []string{"topic"}),
		storeEra:       gauge("store_era", "Highest era that the platform's store has stated."),
		backendServers: gauge("backend_servers", "Backend servers in the table."),
		members:        gauge("members", "Entry VMs that share limits, including this one."),
		droppedLines: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "coltsfoot_gateway_log_lines_dropped", Help: "Log lines dropped because the buffer was full, by importance.",
		}, []string{"importance"}),
		refusedConnections: counter("refused_connections_total", "Connections rejected or closed because of what their callers did, by listener and reason.", "listener", "reason"),
		callerMemory: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "coltsfoot_gateway_caller_memory_bytes", Help: "Memory of callers' requests that run, and of their other requests and unsent answers.",
		}, []string{"state"}),
		callerConnections: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "coltsfoot_gateway_caller_connections", Help: "Open connections of callers, by listener.",
		}, []string{"listener"}),
	}
	m.registry.MustRegister(m.requests, m.firstAnswerSeconds, m.longPauses, m.answerSeconds, m.predictionError, m.attempts, m.answerEnds, m.searches, m.relocations, m.runStops, m.unframedEnds, m.platformCalls, m.contentLosses, m.contentRefusals, m.contentTrials, m.contents, m.partRefusals, m.promptParts, m.undecodableRecords, m.announcements, m.healthVerdicts, m.duties,
		m.openRequests, m.documentVersion, m.storeEra, m.readsLeft, m.permits, m.serverLimits, m.utilizationLimit, m.panics, m.brittleServers, m.evacuatedZones, m.coldServers, m.diverted, m.tunnels, m.servedTunnels, m.linksCut, m.confirmationAge, m.restorations, m.backendServers, m.members, m.droppedLines, m.refusedConnections, m.callerMemory, m.callerConnections, collectors.NewGoCollector())
	return m
}
