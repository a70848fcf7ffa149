package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
)

// handler returns the HTTP handler of the caller API.
func (n *Node) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+callerapi.AddressesPath, n.serveAddresses)
	mux.HandleFunc(callerapi.RequestPath, n.serveRequest)
	return mux
}

// target is the workspace, service and route of a request, as found in the
// document, and the request's idempotency key. Fields that could not be
// resolved are nil.
type target struct {
	state     *control.State
	workspace *document.Workspace
	service   *document.Service
	route     *document.Route
	key       string
}

// newError returns an error for the caller; run states whether the request has
// run.
func newError(code callerapi.Code, run callerapi.RunStatus, format string, args ...any) *callerapi.Error {
	return &callerapi.Error{Code: code, Run: run, Message: errors.Newf(format, args...).Error()}
}

// withRetryAfter sets the time, at least 1 ms, after which the caller may
// retry.
func withRetryAfter(wait time.Duration, e *callerapi.Error) *callerapi.Error {
	e.RetryAfterMillis = max(wait.Milliseconds(), 1)
	return e
}

func (n *Node) serveRequest(w http.ResponseWriter, r *http.Request) {
	t, rejection := n.resolve(r)
	if rejection == nil && httpserver.IsOverload(r) {
		rejection = withRetryAfter(retryAfterRejection, newError(callerapi.NoCapacity, callerapi.NotRun, "the requests of callers hold too much memory"))
	}
	if rejection != nil {
		n.writeError(w, t, hideNotRunFromRetry(r, rejection))
		return
	}
	if t.service.Kind == document.ModelService {
		n.serveModel(w, r, t)
		return
	}
	n.serveCall(w, r, t)
}

// resolve authenticates the request and looks up its service and route. The
// target is filled in as far as it was resolved, also on error.
func (n *Node) resolve(r *http.Request) (target, *callerapi.Error) {
	t := target{state: n.control.State(), key: header(r, callerapi.IdempotencyKeyHeader)}
	if t.state.Document == nil {
		return t, withRetryAfter(time.Second, newError(callerapi.NotReady, callerapi.NotRun, "no document is active yet"))
	}
	var rejection *callerapi.Error
	if t.workspace, rejection = authenticate(t.state.Document, r); rejection != nil {
		return t, rejection
	}
	var ok bool
	name := r.PathValue("service")
	if t.service, ok = t.state.Document.Service(name); !ok {
		return t, newError(callerapi.UnknownService, callerapi.NotRun, "service %q is not in the document", name)
	}
	route := r.PathValue("route")
	if t.route, ok = t.service.Route(route); !ok {
		return t, newError(callerapi.UnknownRoute, callerapi.NotRun, "service %q has no route %q", name, route)
	}
	if !t.workspace.Allows(name, route) {
		return t, newError(callerapi.RouteNotAllowed, callerapi.NotRun, "workspace %q may not call %s/%s", t.workspace.Name, name, route)
	}
	return t, t.validateKey()
}

// header returns a header's value without surrounding white space: for an empty
// header, nbhttp returns the blank after the colon as the value.
func header(r *http.Request, name string) string {
	return strings.TrimSpace(r.Header.Get(name))
}

// validateKey checks the idempotency key's length, encoding and presence.
func (t *target) validateKey() *callerapi.Error {
	if len(t.key) > callerapi.MaxKeyBytes {
		return newError(callerapi.MalformedRequest, callerapi.NotRun, "%s is longer than %d bytes", callerapi.IdempotencyKeyHeader, callerapi.MaxKeyBytes)
	}
	if !utf8.ValidString(t.key) {
		return newError(callerapi.MalformedRequest, callerapi.NotRun, "%s is not valid UTF-8", callerapi.IdempotencyKeyHeader)
	}
	if t.key == "" && !t.route.Repeatable {
		return newError(callerapi.MissingKey, callerapi.NotRun, "%s is required for a call that must not be repeated", callerapi.IdempotencyKeyHeader)
	}
	return nil
}

func authenticate(doc *document.Document, r *http.Request) (*document.Workspace, *callerapi.Error) {
	name := header(r, callerapi.WorkspaceHeader)
	w, ok := doc.Workspace(name)
	if !ok {
		return nil, newError(callerapi.UnknownWorkspace, callerapi.NotRun, "workspace %q is not in the document", name)
	}
	token, ok := strings.CutPrefix(header(r, "Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	want, _ := hex.DecodeString(w.TokenSHA256)
	if !ok || subtle.ConstantTimeCompare(sum[:], want) != 1 {
		return nil, newError(callerapi.Unauthenticated, callerapi.NotRun, "the bearer token is not valid for workspace %q", name)
	}
	return w, nil
}

// readBody reads the request's body of at most MaxBodyBytes.
func (n *Node) readBody(r *http.Request) ([]byte, *callerapi.Error) {
	body, err := httpserver.ReadBody(r, int64(n.settings.MaxBodyBytes))
	if errors.Is(err, httpserver.ErrBodyTooLarge) {
		return nil, newError(callerapi.BodyTooLarge, callerapi.NotRun, "the body is longer than %d bytes", n.settings.MaxBodyBytes)
	}
	if err != nil {
		return nil, newError(callerapi.MalformedRequest, callerapi.NotRun, "the body could not be read")
	}
	return body, nil
}

// fingerprint returns a hash of the service, the route and the body. It detects
// a different request with the same key.
func fingerprint(t target, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{t.service.Name, t.route.Name} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// writeError counts and sends an error that ends a request.
func (n *Node) writeError(w http.ResponseWriter, t target, e *callerapi.Error) {
	n.countRequest(t, e.Code)
	if e.RetryAfterMillis > 0 {
		seconds := (e.RetryAfterMillis + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	httpserver.WriteJSON(w, e.Code.Status(), callerapi.ErrorAnswer{Error: *e})
}

const servedCode = "served"

// countRequest counts a finished request by its code. Names that are not in the
// document are left out of the labels.
func (n *Node) countRequest(t target, code callerapi.Code) {
	var service, route, workspace string
	if t.service != nil {
		service = t.service.Name
	}
	if t.route != nil {
		route = t.route.Name
	}
	if t.workspace != nil {
		workspace = t.workspace.Name
	}
	n.metrics.requests.WithLabelValues(service, route, workspace, string(code)).Inc()
}
