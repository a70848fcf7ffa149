package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
)

const (
	// linkProbeInterval is the time between two probes of a service's servers while the
	// links to them are cut.
	linkProbeInterval = 300 * time.Millisecond
	// linkCheckPoll is the interval at which the end of a check is awaited.
	linkCheckPoll = 10 * time.Millisecond
	// probesAtOnce is the number of servers that are probed at the same time.
	probesAtOnce = 2
	// peerChecks is the number of servers that peers are asked to connect to when links are
	// suspected.
	peerChecks = 4
)

// usesTunnels reports whether requests for a service are sent through peers.
func (n *Node) usesTunnels(service string) bool {
	return n.links.IsCut(service) && len(n.members.tunnelPeers()) > 0
}

// isLinkFailure reports whether err, of an exchange on a connection of this VM, may be due to
// its link: the connection could not be opened, or broke off before any byte arrived.
func isLinkFailure(err error) bool {
	switch {
	case err == nil || errors.IsAny(err, upstream.ErrConnectionLimit, upstream.ErrWithdrawn) || isBrokenAnswer(err):
		return false
	case errors.Is(err, upstream.ErrNotSent):
		return true
	}
	return errors.Is(err, upstream.ErrNewConnection) && isDisconnect(err)
}

// isBrokenAnswer reports whether err, of an exchange on a connection of this VM, means that an answer
// has begun, or bytes have arrived that are none. The link has worked.
func isBrokenAnswer(err error) bool {
	return errors.IsAny(err, upstream.ErrAnswerStarted, upstream.ErrInvalid)
}

// recordLinkFailure records that a connection of this VM to a server, begun at startedAt, has
// failed.
func (n *Node) recordLinkFailure(b *backend, startedAt time.Time) {
	servers := n.backends.countOutsideEvacuated(b.service)
	if n.links.Failed(b.service, b.id, servers, startedAt, n.now()) {
		n.log.Event("links", "suspected", "service", b.service, "server", b.id)
		if n.moves.losses.doubt(b.service, n.now()) {
			n.members.sendEarly()
		}
		go n.checkLinks(b.service)
	}
}

// checkLinks decides whether the links to a service's servers are cut: a peer reaches servers
// to which connections have failed, and none of the others answers a probe. If so,
// what was recorded about the servers is forgotten: it was no evidence.
func (n *Node) checkLinks(service string) {
	var failed, others []*placedAttempt
	for _, p := range n.backends.probeCandidates(service, n.now()) {
		if n.links.HasFailed(service, p.server.id) {
			failed = append(failed, p)
		} else {
			others = append(others, p)
		}
	}
	var checks, probes sync.WaitGroup
	var reached atomic.Int32
	for _, p := range draw(failed, peerChecks) {
		checks.Go(func() {
			if state, ok := n.checkServerThroughPeer(p.server); ok && state == serverNotChecked {
				reached.Add(1)
			}
		})
	}
	checks.Wait()
	// Usually the servers are down, and no probe is needed.
	if reached.Load() > 0 {
		for _, p := range draw(others, probesAtOnce) {
			probes.Go(func() { n.probeLink(n.ctx, p) })
		}
	}
	probes.Wait()
	now, servers := n.now(), n.backends.countOutsideEvacuated(service)
	isCut := n.links.Checked(service, servers, int(reached.Load()), now)
	n.moves.losses.settle(service, isCut, now)
	if !isCut {
		return
	}
	n.log.Failure("links", "cut", "service", service, "servers", servers, "failed", len(failed), "reached-by-peers", int(reached.Load()), "peers", len(n.members.tunnelPeers()))
	n.metrics.linksCut.WithLabelValues(service).Set(1)
	n.backends.forgetFailures(service)
	n.health.Forget(service, now)
	n.members.sendEarly()
	n.probeLinks(n.ctx, service, now)
}

// awaitLinkCheck waits while the links to a service's servers are suspected.
func (n *Node) awaitLinkCheck(service string) {
	for n.ctx.Err() == nil && n.links.IsSuspected(service) {
		sleep(n.ctx, linkCheckPoll)
	}
}

// draw returns some of the attempts at random.
func draw(attempts []*placedAttempt, count int) []*placedAttempt {
	rand.Shuffle(len(attempts), func(i, j int) { attempts[i], attempts[j] = attempts[j], attempts[i] })
	return attempts[:min(len(attempts), count)]
}

// recordLinkWorked records that a server has answered on a connection of this VM that was
// begun at startedAt.
func (n *Node) recordLinkWorked(b *backend, startedAt time.Time) {
	n.links.Worked(b.service, b.id, n.backends.countOutsideEvacuated(b.service), startedAt)
}

// probeLinks probes the servers of a service until the links to them are restored.
func (n *Node) probeLinks(ctx context.Context, service string, cutAt time.Time) {
	for ctx.Err() == nil && n.links.IsCut(service) {
		var probes sync.WaitGroup
		for _, p := range draw(n.backends.probeCandidates(service, n.now()), probesAtOnce) {
			probes.Go(func() { n.probeLink(ctx, p) })
		}
		probes.Wait()
		if n.links.IsCut(service) {
			sleep(ctx, linkProbeInterval)
		}
	}
	n.metrics.linksCut.WithLabelValues(service).Set(0)
	n.log.Event("links", "restored", "service", service, "after", n.now().Sub(cutAt))
	n.members.sendEarly()
}

// probeLink asks a server whether it answers, or only connects to one that is to get no request
// more than necessary.
func (n *Node) probeLink(ctx context.Context, p *placedAttempt) {
	startedAt := n.now()
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var check *upstream.Request
	isSpared := n.backends.isLimited(p.server) || n.places.isBrittle(p.server)
	if !isSpared {
		check = n.checkRequest(p)
	}
	connection, err := p.server.pool.Connect(ctx, check)
	if isBrokenAnswer(err) {
		n.recordLinkWorked(p.server, startedAt)
	}
	if err != nil {
		return
	}
	if isSpared {
		// A connection that is reset once it is open shows no link.
		sleep(ctx, settleTime)
	}
	isOpen := connection.IsOpen()
	connection.Release()
	if !isOpen {
		return
	}
	n.recordLinkWorked(p.server, startedAt)
}
