package gateway

import (
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
	"coltsfootpath.example/coltsfootpath/platform"
)

// stopState is what is known of an order to stop a run.
type stopState int32

const (
	// stopNotSent means that the order has not reached the server.
	stopNotSent stopState = iota
	// stopSent means that the server may have the order and has not answered.
	stopSent
	// stopUnanswered means that the answer was lost: the server may carry the order out at any
	// time.
	stopUnanswered
	// stopRejected means that the server has stated that the order changed nothing.
	stopRejected
	// stopAnswered means that the server has answered otherwise: it has stopped the run, or may
	// have.
	stopAnswered
)

var stopStateNames = [...]string{"not-sent", "sent", "unanswered", "rejected", "answered"}

func (s stopState) String() string { return stopStateNames[s] }

// runStop is an order to a server to stop a run of a request. The goroutine that gives the
// order sets its state.
type runStop struct {
	server *backend
	state  atomic.Int32
}

func (s *runStop) set(state stopState) { s.state.Store(int32(state)) }

func (s *runStop) get() stopState { return stopState(s.state.Load()) }

// stopStateOf returns the state after the call that gives the order, isAnswered being false if
// no answer to it was received.
func stopStateOf(err error, isAnswered bool) stopState {
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		return stopNotSent
	case !isAnswered:
		return stopUnanswered
	case errors.IsAny(err, platform.ErrNoSuchRun, platform.ErrOtherEngine):
		return stopRejected
	}
	return stopAnswered
}

// isStopped reports whether the attempt's server may have stopped its run on an order.
func (a *attempt) isStopped() bool {
	for _, s := range a.q.stops {
		if s.server != a.placed.server {
			continue
		}
		switch s.get() {
		case stopSent, stopUnanswered, stopAnswered:
			return true
		}
	}
	return false
}

// describeStops formats the orders to stop the request's runs for log lines, as SERVER:STATE.
func (q *request) describeStops() string {
	var text []string
	for _, s := range q.stops {
		if state := s.get(); state != stopNotSent {
			text = append(text, s.server.id+":"+state.String())
		}
	}
	return strings.Join(text, ",")
}
