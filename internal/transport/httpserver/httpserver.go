// Package httpserver runs HTTP handlers on nbio's nbhttp with the limits that
// an edge server needs: sizes of requests, the memory that callers make it hold,
// write buffer, idle time and connections.
// When a caller disconnects, the contexts of the requests on that connection
// are cancelled, which nbhttp itself does not do.
package httpserver

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/shedding"
)

// Config configures a server. Zero values of limits other than HeaderTimeout
// are replaced by the defaults below.
type Config struct {
	Name    string
	Address string
	Handler http.Handler
	// MaxBodyBytes is the size of the largest body. A longer one is not kept, which ReadBody
	// reports; one of more than twice this size is rejected before a handler runs. SetLimits can
	// replace it.
	MaxBodyBytes int
	// MaxWriteBufferBytes bounds the unsent bytes of a connection. A connection
	// whose reader falls behind by more is closed.
	MaxWriteBufferBytes int
	// IdleTimeout is the time without a running request or received bytes after which
	// a connection is closed.
	IdleTimeout time.Duration
	// HeaderTimeout bounds the time from the first to the last byte of a
	// request's head. 0 means no limit.
	HeaderTimeout time.Duration
	// OnRefuse is called for each connection that is rejected or closed because of what its
	// caller did. It may be nil. It may be called with the server's lock held.
	OnRefuse func(Refusal)
	// MaxConnections bounds the number of open connections. A further one takes the place of
	// one that is idle.
	MaxConnections int
	// Memory holds what callers make the process hold. The servers of a process can share it.
	// If it is nil, the server has one of its own, of DefaultMemoryBytes.
	Memory *shedding.Table
	// Workers bounds the number of handlers that run concurrently.
	Workers int
}

// Defaults for fields of Config that are zero.
const (
	DefaultMaxBodyBytes        = 1 << 20
	DefaultMaxWriteBufferBytes = 1 << 20
	DefaultIdleTimeout         = 60 * time.Second
	DefaultMaxConnections      = 10_000
	DefaultMemoryBytes         = 64 << 20
	DefaultWorkers             = 4096
)

// Server is a running HTTP server.
type Server struct {
	engine    *nbhttp.Engine
	listener  *listener
	closeOnce sync.Once
	stopped   chan struct{}
	barrier   *barrier

	name           string
	maxConnections int
	memory         *shedding.Table
	// onRefuse is called for rejected and closed connections. It may be nil.
	onRefuse func(Refusal)

	mu       sync.Mutex // guards the fields below
	inflight int        // running handlers
	limits   Limits
	conns    map[*nbio.Conn]*connState
}

// Start listens on cfg.Address and serves requests until Shutdown or Close.
func Start(cfg Config) (*Server, error) {
	cfg.setDefaults()
	configureLibrary()
	inner, err := listen(cfg.Address, min(acceptBacklog, cfg.MaxConnections))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", cfg.Address)
	}
	barrier := newBarrier()
	listener := newListener(inner, barrier.awaitOrReopen)
	s := &Server{
		listener: listener, barrier: barrier, stopped: make(chan struct{}), conns: map[*nbio.Conn]*connState{},
		limits: Limits{HeaderTimeout: cfg.HeaderTimeout, IdleTimeout: cfg.IdleTimeout, HeadBytes: maxHeaderBytes, BodyBytes: cfg.MaxBodyBytes},
		name:   cfg.Name, maxConnections: cfg.MaxConnections, memory: cfg.Memory, onRefuse: cfg.OnRefuse,
	}
	listener.makeRoom = s.makeRoom
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:    cfg.Name,
		Network: "tcp",
		Addrs:   []string{listener.Addr().String()},
		Listen:  func(string, string) (net.Listener, error) { return listener, nil },
		// The listener bounds connections.
		MaxLoad: math.MaxInt32,
		NPoller: pollers,
		// The receiver bounds requests.
		ReadLimit:              math.MaxInt,
		ReadBufferSize:         readBufferBytes,
		MaxWriteBufferSize:     cfg.MaxWriteBufferBytes,
		MessageHandlerPoolSize: cfg.Workers,
		KeepaliveTime:          libraryKeepalive,
		Handler:                s.track(cfg.Handler),
	})
	s.engine.OnRequest = s.onRequest
	s.engine.OnOpen(s.onOpen)
	s.engine.OnData(s.onData)
	if err := s.engine.Start(); err != nil {
		return nil, errors.Wrapf(err, "start server %s", cfg.Name)
	}
	go s.watchConns()
	// When the read loop starts, it resets the flag that Stop sets, so a Stop before
	// that would hang forever.
	return s, s.barrier.open(s.Address())
}

