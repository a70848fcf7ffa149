// Package serverplaces divides the places of backend servers among the VMs of a deployment, while
// the servers state that they fail if they have to reject many requests. A place is held for
// as long as a request runs. Where a server has at least a place for each VM, a fixed division
// needs no messages: every VM computes its share from the same names. Where it has fewer, one
// VM, the granter, gives them out, and VMs that can't ask it take turns. It decides without any
// I/O.
package serverplaces

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sliceLength is the time after which the places of a server that has fewer of them than
	// there are VMs go to others.
	sliceLength = 1500 * time.Millisecond
	// sliceGuard is the part of a slice in which nobody uses such a place: requests of the
	// slice before end, and their ends are reported.
	sliceGuard = 250 * time.Millisecond
)

// Share returns the number of a server's places that this VM may use at a Unix time in
// milliseconds. peers holds the names of the other VMs.
func Share(places int, server uint64, self string, peers []string, unixMillis int64) int {
	vms := len(peers) + 1
	share, rest := places/vms, places%vms
	if rest == 0 {
		return share
	}
	slice := uint64(0)
	if share == 0 {
		length := sliceLength.Milliseconds()
		if unixMillis%length < sliceGuard.Milliseconds() {
			return 0
		}
		slice = uint64(unixMillis / length)
	}
	own, before := rank(server, slice, self), 0
	for _, p := range peers {
		if r := rank(server, slice, p); r < own || r == own && p < self {
			before++
		}
	}
	if before < rest {
		share++
	}
	return share
}

// rank orders the VMs for a server and a slice of time.
func rank(server, slice uint64, vm string) uint64 {
	h := xxhash.Sum64String(vm) ^ server*0x9e3779b97f4a7c15 ^ slice*0xd6e8feb86659fd93
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}

// AfterRejection returns the number of places that a server has at most, as it has rejected a
// request while others were running. known is the number assumed before.
func AfterRejection(known, running int) int { return max(min(known, running), 1) }
