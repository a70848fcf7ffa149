package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/coordination/placement"
	"coltsfootpath.example/coltsfootpath/internal/state/site"
	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// dialTimeout bounds a connection to a backend server, which takes a
	// millisecond or two while the server is well.
	dialTimeout = 400 * time.Millisecond
	// idleWithoutHint is how long a connection is kept whose server does not
	// say how long it keeps it: it states whole seconds alone.
	idleWithoutHint = 600 * time.Millisecond
	// cacheMemory is how long a prompt's part is taken to stay in an engine.
	cacheMemory = 60 * time.Second
	// maxCachedParts bounds the parts remembered of one engine.
	maxCachedParts = 4096
	// fullFor is how long a server that refused a request for want of room is
	// chosen last.
	fullFor = 150 * time.Millisecond
	// loadAge is how long a peer's word on its load counts.
	loadAge = 2 * time.Second
	// awayFirst is how long a server that could not be connected to is passed over
	// while there are others; the time doubles up to awayMost.
	awayFirst = time.Second
	awayMost  = 8 * time.Second
	// goneUse is how long a server whose entry is gone may still be used where
	// its service has no other: entries expire while the store is away.
	goneUse = 1500 * time.Millisecond
	// connectionShare of a server's connections is used by all entry VMs.
	connectionShare = 0.85
	// defaultConnections is what a server takes of which the document does not say.
	defaultConnections = 100
	// minConnections is what an entry VM may open to any server.
	minConnections = 4
)

// backend is one backend server with this VM's work on it.
type backend struct {
	info   site.Server
	hash   uint64
	short  uint32
	pool   *upstream.Pool
	goneAt time.Time

	// The fields below are guarded by the table's lock.
	own       placement.Load
	cached    map[uint64]time.Time
	fullUntil time.Time
	// refusals counts the connections in a row that could not be made, and
	// awayUntil is when the next one is tried.
	refusals  int
	awayUntil time.Time
}

// backendTable holds all backend servers. Its lock is taken before the locks of
// the health table and of pools, never after them.
type backendTable struct {
	mu        sync.Mutex
	byID      map[string]*backend
	byService map[string][]*backend
	peerLoads map[string]peerLoad
	// counted are the keys of peerLoads that count now.
	counted map[string]int
	health  *health.Table
	members func() int
	// service is what the document says of a service, nil where it does not.
	service func(name string) *site.Service
}

type peerLoad struct {
	at    time.Time
	loads []gossip.Load
}

func newBackendTable(h *health.Table) *backendTable {
	return &backendTable{
		byID:      map[string]*backend{},
		byService: map[string][]*backend{},
		peerLoads: map[string]peerLoad{},
		health:    h,
	}
}

// maxConnections is how many connections a server of a service takes.
func (t *backendTable) maxConnections(service string) int {
	if s := t.service(service); s != nil && s.MaxConnections > 0 {
		return s.MaxConnections
	}
	return defaultConnections
}

// memoryOf is the memory of an engine of a service in tokens, 0 for none.
func (t *backendTable) memoryOf(service string) int {
	if s := t.service(service); s != nil && s.Model != nil {
		return s.Model.MemoryTokens
	}
	return 0
}

func healthKey(s *site.Server) health.Key {
	return health.Key{Server: s.ID, Model: s.Service}
}

// put takes a server's entry. It returns the entry before, if there was one.
func (t *backendTable) put(s site.Server, now time.Time) (before site.Server, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.byID[s.ID]
	if ok && old.info.Address == s.Address && old.info.BornMillis == s.BornMillis && old.info.Service == s.Service {
		before = old.info
		old.info, old.goneAt = s, time.Time{}
		return before, true
	}
	if ok {
		before, known = old.info, true
		old.pool.Close()
	}
	b := &backend{info: s, hash: xxhash.Sum64String(s.ID), cached: map[uint64]time.Time{}}
	b.short = uint32(b.hash)
	service := s.Service
	b.pool = upstream.NewPool(s.Address, upstream.Config{
		DialTimeout:     dialTimeout,
		IdleWithoutHint: idleWithoutHint,
		MaxConnections: func() int {
			return max(int(connectionShare*float64(t.maxConnections(service)))/t.members(), minConnections)
		},
	})
	t.byID[s.ID] = b
	t.health.Add(healthKey(&s), now)
	t.index()
	return before, known
}

