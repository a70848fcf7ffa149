package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/announcements"
	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/coordination/placement"
	"coltsfootpath.example/coltsfootpath/internal/coordination/serverlimit"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// dialTimeout bounds the dial to a backend server, which takes a millisecond or
	// two while the server is healthy.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout bounds the idle time of a connection whose server does
	// not state its keep-alive time. The time is stated in whole seconds, so a
	// server that keeps connections for less than a second can't state it.
	defaultIdleTimeout = 600 * time.Millisecond
	// cachedPartTTL is the time for which a part of a prompt is assumed to stay
	// in an engine's cache.
	cachedPartTTL = 60 * time.Second
	// maxCachedParts bounds the cached parts that are tracked for one engine.
	maxCachedParts = 4096
	// fullBackoff is the time after a rejection for lack of capacity during which
	// a server is chosen only if no other server is available.
	fullBackoff = 150 * time.Millisecond
	// maxLoadAge is the age at which a peer's load report expires.
	maxLoadAge = 2 * time.Second
	// minConnectBackoff is the time for which a server is avoided after a failed
	// connection, unless there is no other. It doubles with each further failure,
	// up to maxConnectBackoff.
	minConnectBackoff = time.Second
	maxConnectBackoff = 8 * time.Second
	// maxUseAfterRemoval is the time for which a server may still be used after
	// its entry was removed, if its service has no other server. Entries expire
	// while the store is unavailable.
	maxUseAfterRemoval = 1500 * time.Millisecond
	// connectionShare is the fraction of a server's connections that all entry
	// VMs together may use.
	connectionShare = 0.85
	// defaultMaxConnections applies to services for which the document sets no
	// limit.
	defaultMaxConnections = 100
	// minConnections is the number of connections that a node may always open to a
	// server.
	minConnections = 4
	// recentlyHeard is the age up to which received bytes show that a server answers.
	recentlyHeard = 250 * time.Millisecond
	// cancelledHeadWait is the time for which a server's answer to a request that was
	// cancelled may still begin, so that what the server states is known.
	cancelledHeadWait = 2 * time.Second
	// silentBackoff is the time after a check without an answer until the next one.
	silentBackoff = 500 * time.Millisecond
)

// backend is a backend server with this node's load on it.
type backend struct {
	// id and service are those of the server's entry. They do not change.
	id, service string
	// hash is the hash of the server's ID. Digests identify the server by
	// shortHash, its lower half.
	hash      uint64
	shortHash uint32
	pool      *upstream.Pool
	// heardAt is the time at which bytes last arrived from the server, in nanoseconds
	// since the table's start.
	heardAt atomic.Int64

	// The fields below are guarded by the table's lock.
	info deployment.Server
	// removedAt is the time at which the server's entry was removed from the store,
	// zero while there is an entry.
	removedAt   time.Time
	ownLoad     placement.Load
	cachedParts map[uint64]time.Time
	fullUntil   time.Time
	// announced is what the server's process has stated in its answers.
	announced announcements.Status
	// connectFailures counts consecutive failed connections. The server is avoided
	// until unreachableUntil.
	connectFailures  int
	unreachableUntil time.Time
	// silentUntil is the time until which the server is not checked again after it has
	// not answered a check.
	silentUntil time.Time
	// noPlaceUntil is the time until which no place at the server is asked for.
	noPlaceUntil time.Time
}

