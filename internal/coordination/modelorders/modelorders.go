// Package modelorders decides which models engines should load and unload for
// version moves. It compares the desired models with those that engines report,
// so that a lost or repeated order does no harm. It does no I/O.
package modelorders

import (
	"cmp"
	"slices"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/moves"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

const (
	// LoadLead is the time before a move's start at which its model is loaded.
	LoadLead = 2 * time.Minute
	// UnloadGrace is the time after a move's end during which the model that is
	// no longer needed stays loaded, because streams that began on it continue
	// there.
	UnloadGrace = 5 * time.Minute
	// unloadTimeout bounds the time after UnloadGrace during which unloading is
	// attempted.
	unloadTimeout = 5 * time.Minute
	// minEngines is the number of engines that must have loaded a new version
	// before its first share.
	minEngines        = 2
	fullSharePermille = 1000
)

// Engine is the state of an engine as given by its last load report.
type Engine struct {
	ID               string
	AvailabilityZone string
	Address          string
	Leaving          bool
	Models           []string
}

func (e Engine) hasModel(model string) bool {
	return slices.Contains(e.Models, model)
}

// EngineOrder is an order that an engine should receive.
type EngineOrder struct {
	Engine Engine
	Kind   ports.OrderKind
	Model  string
}

// Active reports whether the engines' models have to be checked at now: while a
// move is in progress, and for UnloadGrace and unloadTimeout after its end.
func Active(state *control.State, now time.Time) bool {
	for _, m := range state.Moves {
		if m.FinalStatus == nil || now.Before(m.FinalStatus.At.Add(UnloadGrace+unloadTimeout)) {
			return true
		}
	}
	return false
}

// DesiredOrders returns the orders that make the engines' models match those
// required by the moves.
func DesiredOrders(state *control.State, engines []Engine, now time.Time) []EngineOrder {
	if state.Document == nil {
		return nil
	}
	var orders []EngineOrder
	for _, m := range state.Document.Moves {
		if state.Moves[m.Name].FinalStatus == nil {
			orders = append(orders, loadOrders(state, m, engines, now)...)
		}
	}
	return append(orders, unloadOrders(state, engines, now)...)
}

// Ready reports whether enough engines have loaded the move's new version for
// the share. It is always true for services without models.
func Ready(doc *document.Document, m document.Move, share int, engines []Engine) bool {
	from, to, ok := moveModels(doc, m)
	if !ok || to == "" || to == from {
		return true
	}
	return enginesWith(engines, to) >= requiredEngines(engines, from, to, share)
}

// requiredEngines returns the number of engines that must have loaded the new
// model for the share.
func requiredEngines(engines []Engine, from, to string, share int) int {
	old := 0
	for _, e := range engines {
		if !e.Leaving && (e.hasModel(from) || e.hasModel(to)) {
			old++
		}
	}
	byShare := (old*share + fullSharePermille - 1) / fullSharePermille
	return max(byShare, min(minEngines, old), 1)
}

func enginesWith(engines []Engine, model string) int {
	n := 0
	for _, e := range engines {
		if !e.Leaving && e.hasModel(model) {
			n++
		}
	}
	return n
}

func moveModels(doc *document.Document, m document.Move) (from, to string, ok bool) {
	service, ok := doc.Service(m.Service)
	if !ok || service.Kind != document.ModelService {
		return "", "", false
	}
	f, known := service.Version(m.From)
	t, found := service.Version(m.To)
	if !known || !found {
		return "", "", false
	}
	return f.Model, t.Model, true
}

// loadOrders returns the load orders for the next share of the move, spread
// over availability zones.
func loadOrders(state *control.State, m document.Move, engines []Engine, now time.Time) []EngineOrder {
	progress := state.Moves[m.Name]
	from, to, ok := moveModels(state.Document, m)
	if !ok || to == "" || to == from || progress.Halted() || now.Before(m.Start.Add(-LoadLead)) {
		return nil
	}
	share, more := moves.NextShare(m, progress.SharePermille)
	if !more {
		share = fullSharePermille
	}
	missingEngines := requiredEngines(engines, from, to, share) - enginesWith(engines, to)
	var orders []EngineOrder
	for _, e := range spreadOverZones(engines, from, to) {
		if len(orders) >= missingEngines {
			break
		}
		orders = append(orders, EngineOrder{Engine: e, Kind: ports.LoadModel, Model: to})
	}
	return orders
}

// spreadOverZones returns the engines that could load the new model, beginning
// with those in availability zones where the fewest engines have loaded it.
func spreadOverZones(engines []Engine, from, to string) []Engine {
	loadedByZone := map[string]int{}
	var candidates []Engine
	for _, e := range engines {
		switch {
		case e.Leaving:
		case e.hasModel(to):
			loadedByZone[e.AvailabilityZone]++
		case e.hasModel(from):
			candidates = append(candidates, e)
		}
	}
	slices.SortFunc(candidates, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	out := make([]Engine, 0, len(candidates))
	for len(candidates) > 0 {
		best := 0
		for i, e := range candidates {
			if loadedByZone[e.AvailabilityZone] < loadedByZone[candidates[best].AvailabilityZone] {
				best = i
			}
		}
		loadedByZone[candidates[best].AvailabilityZone]++
		out = append(out, candidates[best])
		candidates = slices.Delete(candidates, best, best+1)
	}
	return out
}

// unloadOrders returns the orders to unload the models that ended moves no
// longer need.
func unloadOrders(state *control.State, engines []Engine, now time.Time) []EngineOrder {
	var orders []EngineOrder
	for _, move := range state.Moves {
		if move.FinalStatus == nil || now.Before(move.FinalStatus.At.Add(UnloadGrace)) {
			continue
		}
		from, to, ok := moveModels(state.Document, move.Definition)
		if !ok || from == to {
			continue
		}
		keep, drop := from, to
		if move.FinalStatus.Result == control.MoveFinished {
			keep, drop = to, from
		}
		if drop == "" || modelInUse(state, drop) {
			continue
		}
		for _, e := range engines {
			if e.hasModel(drop) && e.hasModel(keep) {
				orders = append(orders, EngineOrder{Engine: e, Kind: ports.UnloadModel, Model: drop})
			}
		}
	}
	slices.SortFunc(orders, func(a, b EngineOrder) int {
		return cmp.Or(cmp.Compare(a.Engine.ID, b.Engine.ID), cmp.Compare(a.Model, b.Model))
	})
	return slices.CompactFunc(orders, func(a, b EngineOrder) bool { return a.Engine.ID == b.Engine.ID && a.Model == b.Model })
}

// modelInUse reports whether any service uses the model, or may do so by a move
// in progress.
func modelInUse(state *control.State, model string) bool {
	for i := range state.Document.Services {
		s := &state.Document.Services[i]
		if v, ok := s.Version(state.ServingVersion(s)); ok && v.Model == model {
			return true
		}
	}
	for _, m := range state.Document.Moves {
		if state.Moves[m.Name].FinalStatus != nil {
			continue
		}
		if from, to, ok := moveModels(state.Document, m); ok && (from == model || to == model) {
			return true
		}
	}
	return false
}
