package gossip

import (
	"cmp"
	"slices"
	"time"
)

// Message is a digest on its way to a VM.
type Message struct {
	To     string
	Digest *Digest
}

// Tell returns the messages of one period. own is what this VM does itself;
// its identity, kind and sequence are filled in.
func (c *Core) Tell(own Digest, now time.Time) []Message {
	c.sequence++
	c.forgetAfterPause(now)
	own.Identity, own.Kind, own.Sequence = c.self, Own, c.sequence
	if own.HolderAddress == "" {
		own.HolderAddress, own.HolderEnd, own.Fence = c.word.Address, c.word.End, max(own.Fence, c.word.Fence)
		own.HolderAgeMillis = uint64(max(now.Sub(c.word.At).Milliseconds(), 0))
	}
	if c.IsMesh(now) {
		return c.tellMesh(&own, now)
	}
	return c.tellHubs(&own, now)
}

// forgetAfterPause makes a VM that has stood still count on from what it hears
// next: what it missed has been counted by others.
func (c *Core) forgetAfterPause(now time.Time) {
	if !c.toldAt.IsZero() && now.Sub(c.toldAt) > c.cfg.Fresh {
		for _, p := range c.peers {
			p.told.reset()
			p.zoneTold.reset()
			p.allTold.reset()
		}
	}
	c.toldAt = now
}

// tellMesh tells every VM what this one does.
func (c *Core) tellMesh(own *Digest, now time.Time) []Message {
	if c.sequence%c.cfg.MembersEvery == 0 {
		own.Members = c.some(now)
	}
	var out []Message
	for _, p := range c.peers {
		if c.worthTelling(p, now) {
			out = append(out, Message{To: p.PeerAddress, Digest: own})
		}
	}
	return out
}

// maxListed bounds the members in the digest of a mesh.
const maxListed = 4

