package httpserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"coltsfootpath.example/coltsfootpath/internal/coordination/shedding"
)

// requestProgress tracks the bytes received on a connection while no request on
// it is running.
type requestProgress struct {
	// lastActivityAt is the time of the last received bytes or the last answer.
	lastActivityAt time.Time
	// headStartedAt is the time at which the first byte of an incomplete head was
	// received, zero if there is none.
	headStartedAt time.Time
	// headBytes is the number of bytes of that head received so far.
	headBytes int
	// headEndMatched is the number of bytes of headEnd matched so far.
	headEndMatched int
	// rejected is true once the connection has been rejected. Further bytes from
	// it are dropped, and it is closed when its answers have been sent.
	rejected bool
}

// headEnd terminates the head of a request.
const headEnd = "\r\n\r\n"

// receive records received bytes and tracks whether the head is complete.
func (p *requestProgress) receive(data []byte, now time.Time) {
	p.lastActivityAt = now
	for _, c := range data {
		if p.headEndMatched == len(headEnd) {
			break
		}
		if p.headStartedAt.IsZero() {
			p.headStartedAt = now
		}
		p.headBytes++
		switch {
		case c == headEnd[p.headEndMatched]:
			p.headEndMatched++
		case c == headEnd[0]:
			p.headEndMatched = 1
		default:
			p.headEndMatched = 0
		}
	}
	if p.headEndMatched == len(headEnd) {
		p.headStartedAt = time.Time{}
	}
}

// reset prepares for the next request on the connection.
func (p *requestProgress) reset(now time.Time) {
	p.lastActivityAt, p.headStartedAt, p.headBytes, p.headEndMatched = now, time.Time{}, 0, 0
}

// overdue reports whether the connection has exceeded a limit, and whether
// this happened within the head of a request.
func (p *requestProgress) overdue(limits Limits, now time.Time) (overdue, inHead bool) {
	if !p.headStartedAt.IsZero() && limits.HeaderTimeout > 0 && now.Sub(p.headStartedAt) > limits.HeaderTimeout {
		return true, true
	}
	return now.Sub(p.lastActivityAt) > limits.IdleTimeout, false
}

// Limits bound what callers may send on a connection, and the time for that.
type Limits struct {
	// HeaderTimeout bounds the time from the first to the last byte of the head of a
	// request. 0 means no limit.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time without received bytes while no request runs.
	IdleTimeout time.Duration
	// HeadBytes and BodyBytes bound the size of the head and the body of a request.
	HeadBytes, BodyBytes int
}

// SetLimits replaces the limits, also for connections that are already open. An
// idle limit or a size of zero or less keeps the present one.
func (s *Server) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = s.limits.IdleTimeout
	}
	if l.HeadBytes <= 0 {
		l.HeadBytes = s.limits.HeadBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = s.limits.BodyBytes
	}
	s.limits = l
}

// onOpen starts tracking a new connection.
func (s *Server) onOpen(c net.Conn) {
	if conn := innerConn(c); conn != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stateOf(conn)
	}
}

// onData handles bytes received on a connection. It passes them to the
// library's parser unless the connection has been rejected.
func (s *Server) onData(conn *nbio.Conn, data []byte) {
	if s.barrier.receive(conn) {
		s.forget(conn)
		return
	}
	parser, ok := conn.Session().(*nbhttp.Parser)
	if !ok {
		return
	}
	s.mu.Lock()
	state := s.stateOf(conn)
	if state.rejected {
		state.droppedBytes += len(data)
		tooMany := state.droppedBytes > maxDroppedBytes && !state.hasRequest()
		s.mu.Unlock()
		if tooMany {
			_ = conn.Close()
		}
		return
	}
	if len(state.cancels) == 0 {
		state.receive(data, time.Now())
		// The library limits lines, but not their number.
		if state.headBytes > s.limits.HeadBytes {
			s.reject(conn, state, ReasonTooLong, http.StatusRequestHeaderFieldsTooLarge)
			s.mu.Unlock()
			return
		}
	}
	if state.receiver == nil {
		state.receiver = &receiver{Processor: parser.Processor}
		parser.Processor = state.receiver
	}
	state.receiver.begin(s.limits, len(data))
	s.mu.Unlock()
	err := parser.Parse(data)
	cached, capacity := cachedBytes(parser)
	status := state.receiver.excess(cached)
	s.mu.Lock()
	state.incomingBytes = state.receiver.memory(capacity)
	switch {
	case status != 0:
		s.reject(conn, state, ReasonTooLong, status)
	case err != nil:
		s.reject(conn, state, ReasonMalformed, state.parseErrorStatus(err))
	}
	s.mu.Unlock()
	s.count(conn, state, true)
	if s.memory.TakeDebt() {
		// The collector does not keep up with a crowd on a busy machine.
		runtime.GC()
	}
}

