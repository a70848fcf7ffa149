package gateway

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/announcements"
	"coltsfootpath.example/coltsfootpath/internal/coordination/serverlimit"
	"coltsfootpath.example/coltsfootpath/internal/protocol/relayapi"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// permitTimeout bounds the call for a permit, which takes milliseconds.
	permitTimeout = 150 * time.Millisecond
	// limitKeepTime is the time after its last statement for which the limit of a server
	// without an entry is kept. Entries may be missing while the store is away.
	limitKeepTime = 10 * time.Minute
	// maxDigestLimits bounds the statements about limits in a digest.
	maxDigestLimits = 16
)

// serverLimits keeps this node's requests within the limits that servers name. The node that
// holds the lease of the singleton duties, or held it last, is the granter.
type serverLimits struct {
	node    *Node
	table   *serverlimit.Table
	granter *serverlimit.Granter
	queue   *serverlimit.Queue
}

func newServerLimits(n *Node) *serverLimits {
	return &serverLimits{node: n, table: n.backends.limits, granter: serverlimit.NewGranter(), queue: serverlimit.NewQueue()}
}

// observe records what an answer tells about the limit of the server that sent it.
func (l *serverLimits) observe(service, id string, process announcements.Process, head platform.Answer, sentAt, now time.Time) {
	stated := statedRate{"limit", head.HasLimit, head.Limit, head.LimitErr}
	if s, changed := l.node.observeRate(l.table, stated, service, id, process, head, sentAt, now); changed {
		l.logChange(process.ServerID, service, s, id)
	}
}

// statedRate is what an answer states about a rate of its server.
type statedRate struct {
	name  string
	has   bool
	value float64
	// err is set if the rate can't be read.
	err error
}

// observeRate records in table what an answer states about a rate, and reports whether that is
// news.
func (n *Node) observeRate(table *serverlimit.Table, stated statedRate, service, id string, process announcements.Process, head platform.Answer, sentAt, now time.Time) (s serverlimit.Statement, changed bool) {
	if stated.err != nil {
		n.log.Failure("servers", "unreadable-"+stated.name, "server", process.ServerID, "service", service, "id", id, "error", stated.err)
		n.metrics.announcements.WithLabelValues(service, "unreadable-"+stated.name).Inc()
		return s, false
	}
	// Only an answer of the server itself shows that it states none.
	if !stated.has && (head.Misdirected || !head.Sealed && !head.NotRun) {
		return s, false
	}
	if stated.has {
		n.metrics.announcements.WithLabelValues(service, stated.name).Inc()
	}
	return table.Observe(serverlimit.Observation{
		Server: shortHash(process.ServerID), HasLimit: stated.has, Rate: stated.value,
		SentAt: n.clock.unixMillis(sentAt), ArrivedAt: n.clock.unixMillis(now),
	}, now)
}

// merge records what a peer has heard of limits.
func (l *serverLimits) merge(statements []serverlimit.Statement, vm string, now time.Time) {
	for _, s := range statements {
		if id, service, ok := l.node.backends.byShortHash(s.Server); l.table.Merge(s, now) && ok {
			l.logChange(id, service, s, vm)
		}
	}
}

// logChange logs the change of a server's limit. source is the request whose answer stated
// it, or the VM that has passed it on.
func (l *serverLimits) logChange(server, service string, s serverlimit.Statement, source string) {
	if s.Ended {
		l.node.log.Event("servers", "limit-ended", "server", server, "service", service, "source", source)
		return
	}
	l.node.log.Event("servers", "limit", "server", server, "service", service, "per-second", s.Rate, "source", source)
}

