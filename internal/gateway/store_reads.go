package gateway

import "sync"

// storeReads records which topics this node reads from the store itself.
type storeReads struct {
	mu         sync.Mutex
	readsStore map[string]bool
}

func newStoreReads() *storeReads { return &storeReads{readsStore: map[string]bool{}} }

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
