package gateway

import (
	"bytes"
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

	"coltsfootpath.example/coltsfootpath/internal/coordination/freshness"
	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/coordination/usage"
	"coltsfootpath.example/coltsfootpath/internal/protocol/digest"
	"coltsfootpath.example/coltsfootpath/internal/state/storelog"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// digestInterval is the interval at which a node sends its state to its peers.
	digestInterval = 200 * time.Millisecond
	// digestsPerUsage determines how often usage and work are sent: with every
	// digestsPerUsage-th digest.
	digestsPerUsage = 5
	// digestUsageWindows is the number of past usage windows whose counts are sent.
	digestUsageWindows = 3
	// vmsTopic holds the identity of every VM that ever started, keyed by its name.
	vmsTopic = "keyed.coltsfoot.vms"
	// registerInterval is the interval at which a registered VM checks whether the store has
	// come back from a copy, which may lack the registration.
	registerInterval = time.Second
	// membersTimeout bounds the time for which a node that can't read the list of
	// VMs waits for their digests. It serves requests after that.
	membersTimeout = 2 * time.Second
	// vmsKnownTimeout bounds the time for which a node waits for the list of VMs before it
	// lists other topics.
	vmsKnownTimeout  = 600 * time.Millisecond
	maxDatagramBytes = 60 << 10
	// earlyDigestGap is the minimum time between digests that are sent early
	// because this node has read new records.
	earlyDigestGap = 40 * time.Millisecond
)

// members tracks the other entry VMs and exchanges digests with their nodes.
type members struct {
	node *Node
	conn *net.UDPConn
	// receivers starts the loops that run beside that of run, which may run again.
	receivers sync.Once
	// startedAt is the start of the process. vmsListed is set once the list of
	// all VMs has been read.
	startedAt time.Time
	vmsListed atomic.Bool
	// vmsKnown is set at vmsKnownAt, once a list of VMs has been read, which may lack those
	// that start at the same time.
	vmsKnown atomic.Bool

	// costTotals holds the totals of cost models under each key of updates. Only the receiving
	// loop uses it.
	costTotals map[string]map[uint32]uint64

	mu          sync.Mutex
	vmsKnownAt  time.Time
	core        *gossip.Core
	sequence    uint64
	earlyDigest chan struct{}
	// documentEnd and serversEnd are the positions up to which this node has read the
	// two topics.
	documentEnd, serversEnd storelog.Position
}

func newMembers(n *Node) *members {
	m := &members{node: n, startedAt: n.now(), costTotals: map[string]map[uint32]uint64{}, earlyDigest: make(chan struct{}, 1)}
	m.core = gossip.New(gossip.DefaultConfig, m.identity())
	return m
}

func (m *members) identity() gossip.Identity {
	settings := &m.node.settings
	return gossip.Identity{
		VM:               settings.VM,
		Incarnation:      m.node.incarnation,
		AvailabilityZone: settings.AvailabilityZone,
		PeerAddress:      settings.PeerAddress,
		CallerAddress:    settings.CallerAddress,
		LinkMbps:         int(settings.LinkMbps),
	}
}

func (m *members) listen() error {
	address, err := net.ResolveUDPAddr("udp4", m.node.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "resolve the peer address")
	}
	m.conn, err = net.ListenUDP("udp4", address)
	return errors.Wrap(err, "listen on the peer address")
}

func (m *members) close() {
	if m.conn != nil {
		_ = m.conn.Close()
	}
}

// count returns the number of VMs that share limits, including this one.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Count(m.node.now())
}

func (m *members) add(id gossip.Identity) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.AddPeer(id, m.node.now())
}

// run sends and receives digests until ctx ends.
func (m *members) run(ctx context.Context) {
	m.addSeeds()
	m.receivers.Do(func() {
		m.node.runLoop(ctx, "digests", m.receive)
		m.node.runLoop(ctx, "registration", m.register)
	})
	timer := time.NewTicker(digestInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		m.sendDigests()
		m.updateTables()
		select {
		case <-timer.C:
		case <-m.earlyDigest:
			sleep(ctx, earlyDigestGap)
		case <-ctx.Done():
		}
	}
}