// backendTable holds all backend servers. Its lock is acquired before the locks
// of the health table, of the announcements and of the connection pools, never after
// them.
type backendTable struct {
	startedAt time.Time
	mu        sync.Mutex
	byID      map[string]*backend
	byService map[string][]*backend
	byAddress map[string][]*backend
	peerLoads map[string]peerLoad
	// activeKeys holds the keys of peerLoads that are counted at present, with
	// the number of VMs that each covers.
	activeKeys map[string]int
	// candidates and totals are used within one choice only. Each request makes one, over
	// all servers of its service.
	candidates []placement.Candidate
	totals     map[uint32]placement.Load
	health     *health.Table
	// announcements holds what servers have stated in their answers.
	announcements *announcements.Table
	// limits holds the limits that servers have named.
	limits *serverlimit.Table
	// brittle holds what servers have stated about the rejections that they survive.
	brittle *serverlimit.Table
	// self is the name of this VM, and servingVMs holds those of the others that serve
	// requests. Together they use the places of brittle servers.
	self       string
	servingVMs []string
	// unixMillis returns the time on which the VMs agree.
	unixMillis func(now time.Time) int64
	members    func() int
	// onHead is called with the head of each answer of a server.
	onHead func(b *backend, status int, header http.Header, sentAt time.Time)
	// sourceAddress is the local address of connections to servers, and dial opens them, see
	// upstream.Config.
	sourceAddress net.IP
	dial          func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error)
	// serviceConfig returns the document's entry for a service, or nil if there is
	// none.
	serviceConfig func(name string) *deployment.Service
}

type peerLoad struct {
	receivedAt time.Time
	loads      []gossip.Load
}

func newBackendTable(h *health.Table) *backendTable {
	return &backendTable{
		startedAt: time.Now(),
		byID:      map[string]*backend{},
		byService: map[string][]*backend{},
		byAddress: map[string][]*backend{},
		peerLoads: map[string]peerLoad{},
		totals:    map[uint32]placement.Load{},
		health:    h,

		announcements: announcements.NewTable(),
		limits:        serverlimit.NewTable(newRandom()),
		brittle:       serverlimit.NewTable(newRandom()),
		unixMillis:    time.Time.UnixMilli,
	}
}

// maxConnections returns the number of connections that each server of a service
// accepts.
func (t *backendTable) maxConnections(service string) int {
	if s := t.serviceConfig(service); s != nil && s.MaxConnections > 0 {
		return s.MaxConnections
	}
	return defaultMaxConnections
}

// memoryTokens returns the memory of each engine of a service in tokens, or 0 if
// it is not specified.
func (t *backendTable) memoryTokens(service string) int {
	if s := t.serviceConfig(service); s != nil && s.Model != nil {
		return s.Model.MemoryTokens
	}
	return 0
}

func healthKey(s *deployment.Server) health.Key {
	return health.Key{Server: s.ID, Model: s.Service}
}

// put adds or updates a server's entry. It returns the previous entry, if there
// was one.
func (t *backendTable) put(s deployment.Server, now time.Time) (previous deployment.Server, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.byID[s.ID]
	if ok && old.info.Address == s.Address && old.info.StartedAtMillis == s.StartedAtMillis && old.info.Service == s.Service {
		previous = old.info
		old.info, old.removedAt = s, time.Time{}
		return previous, true
	}
	if ok {
		previous, known = old.info, true
		old.pool.Close()
	}
	b := &backend{info: s, id: s.ID, service: s.Service, hash: xxhash.Sum64String(s.ID), cachedParts: map[uint64]time.Time{}}
	b.shortHash = uint32(b.hash)
	b.announced = t.announcements.Status(processOf(&s), now)
	service := s.Service
	b.pool = upstream.NewPool(s.Address, upstream.Config{
		DialTimeout:        dialTimeout,
		DefaultIdleTimeout: defaultIdleTimeout,
		SourceAddress:      t.sourceAddress,
		Dial:               t.dial,
		MaxConnections: func() int {
			return max(int(connectionShare*float64(t.maxConnections(service)))/t.members(), minConnections)
		},
		HeadWait: cancelledHeadWait,
		OnHead: func(status int, header http.Header, sentAt time.Time) {
			if t.onHead != nil {
				t.onHead(b, status, header, sentAt)
			}
		},
		OnData: func() { b.heardAt.Store(int64(time.Since(t.startedAt))) },
	})
	t.byID[s.ID] = b
	t.health.Add(healthKey(&s), now)
	t.index(old, b)
	return previous, known
}

