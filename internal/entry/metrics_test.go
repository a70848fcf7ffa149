package entry

import (
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/coordination/platform"
	"coltsfootpath.example/coltsfootpath/internal/metrics/metricstest"
)

func TestMetricsAreDocumented(t *testing.T) {
	metricstest.CheckDocumented(t, newNode(Settings{MaxOpen: 1, Workers: 1}, Dependencies{Clock: platform.SystemClock{}}).metrics.registry)
}
