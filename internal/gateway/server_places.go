package gateway

import (
	"context"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/announcements"
	"coltsfootpath.example/coltsfootpath/internal/coordination/placement"
	"coltsfootpath.example/coltsfootpath/internal/coordination/serverlimit"
	"coltsfootpath.example/coltsfootpath/internal/coordination/serverplaces"
	"coltsfootpath.example/coltsfootpath/internal/protocol/relayapi"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// placeCheckInterval is the time after which a request that waits for a place at a brittle
	// server looks for one again.
	placeCheckInterval = 10 * time.Millisecond
	// maxPlaceRejectionTime bounds the time to a rejection for lack of room, which comes at
	// once. A later one has another reason.
	maxPlaceRejectionTime = 100 * time.Millisecond
)

// serverPlaces keeps what brittle servers have stated: that they fail if they have to reject
// more requests in a second than they name. All nodes together then use no more places than a
// server has, and let none of their requests wait there.
type serverPlaces struct {
	node    *Node
	table   *serverlimit.Table
	granter *serverplaces.Granter
}

func newServerPlaces(n *Node) *serverPlaces {
	return &serverPlaces{node: n, table: n.backends.brittle, granter: serverplaces.NewGranter()}
}

// observe records what an answer tells about the rejections that its server survives.
func (r *serverPlaces) observe(service, id string, process announcements.Process, head platform.Answer, sentAt, now time.Time) {
	stated := statedRate{"brittle", head.IsBrittle, head.Rejections, head.BrittleErr}
	if s, changed := r.node.observeRate(r.table, stated, service, id, process, head, sentAt, now); changed {
		r.logChange(process.ServerID, service, s, id)
		r.node.members.sendEarly()
	}
}

// merge records what a peer has heard.
func (r *serverPlaces) merge(statements []serverlimit.Statement, vm string, now time.Time) {
	for _, s := range statements {
		if id, service, ok := r.node.backends.byShortHash(s.Server); r.table.Merge(s, now) && ok {
			r.logChange(id, service, s, vm)
		}
	}
}

func (r *serverPlaces) logChange(server, service string, s serverlimit.Statement, source string) {
	if s.Ended {
		r.node.log.Event("servers", "brittle-ended", "server", server, "service", service, "source", source)
		return
	}
	r.node.log.Event("servers", "brittle", "server", server, "service", service, "rejections-per-second", s.Rate, "places", s.Places, "source", source)
}

// recordRejection records that a brittle server has rejected an attempt for lack of room: it
// has no more places than requests were running.
func (r *serverPlaces) recordRejection(a *attempt) {
	n, now, b := r.node, r.node.now(), a.placed.server
	if !a.placed.hasPlace || a.head.Misdirected || now.Sub(a.startedAt) > maxPlaceRejectionTime {
		return
	}
	known, running, isBrittle := n.backends.placesAndLoad(b, now)
	if !isBrittle {
		return
	}
	places := serverplaces.AfterRejection(known, running-1)
	if r.table.LimitPlaces(b.shortHash, places, now) {
		n.log.Failure("servers", "brittle-rejected", "server", b.id, "service", b.service, "id", a.q.call.ID, "places", places, "before", known)
		n.members.sendEarly()
	}
}

// isBrittle reports whether a server is brittle.
func (r *serverPlaces) isBrittle(b *backend) bool {
	t := r.node.backends
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.servicePlaces(b.service, r.node.now()).isBrittle(b)
}

// sweep updates the metrics and forgets servers that are gone.
func (r *serverPlaces) sweep(now time.Time) {
	n := r.node
	r.granter.Sweep(now)
	r.table.Retain(func(server uint32) bool {
		_, _, ok := n.backends.byShortHash(server)
		return ok
	}, n.clock.unixMillis(now)-limitKeepTime.Milliseconds())
	n.metrics.brittleServers.Reset()
	for server := range r.table.Limits() {
		if id, service, ok := n.backends.byShortHash(server); ok {
			n.metrics.brittleServers.WithLabelValues(id, service).Set(float64(n.backends.placesOf(id)))
		}
	}
}

// servicePlaces is a view of the places of a service's brittle servers. It is nil if there are none,
// and valid while the table's lock is held.
type servicePlaces struct {
	table  *backendTable
	totals map[uint32]placement.Load
	now    time.Time
}

// servicePlaces returns the places of a service's servers. The caller must hold the lock.
func (t *backendTable) servicePlaces(service string, now time.Time) *servicePlaces {
	if t.brittle.IsEmpty() {
		return nil
	}
	for _, b := range t.byService[service] {
		if s, ok := t.brittle.Statement(b.shortHash); ok && !s.Ended {
			return &servicePlaces{table: t, totals: t.peerTotals(now), now: now}
		}
	}
	return nil
}

// isBrittle reports whether a server of the service is brittle: it has stated so, or nothing
// is known of it yet while others have. A statement outlasts the server's process, as one that
// has failed starts again under the same conditions.
func (p *servicePlaces) isBrittle(b *backend) bool {
	if p == nil {
		return false
	}
	s, ok := p.table.brittle.Statement(b.shortHash)
	return !ok || !s.Ended
}

// count returns the number of places of a server.
func (p *servicePlaces) count(b *backend) int {
	places := max(b.info.Slots, 1)
	if s, ok := p.table.brittle.Statement(b.shortHash); ok && s.Places > 0 {
		places = min(places, s.Places)
	}
	return places
}

// hasPlace reports whether this node may use another place of a server, for the request.
func (p *servicePlaces) hasPlace(b *backend, request *placement.Request) bool {
	if !p.isBrittle(b) {
		return true
	}
	if !p.fitsMemory(b, request) {
		return false
	}
	places, own := p.count(b), int(b.ownLoad.Running)
	if !p.isDivided(b) {
		return own < places && !p.now.Before(b.noPlaceUntil)
	}
	return own+int(p.totals[b.shortHash].Running) < places && own < p.share(b)
}

