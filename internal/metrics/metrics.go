// Package metrics serves a process's metrics, health and readiness over HTTP, and
// lists its metrics for the documentation. The metrics themselves are defined in
// the packages that update them.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
)

// Paths served on the metrics address.
const (
	MetricsPath = "/metrics"
	HealthPath  = "/healthz"
	ReadyPath   = "/readyz"
)

const maxConnections = 64

// Serve serves metrics, health and readiness on address until the returned server
// is closed. Readiness fails while ready returns false.
func Serve(address string, registry *prometheus.Registry, ready func() bool) (*httpserver.Server, error) {
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
		Name: "metrics", Address: address, Handler: mux, MaxConnections: maxConnections,
	})
}

type status struct {
	Status string `json:"status"`
}
