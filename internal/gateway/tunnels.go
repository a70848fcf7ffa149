package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/protocol/relayapi"
	"coltsfootpath.example/coltsfootpath/internal/transport/peer"
	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
)

// A VM that has lost its links to the servers of a service sends its requests through
// tunnels: a peer opens a connection to the server and copies bytes. Everything that is
// decided about a request stays with the VM that has it; the peer only decides whether it
// takes the tunnel. A tunnel carries one request.

const (
	// tunnelOpenTimeout bounds the time to open a tunnel: the call, and the peer's dial.
	tunnelOpenTimeout = dialTimeout + 200*time.Millisecond
	// maxTunnelPeers is the number of peers that are asked for one tunnel.
	maxTunnelPeers = 3
	// busyPeerBackoff is the time for which a peer is not asked that takes no more tunnels,
	// failedPeerBackoff that for one that did not reply.
	busyPeerBackoff   = 300 * time.Millisecond
	failedPeerBackoff = 1200 * time.Millisecond
	// tunnelCloseTimeout bounds the time until the peer has closed a tunnel in order, so
	// that its connection can be used again.
	tunnelCloseTimeout = time.Second
)

var (
	// errNoTunnel means that no peer has opened a connection to the server, for reasons
	// that are not the server's.
	errNoTunnel = errors.New("no peer opens a connection")
	// errTunnelLost means that a tunnel broke off. It tells nothing about the server.
	errTunnelLost = errors.New("tunnel lost")
	// errUnreachableForPeer means that a peer could not connect to the server either.
	errUnreachableForPeer = errors.New("unreachable for a peer too")
	// errRefusedForPeer means that nothing listens at the server's address.
	errRefusedForPeer = errors.New("refused a peer's connection too")
)

// tunnels opens tunnels through peers, and serves those of peers.
type tunnels struct {
	node *Node
	pool *peer.Pool
	// served is the number of tunnels of peers that are open.
	served atomic.Int64

	// mu is a leaf lock.
	mu sync.Mutex
	// open is the number of open tunnels through each peer, and avoidUntil the time until
	// which a peer is not asked, by peer address.
	open       map[string]int
	avoidUntil map[string]time.Time
}

func newTunnels(n *Node) *tunnels {
	return &tunnels{node: n, pool: peer.NewPool(), open: map[string]int{}, avoidUntil: map[string]time.Time{}}
}

