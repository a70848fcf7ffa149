// Package quota enforces workspace limits that several nodes share without
// coordinating on each request. Every node models the one token bucket that all
// of them draw from: it subtracts the cost of the requests that it admits itself
// and of those that its peers report as admitted. An unresponsive peer is assumed
// to use its even share, so that nodes that are partitioned from each other stay
// within the limit together.
package quota

import (
	"math"
	"sync"
	"time"
)

// Limit is the quota of a workspace. PerSecond is 0 for no limit.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// UnresponsiveTimeout is the time without a report after which a peer is assumed
// to have used its even share since its last report. Three reports are missing then.
const UnresponsiveTimeout = 700 * time.Millisecond

// Limiter holds the buckets of all workspaces.
type Limiter struct {
	// mu is a leaf lock: no other lock is acquired while it is held.
	mu sync.Mutex
	// extraBurst is the amount that a bucket may hold in excess of its burst.
	extraBurst float64
	buckets    map[string]*bucket
	peers      map[string]*peer
}

// peer is one or more nodes whose totals are reported together.
type peer struct {
	// receivedAt is the time of the last report.
	receivedAt time.Time
	nodes      int
	// hasReported is true once the peer has reported totals. The first report is
	// the baseline of the next ones. A workspace that is missing from it has a
	// baseline of 0.
	hasReported bool
}

// bucket models the token bucket of a workspace that all nodes share.
type bucket struct {
	limit Limit
	// level is the bucket's content as modelled by this node. It is negative if
	// the nodes have admitted more together than the bucket held.
	level float64
	// refilledAt is the time of the last refill.
	refilledAt time.Time
	// admittedCost is the cost admitted by this node since its start.
	admittedCost uint64
	// hasAdmitted is true once this node has admitted a request.
	hasAdmitted bool
	// reports holds the reports by the names of peers.
	reports map[string]*report
	// recentOwnCost and recentPeerCost are the costs recently admitted by this node
	// and by its peers, decaying with recentCostWindow.
	recentOwnCost, recentPeerCost float64
	// unreportedCost is the cost that peers are expected to have admitted without having
	// reported it yet, if they go on as in their last reports. It decays with reportDelay.
	unreportedCost float64
	// nodes is the number of nodes that shared the limit at the last refill, and
	// responsiveShare the share of those from which reports arrive, this one included.
	nodes           int
	responsiveShare float64
	// contended is true from the time at which the bucket was far overdrawn until
	// it has been full for minFullTime. Meanwhile this node draws only from its
	// own share.
	contended bool
	// shareLevel is the content of the bucket for this node's own share.
	shareLevel float64
	// fullSince is the time since which the bucket has been full, zero if it isn't.
	fullSince time.Time
	// startedAt is the time at which this node first configured the workspace.
	// Until startupTime has passed since then, the node has too few reports of
	// what other nodes draw from the bucket. It draws only from its own share, as
	// all nodes may have started at once.
	startedAt time.Time
}

// report is the last report of a peer about one workspace.
type report struct {
	lastTotal uint64
	// assumedCost is the amount subtracted for the peer since its last report,
	// while it was unresponsive.
	assumedCost float64
}