// recordReadEnd records how far this node has read a topic. If it has advanced, the
// next digest is sent early.
func (m *members) recordReadEnd(topic string, end storelog.Position) {
	m.mu.Lock()
	at := &m.serversEnd
	if topic == platform.OperatorTopic {
		at = &m.documentEnd
	}
	changed := end > *at
	*at = max(*at, end)
	m.mu.Unlock()
	if changed {
		m.sendEarly()
	}
}

// sendEarly lets the next digest be sent early.
func (m *members) sendEarly() {
	select {
	case m.earlyDigest <- struct{}{}:
	default:
	}
}

func (m *members) addSeeds() {
	_, port, err := net.SplitHostPort(m.node.settings.PeerAddress)
	if err != nil {
		return
	}
	for seed := range strings.SplitSeq(m.node.liveSettings.Load().SeedAddresses, ",") {
		if host, _, err := net.SplitHostPort(strings.TrimSpace(seed)); err == nil {
			m.add(gossip.Identity{PeerAddress: net.JoinHostPort(host, port)})
		}
	}
}

// registration is a VM's record in vmsTopic.
type registration struct {
	Peer     string `json:"peer"`
	Zone     string `json:"zone"`
	Capacity int    `json:"capacity"`
}

// register reads the registrations of all VMs from the store and writes this VM's own unless
// it is there already. A VM that has written its own reads those of all VMs once more: of two
// VMs that register at the same time at least one reads the other's. After the store has come
// back from a copy, which may lack the registration, it writes it again.
func (m *members) register(ctx context.Context) {
	n := m.node
	own, err := json.Marshal(registration{Peer: n.settings.PeerAddress, Zone: n.settings.AvailabilityZone, Capacity: int(n.settings.LinkMbps)})
	if err != nil {
		n.log.Failure("members", "not-encoded", "error", err)
		return
	}
	r := &registrar{members: m, own: own}
	failures := 0
	for ctx.Err() == nil {
		r.registered = r.registered && r.registeredAt.Era() >= n.storeEra()
		if r.registered && r.listed {
			sleep(ctx, registerInterval)
			continue
		}
		if err := r.step(ctx); err != nil {
			failures++
			n.log.Failure("members", "not-registered", "failures", failures, "error", err)
			sleep(ctx, n.storeSchedule().FailurePause(failures))
			continue
		}
		failures = 0
	}
}

// registrar registers this VM in the store.
type registrar struct {
	members *members
	own     []byte
	// registered is set while the store holds this VM's registration, which was seen or
	// written at registeredAt. listed is set once the registrations of all VMs were read
	// while it did.
	registered, listed bool
	registeredAt       storelog.Position
}

// step makes the next call.
func (r *registrar) step(ctx context.Context) error {
	n := r.members.node
	if !r.registered && (r.listed || r.members.vmsKnown.Load()) {
		ctx, cancel := context.WithTimeout(ctx, n.storeSchedule().AppendTimeout())
		defer cancel()
		at, err := n.platform.Append(ctx, vmsTopic, platform.EncodeKeyed(n.settings.VM, r.own))
		if err == nil {
			r.registered, r.registeredAt = true, at
		}
		return err
	}
	items, _, err := n.listNewest(ctx, vmsTopic)
	if err != nil {
		return err
	}
	for _, it := range items {
		if it.Key == n.settings.VM && bytes.Equal(it.Value, r.own) {
			r.registered, r.registeredAt = true, it.Position
		}
	}
	r.listed = r.registered
	r.members.addRegistered(items, r.listed)
	return nil
}

