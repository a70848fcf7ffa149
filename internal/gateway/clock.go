package gateway

import (
	"slices"
	"sync"
	"time"
)

// wallClock tells the time of day as most VMs have it. A VM whose own time of
// day has jumped is set right by what its peers tell.
type wallClock struct {
	mu      sync.Mutex
	offsets map[string]offset
}

type offset struct {
	at time.Time
	// ahead is how far a peer's time of day is ahead of this VM's steady clock.
	ahead time.Duration
}

const (
	// offsetAge is how long a peer's time of day counts.
	offsetAge = 5 * time.Second
	// minOffsets is the fewest peers that can outvote this VM's own clock.
	minOffsets = 2
)

func newWallClock() *wallClock {
	return &wallClock{offsets: map[string]offset{}}
}

var processStart = time.Now()

// steady is the time since the process began, by the steady clock.
func steady(now time.Time) time.Duration { return now.Sub(processStart) }

// hear takes a peer's time of day.
func (c *wallClock) hear(peer string, wallMillis int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offsets[peer] = offset{at: now, ahead: time.Duration(wallMillis)*time.Millisecond - steady(now)}
}

// unixMillis returns the median of the times of day of this VM and its peers.
func (c *wallClock) unixMillis(now time.Time) int64 {
	own := time.Duration(time.Now().UnixMilli())*time.Millisecond - steady(now)
	c.mu.Lock()
	all := []time.Duration{own}
	for _, o := range c.offsets {
		if now.Sub(o.at) < offsetAge {
			all = append(all, o.ahead)
		}
	}
	c.mu.Unlock()
	if len(all) <= minOffsets {
		return (own + steady(now)).Milliseconds()
	}
	slices.Sort(all)
	return (all[len(all)/2] + steady(now)).Milliseconds()
}
