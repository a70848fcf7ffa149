package control

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// MarshalState encodes the state as JSON, for peers and for checkpoints. Equal
// states have equal encodings.
func MarshalState(s *State) ([]byte, error) {
	data, err := json.Marshal(s)
	return data, errors.Wrap(err, "encode control state")
}

// UnmarshalState decodes a state that MarshalState encoded. It returns an error
// if a mandatory field is missing.
func UnmarshalState(data []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "decode control state")
	}
	if s.Next == 0 || s.Moves == nil || s.Writers == nil {
		return nil, errors.New("control state is incomplete")
	}
	return s, nil
}

// NewCheckpoint returns a checkpoint of s under the lease with the given fencing
// token.
func NewCheckpoint(fencing uint64, s *State) *Checkpoint {
	return &Checkpoint{FencingToken: fencing, Offset: s.Next - 1, State: s}
}

// StateFromCheckpoint returns the state of the checkpoint in r, for a reader without
// a state. earliest is the first offset that the log still holds. The result is nil if
// r is not a checkpoint, if its state is incomplete, or if records that follow the
// state have been trimmed.
func StateFromCheckpoint(r Record, earliest uint64) *State {
	c := r.Checkpoint
	if c == nil || c.State == nil || c.State.Next != c.Offset+1 || c.State.Next < earliest {
		return nil
	}
	if c.State.Moves == nil || c.State.Writers == nil {
		return nil
	}
	return c.State.Clone()
}
