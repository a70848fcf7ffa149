package gateway

import (
	"context"
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/coordination/rollout"
	"coltsfootpath.example/coltsfootpath/internal/state/site"
	"coltsfootpath.example/coltsfootpath/platform"
)

// evidenceAge is how long what a peer tells of a move counts.
const evidenceAge = 3 * time.Second

// versionMoves is this VM's part in the moves of services between versions.
type versionMoves struct {
	node  *Node
	table *rollout.Table

	// mu is a leaf: nothing else is locked while it is held.
	mu    sync.Mutex
	heard map[string]heardMoves
	// stated is the state last written for the operator, by service.
	stated map[string]statedMove
}

type heardMoves struct {
	at    time.Time
	moves []gossip.Move
}

type statedMove struct {
	order uint64
	state string
}

func newVersionMoves(n *Node) *versionMoves {
	return &versionMoves{
		node:   n,
		table:  rollout.NewTable(rollout.DefaultConfig),
		heard:  map[string]heardMoves{},
		stated: map[string]statedMove{},
	}
}

// order takes an operator's order.
func (v *versionMoves) order(key string, value []byte, offset uint64) {
	if value == nil {
		return
	}
	m, err := platform.DecodeMove(value)
	if err != nil {
		v.node.log.Failure("moves", "unreadable", "key", key, "offset", offset, "error", err)
		v.node.metrics.unreadable.WithLabelValues(platform.OperatorTopic).Inc()
		return
	}
	v.table.Ordered(offset, m.Service, m.Target, m.Within, v.node.now())
	v.node.log.Event("moves", "ordered", "service", m.Service, "target", m.Target, "within", m.Within, "offset", offset)
	if v.node.now().Sub(v.node.members.began) < recallWithin {
		v.node.loops.Go(func() { v.recallUntilRead(m.Service) })
	}
}

const (
	// recallWithin is how long after its start a VM takes a move that it learns of
	// for one that may have ended before.
	recallWithin = 5 * time.Second
	// recallAgain is the pause after the store could not be read.
	recallAgain = time.Second
)

// recallUntilRead looks up how a move stood when this VM started: all VMs may
// have started at once, and nobody knows.
func (v *versionMoves) recallUntilRead(service string) {
	for ctx := v.node.ctx; ctx.Err() == nil; sleep(ctx, recallAgain) {
		for _, m := range v.table.Moves() {
			if m.Service == service && (m.Phase != rollout.Unknown || v.recall(ctx, m)) {
				return
			}
		}
	}
}

// versionChoice says which servers a request may go to during a move.
type versionChoice struct {
	side   rollout.Side
	target string
}

func (c versionChoice) allows(s *site.Server) bool {
	switch c.side {
	case rollout.Old:
		return s.SoftwareVersion != c.target
	case rollout.New:
		return s.SoftwareVersion == c.target
	}
	return true
}

// side chooses the version of a request. A side without servers gives way to
// the other only where that one is the old version, or has been given all.
func (v *versionMoves) side(service string, draw float64) versionChoice {
	side, target := v.table.Choose(service, draw, func(m rollout.Move) uint64 { return v.evidence(m, v.node.now()).New })
	if side == rollout.Any {
		return versionChoice{}
	}
	hasNew, hasOld := v.node.backends.versions(service, target)
	if side == rollout.New && !hasNew && hasOld {
		side = rollout.Old
	}
	return versionChoice{side: side, target: target}
}

// answered counts the end of an attempt as evidence.
func (v *versionMoves) answered(s *site.Server, e end) {
	switch e {
	case endAnswered:
		v.table.Answered(s.Service, s.SoftwareVersion, false)
	case endFailed, endLost, endSilent, endLate:
		v.table.Answered(s.Service, s.SoftwareVersion, true)
	}
}

// tell returns what this VM knows of the moves.
func (v *versionMoves) tell() []gossip.Move {
	var out []gossip.Move
	for _, m := range v.table.Moves() {
		out = append(out, gossip.Move{
			Service: shortHash(m.Service), Order: m.Order, Phase: int(m.Phase),
			New: m.Own.New, NewBad: m.Own.NewBad, Old: m.Own.Old, OldBad: m.Own.OldBad,
		})
	}
	return out
}