// New returns a limiter without workspaces. extraBurst is the amount that a bucket
// may hold in excess of its burst. It makes up for requests that nodes reject
// unnecessarily because they receive each other's totals with a delay.
func New(extraBurst float64) *Limiter {
	return &Limiter{extraBurst: extraBurst, buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// SetExtraBurst replaces the amount that a bucket may hold in excess of its burst.
func (s *Limiter) SetExtraBurst(extraBurst float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.buckets {
		s.refill(b, now)
	}
	s.extraBurst = extraBurst
}

// Configure replaces the active limits. A new bucket is empty at first, as other
// nodes may have drawn from it before this one started.
func (s *Limiter) Configure(limits map[string]Limit, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, l := range limits {
		b, ok := s.buckets[name]
		if !ok {
			b = &bucket{refilledAt: now, startedAt: now, responsiveShare: 1, reports: map[string]*report{}}
			s.buckets[name] = b
		}
		s.refill(b, now)
		b.limit = l
		b.level = min(b.level, b.capacity(s.extraBurst))
		if !ok {
			b.shareLevel = startupShareWindow.Seconds() * b.evenRate(s.nodes())
		}
	}
	for name := range s.buckets {
		if _, ok := limits[name]; !ok {
			delete(s.buckets, name)
		}
	}
}

// updateContended records whether the workspace requests more than its quota. All
// nodes see the bucket's level with a delay. If each drew from the bucket as soon
// as it refills after an overdraft, all would draw at once and overdraw it
// repeatedly. Instead, each node draws only from its own share until the bucket
// has been full for minFullTime, which can't happen while the demand exceeds the
// quota.
func (b *bucket) updateContended(extraBurst float64) {
	full := b.level >= fullShare*b.capacity(extraBurst)
	switch {
	case !full:
		b.fullSince = time.Time{}
	case b.fullSince.IsZero():
		b.fullSince = b.refilledAt
	}
	switch {
	case b.level < -contendedShare*(b.limit.Burst+extraBurst) && !b.contended:
		b.contended, b.shareLevel = true, 0
	case b.contended && full && b.refilledAt.Sub(b.fullSince) >= minFullTime:
		b.contended = false
	}
}

// refill adds the tokens for the time since the last refill, less the shares of
// unresponsive peers.
func (s *Limiter) refill(b *bucket, now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	refilledAt := b.refilledAt
	b.refilledAt = now
	nodes := s.nodes()
	b.nodes = nodes
	decay := math.Exp(-elapsed / recentCostWindow.Seconds())
	b.recentOwnCost *= decay
	b.recentPeerCost *= decay
	b.unreportedCost *= math.Exp(-elapsed / reportDelay.Seconds())
	switch {
	case b.isStarting(now):
		b.shareLevel = min(b.shareLevel+b.evenRate(nodes)*elapsed, startupShareWindow.Seconds()*b.evenRate(nodes))
	case b.contended && b.level >= 0:
		ownRate := b.limit.PerSecond * b.ownFraction()
		b.shareLevel = min(b.shareLevel+ownRate*elapsed, shareWindow.Seconds()*ownRate)
	}
	b.level += b.limit.PerSecond * elapsed
	responsive := nodes
	for name, p := range s.peers {
		if now.Sub(p.receivedAt) <= UnresponsiveTimeout {
			continue
		}
		responsive -= p.nodes
		b.assumeShare(name, p, nodes, refilledAt, now)
	}
	b.responsiveShare = float64(responsive) / float64(nodes)
	b.level = min(b.level, b.capacity(s.extraBurst))
	b.updateContended(s.extraBurst)
}

// assumeShare subtracts the share of a peer from which no report arrives: since the last
// refill or, at first, since its last report.
func (b *bucket) assumeShare(name string, p *peer, nodes int, refilledAt, now time.Time) {
	from := refilledAt
	if refilledAt.Sub(p.receivedAt) <= UnresponsiveTimeout {
		from = p.receivedAt
	}
	if from.Before(b.startedAt) {
		from = b.startedAt
	}
	share := b.limit.PerSecond * float64(p.nodes) / float64(nodes) * now.Sub(from).Seconds()
	b.reportOf(name).assumedCost += share
	b.level -= share
}

// capacity returns the most that the bucket may hold. The shares of nodes from which no
// reports arrive are left to them.
func (b *bucket) capacity(extraBurst float64) float64 {
	return (b.limit.Burst + extraBurst) * b.responsiveShare
}

// isStarting reports whether less than startupTime has passed since startedAt.
func (b *bucket) isStarting(now time.Time) bool { return now.Sub(b.startedAt) < startupTime }

// evenRate returns the rate of an even share of the quota for a number of nodes.
func (b *bucket) evenRate(nodes int) float64 { return b.limit.PerSecond / float64(nodes) }

// nodes returns the number of nodes that share the limits, this one included.
func (s *Limiter) nodes() int {
	nodes := 1
	for _, p := range s.peers {
		nodes += p.nodes
	}
	return nodes
}

// reportOf returns the report of a peer, adding an empty one if there is none.
func (b *bucket) reportOf(peer string) *report {
	r, ok := b.reports[peer]
	if !ok {
		r = &report{}
		b.reports[peer] = r
	}
	return r
}

// Admit takes cost out of a workspace's bucket. If the bucket does not hold
// enough, Admit returns the time until it will.
func (s *Limiter) Admit(name string, cost float64, now time.Time) (ok bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, exists := s.buckets[name]
	if !exists || b.limit.PerSecond <= 0 {
		return true, 0
	}
	s.refill(b, now)
	if wait := b.waitTime(cost, s.extraBurst, now); wait > 0 {
		return false, wait
	}
	b.level -= cost
	if b.contended || b.isStarting(now) {
		b.shareLevel -= cost
	}
	b.recentOwnCost += cost
	b.admittedCost += uint64(cost)
	b.hasAdmitted = true
	return true, 0
}

// waitTime returns the time until a request of the given cost can be admitted, 0 if
// it can be admitted now. A request larger than the bucket is admitted when the
// bucket is full.
func (b *bucket) waitTime(cost, extraBurst float64, now time.Time) time.Duration {
	have, need, perSecond := b.level-b.unreportedCost, min(cost, b.capacity(extraBurst)), b.limit.PerSecond*max(b.responsiveShare, 1/float64(max(b.nodes, 1)))
	switch {
	case b.isStarting(now):
		perSecond = b.evenRate(max(b.nodes, 1))
		have, need = b.shareLevel, max(cost/startupFactor, min(cost, startupShareWindow.Seconds()*perSecond))
	case b.contended:
		perSecond *= b.ownFraction()
		if b.level >= 0 {
			have, need = b.shareLevel, min(cost, shareWindow.Seconds()*perSecond)
		}
	}
	if have >= need {
		return 0
	}
	return max(time.Duration((need-have)/perSecond*float64(time.Second)), minWait)
}

const (
	// recentCostWindow is the time constant with which recently admitted costs
	// decay.
	recentCostWindow = 5 * time.Second
	// reportDelay is the usual time from an admission until all nodes have its report.
	reportDelay = 300 * time.Millisecond
	// contendedShare is the share of a bucket that has to be overdrawn before
	// nodes draw only from their own shares. A few large requests at once do not
	// reach it.
	contendedShare = 0.5
	// fullShare is the fill level, as a share of its capacity, from which a bucket
	// counts as full.
	fullShare = 0.9
	// minFullTime is the time for which a bucket has to be full before nodes draw
	// from it again. It is longer than the time until all nodes have received the
	// report of an admitted request.
	minFullTime = time.Second
	// shareWindow is the time over which a node may accumulate its share.
	shareWindow = 2 * time.Second
	// startupTime is the time after bucket.startedAt at which a node stops drawing
	// only from its own share. It is long enough for a few reports from each other
	// node.
	startupTime = 1200 * time.Millisecond
	// startupShareWindow is the time over which a starting node may accumulate its
	// share. The node starts with the share of the full window.
	startupShareWindow = 1200 * time.Millisecond
	// startupFactor is the factor by which a single request may exceed the share
	// accumulated by a starting node.
	startupFactor = 4
	// minWait is the shortest wait returned for a rejected request.
	minWait = time.Millisecond
	// minEvenFraction is the smallest share of the quota assigned to a node, as a
	// fraction of an even share.
	minEvenFraction = 0.3
)

// ownFraction returns this node's fraction of the recently admitted cost of the
// workspace, but at least minEvenFraction of an even share.
func (b *bucket) ownFraction() float64 {
	minimum := minEvenFraction / float64(max(b.nodes, 1))
	if b.recentOwnCost+b.recentPeerCost <= 0 {
		return 1 / float64(max(b.nodes, 1))
	}
	return max(b.recentOwnCost/(b.recentOwnCost+b.recentPeerCost), minimum)
}

// Refund returns the cost of a request that was not run to the bucket.
func (s *Limiter) Refund(name string, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.buckets[name]; ok && b.limit.PerSecond > 0 {
		b.level = min(b.level+cost, b.capacity(s.extraBurst))
		b.admittedCost -= min(uint64(cost), b.admittedCost)
	}
}

// Totals returns the cost admitted by this node since its start, by workspace.
func (s *Limiter) Totals() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]uint64, len(s.buckets))
	for name, b := range s.buckets {
		if b.limit.PerSecond > 0 && b.hasAdmitted {
			out[name] = b.admittedCost
		}
	}
	return out
}

