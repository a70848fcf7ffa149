package gossip

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/freshness"
	"coltsfootpath.example/coltsfootpath/internal/coordination/singleton"
	"coltsfootpath.example/coltsfootpath/internal/state/storelog"
)

// Config bounds the gossip traffic and the times after which peers are treated
// as failed.
type Config struct {
	// MeshLimit is the maximum number of VMs that form a mesh.
	MeshLimit int
	// HubsPerZone is the number of hubs of a zone.
	HubsPerZone int
	// MinReaders is the number of VMs of a mesh that read the store at least, and
	// HubReaders the number of those that do where there are hubs, whatever the number of
	// zones. MaxIsolatedShare is the share of VMs that may be isolated from the store at
	// the same time.
	MinReaders       int
	HubReaders       int
	MaxIsolatedShare float64
	// FreshTimeout is the time without a digest of a VM after which it is no
	// longer considered reachable.
	FreshTimeout time.Duration
	// UnresponsiveTimeout is the time without an answer to digests after which
	// another VM replaces a hub.
	UnresponsiveTimeout time.Duration
	// CountTimeout is the time without a digest or a listing of a VM after which
	// it is no longer counted among the VMs that share limits.
	CountTimeout time.Duration
	// SharingTimeout is the time for which VMs that are no longer heard of are assumed to
	// use their shares of limits. It exceeds the partitions that are expected: the VMs on
	// the other side of one go on.
	SharingTimeout time.Duration
	// MaxTransit is an upper bound on the transit time of a digest.
	MaxTransit time.Duration
	// TopologyTimeout is the time without a digest or a listing of a VM after
	// which it no longer counts in the choice between a mesh and hubs.
	TopologyTimeout time.Duration
	// RetryInterval is the time between two digests to an unresponsive VM.
	RetryInterval time.Duration
	// MembersIntervalPeriods is the number of periods between two digests that
	// list members.
	MembersIntervalPeriods uint64
}

// DefaultConfig holds the default bounds.
var DefaultConfig = Config{
	MeshLimit:              16,
	HubsPerZone:            2,
	MinReaders:             3,
	HubReaders:             4,
	MaxIsolatedShare:       0.35,
	FreshTimeout:           1200 * time.Millisecond,
	UnresponsiveTimeout:    2 * time.Second,
	CountTimeout:           8 * time.Second,
	SharingTimeout:         30 * time.Second,
	MaxTransit:             150 * time.Millisecond,
	TopologyTimeout:        5 * time.Minute,
	RetryInterval:          time.Second,
	MembersIntervalPeriods: 5,
}

// peer is the state that this VM holds about another VM.
type peer struct {
	Member
	// hash orders VMs; every VM computes the same order.
	hash uint64
	// addedAt is the time at which this VM first received the peer's address,
	// lastReceivedAt that of the peer's last digest, and listedAt that of the
	// last digest in which another VM listed the peer.
	addedAt        time.Time
	lastReceivedAt time.Time
	listedAt       time.Time
	// unansweredSince is the time of the first digest that the peer has not
	// answered, zero if there is none. lastSentAt is the time of the last digest
	// sent to the peer.
	unansweredSince time.Time
	lastSentAt      time.Time

	// clockOffset is the peer's time of day when it sent the last digest that was applied,
	// less the time of its arrival.
	clockOffset time.Duration

	sequence     map[Kind]uint64
	incarnation  uint64
	ownDigest    *Digest
	ownDigestAt  time.Time
	zoneDigest   *Digest
	zoneDigestAt time.Time
	// readsStoreAt is the time of the last digest in which the peer stated that it reads the
	// store, and passesOnReadsAt that of the last one in which it stated, as a hub, that it
	// hears of a VM that does. They are zero once it has stated the opposite. The latter is
	// not passed on again.
	readsStoreAt    time.Time
	passesOnReadsAt time.Time
	documentEnd     storelog.Position
	serversEnd      storelog.Position
	// documentConfirmations and serversConfirmations are the last times at which the
	// store confirmed what the peer has read.
	documentConfirmations, serversConfirmations confirmations

	// ownTotals are the totals of the peer itself since this VM's first digest
	// from it, over all incarnations of the peer. zoneTotals and allTotals track
	// the totals that it reports as a hub.
	ownTotals, zoneTotals, allTotals totals
	allDigestAt                      time.Time
}

// confirmed states that the store had no records of a topic beyond end at a time.
type confirmed struct {
	at  time.Time
	end storelog.Position
}

