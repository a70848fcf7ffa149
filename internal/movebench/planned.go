package movebench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/evidence"
	"coltsfootpath.example/coltsfootpath/internal/coordination/moves"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// planned is the policy that uses the system's own planner and fault detection.
// The nodes read the log with a delay, some of their reports get lost, and the
// lease holder crashes at random times.
type planned struct {
	scenario scenario
	move     document.Move
	random   *rand.Rand
	state    *control.State
	// history holds the state at the end of each second, the newest last.
	history           []*control.State
	counters          []*evidence.Counter
	nodeTracks        []*moves.Track
	collector         *evidence.Collector
	holderTrack       *moves.Track
	termNumber        int
	secondsToNextTerm int
	secondsToCrash    int
	sequence          uint64
	reportsInFlight   []evidence.Report
	// holderStopsAtFault stops the lease holder permanently when the fault begins.
	holderStopsAtFault bool
	// localBlocksDisabled prevents the nodes from blocking the new version locally.
	localBlocksDisabled bool
}

const (
	maxNodeLagSeconds = 2
	reportLossRatio   = 0.1
	// secondsWithoutHolder is the time without a lease holder after the holder has
	// crashed.
	secondsWithoutHolder = 8
	// meanTermSeconds is the mean time until the lease holder crashes.
	meanTermSeconds = 240
)

func newPlanned(s scenario) *planned {
	p := &planned{scenario: s, move: s.move(), random: rand.New(rand.NewPCG(s.seed, 3)), state: control.New()}
	doc := s.document()
	p.appendRecord(control.Record{Document: &control.DocumentSubmission{Document: doc}})
	for i := range nodeCount {
		p.counters = append(p.counters, evidence.NewCounter(fmt.Sprintf("entry-%d", i), 1))
		p.nodeTracks = append(p.nodeTracks, moves.NewTrack(p.move, &doc.Services[0], moves.NodeFalseAlarmRate))
	}
	p.startTerm()
	return p
}

func (p *planned) appendRecord(r control.Record) control.Verdict {
	p.sequence++
	r.Writer = control.WriterID{Incarnation: "bench", Sequence: p.sequence}
	next := p.state.Clone()
	verdict := next.Apply(next.Next, r)
	p.state = next
	return verdict
}

func (p *planned) startTerm() {
	p.termNumber++
	p.appendRecord(control.Record{Claim: &control.LeaseClaim{After: p.state.Lease.LastOffset, Holder: control.Holder{VM: fmt.Sprint(p.termNumber)}}})
	p.collector = evidence.NewCollector()
	p.holderTrack = moves.NewTrack(p.move, &p.state.Document.Services[0], moves.LeaseHolderFalseAlarmRate)
	p.secondsToCrash = 1 + int(p.random.ExpFloat64()*meanTermSeconds)
	p.reportsInFlight = nil
}

// stateAtNode returns the newest state that the node has read, which is older than
// the present one by the node's lag of 0 to maxNodeLagSeconds.
func (p *planned) stateAtNode(node int) *control.State {
	lag := node % (maxNodeLagSeconds + 1)
	return p.history[max(len(p.history)-1-lag, 0)]
}

func (p *planned) chooseVersion(node, key int) (bool, int) {
	state := p.stateAtNode(node)
	split := state.Split(&state.Document.Services[0])
	if split.NewVersion == "" {
		return split.ServingVersion == newVersion, split.Step
	}
	return key < split.SharePermille && !p.counters[node].IsBlocked(split.Move), split.Step
}

func (p *planned) recordAnswer(a answer) {
	key := evidence.Key{Move: p.move.Name, Version: a.version(), Route: routeNames[a.route], Step: a.step}
	p.counters[a.node].Record(key, a.toEvidence())
}

func (p *planned) tick(at time.Duration) {
	for i, t := range p.nodeTracks {
		t.Fold(p.counters[i].Samples(p.move.Name))
		if t.Fault() != nil && !p.localBlocksDisabled {
			p.counters[i].Block(p.move.Name)
		}
	}
	if !p.holderStopsAtFault || at < p.scenario.faultAt {
		p.runHolder(epoch.Add(at))
	}
	p.history = append(p.history, p.state)
}

// runHolder simulates one second of the lease holder, or one second without a holder
// after a crash.
func (p *planned) runHolder(now time.Time) {
	if p.secondsToNextTerm > 0 {
		p.secondsToNextTerm--
		if p.secondsToNextTerm == 0 {
			p.startTerm()
		}
		return
	}
	p.secondsToCrash--
	if p.secondsToCrash == 0 {
		p.secondsToNextTerm = secondsWithoutHolder
		return
	}
	p.exchangeReports(now)
	p.holderTrack.Fold(p.collector.Totals(p.move.Name))
	progress := p.state.Moves[p.move.Name]
	p.applyAction(now, moves.Decide(moves.View{
		Now: now, Move: p.move, Progress: progress, Fault: p.holderTrack.Fault(), Ready: true,
		BlockedBy: p.collector.BlockedBy(p.move.Name), ReportsFresh: p.collector.CountReportedSince(now.Add(-5*time.Second)) == nodeCount,
		Evidence: p.holderTrack.Evidence(progress.Steps),
	}))
}

// exchangeReports delivers the reports of the previous second to the lease holder
// and sends new ones, some of which get lost.
func (p *planned) exchangeReports(now time.Time) {
	holder := fmt.Sprint(p.termNumber)
	for _, r := range p.reportsInFlight {
		p.collector.Receive(r, now)
	}
	p.reportsInFlight = nil
	for _, c := range p.counters {
		if p.random.Float64() < reportLossRatio {
			continue
		}
		r := c.Report(holder)
		c.Acknowledge(holder, r)
		p.reportsInFlight = append(p.reportsInFlight, r)
	}
}

func (p *planned) applyAction(now time.Time, action moves.Action) {
	fencing := p.state.Lease.FencingToken
	switch a := action.(type) {
	case moves.Step:
		p.appendRecord(control.Record{Step: &control.MoveStep{FencingToken: fencing, Move: p.move.Name, SharePermille: a.SharePermille, Reason: a.Reason, At: now}})
	case moves.End:
		p.appendRecord(control.Record{FinalStatus: &control.MoveFinalStatus{
			FencingToken: fencing, Move: p.move.Name, Result: a.Result, Reason: a.Reason, Evidence: a.Evidence, At: now,
		}})
	}
}

func (p *planned) activeSharePermille() int {
	return p.state.Moves[p.move.Name].SharePermille
}

func (p *planned) finalStatus() (bool, bool, time.Duration) {
	status := p.state.Moves[p.move.Name].FinalStatus
	if status == nil {
		return false, false, 0
	}
	return status.Result == control.MoveFinished, true, status.At.Sub(epoch)
}

func (p *planned) reason() string {
	if status := p.state.Moves[p.move.Name].FinalStatus; status != nil {
		return status.Reason
	}
	return ""
}