// addRegistered adds the registered VMs. isFinal is true if this VM's own registration was
// among them.
func (m *members) addRegistered(items []platform.Item, isFinal bool) {
	for _, it := range items {
		var r registration
		if err := json.Unmarshal(it.Value, &r); err != nil {
			m.node.log.Failure("members", "unreadable-registration", "vm", it.Key, "error", err)
			continue
		}
		m.add(gossip.Identity{VM: it.Key, PeerAddress: r.Peer, AvailabilityZone: r.Zone, LinkMbps: r.Capacity})
	}
	m.updateTables()
	if !m.vmsKnown.Load() {
		m.mu.Lock()
		m.vmsKnownAt = m.node.now()
		m.mu.Unlock()
		m.vmsKnown.Store(true)
	}
	if isFinal {
		m.vmsListed.Store(true)
		m.node.log.Event("members", "registered", "vms", len(items))
	}
}

// listingTime returns the time from which on this node may list the store's topics if no peer
// passes their records on, and whether it knows the other VMs. Otherwise the time is that
// until which it waits for them.
func (m *members) listingTime(now time.Time) (at time.Time, known bool) {
	if !m.vmsKnown.Load() {
		return m.startedAt.Add(vmsKnownTimeout), false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.core.IsMesh(now) {
		return m.vmsKnownAt, true
	}
	return m.vmsKnownAt.Add(freshness.ListingDelay(m.core.ReaderRole(now))), true
}

// canShareLimits reports whether this node can share limits with its peers: it
// has read the list of VMs, or has waited long enough for their digests.
func (m *members) canShareLimits(now time.Time) bool {
	return m.vmsListed.Load() || now.Sub(m.startedAt) > membersTimeout
}

// sendDigests sends the digests of one interval.
func (m *members) sendDigests() {
	now := m.node.now()
	own := m.composeDigest(now)
	own.ReadsStore = m.node.storeReads.readsStoreFor(platform.OperatorTopic, platform.ServersTopic)
	// The ages are taken before the ends: an older confirmation also holds for a later end.
	own.DocumentAge = gossip.AgeOf(m.node.operatorFollower.ownConfirmation(), now)
	own.ServersAge = gossip.AgeOf(m.node.serverFollower.ownConfirmation(), now)
	m.mu.Lock()
	own.DocumentEnd, own.ServersEnd = m.documentEnd, m.serversEnd
	messages := m.core.Tick(own, now)
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
	if !isMesh && len(own.Usage) > 0 && holder != "" && holder != m.node.settings.PeerAddress {
		m.sendUsageToHolder(holder, own)
	}
}

// sendUsageToHolder sends usage to the lease holder, which reports it. It is used
// if hubs aggregate everything else. The digest carries only usage, and its
// sequence number is taken from m.sequence, not from the counter of other
// digests.
func (m *members) sendUsageToHolder(holder string, own gossip.Digest) {
	d := gossip.Digest{Usage: own.Usage, Kind: usageOnlyKind}
	m.mu.Lock()
	m.sequence++
	d.Sequence = m.sequence
	m.mu.Unlock()
	d.VM, d.Incarnation, d.PeerAddress = m.node.settings.VM, m.node.incarnation, m.node.settings.PeerAddress
	m.send(holder, digest.Marshal(&d))
}

// usageOnlyKind marks a digest that carries only usage.
const usageOnlyKind gossip.Kind = 3

func (m *members) send(to string, data []byte) {
	address, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		m.node.log.Failure("members", "bad-address", "address", to, "error", err)
		return
	}
	// A failed send is handled like a lost datagram.
	_, _ = m.conn.WriteToUDP(data, address)
}

