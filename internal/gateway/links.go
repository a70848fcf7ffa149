package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
)

const (
	// linkProbeInterval is the time between two probes of a service's servers while the
	// links to them are cut.
	linkProbeInterval = 500 * time.Millisecond
	// suspicionProbes is the number of servers that are probed at once when links are
	// suspected.
	suspicionProbes = 2
)

// usesTunnels reports whether requests for a service are sent through peers.
func (n *Node) usesTunnels(service string) bool {
	return n.links.IsCut(service) && len(n.members.tunnelPeers()) > 0
}

// isLinkFailure reports whether err, of an exchange on a connection of this VM, may be due to
// its link: the connection could not be opened, or broke off before any byte arrived.
func isLinkFailure(err error) bool {
	switch {
	case err == nil || errors.IsAny(err, upstream.ErrConnectionLimit, upstream.ErrWithdrawn, upstream.ErrAnswerStarted, upstream.ErrInvalid):
		return false
	case errors.Is(err, upstream.ErrNotSent):
		return true
	}
	return errors.Is(err, upstream.ErrNewConnection) && isDisconnect(err)
}

// recordLinkFailure records that a connection of this VM to a server, begun at startedAt, has
// failed.
func (n *Node) recordLinkFailure(b *backend, startedAt time.Time) {
	servers := len(n.backends.servers(b.service))
	if n.links.Failed(b.service, b.id, servers, startedAt, n.now()) {
		go n.checkLinks(b.service)
	}
}

// checkLinks probes servers of a service to which no connection has failed. If none answers,
// the links are cut, and what was recorded about the servers is forgotten: it was no evidence.
func (n *Node) checkLinks(service string) {
	var probes sync.WaitGroup
	var others []*placedAttempt
	for _, p := range n.backends.probeCandidates(service, n.now()) {
		if !n.links.HasFailed(service, p.server.id) {
			others = append(others, p)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, p := range others[:min(len(others), suspicionProbes)] {
		probes.Go(func() { n.probeLink(n.ctx, p) })
	}
	probes.Wait()
	now, servers := n.now(), len(n.backends.servers(service))
	if !n.links.Checked(service, servers, now) {
		return
	}
	n.log.Failure("links", "cut", "service", service, "servers", servers, "probed", len(others), "peers", len(n.members.tunnelPeers()))
	n.metrics.linksCut.WithLabelValues(service).Set(1)
	n.backends.forgetFailures(service)
	n.health.Forget(service, now)
	n.members.sendEarly()
	n.probeLinks(n.ctx, service, now)
}

// recordLinkWorked records that a server has answered on a connection of this VM that was
// begun at startedAt.
func (n *Node) recordLinkWorked(b *backend, startedAt time.Time) {
	n.links.Worked(b.service, b.id, len(n.backends.servers(b.service)), startedAt)
}

// probeLinks probes the servers of a service until the links to them are restored.
func (n *Node) probeLinks(ctx context.Context, service string, cutAt time.Time) {
	for ctx.Err() == nil && n.links.IsCut(service) {
		candidates := n.backends.probeCandidates(service, n.now())
		if len(candidates) == 0 || !n.probeLink(ctx, candidates[rand.IntN(len(candidates))]) {
			sleep(ctx, linkProbeInterval)
		}
	}
	n.metrics.linksCut.WithLabelValues(service).Set(0)
	n.log.Event("links", "restored", "service", service, "after", n.now().Sub(cutAt))
	n.members.sendEarly()
}

// probeLink asks a server whether it answers, and reports whether it has.
func (n *Node) probeLink(ctx context.Context, p *placedAttempt) bool {
	startedAt := n.now()
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	connection, err := p.server.pool.Connect(ctx, n.checkRequest(p))
	if err != nil {
		return false
	}
	connection.Release()
	n.recordLinkWorked(p.server, startedAt)
	return true
}
