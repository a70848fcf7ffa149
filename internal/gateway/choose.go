package gateway

// This file chooses the server of an attempt: it collects what is known of the usable
// servers and asks the placement.

import (
	"math/rand/v2"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/cost"
	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/coordination/placement"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// maxLoadAge is the age at which a peer's load report expires.
	maxLoadAge = 2 * time.Second
)

type peerLoad struct {
	receivedAt time.Time
	loads      []gossip.Load
}

// roomAt returns the time from which a server may have room within the limit that it has
// named, and false if it has named none. The caller must hold the table's lock.
func (t *backendTable) roomAt(b *backend, now time.Time) (at time.Time, limited bool) {
	at, limited = t.limits.RoomAt(b.shortHash, b.info.StartedAtMillis, now)
	coldAt, cold := t.coldRoomAt(b, now)
	return later(at, coldAt), limited || cold
}

// isLimited reports whether a server has named a limit.
func (t *backendTable) isLimited(b *backend) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, limited := t.limits.Rate(b.shortHash, b.info.StartedAtMillis)
	return limited
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

// serverQuery describes the server that an attempt needs.
type serverQuery struct {
	service string
	route   string
	// answer is the predicted length of the answer in tokens.
	answer  cost.Estimate
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
	choice := placement.Choose(t.costs.RatesOfRoute(query.service, query.route, now), query.request, t.candidates, random)
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
		if query.exclude[b.id] || t.isEvacuated(&b.info) || b.leaves() || !b.removedAt.IsZero() || !query.versions.allows(&b.info) || !limited && !now.Before(until) {
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
		case query.exclude[b.info.ID] || t.isEvacuated(&b.info) || b.info.Leaving || !query.versions.allows(&b.info):
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

// isOnlyServer reports whether the service of a server has no other one that stays.
func (t *backendTable) isOnlyServer(b *backend) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, other := range t.byService[b.service] {
		if other.id != b.id && other.removedAt.IsZero() && !other.leaves() && !t.isEvacuated(&other.info) {
			return false
		}
	}
	return true
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
			s.Add(placement.Load{PrefillTokens: float64(l.PrefillTokens), Running: float64(l.Running), MemoryTokens: float64(l.MemoryTokens), AnswerTokens: float64(l.AnswerTokens)})
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
		Slowdown: t.expectedSlowdown(b, key, now),
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