// composeDigest returns a digest with this node's own state.
func (m *members) composeDigest(now time.Time) gossip.Digest {
	n := m.node
	m.mu.Lock()
	m.sequence++
	sequence := m.sequence
	m.mu.Unlock()
	d := gossip.Digest{
		WallMillis: time.Now().UnixMilli(),
		Loads:      m.addSpeedSamples(n.backends.ownLoads()),
	}
	d.Ready, d.Draining, d.IsCutOff = n.Ready(), n.draining.Load(), n.links.AnyCut()
	if token, end, holds := n.duties.leaseState(now); holds {
		d.FencingToken, d.HolderEnd, d.HolderAddress = token, end, n.settings.PeerAddress
	}
	for name, total := range n.quota.Totals() {
		d.AdmittedTotals = append(d.AdmittedTotals, gossip.AdmittedTotal{Workspace: shortHash(name), Total: total})
	}
	d.Moves = n.moves.ownReport()
	d.Contents = n.quarantiner.table.Outgoing(maxDigestContents)
	d.Limits = n.limits.table.Outgoing(maxDigestLimits)
	d.Brittle = n.places.table.Outgoing(maxDigestLimits)
	if sequence%digestsPerUsage == 0 || d.Draining {
		m.addUsageAndWork(&d, now)
	}
	if sequence%digestsPerCosts == 0 {
		m.addCosts(&d)
	}
	return d
}

func (m *members) addUsageAndWork(d *gossip.Digest, now time.Time) {
	n := m.node
	for window, counts := range n.usage.OwnCounts(n.duties.windowOf(now) - digestUsageWindows) {
		for name, count := range counts {
			d.Usage = append(d.Usage, gossip.Usage{Window: window, Workspace: name, Count: count})
		}
	}
	for name, total := range n.work.ownTotals() {
		d.Work = append(d.Work, gossip.Work{Service: shortHash(name), Millis: uint64(total)})
	}
}

func shortHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func (m *members) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		size, _, err := m.conn.ReadFromUDP(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			m.node.log.Failure("members", "not-received", "error", err)
			continue
		}
		m.node.contain("digest", func() { m.receiveDatagram(buffer[:size]) })
	}
}

// receiveDatagram handles one datagram of a peer.
func (m *members) receiveDatagram(data []byte) {
	d, err := digest.Unmarshal(data)
	if err != nil {
		m.node.log.Failure("members", "unreadable-digest", "bytes", len(data), "error", err)
		return
	}
	m.handleDigest(d, m.node.now())
}

// applyDigest applies a digest to the core, and reports whether its sender was reachable before
// and whether the digest was accepted.
func (m *members) applyDigest(d *gossip.Digest, now time.Time) (update gossip.Update, holder gossip.HolderReport, wasReachable, accepted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wasReachable = m.core.IsReachable(d.PeerAddress, d.Incarnation, now)
	update, accepted = m.core.Receive(d, now)
	return update, m.core.Holder(), wasReachable, accepted
}

// handleDigest applies a peer's digest to the tables of this node.
func (m *members) handleDigest(d *gossip.Digest, now time.Time) {
	n := m.node
	m.applyUsage(d)
	if d.Kind == usageOnlyKind {
		return
	}
	update, holder, wasReachable, accepted := m.applyDigest(d, now)
	if !accepted {
		return
	}
	n.clock.update(d.VM, d.WallMillis, now)
	if !wasReachable {
		n.quarantiner.table.ResendAll()
		n.places.table.ResendAll(now)
	}
	if len(d.Contents) > 0 {
		n.quarantiner.merge(d.Contents, d.VM)
	}
	n.limits.merge(d.Limits, d.VM, now)
	n.places.merge(d.Brittle, d.VM, now)
	n.duties.recordHolder(holder.HolderReport, now)
	n.wakeFollowers(d)
	if update.Key == "" {
		return
	}
	n.backends.setPeerLoads(update.Key, update.Loads, now)
	n.moves.applyReport(update.Key, update.Moves, now)
	n.quota.ApplyTotals(update.Key, m.quotaTotals(update.AdmittedTotals), update.LacksAdmitted, now)
	n.work.update(update.Key, update.Work)
	m.applySpeedSamples(update.Key, update.Loads, now)
	m.applyCosts(update.Key, update.Work, d.Work, now)
}

func (m *members) applyUsage(d *gossip.Digest) {
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
		m.node.usage.Receive(source, window, counts)
	}
	m.node.usage.MarkReported(source, m.node.now())
}

