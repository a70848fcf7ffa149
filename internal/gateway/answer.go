package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
	"coltsfootpath.example/coltsfootpath/platform"
)

// recordHead records that the head of an answer has arrived.
func (a *attempt) recordHead(answer *upstream.Answer) {
	q := a.q
	a.answer, a.head = answer, platform.DecodeAnswer(answer.Status, answer.Header)
	q.framing, q.answerEnd, q.partialEventBytes = answer.Framing(), upstream.EndNotSeen, 0
	q.recordSent(a.placed)
	q.node.backends.recordConnected(a.placed)
	if answer.OnNewConnection && !a.isTunneled.Load() {
		q.node.recordLinkWorked(a.placed.server, a.startedAt)
	}
	if !a.head.NotRun && a.copy == "" {
		q.possibleRuns++
	}
}

// receiveEnd processes the end of an answer.
func (a *attempt) receiveEnd(x arrival) attemptOutcome {
	a.q.answerEnd = a.answer.End()
	switch {
	case a.head.NotRun:
		return a.receiveNotRun(x)
	case a.q.isStreamAnswer(a.answer):
		return a.endStream(x)
	}
	return a.receiveBuffered(x)
}

// isStreamAnswer reports whether the events of an answer are forwarded as they arrive.
func (q *request) isStreamAnswer(answer *upstream.Answer) bool {
	return answer.Status/100 == 2 && q.route.Kind == deployment.Stream
}

// receiveNotRun processes an answer which states that the request did not run.
func (a *attempt) receiveNotRun(x arrival) attemptOutcome {
	q, n := a.q, a.q.node
	if x.err != nil {
		n.log.Failure("attempt", "not-run-cut", "id", q.call.ID, "server", a.placed.server.id, "error", x.err)
	}
	if a.head.Backoff == 0 {
		q.fullServers++
	}
	n.places.recordRejection(a)
	n.backends.recordFull(a.placed, q.call.Parts, n.now())
	n.log.Event("attempt", "not-run", "id", q.call.ID, "server", a.placed.server.id, "status", a.answer.Status)
	return outcomeNotRun
}

// receiveBuffered processes an answer that is forwarded as a whole.
func (a *attempt) receiveBuffered(x arrival) attemptOutcome {
	q, n := a.q, a.q.node
	answer, head := a.answer, a.head
	now := n.now()
	q.countUsage(now)
	if x.err != nil {
		return a.handleLost(errors.Wrapf(x.err, "answer is incomplete after %d bytes", len(x.body)))
	}
	if answer.End() == upstream.EndNotSeen {
		return a.handleLost(errors.Newf("answer exceeds %d bytes", maxAnswerBytes))
	}
	if answer.Status/100 == 2 && !head.Sealed {
		return a.handleLost(errors.Newf("success answer has no seal"))
	}
	buffered := &bufferedAnswer{status: answer.Status, header: answer.Header, body: x.body}
	failed := answer.Status >= http.StatusInternalServerError
	a.progress.countAnswer(answer.Status, now)
	n.moves.firstAnswer(a.placed, failed, now.Sub(a.startedAt), now)
	// A server that asks for a backoff is busy, not faulty.
	n.health.RecordOutcome(a.placed.health, health.Outcome{Failed: failed && head.Backoff == 0, Ratio: a.placed.choice.Ratio(now.Sub(a.startedAt))}, now)
	if failed {
		q.failedAnswer = buffered
		if q.mayRetry() && q.stream == nil {
			return outcomeFailed
		}
	}
	if q.stream != nil {
		n.log.Failure("attempt", "not-a-stream", "id", q.call.ID, "server", a.placed.server.id, "status", answer.Status, "events", q.lastEventID)
		return outcomeLost
	}
	if !failed {
		a.recordAnswer(x)
	}
	q.forward(buffered)
	return outcomeAnswered
}

