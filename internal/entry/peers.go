package entry

import (
	"context"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/protocol/peerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
)

// peerServer serves the peer protocol for a node.
type peerServer struct {
	peerapi.DRPCPeerUnimplementedServer
	node *Node
}

// ControlState returns the state replayed from the control stream, for a peer
// that starts.
func (p *peerServer) ControlState(context.Context, *peerapi.ControlStateRequest) (*peerapi.ControlStateReply, error) {
	data, err := control.MarshalState(p.node.control.State())
	if err != nil {
		return nil, errors.Wrap(err, "encode control state")
	}
	return &peerapi.ControlStateReply{State: data}, nil
}