func (m *members) quotaTotals(quotas []gossip.AdmittedTotal) map[string]uint64 {
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

// updateTables passes the current members to the quota and backend tables.
func (m *members) updateTables() {
	now := m.node.now()
	m.mu.Lock()
	weights := m.core.VMCounts(now)
	limitWeights := m.core.LimitCounts(now)
	count := m.core.Count(now)
	var serving []string
	for _, x := range m.core.ServingPeers(now) {
		serving = append(serving, x.VM)
	}
	m.mu.Unlock()
	m.node.backends.setServingVMs(serving)
	m.node.quota.SetPeers(limitWeights, now)
	m.node.backends.setActiveKeys(weights)
	m.node.metrics.members.Set(float64(count))
}

// mayRelyOnReaders reports whether this node may stop reading the store: it is
// not one of the readers, and receives digests from one.
func (m *members) mayRelyOnReaders() bool {
	now := m.node.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.core.IsReader(now) && m.core.HasStoreReader(now)
}

// hasStoreReader reports whether a peer that reads the store sends digests.
func (m *members) hasStoreReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.HasStoreReader(m.node.now())
}

// isComplete reports whether this node receives the state of all VMs.
func (m *members) isComplete() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.IsComplete(m.node.now())
}

// isReader reports whether this node is one of those that read the store for
// others.
func (m *members) isReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.IsReader(m.node.now())
}

// readerRole returns this node's part in reading the store for others.
func (m *members) readerRole() freshness.Role {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.ReaderRole(m.node.now())
}

// confirmation returns the last time, as far as peers have told, at which the store had no
// records of a topic beyond end.
func (m *members) confirmation(topic string, end storelog.Position) gossip.Confirmation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Confirmation(topic == platform.OperatorTopic, end, false)
}

// furthestReader returns the address and end offset of the peer that has read
// furthest in a topic.
func (m *members) furthestReader(topic string) (string, storelog.Position) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.FurthestReader(topic == platform.OperatorTopic, m.node.now())
}

// readersBeyond returns the addresses of at most count peers that have read a topic further than
// end, the preferred one first.
func (m *members) readersBeyond(topic string, end storelog.Position, count int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.ReadersBeyond(topic == platform.OperatorTopic, end, count, m.node.now())
}

// callerAddresses returns the addresses for callers in an availability zone:
// those of the zone's VMs, or of all VMs if the zone has too few.
func (m *members) callerAddresses(zone string) []string {
	var sameZone, all []string
	add := func(vmZone, address string) {
		all = append(all, address)
		if vmZone == zone {
			sameZone = append(sameZone, address)
		}
	}
	if m.node.Ready() {
		add(m.node.settings.AvailabilityZone, m.node.settings.CallerAddress)
	}
	m.mu.Lock()
	for _, x := range m.core.ServingPeers(m.node.now()) {
		add(x.AvailabilityZone, x.CallerAddress)
	}
	m.mu.Unlock()
	if len(sameZone) < minZoneVMs {
		sameZone = all
	}
	slices.Sort(sameZone)
	return sameZone[:min(len(sameZone), maxAddresses)]
}

// tunnelPeers returns the peer addresses of the VMs that may be asked for tunnels: those that
// have not lost links themselves, or all if there are no others.
func (m *members) tunnelPeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var linked, all []string
	for _, x := range m.core.ServingPeers(m.node.now()) {
		all = append(all, x.PeerAddress)
		if !x.IsCutOff {
			linked = append(linked, x.PeerAddress)
		}
	}
	if len(linked) == 0 {
		return all
	}
	return linked
}

const (
	// minZoneVMs is the minimum number of VMs in a zone whose callers get only
	// the addresses of that zone. Callers in zones with fewer VMs get all
	// addresses.
	minZoneVMs = 2
	// maxAddresses bounds the addresses in one answer.
	maxAddresses = 64
)
