package gateway

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/usage"
	"coltsfootpath.example/coltsfootpath/internal/protocol/digest"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// digestInterval is how often a VM tells its peers what it does.
	digestInterval = 200 * time.Millisecond
	// usageEvery is the number of digests between two that carry usage.
	usageEvery = 5
	// memberFresh is how long a VM that tells nothing is named to callers.
	memberFresh = 1200 * time.Millisecond
	// memberCounts is how long a silent VM is counted among those that share
	// budgets and quotas.
	memberCounts = 8 * time.Second
	// memberForget is when a silent VM is no longer told anything.
	memberForget = 30 * time.Second
	// vmsTopic holds the peer address of every VM that ever started.
	vmsTopic = "keyed.coltsfoot.vms"
	// registerEvery is how often a VM that is not yet registered tries.
	registerEvery = time.Second
	maxDatagram   = 60 << 10
	// membersInDigest is the number of peer addresses passed on at a time.
	membersInDigest = 4
)

// member is what is known of another entry VM.
type member struct {
	address string
	addedAt time.Time
	// heardAt is zero for a VM that has not told anything.
	heardAt time.Time
	digest  *digest.Digest
}

// members is what this VM knows of the others.
type members struct {
	node *Node
	conn *net.UDPConn

	mu        sync.Mutex
	byAddress map[string]*member
	sequence  uint64
}

func newMembers(n *Node) *members {
	return &members{node: n, byAddress: map[string]*member{}}
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
	now := m.node.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 1
	for _, x := range m.byAddress {
		if now.Sub(x.lastSign()) < memberCounts {
			count++
		}
	}
	return count
}

func (x *member) lastSign() time.Time {
	if x.heardAt.IsZero() {
		return x.addedAt
	}
	return x.heardAt
}

// add makes a VM known by its peer address.
func (m *members) add(address string, now time.Time) {
	if address == "" || address == m.node.set.Peers {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.byAddress[address]; !ok {
		m.byAddress[address] = &member{address: address, addedAt: now}
	}
}

func (m *members) run(ctx context.Context) {
	m.addSeeds()
	m.node.loops.Go(func() { m.receive(ctx) })
	m.node.loops.Go(func() { m.register(ctx) })
	for ctx.Err() == nil {
		m.announce()
		m.refresh()
		sleep(ctx, digestInterval)
	}
}

func (m *members) addSeeds() {
	_, port, err := net.SplitHostPort(m.node.set.Peers)
	if err != nil {
		return
	}
	for seed := range strings.SplitSeq(m.node.set.Seeds, ",") {
		if host, _, err := net.SplitHostPort(strings.TrimSpace(seed)); err == nil {
			m.add(net.JoinHostPort(host, port), m.node.now())
		}
	}
}

// register writes this VM's address to the store and learns those of others.
func (m *members) register(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, newestTimeout)
		var err error
		if !registered {
			_, err = m.node.platform.Append(callCtx, vmsTopic, platform.EncodeKeyed(m.node.set.VM, []byte(m.node.set.Peers)))
			registered = err == nil
		}
		var items []platform.Item
		if err == nil {
			items, _, err = m.node.platform.Newest(callCtx, vmsTopic)
		}
		cancel()
		if err == nil {
			for _, it := range items {
				m.add(string(it.Value), m.node.now())
			}
			m.node.log.Event("members", "registered", "vms", len(items))
			return
		}
		m.node.log.Failure("members", "not-registered", "error", err)
		sleep(ctx, registerEvery)
	}
}

// announce tells all members what this VM does.
func (m *members) announce() {
	now := m.node.now()
	d := m.compose(now)
	data := d.Marshal()
	for _, address := range m.targets(now) {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			continue
		}
		// A datagram that is not sent is like one that is lost.
		_, _ = m.conn.WriteToUDP(data, to)
	}
}

// targets are the VMs to tell. One that is silent is told less and less often.
func (m *members) targets(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for address, x := range m.byAddress {
		silent := now.Sub(x.lastSign())
		switch {
		case silent > memberForget && m.sequence%50 != 0:
		case silent > memberCounts && m.sequence%10 != 0:
		default:
			out = append(out, address)
		}
	}
	return out
}

