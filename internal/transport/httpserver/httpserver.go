// Package httpserver runs HTTP handlers on nbio's nbhttp with the bounds that
// an edge needs: body size, write buffer, idle time, connections. A caller's
// disconnect cancels the contexts of the requests on that connection, which
// nbhttp itself does not do.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// Config bounds a server.
type Config struct {
	Name    string
	Address string
	Handler http.Handler
	// MaxBodyBytes is the body size that handlers check. A connection that
	// sends more than twice as much is closed without an answer.
	MaxBodyBytes int
	// MaxWriteBufferBytes closes a connection whose reader falls behind by more.
	MaxWriteBufferBytes int
	// IdleTimeout closes a connection that sends no request for so long.
	IdleTimeout time.Duration
	// HeaderTimeout bounds the time that a request's head takes to arrive, 0 for
	// any time.
	HeaderTimeout time.Duration
	// Refused is told of connections that are closed for what they sent, nil for
	// nobody.
	Refused func(caller string, status int)
	// MaxConnections bounds the open connections.
	MaxConnections int
	// Workers bounds the handlers that run at once.
	Workers int
}

// Bounds used where a Config leaves them at zero.
const (
	DefaultMaxBodyBytes        = 1 << 20
	DefaultMaxWriteBufferBytes = 1 << 20
	DefaultIdleTimeout         = 60 * time.Second
	DefaultMaxConnections      = 10_000
	DefaultWorkers             = 4096
)

// Server is one listening HTTP server.
type Server struct {
	engine   *nbhttp.Engine
	listener *listener
	stop     sync.Once
	stopped  chan struct{}
	// reading is closed when the library's loop has handled a connection.
	reading     chan struct{}
	readingOnce sync.Once

	// refusedConn is told of connections whose bytes are no requests.
	refusedConn func(caller string, status int)

	mu       sync.Mutex
	inflight int
	limits   Limits
	conns    map[*nbio.Conn]*connState
}

// Start listens and serves until Shutdown or Close.
func Start(cfg Config) (*Server, error) {
	cfg.setDefaults()
	prepareLibrary()
	inner, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", cfg.Address)
	}
	listener := newListener(inner)
	s := &Server{
		listener: listener, stopped: make(chan struct{}), reading: make(chan struct{}), conns: map[*nbio.Conn]*connState{},
		limits: Limits{Header: cfg.HeaderTimeout, Idle: cfg.IdleTimeout}, refusedConn: cfg.Refused,
	}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:                   cfg.Name,
		Network:                "tcp",
		Addrs:                  []string{listener.Addr().String()},
		Listen:                 func(string, string) (net.Listener, error) { return listener, nil },
		MaxLoad:                cfg.MaxConnections,
		NPoller:                pollers,
		ReadLimit:              2*cfg.MaxBodyBytes + maxHeaderBytes,
		MaxHTTPBodySize:        2 * cfg.MaxBodyBytes,
		ReadBufferSize:         readBufferBytes,
		MaxWriteBufferSize:     cfg.MaxWriteBufferBytes,
		MessageHandlerPoolSize: cfg.Workers,
		KeepaliveTime:          libraryKeepalive,
		Handler:                s.track(cfg.Handler),
	})
	s.engine.OnOpen(s.opened)
	s.engine.OnData(s.arrived)
	s.engine.OnClose(func(net.Conn, error) { s.readingOnce.Do(func() { close(s.reading) }) })
	if err := s.engine.Start(); err != nil {
		return nil, errors.Wrapf(err, "start server %s", cfg.Name)
	}
	go s.watchConns()
	return s, s.waitReading()
}

// waitReading waits until the library's read loop runs: its beginning resets
// the flag that Stop sets, so that a Stop before it would hang for good.
func (s *Server) waitReading() error {
	conn, err := net.DialTimeout("tcp", s.Address(), startTimeout)
	if err != nil {
		return errors.Wrapf(err, "reach own address %s", s.Address())
	}
	_ = conn.Close()
	select {
	case <-s.reading:
		return nil
	case <-time.After(startTimeout):
		return errors.Newf("nothing is read on own address %s", s.Address())
	}
}

const (
	startTimeout = 10 * time.Second
	// libraryKeepalive is longer than any request or idle time: the library's own
	// clock also runs while a request does.
	libraryKeepalive = 24 * time.Hour
	// pollers is one, so that one connection proves that the loop runs.
	pollers         = 1
	maxHeaderBytes  = 64 << 10
	readBufferBytes = 16 << 10
)

func (c *Config) setDefaults() {
	defaultInt(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	defaultInt(&c.MaxWriteBufferBytes, DefaultMaxWriteBufferBytes)
	defaultInt(&c.MaxConnections, DefaultMaxConnections)
	defaultInt(&c.Workers, DefaultWorkers)
	if c.IdleTimeout == 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
}

func defaultInt(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// Address returns the address listened on, with the port that was given.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Shutdown waits until no handler runs and all that was written has left this
// process, or until ctx ends, then closes all connections. The owner has to make
// its handlers refuse new work first.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.Close()
	for !s.idle() {
		select {
		case <-time.After(idlePoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close closes the listener and all connections at once. The library's own
// Stop panics when it is called again.
func (s *Server) Close() {
	s.stop.Do(func() {
		close(s.stopped)
		s.listener.stopAccepting()
		s.engine.Stop()
		s.cancelAll()
	})
}

// track gives each request a context that ends with its connection.
func (s *Server) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		conn := connOf(w)
		if isClosed(conn) {
			// The request before it on the connection has ended this one too.
			return
		}
		s.register(conn, &cancel)
		defer s.unregister(conn, &cancel)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (s *Server) register(conn *nbio.Conn, cancel *context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight++
	s.of(conn).cancels[cancel] = struct{}{}
}

func (s *Server) unregister(conn *nbio.Conn, cancel *context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight--
	state := s.of(conn)
	delete(state.cancels, cancel)
	if len(state.cancels) == 0 {
		state.next(time.Now())
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