// confirmations holds what a peer's own read has confirmed last, and what the peer has
// passed on from others as a hub.
type confirmations struct{ own, relayed confirmed }

func (c *confirmations) receive(age ConfirmationAge, end storelog.Position, kind Kind, now time.Time) {
	if !age.Known {
		return
	}
	at := now.Add(-time.Duration(age.Millis) * time.Millisecond)
	last := &c.own
	if kind == AllVMs {
		last = &c.relayed
	}
	if at.After(last.at) {
		*last = confirmed{at, end}
	}
}

// counters converts totals that restart from zero with each incarnation of the
// sender into totals that never decrease. highestTotals holds the highest total
// received for each key since the last reset, and totalGrowth the growth of each
// key since the start.
type counters struct {
	highestTotals map[uint32]uint64
	totalGrowth   map[uint32]uint64
}

// observe records a total and returns its growth over the previous maximum, or 0
// if the total is a baseline. An aggregate over VMs shrinks while one of them is
// unresponsive, and a quota's total shrinks on a refund. Growth back to the
// previous maximum must not be counted again.
func (c *counters) observe(key uint32, total uint64, isBaseline bool) uint64 {
	if c.highestTotals == nil {
		c.highestTotals = map[uint32]uint64{}
	}
	previousTotal := c.highestTotals[key]
	if total <= previousTotal {
		return 0
	}
	c.highestTotals[key] = total
	if isBaseline {
		return 0
	}
	return total - previousTotal
}

func (c *counters) add(key uint32, growth uint64) {
	if c.totalGrowth == nil {
		c.totalGrowth = map[uint32]uint64{}
	}
	c.totalGrowth[key] += growth
}

// totals holds the counters of the workspaces' quotas and the services' work.
type totals struct {
	admitted, work counters
	// unselectedAdmitted is the growth since the last digest of the selected source, if
	// these are the totals of another one.
	unselectedAdmitted map[uint32]uint64
	// hasAdmittedBaseline and hasWorkBaseline are true once a digest has been
	// accumulated. The totals of the first digest are the baseline for the later
	// ones; a key that is missing from it counts from zero.
	hasAdmittedBaseline, hasWorkBaseline bool
}

// reset discards the baselines. The next digest sets new ones.
func (t *totals) reset() {
	t.admitted.highestTotals, t.work.highestTotals = nil, nil
	t.hasAdmittedBaseline, t.hasWorkBaseline = false, false
	t.unselectedAdmitted = nil
}

// restart lets the totals of a sender's new process count from zero. If the sender has not
// reported before, the next digest sets new baselines.
func (t *totals) restart() {
	t.admitted.highestTotals, t.work.highestTotals = nil, nil
}

// accumulate records the totals of a digest and adds their growth to into, which
// is nil for a sender that is not the selected source. Its totals are recorded
// nevertheless, so that no growth is lost or counted twice once it is selected. It reports
// whether what was admitted since the last digest of the selected source is known.
func (t *totals) accumulate(d *Digest, into *totals) (isKnown bool) {
	isBaseline := !t.hasAdmittedBaseline
	t.hasAdmittedBaseline = true
	for _, q := range d.AdmittedTotals {
		growth := t.admitted.observe(q.Workspace, q.Total, isBaseline)
		if into == nil {
			t.addUnselected(q.Workspace, growth)
			continue
		}
		into.admitted.add(q.Workspace, growth+t.unselectedAdmitted[q.Workspace])
		delete(t.unselectedAdmitted, q.Workspace)
	}
	t.accumulateWork(d, into)
	return !isBaseline
}

func (t *totals) addUnselected(workspace uint32, growth uint64) {
	if t.unselectedAdmitted == nil {
		t.unselectedAdmitted = map[uint32]uint64{}
	}
	t.unselectedAdmitted[workspace] += growth
}

func (t *totals) accumulateWork(d *Digest, into *totals) {
	if len(d.Work) == 0 {
		return
	}
	isBaseline := !t.hasWorkBaseline
	t.hasWorkBaseline = true
	for _, w := range d.Work {
		if growth := t.work.observe(w.Service, w.Millis, isBaseline); into != nil {
			into.work.add(w.Service, growth)
		}
	}
}

// entries returns the accumulated totals in the form used by Digest and Update.
func (t *totals) entries() ([]AdmittedTotal, []Work) {
	var quotas []AdmittedTotal
	for k, v := range t.admitted.totalGrowth {
		quotas = append(quotas, AdmittedTotal{Workspace: k, Total: v})
	}
	var work []Work
	for k, v := range t.work.totalGrowth {
		work = append(work, Work{Service: k, Millis: v})
	}
	return quotas, work
}

