package entry

import (
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/metrics/metricstest"
)

func TestMetricsAreDocumented(t *testing.T) {
	metricstest.CheckDocumented(t, newNode(Settings{MaxOpenRequests: 1, Workers: 1}, Dependencies{Clock: ports.SystemClock{}}).metrics.registry)
}