// countUsage counts the request in its workspace's usage, in the usage window in which a server
// has first begun it. Further servers that begin the same request don't count.
func (q *request) countUsage(now time.Time) {
	if q.workspace != nil && !q.isCounted {
		q.isCounted = true
		q.node.usage.CountRequest(q.node.duties.windowOf(now), q.workspace.Name)
	}
}

// forward sends a buffered answer to the caller.
func (q *request) forward(a *bufferedAnswer) {
	n := q.node
	q.timeToFirstByte = n.now().Sub(q.startedAt)
	h := q.w.Header()
	platform.CopyAnswerHeaders(h, a.header)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	q.closeIfDraining()
	httpserver.WriteHeader(q.w, a.status)
	err := q.writeBody(a.body)
	q.flushBeforeClose()
	outcome := "served"
	if a.status >= http.StatusBadRequest {
		outcome = "server-failed"
	}
	if err != nil {
		outcome = "caller-left"
	}
	q.recordResult(outcome, "", a.status)
}

// writePieceBytes is the size of the pieces in which an answer is sent. The connection of a
// caller is closed if more than httpserver.DefaultMaxWriteBufferBytes wait for it.
const writePieceBytes = 64 << 10

// writeBody sends the body of an answer as fast as the caller receives it.
func (q *request) writeBody(body []byte) error {
	if q.held != nil {
		q.held.send(func() int64 { return httpserver.UnsentBytes(q.w) }, func() { httpserver.Abort(q.w) })
	}
	for piece := range slices.Chunk(body, writePieceBytes) {
		if _, err := q.w.Write(piece); err != nil {
			return err
		}
		if len(piece) == writePieceBytes {
			httpserver.AwaitWritten(q.w, q.deadline.Sub(q.node.now()))
		}
	}
	return nil
}

// closeTimeout bounds the wait until a slow caller has received the last bytes.
const closeTimeout = 2 * time.Second

// flushBeforeClose ensures that the answer has been sent before the HTTP library
// closes a connection whose caller asked for that.
func (q *request) flushBeforeClose() {
	if !q.r.Close {
		return
	}
	if f, ok := q.w.(http.Flusher); ok {
		f.Flush()
	}
	httpserver.AwaitWritten(q.w, closeTimeout)
}

// recordResult counts the request's outcome and times, and logs its result.
func (q *request) recordResult(outcome, reason string, status int) {
	n := q.node
	n.metrics.requests.WithLabelValues(q.routeName(), outcome).Inc()
	n.metrics.answerSeconds.WithLabelValues(q.routeName()).Observe(n.now().Sub(q.startedAt).Seconds())
	if q.timeToFirstByte > 0 {
		n.metrics.firstAnswerSeconds.WithLabelValues(q.routeName()).Observe(q.timeToFirstByte.Seconds())
	}
	if q.hasLongPause() {
		n.metrics.longPauses.WithLabelValues(q.routeName()).Inc()
	}
	q.logResult(outcome, reason, status)
}

// finish ends a request whose attempts gave no final answer. It forwards a kept
// failure answer, sends a rejection, or aborts the connection.
func (q *request) finish(outcome attemptOutcome, reason string) {
	switch {
	case outcome == outcomeCallerLeft:
		q.recordResult("caller-left", reason, 0)
		httpserver.Abort(q.w)
	case q.stream != nil:
		// The answer has begun and can't be completed: abort, so that it does not look
		// complete.
		q.stream.Abort()
		q.recordResult("broken-off", reason, 0)
	case q.failedAnswer != nil:
		q.forward(q.failedAnswer)
	case q.possibleRuns == 0:
		q.reject(rejection{status: http.StatusServiceUnavailable, reason: reason, retryAfter: q.retryAfter()})
	case outcome == outcomeDeadline:
		q.reject(rejection{status: http.StatusGatewayTimeout, reason: reason})
	default:
		q.reject(rejection{status: http.StatusBadGateway, reason: reason})
	}
}
