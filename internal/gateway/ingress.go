package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/quarantine"
	"coltsfootpath.example/coltsfootpath/internal/protocol/digest"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
	"coltsfootpath.example/coltsfootpath/platform"
)

func (n *Node) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != platform.ReadyPath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// maxAddressTTL bounds the time for which callers cache addresses. It is the time
// for which a draining node keeps serving, less the time until the directories of
// all nodes omit that node.
const maxAddressTTL = 2 * time.Second

func (n *Node) directoryHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != platform.ResolvePath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		query := platform.DecodeResolveQuery(r.URL.Query())
		addresses := n.members.callerAddresses(query.AvailabilityZone)
		if len(addresses) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		ttl := min(maxAddressTTL, n.liveSettings.Load().AddressTTL)
		httpserver.WriteJSON(w, http.StatusOK, platform.Addresses{Addresses: addresses, TTLSeconds: ttl.Seconds()})
	})
}

func (n *Node) ingressHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.openRequests.Add(1)
		n.metrics.openRequests.Inc()
		defer func() {
			n.openRequests.Add(-1)
			n.metrics.openRequests.Dec()
		}()
		if !n.contain("request", func() { n.serve(w, r) }) {
			httpserver.Abort(w)
		}
	})
}

// rejection is an answer that the gateway gives itself instead of a backend
// server.
type rejection struct {
	status int
	reason string
	// retryAfter is the time after which a caller retry makes sense, 0 if the
	// rejection is final.
	retryAfter time.Duration
	// closeConn is set if the connection can't be reused.
	closeConn bool
	// documentAge is the time since the store last confirmed that there was no newer
	// document, and confirmedBy the VM whose read showed that. They are set if the document
	// lacks what the request needs.
	documentAge time.Duration
	confirmedBy string
}

// isCallersFault reports whether the request is rejected for what its caller has sent.
func (rej *rejection) isCallersFault() bool {
	return rej.status >= http.StatusBadRequest && rej.status < http.StatusInternalServerError && rej.status != http.StatusTooManyRequests
}

// maxRejectionLines bounds the log lines in a second about requests that were rejected for what
// their callers have sent. Metrics count all of them.
const maxRejectionLines = 50

// lineLimit bounds log lines. It is safe for concurrent use.
type lineLimit struct {
	mu sync.Mutex
	// second is the present second, and count the number of lines in it.
	second int64
	count  int
}

// allow reports whether a line may be written.
func (l *lineLimit) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.count = second, 0
	}
	l.count++
	return l.count <= maxRejectionLines
}

const (
	// retryAfterNoDocument applies while a node that has just started can't serve
	// yet.
	retryAfterNoDocument = 200 * time.Millisecond
	// retryAfterNoServer applies where all servers of a service are unavailable or
	// full. The platform replaces servers within seconds, and other nodes may
	// already reach some.
	retryAfterNoServer = 400 * time.Millisecond
	// retryAfterOverload applies while the requests of callers hold too much memory. Other
	// nodes may have some left.
	retryAfterOverload = 500 * time.Millisecond
	// retryAfterClosing applies to requests that reach a node which is shutting
	// down. Other nodes accept them immediately.
	retryAfterClosing = 50 * time.Millisecond
)

// serve handles a request from its arrival to its final answer.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	q := &request{node: n, w: w, r: r, ctx: r.Context(), startedAt: n.now(), call: platform.DecodeCall(r.Header)}
	q.random = newRandom()
	if rej := q.admit(); rej != nil {
		q.reject(*rej)
		return
	}
	q.run()
}

// request is one request of a caller.
type request struct {
	node      *Node
	w         http.ResponseWriter
	r         *http.Request
	ctx       context.Context
	startedAt time.Time
	call      platform.Call

	document  *deployment.Document
	route     *deployment.Route
	workspace *deployment.Workspace
	service   string
	body      []byte
	// content identifies the request content.
	content uint64
	// parts are the parts of the prompt that other requests may share.
	parts    []quarantine.Part
	deadline time.Time
	// cost is the amount charged to the workspace's quota, in tokens or requests.
	cost float64

	attemptState
}

