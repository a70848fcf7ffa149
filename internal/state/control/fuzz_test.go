package control

import "testing"

// FuzzDecode applies each decodable record to a state twice.
func FuzzDecode(f *testing.F) {
	for _, r := range []Record{
		submission("a", 1, 0),
		{Writer: WriterID{Incarnation: "a", Sequence: 2}, Claim: &LeaseClaim{Holder: Holder{VM: "entry-1"}}},
		{Writer: WriterID{Incarnation: "a", Sequence: 3}, Renewal: &LeaseRenewal{FencingToken: 1}},
		{Writer: WriterID{Incarnation: "a", Sequence: 4}, Release: &LeaseRelease{FencingToken: 1}},
		{Writer: WriterID{Incarnation: "a", Sequence: 5}, Step: &MoveStep{FencingToken: 1, Move: "m", SharePermille: 10}},
		{Writer: WriterID{Incarnation: "a", Sequence: 6}, FinalStatus: &MoveFinalStatus{FencingToken: 1, Move: "m", Result: MoveFinished}},
		{Checkpoint: NewCheckpoint(1, New())},
	} {
		data, err := Encode(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, text := range []string{`{}`, `null`, `{"document":{}}`, `{"checkpoint":{"state":{"moves":null}}}`, `{"step":{"share_permille":-1}}`, "\xff"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		s := New()
		s.Apply(1, r)
		s.Clone().Apply(2, r)
		checkUsable(t, StateFromCheckpoint(r, 1))
	})
}

// FuzzUnmarshalState checks that records can be applied to every state that is
// accepted from a peer.
func FuzzUnmarshalState(f *testing.F) {
	data, err := MarshalState(New())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	for _, text := range []string{`{}`, `null`, `{"next":5}`, `{"next":5,"moves":{},"writers":null}`, `{"next":18446744073709551615}`, "\xff"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := UnmarshalState(data); err == nil {
			checkUsable(t, s)
		}
	})
}

func checkUsable(t *testing.T, s *State) {
	t.Helper()
	if s == nil {
		return
	}
	s.Apply(s.Next, submission("z", 1, s.Revision))
	if _, err := MarshalState(s); err != nil {
		t.Fatal(err)
	}
}
