package coordinator

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/appender"
	"coltsfootpath.example/coltsfootpath/internal/coordination/moves"
	"coltsfootpath.example/coltsfootpath/internal/findings"
	"coltsfootpath.example/coltsfootpath/internal/protocol/adminapi"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
)

const maxCancelBytes = 4 << 10

// cancelMove appends a cancellation. It takes effect once it is read back,
// regardless of whether a coordinator holds the lease.
func (c *Coordinator) cancelMove(w http.ResponseWriter, r *http.Request) {
	var in adminapi.CancelRequest
	if err := httpserver.ReadJSON(r, maxCancelBytes, &in); err != nil {
		httpserver.WriteJSON(w, http.StatusBadRequest, adminapi.ErrorAnswer{Error: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.settings.SubmitTimeout)
	defer cancel()
	status, answer := c.appendCancel(ctx, in)
	klog.Infof("coordinator: move cancellation requested move=%q operator=%q result=%s", in.Move, in.Operator, answer.Result)
	httpserver.WriteJSON(w, status, answer)
}

func (c *Coordinator) appendCancel(ctx context.Context, in adminapi.CancelRequest) (int, adminapi.CancelAnswer) {
	applied, err := c.documents.Append(ctx, control.Record{Cancel: &control.MoveCancel{Move: in.Move, Operator: in.Operator}})
	switch {
	case errors.Is(err, appender.ErrNotAppended):
		return http.StatusServiceUnavailable, adminapi.CancelAnswer{Result: adminapi.NotSubmitted, Message: "the log is unavailable"}
	case err != nil:
		return http.StatusGatewayTimeout, adminapi.CancelAnswer{Result: adminapi.Unknown, Message: err.Error()}
	case applied.Verdict != control.Accepted:
		return http.StatusConflict, adminapi.CancelAnswer{Result: adminapi.Conflict, Message: cancelConflictMessage(applied.State, in.Move)}
	}
	return http.StatusOK, adminapi.CancelAnswer{Result: adminapi.Accepted}
}

func cancelConflictMessage(s *control.State, name string) string {
	m, ok := s.Moves[name]
	switch {
	case !ok:
		return "no such move"
	case m.FinalStatus != nil:
		return "the move has ended: " + m.FinalStatus.String()
	}
	return "the move is already being rolled back"
}

// reusedMoveNames returns a finding for each name that the document reuses for a
// different move, or for a move that is being rolled back.
func (c *Coordinator) reusedMoveNames(doc *document.Document) []findings.Finding {
	var found []findings.Finding
	reused := control.ReusedMoveNames(c.replay.State(), doc)
	for i, m := range doc.Moves {
		if slices.Contains(reused, m.Name) {
			found = append(found, findings.Finding{
				Path:    fmt.Sprintf("moves[%d].name", i),
				Problem: fmt.Sprintf("%q is already used by another move or by one that is being rolled back; choose a new name", m.Name),
			})
		}
	}
	return found
}

// moveWarnings returns a warning for each move of the document that can't be
// carried out as requested.
func (c *Coordinator) moveWarnings(doc *document.Document) []findings.Finding {
	s := c.replay.State()
	var found []findings.Finding
	warn := func(i int, field, format string, args ...any) {
		found = append(found, findings.Finding{Path: fmt.Sprintf("moves[%d].%s", i, field), Problem: fmt.Sprintf(format, args...)})
	}
	for i, m := range doc.Moves {
		known := s.Moves[m.Name]
		if known.FinalStatus != nil {
			if known.FinalStatus.Result == control.MoveRolledBack {
				warn(i, "name", "this move was rolled back; use a new name to retry it")
			}
			continue
		}
		if !moves.Feasible(m, c.clock.Now()) {
			warn(i, "deadline", "can't be met: a move takes at least %v", moves.MinDuration())
		}
		if service, ok := doc.Service(m.Service); ok && s.ServingVersion(service) != m.From {
			warn(i, "from", "the service currently runs version %q", s.ServingVersion(service))
		}
	}
	return found
}

// moveStatuses returns all moves in the state, sorted by name.
func moveStatuses(s *control.State) []adminapi.MoveStatus {
	var out []adminapi.MoveStatus
	for _, m := range s.Moves {
		out = append(out, adminapi.MoveStatus{Move: m.Definition, Progress: m})
	}
	slices.SortFunc(out, func(a, b adminapi.MoveStatus) int { return cmp.Compare(a.Move.Name, b.Move.Name) })
	return out
}
