// Package calls replays the claims and outcomes of calls that must run at most once.
// The first claim of a key in log order wins, and only its owner may run the call.
// Every reader of the log finds the same winner.
package calls

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Stream is the name of the claims' stream in the log service.
const Stream = "calls"

// ID identifies a call by its workspace and the caller's key.
type ID struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
}

// Claim requests the right to run a call.
type Claim struct {
	ID          ID     `json:"id"`
	Fingerprint uint64 `json:"fingerprint"`
	// Token is unique to the claim, so that its writer recognises it in the log
	// if the answer to the append was lost.
	Token string `json:"token"`
	VM    string `json:"vm"`
	// IssuedAt is the time at which the caller created the key, zero if the caller
	// did not send this time.
	IssuedAt time.Time `json:"issued_at,omitzero"`
}

// Result states whether a claimed call ran.
type Result string

// Results that an outcome records for a claimed call.
const (
	ResultRan     Result = "ran"
	ResultNotRun  Result = "not_run"
	ResultUnknown Result = "unknown"
)

// Outcome ends a claim. Only the claim's owner writes ResultRan and ResultNotRun;
// any entry VM may write ResultUnknown.
type Outcome struct {
	ID     ID     `json:"id"`
	Token  string `json:"token"`
	Result Result `json:"result"`
	// Body is the service's answer for ResultRan.
	Body json.RawMessage `json:"body,omitempty"`
}

// Record is one entry of the stream. Exactly one of its pointer fields is set.
type Record struct {
	// At is the writer's time just before the append. It has no influence on which
	// claim holds a key. Readers use it only to estimate the time up to which claims
	// may be missing from their tables, see Table.ProvesUnclaimed.
	At      time.Time `json:"at,omitzero"`
	Claim   *Claim    `json:"claim,omitempty"`
	Outcome *Outcome  `json:"outcome,omitempty"`
	// Heartbeat is appended to a stream without calls so that it has a record with a
	// recent timestamp.
	Heartbeat *Heartbeat `json:"mark,omitempty"`
}

// Heartbeat is a record without a call. It carries only its writer's VM and the record's
// time.
type Heartbeat struct {
	VM string `json:"vm"`
}

// ErrMalformed is returned for a record that does not have exactly one body, whose
// body lacks a key or a token, or whose result is unknown to this version.
var ErrMalformed = errors.New("malformed call record")

// Encode encodes a record for the log.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode call record")
}

// Decode decodes a record from the log.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrap(err, "decode call record")
	}
	if !r.wellFormed() {
		return Record{}, ErrMalformed
	}
	return r, nil
}

func (r Record) wellFormed() bool {
	switch {
	case r.Claim != nil:
		return r.Outcome == nil && r.Heartbeat == nil && r.Claim.ID.Key != "" && r.Claim.Token != ""
	case r.Outcome != nil:
		return r.Heartbeat == nil && r.Outcome.ID.Key != "" && r.Outcome.Token != "" && r.Outcome.Result.isKnown()
	}
	return r.Heartbeat != nil
}

func (r Result) isKnown() bool {
	return r == ResultRan || r == ResultNotRun || r == ResultUnknown
}
