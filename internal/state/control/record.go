// Package control replays the control stream of the platform's log: documents,
// the coordinators' lease, and the steps and final statuses of version moves.
// Every reader applies the same rules to the same records in the same order, and
// no rule depends on a clock, so all readers reach the same state without
// communicating.
package control

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// Stream is the name of the control stream in the log service.
const Stream = "control"

// WriterID identifies a record. A writer repeats an append if the answer was lost;
// readers recognise the second record as a duplicate by its WriterID.
type WriterID struct {
	Incarnation string `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
}

// Record is one entry of the control stream. Exactly one field besides Writer is
// set.
type Record struct {
	Writer      WriterID            `json:"writer"`
	Document    *DocumentSubmission `json:"document,omitempty"`
	Claim       *LeaseClaim         `json:"claim,omitempty"`
	Renewal     *LeaseRenewal       `json:"renewal,omitempty"`
	Release     *LeaseRelease       `json:"release,omitempty"`
	Step        *MoveStep           `json:"step,omitempty"`
	FinalStatus *MoveFinalStatus    `json:"statement,omitempty"`
	Cancel      *MoveCancel         `json:"cancel,omitempty"`
	// Checkpoint contains the complete state, so that readers don't need records
	// that the log no longer retains.
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
}

// DocumentSubmission requests that Document replace the revision Base.
type DocumentSubmission struct {
	// Base is the revision from which the document was derived, 0 for the first
	// document.
	Base     uint64             `json:"base"`
	Operator string             `json:"operator"`
	Document *document.Document `json:"document"`
	// At is the wall-clock time of the coordinator that received the document. It
	// is informational only.
	At time.Time `json:"at"`
}

// LeaseClaim requests the lease. After is the offset of the last record of the
// preceding term.
type LeaseClaim struct {
	After   uint64   `json:"after"`
	Holder  Holder   `json:"holder"`
	Attempt AppendID `json:"attempt"`
}

// AppendID identifies a claim or renewal, so that its writer recognises the record
// when it reads the log. The rules ignore it.
type AppendID struct {
	Process string `json:"process"`
	Number  uint64 `json:"number"`
}

// Holder is the VM of the lease holder and the address for calls from peers.
type Holder struct {
	VM          string `json:"vm"`
	PeerAddress string `json:"peer_address"`
}

// LeaseRenewal extends the lease term with the given fencing token, which is the
// offset of the term's claim.
type LeaseRenewal struct {
	FencingToken uint64   `json:"fencing"`
	Attempt      AppendID `json:"attempt"`
}

// LeaseRelease ends the lease term with the given fencing token.
type LeaseRelease struct {
	FencingToken uint64 `json:"fencing"`
}

// MoveStep sets the new version's share in a move.
type MoveStep struct {
	FencingToken uint64 `json:"fencing"`
	Move         string `json:"move"`
	// SharePermille is the new version's share of the request keys, 0 to 1000.
	SharePermille int       `json:"share_permille"`
	Reason        string    `json:"reason"`
	At            time.Time `json:"at"`
}

// MoveResult is the result of a move that has ended.
type MoveResult string

// Results that a lease holder records in a final status.
const (
	MoveFinished   MoveResult = "finished"
	MoveRolledBack MoveResult = "taken_back"
)

// MoveFinalStatus is the final status of a move and ends it.
type MoveFinalStatus struct {
	FencingToken uint64     `json:"fencing"`
	Move         string     `json:"move"`
	Result       MoveResult `json:"result"`
	Reason       string     `json:"reason"`
	Evidence     string     `json:"evidence"`
	At           time.Time  `json:"at"`
}

// Checkpoint is the state after every record up to and including Offset, written
// by the lease holder. Other records may lie between Offset and the checkpoint
// itself.
type Checkpoint struct {
	FencingToken uint64 `json:"fencing"`
	Offset       uint64 `json:"offset"`
	State        *State `json:"state"`
}

// Encode encodes a record for the log.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode control record")
}

// Decode decodes a record from the log.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrap(err, "decode control record")
	}
	return r, nil
}
