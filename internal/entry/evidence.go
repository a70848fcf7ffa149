package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/answer"
	"coltsfootpath.example/coltsfootpath/internal/coordination/evidence"
	"coltsfootpath.example/coltsfootpath/internal/coordination/moves"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/protocol/peerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
)

// versionFailureCodes are the error codes that count as failures of the
// version.
var versionFailureCodes = map[callerapi.Code]bool{
	callerapi.BackendFailed:   true,
	callerapi.CrashesBackends: true,
	callerapi.DeadlinePassed:  true,
	callerapi.Internal:        true,
}

// countEvidence records a finished request as evidence for or against its
// version. The time between tokens is the request's mean, so that each request
// counts once.
func (n *Node) countEvidence(o Observation) {
	failed := versionFailureCodes[o.Code]
	if o.Move == "" || (!failed && o.Code != servedCode) {
		return
	}
	outcome := evidence.Outcome{Failed: failed, FirstToken: o.FirstToken, BetweenTokens: mean(o.BetweenTokens)}
	n.evidence.Record(evidence.Key{Move: o.Move, Version: o.Version, Route: o.Route, Step: o.Step}, outcome)
}

func mean(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	var sum time.Duration
	for _, d := range durations {
		sum += d
	}
	return sum / time.Duration(len(durations))
}

// countFailedAttempt records a failed attempt as evidence against its version,
// because a retry may hide the failure from the caller. Attempts that the
// server did not accept are ignored: they don't depend on the version.
func (n *Node) countFailedAttempt(r *requestRun, version string, cause answer.Cause) {
	if r.move == "" || cause == answer.CauseNotSent || cause == answer.CauseRejected {
		return
	}
	n.evidence.Record(evidence.Key{Move: r.move, Version: version, Route: r.req.Route, Step: r.step}, evidence.Outcome{Failed: true})
}

// countCallEvidence records an attempt of a call of a plain service. The time
// until the complete answer counts as the time to the first token.
func (n *Node) countCallEvidence(t target, p pinnedVersion, duration time.Duration, err error) {
	if p.move == "" || errors.Is(err, ports.ErrNotSent) {
		return
	}
	outcome := evidence.Outcome{Failed: err != nil, FirstToken: duration}
	if err != nil {
		outcome.FirstToken = 0
	}
	n.evidence.Record(evidence.Key{Move: p.move, Version: p.name, Route: t.route.Name, Step: p.step}, outcome)
}

const evidenceTimeout = time.Second

// watchMoves evaluates this node's own answers each second and reports them to
// the lease holder. It never raises a share: that requires a record in the log.
func (n *Node) watchMoves(ctx context.Context) {
	watch := moveWatch{node: n, tracks: map[string]*moves.Track{}}
	for {
		select {
		case <-n.clock.After(moves.WindowLength):
		case <-ctx.Done():
			return
		}
		if watch.update() {
			watch.report(ctx)
		}
	}
}

// moveWatch holds the state of the loop in watchMoves.
type moveWatch struct {
	node   *Node
	tracks map[string]*moves.Track
}

// update evaluates the node's own answers and locally blocks a version that
// clearly fails. It reports whether any move is under way.
func (w *moveWatch) update() bool {
	state := w.node.control.State()
	underWay := map[string]bool{}
	for _, name := range state.MovesInProgress() {
		underWay[name] = true
	}
	w.node.evidence.Retain(underWay)
	for name := range w.tracks {
		if !underWay[name] {
			delete(w.tracks, name)
		}
	}
	for name := range underWay {
		w.updateMove(state, name)
	}
	return len(underWay) > 0
}

func (w *moveWatch) updateMove(state *control.State, name string) {
	m := state.Moves[name].Definition
	service, ok := state.Document.Service(m.Service)
	if !ok || w.node.evidence.IsBlocked(name) {
		return
	}
	track, ok := w.tracks[name]
	if !ok {
		track = moves.NewTrack(m, service, moves.NodeFalseAlarmRate)
		w.tracks[name] = track
	}
	track.Fold(w.node.evidence.Samples(name))
	if fault := track.Fault(); fault != nil {
		klog.Warningf("entry: new version locally blocked move=%s reason=%q", name, fault)
		w.node.evidence.Block(name)
	}
}

// report sends the counters that have changed to the lease holder. Counters of
// a failed report are sent again with the next one.
func (w *moveWatch) report(ctx context.Context) {
	n := w.node
	lease := n.control.State().Lease
	if lease.FencingToken == 0 || lease.Released || lease.Holder.PeerAddress == "" {
		return
	}
	// All counters are sent again for a new fencing token, because the lease
	// holder may be a new process.
	term := strconv.FormatUint(lease.FencingToken, 10)
	r := n.evidence.Report(term)
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	if _, err := n.peerPool.Client(ctx, lease.Holder.PeerAddress).Evidence(ctx, peerapi.EncodeEvidence(r)); err != nil {
		klog.V(1).Infof("entry: evidence not reported holder=%s err=%q", lease.Holder.VM, err)
		return
	}
	n.evidence.Acknowledge(term, r)
}
