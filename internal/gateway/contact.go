package gateway

import (
	"sync"
	"time"
)

// contact remembers when each topic of the store was last read.
type contact struct {
	mu     sync.Mutex
	at     map[string]time.Time
	direct map[string]bool
}

func newContact() *contact {
	return &contact{at: map[string]time.Time{}, direct: map[string]bool{}}
}

// set notes whether the last read of a topic at the store itself went well.
func (c *contact) set(topic string, direct bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.direct[topic] = direct
}

// reads tells whether this VM reads all topics at the store itself.
func (c *contact) reads(topics ...string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range topics {
		if !c.direct[t] {
			return false
		}
	}
	return true
}

func (c *contact) touch(topic string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at[topic] = now
}

func (c *contact) last(topic string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at[topic]
}
