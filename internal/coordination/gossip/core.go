package gossip

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/duty"
)

// Config bounds the traffic.
type Config struct {
	// MeshLimit is the largest number of VMs that form a mesh.
	MeshLimit int
	// Hubs is the number of hubs of a zone, which read the store. Readers is the
	// least number of VMs of a mesh that do, and CutShare the share of VMs that may
	// be cut off from the store together.
	Hubs     int
	Readers  int
	CutShare float64
	// Fresh is how long a VM that tells nothing is taken to be there.
	Fresh time.Duration
	// Silent is how long a VM that is told things may say nothing before another
	// takes its part.
	Silent time.Duration
	// Counts is how long a silent VM is counted among those that share limits.
	Counts time.Duration
	// Transit is more than a digest takes on its way.
	Transit time.Duration
	// Remember is how long a silent VM counts for the form of the deployment.
	Remember time.Duration
	// Retry is how often a silent VM is told something all the same.
	Retry time.Duration
	// MembersEvery is the number of digests between two that list members.
	MembersEvery uint64
}

// DefaultConfig holds the bounds used where nothing else is set.
var DefaultConfig = Config{
	MeshLimit:    16,
	Hubs:         2,
	Readers:      3,
	CutShare:     0.35,
	Fresh:        1200 * time.Millisecond,
	Silent:       2 * time.Second,
	Counts:       8 * time.Second,
	Transit:      150 * time.Millisecond,
	Remember:     5 * time.Minute,
	Retry:        time.Second,
	MembersEvery: 5,
}

// peer is what this VM knows of another one.
type peer struct {
	Member
	// hash orders VMs alike for all.
	hash uint64
	// addedAt is when the VM was first heard of, heardAt when it last told
	// something, relayedAt when a hub last listed it.
	addedAt   time.Time
	heardAt   time.Time
	relayedAt time.Time
	// askedAt is when this VM began to tell a silent one, triedAt when it last
	// did.
	askedAt time.Time
	triedAt time.Time

	sequence    map[Kind]uint64
	incarnation uint64
	own         *Digest
	ownAt       time.Time
	zone        *Digest
	zoneAt      time.Time
	reads       bool
	document    uint64
	servers     uint64

	// told are the totals of what the peer does itself, since this VM first heard
	// of it and over all of the peer's lives; zoneTold and allTold follow those
	// that it tells as a hub.
	told, zoneTold, allTold totals
	allAt                   time.Time
}

// sums turns totals that start anew with each life into ones that only grow.
type sums struct {
	last map[uint32]uint64
	all  map[uint32]uint64
}

// take notes a total and returns by how much it has grown. A sum over VMs
// shrinks while one of them is silent, and a total where something is given
// back: what had been told before must not count again.
func (s *sums) take(key uint32, total uint64, first bool) uint64 {
	if s.last == nil {
		s.last = map[uint32]uint64{}
	}
	before := s.last[key]
	if total <= before {
		return 0
	}
	s.last[key] = total
	if first {
		return 0
	}
	return total - before
}

func (s *sums) add(key uint32, growth uint64) {
	if s.all == nil {
		s.all = map[uint32]uint64{}
	}
	s.all[key] += growth
}

// totals are what is told of workspaces' quotas and services' work.
type totals struct {
	quotas, work sums
	// heardQuotas and heardWork are true once a digest has been followed. What the
	// first one tells is where the next ones count from; what it does not name
	// counts from nothing.
	heardQuotas, heardWork bool
}

// reset begins a new life.
func (t *totals) reset() {
	t.quotas.last, t.work.last = nil, nil
	t.heardQuotas, t.heardWork = false, false
}

// follow takes the totals of a digest and adds their growth to into, which is
// nil for a sender that is not gone by: its totals are followed all the same, so
// that nothing is missed or counted twice when it is.
func (t *totals) follow(d *Digest, into *totals) {
	first := !t.heardQuotas
	t.heardQuotas = true
	for _, q := range d.Quotas {
		if growth := t.quotas.take(q.Workspace, q.Total, first); into != nil {
			into.quotas.add(q.Workspace, growth)
		}
	}
	if len(d.Work) == 0 {
		return
	}
	first = !t.heardWork
	t.heardWork = true
	for _, w := range d.Work {
		if growth := t.work.take(w.Service, w.Millis, first); into != nil {
			into.work.add(w.Service, growth)
		}
	}
}

