package coordinator

import (
	"context"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/burn"
	"coltsfootpath.example/coltsfootpath/internal/protocol/peerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
)

const (
	burnTimeout     = 2 * time.Second
	burnConcurrency = 16
)

// showBurn serves the burn report, computed from the aggregate counts of all entry
// VMs. VMs whose counts are unavailable are listed as missing.
func (c *Coordinator) showBurn(w http.ResponseWriter, r *http.Request) {
	vms, err := c.deps.Cloud.ListVMs(r.Context())
	if err != nil {
		httpserver.WriteJSON(w, http.StatusServiceUnavailable, burn.Report{Missing: []string{"the cloud's VM list"}})
		return
	}
	snapshots, missing := c.collectBurn(r.Context(), vms)
	rep := burn.NewReport(burn.Merge(snapshots), c.clock.Now())
	rep.Missing = missing
	httpserver.WriteJSON(w, http.StatusOK, rep)
}

// collectBurn fetches the burn counts of all entry VMs, at most burnConcurrency
// at a time. It also returns the ids of the VMs that did not return any.
func (c *Coordinator) collectBurn(ctx context.Context, vms []fleet.VM) (snapshots []burn.Snapshot, missing []string) {
	var calls sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, burnConcurrency)
	for _, vm := range vms {
		if vm.Role != fleet.EntryRole {
			continue
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			s, err := c.fetchBurn(ctx, vm)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				klog.V(1).Infof("coordinator: burn counts unavailable vm=%s err=%q", vm.ID, err)
				missing = append(missing, vm.ID)
				return
			}
			snapshots = append(snapshots, s)
		})
	}
	calls.Wait()
	return snapshots, missing
}

func (c *Coordinator) fetchBurn(ctx context.Context, vm fleet.VM) (burn.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	reply, err := c.peerPool.Client(ctx, vm.PeerAddress).Burn(ctx, &peerapi.BurnRequest{})
	if err != nil {
		return burn.Snapshot{}, err
	}
	return peerapi.DecodeBurn(reply), nil
}