// SetPeers sets the peers that share the limits with this node: for each name
// under which totals are reported, the number of nodes that they cover.
func (s *Limiter) SetPeers(nodes map[string]int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.buckets {
		s.refill(b, now)
	}
	receivedAt := now
	if s.isUnresponsivePeerMissing(nodes, now) {
		// The nodes have not been heard of under their earlier name either.
		receivedAt = now.Add(-UnresponsiveTimeout - 1)
	}
	for name, n := range nodes {
		if p, ok := s.peers[name]; ok {
			p.nodes = n
			continue
		}
		s.peers[name] = &peer{receivedAt: receivedAt, nodes: n}
	}
	for name := range s.peers {
		if _, ok := nodes[name]; ok {
			continue
		}
		delete(s.peers, name)
		for _, b := range s.buckets {
			delete(b.reports, name)
		}
	}
}

// isUnresponsivePeerMissing reports whether nodes lacks a peer that is unresponsive.
func (s *Limiter) isUnresponsivePeerMissing(nodes map[string]int, now time.Time) bool {
	for name, p := range s.peers {
		if _, ok := nodes[name]; !ok && now.Sub(p.receivedAt) > UnresponsiveTimeout {
			return true
		}
	}
	return false
}

// ApplyTotals applies a peer's report of the totals admitted by its nodes. Totals
// decrease only by refunds. The first report is the baseline of the next ones. If
// lacksAdmitted is true, the totals lack what the nodes have admitted since the last report.
// They are assumed to have used their shares.
func (s *Limiter) ApplyTotals(name string, totals map[string]uint64, lacksAdmitted bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.buckets {
		s.refill(b, now)
	}
	p, ok := s.peers[name]
	if !ok {
		p = &peer{nodes: 1}
		s.peers[name] = p
	}
	lacksAdmitted = lacksAdmitted || !p.hasReported
	for workspace, b := range s.buckets {
		total, hasTotal := totals[workspace]
		if lacksAdmitted && hasTotal {
			b.keepAssumed(name, p, s.nodes(), now)
		} else {
			b.returnAssumed(name, s.extraBurst)
		}
		if hasTotal {
			b.applyTotal(name, total, !p.hasReported, s.extraBurst)
		}
	}
	p.receivedAt, p.hasReported = now, true
}