// Update is the part of a digest that this VM's tables consume. A later update
// replaces an earlier one with the same key. Its quotas and work are totals that
// never decrease, whichever peer reported them.
type Update struct {
	Key            string
	Loads          []Load
	AdmittedTotals []AdmittedTotal
	// LacksAdmitted is true if AdmittedTotals lack what was admitted since the last update,
	// as the digest is the first one of its source.
	LacksAdmitted bool
	Work          []Work
	Moves         []Move
}

// Core is one VM's view of the deployment. It is not safe for concurrent use.
type Core struct {
	cfg        Config
	self       Identity
	hash       uint64
	lastTickAt time.Time
	// queuedUntil is the end of the time after a suspension in which digests may arrive that
	// were sent during it.
	queuedUntil time.Time
	peers       map[string]*peer
	// heard holds the peers from which a digest has ever arrived. With hubs they are few.
	heard []*peer
	// shape is valid for shapeTTL after shapedAt, unless a change of the peers has
	// made it zero.
	shape    shape
	shapedAt time.Time
	sequence uint64
	// allHub is the peer address of the hub whose All digests this VM uses,
	// allReceivedAt the time of the last one, and allCount the number of VMs that
	// it covers, this one included.
	allHub        string
	allReceivedAt time.Time
	allCount      int
	// statedCount is the number of VMs that a hub's All digest covered last, this one
	// included, and statedAt its time. Unlike allCount it is kept while this VM uses no All
	// digests, as a VM may know fewer others than there are.
	statedCount int
	statedAt    time.Time
	// zoneHubs holds for each other zone the peer address of the hub whose Zone
	// digests this VM uses, zoneTotals the totals accumulated from them, and
	// allTotals those accumulated from the digests of allHub.
	zoneHubs   map[string]string
	zoneTotals map[string]*totals
	allTotals  totals
	holder     HolderReport
	// heldCount is the largest number of VMs that have shared limits within
	// SharingTimeout, this one included. It was last reached at heldAt.
	heldCount int
	heldAt    time.Time
}

// New returns the core of the VM self, without peers.
func New(cfg Config, self Identity) *Core {
	return &Core{cfg: cfg, self: self, hash: hash(self.VM), peers: map[string]*peer{}, zoneHubs: map[string]string{}, zoneTotals: map[string]*totals{}}
}

// shape is what follows from the list of peers: whether the deployment is a mesh, and the order
// of the VMs of each zone. Every digest and every read asks for it.
type shape struct {
	isMesh bool
	zones  []string
	orders map[string][]*peer
}

// shapeTTL bounds the age of a shape. A VM becomes unresponsive, or is no longer counted, by
// the passage of time alone.
const shapeTTL = 100 * time.Millisecond

// currentShape returns the shape at now.
func (c *Core) currentShape(now time.Time) *shape {
	if age := now.Sub(c.shapedAt); c.shapedAt.IsZero() || age < 0 || age >= shapeTTL {
		c.shape = shape{isMesh: c.computeIsMesh(now), zones: c.computeZoneNames(), orders: map[string][]*peer{}}
		c.shapedAt = now
	}
	return &c.shape
}

// reshape makes the next call compute the shape anew.
func (c *Core) reshape() { c.shapedAt = time.Time{} }

// AddPeer adds a VM from a member list, unless it is this VM or is present already.
func (c *Core) AddPeer(id Identity, now time.Time) {
	if id.PeerAddress == "" || id.PeerAddress == c.self.PeerAddress {
		return
	}
	p, ok := c.peers[id.PeerAddress]
	if !ok {
		c.peers[id.PeerAddress] = &peer{Member: Member{Identity: id}, hash: hash(id.VM), addedAt: now, sequence: map[Kind]uint64{}}
		c.reshape()
		return
	}
	if p.VM == "" {
		c.setMember(p, Member{Identity: id})
	}
}

func (c *Core) setMember(p *peer, m Member) {
	if p.VM != m.VM {
		p.hash = hash(m.VM)
	}
	if p.VM != m.VM || p.AvailabilityZone != m.AvailabilityZone || p.LinkMbps != m.LinkMbps || p.Draining != m.Draining {
		c.reshape()
	}
	p.Member = m
}

