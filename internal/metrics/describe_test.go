package metrics

import (
	"slices"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

func TestMarkdownRows(t *testing.T) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		prometheus.NewCounterVec(prometheus.CounterOpts{Name: "coltsfoot_b_total", Help: "B."}, []string{"x", "y"}),
		prometheus.NewGauge(prometheus.GaugeOpts{Name: "coltsfoot_a", Help: "A."}),
		prometheus.NewGauge(prometheus.GaugeOpts{Name: "other", Help: "Not ours."}),
	)
	want := []string{"| `coltsfoot_a` |  | A. |", "| `coltsfoot_b_total` | x, y | B. |"}
	if got := MarkdownRows(registry); !slices.Equal(got, want) {
		t.Errorf("got %q", got)
	}
}