// hear takes what peers know.
func (v *versionMoves) hear(key string, moves []gossip.Move, now time.Time) {
	v.mu.Lock()
	v.heard[key] = heardMoves{at: now, moves: moves}
	v.mu.Unlock()
	for _, known := range v.table.Moves() {
		for _, m := range moves {
			if m.Service == shortHash(known.Service) && v.table.Heard(known.Service, m.Order, rollout.Phase(m.Phase), now) {
				v.node.log.Event("moves", "phase-heard", "service", known.Service, "phase", rollout.Phase(m.Phase), "from", key)
			}
		}
	}
}

// evidence adds up what all VMs have seen of a move.
func (v *versionMoves) evidence(m rollout.Move, now time.Time) rollout.Evidence {
	sum := m.Own
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, h := range v.heard {
		if now.Sub(h.at) > evidenceAge {
			continue
		}
		for _, x := range h.moves {
			if x.Service == shortHash(m.Service) && x.Order == m.Order {
				sum.Add(rollout.Evidence{New: x.New, NewBad: x.NewBad, Old: x.Old, OldBad: x.OldBad})
			}
		}
	}
	return sum
}

// step moves each move on, while this VM holds the duties.
func (v *versionMoves) step(ctx context.Context) {
	now := v.node.now()
	for _, m := range v.table.Moves() {
		if m.Phase == rollout.Unknown && !v.recall(ctx, m) {
			continue
		}
		hasServers, _ := v.node.backends.versions(m.Service, m.Target)
		e := v.evidence(m, now)
		next := rollout.DefaultConfig.Next(m.Phase, e, now.Sub(m.SeenAt), m.Within, hasServers)
		if v.table.Heard(m.Service, m.Order, next, now) {
			v.node.log.Event("moves", "phase", "service", m.Service, "target", m.Target, "phase", next,
				"new", e.New, "new-bad", e.NewBad, "old", e.Old, "old-bad", e.OldBad, "after", now.Sub(m.SeenAt))
		}
		v.state(ctx, m, next)
	}
}

// recall looks up what an earlier holder has told the operator of the move, as
// no VM may have lived since. It is false where the store can't be read.
func (v *versionMoves) recall(ctx context.Context, m rollout.Move) bool {
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	items, _, err := v.node.platform.Newest(ctx, platform.StatusTopic)
	if err != nil {
		v.node.log.Failure("moves", "status-unread", "service", m.Service, "error", err)
		return false
	}
	for _, it := range items {
		state, ok := platform.DecodeMoveStatus(it.Key, it.Value, m.Service, m.Target)
		if !ok {
			continue
		}
		switch state {
		case platform.MoveDone:
			v.table.Heard(m.Service, m.Order, rollout.Done, v.node.now())
		case platform.MoveTakenBack:
			v.table.Heard(m.Service, m.Order, rollout.TakenBack, v.node.now())
		}
		v.mu.Lock()
		v.stated[m.Service] = statedMove{order: m.Order, state: state}
		v.mu.Unlock()
	}
	return true
}

var phaseStates = map[rollout.Phase]string{
	rollout.Trial:     platform.MoveRunning,
	rollout.Shift:     platform.MoveRunning,
	rollout.Done:      platform.MoveDone,
	rollout.TakenBack: platform.MoveTakenBack,
}

// state tells the operator how a move stands.
func (v *versionMoves) state(ctx context.Context, m rollout.Move, p rollout.Phase) {
	want := statedMove{order: m.Order, state: phaseStates[p]}
	v.mu.Lock()
	same := v.stated[m.Service] == want
	v.mu.Unlock()
	if want.state == "" || same {
		return
	}
	key, value, err := platform.MoveStatus(m.Service, m.Target, want.state)
	if err != nil {
		v.node.log.Failure("moves", "not-encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	if _, err := v.node.platform.Append(ctx, platform.StatusTopic, platform.EncodeKeyed(key, value)); err != nil {
		v.node.log.Failure("moves", "not-stated", "service", m.Service, "state", want.state, "error", err)
		return
	}
	v.node.log.Event("moves", "stated", "service", m.Service, "target", m.Target, "state", want.state)
	v.mu.Lock()
	v.stated[m.Service] = want
	v.mu.Unlock()
}
