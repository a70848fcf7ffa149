package gateway

// This file keeps the load that placed attempts add to their servers, from the choice to
// the release.

import (
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/coordination/placement"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// maxCachedParts bounds the cached parts that are tracked for one engine.
	maxCachedParts = 4096
	// fullBackoff is the time after a rejection for lack of capacity during which
	// a server is chosen only if no other server is available.
	fullBackoff = 150 * time.Millisecond
)

// maySend reports whether an attempt that is placed may still be sent to its server.
func (t *backendTable) maySend(p *placedAttempt, now time.Time) bool {
	return !t.isEvacuated(&p.info) && t.announcements.Status(processOf(&p.info), now).MaySend(now)
}

// unplaced returns an attempt on a server without load, for checks.
func (t *backendTable) unplaced(b *backend) *placedAttempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &placedAttempt{server: b, info: b.info}
}

// ownLoads returns this node's loads for a digest.
func (t *backendTable) ownLoads() []gossip.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []gossip.Load
	for _, b := range t.byID {
		if b.ownLoad.Running > 0 || b.ownLoad.PrefillTokens > 0 {
			out = append(out, gossip.Load{
				AnswerTokens: uint64(max(b.ownLoad.AnswerTokens, 0)),
				Server:       b.shortHash, PrefillTokens: uint64(max(b.ownLoad.PrefillTokens, 0)), Running: uint64(max(b.ownLoad.Running, 0)), MemoryTokens: uint64(max(b.ownLoad.MemoryTokens, 0)),
			})
		}
	}
	return out
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
	// isCold is set if the server was cold when it was chosen.
	isCold bool
	health health.Key
	// hasPlace is set if the attempt has got one of the places of a brittle server.
	hasPlace bool
	// onRelease is called once the attempt is released, if it is set.
	onRelease func()
}

// reserve adds the attempt's load to the server and records the query's parts as
// cached there. The caller must hold the lock.
func (t *backendTable) reserve(b *backend, choice placement.Choice, query *serverQuery, now time.Time) *placedAttempt {
	p := &placedAttempt{
		server:    b,
		info:      b.info,
		choice:    choice,
		inPrefill: query.request.PromptTokens > 0,
		isCold:    t.cold.IsCold(b.id, now),
		health:    healthKey(&b.info),
		load:      placement.Load{PrefillTokens: choice.UncachedTokens, Running: 1, MemoryTokens: float64(query.request.PromptTokens + query.request.AnswerTokens), AnswerTokens: query.answer.Mean},
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
	p.server.ownLoad.Add(placement.Load{PrefillTokens: -p.load.PrefillTokens, Running: -p.load.Running, MemoryTokens: -p.load.MemoryTokens, AnswerTokens: -p.load.AnswerTokens})
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
