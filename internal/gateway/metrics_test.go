package gateway

import (
	"slices"
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/metrics/metricstest"
)

func TestMetricsAreDocumented(t *testing.T) {
	metricstest.CheckDocumented(t, newMetrics().registry)
}

// value returns the value of a counter with the given label values, 0 if there is none.
func (m *metrics) value(t testing.TB, name string, labels ...string) float64 {
	t.Helper()
	families, err := m.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(labels)
	for _, family := range families {
		if family.GetName() != "coltsfoot_gateway_"+name {
			continue
		}
		for _, metric := range family.GetMetric() {
			var values []string
			for _, label := range metric.GetLabel() {
				values = append(values, label.GetValue())
			}
			slices.Sort(values)
			if slices.Equal(values, labels) {
				return metric.GetCounter().GetValue()
			}
		}
	}
	return 0
}
