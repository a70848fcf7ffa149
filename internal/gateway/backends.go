package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/announcements"
	"coltsfootpath.example/coltsfootpath/internal/coordination/coldservers"
	"coltsfootpath.example/coltsfootpath/internal/coordination/cost"
	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/coordination/placement"
	"coltsfootpath.example/coltsfootpath/internal/coordination/serverlimit"
	"coltsfootpath.example/coltsfootpath/internal/coordination/zoneevacuation"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
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
	// cancelledHeadWait is the time for which a server's answer to a request that was
	// cancelled may still begin, so that what the server states is known.
	cancelledHeadWait = 2 * time.Second
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
	// departure is what is known of the server's end. It does not change.
	departure *departure
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
	// costs predicts what requests cost.
	costs *cost.Model
	// announcements holds what servers have stated in their answers.
	announcements *announcements.Table
	// limits holds the limits that servers have named.
	limits *serverlimit.Table
	// brittle holds what servers have stated about the rejections that they survive.
	brittle *serverlimit.Table
	// zones holds the availability zones that the operator has evacuated.
	zones *zoneevacuation.Table
	// cold holds the servers that are cold, coldLimit returns the limit of a service's cold
	// servers, and coldLimits holds the limits of those that got requests.
	cold       *coldservers.Table
	coldLimit  func(service string) coldservers.Limit
	coldLimits *serverlimit.Table
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

func newBackendTable(h *health.Table) *backendTable {
	return &backendTable{
		startedAt: time.Now(),
		byID:      map[string]*backend{},
		byService: map[string][]*backend{},
		byAddress: map[string][]*backend{},
		peerLoads: map[string]peerLoad{},
		totals:    map[uint32]placement.Load{},
		health:    h,
		costs:     cost.NewModel(),

		announcements: announcements.NewTable(),
		limits:        serverlimit.NewTable(newRandom()),
		brittle:       serverlimit.NewTable(newRandom()),
		zones:         zoneevacuation.NewTable(),
		cold:          coldservers.NewTable(),
		coldLimits:    serverlimit.NewTable(newRandom()),
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
		if old.leaves() {
			old.departure.announce()
		}
		return previous, true
	}
	if ok {
		previous, known = old.info, true
		old.pool.Close()
	}
	b := &backend{info: s, id: s.ID, service: s.Service, hash: xxhash.Sum64String(s.ID), cachedParts: map[uint64]time.Time{}, departure: newDeparture()}
	b.shortHash = uint32(b.hash)
	b.announced = t.announcements.Status(processOf(&s), now)
	if b.leaves() {
		b.departure.announce()
	}
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
	b.departure.announce()
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
		if b.leaves() {
			b.departure.announce()
		}
	}
}

func processOf(s *deployment.Server) announcements.Process {
	return announcements.Process{ServerID: s.ID, StartedAtMillis: s.StartedAtMillis}
}

// wantsRequests reports whether a server has neither announced that it will stop nor that it
// wants no requests for a while, and its zone is not evacuated.
func (t *backendTable) wantsRequests(b *backend, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.isEvacuated(&b.info) && !b.leaves() && b.announced.MaySend(now)
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
		t.retainCosts()
	}
	t.mu.Unlock()
	for _, p := range pools {
		p.Sweep(now)
	}
}

// servers returns the entries of a service's servers, without removed ones.
func (t *backendTable) servers(service string) []deployment.Server {
	return t.serversWhere(service, func(*backend) bool { return true })
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
		case !b.removedAt.IsZero() || b.leaves() || t.isEvacuated(&b.info):
		case b.info.SoftwareVersion == version:
			hasVersion = true
		default:
			hasOtherVersions = true
		}
	}
	return hasVersion, hasOtherVersions
}

// runningOnOthers returns the number of requests that run on a service's servers of other
// versions than the given one, as far as VMs have reported.
func (t *backendTable) runningOnOthers(service, version string, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals, running := t.peerTotals(now), 0.0
	for _, b := range t.byService[service] {
		if b.info.SoftwareVersion != version {
			running += b.ownLoad.Running + totals[b.shortHash].Running
		}
	}
	return int(running)
}

func (t *backendTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}
