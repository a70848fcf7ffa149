package entry

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/registry"
	"coltsfootpath.example/coltsfootpath/internal/coordination/suspects"
	"coltsfootpath.example/coltsfootpath/internal/protocol/peerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/requests"
)

const (
	suspectTimeout = 500 * time.Millisecond
	aliveTimeout   = time.Second
	aliveChecks    = 3
	aliveInterval  = 50 * time.Millisecond
)

// contentHash returns a hash of a request's content: its service and prompt.
// Requests with the same content have the same hash in all workspaces and under
// all keys.
func contentHash(service, prompt string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(prompt)
	return digest.Sum64()
}

// registrarHash returns the hash that selects an event's registrar. It is derived
// from the server for slot events, and from the content for all others.
func registrarHash(ev suspects.Event) uint64 {
	var data [8]byte
	binary.LittleEndian.PutUint64(data[:], ev.Content)
	switch ev.Kind {
	case suspects.RequestSlot, suspects.RequestBlame, suspects.SlotReleased:
		return xxhash.Sum64String("server " + ev.Server)
	}
	return xxhash.Sum64(data[:])
}

// sendSuspectEvent sends an event to its registrar and returns the verdict. If no
// registrar is reachable, this node's own table decides.
func (n *Node) sendSuspectEvent(ctx context.Context, ev suspects.Event) suspects.Verdict {
	members := n.stayingEntryVMs()
	for range maxRegistrarAttempts {
		i := registry.Choose(registrarHash(ev), vmNames(members))
		if i < 0 || members[i].VM == n.settings.VM {
			break
		}
		v, err := n.sendSuspectEventTo(ctx, members[i], ev)
		if err == nil {
			return v
		}
		klog.V(1).Infof("entry: registrar of suspects unreachable vm=%s err=%q", members[i].VM, err)
		members = slices.Delete(members, i, i+1)
	}
	return n.suspects.Apply(ev, n.clock.Now())
}

func (n *Node) sendSuspectEventTo(ctx context.Context, registrar requests.Owner, ev suspects.Event) (suspects.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	reply, err := n.peerPool.Client(ctx, registrar.PeerAddress).Suspect(ctx, &peerapi.SuspectRequest{
		Content: ev.Content,
		Server:  ev.Server,
		Holder:  ev.AttemptID,
		Step:    uint32(ev.Kind),
		Lost:    uint32(ev.LostServers),
		Blamed:  ev.Blamed,
	})
	if err != nil {
		return suspects.Verdict{}, err
	}
	return suspects.Verdict{
		Granted:        reply.GetGranted(),
		LostServers:    int(reply.GetLost()),
		Blamed:         reply.GetBlamed(),
		TooManyCrashes: reply.GetCondemned(),
		Server:         reply.GetServer(),
	}, nil
}

// Suspect processes an event about a request's content or a backend server whose
// registrar is this node.
func (p *peerServer) Suspect(_ context.Context, in *peerapi.SuspectRequest) (*peerapi.SuspectReply, error) {
	v := p.node.suspects.Apply(suspects.Event{
		Kind:        suspects.EventKind(in.GetStep()),
		Content:     in.GetContent(),
		Server:      in.GetServer(),
		AttemptID:   in.GetHolder(),
		LostServers: int(in.GetLost()),
		Blamed:      in.GetBlamed(),
	}, p.node.clock.Now())
	return &peerapi.SuspectReply{
		Granted:   v.Granted,
		Lost:      uint32(v.LostServers),
		Blamed:    v.Blamed,
		Condemned: v.TooManyCrashes,
		Server:    v.Server,
	}, nil
}

// permit is the permission to run an attempt on a backend server.
type permit struct {
	node      *Node
	content   uint64
	server    string
	attemptID string
	holdsSlot bool
}

// acquire requests permission to run the request on the server. A request whose
// content is suspect also needs a slot of the server. If permission is denied,
// Granted is false in the returned verdict, and the other fields give the reason.
func (p *permit) acquire(ctx context.Context) suspects.Verdict {
	v := p.node.sendSuspectEvent(ctx, p.event(suspects.RequestGrant))
	if !v.Granted || !v.IsSuspect() {
		return v
	}
	slot := p.event(suspects.RequestSlot)
	slot.LostServers = v.LostServers
	p.holdsSlot = p.node.sendSuspectEvent(ctx, slot).Granted
	if !p.holdsSlot {
		p.node.sendSuspectEvent(ctx, p.event(suspects.Released))
		v.Granted = false
	}
	return v
}

func (p *permit) event(kind suspects.EventKind) suspects.Event {
	return suspects.Event{Kind: kind, Content: p.content, Server: p.server, AttemptID: p.attemptID}
}

// release gives up the permit in the background. kind is suspects.Finished after
// a complete answer, otherwise suspects.Released.
func (p *permit) release(kind suspects.EventKind) {
	p.node.runInBackground(func(ctx context.Context) {
		if p.holdsSlot {
			p.node.sendSuspectEvent(ctx, p.event(suspects.SlotReleased))
		}
		p.node.sendSuspectEvent(ctx, p.event(kind))
	})
}

// reportCrash reports that the server was lost during the attempt, and returns
// the verdict on the content.
func (p *permit) reportCrash(ctx context.Context) suspects.Verdict {
	slotVerdict := p.node.sendSuspectEvent(ctx, p.event(suspects.RequestBlame))
	ev := p.event(suspects.Crashed)
	ev.Blamed = slotVerdict.Blamed
	v := p.node.sendSuspectEvent(ctx, ev)
	v.Blamed = slotVerdict.Blamed
	return v
}

// stillResponds reports whether a backend server answers aliveChecks load
// requests after a stream was interrupted, so that a broken connection is not
// mistaken for a crash.
func (n *Node) stillResponds(ctx context.Context, address string) bool {
	for range aliveChecks {
		if !n.responds(ctx, address) {
			return false
		}
		select {
		case <-n.clock.After(aliveInterval):
		case <-ctx.Done():
			return true
		}
	}
	return n.responds(ctx, address)
}

func (n *Node) responds(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	_, err := n.deps.Engine.Load(ctx, address)
	return err == nil
}