// lists returns the sums for a digest or a piece of news.
func (t *totals) lists() ([]Quota, []Work) {
	var quotas []Quota
	for k, v := range t.quotas.all {
		quotas = append(quotas, Quota{Workspace: k, Total: v})
	}
	var work []Work
	for k, v := range t.work.all {
		work = append(work, Work{Service: k, Millis: v})
	}
	return quotas, work
}

// News is what a digest tells the tables of this VM. What a later piece of news
// under the same key says takes its place. Its quotas and work are sums that
// only grow, whoever tells them.
type News struct {
	Key    string
	Loads  []Load
	Quotas []Quota
	Work   []Work
	Moves  []Move
}

// Core is one VM's view. It is not safe for use from many goroutines.
type Core struct {
	cfg      Config
	self     Identity
	hash     uint64
	toldAt   time.Time
	peers    map[string]*peer
	sequence uint64
	// view is the hub whose sums of all this VM goes by.
	view   string
	viewAt time.Time
	count  int
	// zoneSource is the hub of each other zone whose sums are gone by, zones what
	// these have come to, and all what the view's have.
	zoneSource map[string]string
	zones      map[string]*totals
	all        totals
	word       Word
}

// New returns a core that knows only itself.
func New(cfg Config, self Identity) *Core {
	return &Core{cfg: cfg, self: self, hash: hash(self.VM), peers: map[string]*peer{}, zoneSource: map[string]string{}, zones: map[string]*totals{}}
}

// Know adds a VM that a list names.
func (c *Core) Know(id Identity, now time.Time) {
	if id.PeerAddress == "" || id.PeerAddress == c.self.PeerAddress {
		return
	}
	p, ok := c.peers[id.PeerAddress]
	if !ok {
		c.peers[id.PeerAddress] = &peer{Member: Member{Identity: id}, hash: hash(id.VM), addedAt: now, sequence: map[Kind]uint64{}}
		return
	}
	if p.VM == "" {
		p.become(Member{Identity: id})
	}
}

func (p *peer) become(m Member) {
	if p.VM != m.VM {
		p.hash = hash(m.VM)
	}
	p.Member = m
}