// gone takes the end of a server's entry.
func (t *backendTable) gone(id string, now time.Time) (site.Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.byID[id]
	if !ok || !b.goneAt.IsZero() {
		return site.Server{}, false
	}
	b.goneAt = now
	return b.info, true
}

// sweep forgets servers that are long gone, and closes idle connections.
func (t *backendTable) sweep(now time.Time) {
	t.mu.Lock()
	var pools []*upstream.Pool
	changed := false
	for id, b := range t.byID {
		if !b.goneAt.IsZero() && now.Sub(b.goneAt) > goneUse {
			delete(t.byID, id)
			b.pool.Close()
			changed = true
			continue
		}
		pools = append(pools, b.pool)
		for part, at := range b.cached {
			if now.Sub(at) > cacheMemory {
				delete(b.cached, part)
			}
		}
	}
	for vm, l := range t.peerLoads {
		if now.Sub(l.at) > loadAge {
			delete(t.peerLoads, vm)
		}
	}
	if changed {
		t.index()
		t.health.Retain(func(id string) bool { return t.byID[id] != nil })
	}
	t.mu.Unlock()
	for _, p := range pools {
		p.Sweep(now)
	}
}

func (t *backendTable) index() {
	t.byService = map[string][]*backend{}
	for _, b := range t.byID {
		t.byService[b.info.Service] = append(t.byService[b.info.Service], b)
	}
}

// hearLoads takes the loads that are told under a name.
func (t *backendTable) hearLoads(key string, loads []gossip.Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerLoads[key] = peerLoad{at: now, loads: loads}
}

// countLoads says under which keys loads count now.
func (t *backendTable) countLoads(keys map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counted = keys
}

// ownLoads returns this VM's loads for a digest.
func (t *backendTable) ownLoads() []gossip.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []gossip.Load
	for _, b := range t.byID {
		if b.own.Running > 0 || b.own.Prefill > 0 {
			out = append(out, gossip.Load{
				Server: b.short, Prefill: uint64(max(b.own.Prefill, 0)), Running: uint64(max(b.own.Running, 0)), Memory: uint64(max(b.own.Memory, 0)),
			})
		}
	}
	return out
}

// listed returns the entries of a service's servers.
func (t *backendTable) listed(service string) []site.Server {
	return t.entries(service, func(*backend) bool { return true })
}

// reachable returns them but for servers that could not be connected to lately.
func (t *backendTable) reachable(service string, now time.Time) []site.Server {
	return t.entries(service, func(b *backend) bool { return !now.Before(b.awayUntil) })
}

func (t *backendTable) entries(service string, keep func(b *backend) bool) []site.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []site.Server
	for _, b := range t.byService[service] {
		if b.goneAt.IsZero() && keep(b) {
			out = append(out, b.info)
		}
	}
	return out
}

// versions tells whether a service has servers of a version, and of others, that
// stay.
func (t *backendTable) versions(service, version string) (has, hasOthers bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.byService[service] {
		switch {
		case !b.goneAt.IsZero() || b.info.Leaving:
		case b.info.SoftwareVersion == version:
			has = true
		default:
			hasOthers = true
		}
	}
	return has, hasOthers
}

func (t *backendTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}

// pick is a server chosen for an attempt, with the load that it was given.
type pick struct {
	server  *backend
	choice  placement.Choice
	load    placement.Load
	prefill bool
	health  health.Key
}

// wanted is what an attempt asks of the table.
type wanted struct {
	service string
	request placement.Request
	parts   []platform.Part
	zone    string
	avoid   map[string]bool
	// prefer tells which servers are of the version that the request goes to.
	prefer versionChoice
}

// choose picks a server and counts the attempt on it, nil where there is none.
func (t *backendTable) choose(w *wanted, now time.Time, random *rand.Rand) *pick {
	t.mu.Lock()
	defer t.mu.Unlock()
	servers := t.usable(w, now)
	if len(servers) == 0 {
		return nil
	}
	list := make([]placement.Candidate, len(servers))
	sums := t.peerSums(now)
	memory := t.memoryOf(w.service)
	for i, b := range servers {
		list[i] = t.candidate(b, w, sums[b.short], now)
		list[i].MemoryTokens = memory
	}
	choice := placement.Choose(placement.DefaultCost, w.request, list, random)
	if choice.Index < 0 {
		return nil
	}
	return t.begin(servers[choice.Index], choice, w, now)
}

