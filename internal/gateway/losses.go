package gateway

import (
	"context"
	"io"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/quarantine"
	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
)

const (
	// serverCheckDelay is the time between the end of an answer, or a lost attempt, and the
	// check whether its server still listens. A process that ends closes its connections before its
	// listener.
	serverCheckDelay = 100 * time.Millisecond
	// serverCheckTimeout bounds the check.
	serverCheckTimeout = 500 * time.Millisecond
)

// serverState is the state of a backend server after an attempt on it was lost.
type serverState int

const (
	// serverUnknown means that the server neither accepted nor refused a connection.
	serverUnknown serverState = iota
	// serverListening means that the server accepted a connection.
	serverListening
	// serverEnded means that nothing listens at the server's address.
	serverEnded
	// serverLeaving means that the server had announced that it would stop.
	serverLeaving
	// serverResetting means that the server, or the links to it, closed a connection at once
	// that carried no request.
	serverResetting
	// serverNotChecked means that the attempt may have been lost because this VM's links are
	// cut, which is no evidence about the server.
	serverNotChecked
)

var serverStateNames = [...]string{"unknown", "listening", "ended", "leaving", "resetting", "not-checked"}

func (s serverState) String() string { return serverStateNames[s] }

// loss is an attempt that may have run and whose answer is incomplete.
type loss struct {
	requestID string
	// content identifies the request content, see contentHash.
	content uint64
	parts   []quarantine.Part
	outcome attemptOutcome
	// disconnected is true if the connection was closed or reset by its other end.
	disconnected bool
	at           time.Time
}

// contentHash identifies the content of a request, which its caller may send again
// under another id and to another VM. The query counts only where there is no body.
func contentHash(host, method, target, workspace string, body []byte) uint64 {
	if len(body) > 0 {
		target, _, _ = strings.Cut(target, "?")
	}
	h := xxhash.New()
	for _, s := range []string{strings.ToLower(host), method, target, workspace} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// isDisconnect reports whether err means that the other end has closed or reset
// the connection.
func isDisconnect(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// serverChecks determines the state of servers after lost attempts. The attempts
// that a server lost at about the same time share one check.
type serverChecks struct {
	node *Node

	mu      sync.Mutex
	waiting map[*backend][]loss
}

func newServerChecks(n *Node) *serverChecks {
	return &serverChecks{node: n, waiting: map[*backend][]loss{}}
}

// add checks the server in the background and then handles the loss.
func (c *serverChecks) add(b *backend, l loss) {
	c.mu.Lock()
	defer c.mu.Unlock()
	losses, running := c.waiting[b]
	c.waiting[b] = append(losses, l)
	if !running {
		go c.check(b)
	}
}

func (c *serverChecks) check(b *backend) {
	n := c.node
	sleep(n.ctx, serverCheckDelay)
	state := serverLeaving
	if !n.backends.isLeaving(b) {
		state = n.checkServer(b)
		wasCut := n.links.IsCut(b.service)
		n.awaitLinkCheck(b.service)
		if !wasCut && n.links.IsCut(b.service) {
			state = n.checkServer(b)
		}
	}
	// An announcement or a restart may have been read during the check.
	switch {
	case n.backends.isLeaving(b):
		state = serverLeaving
	case n.backends.hasRestarted(b):
		state = serverEnded
	}
	c.mu.Lock()
	losses := c.waiting[b]
	delete(c.waiting, b)
	c.mu.Unlock()
	if state == serverNotChecked {
		n.metrics.contentLosses.WithLabelValues(b.service, state.String()).Add(float64(len(losses)))
		return
	}
	for _, l := range losses {
		n.quarantiner.recordLoss(b, l, state)
	}
}

// checkServer determines the state of a server. A connection that is refused, or closed at
// once, may be due to this VM's links, so that a peer decides whether the server has ended.
func (n *Node) checkServer(b *backend) serverState {
	startedAt := n.now()
	err := n.checkListening(b)
	if err == nil && !n.links.IsCut(b.service) {
		return serverListening
	}
	if err != nil && !errors.IsAny(err, syscall.ECONNREFUSED, syscall.ECONNRESET, upstream.ErrClosedAtOnce) && !n.links.IsCut(b.service) {
		n.recordLinkFailure(b, startedAt)
		return serverUnknown
	}
	state, ok := n.checkServerThroughPeer(b)
	switch {
	case ok && (state == serverEnded || state == serverUnknown && !errors.Is(err, upstream.ErrClosedAtOnce)):
		return state
	case err != nil:
		n.recordLinkFailure(b, startedAt)
	}
	switch {
	case ok && state == serverNotChecked || n.links.IsCut(b.service):
		return serverNotChecked
	case errors.Is(err, syscall.ECONNREFUSED):
		return serverEnded
	}
	return serverResetting
}

// checkListening returns nil if a server takes a connection and leaves it open.
func (n *Node) checkListening(b *backend) error {
	ctx, cancel := context.WithTimeout(n.ctx, serverCheckTimeout)
	defer cancel()
	err := b.pool.CheckListening(ctx, settleTime)
	if errors.IsAny(err, upstream.ErrClosedAtOnce, syscall.ECONNRESET) {
		// A process that ends may close its connections before its listener.
		err = b.pool.CheckListening(ctx, settleTime)
	}
	return err
}

// checkServerThroughPeer determines the state of a server as seen from a peer, and false if
// none can tell. A server that the peer reaches has not ended.
func (n *Node) checkServerThroughPeer(b *backend) (state serverState, ok bool) {
	ctx, cancel := context.WithTimeout(n.ctx, serverCheckTimeout)
	defer cancel()
	connection, err := n.tunnels.connect(ctx, n.backends.unplaced(b))
	switch {
	case err == nil:
		connection.Release()
		return serverNotChecked, true
	case errors.Is(err, errRefusedForPeer):
		return serverEnded, true
	case errors.Is(err, errUnreachableForPeer):
		return serverUnknown, true
	}
	return serverNotChecked, false
}
