package modelorders

import (
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

var moveStart = time.Date(2026, 1, 1, 9, 0, 0, 0, time.UTC)

func stateWith(progress control.Move) *control.State {
	move := document.Move{Name: "m", Service: "s", From: "v1", To: "v2", Start: moveStart, Deadline: moveStart.Add(time.Hour)}
	progress.Definition = move
	s := control.New()
	s.Document = &document.Document{
		Services: []document.Service{{Name: "s", Kind: document.ModelService, Serving: "v1",
			Versions: []document.Version{{Name: "v1", Model: "a"}, {Name: "v2", Model: "b"}}}},
		Moves: []document.Move{move},
	}
	s.Moves["m"] = progress
	return s
}

func enginesWithModels(models ...[]string) []Engine {
	var out []Engine
	for i, m := range models {
		out = append(out, Engine{ID: string(rune('a' + i)), AvailabilityZone: string(rune('x' + i%2)), Models: m})
	}
	return out
}

// carryOut applies the orders as the engines do.
func carryOut(engines []Engine, orders []EngineOrder) []Engine {
	for _, w := range orders {
		for i := range engines {
			if engines[i].ID != w.Engine.ID {
				continue
			}
			var kept []string
			for _, m := range engines[i].Models {
				if m != w.Model {
					kept = append(kept, m)
				}
			}
			if w.Kind == ports.LoadModel {
				kept = append(kept, w.Model)
			}
			engines[i].Models = kept
		}
	}
	return engines
}

func TestLoadsPrecedeTheShareAndConverge(t *testing.T) {
	old := []string{"a"}
	engines := enginesWithModels(old, old, old, old, old, old, old, old)
	for _, share := range []int{0, 20, 60, 150, 350, 600} {
		s := stateWith(control.Move{SharePermille: share})
		move := s.Document.Moves[0]
		next := map[int]int{0: 20, 20: 60, 60: 150, 150: 350, 350: 600, 600: 800}[share]
		if share == 350 && Ready(s.Document, move, next, engines) {
			t.Fatal("ready for 600 permille with too few engines")
		}
		engines = carryOut(engines, DesiredOrders(s, engines, moveStart))
		if !Ready(s.Document, move, next, engines) {
			t.Fatalf("not ready for %d permille after the orders were carried out", next)
		}
		if again := DesiredOrders(s, engines, moveStart); len(again) > 0 {
			t.Fatalf("orders don't converge: %v", again)
		}
	}
}

func TestFirstLoadsAreSpreadOverZones(t *testing.T) {
	old := []string{"a"}
	orders := DesiredOrders(stateWith(control.Move{}), enginesWithModels(old, old, old, old), moveStart)
	if len(orders) != minEngines || orders[0].Engine.AvailabilityZone == orders[1].Engine.AvailabilityZone {
		t.Fatalf("%+v", orders)
	}
}

func TestNothingIsLoadedLongBeforeTheStartOrForALeavingEngine(t *testing.T) {
	engines := enginesWithModels([]string{"a"})
	if orders := DesiredOrders(stateWith(control.Move{}), engines, moveStart.Add(-2*LoadLead)); len(orders) > 0 {
		t.Fatalf("%+v", orders)
	}
	engines[0].Leaving = true
	if orders := DesiredOrders(stateWith(control.Move{}), engines, moveStart); len(orders) > 0 {
		t.Fatalf("%+v", orders)
	}
}

func TestUnneededModelIsUnloadedAfterTheGrace(t *testing.T) {
	both := []string{"a", "b"}
	for result, drop := range map[control.MoveResult]string{control.MoveFinished: "a", control.MoveRolledBack: "b"} {
		s := stateWith(control.Move{FinalStatus: &control.MoveFinalStatus{Result: result, At: moveStart}})
		if result == control.MoveFinished {
			s.Promotions = map[string]control.Promotion{"s": {Move: "m", From: "v1", To: "v2"}}
		}
		engines := enginesWithModels(both, both, []string{"a"}, []string{"b"})
		if orders := DesiredOrders(s, engines, moveStart.Add(UnloadGrace-time.Second)); len(orders) > 0 {
			t.Fatalf("%s: unloaded before the grace: %+v", result, orders)
		}
		orders := DesiredOrders(s, engines, moveStart.Add(UnloadGrace))
		if len(orders) != 2 {
			t.Fatalf("%s: %+v", result, orders)
		}
		for _, w := range orders {
			if w.Kind != ports.UnloadModel || w.Model != drop {
				t.Fatalf("%s: %+v", result, w)
			}
		}
	}
}

func TestLoadsStayWithinTheWeightStoresRate(t *testing.T) {
	throttle := NewThrottle(ThrottleConfig{LoadInterval: time.Second, Burst: 3})
	engines := enginesWithModels(make([][]string, 20)...)
	loads := 0
	for second := range 10 {
		for _, e := range engines {
			order := EngineOrder{Engine: e, Kind: ports.LoadModel, Model: "b"}
			if throttle.Allow(order, moveStart.Add(time.Duration(second)*time.Second)) {
				throttle.RecordAccepted(order, moveStart)
				loads++
			}
		}
	}
	if loads != 3+9 {
		t.Fatalf("%d loads in 9 s, want 12", loads)
	}
}

func TestFailedOrderBacksOff(t *testing.T) {
	throttle := NewThrottle(ThrottleConfig{LoadInterval: time.Nanosecond, Burst: 1000})
	order := EngineOrder{Engine: Engine{ID: "a"}, Kind: ports.LoadModel, Model: "b"}
	attempts := 0
	for now := moveStart; now.Before(moveStart.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
		if throttle.Allow(order, now) {
			attempts++
			throttle.RecordFailed(order, now)
		}
	}
	if attempts > 8 {
		t.Fatalf("%d attempts in a minute, want at most 8", attempts)
	}
	throttle.Retain(nil)
	if !throttle.Allow(order, moveStart) {
		t.Fatal("the backoff of an order that is no longer desired was not dropped")
	}
}
