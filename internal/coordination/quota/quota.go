// Package quota holds workspaces to limits that several entry VMs share without
// asking each other for each request. Every VM models the one bucket that all
// of them draw from: it takes out what it admits itself and what its peers tell
// that they have admitted. A peer that is silent is taken to use its even
// share, so that VMs which are cut off from each other stay within the limit
// together.
package quota

import (
	"math"
	"sync"
	"time"
)

// Limit is a workspace's quota. PerSecond is 0 where there is none.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// SilentAfter is when a peer that tells nothing is taken to use its share.
const SilentAfter = time.Second

// Shared holds the buckets of all workspaces.
type Shared struct {
	// mu is a leaf: nothing else is locked while it is held.
	mu      sync.Mutex
	extra   float64
	buckets map[string]*bucket
	peers   map[string]*peer
}

// peer is one or more VMs whose sums are told together.
type peer struct {
	heardAt time.Time
	vms     int
	// told is true once the peer has told its sums: they are where the next ones
	// count from, and a workspace that it has not named counts from nothing.
	told bool
}

type bucket struct {
	limit Limit
	level float64
	at    time.Time
	// admitted is what this VM has admitted since its start.
	admitted uint64
	// drew is true once this VM has admitted anything.
	drew  bool
	heard map[string]*heard
	// own and others are what this VM and its peers have drawn lately, fading
	// over drawMemory.
	own, others float64
	vms         int
	// hot is true from the moment at which the bucket was far overdrawn until it has
	// been full for a while. Meanwhile this VM draws from its share alone.
	hot      bool
	share    float64
	fullFrom time.Time
	// startedAt is when this VM first knew of the workspace. For a while it knows
	// nothing of what others draw, and draws from its share alone: all VMs may
	// have started at once.
	startedAt time.Time
}

// heard is what a peer has told of one workspace.
type heard struct {
	total uint64
	// assumed is what has been taken out for the peer while it was silent.
	assumed float64
}