// markRemoved marks a server whose entry was removed from the store. It returns
// the server's last entry, and false if the server is unknown or already marked.
func (t *backendTable) markRemoved(id string, now time.Time) (deployment.Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.byID[id]
	if !ok || !b.removedAt.IsZero() {
		return deployment.Server{}, false
	}
	b.removedAt = now
	return b.info, true
}

// isLeaving reports whether the server has announced that it will stop, or its
// entry was removed.
func (t *backendTable) isLeaving(b *backend) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return b.leaves() || !b.removedAt.IsZero()
}

// leaves reports whether the server has announced that it will stop, in its entry or in an
// answer. The caller must hold the table's lock.
func (b *backend) leaves() bool { return b.info.Leaving || b.announced.Leaving }

// recordLeaving records that a server has stated that it leaves, see
// announcements.Table.RecordLeaving.
func (t *backendTable) recordLeaving(p announcements.Process, sentMillis int64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	isNew := t.announcements.RecordLeaving(p, sentMillis, now)
	t.refreshAnnounced(p.ServerID, now)
	return isNew
}

// recordBackoff records that a server wants no requests for a while. It returns the end of
// the backoff and whether it has just begun.
func (t *backendTable) recordBackoff(id string, backoff time.Duration, now time.Time) (until time.Time, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, isNew = t.announcements.RecordBackoff(id, backoff, now)
	t.refreshAnnounced(id, now)
	return until, isNew
}

// refreshAnnounced copies what a server has stated to its entry. The caller must hold the
// lock.
func (t *backendTable) refreshAnnounced(id string, now time.Time) {
	if b, ok := t.byID[id]; ok {
		b.announced = t.announcements.Status(processOf(&b.info), now)
	}
}

func processOf(s *deployment.Server) announcements.Process {
	return announcements.Process{ServerID: s.ID, StartedAtMillis: s.StartedAtMillis}
}

// maySend reports whether an attempt that is placed may still be sent to its server.
func (t *backendTable) maySend(p *placedAttempt, now time.Time) bool {
	return t.announcements.Status(processOf(&p.info), now).MaySend(now)
}

// wantsRequests reports whether a server has neither announced that it will stop nor that it
// wants no requests for a while.
func (t *backendTable) wantsRequests(b *backend, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !b.leaves() && b.announced.MaySend(now)
}

// byProcess returns the server with an ID whose process started at a Unix time, nil if it is
// not known.
func (t *backendTable) byProcess(id string, startedAtMillis int64) *backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.byID[id]
	if b == nil || b.info.StartedAtMillis != startedAtMillis {
		return nil
	}
	return b
}

// forgetFailures forgets the failed connections to a service's servers, and closes the
// connections that carry no request.
func (t *backendTable) forgetFailures(service string) {
	t.mu.Lock()
	servers := slices.Clone(t.byService[service])
	for _, b := range servers {
		b.connectFailures, b.unreachableUntil, b.silentUntil = 0, time.Time{}, time.Time{}
	}
	t.mu.Unlock()
	for _, b := range servers {
		b.pool.CloseIdle()
	}
}

// unplaced returns an attempt on a server without load, for checks.
func (t *backendTable) unplaced(b *backend) *placedAttempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &placedAttempt{server: b, info: b.info}
}

// probeCandidates returns the servers of a service that may be asked whether they answer, as
// attempts that are not placed.
func (t *backendTable) probeCandidates(service string, now time.Time) []*placedAttempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*placedAttempt
	for _, b := range t.byService[service] {
		if b.removedAt.IsZero() && !b.leaves() && b.announced.MaySend(now) {
			out = append(out, &placedAttempt{server: b, info: b.info})
		}
	}
	return out
}

// processAt returns the process that b stands for. A later one with the same ID has another
// backend.
func (t *backendTable) processAt(b *backend) announcements.Process {
	t.mu.Lock()
	defer t.mu.Unlock()
	return processOf(&b.info)
}

