package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/membership"
	"coltsfootpath.example/coltsfootpath/internal/coordination/suspects"
	"coltsfootpath.example/coltsfootpath/internal/protocol/peerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
)

// members runs the membership protocol of one node.
type members struct {
	node *Node

	// mu guards core. The lock of the table of suspects is the only one taken
	// while mu is held.
	mu   sync.Mutex
	core *membership.Core
}

func newMembers(n *Node) *members {
	self := membership.Member{
		VM:               n.settings.VM,
		AvailabilityZone: n.settings.AvailabilityZone,
		CallerAddress:    n.settings.Advertise,
		PeerAddress:      n.settings.PeerAdvertise,
		Incarnation:      uint64(n.clock.Now().UnixMilli()),
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &members{node: n, core: membership.New(membership.DefaultConfig, self, random)}
}

// run probes one member per period until ctx ends.
func (m *members) run(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		probe, ok, _ := m.core.Tick(m.node.clock.Now())
		m.mu.Unlock()
		if ok {
			m.node.spawn(func() { m.probe(ctx, probe.Target) })
		}
		m.node.updateEntryVMs()
		select {
		case <-m.node.clock.After(membership.DefaultConfig.Period):
		case <-ctx.Done():
		}
	}
}

func (m *members) probe(ctx context.Context, target membership.Member) {
	startedAt := m.node.clock.Now()
	if m.probeDirect(ctx, target) || m.probeIndirect(ctx, target) {
		m.mu.Lock()
		m.core.ProbeAnswered(target.VM)
		m.mu.Unlock()
		return
	}
	now := m.node.clock.Now()
	if ctx.Err() != nil || now.Sub(startedAt) > maxProbeTime {
		return
	}
	klog.V(1).Infof("membership: member unresponsive vm=%s", target.VM)
	m.mu.Lock()
	m.core.ProbeFailed(target.VM, now)
	m.mu.Unlock()
}

// maxProbeTime bounds the duration of a failed probe that counts against its
// target. A longer one means that this process was frozen meanwhile, so the
// missing reply is no evidence.
const maxProbeTime = 5 * time.Second

func (m *members) probeDirect(ctx context.Context, target membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, membership.DefaultConfig.ProbeTimeout)
	defer cancel()
	reply, err := m.node.peerPool.Client(ctx, target.PeerAddress).Probe(ctx, &peerapi.ProbeRequest{
		From: toWire(m.self()), Digest: m.digest(target.VM),
	})
	if err != nil {
		return false
	}
	m.receive(reply.GetFrom(), reply.GetDigest())
	return true
}

func (m *members) probeIndirect(ctx context.Context, target membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*membership.DefaultConfig.ProbeTimeout)
	defer cancel()
	m.mu.Lock()
	helpers := m.core.IndirectProbers(target.VM)
	m.mu.Unlock()
	answers := make(chan bool, len(helpers))
	for _, h := range helpers {
		go func() {
			_, err := m.node.peerPool.Client(ctx, h.PeerAddress).ProbeVia(ctx, &peerapi.ProbeViaRequest{PeerAddress: target.PeerAddress})
			answers <- err == nil
		}()
	}
	for range helpers {
		if <-answers {
			return true
		}
	}
	return false
}

func (m *members) self() membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Self()
}

// digest returns the digest to send to a member; to is empty if the member's VM
// is not known.
func (m *members) digest(to string) *peerapi.Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := &peerapi.Digest{ControlNext: m.node.control.State().Next}
	for _, update := range m.core.Updates(to) {
		d.Members = append(d.Members, toWire(update))
	}
	for _, mark := range m.node.suspects.Digest(maxDigestMarks, m.node.clock.Now()) {
		d.Marks = append(d.Marks, &peerapi.Mark{Content: mark.Content, Crashes: uint32(mark.LostServers), AgeMs: uint32(mark.Age.Milliseconds())})
	}
	return d
}

// maxDigestMarks bounds the marks of crashing requests that one digest carries.
const maxDigestMarks = 4

func marksFromWire(list []*peerapi.Mark) []suspects.CrashReport {
	out := make([]suspects.CrashReport, 0, len(list))
	for _, w := range list[:min(len(list), maxDigestMarks)] {
		out = append(out, suspects.CrashReport{
			Content: w.GetContent(), LostServers: int(w.GetCrashes()), Age: time.Duration(w.GetAgeMs()) * time.Millisecond,
		})
	}
	return out
}

