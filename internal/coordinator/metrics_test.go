package coordinator

import (
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/coordination/platform"
	"coltsfootpath.example/coltsfootpath/internal/metrics/metricstest"
)

func TestMetricsAreDocumented(t *testing.T) {
	metricstest.CheckDocumented(t, newCoordinator(Settings{}, Dependencies{Clock: platform.SystemClock{}}).registry)
}