// entry returns the present entry of a server, nil if there is none.
func (t *backendTable) entry(id string) *deployment.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.byID[id]
	if !ok {
		return nil
	}
	s := b.info
	return &s
}

// hasRestarted reports whether a later entry shows that the server's process has ended:
// a new process has registered under the same ID.
func (t *backendTable) hasRestarted(b *backend) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.byID[b.id]
	return current != nil && current != b && current.info.StartedAtMillis > b.info.StartedAtMillis
}

// byShortHash returns the ID and service of the server with a short hash, and false if there
// is none.
func (t *backendTable) byShortHash(hash uint32) (id, service string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.byID {
		if b.shortHash == hash {
			return b.id, b.service, true
		}
	}
	return "", "", false
}

// roomAt returns the time from which a server may have room within the limit that it has
// named, and false if it has named none. The caller must hold the table's lock.
func (t *backendTable) roomAt(b *backend, now time.Time) (at time.Time, limited bool) {
	return t.limits.RoomAt(b.shortHash, b.info.StartedAtMillis, now)
}

// isLimited reports whether a server has named a limit.
func (t *backendTable) isLimited(b *backend) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, limited := t.limits.Rate(b.shortHash, b.info.StartedAtMillis)
	return limited
}

// sweep deletes servers whose removal is longer ago than maxUseAfterRemoval, drops
// expired cached parts and peer loads, and closes idle connections.
func (t *backendTable) sweep(now time.Time) {
	t.announcements.Sweep(now)
	t.mu.Lock()
	var pools []*upstream.Pool
	changed := false
	for id, b := range t.byID {
		if !b.removedAt.IsZero() && now.Sub(b.removedAt) > maxUseAfterRemoval {
			delete(t.byID, id)
			b.pool.Close()
			changed = true
			continue
		}
		pools = append(pools, b.pool)
		for part, at := range b.cachedParts {
			if now.Sub(at) > cachedPartTTL {
				delete(b.cachedParts, part)
			}
		}
	}
	for vm, l := range t.peerLoads {
		if now.Sub(l.receivedAt) > maxLoadAge {
			delete(t.peerLoads, vm)
		}
	}
	if changed {
		t.reindex()
		t.health.Retain(func(id string) bool { return t.byID[id] != nil })
	}
	t.mu.Unlock()
	for _, p := range pools {
		p.Sweep(now)
	}
}

// setPeerLoads replaces the loads reported under a key.
func (t *backendTable) setPeerLoads(key string, loads []gossip.Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerLoads[key] = peerLoad{receivedAt: now, loads: loads}
}

// setActiveKeys replaces the keys under which peers' loads are counted.
func (t *backendTable) setActiveKeys(keys map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.activeKeys = keys
}

// ownLoads returns this node's loads for a digest.
func (t *backendTable) ownLoads() []gossip.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []gossip.Load
	for _, b := range t.byID {
		if b.ownLoad.Running > 0 || b.ownLoad.PrefillTokens > 0 {
			out = append(out, gossip.Load{
				Server: b.shortHash, PrefillTokens: uint64(max(b.ownLoad.PrefillTokens, 0)), Running: uint64(max(b.ownLoad.Running, 0)), MemoryTokens: uint64(max(b.ownLoad.MemoryTokens, 0)),
			})
		}
	}
	return out
}

// servers returns the entries of a service's servers, without removed ones.
func (t *backendTable) servers(service string) []deployment.Server {
	return t.serversWhere(service, func(*backend) bool { return true })
}

// reachableServers returns the entries of a service's servers, without removed
// ones and those that are avoided after a failed connection.
func (t *backendTable) reachableServers(service string, now time.Time) []deployment.Server {
	return t.serversWhere(service, func(b *backend) bool { return !now.Before(b.unreachableUntil) })
}

func (t *backendTable) serversWhere(service string, keep func(b *backend) bool) []deployment.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []deployment.Server
	for _, b := range t.byService[service] {
		if b.removedAt.IsZero() && keep(b) {
			s := b.info
			s.Leaving = b.leaves()
			out = append(out, s)
		}
	}
	return out
}

