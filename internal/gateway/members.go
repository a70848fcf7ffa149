package gateway

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/coordination/usage"
	"coltsfootpath.example/coltsfootpath/internal/protocol/digest"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// digestInterval is how often a VM tells its peers what it does.
	digestInterval = 200 * time.Millisecond
	// usageEvery is the number of digests between two that carry usage.
	usageEvery = 5
	// usageWindows is how many windows back usage is told.
	usageWindows = 3
	// vmsTopic holds the identity of every VM that ever started, by name.
	vmsTopic = "keyed.coltsfoot.vms"
	// registerEvery is how often a VM that is not yet registered tries.
	registerEvery = time.Second
	// membersWait is how long a VM that can't read who there is waits for their
	// digests before it serves.
	membersWait = 2 * time.Second
	maxDatagram = 60 << 10
	// nudgeGap is the shortest time between two digests that are sent early
	// because the store has news.
	nudgeGap = 40 * time.Millisecond
)

// members is what this VM knows of the others.
type members struct {
	node *Node
	conn *net.UDPConn
	// began is when the process started; registered is set once the list of all
	// VMs has been read.
	began      time.Time
	registered atomic.Bool

	mu       sync.Mutex
	core     *gossip.Core
	sequence uint64
	early    chan struct{}
	// documentEnd and serversEnd are how far this VM has read the store.
	documentEnd, serversEnd uint64
}

func newMembers(n *Node) *members {
	m := &members{node: n, began: n.now(), early: make(chan struct{}, 1)}
	m.core = gossip.New(gossip.DefaultConfig, m.identity())
	return m
}

func (m *members) identity() gossip.Identity {
	set := &m.node.set
	return gossip.Identity{
		VM:               set.VM,
		Incarnation:      m.node.incarnation,
		AvailabilityZone: set.AvailabilityZone,
		PeerAddress:      set.Peers,
		CallerAddress:    set.Callers,
		Capacity:         int(set.LinkMbps),
	}
}

func (m *members) listen() error {
	address, err := net.ResolveUDPAddr("udp4", m.node.set.Peers)
	if err != nil {
		return errors.Wrap(err, "resolve peers' address")
	}
	m.conn, err = net.ListenUDP("udp4", address)
	return errors.Wrap(err, "listen for peers")
}

func (m *members) close() {
	if m.conn != nil {
		_ = m.conn.Close()
	}
}

// count returns the number of VMs that share budgets, this one included.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Count(m.node.now())
}

func (m *members) know(id gossip.Identity) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.Know(id, m.node.now())
}

// run tells the peers what this VM does until ctx ends.
func (m *members) run(ctx context.Context) {
	m.knowSeeds()
	m.node.loops.Go(func() { m.receive(ctx) })
	m.node.loops.Go(func() { m.register(ctx) })
	timer := time.NewTicker(digestInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		m.announce()
		m.refresh()
		select {
		case <-timer.C:
		case <-m.early:
			sleep(ctx, nudgeGap)
		case <-ctx.Done():
		}
	}
}

// hasRead notes how far this VM has read the store, and tells its peers at once.
func (m *members) hasRead(topic string, end uint64) {
	m.mu.Lock()
	at := &m.serversEnd
	if topic == platform.OperatorTopic {
		at = &m.documentEnd
	}
	changed := end > *at
	*at = max(*at, end)
	m.mu.Unlock()
	if changed {
		select {
		case m.early <- struct{}{}:
		default:
		}
	}
}

func (m *members) knowSeeds() {
	_, port, err := net.SplitHostPort(m.node.set.Peers)
	if err != nil {
		return
	}
	for seed := range strings.SplitSeq(m.node.live.Load().Seeds, ",") {
		if host, _, err := net.SplitHostPort(strings.TrimSpace(seed)); err == nil {
			m.know(gossip.Identity{PeerAddress: net.JoinHostPort(host, port)})
		}
	}
}

// registration is what a VM writes of itself to the store.
type registration struct {
	Peer     string `json:"peer"`
	Zone     string `json:"zone"`
	Capacity int    `json:"capacity"`
}

