// Package relayapi is the call by which an entry VM gets records of the
// platform's store from a peer that has read them: to spare the store calls,
// and because the store may refuse some VMs while it serves others.
package relayapi

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
)

// RecordsMethod is the name of the call.
const RecordsMethod = "/coltsfootpath.Relay/Records"

// RecordsRequest asks for the newest records of the keys of a topic that have
// changed from an offset on.
type RecordsRequest struct {
	Topic string `json:"topic"`
	From  uint64 `json:"from"`
}

// Record is the newest record of a key; one without a value drops the key.
type Record struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Offset uint64 `json:"offset"`
}

// RecordsReply is the answer. End is how far the peer has read.
type RecordsReply struct {
	Records []Record `json:"records"`
	End     uint64   `json:"end"`
	// Full is true where Records holds all keys that there are: the peer has not
	// read all records since the offset, and can't tell which keys were dropped.
	Full bool `json:"full,omitempty"`
}

// Server answers the calls.
type Server interface {
	Records(ctx context.Context, in *RecordsRequest) (*RecordsReply, error)
}

// encoding is JSON: the calls are few and their records are JSON themselves.
type encoding struct{}

func (encoding) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := json.Marshal(msg)
	return data, errors.Wrap(err, "encode relay message")
}

func (encoding) Unmarshal(buf []byte, msg drpc.Message) error {
	return errors.Wrap(json.Unmarshal(buf, msg), "decode relay message")
}

type description struct{}

func (description) NumMethods() int { return 1 }

func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	receive := func(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
		return srv.(Server).Records(ctx, in1.(*RecordsRequest))
	}
	return RecordsMethod, encoding{}, receive, Server.Records, true
}

// Register adds the call to a mux.
func Register(mux drpc.Mux, impl Server) error {
	return errors.Wrap(mux.Register(impl, description{}), "register relay")
}

// Records makes the call over a connection.
func Records(ctx context.Context, conn drpc.Conn, in *RecordsRequest) (*RecordsReply, error) {
	out := &RecordsReply{}
	if err := conn.Invoke(ctx, RecordsMethod, encoding{}, in, out); err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	return out, nil
}
