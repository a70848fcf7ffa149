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
func (s *storeReads) setDirect(topic string, direct bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.direct[topic] = direct
}

// allDirect reports whether this node reads all the topics from the store itself.
func (s *storeReads) allDirect(topics ...string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range topics {
		if !s.direct[t] {
			return false
		}
	}
	return true
}

func (s *storeReads) noteRead(topic string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReadAt[topic] = now
}

func (s *storeReads) lastRead(topic string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastReadAt[topic]
}
