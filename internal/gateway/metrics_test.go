package gateway

import (
	"os"
	"strings"
	"testing"

	monitor "coltsfootpath.example/coltsfootpath/internal/metrics"
)

// TestMetricsAreDocumented wants a row in docs/METRICS.md for each metric.
func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range monitor.Describe(newMetrics().registry) {
		if !strings.Contains(string(page), row+"\n") {
			t.Errorf("docs/METRICS.md lacks\n%s", row)
		}
	}
}