// logNoRoom logs the limits because of which a request is rejected: the limit of each server
// and the time since it was last stated, to any VM. room is the time until there will be room.
func (l *serverLimits) logNoRoom(q *request, room time.Duration) {
	n, nowMillis := l.node, l.node.clock.unixMillis(l.node.now())
	statements := l.table.Limits()
	var limits []string
	for _, s := range n.backends.servers(q.service) {
		if x, limited := statements[shortHash(s.ID)]; limited {
			limits = append(limits, fmt.Sprintf("%s:%g:%dms", s.ID, x.Rate, nowMillis-x.At))
		}
	}
	slices.Sort(limits)
	n.log.Failure("servers", "no-room", "id", q.call.ID, "service", q.service, "ahead", l.queue.Ahead(q.service, q.room.place, q.priority()), "room-in", room, "granter", n.members.granter(), "limits", strings.Join(limits, ","))
}

// permitResult is what has become of an attempt for which a permit may be needed.
type permitResult string

// Values of permitResult, as the metrics name them.
const (
	permitNotNeeded permitResult = ""
	permitGranted   permitResult = "granted"
	permitOwnShare  permitResult = "own-share"
	permitDenied    permitResult = "denied"
	permitNotAsked  permitResult = "no-granter"
)

func (r permitResult) isDenied() bool { return r == permitDenied || r == permitNotAsked }

// takePermit gets the permits for an attempt on a server that has named a limit or is cold, and
// reports whether the request may be sent there.
func (l *serverLimits) takePermit(ctx context.Context, p *placedAttempt, parts []platform.Part) bool {
	n := l.node
	if !n.places.takePlace(ctx, p) {
		return false
	}
	service := p.server.service
	named := l.ofNamedLimit(ctx, p)
	l.count(service, "", named)
	if named.isDenied() {
		return false
	}
	cold := l.ofColdServer(ctx, p)
	l.count(service, "cold-", cold)
	if cold.isDenied() {
		n.metrics.diverted.WithLabelValues(service, "cold").Inc()
		return false
	}
	if named != permitNotNeeded || cold != permitNotNeeded {
		l.queue.Granted(service, n.now())
		n.backends.recordSent(p, parts, n.now())
	}
	return true
}

func (l *serverLimits) count(service, prefix string, r permitResult) {
	if r != permitNotNeeded {
		l.node.metrics.permits.WithLabelValues(service, prefix+string(r)).Inc()
	}
}

// ofNamedLimit gets a permit for a server that has named a limit.
func (l *serverLimits) ofNamedLimit(ctx context.Context, p *placedAttempt) permitResult {
	b := p.server
	if _, limited := l.table.Rate(b.shortHash, p.info.StartedAtMillis); !limited {
		return permitNotNeeded
	}
	return l.permit(ctx, l.table, b, b.shortHash, p.info.StartedAtMillis)
}

// ofColdServer gets a permit for a server that is cold.
func (l *serverLimits) ofColdServer(ctx context.Context, p *placedAttempt) permitResult {
	b, t := p.server, l.node.backends
	if _, limited := t.coldRate(b, l.node.now()); !limited {
		return permitNotNeeded
	}
	return l.permit(ctx, t.coldLimits, b, b.shortHash^coldBucket, 0)
}

// permit gets a permit from the granter, or from this node's own share of the limit that table
// holds under key.
func (l *serverLimits) permit(ctx context.Context, table *serverlimit.Table, b *backend, key uint32, startedAtMillis int64) permitResult {
	n := l.node
	ask, s := table.Begin(key, startedAtMillis, n.members.count(), n.now())
	switch ask {
	case serverlimit.Unlimited:
		return permitNotNeeded
	case serverlimit.OwnShare:
		return permitOwnShare
	case serverlimit.NoRoom:
		return permitDenied
	}
	reply, err := l.ask(ctx, &relayapi.PermitRequest{Server: s.Server, Rate: s.Rate})
	if err != nil {
		table.AskFailed(s.Server, n.now())
		n.log.Failure("servers", "permit-not-asked", "server", b.id, "service", b.service, "granter", n.members.granter(), "error", err)
		return permitNotAsked
	}
	table.Asked(s.Server, time.Duration(reply.WaitMillis)*time.Millisecond, n.now())
	if !reply.Granted {
		return permitDenied
	}
	return permitGranted
}

