package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/state/site"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
	"coltsfootpath.example/coltsfootpath/platform"
)

// receive passes the server's answer on.
func (a *attemptRun) receive(answer *upstream.Answer) end {
	q, n := a.q, a.q.node
	head := platform.DecodeAnswer(answer.Status, answer.Header)
	if head.NotRun {
		_, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxAnswerBytes))
		answer.Close(err == nil)
		n.backends.refusedForRoom(a.pick, q.call.Parts, n.now())
		n.log.Event("attempt", "not-run", "id", q.call.ID, "server", a.pick.server.info.ID, "status", answer.Status)
		return endNotRun
	}
	q.ran++
	if answer.Status/100 == 2 && q.route.Kind == site.Stream {
		return a.receiveStream(answer, head.Sealed)
	}
	return a.receiveWhole(answer, head)
}

// receiveWhole reads an answer to its end before any of it is passed on.
func (a *attemptRun) receiveWhole(answer *upstream.Answer, head platform.Answer) end {
	q, n := a.q, a.q.node
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	now := n.now()
	q.countBegun(now)
	if err != nil || len(body) > maxAnswerBytes {
		answer.Close(false)
		return a.lost(errors.Newf("answer broke off after %d bytes: %v", len(body), err))
	}
	answer.Close(true)
	if answer.Status/100 == 2 && !head.Sealed {
		return a.lost(errors.Newf("success without a seal"))
	}
	whole := &wholeAnswer{status: answer.Status, header: answer.Header, body: body}
	failed := answer.Status >= http.StatusInternalServerError
	n.health.Ended(a.pick.health, health.Outcome{Failed: failed, Ratio: a.pick.choice.Ratio(now.Sub(a.began))}, now)
	if failed {
		q.failed = whole
		if q.mayRepeat() && !q.headSent {
			return endFailed
		}
	}
	if q.headSent {
		return endLost
	}
	q.pass(whole)
	return endAnswered
}

// countBegun counts the request in its workspace's usage, in the window of the
// present moment.
func (q *request) countBegun(now time.Time) {
	if q.workspace != nil {
		q.node.usage.Began(q.node.duties.windowOf(now), q.workspace.Name)
	}
}

// pass sends a server's whole answer to the caller.
func (q *request) pass(a *wholeAnswer) {
	n := q.node
	q.firstAfter = n.now().Sub(q.began)
	h := q.w.Header()
	platform.CopyAnswerHeaders(h, a.header)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	q.markClosing()
	q.w.WriteHeader(a.status)
	_, err := q.w.Write(a.body)
	q.closeIfAsked()
	outcome := "served"
	if a.status >= http.StatusBadRequest {
		outcome = "server-failed"
	}
	if err != nil {
		outcome = "caller-left"
	}
	q.done(outcome, "", a.status)
}

// closeWait bounds the wait for a slow caller's last bytes.
const closeWait = 2 * time.Second

// closeIfAsked makes sure that an answer has left before the library closes a
// connection whose caller asked for it.
func (q *request) closeIfAsked() {
	if !q.r.Close {
		return
	}
	if f, ok := q.w.(http.Flusher); ok {
		f.Flush()
	}
	httpserver.AwaitWritten(q.w, closeWait)
}

func (q *request) done(outcome, reason string, status int) {
	n := q.node
	n.metrics.requests.WithLabelValues(q.routeName(), outcome).Inc()
	n.metrics.whole.WithLabelValues(q.routeName()).Observe(n.now().Sub(q.began).Seconds())
	if q.firstAfter > 0 {
		n.metrics.first.WithLabelValues(q.routeName()).Observe(q.firstAfter.Seconds())
	}
	q.log(outcome, reason, status)
}

// finish gives the request its final answer where no server's answer is left to
// pass on.
func (q *request) finish(e end, reason string) {
	switch {
	case e == endLeft:
		q.done("caller-left", reason, 0)
		httpserver.Abort(q.w)
	case q.headSent:
		// The answer has begun and can't be made whole: it must not look so.
		httpserver.Abort(q.w)
		q.done("broken-off", reason, 0)
	case q.failed != nil:
		q.pass(q.failed)
	case q.ran == 0:
		q.refuse(refusal{status: http.StatusServiceUnavailable, reason: reason, after: retryNoServer})
	case e == endLate:
		q.refuse(refusal{status: http.StatusGatewayTimeout, reason: reason})
	default:
		q.refuse(refusal{status: http.StatusBadGateway, reason: reason})
	}
}
