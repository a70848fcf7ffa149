package gateway

import (
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/metrics/metricstest"
)

func TestMetricsAreDocumented(t *testing.T) {
	metricstest.CheckDocumented(t, newMetrics().registry)
}
