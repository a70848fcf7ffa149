package coordinator

import (
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/metrics/metricstest"
)

func TestMetricsAreDocumented(t *testing.T) {
	metricstest.CheckDocumented(t, newCoordinator(Settings{}, Dependencies{Clock: ports.SystemClock{}}).registry)
}