const (
	startTimeout = 10 * time.Second
	// libraryKeepalive is longer than any request or idle time, because the
	// library's own idle timer also runs during a request.
	libraryKeepalive = 24 * time.Hour
	// pollers is 1, because the barrier waits for one read loop.
	pollers         = 1
	maxHeaderBytes  = 64 << 10
	readBufferBytes = 16 << 10
	// receiveBufferBytes is the size of the kernel's buffer for received bytes of a connection.
	// Linux doubles it.
	receiveBufferBytes = 16 << 10
	// acceptBacklog bounds the connections that wait to be accepted, and so does the number of
	// those that may be open.
	acceptBacklog = 256
)

// listen listens on an address, where backlog connections may wait to be accepted. Connections
// get the receive buffer of the listening socket.
func listen(address string, backlog int) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			if err := syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes); err != nil {
				klog.Warningf("httpserver: set the receive buffer of %s to %d bytes: %v", address, receiveBufferBytes, err)
			}
		})
	}}
	inner, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	// Connections that wait to be accepted hold received bytes, too.
	if l, ok := inner.(syscall.Conn); ok {
		if raw, err := l.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				if err := syscall.Listen(int(fd), backlog); err != nil {
					klog.Warningf("httpserver: set the backlog of %s to %d connections: %v", address, backlog, err)
				}
			})
		}
	}
	return inner, nil
}

func (c *Config) setDefaults() {
	setDefaultInt(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefaultInt(&c.MaxWriteBufferBytes, DefaultMaxWriteBufferBytes)
	setDefaultInt(&c.MaxConnections, DefaultMaxConnections)
	setDefaultInt(&c.Workers, DefaultWorkers)
	if c.IdleTimeout == 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.Memory == nil {
		c.Memory = shedding.NewTable(DefaultMemoryBytes)
	}
}

func setDefaultInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// Address returns the address on which the server listens, with the port that
// was assigned.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Shutdown waits until no handler runs and all written bytes have left this
// process, or until ctx ends, and then closes all connections. The owner must
// make its handlers reject new work first.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.Close()
	for !s.isIdle() {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close closes the listener and all connections at once. Further calls have no
// effect; a second call of the library's Stop would panic.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		close(s.stopped)
		s.listener.stopAccepting()
		s.engine.Stop()
		s.barrier.close()
		s.cancelAll()
	})
}

// track gives each request a context that is cancelled when its connection
// closes, and counts what the request holds while it runs.
func (s *Server) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(context.WithValue(r.Context(), serverKey{}, s))
		defer cancel()
		conn := connOf(w)
		if isClosed(conn) {
			// An earlier request on this connection has closed it.
			return
		}
		received, _ := r.Body.(*body)
		if received != nil && received.isExcess {
			// The connection is rejected, and closed once earlier answers have been sent. The
			// library must not answer.
			if hijacker, ok := w.(http.Hijacker); ok {
				_, _, _ = hijacker.Hijack()
			}
			s.mu.Lock()
			s.stateOf(conn).dequeue(received)
			s.mu.Unlock()
			return
		}
		holding := s.register(conn, &cancel, received)
		defer s.unregister(conn, &cancel)
		if received != nil && holding != nil {
			if s.memory.Start(holding, received.memory) {
				defer s.memory.Finish(holding, received.memory)
			} else {
				received.isOverload, received.data = true, nil
			}
		}
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// serverKey is the key of a request's server in its context.
type serverKey struct{}

// register adds a running request and returns what its connection holds.
func (s *Server) register(conn *nbio.Conn, cancel *context.CancelFunc, received *body) *shedding.Holding {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight++
	state := s.stateOf(conn)
	state.cancels[cancel] = struct{}{}
	state.dequeue(received)
	return state.holding
}

func (s *Server) unregister(conn *nbio.Conn, cancel *context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
	state := s.stateOf(conn)
	delete(state.cancels, cancel)
	if len(state.cancels) == 0 {
		state.reset(time.Now())
	}
}

func (s *Server) cancelAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.conns {
		for cancel := range state.cancels {
			(*cancel)()
		}
	}
}
