package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/protocol/peerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
)

const (
	stateTimeout = time.Second
	// maxStatePeers bounds the number of peers that one call of States queries.
	maxStatePeers = 3
)

// StateSource fetches control states from the entry VMs in the cloud's list.
type StateSource struct {
	Pool  *Pool
	Cloud ports.Cloud
	// SelfAddress is the peer address of this process, which is not queried.
	SelfAddress string
}

// States queries a few peers, chosen at random, and returns the control states
// of those that answered.
func (s *StateSource) States(ctx context.Context) []*control.State {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var mu sync.Mutex
	var out []*control.State
	var requests sync.WaitGroup
	for _, address := range s.choosePeers(ctx) {
		requests.Go(func() {
			state, err := s.fetchState(ctx, address)
			if err != nil {
				klog.V(1).Infof("peer: control state unavailable peer=%s err=%q", address, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, state)
		})
	}
	requests.Wait()
	return out
}

// choosePeers returns the addresses of up to maxStatePeers random entry VMs
// other than this one.
func (s *StateSource) choosePeers(ctx context.Context) []string {
	vms, err := s.Cloud.ListVMs(ctx)
	if err != nil {
		klog.V(1).Infof("peer: VM list unavailable err=%q", err)
		return nil
	}
	var addresses []string
	for _, vm := range vms {
		if vm.Role == ports.EntryRole && vm.PeerAddress != "" && vm.PeerAddress != s.SelfAddress {
			addresses = append(addresses, vm.PeerAddress)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxStatePeers)]
}

func (s *StateSource) fetchState(ctx context.Context, address string) (*control.State, error) {
	reply, err := s.Pool.Client(ctx, address).ControlState(ctx, &peerapi.ControlStateRequest{})
	if err != nil {
		return nil, err
	}
	return control.UnmarshalState(reply.State)
}