// fitsMemory reports whether a server has memory for the request beside those that run: without,
// one of them waits. This node uses its share of the memory at most, or has one request there.
func (p *servicePlaces) fitsMemory(b *backend, request *placement.Request) bool {
	memory := placement.MaxMemoryShare * float64(p.table.memoryTokens(b.service))
	needed, own, peers := float64(request.PromptTokens+request.AnswerTokens), b.ownLoad, p.totals[b.shortHash]
	if memory == 0 || own.Running+peers.Running == 0 {
		return true
	}
	if own.MemoryTokens+peers.MemoryTokens+needed > memory {
		return false
	}
	return own.Running == 0 || !p.isDivided(b) || (own.MemoryTokens+needed)*float64(p.count(b)) <= memory*float64(p.share(b))
}

// isDivided reports whether every VM has a share of a server's places.
func (p *servicePlaces) isDivided(b *backend) bool { return p.count(b) > len(p.table.servingVMs) }

// share returns this node's share of a server's places.
func (p *servicePlaces) share(b *backend) int {
	return serverplaces.Share(p.count(b), b.hash, p.table.self, p.table.servingVMs, p.table.unixMillis(p.now))
}

// takePlace takes a place for an attempt on a brittle server, and reports whether there is one.
func (r *serverPlaces) takePlace(ctx context.Context, p *placedAttempt) bool {
	n, b, now := r.node, p.server, r.node.now()
	places, isShared, hasTurn := n.backends.placeFor(b, now)
	if places == 0 {
		return true
	}
	if !isShared {
		hold := defaultRequestTimeout
		if end, ok := ctx.Deadline(); ok {
			hold = end.Sub(now)
		}
		reply, err := n.limits.ask(ctx, &relayapi.PermitRequest{Server: b.shortHash, Places: places, HoldMillis: hold.Milliseconds() + 1})
		switch {
		case err != nil:
			n.metrics.permits.WithLabelValues(b.service, "no-granter").Inc()
			n.log.Failure("servers", "place-not-asked", "server", b.id, "service", b.service, "granter", n.members.granter(), "error", err)
			if !hasTurn {
				n.backends.recordNoPlace(b, now.Add(dueCheckInterval))
				return false
			}
		case !reply.Granted:
			n.metrics.permits.WithLabelValues(b.service, "denied").Inc()
			n.backends.recordNoPlace(b, now.Add(time.Duration(reply.WaitMillis)*time.Millisecond))
			return false
		default:
			p.onRelease = func() { r.release(b, reply.Lease) }
		}
	}
	p.hasPlace = true
	n.metrics.permits.WithLabelValues(b.service, "place").Inc()
	n.limits.queue.Granted(b.service, now)
	return true
}

// release tells the granter that a place is free again. If that fails, it is free once the time
// has passed for which it was asked for.
func (r *serverPlaces) release(b *backend, lease uint64) {
	n := r.node
	if _, err := n.limits.ask(n.ctx, &relayapi.PermitRequest{Server: b.shortHash, Release: lease}); err != nil {
		n.log.Failure("servers", "place-not-released", "server", b.id, "service", b.service, "granter", n.members.granter(), "error", err)
	}
}

// permit handles a call for a place, or the release of one.
func (r *serverPlaces) permit(in *relayapi.PermitRequest) *relayapi.PermitReply {
	if in.Release > 0 {
		r.granter.Release(in.Server, in.Release)
		return &relayapi.PermitReply{Granted: true}
	}
	now := r.node.now()
	lease, wait := r.granter.Take(in.Server, in.Places, r.node.backends.reportedRunning(in.Server, now), time.Duration(in.HoldMillis)*time.Millisecond, now)
	return &relayapi.PermitReply{Granted: lease > 0, Lease: lease, WaitMillis: wait.Milliseconds()}
}

// placeFor returns the places of a brittle server, 0 for any other, whether each VM has a share
// of them, and, if not, whether it is this node's turn while the granter can't be asked. The
// attempt for which a place is needed is counted already.
func (t *backendTable) placeFor(b *backend, now time.Time) (places int, isShared, hasTurn bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.servicePlaces(b.service, now)
	if !p.isBrittle(b) {
		return 0, false, false
	}
	return p.count(b), p.isDivided(b), int(b.ownLoad.Running) <= p.share(b)
}

// recordNoPlace records that no place at a server is to be asked for until a time.
func (t *backendTable) recordNoPlace(b *backend, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b.noPlaceUntil = until
}

// reportedRunning returns the number of requests that run on a server as far as VMs have
// reported, this one included.
func (t *backendTable) reportedRunning(server uint32, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	running := t.peerTotals(now)[server].Running
	for _, b := range t.byID {
		if b.shortHash == server {
			running += b.ownLoad.Running
		}
	}
	return int(running)
}

// placesAndLoad returns the places of a brittle server and the requests that run there as far
// as is known.
func (t *backendTable) placesAndLoad(b *backend, now time.Time) (places, running int, isBrittle bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.servicePlaces(b.service, now)
	if !p.isBrittle(b) {
		return 0, 0, false
	}
	return p.count(b), int(b.ownLoad.Running + p.totals[b.shortHash].Running), true
}

// placesOf returns the places of a server, 0 if it is not known.
func (t *backendTable) placesOf(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.byID[id]
	if b == nil {
		return 0
	}
	return (&servicePlaces{table: t}).count(b)
}

// setServingVMs replaces the names of the other VMs that serve requests.
func (t *backendTable) setServingVMs(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.servingVMs = names
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