// versionsPresent reports whether a service has servers of the given version, and
// whether it has servers of other versions. Leaving and removed servers are not
// counted.
func (t *backendTable) versionsPresent(service, version string) (hasVersion, hasOtherVersions bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.byService[service] {
		switch {
		case !b.removedAt.IsZero() || b.leaves():
		case b.info.SoftwareVersion == version:
			hasVersion = true
		default:
			hasOtherVersions = true
		}
	}
	return hasVersion, hasOtherVersions
}

func (t *backendTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}

// placedAttempt is an attempt that is assigned to a server, with the load that it
// adds there.
type placedAttempt struct {
	server *backend
	// info is the server's entry when it was chosen.
	info      deployment.Server
	choice    placement.Choice
	load      placement.Load
	inPrefill bool
	health    health.Key
	// hasPlace is set if the attempt has got one of the places of a brittle server.
	hasPlace bool
	// onRelease is called once the attempt is released, if it is set.
	onRelease func()
}

// serverQuery describes the server that an attempt needs.
type serverQuery struct {
	service string
	request placement.Request
	parts   []platform.Part
	zone    string
	exclude map[string]bool
	// preferred holds the hashes of servers of which one is chosen if any of them is
	// usable.
	preferred map[uint32]bool
	// versions restricts the servers to a software version while a version move is
	// in progress.
	versions versionFilter
	// isReplacement is set if the request is running on another server. Servers that
	// are full, removed, unreachable or silent are not chosen then.
	isReplacement bool
	// skipLimited is set if room at limited servers is for other requests.
	skipLimited bool
}

// choose picks a server and adds the attempt's load to it. It returns nil if
// there is no server.
func (t *backendTable) choose(query *serverQuery, now time.Time, random *rand.Rand) *placedAttempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	servers := t.usable(query, now)
	if len(servers) == 0 {
		return nil
	}
	if len(query.preferred) > 0 {
		servers = preferredOf(servers, query.preferred)
	}
	t.candidates = t.candidates[:0]
	peerTotals := t.peerTotals(now)
	memory := t.memoryTokens(query.service)
	for _, b := range servers {
		c := t.candidate(b, query, peerTotals[b.shortHash], now)
		c.MemoryTokens = memory
		t.candidates = append(t.candidates, c)
	}
	choice := placement.Choose(placement.DefaultCost, query.request, t.candidates, random)
	if choice.Index < 0 {
		return nil
	}
	return t.reserve(servers[choice.Index], choice, query, now)
}

// preferredOf returns the servers whose hashes are preferred, all if there is none.
func preferredOf(servers []*backend, preferred map[uint32]bool) []*backend {
	var out []*backend
	for _, b := range servers {
		if preferred[b.shortHash] {
			out = append(out, b)
		}
	}
	if len(out) == 0 {
		return servers
	}
	return out
}

// nextDue returns the time from which the first server may be used that wants no requests
// before, and false if there is none. isLimit is true if that is because of a limit.
func (t *backendTable) nextDue(query *serverQuery, now time.Time) (due time.Time, isLimit, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	places := t.servicePlaces(query.service, now)
	for _, b := range t.byService[query.service] {
		until := b.announced.BackoffUntil
		roomAt, limited := t.roomAt(b, now)
		if !places.hasPlace(b, &query.request) {
			roomAt, limited = later(roomAt, now.Add(placeCheckInterval)), true
		}
		limited = limited && !roomAt.Before(until)
		if limited {
			until = roomAt
		}
		if query.exclude[b.id] || b.leaves() || !b.removedAt.IsZero() || !query.versions.allows(&b.info) || !limited && !now.Before(until) {
			continue
		}
		if !ok || until.Before(due) {
			due, isLimit, ok = until, limited, true
		}
	}
	return due, isLimit, ok
}

// hasUsable reports whether there is a server that may be chosen.
func (t *backendTable) hasUsable(query *serverQuery, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.usable(query, now)) > 0
}

