package entry

import (
	"net/http"

	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/requests"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
)

// maxAddresses bounds the addresses in one reply to a caller.
const maxAddresses = 8

func (n *Node) serveAddresses(w http.ResponseWriter, r *http.Request) {
	answer := callerapi.AddressesAnswer{
		Addresses:   n.addresses(r.URL.Query().Get("availability_zone")),
		CacheMillis: n.settings.AddressTTL.Milliseconds(),
	}
	httpserver.WriteJSON(w, http.StatusOK, answer)
}

// addresses returns at most maxAddresses entry VMs that are not leaving: those
// of the caller's availability zone first, each group in random order to spread
// callers. If all entry VMs are leaving, it returns the leaving ones, because a
// caller without any address could not connect at all.
func (n *Node) addresses(zone string) []callerapi.Address {
	if all := orderByZone(n.stayingEntryVMs(), zone); len(all) > 0 {
		return all
	}
	var leaving []requests.Owner
	for _, vm := range *n.entryVMs.Load() {
		leaving = append(leaving, ownerOf(vm))
	}
	return orderByZone(leaving, zone)
}

// orderByZone returns at most maxAddresses addresses of members, those in zone first,
// each group shuffled.
func orderByZone(members []requests.Owner, zone string) []callerapi.Address {
	var sameZone, otherZones []callerapi.Address
	for _, m := range members {
		a := callerapi.Address{Address: m.CallerAddress, AvailabilityZone: m.AvailabilityZone}
		if m.AvailabilityZone == zone {
			sameZone = append(sameZone, a)
		} else {
			otherZones = append(otherZones, a)
		}
	}
	shuffleAddresses(sameZone)
	shuffleAddresses(otherZones)
	all := append(sameZone, otherZones...)
	return all[:min(len(all), maxAddresses)]
}

func shuffleAddresses(list []callerapi.Address) {
	random := newRandom()
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
