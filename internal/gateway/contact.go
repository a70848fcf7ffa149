package gateway

import (
	"sync"
	"time"
)

// storeReads records when each topic was last read, and whether it was read from
// the store itself or from a peer.
type storeReads struct {
	mu         sync.Mutex
	lastReadAt map[string]time.Time
	direct     map[string]bool
}

func newStoreReads() *storeReads {
	return &storeReads{lastReadAt: map[string]time.Time{}, direct: map[string]bool{}}
}

// setDirect records whether the last read of a topic was a successful read from
// the store itself.
func (c *storeReads) setDirect(topic string, direct bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.direct[topic] = direct
}

// allDirect reports whether this node reads all the topics from the store itself.
func (c *storeReads) allDirect(topics ...string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range topics {
		if !c.direct[t] {
			return false
		}
	}
	return true
}

func (c *storeReads) noteRead(topic string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReadAt[topic] = now
}

func (c *storeReads) lastRead(topic string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReadAt[topic]
}
