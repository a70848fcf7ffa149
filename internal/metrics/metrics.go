// Package metrics serves a process's metrics, health and readiness over HTTP, and
// lists its metrics for the documentation. The metrics themselves are defined in
// the packages that update them.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"coltsfootpath.example/coltsfootpath/internal/coordination/shedding"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
)

// Paths served on the metrics address.
const (
	MetricsPath = "/metrics"
	HealthPath  = "/healthz"
	ReadyPath   = "/readyz"
)

const (
	maxConnections = 64
	// maxBodyBytes bounds bodies, which no request to this address has.
	maxBodyBytes = 4 << 10
	// maxWriteBufferBytes bounds the unsent answers of a connection.
	maxWriteBufferBytes = 512 << 10
)

// Serve serves metrics, health and readiness on address until the returned server
// is closed. Readiness fails while ready returns false. What callers make the server hold
// counts in memory, and refuse is called for connections that are closed because of what their
// callers did; both may be nil.
func Serve(address string, registry *prometheus.Registry, ready func() bool, memory *shedding.Table, refuse func(httpserver.Refusal)) (*httpserver.Server, error) {
	mux := http.NewServeMux()
	mux.Handle("GET "+MetricsPath, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+HealthPath, func(w http.ResponseWriter, _ *http.Request) {
		httpserver.WriteJSON(w, http.StatusOK, status{Status: "alive"})
	})
	mux.HandleFunc("GET "+ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			httpserver.WriteJSON(w, http.StatusServiceUnavailable, status{Status: "not ready"})
			return
		}
		httpserver.WriteJSON(w, http.StatusOK, status{Status: "ready"})
	})
	return httpserver.Start(httpserver.Config{
		Name: "metrics", Address: address, Handler: mux, Memory: memory, OnRefuse: refuse,
		MaxConnections: maxConnections, MaxBodyBytes: maxBodyBytes, MaxWriteBufferBytes: maxWriteBufferBytes,
	})
}

type status struct {
	Status string `json:"status"`
}
