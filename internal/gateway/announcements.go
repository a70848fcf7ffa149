package gateway

import (
	"context"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/announcements"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// dueCheckInterval bounds the time until a request that waits for a server notices
	// another one.
	dueCheckInterval = 50 * time.Millisecond
	// minRoomCheckInterval is the shortest pause of a request that waits for room at a
	// limited server, as another one may be asking for it.
	minRoomCheckInterval = 2 * time.Millisecond
	// minCallerPatience is the time for which a caller waits at least for the next event
	// of a stream. It waits longer on slow routes: patienceTargets times the latency
	// target, or patiencePauses times the pause target.
	minCallerPatience = 2 * time.Second
	patienceTargets   = 4
	patiencePauses    = 8
)

// recordStatements records what a server states about itself in an answer that has arrived on a
// connection to b, whatever has become of its request. sentAt is the time at which the last
// request on that connection was sent.
func (n *Node) recordStatements(b *backend, sentAt time.Time, head platform.Answer) {
	id := head.ID
	process, ok := n.announcer(b, head)
	if !ok {
		return
	}
	service, now := b.service, n.now()
	n.limits.observe(service, id, process, head, sentAt, now)
	n.places.observe(service, id, process, head, sentAt, now)
	n.observeColdAnswer(service, process, head, now)
	if head.Leaving {
		if n.backends.recordLeaving(process, n.clock.unixMillis(sentAt), now) {
			n.log.Event("servers", "announced-leaving", "server", process.ServerID, "service", service, "started", process.StartedAtMillis, "id", id)
		}
		n.metrics.announcements.WithLabelValues(service, "leaving").Inc()
	}
	if head.BackoffErr != nil {
		n.log.Failure("servers", "unreadable-retry-after", "server", process.ServerID, "service", service, "id", id, "error", head.BackoffErr)
	}
	if head.Backoff > 0 {
		if until, isNew := n.backends.recordBackoff(process.ServerID, head.Backoff, now); isNew {
			n.log.Event("servers", "backoff", "server", process.ServerID, "service", service, "stated", head.Backoff, "for", until.Sub(now), "id", id)
		}
		n.metrics.announcements.WithLabelValues(service, "backoff").Inc()
	}
}

// announcer returns the process that has sent an answer. It returns false if another server
// than the intended one has answered and is not known.
func (n *Node) announcer(b *backend, head platform.Answer) (announcements.Process, bool) {
	if !head.Misdirected || head.ServerID == b.id {
		return n.backends.processAt(b), true
	}
	if s := n.backends.entry(head.ServerID); s != nil {
		return processOf(s), true
	}
	return announcements.Process{}, false
}

// awaitServer waits until a server of the service may be used, and reports whether to
// choose again. If no server will be usable in time, it ends the request.
func (q *request) awaitServer(ctx context.Context, query *serverQuery, now time.Time) bool {
	due, isLimit, ok := q.node.backends.nextDue(query, now)
	limit, reason := q.waitLimit(now), "servers-in-backoff"
	if isLimit {
		// Many requests may wait for the same room.
		due, reason = q.expectedRoom(due, now), "servers-limited"
		if q.sentCount == 0 {
			limit = earlier(limit, q.startedAt.Add(q.route.LatencyTarget))
		}
	}
	switch {
	case !ok:
		q.finish(outcomeNotSent, "no-server")
		return false
	case due.After(limit):
		if isLimit {
			q.node.limits.logNoRoom(q, due.Sub(now))
		}
		q.finish(outcomeNotSent, reason)
		return false
	}
	if isLimit {
		q.joinQueue(now)
	}
	sleep(ctx, min(max(due.Sub(now), minRoomCheckInterval), dueCheckInterval))
	return true
}

// waitLimit returns the time until which the request may wait for a server and still be
// answered in time.
func (q *request) waitLimit(now time.Time) time.Time {
	limit := q.deadline.Add(-max(q.route.LatencyTarget, minTimeLeft))
	if q.route.Kind != deployment.Stream {
		return limit
	}
	if q.stream != nil {
		return earlier(limit, now.Add(q.pauseTimeout()))
	}
	patience := max(minCallerPatience, patienceTargets*q.route.LatencyTarget, patiencePauses*q.route.PauseTarget)
	return earlier(limit, q.startedAt.Add(patience-q.route.LatencyTarget))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// retryAfter returns the time after which a caller retry makes sense for a request that no
// server could take.
func (q *request) retryAfter() time.Duration {
	now := q.node.now()
	query := q.serverQuery()
	query.exclude = nil
	if q.node.backends.hasUsable(query, now) {
		return retryAfterNoServer
	}
	due, isLimit, ok := q.node.backends.nextDue(query, now)
	if !ok {
		return retryAfterNoServer
	}
	if isLimit {
		due = q.expectedRoom(due, now)
	}
	return max(due.Sub(now), retryAfterNoServer)
}