func (p *peer) lastSeenAt() time.Time {
	latest := p.addedAt
	for _, at := range []time.Time{p.lastReceivedAt, p.listedAt} {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

func (c *Core) isFresh(at, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) < c.cfg.FreshTimeout
}

// Count returns the number of VMs that share limits, this one included. It is
// the count reported by this VM's hub, the sum over the zones if this VM is a
// hub, or otherwise one plus the number of peers seen within CountTimeout.
func (c *Core) Count(now time.Time) int {
	if c.isFresh(c.allReceivedAt, now) {
		return max(c.allCount, 1)
	}
	zoneVMs, otherZoneVMs := 1, 0
	knownVMs := 1
	for _, p := range c.peers {
		if now.Sub(p.lastSeenAt()) < c.cfg.CountTimeout {
			knownVMs++
		}
		if p.AvailabilityZone == c.self.AvailabilityZone && c.isFresh(p.ownDigestAt, now) {
			zoneVMs++
		}
	}
	for _, source := range c.zoneHubs {
		if p := c.peers[source]; p != nil && c.isFresh(p.zoneDigestAt, now) {
			otherZoneVMs += p.zoneDigest.Count
		}
	}
	if otherZoneVMs == 0 {
		return knownVMs
	}
	return zoneVMs + otherZoneVMs
}

// IsMesh reports whether every VM sends digests to every other VM. Unresponsive
// VMs are counted for TopologyTimeout, so that a fault does not switch between a
// mesh and hubs.
func (c *Core) IsMesh(now time.Time) bool { return c.currentShape(now).isMesh }

func (c *Core) computeIsMesh(now time.Time) bool {
	knownVMs := 1
	for _, p := range c.peers {
		if now.Sub(p.lastSeenAt()) < c.cfg.TopologyTimeout {
			knownVMs++
		}
	}
	if !c.statedAt.IsZero() && now.Sub(c.statedAt) < c.cfg.TopologyTimeout {
		knownVMs = max(knownVMs, c.statedCount)
	}
	return max(knownVMs, c.Count(now)) <= c.cfg.MeshLimit
}

// Receive applies a digest, unless it is older than one already applied. It returns
// the update in it, with an empty key if there is none, and whether the digest
// was applied.
func (c *Core) Receive(d *Digest, now time.Time) (Update, bool) {
	// What a kind of a later release covers is not known.
	if d.VM == c.self.VM || d.PeerAddress == c.self.PeerAddress || d.Kind < Own || d.Kind > AllVMs {
		return Update{}, false
	}
	c.AddPeer(d.Identity, now)
	p := c.peers[d.PeerAddress]
	if d.Incarnation < p.incarnation {
		return Update{}, false
	}
	if d.Incarnation > p.incarnation {
		p.incarnation = d.Incarnation
		p.sequence = map[Kind]uint64{}
		p.ownTotals.restart()
		p.zoneTotals.reset()
		p.allTotals.reset()
	}
	if d.Sequence <= p.sequence[d.Kind] || c.isQueued(p, d, now) {
		return Update{}, false
	}
	p.sequence[d.Kind] = d.Sequence
	c.setMember(p, d.Member)
	if p.lastReceivedAt.IsZero() {
		c.heard = append(c.heard, p)
	}
	if c.isUnresponsive(p, now) {
		c.reshape()
	}
	p.lastReceivedAt, p.unansweredSince = now, time.Time{}
	statedAt := time.Time{}
	if d.ReadsStore {
		statedAt = now
	}
	if d.Kind == AllVMs {
		p.passesOnReadsAt = statedAt
	} else {
		p.readsStoreAt = statedAt
	}
	p.documentEnd, p.serversEnd = d.DocumentEnd, d.ServersEnd
	p.documentConfirmations.receive(d.DocumentAge, d.DocumentEnd, d.Kind, now)
	p.serversConfirmations.receive(d.ServersAge, d.ServersEnd, d.Kind, now)
	c.receiveHolder(d, now)
	for _, m := range d.Members {
		c.AddPeer(m.Identity, now)
		if q, ok := c.peers[m.PeerAddress]; ok {
			q.listedAt = now
			if !c.isFresh(q.lastReceivedAt, now) {
				c.setMember(q, m)
			}
		}
	}
	return c.apply(p, d, now)
}

func (c *Core) receiveHolder(d *Digest, now time.Time) {
	if d.FencingToken < c.holder.FencingToken || d.HolderAddress == "" {
		return
	}
	at := now.Add(-time.Duration(d.HolderAgeMillis) * time.Millisecond)
	// The reported age lacks the transit time of the digest. A report with the
	// current token is accepted only if it is more than MaxTransit newer.
	// Otherwise a report that VMs relay to each other in a circle would appear
	// recent indefinitely.
	if d.FencingToken > c.holder.FencingToken || at.Sub(c.holder.At) > c.cfg.MaxTransit {
		c.holder = HolderReport{Address: d.HolderAddress, HolderReport: singleton.HolderReport{FencingToken: d.FencingToken, End: d.HolderEnd, At: at}}
	}
}

// HolderReport is the last report of the lease holder, with its peer address.
type HolderReport struct {
	Address string
	singleton.HolderReport
}

// Holder returns the newest report of the holder with the highest fencing token.
func (c *Core) Holder() HolderReport { return c.holder }

func (c *Core) apply(p *peer, d *Digest, now time.Time) (Update, bool) {
	switch d.Kind {
	case Own:
		if !p.ownDigestAt.IsZero() && !c.isFresh(p.ownDigestAt, now) {
			// Meanwhile the peer was assumed to use its share.
			p.ownTotals.reset()
		}
		p.ownDigest, p.ownDigestAt = d, now
		isKnown := p.ownTotals.accumulate(d, &p.ownTotals)
		return updateOf(d.VM, d, &p.ownTotals, isKnown), true
	case Zone:
		return c.applyZoneDigest(p, d, now), true
	}
	return c.applyAllDigest(p, d, now), true
}

func updateOf(key string, d *Digest, sums *totals, isKnown bool) Update {
	u := Update{Key: key, Loads: d.Loads, Moves: d.Moves, LacksAdmitted: !isKnown}
	u.AdmittedTotals, u.Work = sums.entries()
	return u
}

// applyZoneDigest applies the aggregate of another zone. It uses the digests of
// only one hub of that zone at a time and returns an empty update for those of
// others.
func (c *Core) applyZoneDigest(p *peer, d *Digest, now time.Time) Update {
	zone := d.AvailabilityZone
	wasFresh := c.isFresh(p.zoneDigestAt, now)
	p.zoneDigest, p.zoneDigestAt = d, now
	if source := c.zoneHubs[zone]; source != d.PeerAddress {
		if !wasFresh {
			// The growth since its last digest was counted from the other hub's
			// digests.
			p.zoneTotals.reset()
		}
		if old := c.peers[source]; old != nil && c.isFresh(old.zoneDigestAt, now) {
			p.zoneTotals.accumulate(d, nil)
			return Update{}
		}
		c.zoneHubs[zone] = d.PeerAddress
	}
	if c.zoneTotals[zone] == nil {
		c.zoneTotals[zone] = &totals{}
	}
	isKnown := p.zoneTotals.accumulate(d, c.zoneTotals[zone])
	c.forgetUnselected(d.PeerAddress, zone)
	return updateOf("zone:"+zone, d, c.zoneTotals[zone], isKnown)
}

// forgetUnselected lets the growth that other hubs of a zone report count from now on, as
// the selected one has just reported it.
func (c *Core) forgetUnselected(selected, zone string) {
	for _, p := range c.heard {
		if p.AvailabilityZone != zone || p.PeerAddress == selected {
			continue
		}
		if zone == c.self.AvailabilityZone {
			clear(p.allTotals.unselectedAdmitted)
		} else {
			clear(p.zoneTotals.unselectedAdmitted)
		}
	}
}

// applyAllDigest applies the aggregate over all VMs. It uses the digests of only
// one hub of this VM's zone at a time and returns an empty update for those of
// others, and in a mesh or on a hub.
func (c *Core) applyAllDigest(p *peer, d *Digest, now time.Time) Update {
	if c.allHub != d.PeerAddress && !c.isFresh(p.allDigestAt, now) {
		p.allTotals.reset()
	}
	p.allDigestAt = now
	if c.statedCount != d.Count+1 {
		c.statedCount = d.Count + 1
		c.reshape()
	}
	c.statedAt = now
	if c.IsMesh(now) || c.isHub(now) {
		p.allTotals.accumulate(d, nil)
		c.allReceivedAt = time.Time{}
		return Update{}
	}
	if c.allHub != d.PeerAddress {
		if old := c.peers[c.allHub]; old != nil && c.isFresh(c.allReceivedAt, now) {
			p.allTotals.accumulate(d, nil)
			return Update{}
		}
		c.allHub = d.PeerAddress
	}
	c.allReceivedAt, c.allCount = now, d.Count+1
	isKnown := p.allTotals.accumulate(d, &c.allTotals)
	c.forgetUnselected(d.PeerAddress, c.self.AvailabilityZone)
	return updateOf("all", d, &c.allTotals, isKnown)
}

// subscribers returns the VMs of this zone that send their Own digests to this VM.
func (c *Core) subscribers(now time.Time) []*peer {
	var out []*peer
	for _, p := range c.heard {
		if p.AvailabilityZone == c.self.AvailabilityZone && c.isFresh(p.ownDigestAt, now) {
			out = append(out, p)
		}
	}
	return out
}

// hubsOf returns the hubs of a zone: the first VMs of its order.
func (c *Core) hubsOf(zone string, now time.Time) []*peer {
	list := c.orderOf(zone, now)
	return list[:min(len(list), c.cfg.HubsPerZone)]
}

// orderOf returns the VMs of a zone, those with the highest link bandwidth first, in
// the same order on every VM that has the same peers. Draining and unresponsive
// VMs are skipped.
func (c *Core) orderOf(zone string, now time.Time) []*peer {
	shape := c.currentShape(now)
	list, ok := shape.orders[zone]
	if !ok {
		list = c.computeOrder(zone, now)
		shape.orders[zone] = list
	}
	return list
}

func (c *Core) computeOrder(zone string, now time.Time) []*peer {
	var list []*peer
	if zone == c.self.AvailabilityZone {
		list = append(list, &peer{Member: Member{Identity: c.self}, hash: c.hash, lastReceivedAt: now})
	}
	for _, p := range c.peers {
		if p.AvailabilityZone == zone && !p.Draining && !c.isUnresponsive(p, now) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.hash, b.hash), cmp.Compare(a.PeerAddress, b.PeerAddress))
	})
	return list
}

