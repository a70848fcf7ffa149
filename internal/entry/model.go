package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/requests"
)

const (
	maxTokensLimit = 32_768
	// maxDeadlineMillis is one day.
	maxDeadlineMillis   = 24 * 60 * 60 * 1000
	retryAfterRejection = 500 * time.Millisecond
)

func (n *Node) serveModel(w http.ResponseWriter, r *http.Request, t target) {
	body, rejection := n.readBody(r)
	if rejection != nil {
		n.writeError(w, t, hideNotRunFromRetry(r, rejection))
		return
	}
	in, rejection := decodeGenerate(body)
	if rejection != nil {
		n.writeError(w, t, hideNotRunFromRetry(r, rejection))
		return
	}
	req, rejection := n.openRequest(t, in)
	if rejection != nil {
		n.writeError(w, t, hideNotRunFromRetry(r, rejection))
		return
	}
	req.AddReader()
	defer func() { req.RemoveReader(n.clock.Now()) }()
	stream := answerStream{node: n, w: w, r: r, target: t, req: req, offset: in.FromOffset}
	stream.run(r.Context())
}

func decodeGenerate(body []byte) (callerapi.GenerateRequest, *callerapi.Error) {
	var in callerapi.GenerateRequest
	if err := json.Unmarshal(body, &in); err != nil {
		return in, newError(callerapi.MalformedRequest, callerapi.NotRun, "the body is not a valid request: %v", err)
	}
	switch {
	case strings.TrimSpace(in.Prompt) == "":
		return in, newError(callerapi.MalformedRequest, callerapi.NotRun, "prompt is empty")
	case in.MaxTokens < 1 || in.MaxTokens > maxTokensLimit:
		return in, newError(callerapi.MalformedRequest, callerapi.NotRun, "max_tokens must be between 1 and %d", maxTokensLimit)
	case in.DeadlineMillis > maxDeadlineMillis:
		return in, newError(callerapi.MalformedRequest, callerapi.NotRun, "deadline_ms must not be above %d", maxDeadlineMillis)
	case in.DeadlineMillis < 0 || in.FromOffset < 0:
		return in, newError(callerapi.MalformedRequest, callerapi.NotRun, "deadline_ms and from_offset must not be negative")
	}
	return in, nil
}

// openRequest returns the existing request of the key, or opens, admits and
// places a new one.
func (n *Node) openRequest(t target, in callerapi.GenerateRequest) (*requests.Request, *callerapi.Error) {
	now := n.clock.Now()
	keyed := t.key != ""
	if !keyed {
		t.key = fmt.Sprintf("unkeyed-%s-%d", n.settings.VM, n.lastID.Add(1))
	}
	spec := n.newSpec(t, t.key, in, now)
	spec.Keyed = keyed
	req, created, err := n.requests.Open(spec, nil, now)
	if err == nil && !created && n.mayReopen(req, now) {
		if reopened, reopenErr := n.requests.Reopen(req, spec, now); reopened != nil || reopenErr != nil {
			req, created, err = reopened, true, reopenErr
		}
	}
	switch {
	case errors.Is(err, requests.ErrConflict):
		return nil, keyConflictError()
	case err != nil:
		return nil, withRetryAfter(retryAfterRejection, newError(callerapi.NoCapacity, callerapi.NotRun, "too many requests are open"))
	case !created:
		return req, nil
	}
	if rejection := n.placeRequest(t, req, now); rejection != nil {
		n.finishWithError(req, rejection)
		n.requests.Remove(req)
		n.requests.MarkClosed()
		return nil, rejection
	}
	return req, nil
}

// mayReopen reports whether a request has failed with an error that a retry may
// resolve and its retry-after time has passed.
func (n *Node) mayReopen(req *requests.Request, now time.Time) bool {
	_, end := req.Snapshot()
	if end == nil || end.Failure == nil {
		return false
	}
	failure := decodeFailure(end.Failure)
	wait := time.Duration(failure.RetryAfterMillis) * time.Millisecond
	return wait > 0 && !now.Before(req.EndedAt().Add(wait))
}

// placeRequest chooses the entry VM that runs a new request: the one that already
// owns its key, a peer if this node is leaving, otherwise this node.
func (n *Node) placeRequest(t target, req *requests.Request, now time.Time) *callerapi.Error {
	if req.Keyed {
		known := n.register(n.ctx, req, "")
		if known.Fingerprint != req.Fingerprint {
			return keyConflictError()
		}
		if known.Owner.VM != n.settings.VM {
			n.metrics.attachedRequests.Inc()
			n.runInBackground(func(ctx context.Context) { n.follow(ctx, t, req, known.Owner) })
			return nil
		}
	}
	if req.Keyed && n.isLeaving() {
		if successor := n.delegate(n.ctx, req); successor != nil {
			n.runInBackground(func(ctx context.Context) { n.follow(ctx, t, req, *successor) })
			return nil
		}
	}
	if rejection := n.admit(t, now); rejection != nil {
		return rejection
	}
	n.enqueueNew(req, t)
	return nil
}

func (n *Node) newSpec(t target, key string, in callerapi.GenerateRequest, now time.Time) requests.Spec {
	deadline := n.settings.DefaultDeadline
	if in.DeadlineMillis > 0 {
		deadline = time.Duration(in.DeadlineMillis) * time.Millisecond
	}
	// A caller retry may differ from the first request in offset and deadline,
	// so the fingerprint covers neither.
	content := in.Prompt + "\x00" + strconv.Itoa(in.MaxTokens)
	return requests.Spec{
		ID:          requests.ID{Workspace: t.workspace.Name, Key: key},
		Fingerprint: fingerprint(t, []byte(content)),
		Service:     t.service.Name,
		Route:       t.route.Name,
		Version:     n.pinVersion(t, key).name,
		Prompt:      in.Prompt,
		MaxTokens:   in.MaxTokens,
		Deadline:    now.Add(deadline),
	}
}
