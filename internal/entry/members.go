package entry

import (
	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
	"coltsfootpath.example/coltsfootpath/internal/state/requests"
)

// self returns this node with the addresses at which callers and other entry
// VMs reach it.
func (n *Node) self() requests.Owner {
	return requests.Owner{
		VM:               n.settings.VM,
		AvailabilityZone: n.settings.AvailabilityZone,
		CallerAddress:    advertisedAddress(n.settings.Advertise, n.settings.Listen, n.CallerAddress()),
		PeerAddress:      advertisedAddress(n.settings.PeerAdvertise, n.settings.PeerListen, n.PeerAddress()),
	}
}

// advertisedAddress returns advertise, or actual if advertise is the configured
// listening address, whose port may be 0.
func advertisedAddress(advertise, listen, actual string) string {
	if advertise == listen {
		return actual
	}
	return advertise
}

func ownerOf(vm fleet.VM) requests.Owner {
	return requests.Owner{VM: vm.ID, AvailabilityZone: vm.AvailabilityZone, CallerAddress: vm.Address, PeerAddress: vm.PeerAddress}
}

// stayingEntryVMs returns the entry VMs that are not leaving, in the order of the
// list. If there are none, it returns this node, unless it is leaving itself.
func (n *Node) stayingEntryVMs() []requests.Owner {
	var out []requests.Owner
	for _, vm := range *n.entryVMs.Load() {
		if vm.Leaving || vm.ID == n.settings.VM && n.isLeaving() {
			continue
		}
		out = append(out, ownerOf(vm))
	}
	if len(out) == 0 && !n.isLeaving() {
		out = append(out, n.self())
	}
	return out
}

// isLeaving reports whether this node is draining or under a reclaim notice.
func (n *Node) isLeaving() bool {
	return n.draining.Load() || n.underReclaimNotice.Load()
}

func vmNames(members []requests.Owner) []string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.VM
	}
	return names
}