// admit checks a request against the active document. It returns nil if the
// request is admitted.
func (q *request) admit() *rejection {
	n := q.node
	q.document = n.document.Load()
	if q.document == nil {
		return &rejection{status: http.StatusServiceUnavailable, reason: "no-document", retryAfter: retryAfterNoDocument}
	}
	if !n.members.canShareLimits(q.startedAt) {
		return &rejection{status: http.StatusServiceUnavailable, reason: "no-members", retryAfter: retryAfterNoDocument}
	}
	if httpserver.IsOverload(q.r) {
		return &rejection{status: http.StatusServiceUnavailable, reason: "caller-memory", retryAfter: retryAfterOverload}
	}
	if rej := q.checkHead(); rej != nil {
		return rej
	}
	if q.call.ID == "" {
		return &rejection{status: http.StatusBadRequest, reason: "no-id"}
	}
	if n.closing.Load() {
		return &rejection{status: http.StatusServiceUnavailable, reason: "leaving", retryAfter: retryAfterClosing}
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	q.route = q.document.Route(strings.TrimSpace(q.r.Host), path)
	if q.route == nil {
		return q.unknownRejection(http.StatusNotFound, "no-route")
	}
	if q.document.Keys != nil && !q.route.Public {
		workspace, ok := q.document.Workspace(q.call.Key)
		if !ok {
			return q.unknownRejection(http.StatusUnauthorized, "unknown-key")
		}
		q.workspace = workspace
	}
	if rej := q.readBody(); rej != nil {
		return rej
	}
	q.content = contentHash(q.r.Host, q.r.Method, q.r.RequestURI, q.workspaceName(), q.body)
	q.setDeadline()
	q.service = chooseTarget(q.route, q.random.IntN)
	q.parts = sharedParts(q.service, q.call.Parts)
	return q.admitQuota()
}

// checkHead rejects request heads that are too large or that parsers could
// interpret in different ways.
func (q *request) checkHead() *rejection {
	size := len(q.r.RequestURI)
	for name, values := range q.r.Header {
		for _, v := range values {
			size += len(name) + len(v) + 4
			if strings.ContainsAny(v, "\r\n\x00") {
				return &rejection{status: http.StatusBadRequest, reason: "control-in-header", closeConn: true}
			}
		}
	}
	if limit := q.document.Limits.HeaderBytes; limit > 0 && size > limit {
		return &rejection{status: http.StatusRequestHeaderFieldsTooLarge, reason: "head-too-large", closeConn: true}
	}
	lengths := q.r.Header["Content-Length"]
	if len(lengths) > 1 || len(lengths) == 1 && len(q.r.TransferEncoding) > 0 {
		return &rejection{status: http.StatusBadRequest, reason: "two-lengths", closeConn: true}
	}
	if len(lengths) == 1 && !allDigits(strings.TrimSpace(lengths[0])) {
		return &rejection{status: http.StatusBadRequest, reason: "malformed-length", closeConn: true}
	}
	if !strings.HasPrefix(q.r.RequestURI, "/") || len(q.r.Header["Host"]) > 1 {
		return &rejection{status: http.StatusBadRequest, reason: "malformed-target", closeConn: true}
	}
	return nil
}

func allDigits(s string) bool {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return s != ""
}

// unknownRejection rejects a request for a key or route that the document does
// not contain. If a newer document may contain it, the caller is asked to retry.
func (q *request) unknownRejection(status int, reason string) *rejection {
	f := q.node.operatorFollower
	c := f.confirmation()
	rej := &rejection{status: status, reason: reason, documentAge: q.startedAt.Sub(c.At), confirmedBy: c.VM}
	if !f.schedule().IsCertain(rej.documentAge) || f.isRestoring() {
		rej.status, rej.reason, rej.retryAfter = http.StatusServiceUnavailable, reason+"-while-store-away", retryAfterNoServer
	}
	return rej
}

func (q *request) readBody() *rejection {
	limit := q.document.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := httpserver.ReadBody(q.r, int64(limit))
	switch {
	case errors.Is(err, httpserver.ErrBodyTooLarge):
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: "body-too-large", closeConn: true}
	case err != nil:
		return &rejection{status: http.StatusBadRequest, reason: "unreadable-body", closeConn: true}
	}
	q.body = body
	return nil
}

// setDeadline sets the deadline to the earlier one of the caller's and the
// route's.
func (q *request) setDeadline() {
	timeout := q.route.Timeout
	if q.call.Timeout > 0 && (timeout <= 0 || q.call.Timeout < timeout) {
		timeout = q.call.Timeout
	}
	if timeout <= 0 {
		timeout = defaultRequestTimeout
	}
	q.deadline = q.startedAt.Add(timeout)
}