// New returns limits without workspaces. extra is what a bucket may hold over
// its burst, for what VMs that see each other late refuse too much.
func New(extra float64) *Shared {
	return &Shared{extra: extra, buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// SetExtra replaces what a bucket may hold over its burst.
func (s *Shared) SetExtra(extra float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.buckets {
		s.refill(b, now)
	}
	s.extra = extra
}

// Configure takes the limits in force. A new bucket begins empty: other VMs may
// have drawn from it before this one began.
func (s *Shared) Configure(limits map[string]Limit, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, l := range limits {
		b, ok := s.buckets[name]
		if !ok {
			b = &bucket{at: now, startedAt: now, heard: map[string]*heard{}}
			s.buckets[name] = b
		}
		s.refill(b, now)
		b.limit = l
		b.level = min(b.level, l.Burst+s.extra)
		if !ok {
			b.share = startShare.Seconds() * b.rate(s.vms())
		}
	}
	for name := range s.buckets {
		if _, ok := limits[name]; !ok {
			delete(s.buckets, name)
		}
	}
}

// judge tells whether the workspace asks for more than its quota. All VMs see the
// bucket of a moment ago: when it has something again after it was overdrawn, all
// would draw from it at once, and again each time that this has been made up for.
// So each keeps to its part until the bucket has been full for a while, which it
// can't be while more is asked for.
func (b *bucket) judge(extra float64) {
	full := b.level >= fullShare*(b.limit.Burst+extra)
	switch {
	case !full:
		b.fullFrom = time.Time{}
	case b.fullFrom.IsZero():
		b.fullFrom = b.at
	}
	switch {
	case b.level < -hotShare*(b.limit.Burst+extra) && !b.hot:
		b.hot, b.share = true, 0
	case b.hot && full && b.at.Sub(b.fullFrom) >= fullTime:
		b.hot = false
	}
}

// refill adds what has come since the last refill, less the shares of peers
// that are silent.
func (s *Shared) refill(b *bucket, now time.Time) {
	passed := now.Sub(b.at).Seconds()
	if passed <= 0 {
		return
	}
	b.at = now
	vms := s.vms()
	b.vms = vms
	fade := math.Exp(-passed / drawMemory.Seconds())
	b.own *= fade
	b.others *= fade
	switch {
	case b.starting(now):
		b.share = min(b.share+b.rate(vms)*passed, startShare.Seconds()*b.rate(vms))
	case b.hot && b.level >= 0:
		part := b.limit.PerSecond * b.part()
		b.share = min(b.share+part*passed, shareTime.Seconds()*part)
	}
	for name, p := range s.peers {
		if now.Sub(p.heardAt) <= SilentAfter {
			continue
		}
		share := b.limit.PerSecond * float64(p.vms) / float64(vms) * passed
		b.of(name).assumed += share
		b.level -= share
	}
	b.level = min(b.level+b.limit.PerSecond*passed, b.limit.Burst+s.extra)
	b.judge(s.extra)
}

// starting tells whether this VM knows too little of the others.
func (b *bucket) starting(now time.Time) bool { return now.Sub(b.startedAt) < startTime }

// rate is the even part of the quota's rate for so many VMs.
func (b *bucket) rate(vms int) float64 { return b.limit.PerSecond / float64(vms) }

// vms returns the number of VMs that share the limits, this one included.
func (s *Shared) vms() int {
	vms := 1
	for _, p := range s.peers {
		vms += p.vms
	}
	return vms
}

func (b *bucket) of(peer string) *heard {
	h, ok := b.heard[peer]
	if !ok {
		h = &heard{}
		b.heard[peer] = h
	}
	return h
}

// Admit takes cost out of a workspace's bucket. Where it is empty, Admit tells
// when the cost will be there.
func (s *Shared) Admit(name string, cost float64, now time.Time) (ok bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, known := s.buckets[name]
	if !known || b.limit.PerSecond <= 0 {
		return true, 0
	}
	s.refill(b, now)
	if wait := b.wait(cost, s.extra, now); wait > 0 {
		return false, wait
	}
	b.level -= cost
	if b.hot || b.starting(now) {
		b.share -= cost
	}
	b.own += cost
	b.admitted += uint64(cost)
	b.drew = true
	return true, 0
}

// wait tells when a cost can be had, 0 for at once. A request larger than the
// whole bucket passes when the bucket is full.
func (b *bucket) wait(cost, extra float64, now time.Time) time.Duration {
	have, need, perSecond := b.level, min(cost, b.limit.Burst+extra), b.limit.PerSecond
	switch {
	case b.starting(now):
		perSecond = b.rate(max(b.vms, 1))
		have, need = b.share, max(cost/startOver, min(cost, startShare.Seconds()*perSecond))
	case b.hot:
		perSecond *= b.part()
		if b.level >= 0 {
			have, need = b.share, min(cost, shareTime.Seconds()*perSecond)
		}
	}
	if have >= need {
		return 0
	}
	return max(time.Duration((need-have)/perSecond*float64(time.Second)), minWait)
}

const (
	// drawMemory is the time over which draws are averaged.
	drawMemory = 5 * time.Second
	// hotShare of a bucket has to be overdrawn before VMs keep to their parts: a
	// few large requests at once are no herd.
	hotShare = 0.5
	// fullShare of a bucket counts as full, and fullTime is how long it has to be
	// so: longer than what VMs admit takes until all know of it.
	fullShare = 0.9
	fullTime  = time.Second
	// shareTime bounds what a VM may save of its share.
	shareTime = 2 * time.Second
	// startTime is how long a VM that has started draws from its share alone: until
	// it has heard of all others a few times.
	startTime = 1200 * time.Millisecond
	// startShare bounds what such a VM may save of its share, which it begins with;
	// startOver is how many times as much a single request may take.
	startShare = 1200 * time.Millisecond
	startOver  = 4
	// minWait is the shortest wait that is told.
	minWait = time.Millisecond
	// leastPart is the least part of the quota that a VM is given, as a share of
	// an even one.
	leastPart = 0.3
)

// part is the part of the workspace's draws that this VM makes.
func (b *bucket) part() float64 {
	least := leastPart / float64(max(b.vms, 1))
	if b.own+b.others <= 0 {
		return 1 / float64(max(b.vms, 1))
	}
	return max(b.own/(b.own+b.others), least)
}

// Refund puts back what a request took that has not run.
func (s *Shared) Refund(name string, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.buckets[name]; ok && b.limit.PerSecond > 0 {
		b.level = min(b.level+cost, b.limit.Burst+s.extra)
		b.admitted -= min(uint64(cost), b.admitted)
	}
}

// Totals returns what this VM has admitted since its start, by workspace.
func (s *Shared) Totals() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]uint64, len(s.buckets))
	for name, b := range s.buckets {
		if b.limit.PerSecond > 0 && b.drew {
			out[name] = b.admitted
		}
	}
	return out
}

// SetPeers tells which VMs share the limits with this one: the number of VMs
// behind each name under which sums are told.
func (s *Shared) SetPeers(vms map[string]int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.buckets {
		s.refill(b, now)
	}
	for name, n := range vms {
		if p, ok := s.peers[name]; ok {
			p.vms = n
			continue
		}
		s.peers[name] = &peer{heardAt: now, vms: n}
	}
	for name := range s.peers {
		if _, ok := vms[name]; ok {
			continue
		}
		delete(s.peers, name)
		for _, b := range s.buckets {
			delete(b.heard, name)
		}
	}
}

// Hear takes what the VMs behind a name have admitted: sums that only grow, or
// shrink by what was given back. The first ones are where the next count from.
func (s *Shared) Hear(name string, totals map[string]uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.buckets {
		s.refill(b, now)
	}
	p, ok := s.peers[name]
	if !ok {
		p = &peer{vms: 1}
		s.peers[name] = p
	}
	first := !p.told
	p.heardAt, p.told = now, true
	for workspace, total := range totals {
		if b, ok := s.buckets[workspace]; ok {
			b.hear(name, total, first, s.extra)
		}
	}
}

func (b *bucket) hear(name string, total uint64, first bool, extra float64) {
	h := b.of(name)
	if first {
		h.total = total
		return
	}
	// A refund lowers a total. What was taken out for a silent peer is given back
	// as far as the peer has not used it.
	drawn := float64(int64(total - h.total))
	h.total = total
	b.others += max(drawn, 0)
	b.level = min(b.level+h.assumed-drawn, b.limit.Burst+extra)
	h.assumed = 0
	b.judge(extra)
}