// choosePeer returns the less used one of two peers chosen at random, empty if there is none
// that may be asked.
func (t *tunnels) choosePeer(peers []string, asked map[string]bool, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var candidates []string
	for _, p := range peers {
		if !asked[p] && !now.Before(t.avoidUntil[p]) {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	first, second := candidates[rand.IntN(len(candidates))], candidates[rand.IntN(len(candidates))]
	if t.open[second] < t.open[first] {
		return second
	}
	return first
}

func (t *tunnels) avoid(address string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoidUntil[address] = t.node.now().Add(d)
}

func (t *tunnels) count(address string, change int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open[address] += change; t.open[address] == 0 {
		delete(t.open, address)
	}
}

// connect opens a connection to the server of an attempt through a peer. Its errors are
// marked with upstream.ErrNotSent.
func (t *tunnels) connect(ctx context.Context, p *placedAttempt) (*upstream.Connection, error) {
	n := t.node
	peers, asked := n.members.tunnelPeers(), map[string]bool{}
	for range maxTunnelPeers {
		address := t.choosePeer(peers, asked, n.now())
		if address == "" || ctx.Err() != nil {
			break
		}
		asked[address] = true
		raw, rejection, err := t.dial(ctx, address, p)
		if err == nil && rejection == "" {
			n.metrics.tunnels.WithLabelValues(p.server.service, "opened").Inc()
			return p.server.pool.Adopt(raw), nil
		}
		if ctx.Err() != nil {
			break
		}
		n.log.Failure("links", "tunnel-not-opened", "server", p.server.id, "service", p.server.service, "peer", address, "rejection", string(rejection), "error", err)
		switch {
		case err != nil:
			n.metrics.tunnels.WithLabelValues(p.server.service, "failed").Inc()
			t.avoid(address, failedPeerBackoff)
			continue
		case rejection == relayapi.RejectedBusy || rejection == relayapi.RejectedCut:
			t.avoid(address, busyPeerBackoff)
		}
		n.metrics.tunnels.WithLabelValues(p.server.service, string(rejection)).Inc()
		switch rejection {
		case relayapi.RejectedUnreachable:
			return nil, errors.Mark(errUnreachableForPeer, upstream.ErrNotSent)
		case relayapi.RejectedRefused:
			return nil, errors.Mark(errRefusedForPeer, upstream.ErrNotSent)
		}
	}
	return nil, errors.Mark(errNoTunnel, upstream.ErrNotSent)
}

// dial opens a tunnel through one peer.
func (t *tunnels) dial(ctx context.Context, address string, p *placedAttempt) (net.Conn, relayapi.Rejection, error) {
	streamCtx, cancel := context.WithCancel(t.node.ctx)
	stop := context.AfterFunc(ctx, cancel)
	timer := time.AfterFunc(tunnelOpenTimeout, cancel)
	tunnel, reply, err := relayapi.OpenTunnel(streamCtx, t.pool.Conn(streamCtx, address), &relayapi.TunnelRequest{Server: p.info.ID, StartedAtMillis: p.info.StartedAtMillis})
	inTime := stop() && timer.Stop()
	switch {
	case err == nil && !inTime:
		err = context.DeadlineExceeded
		fallthrough
	case err != nil:
		cancel()
		return nil, "", err
	case reply.Rejection != "":
		_ = tunnel.CloseSend()
		cancel()
		return nil, reply.Rejection, nil
	}
	local, remote := net.Pipe()
	c := &tunnelConn{Conn: local}
	t.count(address, 1)
	go t.send(tunnel, remote, cancel)
	go func() {
		defer t.count(address, -1)
		if c.receive(tunnel, remote) {
			t.avoid(address, failedPeerBackoff)
		}
	}()
	return c, "", nil
}

// send sends what is written to the tunnel's connection, until that is closed.
func (t *tunnels) send(tunnel *relayapi.Tunnel, remote net.Conn, cancel context.CancelFunc) {
	defer cancel()
	if _, err := io.Copy(tunnel, remote); err != nil {
		// The receiver closes the connection once it knows how the tunnel has ended.
		return
	}
	if tunnel.CloseSend() != nil {
		return
	}
	select {
	case <-tunnel.Ended():
	case <-time.After(tunnelCloseTimeout):
	}
}

// tunnelConn is a connection through a tunnel, as one end of a pipe.
type tunnelConn struct {
	net.Conn
	// end is the error that reads return once the other end is closed.
	end atomic.Pointer[error]
}

// receive passes on what arrives until the tunnel ends. It reports whether the peer's own link
// may be cut.
func (c *tunnelConn) receive(tunnel *relayapi.Tunnel, remote net.Conn) (isPeerSuspect bool) {
	defer remote.Close()
	for {
		data, end, err := tunnel.Receive()
		if err == nil && end == "" {
			if _, err = remote.Write(data); err == nil {
				continue
			}
		}
		failure := errors.Mark(errors.Newf("%v", err), errTunnelLost)
		switch {
		case err != nil:
		case end == relayapi.EndClosed:
			failure = io.EOF
		case end == relayapi.EndUnlinked:
			failure = errors.Mark(errors.New("reset at the other end of the tunnel, whose link may be cut"), errTunnelLost)
		case end == relayapi.EndReset:
			failure = errors.Wrap(syscall.ECONNRESET, "at the other end of the tunnel")
		default:
			failure = errors.Newf("connection at the other end of the tunnel %s", end)
		}
		c.end.Store(&failure)
		return end == relayapi.EndUnlinked
	}
}

func (c *tunnelConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, c.ended(err)
}

func (c *tunnelConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err = c.ended(err); err == io.EOF {
		err = syscall.EPIPE
	}
	return n, err
}

// ended returns the error with which the tunnel has ended in place of that of the pipe.
func (c *tunnelConn) ended(err error) error {
	if end := c.end.Load(); end != nil && (err == io.EOF || errors.Is(err, io.ErrClosedPipe)) {
		return *end
	}
	return err
}