// usable returns the servers that may take the attempt. Those that refused lately,
// or could not be connected to, are left out while there are others.
func (t *backendTable) usable(w *wanted, now time.Time) []*backend {
	var open, full, fading, away []*backend
	for _, b := range t.byService[w.service] {
		switch {
		case w.avoid[b.info.ID] || b.info.Leaving || !w.prefer.allows(&b.info):
		case !b.goneAt.IsZero():
			if now.Sub(b.goneAt) < goneUse {
				fading = append(fading, b)
			}
		case now.Before(b.awayUntil):
			away = append(away, b)
		case now.Before(b.fullUntil):
			full = append(full, b)
		default:
			open = append(open, b)
		}
	}
	switch {
	case len(open) > 0:
		return open
	case len(full) > 0:
		return full
	case len(fading) > 0:
		return fading
	}
	return away
}

// notConnected notes that a server could not be connected to.
func (t *backendTable) notConnected(p *pick, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := p.server
	b.awayUntil = now.Add(min(awayFirst<<min(b.refusals, 8), awayMost))
	b.refusals++
}

// connected notes that a server has answered.
func (t *backendTable) connected(p *pick) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.server.refusals, p.server.awayUntil = 0, time.Time{}
}

func (t *backendTable) peerSums(now time.Time) map[uint32]placement.Load {
	sums := map[uint32]placement.Load{}
	for key, p := range t.peerLoads {
		if now.Sub(p.at) > loadAge || t.counted[key] == 0 {
			continue
		}
		for _, l := range p.loads {
			s := sums[l.Server]
			s.Add(placement.Load{Prefill: float64(l.Prefill), Running: float64(l.Running), Memory: float64(l.Memory)})
			sums[l.Server] = s
		}
	}
	return sums
}

func (t *backendTable) candidate(b *backend, w *wanted, peers placement.Load, now time.Time) placement.Candidate {
	load := b.own
	load.Add(peers)
	key := healthKey(&b.info)
	c := placement.Candidate{
		Hash:   b.hash,
		Load:   load,
		Slots:  b.info.Slots,
		Slow:   t.health.Slowdown(key, now),
		Weight: t.health.Weight(key, now),
		Near:   b.info.AvailabilityZone == w.zone,
	}
	for _, p := range w.parts {
		at, ok := b.cached[p.ID]
		if !ok || now.Sub(at) > cacheMemory {
			break
		}
		c.Cached += float64(p.Tokens)
	}
	return c
}

func (t *backendTable) begin(b *backend, choice placement.Choice, w *wanted, now time.Time) *pick {
	p := &pick{
		server:  b,
		choice:  choice,
		prefill: w.request.Prompt > 0,
		health:  healthKey(&b.info),
		load:    placement.Load{Prefill: choice.Uncached, Running: 1, Memory: float64(w.request.Prompt + w.request.Answer)},
	}
	if !p.prefill {
		p.load = placement.Load{Running: 1}
	}
	b.own.Add(p.load)
	for _, part := range w.parts {
		if len(b.cached) >= maxCachedParts {
			break
		}
		b.cached[part.ID] = now
	}
	return p
}

// began takes the prompt off the server's queue: its first token has come.
func (t *backendTable) began(p *pick) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.prefill {
		p.prefill = false
		p.server.own.Prefill -= p.load.Prefill
		p.load.Prefill = 0
	}
}

// release takes the attempt off the server. It is called once.
func (t *backendTable) release(p *pick) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.server.own.Add(placement.Load{Prefill: -p.load.Prefill, Running: -p.load.Running, Memory: -p.load.Memory})
}

// refusedForRoom notes that a server had no room, and that its prompt was not
// read.
func (t *backendTable) refusedForRoom(p *pick, parts []platform.Part, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.server.fullUntil = now.Add(fullFor)
	if len(parts) > 0 {
		delete(p.server.cached, parts[len(parts)-1].ID)
	}
}
