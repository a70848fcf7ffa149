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
	readsStore map[string]bool
}

func newStoreReads() *storeReads {
	return &storeReads{lastReadAt: map[string]time.Time{}, readsStore: map[string]bool{}}
}

// setReadsStore records whether this node's last read of a topic was a successful
// read from the store itself.
func (s *storeReads) setReadsStore(topic string, direct bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readsStore[topic] = direct
}

// readsStoreFor reports whether this node reads all the topics from the store
// itself.
func (s *storeReads) readsStoreFor(topics ...string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range topics {
		if !s.readsStore[t] {
			return false
		}
	}
	return true
}

func (s *storeReads) recordRead(topic string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReadAt[topic] = now
}

func (s *storeReads) lastRead(topic string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastReadAt[topic]
}
