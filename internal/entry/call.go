package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/coordination/routing"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
)

// maxCallAttempts bounds the attempts of one call on backend servers.
const maxCallAttempts = 3

// serveCall answers a call of a plain service.
func (n *Node) serveCall(w http.ResponseWriter, r *http.Request, t target) {
	body, rejection := n.readBody(r)
	if rejection == nil && !json.Valid(body) {
		rejection = newError(callerapi.MalformedRequest, callerapi.NotRun, "the body is not valid JSON")
	}
	if rejection != nil {
		n.writeError(w, t, hideNotRunFromRetry(r, rejection))
		return
	}
	startedAt := n.clock.Now()
	// An accepted call continues after its caller disconnects, and is cancelled
	// when the node closes.
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	defer cancel()
	defer context.AfterFunc(n.ctx, cancel)()
	var answer callerapi.CallAnswer
	if t.route.Repeatable {
		answer, rejection = n.callRepeatable(ctx, t, body)
	} else {
		answer, rejection = n.serveOnceCall(ctx, r, t, body)
	}
	n.observeCall(t, rejection, n.clock.Now().Sub(startedAt))
	if rejection != nil {
		n.writeError(w, t, hideNotRunFromRetry(r, rejection))
		return
	}
	n.countRequest(t, servedCode)
	httpserver.WriteJSON(w, http.StatusOK, answer)
}

// callRepeatable sends a call that may run more than once, and retries it on
// other servers within the workspace's retry budget.
func (n *Node) callRepeatable(ctx context.Context, t target, body []byte) (callerapi.CallAnswer, *callerapi.Error) {
	if rejection := n.admit(t, n.clock.Now()); rejection != nil {
		return callerapi.CallAnswer{}, rejection
	}
	n.workspaceBudgets.RecordFirstAttempt(t.workspace.Name)
	var avoid []string
	for i := range maxCallAttempts {
		if i > 0 && !n.workspaceBudgets.Take(t.workspace.Name) {
			break
		}
		result, server, err := n.sendCall(ctx, t, body, avoid)
		if err == nil {
			return callerapi.CallAnswer{Body: result.Body}, nil
		}
		avoid = append(avoid, server)
	}
	return callerapi.CallAnswer{}, withRetryAfter(time.Second, newError(callerapi.BackendFailed, callerapi.RunUnknown, "no backend server could answer"))
}

// sendCall makes one attempt on one server and returns the server's id. The
// error is ports.ErrNotSent or ports.ErrRejected only if the call certainly has
// not run.
func (n *Node) sendCall(ctx context.Context, t target, body []byte, avoid []string) (ports.CallResult, string, error) {
	server := routing.ChooseService(n.backends.View(), t.service.Name, avoid, newRandom())
	if server == nil {
		return ports.CallResult{}, "", errors.Mark(errors.New("no backend server"), ports.ErrNotSent)
	}
	server.Outstanding.Add(1)
	defer server.Outstanding.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(t.service.Target.AnswerMillis)*time.Millisecond)
	defer cancel()
	pinned := n.pinVersion(t, t.key)
	startedAt := n.clock.Now()
	result, err := n.deps.Service.Call(ctx, server.Address, ports.CallRequest{
		Service: t.service.Name,
		Version: pinned.name,
		Route:   t.route.Name,
		Key:     t.key,
		Body:    body,
	})
	n.countCallEvidence(t, pinned, n.clock.Now().Sub(startedAt), err)
	return result, server.ID, err
}
