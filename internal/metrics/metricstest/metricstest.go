// Package metricstest checks that a process's metrics are documented.
package metricstest

import (
	"os"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"coltsfootpath.example/coltsfootpath/internal/metrics"
)

// docPath is the path of the metrics documentation, relative to a package directly
// below internal.
const docPath = "../../docs/METRICS.md"

// CheckDocumented fails the test for each metric of the registry whose table row is
// missing from docs/METRICS.md.
func CheckDocumented(t *testing.T, registry *prometheus.Registry) {
	t.Helper()
	data, err := os.ReadFile(docPath)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range metrics.MarkdownRows(registry) {
		if !strings.Contains(string(data), row+"\n") {
			t.Errorf("docs/METRICS.md has no row\n%s", row)
		}
	}
}
