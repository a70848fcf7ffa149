package gateway

import (
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/topicview"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
	"coltsfootpath.example/coltsfootpath/platform"
)

// applyEvacuation applies an operator's request to evacuate an availability zone, or the end of
// one. The requests reach all VMs with the other records of the operator.
func (n *Node) applyEvacuation(c topicview.Change) {
	e, err := platform.DecodeEvacuation(c.Key)
	if err != nil {
		n.log.Failure("zones", "unreadable", "key", c.Key, "offset", c.Position, "error", err)
		n.metrics.undecodableRecords.WithLabelValues(platform.OperatorTopic).Inc()
		return
	}
	zone, now := e.AvailabilityZone, n.now()
	if len(c.Value) == 0 {
		if after, ok := n.backends.zones.TakeBack(zone, now); ok {
			n.metrics.evacuatedZones.DeleteLabelValues(zone)
			n.log.Event("zones", "taken-back", "zone", zone, "offset", c.Position, "after", after)
			n.expectCold(zone, now)
		}
		return
	}
	if !n.backends.zones.Evacuate(zone, now) {
		return
	}
	servers, running := n.backends.leaveZone(zone)
	n.metrics.evacuatedZones.WithLabelValues(zone).Set(1)
	n.log.Event("zones", "evacuated", "zone", zone, "offset", c.Position, "servers", servers, "running", running)
}

// sweepZones closes the connections to evacuated zones whose requests have ended.
func (n *Node) sweepZones(now time.Time) {
	for _, zone := range n.backends.zones.Evacuated() {
		if _, running := n.backends.leaveZone(zone); running > 0 {
			continue
		}
		if after, isNew := n.backends.zones.RecordEmpty(zone, now); isNew {
			n.log.Event("zones", "empty", "zone", zone, "after", after)
		}
	}
}

// leaveZone closes the connections to the servers of a zone that carry no request. It returns
// the number of its servers, and that of this node's requests that run there.
func (t *backendTable) leaveZone(zone string) (servers, running int) {
	var pools []*upstream.Pool
	t.mu.Lock()
	for _, b := range t.byID {
		if b.info.AvailabilityZone == zone {
			pools = append(pools, b.pool)
			if b.removedAt.IsZero() {
				servers++
			}
			running += int(b.ownLoad.Running)
		}
	}
	t.mu.Unlock()
	for _, p := range pools {
		p.CloseIdle()
	}
	return servers, running
}

// isEvacuated reports whether a server's zone is evacuated, so that no request may be sent to
// it.
func (t *backendTable) isEvacuated(s *deployment.Server) bool {
	return !t.zones.MaySend(s.AvailabilityZone)
}

// countOutsideEvacuated returns the number of a service's servers outside the evacuated zones.
func (t *backendTable) countOutsideEvacuated(service string) int {
	return len(t.serversWhere(service, func(b *backend) bool { return !t.isEvacuated(&b.info) }))
}

// mayAsk reports whether a check may be sent to a server.
func (t *backendTable) mayAsk(b *backend) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.isEvacuated(&b.info)
}