func (m *members) compose(now time.Time) *digest.Digest {
	n := m.node
	fence, holds := n.duties.fence(now)
	m.mu.Lock()
	m.sequence++
	sequence := m.sequence
	m.mu.Unlock()
	d := &digest.Digest{
		VM:               n.set.VM,
		Incarnation:      n.incarnation,
		Sequence:         sequence,
		AvailabilityZone: n.set.AvailabilityZone,
		CallerAddress:    n.set.Callers,
		PeerAddress:      n.set.Peers,
		Ready:            n.Ready(),
		Draining:         n.draining.Load(),
		WallMillis:       time.Now().UnixMilli(),
		Fence:            fence,
		Holds:            holds,
		Loads:            n.backends.ownLoads(),
	}
	if doc := n.document.Load(); doc != nil {
		d.DocumentVersion = doc.Version
	}
	for name, total := range n.quota.Totals() {
		d.Quotas = append(d.Quotas, digest.Quota{Workspace: shortHash(name), Total: total})
	}
	if sequence%usageEvery == 0 || d.Draining {
		m.addUsage(d, now)
	}
	return d
}

func (m *members) addUsage(d *digest.Digest, now time.Time) {
	n := m.node
	first := n.duties.windowOf(now) - 3
	for window, counts := range n.usage.Own(first) {
		for name, count := range counts {
			d.Usage = append(d.Usage, digest.Usage{Window: window, Workspace: name, Count: count})
		}
	}
	for service, millis := range n.work.sums() {
		d.Work = append(d.Work, digest.Work{Service: shortHash(service), Millis: uint64(millis)})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for address := range m.byAddress {
		if len(d.Members) >= membersInDigest {
			break
		}
		d.Members = append(d.Members, address)
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

// take applies a peer's digest, unless it is older than one already applied.
func (m *members) take(d *digest.Digest, now time.Time) {
	if d.VM == m.node.set.VM {
		return
	}
	m.add(d.PeerAddress, now)
	for _, address := range d.Members {
		m.add(address, now)
	}
	if !m.store(d, now) {
		return
	}
	n := m.node
	n.clock.hear(d.VM, d.WallMillis, now)
	n.backends.hearLoads(d.VM, d.Loads, now)
	n.duties.heard(d.Fence, d.Holds, now)
	n.quota.Hear(d.VM, d.Incarnation, m.quotaTotals(d), now)
	bySource := usage.Source{VM: d.VM, Incarnation: d.Incarnation}
	byWindow := map[int64]usage.Counts{}
	for _, u := range d.Usage {
		if byWindow[u.Window] == nil {
			byWindow[u.Window] = usage.Counts{}
		}
		byWindow[u.Window][u.Workspace] = u.Count
	}
	for window, counts := range byWindow {
		n.usage.Hear(bySource, window, counts)
	}
}

func (m *members) store(d *digest.Digest, now time.Time) bool {
	m.mu.Lock()
	x, ok := m.byAddress[d.PeerAddress]
	if !ok {
		m.mu.Unlock()
		return false
	}
	old := x.digest
	if old != nil && (d.Incarnation < old.Incarnation || d.Incarnation == old.Incarnation && d.Sequence <= old.Sequence) {
		m.mu.Unlock()
		return false
	}
	silent := time.Duration(0)
	if !x.heardAt.IsZero() {
		silent = now.Sub(x.heardAt)
	}
	x.digest, x.heardAt = d, now
	m.mu.Unlock()
	if old == nil || old.Incarnation != d.Incarnation || old.Draining != d.Draining || silent > memberFresh {
		m.node.log.Event("members", "heard", "vm", d.VM, "incarnation", d.Incarnation, "ready", d.Ready, "draining", d.Draining, "silent", silent)
	}
	return true
}

func (m *members) quotaTotals(d *digest.Digest) map[string]uint64 {
	doc := m.node.document.Load()
	if doc == nil {
		return nil
	}
	totals := map[string]uint64{}
	for _, q := range d.Quotas {
		for i := range doc.Workspaces {
			if shortHash(doc.Workspaces[i].Name) == q.Workspace {
				totals[doc.Workspaces[i].Name] = q.Total
			}
		}
	}
	return totals
}

// refresh tells the other tables who is there.
func (m *members) refresh() {
	now := m.node.now()
	var names []string
	fresh := 0
	m.mu.Lock()
	for _, x := range m.byAddress {
		if x.digest == nil {
			continue
		}
		if now.Sub(x.heardAt) < memberCounts {
			names = append(names, x.digest.VM)
		}
		if now.Sub(x.heardAt) < memberFresh {
			fresh++
		}
	}
	m.mu.Unlock()
	m.node.quota.SetPeers(names, now)
	m.node.metrics.members.Set(float64(fresh))
}

// callerAddresses returns where callers of an availability zone should connect:
// to the VMs of their own zone, and to all where these are too few.
func (m *members) callerAddresses(zone string) []string {
	now := m.node.now()
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
	for _, x := range m.byAddress {
		if x.digest != nil && x.digest.Ready && !x.digest.Draining && now.Sub(x.heardAt) < memberFresh {
			add(x.digest.AvailabilityZone, x.digest.CallerAddress)
		}
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