// defaultRequestTimeout applies if neither the route nor the caller sets a
// timeout.
const defaultRequestTimeout = 30 * time.Second

// chooseTarget draws a service at random according to the route's weights.
func chooseTarget(r *deployment.Route, intn func(int) int) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	x := intn(total)
	for _, t := range r.Targets {
		if x < t.Weight {
			return t.Service
		}
		x -= max(t.Weight, 0)
	}
	return r.Targets[0].Service
}

// admitQuota charges the request to its workspace's quota.
func (q *request) admitQuota() *rejection {
	if q.workspace == nil {
		return nil
	}
	q.cost = 1
	if q.workspace.QuotaInTokens {
		q.cost = float64(q.workspace.DefaultTokens)
		if q.call.HasTokens {
			q.cost = float64(q.call.PromptTokens + q.call.MaxAnswerTokens)
		}
	}
	ok, wait := q.node.quota.Admit(q.workspace.Name, q.cost, q.startedAt)
	if ok {
		return nil
	}
	return &rejection{status: http.StatusTooManyRequests, reason: "quota", retryAfter: max(wait, minQuotaRetryAfter)}
}

// minQuotaRetryAfter is the shortest retry time that is sent to a caller over its
// quota.
const minQuotaRetryAfter = 200 * time.Millisecond

// reject sends a rejection to the caller.
func (q *request) reject(rej rejection) {
	n := q.node
	h := q.w.Header()
	platform.SetRequestID(h, q.call.ID)
	if rej.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(rej.retryAfter.Seconds(), 'f', 2, 64))
	}
	if rej.closeConn {
		h.Set("Connection", "close")
	}
	q.closeIfDraining()
	h.Set("Content-Length", "0")
	q.w.WriteHeader(rej.status)
	if rej.confirmedBy != "" && n.rejectionLines.allow(n.now()) {
		n.log.Failure("document", "rejected-by", "id", q.call.ID, "version", q.document.Version, "reason", rej.reason, "confirmed-ago", rej.documentAge, "confirmed-by", rej.confirmedBy)
	}
	if !rej.isCallersFault() || n.rejectionLines.allow(n.now()) {
		q.logResult("refused", rej.reason, rej.status)
	}
	n.metrics.requests.WithLabelValues(q.routeName(), "refused-"+rej.reason).Inc()
	if rej.closeConn {
		httpserver.CloseAfterAnswer(q.w, closeTimeout)
	}
}

// closeIfDraining asks the caller to reconnect elsewhere if this node is
// draining.
func (q *request) closeIfDraining() {
	if q.node.draining.Load() {
		q.w.Header().Set("Connection", "close")
	}
}

func (q *request) routeName() string {
	if q.route == nil {
		return ""
	}
	return q.route.Name
}

// workspaceName returns the name of the request's workspace, empty if it has none.
func (q *request) workspaceName() string {
	if q.workspace == nil {
		return ""
	}
	return q.workspace.Name
}

// contentName formats a request content for log lines, empty if none
// has been computed.
func contentName(content uint64) string {
	if content == 0 {
		return ""
	}
	return digest.ContentKey(content)
}

// logResult logs the request's outcome.
func (q *request) logResult(outcome, reason string, status int) {
	n := q.node
	version := int64(0)
	if q.document != nil {
		version = q.document.Version
	}
	write := n.log.Event
	if outcome != "served" {
		write = n.log.Failure
	}
	write("request", outcome, "id", q.call.ID, "reason", reason, "status", status, "route", q.routeName(), "workspace", q.workspaceName(),
		"service", q.service, "content", contentName(q.content), "server", q.lastServer, "sends", q.sentCount, "framing", q.framing, "end", q.answerEnd, "stop", q.describeStops(), "partial", q.partialEventBytes, "predicted", q.predictedFirstToken, "uncached", q.uncachedTokens, "predicted-tokens", q.predictedTokens(), "tokens", q.producedTokens(), "first", q.timeToFirstByte, "pause", q.longestPause, "took", n.now().Sub(q.startedAt),
		"left", q.call.Timeout, "prompt", q.call.PromptTokens, "cost", q.cost, "document", version, "trail", q.trail)
}
