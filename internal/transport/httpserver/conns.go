package httpserver

import (
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
	switch c := res.Parser.Conn.(type) {
	case *nbio.Conn:
		return c
	case *nbhttp.Conn:
		conn, _ := c.Conn.(*nbio.Conn)
		return conn
	}
	return nil
}

// stopIdleClock lets a connection be as long as its request runs. The library
// starts the clock when a connection is opened, maybe after its first request
// has begun, and again when a handler has ended; it never stops it.
func stopIdleClock(conn *nbio.Conn) {
	if conn != nil {
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// watchConns cancels the requests of connections that have closed, and stops
// the idle clock of those that have requests. The library's OnClose does not
// serve: it waits for the connection's running handler, which is the one to be
// cancelled.
func (s *Server) watchConns() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.lookAtConns()
		case <-s.stopped:
			return
		}
	}
}

// lookAtConns holds mu, so that no handler ends, and the library starts no
// clock again, between the look and the stop.
func (s *Server) lookAtConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, cancels := range s.conns {
		if !isClosed(conn) {
			if len(cancels) > 0 {
				stopIdleClock(conn)
			}
			continue
		}
		for cancel := range cancels {
			(*cancel)()
		}
		if len(cancels) == 0 {
			delete(s.conns, conn)
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