// usable returns the servers that may be chosen. Full, removed and unreachable
// servers are returned only if there are no others, in this order of preference.
// The caller must hold the lock.
func (t *backendTable) usable(query *serverQuery, now time.Time) []*backend {
	var available, full, removed, unreachable []*backend
	places := t.servicePlaces(query.service, now)
	for _, b := range t.byService[query.service] {
		switch {
		case query.exclude[b.info.ID] || b.info.Leaving || !query.versions.allows(&b.info):
		case !b.announced.MaySend(now) || !t.mayHaveRoom(b, query, now):
		case places.isBrittle(b) && (query.skipLimited || !places.hasPlace(b, &query.request) || query.isReplacement && !places.isDivided(b)):
		case !b.removedAt.IsZero():
			if now.Sub(b.removedAt) < maxUseAfterRemoval {
				removed = append(removed, b)
			}
		case now.Before(b.unreachableUntil):
			unreachable = append(unreachable, b)
		case now.Before(b.fullUntil):
			full = append(full, b)
		default:
			available = append(available, b)
		}
	}
	switch {
	case query.isReplacement:
		return t.mostRecentlyHeard(available, now)
	case len(available) > 0:
		return available
	case len(full) > 0:
		return full
	case len(removed) > 0:
		return removed
	}
	return unreachable
}

// mayHaveRoom reports whether a server has named no limit, or may have room within it. A
// limited server is no replacement. The caller must hold the lock.
func (t *backendTable) mayHaveRoom(b *backend, query *serverQuery, now time.Time) bool {
	at, limited := t.roomAt(b, now)
	return !limited || !query.isReplacement && !query.skipLimited && !now.Before(at)
}

// mostRecentlyHeard returns the servers from which bytes have arrived recently. If there
// is none, it returns all of them that have not failed a check recently. Ejected servers
// are left out. The caller must hold the lock.
func (t *backendTable) mostRecentlyHeard(servers []*backend, now time.Time) []*backend {
	var heard, others []*backend
	for _, b := range servers {
		switch {
		case t.health.Weight(healthKey(&b.info), now) == 0:
		case t.heardRecently(b, now):
			heard = append(heard, b)
		case now.After(b.silentUntil):
			others = append(others, b)
		}
	}
	if len(heard) > 0 {
		return heard
	}
	return others
}

// isOnlyServer reports whether the service of a server has no other one that stays.
func (t *backendTable) isOnlyServer(b *backend) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, other := range t.byService[b.service] {
		if other.id != b.id && other.removedAt.IsZero() && !other.leaves() {
			return false
		}
	}
	return true
}

// heardRecently reports whether bytes have arrived from the server within
// recentlyHeard.
func (t *backendTable) heardRecently(b *backend, now time.Time) bool {
	at := b.heardAt.Load()
	return at > 0 && now.Sub(t.startedAt)-time.Duration(at) < recentlyHeard
}

// silence returns the time since bytes last arrived from the server on any connection,
// and false if none ever have.
func (t *backendTable) silence(b *backend, now time.Time) (time.Duration, bool) {
	at := b.heardAt.Load()
	return now.Sub(t.startedAt) - time.Duration(at), at > 0
}

// recordSilent records that a server has not answered a check.
func (t *backendTable) recordSilent(p *placedAttempt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.server.silentUntil = now.Add(silentBackoff)
}

// recordConnectFailure records a failed connection to the server, and starts or
// doubles its connect backoff.
func (t *backendTable) recordConnectFailure(p *placedAttempt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := p.server
	b.unreachableUntil = now.Add(min(minConnectBackoff<<min(b.connectFailures, 8), maxConnectBackoff))
	b.connectFailures++
}

// recordConnected records that the server has answered, which ends its connect
// backoff.
func (t *backendTable) recordConnected(p *placedAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.server.connectFailures, p.server.unreachableUntil = 0, time.Time{}
}

