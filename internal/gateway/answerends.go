package gateway

import (
	"context"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
)

// An answer without length or chunks ends with its connection, and nothing in it tells its own
// end from that of its run or its server, which close their connections in order too. Such an
// end is believed
//
//   - never, if the run may have been stopped by an order, or has reached its deadline;
//   - if the server still takes connections afterwards, where it was told to stop;
//   - unless the server has ended or nobody reaches it, where it was not.

// confirmEnd decides whether the end x of an answer that has ended with its connection is
// believed. If not, it sets x.err and x.isEndRejected.
func (a *attempt) confirmEnd(x *arrival) {
	if x.isEndChecked || a.answer == nil || a.head.NotRun || a.answer.End() != upstream.EndOfConnection {
		return
	}
	if a.q.isStreamAnswer(a.answer) && (x.partialBytes > 0 || !a.hasEvent) {
		// The stream is incomplete in any case.
		return
	}
	x.isEndChecked = true
	verdict := verdictBelieved
	var err error
	switch {
	case a.isStopped():
		verdict, err = verdictStopped, errors.New("run was ordered to stop")
	case a.timeLeft() <= 0:
		verdict, err = verdictLate, errors.New("run has reached its deadline")
	default:
		var checkErr error
		x.server, x.isEndHeld, checkErr = a.stateAfterEnd()
		switch {
		case x.server == serverEnded || x.server == serverLeaving || x.server == serverUnknown && a.timeLeft() > 0:
			verdict, err = verdictServerEnded, errors.Wrapf(io.ErrUnexpectedEOF, "state of the server is %s", describeState(x.server, checkErr))
		case a.timeLeft() <= 0:
			verdict, err = verdictLate, errors.New("state of the server is not known at the deadline")
		}
	}
	a.q.node.metrics.unframedEnds.WithLabelValues(a.q.service, verdict).Inc()
	if err != nil {
		x.isEndRejected = true
		x.err = errors.Wrap(err, "answer ended with its connection")
	}
}

// describeState formats a server's state and what its check met, if that is an error.
func describeState(state serverState, err error) string {
	if err == nil {
		return state.String()
	}
	return state.String() + ", " + err.Error()
}

// Verdicts on the ends of answers that have ended with their connections, for metrics.
const (
	verdictBelieved    = "believed"
	verdictStopped     = "run-stopped"
	verdictLate        = "deadline"
	verdictServerEnded = "server-ended"
)

// timeLeft returns the time in which an answer may still end by itself. The server stops its run
// at the deadline.
func (a *attempt) timeLeft() time.Duration {
	return a.q.deadline.Sub(a.q.node.now()) - minTimeLeft
}

// stateAfterEnd returns the state of the attempt's server after its answer has ended with its
// connection, whether that is its state serverCheckDelay later, and what the check met. A process
// that ends may close its connections before its listener.
func (a *attempt) stateAfterEnd() (state serverState, isHeld bool, err error) {
	n, left := a.q.node, a.timeLeft()
	ctx, cancel := context.WithTimeout(a.ctx, left)
	defer cancel()
	isHeld = (a.q.isStreamAnswer(a.answer) || n.isToldToStop(a.placed)) && left > serverCheckDelay+serverCheckTimeout
	if isHeld {
		sleep(ctx, serverCheckDelay)
	}
	state, err = n.endChecks.state(ctx, a.placed)
	return state, isHeld, err
}

// isToldToStop reports whether a server was told to stop: it has announced that, its entry is
// removed, its zone is evacuated, or its version is no longer needed.
func (n *Node) isToldToStop(p *placedAttempt) bool {
	return n.backends.isLeaving(p.server) || n.backends.isEvacuated(&p.info) || n.moves.table.IsRetired(p.info.Service, p.info.SoftwareVersion)
}

// endChecks determines the states of servers after answers that have ended with their
// connections. A server is checked once at a time, and answers that end meanwhile share the next
// check. It is safe for concurrent use.
type endChecks struct {
	node *Node

	mu sync.Mutex
	// waiting holds the checks that have not begun, running those that have.
	waiting, running map[*backend]*endCheck
}

type endCheck struct {
	// done is closed once state is valid.
	done  chan struct{}
	state serverState
	// err is what the check met.
	err error
}

func newEndChecks(n *Node) *endChecks {
	return &endChecks{node: n, waiting: map[*backend]*endCheck{}, running: map[*backend]*endCheck{}}
}

// state returns the state of a server as of some time after the call, serverUnknown if ctx ends
// before, and what the check met.
func (c *endChecks) state(ctx context.Context, p *placedAttempt) (serverState, error) {
	c.mu.Lock()
	x := c.waiting[p.server]
	if x == nil {
		x = &endCheck{done: make(chan struct{})}
		c.waiting[p.server] = x
		go c.run(x, p)
	}
	c.mu.Unlock()
	select {
	case <-x.done:
		return x.state, x.err
	case <-ctx.Done():
		return serverUnknown, ctx.Err()
	}
}

func (c *endChecks) run(x *endCheck, p *placedAttempt) {
	defer close(x.done)
	c.mu.Lock()
	for previous := c.running[p.server]; previous != nil; previous = c.running[p.server] {
		c.mu.Unlock()
		<-previous.done
		c.mu.Lock()
	}
	delete(c.waiting, p.server)
	c.running[p.server] = x
	c.mu.Unlock()
	c.node.contain("end-check", func() { x.state, x.err = c.node.stateOf(p) })
	c.mu.Lock()
	delete(c.running, p.server)
	c.mu.Unlock()
}

// isAnotherProcess reports whether a model engine states that its process started at another time
// than that of p. This VM may have stood still while the engine started again.
func (n *Node) isAnotherProcess(p *placedAttempt) bool {
	if c := n.serviceConfig(p.server.service); c == nil || c.Model == nil || p.info.StartedAtMillis <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(n.ctx, reportTimeout)
	defer cancel()
	connection, err := p.server.pool.Connect(ctx, nil)
	if err != nil {
		return false
	}
	report, err := n.fetchReport(ctx, p, connection)
	return err == nil && report.StartedAtMillis > 0 && report.StartedAtMillis != p.info.StartedAtMillis
}

// stateOf determines the state of a server. One that was told to stop and takes no connections is
// serverLeaving.
func (n *Node) stateOf(p *placedAttempt) (state serverState, err error) {
	switch {
	case n.isToldToStop(p):
		// What becomes of such a server is no evidence about this VM's links. One that closes
		// connections at once, as if it had too many, has not ended.
		if err = n.checkListening(p.server); err == nil || errors.IsAny(err, upstream.ErrClosedAtOnce, syscall.ECONNRESET) {
			state = serverListening
		}
	default:
		if !n.links.IsCut(p.server.service) {
			state = n.checkServer(p.server)
		}
		if state == serverUnknown {
			// A peer may reach the server.
			if s, ok := n.checkServerThroughPeer(p.server); ok {
				state = s
			}
		}
	}
	switch {
	case n.backends.hasRestarted(p.server) || state == serverListening && n.isAnotherProcess(p):
		return serverEnded, errors.New("another process has taken its place")
	case state != serverListening && n.isToldToStop(p):
		return serverLeaving, err
	}
	return state, err
}
