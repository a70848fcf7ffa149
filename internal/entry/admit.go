package entry

import (
	"time"

	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
)

// admit returns nil if a new request may be accepted, otherwise the rejection.
func (n *Node) admit(t target, now time.Time) *callerapi.Error {
	if n.draining.Load() {
		return withRetryAfter(retryAfterRejection, newError(callerapi.Draining, callerapi.NotRun, "this entry VM is shutting down; fetch the addresses again"))
	}
	if ok, wait := n.limiter.Admit(t.workspace.Name, now); !ok {
		return withRetryAfter(wait, newError(callerapi.LimitReached, callerapi.NotRun, "workspace %q has reached its request limit", t.workspace.Name))
	}
	return nil
}
