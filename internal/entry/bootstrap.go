package entry

import (
	"coltsfootpath.example/coltsfootpath/internal/transport/peer"
)

// usePeerStates makes the node load the control state from its peers when the
// log is unavailable or no longer holds it.
func (n *Node) usePeerStates() {
	source := peer.StateSource{Pool: n.peerPool, Cloud: n.deps.Cloud, SelfAddress: n.settings.PeerAdvertise}
	n.control.UsePeers(n.clock, source.States)
}

// Revision returns the revision of the document that is active on this node, 0
// before the first one.
func (n *Node) Revision() uint64 {
	return n.control.State().Revision
}
