package entry

import (
	"context"
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/burn"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/protocol/peerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// burnCounter counts this node's answers by whether they met the service's
// target.
type burnCounter struct {
	mu      sync.Mutex
	tracker *burn.Tracker
}

func newBurnCounter() *burnCounter {
	return &burnCounter{tracker: burn.NewTracker()}
}

// callerErrorCodes are the codes of errors that the caller or its workspace
// causes. They don't count against the service level.
var callerErrorCodes = map[callerapi.Code]bool{
	callerapi.MalformedRequest:   true,
	callerapi.BodyTooLarge:       true,
	callerapi.MissingKey:         true,
	callerapi.Unauthenticated:    true,
	callerapi.UnknownWorkspace:   true,
	callerapi.UnknownService:     true,
	callerapi.UnknownRoute:       true,
	callerapi.RouteNotAllowed:    true,
	callerapi.KeyConflict:        true,
	callerapi.KeyExpired:         true,
	callerapi.LimitReached:       true,
	callerapi.OffsetBeyondAnswer: true,
}

// add counts an answer.
func (b *burnCounter) add(o Observation, good bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := burn.Key{Service: o.Service, Version: o.Version, Route: o.Route, Workspace: o.Workspace}
	b.tracker.Add(key, !good, now)
}

// meetsTarget reports whether an answer is complete and on time. At most the
// fraction 1 - burn.Objective of its times between tokens may exceed the target.
func meetsTarget(o Observation, target document.Target) bool {
	if o.Code != servedCode {
		return false
	}
	if o.FirstToken == 0 {
		return o.Answer <= millis(target.AnswerMillis)
	}
	aboveTarget := 0
	for _, d := range o.BetweenTokens {
		if d > millis(target.BetweenTokenMillis) {
			aboveTarget++
		}
	}
	allowed := float64(len(o.BetweenTokens)) * (1 - burn.Objective)
	return o.FirstToken <= millis(target.FirstTokenMillis) && float64(aboveTarget) <= allowed
}

func millis(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}

func (b *burnCounter) snapshot(now time.Time) burn.Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tracker.Snapshot(now)
}

// countBurn counts an answer against its service's target. It ignores services
// that are no longer in the document and errors that the caller caused.
func (n *Node) countBurn(o Observation) {
	doc := n.control.State().Document
	if doc == nil || callerErrorCodes[o.Code] {
		return
	}
	s, ok := doc.Service(o.Service)
	if !ok {
		return
	}
	good := meetsTarget(o, s.Target)
	n.burn.add(o, good, n.clock.Now())
	n.metrics.answers.WithLabelValues(o.Service, o.Version, o.Route, o.Workspace, answerResult(good)).Inc()
}

func answerResult(good bool) string {
	if good {
		return "good"
	}
	return "bad"
}

// Burn returns this node's counts of good and bad answers.
func (p *peerServer) Burn(context.Context, *peerapi.BurnRequest) (*peerapi.BurnReply, error) {
	return peerapi.EncodeBurn(p.node.burn.snapshot(p.node.clock.Now())), nil
}
