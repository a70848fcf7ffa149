// Package peer carries the protocol between the system's own processes over
// drpc on plain TCP.
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
	dialTimeout  = time.Second
	poolExpiry   = 30 * time.Second
	poolCapacity = 1024
	poolPerPeer  = 16
)

// Server serves the peer protocol on one address.
type Server struct {
	listener net.Listener
	cancel   context.CancelFunc
	done     chan struct{}
}

// Listen opens an address for Serve.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

// Serve serves impl on listener until Close.
func Serve(listener net.Listener, impl peerapi.DRPCPeerServer) (*Server, error) {
	return ServeCalls(listener, func(mux drpc.Mux) error { return peerapi.DRPCRegisterPeer(mux, impl) })
}

// ServeCalls serves the calls that register adds.
func ServeCalls(listener net.Listener, register func(mux drpc.Mux) error) (*Server, error) {
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		return nil, errors.Wrap(err, "register peer protocol")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: listener, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		_ = drpcserver.New(mux).Serve(ctx, listener)
	}()
	return s, nil
}

// Address returns the address listened on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close ends all calls and waits for them.
func (s *Server) Close() {
	s.cancel()
	<-s.done
}

// Pool keeps connections to peers.
type Pool struct {
	pool  *drpcpool.Pool[string, *drpcconn.Conn]
	close sync.Once
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
		Expiration:  poolExpiry,
		Capacity:    poolCapacity,
		KeyCapacity: poolPerPeer,
	})}
}

// Client returns a client for the peer at address. It needs no closing.
func (p *Pool) Client(ctx context.Context, address string) peerapi.DRPCPeerClient {
	return peerapi.NewDRPCPeerClient(p.Conn(ctx, address))
}

// Conn returns a connection to the peer at address. It needs no closing.
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
	p.close.Do(func() { _ = p.pool.Close() })
}
