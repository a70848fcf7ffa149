package gateway

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
)

// An answer without length or chunks ends with its connection, and nothing in it tells its own
// end from that of its run or its server, which close their connections in order too. Such an
// end is believed
//
//   - never, if the run may have been stopped by an order, or has reached its deadline;
//   - if the server takes connections afterwards, where the server was told to stop;
//   - unless the server has ended, where it was not.

// confirmEnd decides whether the end x of an answer that has ended with its connection is
// believed. If not, it sets x.err and x.isUnconfirmed.
func (a *attempt) confirmEnd(x *arrival) {
	if x.isConfirmed || a.answer == nil || a.head.NotRun || a.answer.End() != upstream.EndOfConnection {
		return
	}
	if a.q.isStreamAnswer(a.answer) && (x.partialBytes > 0 || !a.hasEvent) {
		// The stream is incomplete in any case.
		return
	}
	x.isConfirmed = true
	var err error
	switch {
	case a.isStopped():
		err = errors.New("run was ordered to stop")
	case a.timeLeft() <= 0:
		err = errors.New("run has reached its deadline")
	default:
		x.server = a.stateAfterEnd()
		if x.server == serverEnded || x.server == serverLeaving {
			err = errors.Wrapf(io.ErrUnexpectedEOF, "server is %s", x.server)
		}
	}
	if err != nil {
		x.isUnconfirmed = true
		x.err = errors.Wrap(err, "answer ended with its connection")
	}
}

// timeLeft returns the time in which an answer may still end by itself. The server stops its run
// at the deadline.
func (a *attempt) timeLeft() time.Duration {
	return a.q.deadline.Sub(a.q.node.now()) - minTimeLeft
}

// stateAfterEnd returns the state of the attempt's server after its answer has ended with its
// connection. A server that was told to stop and is not seen to listen is serverLeaving.
func (a *attempt) stateAfterEnd() serverState {
	n, b := a.q.node, a.placed.server
	ctx, cancel := context.WithTimeout(a.ctx, min(a.timeLeft(), serverCheckDelay+serverCheckTimeout))
	defer cancel()
	// A process that ends may close its connections before its listener. A plain answer is not
	// held for that, unless there is a reason.
	settle := time.Duration(0)
	if a.q.isStreamAnswer(a.answer) || a.isToldToStop() {
		sleep(ctx, serverCheckDelay)
		settle = settleTime
	}
	state := serverUnknown
	switch {
	case a.isToldToStop():
		// The end of such a server is no evidence about this VM's links.
		if b.checkListening(ctx, settle) == nil {
			state = serverListening
		}
	default:
		state = n.checkServer(ctx, b, settle)
	}
	switch {
	case n.backends.hasRestarted(b):
		return serverEnded
	case state != serverListening && a.isToldToStop():
		return serverLeaving
	}
	return state
}

// isToldToStop reports whether the attempt's server was told to stop: it has announced that, its
// entry was removed, its zone is evacuated, or its version is no longer needed.
func (a *attempt) isToldToStop() bool {
	select {
	case <-a.placed.server.departure.announced:
		return true
	default:
	}
	n, info := a.q.node, &a.placed.info
	return n.backends.isEvacuated(info) || n.moves.table.IsRetired(info.Service, info.SoftwareVersion)
}