func (p *peer) lastSign() time.Time {
	latest := p.addedAt
	for _, at := range []time.Time{p.heardAt, p.relayedAt} {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

func (c *Core) fresh(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) < c.cfg.Fresh }

// Count returns the number of VMs that share limits, this one included: as its
// hub says, as a hub adds up, or as far as this VM knows them itself.
func (c *Core) Count(now time.Time) int {
	if c.fresh(c.viewAt, now) {
		return max(c.count, 1)
	}
	zone, others := 1, 0
	known := 1
	for _, p := range c.peers {
		if now.Sub(p.lastSign()) < c.cfg.Counts {
			known++
		}
		if p.AvailabilityZone == c.self.AvailabilityZone && c.fresh(p.ownAt, now) {
			zone++
		}
	}
	for _, source := range c.zoneSource {
		if p := c.peers[source]; p != nil && c.fresh(p.zoneAt, now) {
			others += p.zone.Count
		}
	}
	if others == 0 {
		return known
	}
	return zone + others
}

// IsMesh tells whether every VM tells every other. VMs that are silent count for
// long, so that a fault does not turn one form into the other.
func (c *Core) IsMesh(now time.Time) bool {
	known := 1
	for _, p := range c.peers {
		if now.Sub(p.lastSign()) < c.cfg.Remember {
			known++
		}
	}
	return max(known, c.Count(now)) <= c.cfg.MeshLimit
}

// Hear takes a digest, unless it is older than one already taken. It returns
// the news in it, if there is any, and whether the digest was taken.
func (c *Core) Hear(d *Digest, now time.Time) (News, bool) {
	if d.VM == c.self.VM || d.PeerAddress == c.self.PeerAddress {
		return News{}, false
	}
	c.Know(d.Identity, now)
	p := c.peers[d.PeerAddress]
	if d.Incarnation < p.incarnation {
		return News{}, false
	}
	if d.Incarnation > p.incarnation {
		p.incarnation = d.Incarnation
		p.sequence = map[Kind]uint64{}
		p.told.reset()
		p.zoneTold.reset()
		p.allTold.reset()
	}
	if d.Sequence <= p.sequence[d.Kind] {
		return News{}, false
	}
	p.sequence[d.Kind] = d.Sequence
	p.become(d.Member)
	p.heardAt, p.askedAt = now, time.Time{}
	p.reads, p.document, p.servers = d.ReadsStore, d.DocumentEnd, d.ServersEnd
	c.hearHolder(d, now)
	for _, m := range d.Members {
		c.Know(m.Identity, now)
		if q, ok := c.peers[m.PeerAddress]; ok {
			q.relayedAt = now
			if !c.fresh(q.heardAt, now) {
				q.become(m)
			}
		}
	}
	return c.news(p, d, now)
}

func (c *Core) hearHolder(d *Digest, now time.Time) {
	if d.Fence < c.word.Fence || d.HolderAddress == "" {
		return
	}
	at := now.Add(-time.Duration(d.HolderAgeMillis) * time.Millisecond)
	// The time on the way makes word look newer than it is: what VMs tell each
	// other in turn must not stay young for ever.
	if d.Fence > c.word.Fence || at.Sub(c.word.At) > c.cfg.Transit {
		c.word = Word{Address: d.HolderAddress, Word: duty.Word{Fence: d.Fence, End: d.HolderEnd, At: at}}
	}
}

// Word is what the holder of the duties last said, and its peer address.
type Word struct {
	Address string
	duty.Word
}

// Holder returns the newest word of the holder with the highest fence.
func (c *Core) Holder() Word { return c.word }

func (c *Core) news(p *peer, d *Digest, now time.Time) (News, bool) {
	switch d.Kind {
	case Own:
		p.own, p.ownAt = d, now
		p.told.follow(d, &p.told)
		return newsOf(d.VM, d, &p.told), true
	case Zone:
		return c.zoneNews(p, d, now), true
	}
	return c.allNews(p, d, now), true
}

func newsOf(key string, d *Digest, sums *totals) News {
	n := News{Key: key, Loads: d.Loads, Moves: d.Moves}
	n.Quotas, n.Work = sums.lists()
	return n
}

// zoneNews takes the sums of another zone from one of its hubs at a time.
func (c *Core) zoneNews(p *peer, d *Digest, now time.Time) News {
	zone := d.AvailabilityZone
	wasFresh := c.fresh(p.zoneAt, now)
	p.zone, p.zoneAt = d, now
	if source := c.zoneSource[zone]; source != d.PeerAddress {
		if !wasFresh {
			// What it missed telling has been counted by the other hub's word.
			p.zoneTold.reset()
		}
		if old := c.peers[source]; old != nil && c.fresh(old.zoneAt, now) {
			p.zoneTold.follow(d, nil)
			return News{}
		}
		c.zoneSource[zone] = d.PeerAddress
	}
	if c.zones[zone] == nil {
		c.zones[zone] = &totals{}
	}
	p.zoneTold.follow(d, c.zones[zone])
	return newsOf("zone:"+zone, d, c.zones[zone])
}

// allNews takes the sums of all from one hub of the own zone at a time.
func (c *Core) allNews(p *peer, d *Digest, now time.Time) News {
	if c.view != d.PeerAddress && !c.fresh(p.allAt, now) {
		p.allTold.reset()
	}
	p.allAt = now
	if c.IsMesh(now) || c.isHub(now) {
		p.allTold.follow(d, nil)
		c.viewAt = time.Time{}
		return News{}
	}
	if c.view != d.PeerAddress {
		if old := c.peers[c.view]; old != nil && c.fresh(c.viewAt, now) {
			p.allTold.follow(d, nil)
			return News{}
		}
		c.view = d.PeerAddress
	}
	c.viewAt, c.count = now, d.Count+1
	p.allTold.follow(d, &c.all)
	return newsOf("all", d, &c.all)
}

// subscribers are the VMs of the zone that tell this one what they do.
func (c *Core) subscribers(now time.Time) []*peer {
	var out []*peer
	for _, p := range c.peers {
		if p.AvailabilityZone == c.self.AvailabilityZone && c.fresh(p.ownAt, now) {
			out = append(out, p)
		}
	}
	return out
}

// hubsOf returns the VMs of a zone that are to be its hubs: those with the
// widest links, the same for every VM that knows the same ones. A VM that has
// been told things and does not answer is passed over.
func (c *Core) hubsOf(zone string, now time.Time) []*peer {
	var list []*peer
	if zone == c.self.AvailabilityZone {
		list = append(list, &peer{Member: Member{Identity: c.self}, hash: c.hash, heardAt: now})
	}
	for _, p := range c.peers {
		if p.AvailabilityZone == zone && !p.Draining && !c.silent(p, now) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.hash, b.hash), cmp.Compare(a.PeerAddress, b.PeerAddress))
	})
	return list[:min(len(list), c.cfg.Hubs)]
}