// some returns a few members in turn, so that all learn of all.
func (c *Core) some(now time.Time) []Member {
	var all []Member
	for _, p := range c.peers {
		if c.fresh(p.heardAt, now) {
			all = append(all, p.Member)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	if len(all) <= maxListed {
		return all
	}
	first := int(c.sequence/c.cfg.MembersEvery) * maxListed % len(all)
	return append(all, all...)[first : first+maxListed]
}

// worthTelling bounds what is sent to VMs that say nothing.
func (c *Core) worthTelling(p *peer, now time.Time) bool {
	if p.askedAt.IsZero() && !c.fresh(p.heardAt, now) {
		p.askedAt = now
	}
	if c.silent(p, now) && now.Sub(p.triedAt) < c.cfg.Retry {
		return false
	}
	if !p.heardAt.IsZero() && now.Sub(p.heardAt) > 4*c.cfg.Counts && now.Sub(p.triedAt) < 4*c.cfg.Retry {
		return false
	}
	p.triedAt = now
	return true
}

// tellHubs tells the zone's hubs what this VM does, and, where this VM is a hub,
// those of other zones and the VMs of its own what all do.
func (c *Core) tellHubs(own *Digest, now time.Time) []Message {
	var out []Message
	hubs := c.hubsOf(c.self.AvailabilityZone, now)
	for _, p := range hubs {
		if p.PeerAddress != c.self.PeerAddress && c.worthTelling(p, now) {
			out = append(out, Message{To: p.PeerAddress, Digest: own})
		}
	}
	out = append(out, c.greet(own, hubs, now)...)
	subscribers := c.subscribers(now)
	if len(subscribers) == 0 && !c.among(hubs) {
		return out
	}
	zone := c.sumZone(own, subscribers)
	for _, name := range c.zoneNames() {
		if name == c.self.AvailabilityZone {
			continue
		}
		for _, p := range c.hubsOf(name, now) {
			if c.worthTelling(p, now) {
				out = append(out, Message{To: p.PeerAddress, Digest: zone})
			}
		}
	}
	return append(out, c.tellSubscribers(own, zone, subscribers, now)...)
}

// greetings is the number of periods in which a VM that has started tells all of
// its zone that it is there.
const greetings = 3

// greet tells VMs of the zone what this one does that are not its hubs: all of
// them at first, and later those that were silent, as they may be back.
func (c *Core) greet(own *Digest, hubs []*peer, now time.Time) []Message {
	var out []Message
	for _, p := range c.peers {
		if p.AvailabilityZone != c.self.AvailabilityZone || slices.Contains(hubs, p) {
			continue
		}
		again := c.silent(p, now) && now.Sub(p.triedAt) >= c.cfg.Retry
		if c.sequence <= greetings || again {
			p.triedAt = now
			out = append(out, Message{To: p.PeerAddress, Digest: own})
		}
	}
	return out
}

// total adds up loads, quotas and work.
type total struct {
	loads  map[uint32]Load
	quotas map[uint32]uint64
	work   map[uint32]uint64
	moves  map[uint32]Move
	count  int
}

func newTotal() *total {
	return &total{loads: map[uint32]Load{}, quotas: map[uint32]uint64{}, work: map[uint32]uint64{}, moves: map[uint32]Move{}}
}

func (t *total) addLoads(loads []Load) {
	for _, l := range loads {
		x := t.loads[l.Server]
		t.loads[l.Server] = Load{Server: l.Server, Prefill: x.Prefill + l.Prefill, Running: x.Running + l.Running, Memory: x.Memory + l.Memory}
	}
}

// addMoves adds evidence about the newest order of each service.
func (t *total) addMoves(moves []Move) {
	for _, m := range moves {
		x, ok := t.moves[m.Service]
		if ok && x.Order > m.Order {
			continue
		}
		if x.Order < m.Order {
			x = Move{Service: m.Service, Order: m.Order}
		}
		x.Phase = max(x.Phase, m.Phase)
		x.New += m.New
		x.NewBad += m.NewBad
		x.Old += m.Old
		x.OldBad += m.OldBad
		t.moves[m.Service] = x
	}
}

func (t *total) addSums(x *totals) {
	for k, v := range x.quotas.all {
		t.quotas[k] += v
	}
	for k, v := range x.work.all {
		t.work[k] += v
	}
}

// addDigest adds all that a digest tells of so many VMs.
func (t *total) addDigest(d *Digest, count int) {
	t.addLoads(d.Loads)
	t.addMoves(d.Moves)
	for _, q := range d.Quotas {
		t.quotas[q.Workspace] += q.Total
	}
	for _, w := range d.Work {
		t.work[w.Service] += w.Millis
	}
	t.count += count
}

// digest writes the total into a copy of own, less what one VM added to it.
func (t *total) digest(own *Digest, kind Kind, without *peer) *Digest {
	d := *own
	d.Kind, d.Usage, d.Members = kind, nil, nil
	d.Loads, d.Quotas, d.Work, d.Moves = nil, nil, nil, nil
	d.Count = t.count
	for _, m := range t.moves {
		d.Moves = append(d.Moves, without.lessOwn(m))
	}
	less := map[uint32]Load{}
	if without != nil {
		d.Count--
		for _, l := range without.own.Loads {
			less[l.Server] = l
		}
	}
	for server, l := range t.loads {
		x := less[server]
		l.Prefill -= min(x.Prefill, l.Prefill)
		l.Running -= min(x.Running, l.Running)
		l.Memory -= min(x.Memory, l.Memory)
		if l.Running > 0 || l.Prefill > 0 {
			d.Loads = append(d.Loads, l)
		}
	}
	for k, v := range t.quotas {
		if without != nil {
			v -= min(without.told.quotas.all[k], v)
		}
		d.Quotas = append(d.Quotas, Quota{Workspace: k, Total: v})
	}
	for k, v := range t.work {
		if without != nil {
			v -= min(without.told.work.all[k], v)
		}
		d.Work = append(d.Work, Work{Service: k, Millis: v})
	}
	return &d
}

// sumZone sums what this VM and its subscribers do.
func (c *Core) sumZone(own *Digest, subscribers []*peer) *Digest {
	t := newTotal()
	t.addDigest(own, 1)
	for _, p := range subscribers {
		t.addLoads(p.own.Loads)
		t.addMoves(p.own.Moves)
		t.count++
	}
	// What a VM has told counts on while it is silent: sums only grow.
	for _, p := range c.peers {
		if p.AvailabilityZone == c.self.AvailabilityZone {
			t.addSums(&p.told)
		}
	}
	return t.digest(own, Zone, nil)
}

// lessOwn takes a VM's own evidence out of a sum.
func (p *peer) lessOwn(m Move) Move {
	if p == nil {
		return m
	}
	for _, x := range p.own.Moves {
		if x.Service == m.Service && x.Order == m.Order {
			m.New -= min(x.New, m.New)
			m.NewBad -= min(x.NewBad, m.NewBad)
			m.Old -= min(x.Old, m.Old)
			m.OldBad -= min(x.OldBad, m.OldBad)
		}
	}
	return m
}

func (c *Core) tellSubscribers(own, zone *Digest, subscribers []*peer, now time.Time) []Message {
	t := newTotal()
	t.addDigest(zone, zone.Count)
	for _, source := range c.zoneSource {
		if p := c.peers[source]; p != nil && c.fresh(p.zoneAt, now) {
			t.addLoads(p.zone.Loads)
			t.addMoves(p.zone.Moves)
			t.count += p.zone.Count
		}
	}
	for _, sums := range c.zones {
		t.addSums(sums)
	}
	var list []Member
	if c.sequence%c.cfg.MembersEvery == 0 {
		list = c.listing(own, subscribers, now)
	}
	var out []Message
	for _, p := range subscribers {
		d := t.digest(own, All, p)
		d.Members = list
		out = append(out, Message{To: p.PeerAddress, Digest: d})
	}
	return out
}

// listing returns the VMs of the zone, and hubs of the others.
func (c *Core) listing(own *Digest, subscribers []*peer, now time.Time) []Member {
	list := []Member{own.Member}
	for _, p := range subscribers {
		list = append(list, p.Member)
	}
	for _, source := range c.zoneSource {
		if p := c.peers[source]; p != nil && c.fresh(p.zoneAt, now) {
			list = append(list, p.Member)
		}
	}
	return list
}