// peerTotals returns the load that peers report for each server, by short hash, until the next
// call. Expired reports and those under inactive keys are not counted. The caller must
// hold the lock.
func (t *backendTable) peerTotals(now time.Time) map[uint32]placement.Load {
	totals := t.totals
	clear(totals)
	for key, p := range t.peerLoads {
		if now.Sub(p.receivedAt) > maxLoadAge || t.activeKeys[key] == 0 {
			continue
		}
		for _, l := range p.loads {
			s := totals[l.Server]
			s.Add(placement.Load{PrefillTokens: float64(l.PrefillTokens), Running: float64(l.Running), MemoryTokens: float64(l.MemoryTokens)})
			totals[l.Server] = s
		}
	}
	return totals
}

// candidate returns the placement's view of a server. Its cached tokens are the
// tokens of the query's leading parts that the server is assumed to have cached. The
// caller must hold the lock.
func (t *backendTable) candidate(b *backend, query *serverQuery, peers placement.Load, now time.Time) placement.Candidate {
	load := b.ownLoad
	load.Add(peers)
	key := healthKey(&b.info)
	c := placement.Candidate{
		Hash:     b.hash,
		Load:     load,
		Slots:    b.info.Slots,
		Slowdown: t.health.Slowdown(key, now),
		Weight:   t.health.Weight(key, now),
		SameZone: b.info.AvailabilityZone == query.zone,
	}
	for _, p := range query.parts {
		at, ok := b.cachedParts[p.ID]
		if !ok || now.Sub(at) > cachedPartTTL {
			break
		}
		c.CachedTokens += float64(p.Tokens)
	}
	return c
}

// reserve adds the attempt's load to the server and records the query's parts as
// cached there. The caller must hold the lock.
func (t *backendTable) reserve(b *backend, choice placement.Choice, query *serverQuery, now time.Time) *placedAttempt {
	p := &placedAttempt{
		server:    b,
		info:      b.info,
		choice:    choice,
		inPrefill: query.request.PromptTokens > 0,
		health:    healthKey(&b.info),
		load:      placement.Load{PrefillTokens: choice.UncachedTokens, Running: 1, MemoryTokens: float64(query.request.PromptTokens + query.request.AnswerTokens)},
	}
	if !p.inPrefill {
		p.load = placement.Load{Running: 1}
	}
	b.ownLoad.Add(p.load)
	if _, limited := t.roomAt(b, now); !query.isReplacement && !limited {
		b.recordCached(query.parts, now)
	}
	return p
}

// recordCached records the parts of a request that is sent to the server. The caller must
// hold the table's lock.
func (b *backend) recordCached(parts []platform.Part, now time.Time) {
	for _, part := range parts {
		if len(b.cachedParts) >= maxCachedParts {
			return
		}
		b.cachedParts[part.ID] = now
	}
}

// recordSent records that a request is sent to a server that was chosen as a replacement, or
// that has a limit.
func (t *backendTable) recordSent(p *placedAttempt, parts []platform.Part, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.server.recordCached(parts, now)
}

// endPrefill removes the prompt from the server's prefill load when the first
// token has arrived.
func (t *backendTable) endPrefill(p *placedAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.inPrefill {
		p.inPrefill = false
		p.server.ownLoad.PrefillTokens -= p.load.PrefillTokens
		p.load.PrefillTokens = 0
	}
}

// release removes the attempt's load from the server. It must be called exactly
// once.
func (t *backendTable) release(p *placedAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.onRelease != nil {
		go p.onRelease()
	}
	p.server.ownLoad.Add(placement.Load{PrefillTokens: -p.load.PrefillTokens, Running: -p.load.Running, MemoryTokens: -p.load.MemoryTokens})
}

// recordFull records that the server rejected the attempt for lack of capacity and
// so did not cache the prompt.
func (t *backendTable) recordFull(p *placedAttempt, parts []platform.Part, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.server.fullUntil = now.Add(fullBackoff)
	if len(parts) > 0 {
		delete(p.server.cachedParts, parts[len(parts)-1].ID)
	}
}