// isUnresponsive reports whether a peer has left digests unanswered for longer
// than UnresponsiveTimeout.
func (c *Core) isUnresponsive(p *peer, now time.Time) bool {
	return !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) > c.cfg.UnresponsiveTimeout
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// zoneNames returns the zones of all VMs, in order.
func (c *Core) zoneNames(now time.Time) []string { return c.currentShape(now).zones }

func (c *Core) computeZoneNames() []string {
	seen := map[string]bool{c.self.AvailabilityZone: true}
	for _, p := range c.peers {
		if p.AvailabilityZone != "" {
			seen[p.AvailabilityZone] = true
		}
	}
	out := make([]string, 0, len(seen))
	for z := range seen {
		out = append(out, z)
	}
	slices.Sort(out)
	return out
}

// isHub reports whether this VM is one of the hubs of its zone.
func (c *Core) isHub(now time.Time) bool {
	return c.includesSelf(c.hubsOf(c.self.AvailabilityZone, now))
}

// includesSelf reports whether list contains this VM.
func (c *Core) includesSelf(list []*peer) bool {
	return slices.ContainsFunc(list, func(p *peer) bool { return p.PeerAddress == c.self.PeerAddress })
}

// IsReader reports whether this VM must read the store on behalf of others.
func (c *Core) IsReader(now time.Time) bool { return c.ReaderRole(now).IsReader }

