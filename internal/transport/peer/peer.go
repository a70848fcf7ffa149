// Package peer serves and calls the protocol between the system's own
// processes, with drpc over plain TCP.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"coltsfootpath.example/coltsfootpath/internal/protocol/peerapi"
)

const (
	dialTimeout = time.Second
	// poolExpiry bounds the idle time of a connection. An idle connection may have
	// become silent, which only the timeout of the next call would show.
	poolExpiry          = 1500 * time.Millisecond
	poolCapacity        = 1024
	poolCapacityPerPeer = 16
)

// Server serves drpc calls on one listener.
type Server struct {
	listener net.Listener
	cancel   context.CancelFunc
	stopped  chan struct{}
}

// Listen opens a TCP listener for Serve or ServeCalls.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

// Serve serves the peer protocol with impl on listener until Close.
func Serve(listener net.Listener, impl peerapi.DRPCPeerServer) (*Server, error) {
	return ServeCalls(listener, func(mux drpc.Mux) error { return peerapi.DRPCRegisterPeer(mux, impl) })
}

// ServeCalls serves the calls that register adds to mux on listener until
// Close.
func ServeCalls(listener net.Listener, register func(mux drpc.Mux) error) (*Server, error) {
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		return nil, errors.Wrap(err, "register peer protocol")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: listener, cancel: cancel, stopped: make(chan struct{})}
	go func() {
		defer close(s.stopped)
		_ = drpcserver.New(mux).Serve(ctx, listener)
	}()
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close stops the server, cancels all running calls and waits for them to end.
func (s *Server) Close() {
	s.cancel()
	<-s.stopped
}

// Pool holds connections to peers.
type Pool struct {
	pool      *drpcpool.Pool[string, *drpcconn.Conn]
	closeOnce sync.Once
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
		Expiration:  poolExpiry,
		Capacity:    poolCapacity,
		KeyCapacity: poolCapacityPerPeer,
	})}
}

// Client returns a client for the peer at address. The client uses the pool's
// connections and need not be closed.
func (p *Pool) Client(ctx context.Context, address string) peerapi.DRPCPeerClient {
	return peerapi.NewDRPCPeerClient(p.Conn(ctx, address))
}

// Conn returns a connection to the peer at address. It uses the pool's
// connections and need not be closed.
func (p *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	return p.pool.Get(ctx, address, dial)
}

func dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	return drpcconn.New(raw), nil
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.closeOnce.Do(func() { _ = p.pool.Close() })
}
