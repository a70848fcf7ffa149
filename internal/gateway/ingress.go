package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/state/site"
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

// addressTTL is how long callers keep the addresses: as long as a VM that
// leaves serves on, less the time until every VM knows of it.
const addressTTL = 2 * time.Second

func (n *Node) directoryHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != platform.ResolvePath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		asked := platform.DecodeResolve(r.URL.Query())
		addresses := n.members.callerAddresses(asked.AvailabilityZone)
		if len(addresses) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		ttl := min(addressTTL, n.live.Load().AddressKeep)
		httpserver.WriteJSON(w, http.StatusOK, platform.Addresses{Addresses: addresses, TTLSeconds: ttl.Seconds()})
	})
}

func (n *Node) ingressHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.open.Add(1)
		n.metrics.open.Inc()
		defer func() {
			n.open.Add(-1)
			n.metrics.open.Dec()
		}()
		n.serve(w, r)
	})
}

// refusal is an answer of the system's own.
type refusal struct {
	status int
	reason string
	// after is when coming back makes sense, 0 where the answer is final.
	after time.Duration
	// closes is true where the connection can't be used further.
	closes bool
}

const (
	// retryNoDocument is when a VM that has just started is asked again.
	retryNoDocument = 200 * time.Millisecond
	// retryNoServer is when a request is sent again whose servers are all gone
	// or full: the platform replaces servers within seconds, and other VMs may
	// reach some already.
	retryNoServer = 400 * time.Millisecond
	// retryElsewhere is when a request is sent again that came to a VM which is
	// about to end: other VMs take it at once.
	retryElsewhere = 50 * time.Millisecond
	// staleAfter is when a VM that can't read the store stops saying that a key
	// or route does not exist: a newer document may have it.
	staleAfter = 4 * time.Second
)

// serve takes a request from its arrival to its end.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	q := &request{node: n, w: w, r: r, ctx: r.Context(), began: n.now(), call: platform.DecodeCall(r.Header)}
	q.random = newRandom()
	if ref := q.admit(); ref != nil {
		q.refuse(*ref)
		return
	}
	q.run()
}

// request is one request of a caller.
type request struct {
	node  *Node
	w     http.ResponseWriter
	r     *http.Request
	ctx   context.Context
	began time.Time
	call  platform.Call

	document  *site.Document
	route     *site.Route
	workspace *site.Workspace
	service   string
	body      []byte
	deadline  time.Time
	cost      float64

	attemptState
}

// admit checks a request against the document in force.
func (q *request) admit() *refusal {
	n := q.node
	q.document = n.document.Load()
	if q.document == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no-document", after: retryNoDocument}
	}
	if !n.members.areKnown(q.began) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no-members", after: retryNoDocument}
	}
	if ref := q.checkHead(); ref != nil {
		return ref
	}
	if q.call.ID == "" {
		return &refusal{status: http.StatusBadRequest, reason: "no-id"}
	}
	if n.closing.Load() {
		return &refusal{status: http.StatusServiceUnavailable, reason: "leaving", after: retryElsewhere}
	}
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	q.route = q.document.Route(strings.TrimSpace(q.r.Host), path)
	if q.route == nil {
		return q.unknown(http.StatusNotFound, "no-route")
	}
	if q.document.Keys != nil && !q.route.Public {
		workspace, ok := q.document.Workspace(q.call.Key)
		if !ok {
			return q.unknown(http.StatusUnauthorized, "unknown-key")
		}
		q.workspace = workspace
	}
	if ref := q.readBody(); ref != nil {
		return ref
	}
	q.setDeadline()
	q.service = chooseTarget(q.route, q.random.IntN)
	return q.admitQuota()
}

