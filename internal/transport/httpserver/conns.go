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
