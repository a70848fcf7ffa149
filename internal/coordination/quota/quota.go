// Package quota holds workspaces to limits that several entry VMs share without
// asking each other for each request. Every VM models the one bucket that all
// of them draw from: it takes out what it admits itself and what its peers tell
// that they have admitted. A peer that is silent is taken to use its even
// share, so that VMs which are cut off from each other stay within the limit
// together.
package quota

import (
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
}

type bucket struct {
	limit Limit
	level float64
	at    time.Time
	// admitted is what this VM has admitted since its start.
	admitted uint64
	heard    map[string]*heard
}

// heard is what a peer has told of one workspace.
type heard struct {
	known bool
	total uint64
	// assumed is what has been taken out for the peer while it was silent.
	assumed float64
}

// New returns limits without workspaces. extra is what a bucket may hold over
// its burst, for what VMs that see each other late refuse too much.
func New(extra float64) *Shared {
	return &Shared{extra: extra, buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// Configure takes the limits in force. A new bucket begins half full: other
// VMs may have drawn from it before this one began.
func (s *Shared) Configure(limits map[string]Limit, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, l := range limits {
		b, ok := s.buckets[name]
		if !ok {
			b = &bucket{level: (l.Burst + s.extra) / 2, at: now, heard: map[string]*heard{}}
			s.buckets[name] = b
		}
		s.refill(b, now)
		b.limit = l
		b.level = min(b.level, l.Burst+s.extra)
	}
	for name := range s.buckets {
		if _, ok := limits[name]; !ok {
			delete(s.buckets, name)
		}
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
	vms := 1
	for _, p := range s.peers {
		vms += p.vms
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
	// A request larger than the whole bucket passes when the bucket is full.
	need := min(cost, b.limit.Burst+s.extra)
	if b.level < need {
		return false, time.Duration((need - b.level) / b.limit.PerSecond * float64(time.Second))
	}
	b.level -= cost
	b.admitted += uint64(cost)
	return true, 0
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
		if b.limit.PerSecond > 0 && b.admitted > 0 {
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
	if p, ok := s.peers[name]; ok {
		p.heardAt = now
	}
	for workspace, total := range totals {
		if b, ok := s.buckets[workspace]; ok {
			b.hear(name, total, s.extra)
		}
	}
}

func (b *bucket) hear(name string, total uint64, extra float64) {
	h := b.of(name)
	if !h.known {
		h.known, h.total = true, total
		return
	}
	// A refund lowers a total. What was taken out for a silent peer is given back
	// as far as the peer has not used it.
	drawn := float64(int64(total - h.total))
	h.total = total
	b.level = min(b.level+h.assumed-drawn, b.limit.Burst+extra)
	h.assumed = 0
}
