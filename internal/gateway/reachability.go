package gateway

// This file records from which servers bytes arrive and which of them are avoided.

import (
	"time"

	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
)

const (
	// minConnectBackoff is the time for which a server is avoided after a failed
	// connection, unless there is no other. It doubles with each further failure,
	// up to maxConnectBackoff.
	minConnectBackoff = time.Second
	maxConnectBackoff = 8 * time.Second
	// recentlyHeard is the age up to which received bytes show that a server answers.
	recentlyHeard = 250 * time.Millisecond
	// silentBackoff is the time after a check without an answer until the next one.
	silentBackoff = 500 * time.Millisecond
)

// forgetFailures forgets the failed connections to a service's servers, and closes the
// connections that carry no request.
func (t *backendTable) forgetFailures(service string) {
	t.mu.Lock()
	servers := t.byService[service]
	for _, b := range servers {
		b.connectFailures, b.unreachableUntil, b.silentUntil = 0, time.Time{}, time.Time{}
	}
	t.mu.Unlock()
	for _, b := range servers {
		b.pool.CloseIdle()
	}
}

// probeCandidates returns the servers of a service that may be asked whether they answer, as
// attempts that are not placed.
func (t *backendTable) probeCandidates(service string, now time.Time) []*placedAttempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*placedAttempt
	for _, b := range t.byService[service] {
		if b.removedAt.IsZero() && !t.isEvacuated(&b.info) && !b.leaves() && b.announced.MaySend(now) {
			out = append(out, &placedAttempt{server: b, info: b.info})
		}
	}
	return out
}

// reachableServers returns the entries of a service's servers, without removed
// ones and those that are avoided after a failed connection.
func (t *backendTable) reachableServers(service string, now time.Time) []deployment.Server {
	return t.serversWhere(service, func(b *backend) bool { return !now.Before(b.unreachableUntil) })
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
