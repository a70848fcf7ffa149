// Package adminapi defines the HTTP protocol between operators' tools and
// coordinators.
package adminapi

import (
	"encoding/json"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/findings"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// Paths of the admin API.
const (
	DocumentPath = "/v1/document"
	HistoryPath  = "/v1/document/history"
	StatusPath   = "/v1/status"
	MovesPath    = "/v1/moves"
	CancelPath   = "/v1/moves/cancel"
	// BurnPath returns a burn.Report.
	BurnPath = "/v1/burn"
)

// RevisionQuery is the query parameter of DocumentPath that selects an earlier
// revision.
const RevisionQuery = "revision"

// MaxOperatorBytes bounds the length of the operator's name in a submission.
const MaxOperatorBytes = 128

// SubmitRequest asks to replace revision Base with Document.
type SubmitRequest struct {
	Base     uint64          `json:"base"`
	Operator string          `json:"operator"`
	Document json.RawMessage `json:"document"`
}

// SubmitResult is the result of a submission or a cancellation.
type SubmitResult string

// Results with which a coordinator answers.
const (
	Accepted SubmitResult = "accepted"
	Conflict SubmitResult = "conflict"
	Invalid  SubmitResult = "invalid"
	// Unknown means that the log did not answer, so the submission may or may not
	// have taken effect. The document shows whether it has.
	Unknown SubmitResult = "unknown"
	// NotSubmitted means that the log was unavailable and nothing took effect.
	NotSubmitted SubmitResult = "not_submitted"
)

// SubmitAnswer is the answer to a submission. Revision is the active one.
type SubmitAnswer struct {
	Result   SubmitResult       `json:"result"`
	Revision uint64             `json:"revision"`
	Operator string             `json:"operator,omitempty"`
	Findings []findings.Finding `json:"findings,omitempty"`
	// Warnings lists the problems that a valid document will cause.
	Warnings []findings.Finding `json:"warnings,omitempty"`
	Message  string             `json:"message,omitempty"`
}

// DocumentAnswer holds the active document, or an earlier one.
type DocumentAnswer struct {
	Revision uint64             `json:"revision"`
	Operator string             `json:"operator"`
	Document *document.Document `json:"document"`
}

// HistoryAnswer lists the most recently accepted revisions, newest first.
type HistoryAnswer struct {
	Revisions []control.Revision `json:"revisions"`
}

// StatusAnswer is the state of a coordinator.
type StatusAnswer struct {
	VM          string `json:"vm"`
	Revision    uint64 `json:"revision"`
	ControlNext uint64 `json:"control_next"`
	CaughtUp    bool   `json:"caught_up"`
	// Complete is false if the coordinator misses records that the log no longer
	// holds.
	Complete bool `json:"complete"`
	// Checkpoint is the offset of the newest checkpoint, 0 before the first.
	Checkpoint uint64          `json:"checkpoint"`
	LogReadAt  time.Time       `json:"log_read_at"`
	Lease      control.Lease   `json:"lease"`
	HoldsLease bool            `json:"holds_lease"`
	Entries    []EntryVM       `json:"entries"`
	Backends   []BackendServer `json:"backend_servers"`
}

// EntryVM is an entry VM in the cloud's list.
type EntryVM struct {
	VM               string `json:"vm"`
	AvailabilityZone string `json:"availability_zone"`
	Address          string `json:"address"`
	Leaving          bool   `json:"leaving"`
}

// BackendServer is a backend server in the cloud's list.
type BackendServer struct {
	VM               string `json:"vm"`
	AvailabilityZone string `json:"availability_zone"`
	Role             string `json:"role"`
	Leaving          bool   `json:"leaving"`
}

// MoveStatus is a move with its progress.
type MoveStatus struct {
	Move     document.Move `json:"move"`
	Progress control.Move  `json:"progress"`
}

// CancelRequest asks to cancel a move, which rolls it back.
type CancelRequest struct {
	Move     string `json:"move"`
	Operator string `json:"operator"`
}

// CancelAnswer is the answer to a cancellation. Conflict means that the move is
// unknown, has ended or is already being cancelled.
type CancelAnswer struct {
	Result  SubmitResult `json:"result"`
	Message string       `json:"message,omitempty"`
}

// MovesAnswer lists the moves of the active document and those that ended
// recently.
type MovesAnswer struct {
	Revision uint64       `json:"revision"`
	Moves    []MoveStatus `json:"moves"`
}

// ErrorAnswer is the body of any other answer with a status other than 200.
type ErrorAnswer struct {
	Error string `json:"error"`
}
