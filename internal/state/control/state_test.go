package control

import (
	"strconv"
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

func submission(writer string, sequence, base uint64) Record {
	return Record{
		Writer:   WriterID{Incarnation: writer, Sequence: sequence},
		Document: &DocumentSubmission{Base: base, Operator: writer, Document: &document.Document{}},
	}
}

func TestFirstDocumentPerBaseWins(t *testing.T) {
	s := New()
	if v := s.Apply(1, submission("a", 1, 0)); v != Accepted {
		t.Fatal(v)
	}
	if v := s.Apply(2, submission("b", 1, 0)); v != Conflict {
		t.Fatal(v)
	}
	if s.Revision != 1 || s.Operator != "a" {
		t.Fatalf("revision %d of %s", s.Revision, s.Operator)
	}
}

func TestRepeatedAppendIsDropped(t *testing.T) {
	s := New()
	s.Apply(1, submission("a", 1, 0))
	if v := s.Apply(2, submission("a", 1, 0)); v != Repeated {
		t.Fatal(v)
	}
}

func TestClaimMustNameTheLastRecord(t *testing.T) {
	s := New()
	claim := func(writer string, after uint64) Record {
		return Record{Writer: WriterID{Incarnation: writer, Sequence: 1}, Claim: &LeaseClaim{After: after, Holder: Holder{VM: writer}}}
	}
	s.Apply(1, claim("a", 0))
	if v := s.Apply(2, claim("b", 0)); v != Conflict {
		t.Fatal(v)
	}
	s.Apply(3, Record{Writer: WriterID{Incarnation: "a", Sequence: 2}, Renewal: &LeaseRenewal{FencingToken: 1}})
	if v := s.Apply(4, claim("c", 1)); v != Conflict {
		t.Fatal("verdict on a claim that does not name the last renewal:", v)
	}
	if v := s.Apply(5, claim("d", 3)); v != Accepted || s.Lease.FencingToken != 5 {
		t.Fatal(v, s.Lease)
	}
}

func TestWritersAreBounded(t *testing.T) {
	s := New()
	for offset := uint64(1); offset < 4*WriterRetentionRecords; offset++ {
		s.Apply(offset, submission(strconv.FormatUint(offset, 10), 1, 0))
		if len(s.Writers) > WriterRetentionRecords+writerSweepInterval {
			t.Fatalf("%d writers at offset %d", len(s.Writers), offset)
		}
	}
	if len(s.History) != 1 {
		t.Fatal(s.History)
	}
	if v := s.Apply(s.Next, submission(strconv.FormatUint(s.Next-1, 10), 1, 0)); v != Repeated {
		t.Fatal("a recent writer was dropped; verdict on its repeated record:", v)
	}
}

func TestOnlyLeaseHolderWritesCheckpoints(t *testing.T) {
	s := New()
	s.Apply(1, Record{Writer: WriterID{"a", 1}, Claim: &LeaseClaim{}})
	old := Record{Writer: WriterID{"a", 2}, Checkpoint: NewCheckpoint(1, s.Clone())}
	s.Apply(2, Record{Writer: WriterID{"b", 1}, Claim: &LeaseClaim{After: 1}})
	if v := s.Apply(3, old); v != Conflict || s.Checkpoint != 0 {
		t.Fatal(v, s.Checkpoint)
	}
	if v := s.Apply(4, Record{Writer: WriterID{"b", 2}, Checkpoint: NewCheckpoint(2, s.Clone())}); v != Accepted || s.Checkpoint != 4 {
		t.Fatal(v, s.Checkpoint)
	}
}
