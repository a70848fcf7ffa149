package entry

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/registry"
	"coltsfootpath.example/coltsfootpath/internal/protocol/peerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/requests"
)

const (
	registerTimeout      = 500 * time.Millisecond
	maxRegistrarAttempts = 2
	maxRegistrations     = 200_000
)

// register registers this node as the owner of the request at the registrar of
// the request's key, in place of the VM named by replaces. It returns the
// registration in effect, which is this node's own if no registrar answers.
func (n *Node) register(ctx context.Context, req *requests.Request, replaces string) registry.Registration {
	registration := registry.Registration{Owner: n.self(), Fingerprint: req.Fingerprint}
	if known, ok := n.registerAtLeavingRegistrar(ctx, req, registration, replaces); ok {
		return known
	}
	members := n.stayingEntryVMs()
	for range maxRegistrarAttempts {
		i := registry.Choose(registry.Hash(req.ID), vmNames(members))
		if i < 0 {
			break
		}
		known, err := n.registerAt(ctx, members[i], req, registration, replaces)
		if err == nil {
			return known
		}
		klog.V(1).Infof("entry: registrar unreachable vm=%s err=%q", members[i].VM, err)
		members = slices.Delete(members, i, i+1)
	}
	return registration
}

// registerAtLeavingRegistrar also registers the request at its key's previous
// registrar, chosen among all entry VMs including leaving ones, if that one is leaving.
// The previous registrar may still hold the registration of an owner that has not yet
// registered at the new one. The result is true if the returned registration names
// another owner or another request.
func (n *Node) registerAtLeavingRegistrar(ctx context.Context, req *requests.Request, registration registry.Registration, replaces string) (registry.Registration, bool) {
	var all []requests.Owner
	leaving := map[string]bool{}
	for _, vm := range *n.entryVMs.Load() {
		all = append(all, ownerOf(vm))
		leaving[vm.ID] = vm.Leaving
	}
	i := registry.Choose(registry.Hash(req.ID), vmNames(all))
	if i < 0 || !leaving[all[i].VM] {
		return registry.Registration{}, false
	}
	known, err := n.registerAt(ctx, all[i], req, registration, replaces)
	return known, err == nil && known != registration
}

// registerAt sends registration to the given registrar, which may be this node.
// The registration is valid until the request's deadline plus FinishedRetention.
func (n *Node) registerAt(ctx context.Context, registrar requests.Owner, req *requests.Request, registration registry.Registration, replaces string) (registry.Registration, error) {
	now := n.clock.Now()
	retention := max(req.Deadline.Sub(now), 0) + n.settings.FinishedRetention
	if registrar.VM == n.settings.VM {
		return n.registry.Register(req.ID, registration, replaces, now.Add(retention), now), nil
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	reply, err := n.peerPool.Client(ctx, registrar.PeerAddress).Register(ctx, &peerapi.RegisterRequest{
		Workspace:   req.ID.Workspace,
		Key:         req.ID.Key,
		Fingerprint: req.Fingerprint,
		Owner:       memberOf(registration.Owner),
		Replaces:    replaces,
		KeepMs:      uint32(retention.Milliseconds()),
	})
	if err != nil {
		return registry.Registration{}, err
	}
	return registry.Registration{Owner: ownerOfMember(reply.GetOwner()), Fingerprint: reply.GetFingerprint()}, nil
}

// Register registers an owner of a key for which this node is the registrar,
// and returns the registration in effect.
func (p *peerServer) Register(_ context.Context, in *peerapi.RegisterRequest) (*peerapi.RegisterReply, error) {
	now := p.node.clock.Now()
	retention := time.Duration(in.GetKeepMs()) * time.Millisecond
	known := p.node.registry.Register(
		registry.Key{Workspace: in.GetWorkspace(), Key: in.GetKey()},
		registry.Registration{Owner: ownerOfMember(in.GetOwner()), Fingerprint: in.GetFingerprint()},
		in.GetReplaces(), now.Add(retention), now)
	return &peerapi.RegisterReply{Owner: memberOf(known.Owner), Fingerprint: known.Fingerprint}, nil
}

func memberOf(o requests.Owner) *peerapi.Member {
	return &peerapi.Member{Vm: o.VM, AvailabilityZone: o.AvailabilityZone, CallerAddress: o.CallerAddress, PeerAddress: o.PeerAddress}
}

func ownerOfMember(m *peerapi.Member) requests.Owner {
	return requests.Owner{
		VM:               m.GetVm(),
		AvailabilityZone: m.GetAvailabilityZone(),
		CallerAddress:    m.GetCallerAddress(),
		PeerAddress:      m.GetPeerAddress(),
	}
}

// watchRegistrars registers requests again when their registrar has changed
// because entry VMs joined or left, until ctx ends.
func (n *Node) watchRegistrars(ctx context.Context) {
	members := vmNames(n.stayingEntryVMs())
	for ctx.Err() == nil {
		select {
		case <-n.clock.After(n.settings.VMListInterval):
		case <-ctx.Done():
			return
		}
		current := vmNames(n.stayingEntryVMs())
		if slices.Equal(members, current) {
			continue
		}
		n.reregister(ctx, members, current)
		members = current
	}
}

// reregister registers the requests whose registrar differs between the two
// lists of entry VMs.
func (n *Node) reregister(ctx context.Context, before, after []string) {
	for _, req := range n.requests.All() {
		if ctx.Err() != nil || req.CopiedFrom() != nil || !req.Keyed {
			continue
		}
		if _, end := req.Snapshot(); end != nil && end.MovedTo != nil {
			continue
		}
		hash := registry.Hash(req.ID)
		i, j := registry.Choose(hash, before), registry.Choose(hash, after)
		if j >= 0 && (i < 0 || before[i] != after[j]) {
			n.register(ctx, req, "")
		}
	}
}