// checkHead refuses heads that could be read in two ways.
func (q *request) checkHead() *refusal {
	bytes := len(q.r.RequestURI)
	for name, values := range q.r.Header {
		for _, v := range values {
			bytes += len(name) + len(v) + 4
			if strings.ContainsAny(v, "\r\n\x00") {
				return &refusal{status: http.StatusBadRequest, reason: "control-in-header", closes: true}
			}
		}
	}
	if limit := q.document.Limits.HeaderBytes; limit > 0 && bytes > limit {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "head-too-large", closes: true}
	}
	lengths := q.r.Header["Content-Length"]
	if len(lengths) > 1 || len(lengths) == 1 && len(q.r.TransferEncoding) > 0 {
		return &refusal{status: http.StatusBadRequest, reason: "two-lengths", closes: true}
	}
	if len(lengths) == 1 && !allDigits(strings.TrimSpace(lengths[0])) {
		return &refusal{status: http.StatusBadRequest, reason: "malformed-length", closes: true}
	}
	if !strings.HasPrefix(q.r.RequestURI, "/") || len(q.r.Header["Host"]) > 1 {
		return &refusal{status: http.StatusBadRequest, reason: "malformed-target", closes: true}
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

// unknown refuses what the document does not hold, or, where a newer document
// may hold it, asks the caller to come back.
func (q *request) unknown(status int, reason string) *refusal {
	if q.node.now().Sub(q.node.contact.last(platform.OperatorTopic)) > staleAfter {
		return &refusal{status: http.StatusServiceUnavailable, reason: reason + "-while-store-away", after: retryNoServer}
	}
	return &refusal{status: status, reason: reason}
}

func (q *request) readBody() *refusal {
	limit := q.document.Limits.BodyBytes
	if limit <= 0 {
		limit = bodyBound
	}
	body, err := httpserver.ReadBody(q.r, int64(limit))
	switch {
	case errors.Is(err, httpserver.ErrBodyTooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body-too-large", closes: true}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: "unreadable-body", closes: true}
	}
	q.body = body
	return nil
}

// setDeadline bounds the request by the caller's patience and the route's
// timeout.
func (q *request) setDeadline() {
	left := q.route.Timeout
	if q.call.Left > 0 && (left <= 0 || q.call.Left < left) {
		left = q.call.Left
	}
	if left <= 0 {
		left = defaultTimeout
	}
	q.deadline = q.began.Add(left)
}

// defaultTimeout bounds a request whose route and caller set no bound.
const defaultTimeout = 30 * time.Second

// chooseTarget draws a service by the route's weights.
func chooseTarget(r *site.Route, intn func(int) int) string {
	sum := 0
	for _, t := range r.Targets {
		sum += max(t.Weight, 0)
	}
	if sum == 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	x := intn(sum)
	for _, t := range r.Targets {
		if x < t.Weight {
			return t.Service
		}
		x -= max(t.Weight, 0)
	}
	return r.Targets[0].Service
}

// admitQuota takes the request out of its workspace's quota.
func (q *request) admitQuota() *refusal {
	if q.workspace == nil {
		return nil
	}
	q.cost = 1
	if q.workspace.InTokens {
		q.cost = float64(q.workspace.PlainTokens)
		if q.call.HasTokens {
			q.cost = float64(q.call.PromptTokens + q.call.MaxAnswerTokens)
		}
	}
	ok, wait := q.node.quota.Admit(q.workspace.Name, q.cost, q.began)
	if ok {
		return nil
	}
	return &refusal{status: http.StatusTooManyRequests, reason: "quota", after: max(wait, minQuotaWait)}
}

// minQuotaWait is the shortest time after which a caller over its quota is told
// to come back.
const minQuotaWait = 200 * time.Millisecond

// refuse answers for the system itself.
func (q *request) refuse(ref refusal) {
	n := q.node
	h := q.w.Header()
	platform.NameRequest(h, q.call.ID)
	if ref.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(ref.after.Seconds(), 'f', 2, 64))
	}
	if ref.closes {
		h.Set("Connection", "close")
	}
	q.markClosing()
	h.Set("Content-Length", "0")
	q.w.WriteHeader(ref.status)
	q.log("refused", ref.reason, ref.status)
	n.metrics.requests.WithLabelValues(q.routeName(), "refused-"+ref.reason).Inc()
	if ref.closes {
		httpserver.CloseAfterAnswer(q.w, closeWait)
	}
}

// markClosing asks the caller to connect elsewhere once this VM leaves.
func (q *request) markClosing() {
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

// log writes the line of a request's end.
func (q *request) log(outcome, reason string, status int) {
	n := q.node
	version := int64(0)
	if q.document != nil {
		version = q.document.Version
	}
	workspace := ""
	if q.workspace != nil {
		workspace = q.workspace.Name
	}
	write := n.log.Event
	if outcome != "served" {
		write = n.log.Failure
	}
	write("request", outcome, "id", q.call.ID, "reason", reason, "status", status, "route", q.routeName(), "workspace", workspace,
		"service", q.service, "server", q.lastServer, "sends", q.sends, "predicted", q.predicted, "uncached", q.uncached, "first", q.firstAfter, "took", n.now().Sub(q.began),
		"left", q.call.Left, "prompt", q.call.PromptTokens, "cost", q.cost, "document", version, "trail", q.trail)
}
