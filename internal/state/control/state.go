package control

import (
	"maps"
	"slices"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// Verdict is the effect of a record on the state.
type Verdict string

// Effects of a record on the state.
const (
	// Accepted means that the record took effect.
	Accepted Verdict = "accepted"
	// Repeated means that an earlier record of the same writer has the same or a
	// higher sequence number.
	Repeated Verdict = "repeated"
	// Conflict means that the record is not valid in the current state, for example
	// because it was derived from an older one.
	Conflict Verdict = "conflict"
	// Malformed means that the record has no body that this version supports, or
	// that the body is invalid in itself.
	Malformed Verdict = "malformed"
)

// State is the result of applying all records of the control stream below the
// offset Next.
type State struct {
	// Next is the offset of the first record that has not been applied.
	Next     uint64             `json:"next"`
	Revision uint64             `json:"revision"`
	Operator string             `json:"operator"`
	Document *document.Document `json:"document,omitempty"`
	Lease    Lease              `json:"lease"`
	Moves    map[string]Move    `json:"moves"`
	// Promotions holds the promotion by a finished move for each service whose
	// serving version the document has not changed since.
	Promotions map[string]Promotion `json:"promotions,omitempty"`
	// History lists the newest MaxHistory accepted revisions, oldest first.
	History []Revision `json:"history,omitempty"`
	// Checkpoint is the offset of the newest accepted checkpoint, 0 for none.
	Checkpoint uint64 `json:"checkpoint"`
	// Writers holds the newest record of each recent writer, by incarnation.
	Writers map[string]Writer `json:"writers"`
}

// Revision describes one accepted document. Its number is the offset of its
// record.
type Revision struct {
	Revision uint64    `json:"revision"`
	Base     uint64    `json:"base"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
}

// Writer identifies the newest record of one writer.
type Writer struct {
	// Sequence is the highest sequence number read, from the record at Offset.
	Sequence uint64 `json:"sequence"`
	Offset   uint64 `json:"offset"`
}

const (
	// MaxHistory bounds State.History.
	MaxHistory = 64
	// WriterRetentionRecords is the number of records that must follow a writer's
	// newest record before the writer is removed. Even at the log's highest append
	// rate, writing that many records takes longer than an append may be in progress.
	WriterRetentionRecords = 4096
	// writerSweepInterval is the number of records between two removals of old
	// writers.
	writerSweepInterval = 256
)

// Lease is the state of the coordinators' lease according to the log.
type Lease struct {
	// FencingToken is the offset of the accepted claim, 0 before the first one.
	// Actions of the lease holder carry it as the fencing token.
	FencingToken uint64 `json:"fencing"`
	// LastOffset is the offset of the term's last accepted record: its claim, a
	// renewal, or its release. The next claim must name it.
	LastOffset uint64 `json:"last"`
	Released   bool   `json:"released"`
	Holder     Holder `json:"holder"`
}

// New returns the state before the first record, whose offset is 1.
func New() *State {
	return &State{Next: 1, Moves: map[string]Move{}, Writers: map[string]Writer{}}
}

// Clone returns a copy that shares no mutable data with s. Documents are immutable
// and are shared.
func (s *State) Clone() *State {
	c := *s
	c.Moves = maps.Clone(s.Moves)
	c.Promotions = maps.Clone(s.Promotions)
	c.Writers = maps.Clone(s.Writers)
	c.History = slices.Clone(s.History)
	return &c
}

// Apply applies the record at offset, which must be s.Next, and returns its
// effect.
func (s *State) Apply(offset uint64, r Record) Verdict {
	s.Next = offset + 1
	s.pruneWriters(offset)
	if r.Writer.Sequence <= s.Writers[r.Writer.Incarnation].Sequence {
		return Repeated
	}
	s.Writers[r.Writer.Incarnation] = Writer{Sequence: r.Writer.Sequence, Offset: offset}
	return s.applyBody(offset, r)
}

// applyBody applies the record without the check for duplicates.
func (s *State) applyBody(offset uint64, r Record) Verdict {
	switch {
	case r.Document != nil:
		return s.applyDocument(offset, r.Document)
	case r.Claim != nil:
		return s.applyClaim(offset, r.Claim)
	case r.Renewal != nil:
		return s.applyRenewal(offset, r.Renewal)
	case r.Release != nil:
		return s.applyRelease(offset, r.Release)
	case r.Step != nil:
		return s.applyStep(r.Step)
	case r.FinalStatus != nil:
		return s.applyFinalStatus(offset, r.FinalStatus)
	case r.Cancel != nil:
		return s.applyCancel(r.Cancel)
	case r.Checkpoint != nil:
		return s.applyCheckpoint(offset, r.Checkpoint)
	}
	return Malformed
}

// pruneWriters removes writers without recent records. It does so at fixed offsets,
// so that all readers keep the same writers.
func (s *State) pruneWriters(offset uint64) {
	if offset%writerSweepInterval != 0 {
		return
	}
	maps.DeleteFunc(s.Writers, func(_ string, w Writer) bool { return w.Offset+WriterRetentionRecords < offset })
}

func (s *State) applyDocument(offset uint64, d *DocumentSubmission) Verdict {
	if d.Document == nil {
		return Malformed
	}
	if d.Base != s.Revision || !s.keepsMoveIdentities(d.Document) {
		return Conflict
	}
	s.Revision = offset
	s.Operator = d.Operator
	s.Document = d.Document
	s.updateMoves()
	s.History = append(s.History, Revision{Revision: offset, Base: d.Base, Operator: d.Operator, At: d.At})
	s.History = s.History[max(0, len(s.History)-MaxHistory):]
	return Accepted
}

func (s *State) applyClaim(offset uint64, c *LeaseClaim) Verdict {
	if c.After != s.Lease.LastOffset {
		return Conflict
	}
	s.Lease = Lease{FencingToken: offset, LastOffset: offset, Holder: c.Holder}
	return Accepted
}

func (s *State) applyRenewal(offset uint64, r *LeaseRenewal) Verdict {
	if r.FencingToken != s.Lease.FencingToken || s.Lease.Released {
		return Conflict
	}
	s.Lease.LastOffset = offset
	return Accepted
}

func (s *State) applyRelease(offset uint64, r *LeaseRelease) Verdict {
	if r.FencingToken != s.Lease.FencingToken || s.Lease.Released {
		return Conflict
	}
	s.Lease.LastOffset = offset
	s.Lease.Released = true
	return Accepted
}

func (s *State) applyCheckpoint(offset uint64, c *Checkpoint) Verdict {
	if c.State == nil || c.Offset >= offset || c.State.Next != c.Offset+1 {
		return Malformed
	}
	if c.FencingToken != s.Lease.FencingToken || s.Lease.Released {
		return Conflict
	}
	s.Checkpoint = offset
	return Accepted
}
