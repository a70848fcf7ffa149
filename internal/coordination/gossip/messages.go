package gossip

import (
	"cmp"
	"slices"
	"time"
)

// Message is a digest and the peer address of its receiver.
type Message struct {
	To     string
	Digest *Digest
}

// Tick returns the messages to send in one period. own is the state of this VM;
// Tick fills in its identity, kind and sequence and, unless this VM is the lease
// holder, the holder's last report.
func (c *Core) Tick(own Digest, now time.Time) []Message {
	c.sequence++
	c.noteSuspension(now)
	c.resetAfterPause(now)
	own.Identity, own.Kind, own.Sequence = c.self, Own, c.sequence
	if own.HolderAddress == "" {
		own.HolderAddress, own.HolderEnd, own.FencingToken = c.holder.Address, c.holder.End, max(own.FencingToken, c.holder.FencingToken)
		own.HolderAgeMillis = uint64(max(now.Sub(c.holder.At).Milliseconds(), 0))
	}
	if c.IsMesh(now) {
		return c.meshMessages(&own, now)
	}
	return c.hubMessages(&own, now)
}

// resetAfterPause discards the baselines of all totals after this VM's process was
// paused, so the next digests set new ones. Other VMs have counted the growth
// during the pause already; this VM must not count it as new.
func (c *Core) resetAfterPause(now time.Time) {
	if !c.lastTickAt.IsZero() && now.Sub(c.lastTickAt) > c.cfg.FreshTimeout {
		for _, p := range c.peers {
			p.ownTotals.reset()
			p.zoneTotals.reset()
			p.allTotals.reset()
		}
	}
	c.lastTickAt = now
}

// meshMessages returns a message with this VM's own digest to every peer.
func (c *Core) meshMessages(own *Digest, now time.Time) []Message {
	if c.sequence%c.cfg.MembersIntervalPeriods == 0 {
		own.Members = c.memberSample(now)
	}
	var out []Message
	for _, p := range c.peers {
		if c.allowSend(p, now) {
			out = append(out, Message{To: p.PeerAddress, Digest: own})
		}
	}
	return out
}

// maxListedMembers bounds the number of members in a digest of a mesh.
const maxListedMembers = 4

