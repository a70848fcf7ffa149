package policybench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

const (
	// minOnTimeRatio is the fraction of the requests that must be on time.
	minOnTimeRatio   = 0.98
	capacityDuration = 20 * time.Second
	// capacityStep and maxCapacityRate are in requests per second.
	capacityStep    = 5
	maxCapacityRate = 500
)

// capacity holds the largest arrival rate at which a policy still answers enough
// requests on time.
type capacity struct {
	policy string
	// rate is in requests per second.
	rate int
	// costPer1000 is the fleet's cost per 1,000 requests at that rate, in millionths
	// of the currency unit.
	costPer1000 float64
}

// measureCapacities finds the capacity of each policy by bisection.
func measureCapacities(seed uint64) []capacity {
	var out []capacity
	for _, p := range policies {
		low, high := 0, maxCapacityRate/capacityStep
		for low+1 < high {
			mid := (low + high) / 2
			if meetsTargetAt(p, mid*capacityStep, seed) {
				low = mid
			} else {
				high = mid
			}
		}
		rate := low * capacityStep
		out = append(out, capacity{policy: p.name, rate: rate, costPer1000: fleetCostPerSecond(seed) / float64(max(rate, 1)) * 1000})
	}
	return out
}

func meetsTargetAt(p namedPolicy, rate int, seed uint64) bool {
	s := scenario{name: "capacity", phases: []phase{{capacityDuration, float64(rate)}}, injectFaults: func(*simulation) {}}
	r := s.run(p, seed)
	return float64(r.onTimeAnswers) >= minOnTimeRatio*float64(r.requests)
}

func fleetCostPerSecond(seed uint64) float64 {
	sum := 0.0
	for _, e := range newSimulation(policies[0].newPolicy, seed).engines {
		sum += float64(pricePerHour(e.vm)) / time.Hour.Seconds()
	}
	return sum
}

func writeCapacities(out io.Writer, rows []capacity) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "policy\tlargest rate with %.0f%% on time\tcost per 1,000 at that rate\n", minOnTimeRatio*100)
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d/s\t%.4f\n", r.policy, r.rate, r.costPer1000/1e6)
	}
	_ = w.Flush()
}