// ReaderRole returns this VM's part in reading the store on behalf of others.
func (c *Core) ReaderRole(now time.Time) freshness.Role {
	r := freshness.Role{Spread: float64(c.hash%spreadSteps) / spreadSteps}
	if !c.IsMesh(now) {
		// The first VM of each zone is in turn before the second of any. The other VMs
		// learn of new records from digests, and ask the store themselves if nothing
		// confirms that there are none, so more readers would only add calls.
		zones := c.zoneNames(now)
		r.Readers = c.cfg.HubReaders
		place := slices.IndexFunc(c.orderOf(c.self.AvailabilityZone, now), func(p *peer) bool { return p.PeerAddress == c.self.PeerAddress })
		r.Rank = max(place, 0)*len(zones) + slices.Index(zones, c.self.AvailabilityZone)
		r.IsReader = place >= 0 && r.Rank < r.Readers
		return r
	}
	vms := 1
	for _, p := range c.peers {
		if !c.isFresh(p.lastReceivedAt, now) || p.Draining {
			continue
		}
		vms++
		if p.hash < c.hash {
			r.Rank++
		}
	}
	r.Readers = min(c.meshReaders(), vms)
	r.IsReader = r.Rank < c.meshReaders()
	return r
}

// spreadSteps is the number of values of freshness.Role.Spread.
const spreadSteps = 1024

