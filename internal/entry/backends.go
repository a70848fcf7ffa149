package entry

import (
	"context"
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
)

// watchCloud refreshes the tables of VMs every VMListInterval until ctx ends.
func (n *Node) watchCloud(ctx context.Context) {
	for ctx.Err() == nil {
		n.refreshVMs(ctx)
		select {
		case <-n.clock.After(n.settings.VMListInterval):
		case <-ctx.Done():
		}
	}
}

func (n *Node) refreshVMs(ctx context.Context) {
	vms, err := n.deps.Cloud.ListVMs(ctx)
	if err != nil {
		klog.V(1).Infof("entry: VM list unavailable err=%q", err)
		return
	}
	notices, err := n.deps.Cloud.Notices(ctx)
	if err != nil {
		klog.V(1).Infof("entry: notices unavailable err=%q", err)
	}
	for i := range vms {
		if j := slices.IndexFunc(notices, func(vm fleet.VM) bool { return vm.ID == vms[i].ID }); j >= 0 {
			vms[i].Leaving, vms[i].LeaveDeadline = true, notices[j].LeaveDeadline
		}
	}
	entries := slices.DeleteFunc(slices.Clone(vms), func(vm fleet.VM) bool { return vm.Role != fleet.EntryRole })
	n.listed.Store(&entries)
	n.members.addHints(entries)
	n.updateEntryVMs()
	before := n.backends.View()
	n.backends.SetVMs(slices.DeleteFunc(vms, func(vm fleet.VM) bool { return vm.Role == fleet.EntryRole }))
	n.dropRemovedServers(before)
}

// updateEntryVMs recomputes the list of entry VMs from the cloud's list and the
// membership states, and applies their number to the limits.
func (n *Node) updateEntryVMs() {
	entries := n.members.correctList(*n.listed.Load())
	n.entryVMs.Store(&entries)
	n.configureLimits()
}

// dropRemovedServers deletes the metrics, cache views and health records of
// servers that are no longer listed.
func (n *Node) dropRemovedServers(before *fleet.View) {
	view := n.backends.View()
	if view == before {
		return
	}
	for i := range before.Servers {
		if _, ok := view.Find(before.Servers[i].ID); !ok {
			n.metrics.cacheLoss.DeleteLabelValues(before.Servers[i].ID)
		}
	}
	listed := func(server string) bool {
		_, ok := view.Find(server)
		return ok
	}
	n.cache.Retain(listed)
	n.health.Retain(listed)
}

// recordVerdict logs and counts a change of a backend server's health phase.
func (n *Node) recordVerdict(key health.Key, phase string) {
	klog.Infof("entry: backend server %s vm=%s model=%s", phase, key.Server, key.Model)
	n.metrics.healthVerdicts.WithLabelValues(key.Model, phase).Inc()
}

// configureLimits applies the document and the number of entry VMs to the rate
// limits and the claim writer.
func (n *Node) configureLimits() {
	if doc := n.control.State().Document; doc != nil {
		n.limiter.Configure(doc, n.stayingEntryVMCount(), n.clock.Now())
		n.claimWriter.SetVMCount(n.stayingEntryVMCount())
		n.metrics.documentRevision.Set(float64(n.control.State().Revision))
	}
}

func (n *Node) stayingEntryVMCount() int {
	count := 0
	for _, vm := range *n.entryVMs.Load() {
		if !vm.Leaving {
			count++
		}
	}
	return count
}

// pollLoads polls the load of every engine each LoadInterval until ctx ends.
func (n *Node) pollLoads(ctx context.Context) {
	for ctx.Err() == nil {
		n.pollOnce(ctx)
		select {
		case <-n.clock.After(n.settings.LoadInterval):
		case <-ctx.Done():
		}
	}
}

func (n *Node) pollOnce(ctx context.Context) {
	var polls sync.WaitGroup
	for _, s := range n.backends.View().Servers {
		if s.Role != fleet.EngineRole {
			continue
		}
		polls.Go(func() { n.pollEngine(ctx, s.VM) })
	}
	polls.Wait()
}

func (n *Node) pollEngine(ctx context.Context, vm fleet.VM) {
	load, err := n.deps.Engine.Load(ctx, vm.Address)
	if err != nil {
		n.backends.CountMissedReport(vm.ID)
		return
	}
	now := n.clock.Now()
	for _, model := range load.Models {
		n.health.Add(health.Key{Server: vm.ID, Model: model}, now)
	}
	n.backends.ApplyReport(vm.ID, load, now)
	n.pollCache(ctx, vm)
}

// pollCache reads an engine's cache events. Without them, the cache view is
// updated by this node's own attempts only.
func (n *Node) pollCache(ctx context.Context, vm fleet.VM) {
	events, err := n.deps.Engine.CacheEvents(ctx, vm.Address, n.cache.NextSequence(vm.ID))
	if err != nil {
		klog.V(2).Infof("entry: cache events unavailable vm=%s err=%q", vm.ID, err)
		return
	}
	n.cache.Apply(vm.ID, events)
	n.metrics.cacheLoss.WithLabelValues(vm.ID).Set(n.cache.LossRatio(vm.ID))
}
