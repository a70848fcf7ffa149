package httpserver

import (
	"fmt"
	"net/http"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"k8s.io/klog/v2"
)

// Stream writes an answer whose length is not known in advance. Each write is sent
// at once.
type Stream struct {
	w       http.ResponseWriter
	r       *http.Request
	flusher http.Flusher
	// conn is set if the caller knows no chunks. The answer then ends with its
	// connection, which the library would not do.
	conn *nbio.Conn
}

// StartStream sends the head of an answer with the headers that were set on w.
func StartStream(w http.ResponseWriter, r *http.Request, status int) (*Stream, error) {
	status = validStatus(status)
	s := &Stream{w: w, r: r}
	s.flusher, _ = w.(http.Flusher)
	conn := connOf(w)
	if r.ProtoAtLeast(1, 1) || conn == nil {
		if r.Method == http.MethodHead {
			// The library would send the last chunk.
			w.Header().Set("Content-Length", "0")
		}
		WriteHeader(w, status)
		return s, nil
	}
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return s, errors.Newf("connection of %T can't be taken over", w)
	}
	if _, _, err := hijacker.Hijack(); err != nil {
		return s, errors.Wrap(err, "take over connection")
	}
	s.conn = conn
	// An orderly close would be the answer's end.
	resetOnClose(conn, true)
	h := w.Header()
	h.Del("Content-Length")
	h.Set("Connection", "close")
	_, err := fmt.Fprintf(conn, "%s %d %s\r\n", r.Proto, status, reason(status))
	if err == nil {
		err = h.Write(conn)
	}
	if err == nil {
		_, err = conn.Write([]byte("\r\n"))
	}
	return s, errors.Wrap(err, "send head")
}

// Write sends a part of the answer's body, unless the answer has only a head.
func (s *Stream) Write(p []byte) (int, error) {
	if s.r.Method == http.MethodHead {
		return len(p), nil
	}
	if s.conn != nil {
		return s.conn.Write(p)
	}
	n, err := s.w.Write(p)
	if err == nil && s.flusher != nil {
		s.flusher.Flush()
	}
	countUnsent(s.w, s.r)
	return n, err
}

// countUnsent updates what the connection of a response holds, if answers wait to be sent.
func countUnsent(w http.ResponseWriter, r *http.Request) {
	server, ok := r.Context().Value(serverKey{}).(*Server)
	conn := connOf(w)
	if !ok || conn == nil || unsentBytes(conn) == 0 {
		return
	}
	server.mu.Lock()
	state := server.stateOf(conn)
	server.mu.Unlock()
	server.count(conn, state, false)
}

// End completes the answer. If its connection is closed afterwards, End waits at
// most timeout until the answer has left this process.
func (s *Stream) End(timeout time.Duration) {
	switch {
	case s.conn != nil:
		AwaitWritten(s.w, timeout)
		resetOnClose(s.conn, false)
		_ = s.conn.Close()
	case s.r.Close:
		if s.flusher != nil {
			s.flusher.Flush()
		}
		AwaitWritten(s.w, timeout)
	}
}

// Abort breaks the answer off, so that it does not look complete.
func (s *Stream) Abort() { Abort(s.w) }

// resetOnClose selects whether any close of the connection resets it. It holds the
// connection's lock, as the library closes the descriptor on its own when the caller
// disconnects, and another connection may then get it.
func resetOnClose(conn *nbio.Conn, reset bool) {
	conn.Lock()
	defer conn.Unlock()
	closed := reflect.ValueOf(conn).Elem().FieldByName("closed")
	if !closed.IsValid() || closed.Kind() != reflect.Bool || closed.Bool() {
		return
	}
	var on int32
	if reset {
		on = 1
	}
	if err := conn.SetLinger(on, 0); err != nil {
		klog.Warningf("httpserver: set SO_LINGER of %v: %v", conn.RemoteAddr(), err)
	}
}
