package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/coordination/fleetplan"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// TestOrderOutcomes checks that an order without an answer is distinguished from
// a rejected one, because the platform may still carry it out later.
func TestOrderOutcomes(t *testing.T) {
	store := platformtest.NewStore()
	client := platform.NewClient(store.Address(), store.Address(), platform.Hooks{})
	order := func() fleetplan.Outcome {
		return orderOutcome(client.OrderServers(context.Background(), platform.Holder{VM: "vm-1", FencingToken: 1}, platform.Order{Service: "s", Count: 2}))
	}
	if got := order(); got != fleetplan.Accepted {
		t.Errorf("an accepted order has outcome %d", got)
	}
	store.RejectAll(http.StatusConflict)
	if got := order(); got != fleetplan.NoCapacity {
		t.Errorf("an order for unavailable servers has outcome %d", got)
	}
	store.RejectAll(http.StatusServiceUnavailable)
	if got := order(); got != fleetplan.Rejected {
		t.Errorf("a rejected order has outcome %d", got)
	}
	store.Close()
	if got := order(); got != fleetplan.Unanswered {
		t.Errorf("an order without an answer has outcome %d", got)
	}
}

// TestOffersKeepOrderForEqualPrices: the plan takes the first of the cheapest
// offers. Two zones of the same price swapped places at each check, and none of
// the ordered servers started. Seen on emac-hokkaido-grown trouble-3.
func TestOffersKeepOrderForEqualPrices(t *testing.T) {
	sc := &deployment.Scaling{ReclaimablePrice: 0.2, ZonePrices: map[string]float64{"a": 1, "b": 1, "c": 1, "d": 1, "e": 1}}
	first := fmt.Sprint(offersOf(sc))
	for range 50 {
		if got := fmt.Sprint(offersOf(sc)); got != first {
			t.Fatalf("offers are %s, were %s", got, first)
		}
	}
}
