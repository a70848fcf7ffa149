package gateway

import (
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/announcements"
	"coltsfootpath.example/coltsfootpath/internal/coordination/coldservers"
	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// coldSlowdown is the factor by which a cold server is expected to be slower at least.
	coldSlowdown = 2
	// coldBucket distinguishes the permits for cold servers from those for the limits that the
	// same servers name, at the granter.
	coldBucket uint32 = 0x436f6c64
)

// observeCold records for how long a server remains cold. source tells where that is from.
func (n *Node) observeCold(server, service string, left time.Duration, source coldservers.Source, now time.Time) {
	if n.backends.cold.Observe(server, left, source, now) {
		n.log.Event("servers", "cold", "server", server, "service", service, "for", left, "source", source)
	}
}

// observeColdAnswer records what an answer states about its server.
func (n *Node) observeColdAnswer(service string, process announcements.Process, head platform.Answer, now time.Time) {
	switch {
	case head.ColdErr != nil:
		n.log.Failure("servers", "unreadable-cold", "server", process.ServerID, "service", service, "error", head.ColdErr)
		n.metrics.announcements.WithLabelValues(service, "unreadable-cold").Inc()
	case head.StatesCold:
		n.observeCold(process.ServerID, service, head.Cold, coldservers.Health, now)
	}
}

// expectCold records that the servers of a zone that is taken back are cold until they state
// otherwise.
func (n *Node) expectCold(zone string, now time.Time) {
	for _, s := range n.backends.serversIn(zone) {
		if c := n.serviceConfig(s.Service); c != nil && c.ColdTime > 0 {
			n.observeCold(s.ID, s.Service, c.ColdTime, coldservers.Expected, now)
		}
	}
}

// sweepCold updates the metrics, and logs and forgets the servers that have turned warm.
func (n *Node) sweepCold(now time.Time) {
	for _, id := range n.backends.cold.Sweep(now) {
		service := ""
		if s := n.backends.entry(id); s != nil {
			service = s.Service
		}
		n.log.Event("servers", "warm", "server", id, "service", service)
	}
	cold := map[uint32]bool{}
	n.metrics.coldServers.Reset()
	for _, id := range n.backends.cold.Cold(now) {
		cold[shortHash(id)] = true
		if s := n.backends.entry(id); s != nil {
			n.metrics.coldServers.WithLabelValues(s.Service).Inc()
		}
	}
	n.backends.coldLimits.Retain(func(server uint32) bool { return cold[server^coldBucket] }, 1)
}

// coldLimit returns the limit of a service's cold servers.
func (n *Node) coldLimit(service string) coldservers.Limit {
	c, settings := n.serviceConfig(service), n.liveSettings.Load()
	if c == nil {
		return coldservers.Limit{}
	}
	return coldservers.Limit{PerSecond: c.ColdPerSecond, Over: settings.ColdOver, Slack: settings.ColdSlack}
}

// coldRate returns the rate at which permits are given out for a server, and false if it is
// not cold or has no limit. It keeps the rate for coldLimits.
func (t *backendTable) coldRate(b *backend, now time.Time) (rate float64, limited bool) {
	if t.coldLimit == nil || !t.cold.IsCold(b.id, now) {
		return 0, false
	}
	rate, limited = t.coldLimit(b.service).Rate()
	if limited {
		t.coldLimits.SetRate(b.shortHash^coldBucket, rate)
	}
	return rate, limited
}

// coldRateOf is coldRate for the server with an ID.
func (t *backendTable) coldRateOf(id string, now time.Time) (rate float64, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.byID[id]
	if b == nil {
		return 0, false
	}
	return t.coldRate(b, now)
}

// coldRoomAt returns the time from which this node may ask for a permit for a cold server, and
// false if it needs none.
func (t *backendTable) coldRoomAt(b *backend, now time.Time) (at time.Time, limited bool) {
	if _, limited := t.coldRate(b, now); !limited {
		return time.Time{}, false
	}
	return t.coldLimits.RoomAt(b.shortHash^coldBucket, 0, now)
}

// expectedSlowdown is slowdown with at least coldSlowdown for a cold server.
func (t *backendTable) expectedSlowdown(b *backend, key health.Key, now time.Time) float64 {
	s := t.slowdown(b, key, now)
	if _, limited := t.coldRate(b, now); limited {
		return max(s, coldSlowdown)
	}
	return s
}

// serversIn returns the entries of a zone's servers, without removed ones.
func (t *backendTable) serversIn(zone string) (out []deployment.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.byID {
		if b.info.AvailabilityZone == zone && b.removedAt.IsZero() {
			out = append(out, b.info)
		}
	}
	return out
}