// receive merges a digest from another member into this node's state.
func (m *members) receive(from *peerapi.Member, d *peerapi.Digest) {
	updates := make([]membership.Member, 0, len(d.GetMembers()))
	for _, w := range d.GetMembers() {
		updates = append(updates, fromWire(w))
	}
	m.node.suspects.Merge(marksFromWire(d.GetMarks()), m.node.clock.Now())
	m.mu.Lock()
	changed := m.core.Receive(fromWire(from), updates, m.node.clock.Now())
	m.mu.Unlock()
	if changed {
		m.node.updateEntryVMs()
	}
}

// addHints passes the entry VMs of the cloud's list to the membership protocol.
// They are only hints, because the list lags.
func (m *members) addHints(vms []fleet.VM) {
	hints := make([]membership.Member, 0, len(vms))
	for _, vm := range vms {
		if vm.PeerAddress == "" {
			continue
		}
		hints = append(hints, membership.Member{
			VM: vm.ID, AvailabilityZone: vm.AvailabilityZone, CallerAddress: vm.Address, PeerAddress: vm.PeerAddress,
		})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.Introduce(hints)
}

// leave announces this node as leaving.
func (m *members) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.Leave()
}

// correctList returns the cloud's list corrected by the membership states: dead
// members are left out, leaving ones are marked, and members that the list
// lacks are added.
func (m *members) correctList(listed []fleet.VM) []fleet.VM {
	m.mu.Lock()
	known := m.core.Members()
	m.mu.Unlock()
	out := make([]fleet.VM, 0, len(listed))
	for _, vm := range listed {
		i := slices.IndexFunc(known, func(k membership.Member) bool { return k.VM == vm.ID })
		if i >= 0 && known[i].State == membership.Dead {
			continue
		}
		if i >= 0 && known[i].State == membership.Leaving {
			vm.Leaving = true
		}
		out = append(out, vm)
	}
	for _, k := range known {
		listed := slices.ContainsFunc(out, func(vm fleet.VM) bool { return vm.ID == k.VM })
		if !listed && k.State != membership.Dead && k.Incarnation > 0 {
			out = append(out, toVM(k))
		}
	}
	return out
}

func toVM(m membership.Member) fleet.VM {
	return fleet.VM{
		ID: m.VM, AvailabilityZone: m.AvailabilityZone, Role: fleet.EntryRole,
		Address: m.CallerAddress, PeerAddress: m.PeerAddress, Leaving: m.State == membership.Leaving,
	}
}

func toWire(m membership.Member) *peerapi.Member {
	return &peerapi.Member{
		Vm: m.VM, AvailabilityZone: m.AvailabilityZone, CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress,
		Incarnation: m.Incarnation, State: uint32(m.State),
	}
}

func fromWire(w *peerapi.Member) membership.Member {
	return membership.Member{
		VM: w.GetVm(), AvailabilityZone: w.GetAvailabilityZone(), CallerAddress: w.GetCallerAddress(),
		PeerAddress: w.GetPeerAddress(), Incarnation: w.GetIncarnation(), State: membership.State(w.GetState()),
	}
}

// errNoSender is returned for a probe that does not name its sender's VM.
var errNoSender = errors.New("probe without a sender")

// Probe answers a member's probe and exchanges digests with it.
func (p *peerServer) Probe(_ context.Context, in *peerapi.ProbeRequest) (*peerapi.ProbeReply, error) {
	if in.GetFrom().GetVm() == "" {
		return nil, errNoSender
	}
	m := p.node.members
	m.receive(in.GetFrom(), in.GetDigest())
	return &peerapi.ProbeReply{From: toWire(m.self()), Digest: m.digest(in.GetFrom().GetVm())}, nil
}

// ProbeVia probes another member on behalf of the calling node.
func (p *peerServer) ProbeVia(ctx context.Context, in *peerapi.ProbeViaRequest) (*peerapi.ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, membership.DefaultConfig.ProbeTimeout)
	defer cancel()
	m := p.node.members
	return p.node.peerPool.Client(ctx, in.GetPeerAddress()).Probe(ctx, &peerapi.ProbeRequest{From: toWire(m.self()), Digest: m.digest("")})
}