var errNoGranter = errors.New("no VM holds the lease")

// ask asks the granter for a permit.
func (l *serverLimits) ask(ctx context.Context, request *relayapi.PermitRequest) (*relayapi.PermitReply, error) {
	n := l.node
	granter := n.members.granter()
	switch granter {
	case "":
		return nil, errNoGranter
	case n.settings.PeerAddress:
		return n.Permit(ctx, request)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), permitTimeout)
	defer cancel()
	return relayapi.AskPermit(ctx, n.peerPool.Conn(ctx, granter), request)
}

// Permit handles a call for a permit.
func (n *Node) Permit(_ context.Context, in *relayapi.PermitRequest) (*relayapi.PermitReply, error) {
	if in.Places > 0 || in.Release > 0 {
		return n.places.permit(in), nil
	}
	granted, wait := n.limits.granter.Ask(in.Server, in.Rate, n.now())
	// A wait of less than a millisecond must not become none.
	return &relayapi.PermitReply{Granted: granted, WaitMillis: (wait + time.Millisecond - 1).Milliseconds()}, nil
}

// granter returns the peer address of the VM that gives out permits, empty if none is known.
func (m *members) granter() string {
	if _, _, holds := m.node.duties.leaseState(m.node.now()); holds {
		return m.node.settings.PeerAddress
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.Holder().Address
}

// sweep updates the metrics and forgets servers that are gone.
func (l *serverLimits) sweep(now time.Time) {
	n := l.node
	l.granter.Sweep(now)
	l.table.Retain(func(server uint32) bool {
		_, _, ok := n.backends.byShortHash(server)
		return ok
	}, n.clock.unixMillis(now)-limitKeepTime.Milliseconds())
	n.metrics.serverLimits.Reset()
	for server, s := range l.table.Limits() {
		if id, service, ok := n.backends.byShortHash(server); ok {
			n.metrics.serverLimits.WithLabelValues(id, service).Set(s.Rate)
		}
	}
}

// evenInterval returns the time between two requests of an even share of the limits of a
// service's servers.
func (l *serverLimits) evenInterval(service string) time.Duration {
	total := 0.0
	now := l.node.now()
	for _, s := range l.node.backends.servers(service) {
		rate, limited := l.table.Rate(shortHash(s.ID), s.StartedAtMillis)
		if cold, isCold := l.node.backends.coldRateOf(s.ID, now); isCold && (!limited || cold < rate) {
			rate, limited = cold, true
		}
		if limited {
			total += max(rate, serverlimit.MinRate)
		}
	}
	if total == 0 {
		return 0
	}
	return time.Duration(float64(l.node.members.count()) / total * float64(time.Second))
}

// waitForRoom is the state of a request that waits for room at limited servers.
type waitForRoom struct{ place *serverlimit.Waiter }

// expectedRoom returns the time at which the request can expect room at a limited server. due
// is the time from which this node may ask for the next permit.
func (q *request) expectedRoom(due, now time.Time) time.Time {
	l := q.node.limits
	ahead := l.queue.Ahead(q.service, q.room.place, q.priority())
	if ahead == 0 {
		return due
	}
	interval := l.queue.Interval(q.service, l.evenInterval(q.service), now)
	return due.Add(time.Duration(ahead) * interval)
}

// mustYield reports whether room at limited servers is for requests that wait already.
func (q *request) mustYield() bool {
	return q.node.limits.queue.Ahead(q.service, q.room.place, q.priority()) > 0
}

// joinQueue adds the request to those that wait for room.
func (q *request) joinQueue(now time.Time) {
	if q.room.place == nil {
		q.room.place = q.node.limits.queue.Join(q.service, q.priority(), now)
	}
}

// leaveQueue removes the request from those that wait for room, if it is among them.
func (q *request) leaveQueue() {
	if q.room.place != nil {
		q.node.limits.queue.Leave(q.room.place)
		q.room.place = nil
	}
}