// silent tells whether a VM has been told things for a while and says nothing.
func (c *Core) silent(p *peer, now time.Time) bool {
	return !p.askedAt.IsZero() && now.Sub(p.askedAt) > c.cfg.Silent
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

func (c *Core) zoneNames() []string {
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

// isHub tells whether this VM should be a hub of its zone.
func (c *Core) isHub(now time.Time) bool {
	return c.among(c.hubsOf(c.self.AvailabilityZone, now))
}

// among tells whether this VM is in a list.
func (c *Core) among(list []*peer) bool {
	return slices.ContainsFunc(list, func(p *peer) bool { return p.PeerAddress == c.self.PeerAddress })
}

// IsReader tells whether this VM is to read the store for others.
func (c *Core) IsReader(now time.Time) bool {
	if !c.IsMesh(now) {
		return c.isHub(now)
	}
	rank := 0
	for _, p := range c.peers {
		if c.fresh(p.heardAt, now) && !p.Draining && p.hash < c.hash {
			rank++
		}
	}
	return rank < c.meshReaders()
}

// meshReaders is the number of VMs of a mesh that read the store. One that is cut
// off from it says for a whole read that it reads: more read than are cut off
// together.
func (c *Core) meshReaders() int {
	return max(c.cfg.Readers, int(c.cfg.CutShare*float64(len(c.peers)+1))+2)
}

// ToldOfStore tells whether a VM that reads the store has lately told this one
// how far it is.
func (c *Core) ToldOfStore(now time.Time) bool {
	for _, p := range c.peers {
		if p.reads && c.fresh(p.heardAt, now) {
			return true
		}
	}
	return false
}

// Furthest returns the peer that has read furthest in one of the two topics.
func (c *Core) Furthest(document bool, now time.Time) (address string, end uint64) {
	for _, p := range c.peers {
		if !c.fresh(p.heardAt, now) {
			continue
		}
		at := p.servers
		if document {
			at = p.document
		}
		if at > end || at == end && at > 0 && p.PeerAddress < address {
			address, end = p.PeerAddress, at
		}
	}
	return address, end
}

// Callers returns the VMs that callers may use, as far as this VM knows them.
func (c *Core) Callers(now time.Time) []Member {
	var out []Member
	for _, p := range c.peers {
		relayed := c.fresh(p.heardAt, now) || !p.relayedAt.IsZero() && now.Sub(p.relayedAt) < 2*c.cfg.Fresh
		if relayed && p.Ready && !p.Draining && p.CallerAddress != "" {
			out = append(out, p.Member)
		}
	}
	return out
}

// Weights returns the number of VMs behind each key whose news counts now.
func (c *Core) Weights(now time.Time) map[string]int {
	out := map[string]int{}
	if c.fresh(c.viewAt, now) {
		out["all"] = max(c.count-1, 1)
		return out
	}
	mesh := c.IsMesh(now)
	for _, p := range c.peers {
		if p.VM == "" || now.Sub(p.lastSign()) >= c.cfg.Counts {
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
	for zone, source := range c.zoneSource {
		if p := c.peers[source]; p != nil && c.fresh(p.zoneAt, now) {
			out["zone:"+zone] = max(p.zone.Count, 1)
		}
	}
	return out
}