// keepAssumed lets a peer's nodes count as having used their shares since its last report.
func (b *bucket) keepAssumed(name string, p *peer, nodes int, now time.Time) {
	if !p.receivedAt.IsZero() && now.Sub(p.receivedAt) <= UnresponsiveTimeout {
		b.assumeShare(name, p, nodes, p.receivedAt, now)
	}
	b.reportOf(name).assumedCost = 0
}

// returnAssumed returns the amount subtracted for a peer while it was unresponsive. What it
// has used of that is known.
func (b *bucket) returnAssumed(name string, extraBurst float64) {
	r := b.reportOf(name)
	b.level = min(b.level+r.assumedCost, b.limit.Burst+extraBurst)
	r.assumedCost = 0
}

func (b *bucket) applyTotal(name string, total uint64, isBaseline bool, extraBurst float64) {
	r := b.reportOf(name)
	if isBaseline {
		r.lastTotal = total
		return
	}
	// The difference is negative after a refund.
	admittedCost := float64(int64(total - r.lastTotal))
	r.lastTotal = total
	b.recentPeerCost += max(admittedCost, 0)
	b.unreportedCost += max(admittedCost, 0)
	b.level = min(b.level-admittedCost, b.limit.Burst+extraBurst)
	b.updateContended(extraBurst)
}