// meshReaders returns the number of VMs of a mesh that read the store. A VM that is
// isolated from the store reports itself as a reader until its pending read ends,
// so there are more readers than VMs that may be isolated at the same time.
func (c *Core) meshReaders() int {
	return max(c.cfg.MinReaders, int(c.cfg.MaxIsolatedShare*float64(len(c.peers)+1))+2)
}

// HasStoreReader reports whether this VM has received a digest within FreshTimeout
// from a VM that reads the store, or from a hub that has.
func (c *Core) HasStoreReader(now time.Time) bool {
	return slices.ContainsFunc(c.heard, func(p *peer) bool {
		return c.isFresh(p.readsStoreAt, now) || c.isFresh(p.passesOnReadsAt, now)
	})
}

// hearsReader reports whether this VM has received a digest within FreshTimeout from a VM that
// reads the store itself.
func (c *Core) hearsReader(now time.Time) bool {
	return slices.ContainsFunc(c.heard, func(p *peer) bool { return c.isFresh(p.readsStoreAt, now) })
}

// IsReachable reports whether this VM has received a digest of the VM at address, with
// this incarnation, within FreshTimeout.
func (c *Core) IsReachable(address string, incarnation uint64, now time.Time) bool {
	p := c.peers[address]
	return p != nil && p.incarnation == incarnation && c.isFresh(p.lastReceivedAt, now)
}

// IsComplete reports whether this VM receives the state of all VMs that were seen
// within TopologyTimeout: in a mesh from each, otherwise from a hub of its zone or,
// on a hub, from its zone's VMs and from a hub of each other zone.
func (c *Core) IsComplete(now time.Time) bool {
	mesh := c.IsMesh(now)
	if !mesh && !c.isHub(now) {
		return c.isFresh(c.allReceivedAt, now)
	}
	for _, p := range c.peers {
		if p.Draining || now.Sub(p.lastSeenAt()) >= c.cfg.TopologyTimeout {
			continue
		}
		if (mesh || p.AvailabilityZone == c.self.AvailabilityZone) && !c.isFresh(p.lastReceivedAt, now) {
			return false
		}
		if source := c.peers[c.zoneHubs[p.AvailabilityZone]]; !mesh && p.AvailabilityZone != c.self.AvailabilityZone && (source == nil || !c.isFresh(source.zoneDigestAt, now)) {
			return false
		}
	}
	return true
}

// FurthestReader returns the address of the peer that has read furthest in the
// document topic or, if inDocumentTopic is false, in the servers topic, and the
// end offset up to which it has read.
func (c *Core) FurthestReader(inDocumentTopic bool, now time.Time) (address string, end storelog.Position) {
	var best *peer
	for _, p := range c.heard {
		if !c.isFresh(p.lastReceivedAt, now) {
			continue
		}
		at := p.serversEnd
		if inDocumentTopic {
			at = p.documentEnd
		}
		if at > end || at == end && at > 0 && c.isPreferred(p, best) {
			best, end = p, at
		}
	}
	if best == nil {
		return "", 0
	}
	return best.PeerAddress, end
}

// ReadersBeyond returns the addresses of at most count peers that have read the document topic
// or, if inDocumentTopic is false, the servers topic further than end. Those that have read
// furthest come first.
func (c *Core) ReadersBeyond(inDocumentTopic bool, end storelog.Position, count int, now time.Time) []string {
	readEnd := func(p *peer) storelog.Position {
		if inDocumentTopic {
			return p.documentEnd
		}
		return p.serversEnd
	}
	var beyond []*peer
	for _, p := range c.heard {
		if c.isFresh(p.lastReceivedAt, now) && readEnd(p) > end {
			beyond = append(beyond, p)
		}
	}
	slices.SortFunc(beyond, func(p, q *peer) int {
		if order := cmp.Compare(readEnd(q), readEnd(p)); order != 0 || p == q {
			return order
		}
		if c.isPreferred(p, q) {
			return -1
		}
		return 1
	})
	var out []string
	for _, p := range beyond[:min(count, len(beyond))] {
		out = append(out, p.PeerAddress)
	}
	return out
}