// register writes this VM's address to the store and learns those of others.
func (m *members) register(ctx context.Context) {
	n := m.node
	own, err := json.Marshal(registration{Peer: n.set.Peers, Zone: n.set.AvailabilityZone, Capacity: int(n.set.LinkMbps)})
	if err != nil {
		n.log.Failure("members", "not-encoded", "error", err)
		return
	}
	registered := false
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, newestTimeout)
		var err error
		if !registered {
			_, err = n.platform.Append(callCtx, vmsTopic, platform.EncodeKeyed(n.set.VM, own))
			registered = err == nil
		}
		var items []platform.Item
		if err == nil {
			items, _, err = n.platform.Newest(callCtx, vmsTopic)
		}
		cancel()
		if err == nil {
			m.knowRegistered(items)
			return
		}
		n.log.Failure("members", "not-registered", "error", err)
		sleep(ctx, registerEvery)
	}
}

func (m *members) knowRegistered(items []platform.Item) {
	for _, it := range items {
		var r registration
		if err := json.Unmarshal(it.Value, &r); err != nil {
			m.node.log.Failure("members", "unreadable-registration", "vm", it.Key, "error", err)
			continue
		}
		m.know(gossip.Identity{VM: it.Key, PeerAddress: r.Peer, AvailabilityZone: r.Zone, Capacity: r.Capacity})
	}
	m.refresh()
	m.registered.Store(true)
	m.node.log.Event("members", "registered", "vms", len(items))
}

// areKnown tells whether this VM knows with whom it shares limits: it has read
// who there is, or has waited long enough to hear of them.
func (m *members) areKnown(now time.Time) bool {
	return m.registered.Load() || now.Sub(m.began) > membersWait
}

// announce sends the digests of one period.
func (m *members) announce() {
	now := m.node.now()
	own := m.compose(now)
	own.ReadsStore = m.node.contact.reads(platform.OperatorTopic, platform.ServersTopic)
	m.mu.Lock()
	own.DocumentEnd, own.ServersEnd = m.documentEnd, m.serversEnd
	messages := m.core.Tell(own, now)
	holder := m.core.Holder().Address
	isMesh := m.core.IsMesh(now)
	m.mu.Unlock()
	encoded := map[*gossip.Digest][]byte{}
	for _, x := range messages {
		data, ok := encoded[x.Digest]
		if !ok {
			data = digest.Marshal(x.Digest)
			encoded[x.Digest] = data
		}
		m.send(x.To, data)
	}
	if !isMesh && len(own.Usage) > 0 && holder != "" && holder != m.node.set.Peers {
		m.tellHolder(holder, own)
	}
}

// tellHolder sends usage to the VM that reports it, where hubs sum up the rest.
// The digest's sequence is that of no other message: it carries usage alone.
func (m *members) tellHolder(holder string, own gossip.Digest) {
	d := gossip.Digest{Usage: own.Usage, Kind: usageKind}
	m.mu.Lock()
	m.sequence++
	d.Sequence = m.sequence
	m.mu.Unlock()
	d.VM, d.Incarnation, d.PeerAddress = m.node.set.VM, m.node.incarnation, m.node.set.Peers
	m.send(holder, digest.Marshal(&d))
}

// usageKind marks a digest that carries usage alone.
const usageKind gossip.Kind = 3

func (m *members) send(to string, data []byte) {
	address, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		m.node.log.Failure("members", "bad-address", "address", to, "error", err)
		return
	}
	// A datagram that is not sent is like one that is lost.
	_, _ = m.conn.WriteToUDP(data, address)
}

// compose gathers what this VM does.
func (m *members) compose(now time.Time) gossip.Digest {
	n := m.node
	m.sequence++
	d := gossip.Digest{
		WallMillis: time.Now().UnixMilli(),
		Loads:      n.backends.ownLoads(),
	}
	d.Ready, d.Draining = n.Ready(), n.draining.Load()
	if fence, end, holds := n.duties.tenure(now); holds {
		d.Fence, d.HolderEnd, d.HolderAddress = fence, end, n.set.Peers
	}
	for name, total := range n.quota.Totals() {
		d.Quotas = append(d.Quotas, gossip.Quota{Workspace: shortHash(name), Total: total})
	}
	d.Moves = n.moves.tell()
	if m.sequence%usageEvery == 0 || d.Draining {
		m.addUsage(&d, now)
	}
	return d
}

func (m *members) addUsage(d *gossip.Digest, now time.Time) {
	n := m.node
	for window, counts := range n.usage.Own(n.duties.windowOf(now) - usageWindows) {
		for name, count := range counts {
			d.Usage = append(d.Usage, gossip.Usage{Window: window, Workspace: name, Count: count})
		}
	}
	for service, millis := range n.work.sums() {
		d.Work = append(d.Work, gossip.Work{Service: shortHash(service), Millis: uint64(millis)})
	}
}

func shortHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func (m *members) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		size, _, err := m.conn.ReadFromUDP(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			m.node.log.Failure("members", "not-received", "error", err)
			continue
		}
		d, err := digest.Unmarshal(buffer[:size])
		if err != nil {
			m.node.log.Failure("members", "unreadable-digest", "bytes", size, "error", err)
			continue
		}
		m.take(d, m.node.now())
	}
}

// take applies a peer's digest.
func (m *members) take(d *gossip.Digest, now time.Time) {
	n := m.node
	m.hearUsage(d)
	if d.Kind == usageKind {
		return
	}
	m.mu.Lock()
	news, taken := m.core.Hear(d, now)
	word := m.core.Holder()
	m.mu.Unlock()
	if !taken {
		return
	}
	n.clock.hear(d.VM, d.WallMillis, now)
	n.duties.heard(word.Word, now)
	n.nudge(d)
	if news.Key == "" {
		return
	}
	n.backends.hearLoads(news.Key, news.Loads, now)
	n.moves.hear(news.Key, news.Moves, now)
	n.quota.Hear(news.Key, m.quotaTotals(news.Quotas), now)
	n.work.hear(news.Key, news.Work)
}

func (m *members) hearUsage(d *gossip.Digest) {
	if len(d.Usage) == 0 {
		return
	}
	source := usage.Source{VM: d.VM, Incarnation: d.Incarnation}
	byWindow := map[int64]usage.Counts{}
	for _, u := range d.Usage {
		if byWindow[u.Window] == nil {
			byWindow[u.Window] = usage.Counts{}
		}
		byWindow[u.Window][u.Workspace] = u.Count
	}
	for window, counts := range byWindow {
		m.node.usage.Hear(source, window, counts)
	}
	m.node.usage.Told(source, m.node.now())
}

func (m *members) quotaTotals(quotas []gossip.Quota) map[string]uint64 {
	doc := m.node.document.Load()
	if doc == nil || len(quotas) == 0 {
		return nil
	}
	byHash := make(map[uint32]string, len(doc.Workspaces))
	for i := range doc.Workspaces {
		byHash[shortHash(doc.Workspaces[i].Name)] = doc.Workspaces[i].Name
	}
	totals := map[string]uint64{}
	for _, q := range quotas {
		if name, ok := byHash[q.Workspace]; ok {
			totals[name] = q.Total
		}
	}
	return totals
}

// refresh tells the other tables who is there.
func (m *members) refresh() {
	now := m.node.now()
	m.mu.Lock()
	weights := m.core.Weights(now)
	count := m.core.Count(now)
	m.mu.Unlock()
	m.node.quota.SetPeers(weights, now)
	m.node.backends.countLoads(weights)
	m.node.metrics.members.Set(float64(count))
}

// mayLeaveReading tells whether this VM may leave reading the store to others:
// it is none of those that read, and hears from one.
func (m *members) mayLeaveReading() bool {
	now := m.node.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.core.IsReader(now) && m.core.ToldOfStore(now)
}

// isReader tells whether this VM is one of those that read the store for others.
func (m *members) isReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.IsReader(m.node.now())
}

// furthest returns the peer that has read furthest in a topic.
func (m *members) furthest(topic string) (string, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Furthest(topic == platform.OperatorTopic, m.node.now())
}

// callerAddresses returns where callers of an availability zone should connect:
// to the VMs of their own zone, and to all where these are too few.
func (m *members) callerAddresses(zone string) []string {
	var near, all []string
	add := func(vmZone, address string) {
		all = append(all, address)
		if vmZone == zone {
			near = append(near, address)
		}
	}
	if m.node.Ready() {
		add(m.node.set.AvailabilityZone, m.node.set.Callers)
	}
	m.mu.Lock()
	for _, x := range m.core.Callers(m.node.now()) {
		add(x.AvailabilityZone, x.CallerAddress)
	}
	m.mu.Unlock()
	if len(near) < minNear {
		near = all
	}
	slices.Sort(near)
	return near[:min(len(near), maxAddresses)]
}

const (
	// minNear is the fewest VMs of a zone that serve its callers alone.
	minNear = 2
	// maxAddresses is the most that an answer may hold.
	maxAddresses = 64
)
