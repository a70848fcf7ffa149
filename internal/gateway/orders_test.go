package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/coordination/fleetplan"
	"coltsfootpath.example/coltsfootpath/internal/state/site"
	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// TestOutcomesOfOrders holds that an order without an answer is told apart from
// one that the platform refused: such an order may be carried out, also later.
func TestOutcomesOfOrders(t *testing.T) {
	store := platformtest.NewStore()
	client := platform.NewClient(store.Address(), store.Address(), func(string, error) {})
	order := func() fleetplan.Outcome {
		return orderOutcome(client.OrderServers(context.Background(), platform.Holder{VM: "vm-1", Fence: 1}, platform.Order{Service: "s", Count: 2}))
	}
	if got := order(); got != fleetplan.Taken {
		t.Errorf("an accepted order has outcome %d", got)
	}
	store.Refuse(http.StatusConflict)
	if got := order(); got != fleetplan.NoneThere {
		t.Errorf("an order of what is not to be had has outcome %d", got)
	}
	store.Refuse(http.StatusServiceUnavailable)
	if got := order(); got != fleetplan.NotTaken {
		t.Errorf("a refused order has outcome %d", got)
	}
	store.Close()
	if got := order(); got != fleetplan.Unanswered {
		t.Errorf("an order without an answer has outcome %d", got)
	}
}

// TestZonesOfOnePriceKeepTheirPlaces: the plan takes the first of the cheapest
// offers. Seen on emac-hokkaido-grown trouble-3, where two zones of one price
// changed places at each look, and no server that was ordered came up.
func TestZonesOfOnePriceKeepTheirPlaces(t *testing.T) {
	sc := &site.Scaling{ReclaimablePrice: 0.2, ZonePrices: map[string]float64{"a": 1, "b": 1, "c": 1, "d": 1, "e": 1}}
	first := fmt.Sprint(offersOf(sc))
	for range 50 {
		if got := fmt.Sprint(offersOf(sc)); got != first {
			t.Fatalf("offers %s, before %s", got, first)
		}
	}
}
