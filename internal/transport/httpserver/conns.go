package httpserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

const (
	// watchInterval is how long a caller's disconnect may go unnoticed.
	watchInterval = 50 * time.Millisecond
	idlePoll      = 5 * time.Millisecond
)

// connOf returns the connection that a response goes to, nil where it is not
// one of nbio's.
func connOf(w http.ResponseWriter) *nbio.Conn {
	res, ok := w.(*nbhttp.Response)
	if !ok || res.Parser == nil {
		return nil
	}
	return innerConn(res.Parser.Conn)
}

// innerConn returns the library's connection behind c, nil where there is none.
func innerConn(c net.Conn) *nbio.Conn {
	if outer, ok := c.(*nbhttp.Conn); ok {
		c = outer.Conn
	}
	conn, _ := c.(*nbio.Conn)
	return conn
}

// arrival is what has come on a connection of which no request is running.
type arrival struct {
	// quietFrom is when anything last came or was answered.
	quietFrom time.Time
	// headFrom is when the first byte of a head came that is not yet whole, zero
	// where there is none.
	headFrom time.Time
	// ends counts the bytes of the end of a head seen so far.
	ends int
	// refused is true once the connection has been refused: what else comes on it
	// is dropped, and it closes when its answers have left.
	refused bool
}

const headEnd = "\r\n\r\n"

// take notes bytes that have come, and follows whether a head is whole.
func (a *arrival) take(data []byte, now time.Time) {
	a.quietFrom = now
	for _, c := range data {
		if a.ends == len(headEnd) {
			break
		}
		if a.headFrom.IsZero() {
			a.headFrom = now
		}
		switch {
		case c == headEnd[a.ends]:
			a.ends++
		case c == headEnd[0]:
			a.ends = 1
		default:
			a.ends = 0
		}
	}
	if a.ends == len(headEnd) {
		a.headFrom = time.Time{}
	}
}

// next makes ready for the next request.
func (a *arrival) next(now time.Time) {
	a.quietFrom, a.headFrom, a.ends = now, time.Time{}, 0
}

// late tells whether a connection has kept its server waiting for too long, and
// whether with half a head.
func (a *arrival) late(limits Limits, now time.Time) (late, inHead bool) {
	if !a.headFrom.IsZero() && limits.Header > 0 && now.Sub(a.headFrom) > limits.Header {
		return true, true
	}
	return now.Sub(a.quietFrom) > limits.Idle, false
}

// Limits bound how long callers may take.
type Limits struct {
	// Header is the time from the first byte of a head to its last, 0 for any.
	Header time.Duration
	// Idle is the time without a byte where no request runs.
	Idle time.Duration
}

// SetLimits replaces the limits, also of connections that are open.
func (s *Server) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Idle <= 0 {
		l.Idle = s.limits.Idle
	}
	s.limits = l
}

// opened notes a new connection.
func (s *Server) opened(c net.Conn) {
	if conn := innerConn(c); conn != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.of(conn)
	}
}

// arrived takes bytes of a connection.
func (s *Server) arrived(conn *nbio.Conn, data []byte) {
	s.mu.Lock()
	state := s.of(conn)
	refused := state.refused
	if !refused && len(state.cancels) == 0 {
		state.take(data, time.Now())
	}
	s.mu.Unlock()
	parser, ok := conn.Session().(nbhttp.ParserCloser)
	if refused || !ok {
		return
	}
	if err := parser.Parse(data); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refuse(conn, state, state.statusOf(err))
	}
}

// statusOf tells what was wrong with bytes that are no request.
func (a *arrival) statusOf(err error) int {
	switch {
	case !errors.Is(err, nbhttp.ErrTooLong):
		return http.StatusBadRequest
	case !a.headFrom.IsZero():
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return http.StatusRequestEntityTooLarge
}

// refuse answers a connection whose bytes can't be read further, unless answers
// to requests before are still due, and lets it close. mu is held.
func (s *Server) refuse(conn *nbio.Conn, state *connState, status int) {
	if state.refused {
		return
	}
	state.refused = true
	if s.refusedConn != nil {
		s.refusedConn(conn.RemoteAddr().String(), status)
	}
	if len(state.cancels) == 0 {
		// A caller that does not read gets nothing: the connection is closed anyway.
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	}
}

// of returns the state of a connection. mu is held.
func (s *Server) of(conn *nbio.Conn) *connState {
	state, ok := s.conns[conn]
	if !ok {
		state = &connState{cancels: map[*context.CancelFunc]struct{}{}}
		state.quietFrom = time.Now()
		s.conns[conn] = state
	}
	return state
}

// connState is an open connection with its running requests.
type connState struct {
	arrival
	cancels map[*context.CancelFunc]struct{}
}

// watchConns cancels the requests of connections that have closed, and closes
// those that keep the server waiting. The library's OnClose does not serve: it
// waits for the connection's running handler, which is the one to be cancelled.
// Nor does its own clock, which is started while a request runs and never
// stopped.
func (s *Server) watchConns() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.lookAtConns(time.Now())
		case <-s.stopped:
			return
		}
	}
}

func (s *Server) lookAtConns(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, state := range s.conns {
		if isClosed(conn) {
			for cancel := range state.cancels {
				(*cancel)()
			}
			if len(state.cancels) == 0 {
				delete(s.conns, conn)
			}
			continue
		}
		if conn == nil || len(state.cancels) > 0 {
			continue
		}
		if state.refused {
			if unwritten(conn) == 0 {
				_ = conn.Close()
			}
			continue
		}
		switch late, inHead := state.late(s.limits, now); {
		case inHead:
			s.refuse(conn, state, http.StatusRequestTimeout)
		case late:
			_ = conn.Close()
		}
	}
}

func isClosed(conn *nbio.Conn) bool {
	if conn == nil {
		return false
	}
	closed, _ := conn.IsClosed()
	return closed
}

// idle tells whether no handler runs and no open connection has bytes left.
func (s *Server) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inflight > 0 {
		return false
	}
	for conn := range s.conns {
		if conn != nil && !isClosed(conn) && unwritten(conn) > 0 {
			return false
		}
	}
	return true
}

// unwritten returns the bytes that the library still holds for a connection.
// The library does not tell; its own count is read under the connection's lock.
func unwritten(conn *nbio.Conn) int64 {
	conn.Lock()
	defer conn.Unlock()
	left := reflect.ValueOf(conn).Elem().FieldByName("left")
	if !left.IsValid() || !left.CanInt() {
		return 0
	}
	return left.Int()
}

// Abort closes the connection of a response at once, so that an answer which
// has begun does not look whole.
func Abort(w http.ResponseWriter) {
	if conn := connOf(w); conn != nil {
		_ = conn.Close()
	}
}

// CloseAfterAnswer sends what an answer holds and closes its connection. What
// else has come on the connection is not handled. The answer's length must have
// been set.
func CloseAfterAnswer(w http.ResponseWriter, most time.Duration) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	AwaitWritten(w, most)
	Abort(w)
}

// AwaitWritten waits until the bytes of an answer have left this process, or
// until the connection has closed or the time is over. The library closes a
// connection that its caller wants closed without looking at what it still
// holds.
func AwaitWritten(w http.ResponseWriter, most time.Duration) {
	conn := connOf(w)
	if conn == nil {
		return
	}
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(idlePoll) {
		if isClosed(conn) || unwritten(conn) == 0 {
			return
		}
	}
}
