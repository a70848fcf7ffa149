package httpserver

import (
	"net"
	"net/http"
	"reflect"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

const (
	// watchInterval bounds the time until a caller's disconnect is detected.
	watchInterval = 50 * time.Millisecond
	pollInterval  = 5 * time.Millisecond
)

// connOf returns the connection of a response, nil if it is not one of nbio's.
func connOf(w http.ResponseWriter) *nbio.Conn {
	res, ok := w.(*nbhttp.Response)
	if !ok || res.Parser == nil {
		return nil
	}
	return innerConn(res.Parser.Conn)
}

// innerConn returns the nbio connection that c is or wraps, nil if there is
// none.
func innerConn(c net.Conn) *nbio.Conn {
	if outer, ok := c.(*nbhttp.Conn); ok {
		c = outer.Conn
	}
	conn, _ := c.(*nbio.Conn)
	return conn
}

// watchConns checks all connections every watchInterval until the server stops.
// The library's OnClose can't be used to cancel requests: it waits for the
// connection's running handler, which is the one to be cancelled. Its own idle
// timer can't be used either: it is started while a request runs and never
// stopped.
func (s *Server) watchConns() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.checkConns(time.Now())
		case <-s.stopped:
			return
		}
	}
}

// checkConns cancels the requests of closed connections. It closes rejected
// connections whose answers have been sent and idle connections past their
// limit, and rejects connections whose head is overdue. It updates what connections hold.
func (s *Server) checkConns(now time.Time) {
	for conn, state := range s.checkEach(now) {
		s.count(conn, state, false)
	}
}

// checkEach is checkConns without the last step. It returns the open connections.
func (s *Server) checkEach(now time.Time) map[*nbio.Conn]*connState {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := map[*nbio.Conn]*connState{}
	for conn, state := range s.conns {
		if isClosed(conn) {
			for cancel := range state.cancels {
				(*cancel)()
			}
			if len(state.cancels) == 0 {
				s.remove(conn)
			}
			continue
		}
		if conn == nil {
			continue
		}
		unsent := unsentBytes(conn)
		if unsent > 0 || state.counted > 0 || state.queuedBytes > 0 {
			open[conn] = state
		}
		if state.hasRequest() || state.isSending(unsent, now) {
			continue
		}
		if state.rejected {
			_ = conn.Close()
			continue
		}
		switch overdue, inHead := state.overdue(s.limits, now); {
		case inHead:
			s.reject(conn, state, ReasonHeadTimeout, http.StatusRequestTimeout)
		case overdue:
			_ = conn.Close()
		}
	}
	return open
}

// makeRoom closes a connection if as many are open as may be. It closes one of the address that
// has most, without a running request: one that is idle, otherwise the one that has made no
// progress for longest. It returns false if there is none.
func (s *Server) makeRoom(caller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < s.maxConnections {
		return true
	}
	open := 0
	counts := map[string]int{}
	for conn, state := range s.conns {
		if conn != nil && !isClosed(conn) {
			open++
			if !state.hasRequest() {
				counts[state.owner]++
			}
		}
	}
	if open < s.maxConnections {
		return true
	}
	var victim *nbio.Conn
	var chosen *connState
	for conn, state := range s.conns {
		if conn == nil || isClosed(conn) || state.hasRequest() || s.barrier.isServer(conn) {
			continue
		}
		if chosen == nil || state.yieldsBefore(chosen, counts) {
			victim, chosen = conn, state
		}
	}
	if victim == nil {
		if s.onRefuse != nil {
			s.onRefuse(Refusal{Server: s.name, Caller: caller, Reason: ReasonNoRoom})
		}
		return false
	}
	_ = victim.Close()
	s.refuse(victim, Refusal{Reason: ReasonConnections})
	return true
}

// yieldsBefore reports whether a connection is closed before another one if too many are open.
// counts holds the number of connections without a request of each address.
func (c *connState) yieldsBefore(other *connState, counts map[string]int) bool {
	if counts[c.owner] != counts[other.owner] {
		return counts[c.owner] > counts[other.owner]
	}
	if isIdle := c.counted == 0; isIdle != (other.counted == 0) {
		return isIdle
	}
	return c.lastActivityAt.Before(other.lastActivityAt)
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func isClosed(conn *nbio.Conn) bool {
	if conn == nil {
		return false
	}
	closed, _ := conn.IsClosed()
	return closed
}

// isIdle reports whether no handler runs, and no open connection has a received request or
// unsent bytes.
func (s *Server) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inflight > 0 {
		return false
	}
	for conn, state := range s.conns {
		if conn != nil && !isClosed(conn) && (state.queued > 0 || unsentBytes(conn) > 0) {
			return false
		}
	}
	return true
}

// unsentBytes returns the number of bytes that the library still buffers for a
// connection. The library does not export this number, so its private field is
// read by reflection under the connection's lock.
func unsentBytes(conn *nbio.Conn) int64 {
	conn.Lock()
	defer conn.Unlock()
	left := reflect.ValueOf(conn).Elem().FieldByName("left")
	if !left.IsValid() || !left.CanInt() {
		return 0
	}
	return left.Int()
}

// UnsentBytes returns the number of bytes of answers that wait to be sent on the connection of a
// response.
func UnsentBytes(w http.ResponseWriter) int64 {
	if conn := connOf(w); conn != nil {
		return unsentBytes(conn)
	}
	return 0
}

// Abort closes the connection of a response at once, so that a started answer
// does not look complete to the caller.
func Abort(w http.ResponseWriter) {
	if conn := connOf(w); conn != nil {
		_ = conn.Close()
	}
}

// CloseAfterAnswer sends the answer, waits at most timeout until it has left
// this process, and closes its connection. Further requests received on the
// connection are not handled. The answer's length must have been set.
func CloseAfterAnswer(w http.ResponseWriter, timeout time.Duration) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	AwaitWritten(w, timeout)
	Abort(w)
}

// AwaitWritten waits until the bytes of an answer have left this process, the
// connection has closed or none have left for the timeout. It is needed because the library
// closes a connection at the caller's request without checking for unsent bytes.
func AwaitWritten(w http.ResponseWriter, timeout time.Duration) {
	conn := connOf(w)
	if conn == nil {
		return
	}
	last := unsentBytes(conn)
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		unsent := unsentBytes(conn)
		if isClosed(conn) || unsent == 0 {
			return
		}
		if unsent < last {
			last, end = unsent, time.Now().Add(timeout)
		}
	}
}