// parseErrorStatus returns the HTTP status for bytes that can't be parsed as a
// request.
func (p *requestProgress) parseErrorStatus(err error) int {
	switch {
	case !errors.Is(err, nbhttp.ErrTooLong):
		return http.StatusBadRequest
	case !p.headStartedAt.IsZero():
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return http.StatusRequestEntityTooLarge
}

// count updates what a connection holds, which may close connections. mu must not be held.
func (s *Server) count(conn *nbio.Conn, state *connState, progressed bool) {
	unsent := unsentBytes(conn)
	s.mu.Lock()
	holding, waiting := state.holding, state.incomingBytes+state.queuedBytes+unsent
	progressed = progressed || unsent < state.countedUnsent
	isUnchanged := waiting == 0 && state.counted == 0
	state.counted, state.countedUnsent = waiting, unsent
	s.mu.Unlock()
	if holding != nil && !isUnchanged {
		s.memory.Wait(holding, waiting, progressed, time.Now())
	}
}

// shed closes a connection that holds too much memory. An incomplete request has not run, which
// the caller is told.
func (s *Server) shed(conn *nbio.Conn, state *connState, held int64) {
	s.mu.Lock()
	hasRequest := state.hasRequest() || state.rejected
	state.rejected = true
	s.mu.Unlock()
	status := 0
	if !hasRequest && unsentBytes(conn) == 0 {
		status = http.StatusServiceUnavailable
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nRetry-After: %d\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), shedRetryAfterSeconds)
	}
	_ = conn.Close()
	s.refuse(conn, Refusal{Reason: ReasonMemory, Status: status, HeldBytes: held})
}

// shedRetryAfterSeconds is the Retry-After of requests whose connections are closed because
// callers hold too much memory.
const shedRetryAfterSeconds = 1

func (s *Server) refuse(conn *nbio.Conn, r Refusal) {
	if s.onRefuse != nil {
		r.Server, r.Caller = s.name, conn.RemoteAddr().String()
		s.onRefuse(r)
	}
}

// reject marks a connection as rejected, so that it is closed once its answers
// have been sent. It sends an answer with status, unless that is 0 or earlier requests on the
// connection are still being answered. mu must be held.
func (s *Server) reject(conn *nbio.Conn, state *connState, reason string, status int) {
	if state.rejected {
		return
	}
	state.rejected = true
	if state.hasRequest() {
		status = 0
	}
	s.refuse(conn, Refusal{Reason: reason, Status: status})
	if status != 0 {
		// A caller that does not read gets no answer; the connection is closed
		// anyway.
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	}
}

// stateOf returns the state of a connection and creates it if it is missing. mu
// must be held.
func (s *Server) stateOf(conn *nbio.Conn) *connState {
	state, ok := s.conns[conn]
	if !ok {
		state = &connState{cancels: map[*context.CancelFunc]struct{}{}}
		state.lastActivityAt = time.Now()
		if conn != nil {
			state.owner = addressOf(conn)
			state.holding = s.memory.Open(state.owner, func(held int64) { s.shed(conn, state, held) }, state.lastActivityAt)
		}
		s.conns[conn] = state
	}
	return state
}

// addressOf returns the IP address of a connection's caller.
func addressOf(conn net.Conn) string {
	if a, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return a.IP.String()
	}
	return conn.RemoteAddr().String()
}

// forget removes the state of a connection.
func (s *Server) forget(conn *nbio.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(conn)
}

// remove is forget with mu held.
func (s *Server) remove(conn *nbio.Conn) {
	if state, ok := s.conns[conn]; ok {
		if state.holding != nil {
			s.memory.Close(state.holding)
		}
		delete(s.conns, conn)
	}
}

// connState is the state of an open connection. cancels holds the cancel
// functions of its running requests, queued counts the received requests whose
// handlers have not started yet, and unsent is the number of unsent bytes at the last check.
type connState struct {
	requestProgress
	cancels map[*context.CancelFunc]struct{}
	queued  int
	unsent  int64

	// owner is the caller's IP address, and holding what the connection holds.
	owner   string
	holding *shedding.Holding
	// receiver bounds what is received. Only the read loop uses it.
	receiver *receiver
	// incomingBytes is the memory of the request that is being received, queuedBytes that of
	// queued requests, counted the last sum of both and of the unsent bytes, countedUnsent.
	incomingBytes, queuedBytes, counted, countedUnsent int64
	// droppedBytes is the number of bytes received after the connection was rejected.
	droppedBytes int
}

// maxWriteStall is the time without progress after which a caller that does not read its
// answer no longer keeps its connection open.
const maxWriteStall = 10 * time.Second

// isSending reports whether an answer is still being sent, with unsent bytes left.
func (c *connState) isSending(unsent int64, now time.Time) bool {
	if unsent == 0 {
		c.unsent = 0
		return false
	}
	if unsent != c.unsent {
		c.unsent, c.lastActivityAt = unsent, now
	}
	return now.Sub(c.lastActivityAt) < maxWriteStall
}

// dequeue counts a queued request less. received may be nil.
func (c *connState) dequeue(received *body) {
	c.queued = max(c.queued-1, 0)
	if received != nil {
		c.queuedBytes -= received.memory
	}
}

// hasRequest reports whether a request was received that has not been answered.
func (c *connState) hasRequest() bool { return len(c.cancels) > 0 || c.queued > 0 }

// onRequest counts a request that was received completely, and gives it its body.
func (s *Server) onRequest(w http.ResponseWriter, r *http.Request) {
	conn := connOf(w)
	if conn == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.stateOf(conn)
	if state.receiver != nil {
		tooLong := state.receiver.tooLong
		received := state.receiver.complete()
		// The caller of a rejected connection may have been told that the request did not run,
		// and one that is too long lacks lines.
		received.isExcess = tooLong != 0 || state.queued >= maxQueuedRequests || state.rejected
		r.Body = received
		state.queuedBytes += received.memory
		switch {
		case tooLong != 0:
			s.reject(conn, state, ReasonTooLong, tooLong)
		case received.isExcess:
			s.reject(conn, state, ReasonQueued, 0)
		}
	}
	state.queued++
}
