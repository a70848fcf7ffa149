package coordinator

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/appender"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/findings"
	"coltsfootpath.example/coltsfootpath/internal/protocol/adminapi"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
)

// bodyErrorStatus returns the HTTP status for an error from reading a body.
func bodyErrorStatus(err error) int {
	if errors.Is(err, httpserver.ErrBodyTooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

func (c *Coordinator) submit(w http.ResponseWriter, r *http.Request) {
	var in adminapi.SubmitRequest
	if err := httpserver.ReadJSON(r, maxSubmitBytes, &in); err != nil {
		httpserver.WriteJSON(w, bodyErrorStatus(err), adminapi.ErrorAnswer{Error: err.Error()})
		return
	}
	doc, found := checkSubmission(in)
	if doc != nil {
		found = append(found, c.reusedMoveNames(doc)...)
	}
	if len(found) > 0 {
		httpserver.WriteJSON(w, http.StatusUnprocessableEntity, adminapi.SubmitAnswer{
			Result: adminapi.Invalid, Revision: c.replay.State().Revision, Findings: found,
		})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.settings.SubmitTimeout)
	defer cancel()
	status, answer := c.submitDocument(ctx, in, doc)
	answer.Warnings = c.moveWarnings(doc)
	klog.Infof("coordinator: document submitted operator=%q base=%d result=%s revision=%d", in.Operator, in.Base, answer.Result, answer.Revision)
	httpserver.WriteJSON(w, status, answer)
}

// checkSubmission decodes the submitted document and returns it with all findings
// on the submission. The document is nil if it is invalid.
func checkSubmission(in adminapi.SubmitRequest) (*document.Document, []findings.Finding) {
	var found findings.List
	if strings.TrimSpace(in.Operator) == "" || len(in.Operator) > adminapi.MaxOperatorBytes {
		found.Addf("operator", "must have 1 to %d bytes", adminapi.MaxOperatorBytes)
	}
	doc, err := document.Decode(in.Document)
	var invalid *findings.Error
	if errors.As(err, &invalid) {
		return nil, append(found.Items(), invalid.Findings...)
	}
	return doc, found.Items()
}

func (c *Coordinator) submitDocument(ctx context.Context, in adminapi.SubmitRequest, doc *document.Document) (int, adminapi.SubmitAnswer) {
	if !c.awaitComplete(ctx) {
		return http.StatusServiceUnavailable, adminapi.SubmitAnswer{
			Result: adminapi.NotSubmitted, Revision: c.replay.State().Revision, Message: "this coordinator has not read records that the log no longer keeps",
		}
	}
	applied, err := c.documents.Append(ctx, control.Record{Document: &control.DocumentSubmission{
		Base: in.Base, Operator: in.Operator, Document: doc, At: time.Now().UTC(),
	}})
	current := c.replay.State()
	switch {
	case errors.Is(err, appender.ErrNotAppended):
		return http.StatusServiceUnavailable, adminapi.SubmitAnswer{Result: adminapi.NotSubmitted, Revision: current.Revision, Message: "the log is unavailable"}
	case err != nil:
		return http.StatusGatewayTimeout, adminapi.SubmitAnswer{Result: adminapi.Unknown, Revision: current.Revision, Message: err.Error()}
	case applied.Verdict != control.Accepted:
		return http.StatusConflict, adminapi.SubmitAnswer{Result: adminapi.Conflict, Revision: applied.State.Revision, Operator: applied.State.Operator, Message: conflictMessage(in.Base, applied.State)}
	}
	return http.StatusOK, adminapi.SubmitAnswer{Result: adminapi.Accepted, Revision: applied.Offset, Operator: in.Operator}
}

// completePollInterval is the interval at which awaitComplete checks the replay.
const completePollInterval = 10 * time.Millisecond

// awaitComplete waits until the replay is complete, and reports whether it is. After
// a start, or when the log has dropped records, it takes a read or two.
func (c *Coordinator) awaitComplete(ctx context.Context) bool {
	for !c.replay.Complete() {
		select {
		case <-time.After(completePollInterval):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func conflictMessage(base uint64, s *control.State) string {
	if base > s.Revision {
		return "no such base revision"
	}
	return "another document came first"
}

func (c *Coordinator) showDocument(w http.ResponseWriter, r *http.Request) {
	s := c.replay.State()
	query := r.URL.Query().Get(adminapi.RevisionQuery)
	if query == "" {
		httpserver.WriteJSON(w, http.StatusOK, adminapi.DocumentAnswer{Revision: s.Revision, Operator: s.Operator, Document: s.Document})
		return
	}
	revision, err := strconv.ParseUint(query, 10, 64)
	if err != nil {
		httpserver.WriteJSON(w, http.StatusBadRequest, adminapi.ErrorAnswer{Error: "revision is not a number"})
		return
	}
	answer, status, err := c.documentAt(r.Context(), s, revision)
	if err != nil {
		httpserver.WriteJSON(w, status, adminapi.ErrorAnswer{Error: err.Error()})
		return
	}
	httpserver.WriteJSON(w, http.StatusOK, answer)
}

// documentAt returns an accepted revision, read from the log unless it is the
// active one. On an error it also returns the HTTP status.
func (c *Coordinator) documentAt(ctx context.Context, s *control.State, revision uint64) (adminapi.DocumentAnswer, int, error) {
	if revision == s.Revision {
		return adminapi.DocumentAnswer{Revision: s.Revision, Operator: s.Operator, Document: s.Document}, http.StatusOK, nil
	}
	known := slices.ContainsFunc(s.History, func(r control.Revision) bool { return r.Revision == revision })
	if !known {
		return adminapi.DocumentAnswer{}, http.StatusNotFound, errors.Newf("revision %d is not among the last %d", revision, control.MaxHistory)
	}
	batch, err := c.deps.Log.Read(ctx, control.Stream, revision, 0)
	var trimmed *ports.TrimmedError
	switch {
	case errors.As(err, &trimmed):
		return adminapi.DocumentAnswer{}, http.StatusGone, errors.Newf("the log no longer keeps revision %d", revision)
	case err != nil:
		return adminapi.DocumentAnswer{}, http.StatusServiceUnavailable, errors.New("the log is unavailable")
	case len(batch.Records) == 0 || batch.Records[0].Offset != revision:
		return adminapi.DocumentAnswer{}, http.StatusServiceUnavailable, errors.New("the log did not return the revision")
	}
	record, err := control.Decode(batch.Records[0].Data)
	if err != nil || record.Document == nil {
		return adminapi.DocumentAnswer{}, http.StatusInternalServerError, errors.Newf("record %d is not a document", revision)
	}
	return adminapi.DocumentAnswer{Revision: revision, Operator: record.Document.Operator, Document: record.Document.Document}, http.StatusOK, nil
}

func (c *Coordinator) showHistory(w http.ResponseWriter, _ *http.Request) {
	revisions := slices.Clone(c.replay.State().History)
	slices.Reverse(revisions)
	httpserver.WriteJSON(w, http.StatusOK, adminapi.HistoryAnswer{Revisions: revisions})
}
