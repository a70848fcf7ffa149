package coordinator

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/appender"
	"coltsfootpath.example/coltsfootpath/internal/coordination/evidence"
	"coltsfootpath.example/coltsfootpath/internal/coordination/modelorders"
	"coltsfootpath.example/coltsfootpath/internal/coordination/moves"
	"coltsfootpath.example/coltsfootpath/internal/coordination/tail"
	"coltsfootpath.example/coltsfootpath/internal/invariant"
	"coltsfootpath.example/coltsfootpath/internal/protocol/peerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

const (
	moveInterval = 500 * time.Millisecond
	// maxReportAge is the age after which a node's newest report no longer counts
	// as recent.
	maxReportAge = 5 * time.Second
	// reportQuorum is the fraction of entry VMs whose reports must be recent for a
	// share to rise.
	reportQuorum = 0.75
)

// moveLoop advances and ends version moves while this coordinator holds the
// lease.
type moveLoop struct {
	c               *Coordinator
	appender        *appender.Appender
	collector       *evidence.Collector
	tracks          map[string]*moveTrack
	windowStartedAt time.Time
	// endOffsets holds the offset of each move's final status, by move name.
	endOffsets map[string]uint64

	shares        *prometheus.GaugeVec
	finalStatuses *prometheus.CounterVec
}

// moveTrack is a track with the move definition that it was created for.
type moveTrack struct {
	*moves.Track
	definition document.Move
}

func newMoveLoop(c *Coordinator) *moveLoop {
	l := &moveLoop{
		c:          c,
		collector:  evidence.NewCollector(),
		tracks:     map[string]*moveTrack{},
		endOffsets: map[string]uint64{},
		shares: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "coltsfoot_coordinator_move_share_permille", Help: "Share of keys on the new version of a move in progress.",
		}, []string{"move"}),
		finalStatuses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "coltsfoot_coordinator_move_statements_total", Help: "Final statuses of moves read by this coordinator, by result.",
		}, []string{"result"}),
	}
	c.registry.MustRegister(l.shares, l.finalStatuses)
	c.replay.Watch(l.observe)
	l.appender = appender.New(c.deps.Log, c.clock, c.replay)
	return l
}

// observe checks that no move ends twice, and updates the metrics. It is called
// for each record in order.
func (l *moveLoop) observe(a tail.Applied) {
	for name := range l.endOffsets {
		if _, exists := a.State.Moves[name]; !exists {
			delete(l.endOffsets, name)
		}
	}
	if a.Verdict != control.Accepted {
		return
	}
	l.updateMetrics(a)
	if a.Record.FinalStatus == nil {
		return
	}
	name := a.Record.FinalStatus.Move
	first, duplicate := l.endOffsets[name]
	invariant.Check(!duplicate, invariant.OneFinalStatusPerMove, "move %s ended at %d and %d", name, first, a.Offset)
	l.endOffsets[name] = a.Offset
}

// updateMetrics updates the metrics for an accepted record of a move.
func (l *moveLoop) updateMetrics(a tail.Applied) {
	switch {
	case a.Record.Step != nil:
		l.shares.WithLabelValues(a.Record.Step.Move).Set(float64(a.Record.Step.SharePermille))
	case a.Record.Cancel != nil:
		l.shares.WithLabelValues(a.Record.Cancel.Move).Set(0)
	case a.Record.FinalStatus != nil:
		l.shares.DeleteLabelValues(a.Record.FinalStatus.Move)
		l.finalStatuses.WithLabelValues(string(a.Record.FinalStatus.Result)).Inc()
	}
}

// run drives the moves until ctx ends.
func (l *moveLoop) run(ctx context.Context) {
	for ctx.Err() == nil {
		if _, ok := l.c.leases.fencingToken(); ok {
			l.step(ctx)
		}
		select {
		case <-l.c.clock.After(moveInterval):
		case <-ctx.Done():
		}
	}
}

func (l *moveLoop) step(ctx context.Context) {
	state := l.c.replay.State()
	if state.Document == nil {
		return
	}
	active := state.MovesInProgress()
	l.retain(active)
	windowStarted := l.startWindow()
	for _, name := range active {
		view := l.buildView(state, name, windowStarted)
		l.execute(ctx, name, view, moves.Decide(view))
	}
}

// retain drops the evidence and the tracks of all moves but the active ones.
func (l *moveLoop) retain(active []string) {
	isActive := map[string]bool{}
	for _, name := range active {
		isActive[name] = true
	}
	l.collector.Retain(isActive, l.c.clock.Now())
	for name := range l.tracks {
		if !isActive[name] {
			delete(l.tracks, name)
		}
	}
}

