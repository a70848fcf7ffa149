package gateway

import (
	"slices"
	"sync"
	"time"
)

// wallClock provides the time of day as the median of the clocks of this node and
// its peers, which corrects a node whose own clock has jumped.
type wallClock struct {
	mu      sync.Mutex
	offsets map[string]clockOffset
}

type clockOffset struct {
	receivedAt time.Time
	// offset is the peer's time of day minus this node's monotonic time.
	offset time.Duration
}

const (
	// maxOffsetAge is the age at which a peer's clock offset expires.
	maxOffsetAge = 5 * time.Second
	// minPeerClocks is the number of peers needed to outvote this node's own clock.
	minPeerClocks = 2
)

func newWallClock() *wallClock {
	return &wallClock{offsets: map[string]clockOffset{}}
}

var processStart = time.Now()

// monotonic returns the time since the process started, by the monotonic clock.
func monotonic(now time.Time) time.Duration { return now.Sub(processStart) }

// update records a peer's time of day in Unix milliseconds.
func (c *wallClock) update(peer string, wallMillis int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offsets[peer] = clockOffset{receivedAt: now, offset: time.Duration(wallMillis)*time.Millisecond - monotonic(now)}
}

// unixMillis returns the median time of day of this node and its peers, or this
// node's own time if there are too few peers.
func (c *wallClock) unixMillis(now time.Time) int64 {
	own := time.Duration(time.Now().UnixMilli())*time.Millisecond - monotonic(now)
	c.mu.Lock()
	all := []time.Duration{own}
	for _, o := range c.offsets {
		if now.Sub(o.receivedAt) < maxOffsetAge {
			all = append(all, o.offset)
		}
	}
	c.mu.Unlock()
	if len(all) <= minPeerClocks {
		return (own + monotonic(now)).Milliseconds()
	}
	slices.Sort(all)
	return (all[len(all)/2] + monotonic(now)).Milliseconds()
}