// memberSample returns up to maxListedMembers peers. It rotates through all of
// them, so every VM receives the addresses of all others.
func (c *Core) memberSample(now time.Time) []Member {
	var all []Member
	for _, p := range c.peers {
		if c.isFresh(p.lastReceivedAt, now) {
			all = append(all, p.Member)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	if len(all) <= maxListedMembers {
		return all
	}
	first := int(c.sequence/c.cfg.MembersIntervalPeriods) * maxListedMembers % len(all)
	return append(all, all...)[first : first+maxListedMembers]
}

// allowSend reports whether to send a digest to a peer now. It limits the rate
// of digests to VMs that do not answer, and records the attempt.
func (c *Core) allowSend(p *peer, now time.Time) bool {
	if p.unansweredSince.IsZero() && !c.isFresh(p.lastReceivedAt, now) {
		p.unansweredSince = now
	}
	if c.isUnresponsive(p, now) && now.Sub(p.lastSentAt) < c.cfg.RetryInterval {
		return false
	}
	if !p.lastReceivedAt.IsZero() && now.Sub(p.lastReceivedAt) > 4*c.cfg.CountTimeout && now.Sub(p.lastSentAt) < 4*c.cfg.RetryInterval {
		return false
	}
	p.lastSentAt = now
	return true
}

// hubMessages returns messages with this VM's own digest to the hubs of its zone.
// If this VM is a hub, it adds the zone's aggregate for the hubs of other zones
// and the aggregate over all VMs for the VMs of its zone.
func (c *Core) hubMessages(own *Digest, now time.Time) []Message {
	var out []Message
	hubs := c.hubsOf(c.self.AvailabilityZone, now)
	for _, p := range hubs {
		if p.PeerAddress != c.self.PeerAddress && c.allowSend(p, now) {
			out = append(out, Message{To: p.PeerAddress, Digest: own})
		}
	}
	out = append(out, c.zonePeerMessages(own, hubs, now)...)
	subscribers := c.subscribers(now)
	if len(subscribers) == 0 && !c.includesSelf(hubs) {
		return out
	}
	zone := c.zoneAggregate(own, subscribers)
	for _, name := range c.zoneNames(now) {
		if name == c.self.AvailabilityZone {
			continue
		}
		for _, p := range c.hubsOf(name, now) {
			if c.allowSend(p, now) {
				out = append(out, Message{To: p.PeerAddress, Digest: zone})
			}
		}
	}
	return append(out, c.subscriberMessages(own, zone, subscribers, now)...)
}

// introductionPeriods is the number of periods, after the start of a VM, in which
// it sends its digest to all VMs of its zone.
const introductionPeriods = 3

// zonePeerMessages returns messages with this VM's own digest to VMs of its zone
// that are not hubs: to all of them in the first periods, and later to the
// unresponsive ones, as they may have recovered.
func (c *Core) zonePeerMessages(own *Digest, hubs []*peer, now time.Time) []Message {
	var out []Message
	for _, p := range c.peers {
		if p.AvailabilityZone != c.self.AvailabilityZone || slices.Contains(hubs, p) {
			continue
		}
		retry := c.isUnresponsive(p, now) && now.Sub(p.lastSentAt) >= c.cfg.RetryInterval
		if c.sequence <= introductionPeriods || retry {
			p.lastSentAt = now
			out = append(out, Message{To: p.PeerAddress, Digest: own})
		}
	}
	return out
}

// aggregate sums up loads, quotas, work and the evidence of version moves.
type aggregate struct {
	loads    map[uint32]Load
	admitted map[uint32]uint64
	work     map[uint32]uint64
	moves    map[uint32]Move
	count    int
}

func newAggregate() *aggregate {
	return &aggregate{loads: map[uint32]Load{}, admitted: map[uint32]uint64{}, work: map[uint32]uint64{}, moves: map[uint32]Move{}}
}

func (a *aggregate) addLoads(loads []Load) {
	for _, l := range loads {
		x := a.loads[l.Server]
		a.loads[l.Server] = Load{
			Server: l.Server, PrefillTokens: x.PrefillTokens + l.PrefillTokens, Running: x.Running + l.Running, MemoryTokens: x.MemoryTokens + l.MemoryTokens,
			AnswerTokens: x.AnswerTokens + l.AnswerTokens,
			SpeedSamples: x.SpeedSamples + l.SpeedSamples, SpeedSum: x.SpeedSum + l.SpeedSum,
		}
	}
}

// addMoves adds the evidence of each service's newest order and drops that of
// older ones.
func (a *aggregate) addMoves(moves []Move) {
	for _, m := range moves {
		x, ok := a.moves[m.Service]
		if ok && x.Order > m.Order {
			continue
		}
		if x.Order < m.Order {
			x = Move{Service: m.Service, Order: m.Order}
		}
		x.Phase = max(x.Phase, m.Phase)
		x.NewAnswers += m.NewAnswers
		x.NewFailures += m.NewFailures
		x.OldAnswers += m.OldAnswers
		x.OldFailures += m.OldFailures
		x.NewTimed += m.NewTimed
		x.NewSlow += m.NewSlow
		x.OldTimed += m.OldTimed
		x.OldSlow += m.OldSlow
		x.NewSent += m.NewSent
		x.OldSent += m.OldSent
		a.moves[m.Service] = x
	}
}

func (a *aggregate) addTotals(x *totals) {
	for k, v := range x.admitted.totalGrowth {
		a.admitted[k] += v
	}
	for k, v := range x.work.totalGrowth {
		a.work[k] += v
	}
}

// addDigest adds a digest that covers count VMs.
func (a *aggregate) addDigest(d *Digest, count int) {
	a.addLoads(d.Loads)
	a.addMoves(d.Moves)
	for _, q := range d.AdmittedTotals {
		a.admitted[q.Workspace] += q.Total
	}
	for _, w := range d.Work {
		a.work[w.Service] += w.Millis
	}
	a.count += count
}

// digest returns a copy of own that holds the aggregate. The contribution of the
// peer excluded is left out, unless excluded is nil.
func (a *aggregate) digest(own *Digest, kind Kind, excluded *peer) *Digest {
	d := *own
	d.Kind, d.Usage, d.Members = kind, nil, nil
	d.Loads, d.AdmittedTotals, d.Work, d.Moves = nil, nil, nil, nil
	d.Count = a.count
	for _, m := range a.moves {
		d.Moves = append(d.Moves, excluded.withoutContribution(m))
	}
	excludedLoads := map[uint32]Load{}
	if excluded != nil {
		d.Count--
		for _, l := range excluded.ownDigest.Loads {
			excludedLoads[l.Server] = l
		}
	}
	for server, l := range a.loads {
		x := excludedLoads[server]
		l.PrefillTokens -= min(x.PrefillTokens, l.PrefillTokens)
		l.Running -= min(x.Running, l.Running)
		l.MemoryTokens -= min(x.MemoryTokens, l.MemoryTokens)
		l.AnswerTokens -= min(x.AnswerTokens, l.AnswerTokens)
		l.SpeedSamples -= min(x.SpeedSamples, l.SpeedSamples)
		l.SpeedSum -= min(x.SpeedSum, l.SpeedSum)
		if l.Running > 0 || l.PrefillTokens > 0 || l.SpeedSamples > 0 {
			d.Loads = append(d.Loads, l)
		}
	}
	for k, v := range a.admitted {
		if excluded != nil {
			v -= min(excluded.ownTotals.admitted.totalGrowth[k], v)
		}
		d.AdmittedTotals = append(d.AdmittedTotals, AdmittedTotal{Workspace: k, Total: v})
	}
	for k, v := range a.work {
		if excluded != nil {
			v -= min(excluded.ownTotals.work.totalGrowth[k], v)
		}
		d.Work = append(d.Work, Work{Service: k, Millis: v})
	}
	return &d
}

// zoneAggregate returns a digest with the aggregate over this VM and its
// subscribers.
func (c *Core) zoneAggregate(own *Digest, subscribers []*peer) *Digest {
	a := newAggregate()
	a.addDigest(own, 1)
	for _, p := range subscribers {
		a.addLoads(p.ownDigest.Loads)
		a.addMoves(p.ownDigest.Moves)
		a.count++
	}
	// The totals of an unresponsive VM stay included, as totals never decrease.
	for _, p := range c.peers {
		if p.AvailabilityZone == c.self.AvailabilityZone {
			a.addTotals(&p.ownTotals)
		}
	}
	return a.digest(own, Zone, nil)
}

// withoutContribution returns m without the evidence that the peer contributed. A
// nil peer leaves m unchanged.
func (p *peer) withoutContribution(m Move) Move {
	if p == nil {
		return m
	}
	for _, x := range p.ownDigest.Moves {
		if x.Service == m.Service && x.Order == m.Order {
			m.NewAnswers -= min(x.NewAnswers, m.NewAnswers)
			m.NewFailures -= min(x.NewFailures, m.NewFailures)
			m.OldAnswers -= min(x.OldAnswers, m.OldAnswers)
			m.OldFailures -= min(x.OldFailures, m.OldFailures)
			m.NewTimed -= min(x.NewTimed, m.NewTimed)
			m.NewSlow -= min(x.NewSlow, m.NewSlow)
			m.OldTimed -= min(x.OldTimed, m.OldTimed)
			m.OldSlow -= min(x.OldSlow, m.OldSlow)
			m.NewSent -= min(x.NewSent, m.NewSent)
			m.OldSent -= min(x.OldSent, m.OldSent)
		}
	}
	return m
}

// subscriberMessages returns messages with the aggregate over all VMs to the
// subscribers, each without the contribution of its receiver.
func (c *Core) subscriberMessages(own, zone *Digest, subscribers []*peer, now time.Time) []Message {
	a := newAggregate()
	a.addDigest(zone, zone.Count)
	for _, source := range c.zoneHubs {
		if p := c.peers[source]; p != nil && c.isFresh(p.zoneDigestAt, now) {
			a.addLoads(p.zoneDigest.Loads)
			a.addMoves(p.zoneDigest.Moves)
			a.count += p.zoneDigest.Count
		}
	}
	for _, sums := range c.zoneTotals {
		a.addTotals(sums)
	}
	var list []Member
	if c.sequence%c.cfg.MembersIntervalPeriods == 0 {
		list = c.memberList(own, subscribers, now)
	}
	documentAge := newerAge(own.DocumentAge, c.Confirmation(true, own.DocumentEnd, true).At, now)
	serversAge := newerAge(own.ServersAge, c.Confirmation(false, own.ServersEnd, true).At, now)
	hearsReader := c.hearsReader(now)
	var out []Message
	for _, p := range subscribers {
		d := a.digest(own, AllVMs, p)
		d.DocumentAge, d.ServersAge = documentAge, serversAge
		d.ReadsStore = own.ReadsStore || hearsReader
		d.Members = list
		out = append(out, Message{To: p.PeerAddress, Digest: d})
	}
	return out
}

// memberList returns this VM, its subscribers and the selected hubs of the other
// zones.
func (c *Core) memberList(own *Digest, subscribers []*peer, now time.Time) []Member {
	list := []Member{own.Member}
	for _, p := range subscribers {
		list = append(list, p.Member)
	}
	for _, source := range c.zoneHubs {
		if p := c.peers[source]; p != nil && c.isFresh(p.zoneDigestAt, now) {
			list = append(list, p.Member)
		}
	}
	return list
}
