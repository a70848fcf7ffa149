package httpserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

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