// isPreferred reports whether this VM asks p rather than q for records that both have: VMs of
// its own zone first, and others than other VMs ask, as all may ask at the same time.
func (c *Core) isPreferred(p, q *peer) bool {
	if here := p.AvailabilityZone == c.self.AvailabilityZone; here != (q.AvailabilityZone == c.self.AvailabilityZone) {
		return here
	}
	return cmp.Or(cmp.Compare(p.hash^c.hash, q.hash^c.hash), cmp.Compare(p.PeerAddress, q.PeerAddress)) < 0
}

// Confirmation is the last time at which the store has confirmed a copy of a topic, and the
// VM that has told so.
type Confirmation struct {
	At time.Time
	VM string
}

// Confirmation returns the last time, as far as peers have told, at which the store had no
// records of a topic beyond end. If isOwn is true, times that hubs have passed on from others
// do not count; only those may be passed on, so that none goes round in a circle and loses
// its age on the way.
func (c *Core) Confirmation(inDocumentTopic bool, end storelog.Position, isOwn bool) Confirmation {
	var last Confirmation
	for _, p := range c.heard {
		told := &p.serversConfirmations
		if inDocumentTopic {
			told = &p.documentConfirmations
		}
		last.update(p, told.own, end)
		if !isOwn {
			last.update(p, told.relayed, end)
		}
	}
	return last
}

func (c *Confirmation) update(p *peer, told confirmed, end storelog.Position) {
	if told.end.Era() == end.Era() && told.end <= end && told.at.After(c.At) {
		*c = Confirmation{At: told.at, VM: p.VM}
	}
}

// AgeOf returns the age of a confirmation.
func AgeOf(at, now time.Time) ConfirmationAge {
	if at.IsZero() {
		return ConfirmationAge{}
	}
	return ConfirmationAge{Known: true, Millis: uint64(max(now.Sub(at).Milliseconds(), 0))}
}

// newerAge returns the age of the later one of two confirmations.
func newerAge(age ConfirmationAge, at, now time.Time) ConfirmationAge {
	other := AgeOf(at, now)
	if !age.Known || other.Known && other.Millis < age.Millis {
		return other
	}
	return age
}

// ServingPeers returns the ready peers to which callers may connect.
func (c *Core) ServingPeers(now time.Time) []Member {
	var out []Member
	for _, p := range c.peers {
		relayed := c.isFresh(p.lastReceivedAt, now) || !p.listedAt.IsZero() && now.Sub(p.listedAt) < 2*c.cfg.FreshTimeout
		if relayed && p.Ready && !p.Draining && p.CallerAddress != "" {
			out = append(out, p.Member)
		}
	}
	return out
}

// VMCounts returns, by Update.Key, the number of VMs that the updates with this key
// cover. Keys whose updates are no longer used at now are missing.
func (c *Core) VMCounts(now time.Time) map[string]int {
	out := map[string]int{}
	if c.isFresh(c.allReceivedAt, now) {
		out["all"] = max(c.allCount-1, 1)
		return out
	}
	mesh := c.IsMesh(now)
	for _, p := range c.peers {
		if p.VM == "" || now.Sub(p.lastSeenAt()) >= c.cfg.CountTimeout {
			continue
		}
		if mesh || p.AvailabilityZone == c.self.AvailabilityZone {
			out[p.VM] = 1
		} else {
			out["zone:"+p.AvailabilityZone]++
		}
	}
	if mesh {
		return out
	}
	for zone, source := range c.zoneHubs {
		if p := c.peers[source]; p != nil && c.isFresh(p.zoneDigestAt, now) {
			out["zone:"+zone] = max(p.zoneDigest.Count, 1)
		}
	}
	return out
}

// SilentVMs is the key of LimitCounts for VMs that are not heard of.
const SilentVMs = "silent"

// LimitCounts returns VMCounts with the VMs that share limits although nothing has been heard
// of them, within SharingTimeout, under SilentVMs. A VM that hears of no other one goes on to
// count all of them.
func (c *Core) LimitCounts(now time.Time) map[string]int {
	out := c.VMCounts(now)
	count := 1
	for _, n := range out {
		count += n
	}
	if count >= c.heldCount || now.Sub(c.heldAt) > c.cfg.SharingTimeout && c.hearsAny(now) {
		c.heldCount, c.heldAt = count, now
	}
	if silent := c.heldCount - count; silent > 0 {
		out[SilentVMs] = silent
	}
	return out
}

// hearsAny reports whether a digest of another VM has arrived within FreshTimeout.
func (c *Core) hearsAny(now time.Time) bool {
	return slices.ContainsFunc(c.heard, func(p *peer) bool { return c.isFresh(p.lastReceivedAt, now) })
}
