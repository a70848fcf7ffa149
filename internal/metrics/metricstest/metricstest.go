// Package metricstest compares a process's metrics with their page.
package metricstest

import (
	"os"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"coltsfootpath.example/coltsfootpath/internal/metrics"
)

// page is the metrics' page as seen from a package in internal.
const page = "../../docs/METRICS.md"

// Documented wants a row in the page for each metric.
func Documented(t *testing.T, registry *prometheus.Registry) {
	t.Helper()
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range metrics.Describe(registry) {
		if !strings.Contains(string(data), row+"\n") {
			t.Errorf("docs/METRICS.md lacks\n%s", row)
		}
	}
}
