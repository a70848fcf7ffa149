package serverlimit

import (
	"sync"
	"time"
)

const (
	// takeoverTime is the time for which a new granter gives out nothing for a server, as the
	// one before it may still be asked.
	takeoverTime = time.Second
	// BurstTime is the time over which permits that nobody asked for accumulate, besides Burst.
	BurstTime = 200 * time.Millisecond
	Burst     = 2
	// maxTurnWait bounds the time, besides that until the next permit, after which a VM is
	// told to ask again.
	maxTurnWait = 3 * time.Second
	// idleBucketTime is the time without a question after which a bucket is forgotten.
	idleBucketTime = 5 * time.Minute
)

// Granter gives out permits. It is safe for concurrent use; its lock is a leaf lock.
type Granter struct {
	mu      sync.Mutex
	buckets map[uint32]*bucket
}

// bucket holds the permits of one server.
type bucket struct {
	rate       float64
	level      float64
	refilledAt time.Time
	// nextTurn is the time at which the next VM that finds no permit is told to ask again.
	nextTurn time.Time
}

// NewGranter returns a granter that has given out nothing.
func NewGranter() *Granter { return &Granter{buckets: map[uint32]*bucket{}} }

// Ask asks for a permit for a server with a limit of rate requests per second. If there is
// none, wait is the time after which to ask again.
func (g *Granter) Ask(server uint32, rate float64, now time.Time) (granted bool, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	rate = max(rate, MinRate)
	b := g.buckets[server]
	if b == nil {
		b = &bucket{rate: rate, level: -rate * takeoverTime.Seconds(), refilledAt: now}
		g.buckets[server] = b
	}
	b.refill(rate, now)
	if b.level >= 1 {
		b.level--
		return true, 0
	}
	due := now.Add(seconds((1 - b.level) / rate))
	turn := due
	if b.nextTurn.After(due) {
		turn = b.nextTurn
	}
	if latest := due.Add(maxTurnWait); turn.After(latest) {
		turn = latest
	}
	b.nextTurn = turn.Add(seconds(1 / rate))
	return false, turn.Sub(now)
}

func (b *bucket) refill(rate float64, now time.Time) {
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.level += b.rate * elapsed
		b.refilledAt = now
	}
	if rate != b.rate {
		// VMs that were told to wait under the other limit would ask too late or too soon.
		b.rate, b.nextTurn = rate, time.Time{}
	}
	b.level = min(b.level, Burst+rate*BurstTime.Seconds())
}

// Sweep forgets the buckets that were not used for long.
func (g *Granter) Sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for server, b := range g.buckets {
		if now.Sub(b.refilledAt) > idleBucketTime {
			delete(g.buckets, server)
		}
	}
}
