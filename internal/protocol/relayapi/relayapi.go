// Package relayapi defines the calls between entry VMs on an operator's platform. By Records,
// a VM gets records of the platform's store from a peer that has read them. This reduces the
// calls to the store, which may also reject calls of some VMs while it serves others. By
// Permit, it gets a permit to send a request to a backend server that has named a limit. By
// Tunnel, it gets a connection to a backend server that it can't reach itself.
package relayapi

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"coltsfootpath.example/coltsfootpath/internal/coordination/topicview"
	"coltsfootpath.example/coltsfootpath/internal/state/storelog"
)

// Names of the calls.
const (
	RecordsMethod = "/coltsfootpath.Relay/Records"
	PermitMethod  = "/coltsfootpath.Relay/Permit"
	TunnelMethod  = "/coltsfootpath.Relay/Tunnel"
)

// RecordsRequest asks for the newest record of each key of a topic, if that record is
// at or after the position From.
type RecordsRequest struct {
	Topic string            `json:"topic"`
	From  storelog.Position `json:"from"`
	// TakesPacked is true if the reply may hold its records in Packed.
	TakesPacked bool `json:"takes_packed,omitempty"`
}

// RecordsReply is the answer to a RecordsRequest. End is the position after the
// last record that the peer has read.
type RecordsReply struct {
	Records []topicview.Record `json:"records"`
	End     storelog.Position  `json:"end"`
	// Full is true if Records holds all existing keys. This is the case if From is of
	// another era, or if the peer has not read every record since then and thus lacks
	// the deleted keys.
	Full bool `json:"full,omitempty"`
	// Packed holds the records, compressed, instead of Records. See PackRecords.
	Packed []byte `json:"packed,omitempty"`
}

// PermitRequest asks for a permit for a server, given by the short hash of its ID, with its
// limit in requests per second as the VM knows it.
type PermitRequest struct {
	Server uint32  `json:"server"`
	Rate   float64 `json:"rate"`
	// Places is set if the permit is for one of the server's places, which is held for
	// HoldMillis unless it is released before. Release is the lease of a place that is free
	// again; nothing is asked for then.
	Places     int    `json:"places,omitempty"`
	HoldMillis int64  `json:"hold_ms,omitempty"`
	Release    uint64 `json:"release,omitempty"`
}

// PermitReply is the answer to a PermitRequest. If it is not granted, WaitMillis is the time
// after which to ask again.
type PermitReply struct {
	Granted    bool  `json:"granted,omitempty"`
	WaitMillis int64 `json:"wait_ms,omitempty"`
	// Lease identifies a granted place.
	Lease uint64 `json:"lease,omitempty"`
}

// Server implements the calls.
type Server interface {
	Records(ctx context.Context, in *RecordsRequest) (*RecordsReply, error)
	Permit(ctx context.Context, in *PermitRequest) (*PermitReply, error)
	Tunnel(stream drpc.Stream) error
}

// jsonEncoding encodes messages in JSON: calls are rare, and the records are
// JSON.
type jsonEncoding struct{}

func (jsonEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := json.Marshal(msg)
	return data, errors.Wrap(err, "encode relay message")
}

func (jsonEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	return errors.Wrap(json.Unmarshal(buf, msg), "decode relay message")
}

// relayDescription describes the calls to drpc.
type relayDescription struct{}

func (relayDescription) NumMethods() int { return 3 }

func (relayDescription) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		receive := func(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
			return srv.(Server).Records(ctx, in1.(*RecordsRequest))
		}
		return RecordsMethod, jsonEncoding{}, receive, Server.Records, true
	case 1:
		receive := func(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
			return srv.(Server).Permit(ctx, in1.(*PermitRequest))
		}
		return PermitMethod, jsonEncoding{}, receive, Server.Permit, true
	case 2:
		receive := func(srv any, _ context.Context, in1, _ any) (drpc.Message, error) {
			return nil, srv.(Server).Tunnel(in1.(drpc.Stream))
		}
		return TunnelMethod, frameEncoding{}, receive, Server.Tunnel, true
	}
	return "", nil, nil, nil, false
}

// Register registers impl with a mux.
func Register(mux drpc.Mux, impl Server) error {
	return errors.Wrap(mux.Register(impl, relayDescription{}), "register relay")
}

// FetchRecords makes the call to the peer at the other end of conn.
func FetchRecords(ctx context.Context, conn drpc.Conn, in *RecordsRequest) (*RecordsReply, error) {
	out := &RecordsReply{}
	if err := conn.Invoke(ctx, RecordsMethod, jsonEncoding{}, in, out); err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	return out, out.unpack()
}

// AskPermit makes the call for a permit to the peer at the other end of conn.
func AskPermit(ctx context.Context, conn drpc.Conn, in *PermitRequest) (*PermitReply, error) {
	out := &PermitReply{}
	if err := conn.Invoke(ctx, PermitMethod, jsonEncoding{}, in, out); err != nil {
		return nil, errors.Wrap(err, "ask for a permit")
	}
	return out, nil
}