// startWindow starts a new window and returns true if moves.WindowLength has
// passed since the last window started.
func (l *moveLoop) startWindow() bool {
	now := l.c.clock.Now()
	if now.Sub(l.windowStartedAt) < moves.WindowLength {
		return false
	}
	l.windowStartedAt = now
	return true
}

// buildView collects the inputs for a decision about a move. If windowStarted is
// set, it first folds the newest evidence into the move's track.
func (l *moveLoop) buildView(state *control.State, name string, windowStarted bool) moves.View {
	progress := state.Moves[name]
	m := progress.Definition
	now := l.c.clock.Now()
	v := moves.View{Now: now, Move: m, Progress: progress, BlockedBy: l.collector.BlockedBy(name), ReportsFresh: l.reportsFresh(now)}
	service, ok := state.Document.Service(m.Service)
	if !ok {
		v.Replaced = true
		return v
	}
	v.Replaced = state.ServingVersion(service) != m.From
	t := l.track(m, service)
	if windowStarted {
		t.Fold(l.collector.Totals(name))
	}
	v.Fault = t.Fault()
	v.Evidence = t.Evidence(progress.Steps)
	if share, more := moves.NextShare(m, progress.SharePermille); more {
		v.Ready = modelorders.Ready(state.Document, m, share, l.c.orders.engines())
	}
	return v
}

// track returns the move's track. If the definition has changed, such as its
// deadline or guard, it creates a new track from all collected evidence.
func (l *moveLoop) track(m document.Move, service *document.Service) *moveTrack {
	t, ok := l.tracks[m.Name]
	if !ok || t.definition != m {
		t = &moveTrack{Track: moves.NewTrack(m, service, moves.LeaseHolderFalseAlarmRate), definition: m}
		l.tracks[m.Name] = t
		t.Fold(l.collector.Totals(m.Name))
	}
	return t
}

// reportsFresh reports whether enough entry VMs have sent a recent report.
func (l *moveLoop) reportsFresh(now time.Time) bool {
	entryVMs := l.c.orders.liveEntryVMs()
	reporting := l.collector.CountReportedSince(now.Add(-maxReportAge))
	return reporting > 0 && float64(reporting) >= reportQuorum*float64(entryVMs)
}

// execute appends the record that carries out an action, if it needs one.
func (l *moveLoop) execute(ctx context.Context, name string, v moves.View, action moves.Action) {
	switch a := action.(type) {
	case moves.Step:
		l.append(ctx, func(fencingToken uint64) control.Record {
			return control.Record{Step: &control.MoveStep{
				FencingToken: fencingToken, Move: name, SharePermille: a.SharePermille, Reason: a.Reason, At: v.Now,
			}}
		})
	case moves.End:
		l.append(ctx, func(fencingToken uint64) control.Record {
			return control.Record{FinalStatus: &control.MoveFinalStatus{
				FencingToken: fencingToken, Move: name, Result: a.Result, Reason: a.Reason, Evidence: a.Evidence, At: v.Now,
			}}
		})
	case moves.Wait:
		klog.V(2).Infof("moves: waiting move=%s reason=%q", name, a.Reason)
	}
}

// append appends a record built with the current fencing token. The token is
// obtained immediately before the append; without the lease, nothing is appended.
func (l *moveLoop) append(ctx context.Context, record func(fencingToken uint64) control.Record) {
	ctx, cancel := context.WithTimeout(ctx, l.c.settings.Lease.MaxOrderTime)
	defer cancel()
	fencingToken, ok := l.c.leases.fencingToken()
	if !ok {
		return
	}
	r := record(fencingToken)
	applied, err := l.appender.Append(ctx, r)
	if err != nil {
		klog.Warningf("moves: append failed err=%q", err)
		return
	}
	if applied.Verdict != control.Accepted {
		klog.Warningf("moves: record not accepted verdict=%s offset=%d", applied.Verdict, applied.Offset)
		return
	}
	if s := r.Step; s != nil {
		klog.Infof("moves: share set move=%s share_permille=%d offset=%d", s.Move, s.SharePermille, applied.Offset)
	}
	if s := r.FinalStatus; s != nil {
		klog.Infof("moves: ended move=%s result=%s reason=%q offset=%d", s.Move, s.Result, s.Reason, applied.Offset)
	}
}

// Evidence receives a node's evidence report on the active moves.
func (p *peerServer) Evidence(_ context.Context, in *peerapi.EvidenceRequest) (*peerapi.EvidenceReply, error) {
	c := p.coordinator
	c.moves.collector.Receive(peerapi.DecodeEvidence(in), c.clock.Now())
	return &peerapi.EvidenceReply{}, nil
}
