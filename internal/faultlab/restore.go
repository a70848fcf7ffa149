package faultlab

import (
	"time"

	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

const (
	// configTime is the time within which all nodes act on a new document.
	configTime = 2 * time.Second
	// storeAwayTime is the time for which the store is away before it comes back from a
	// copy.
	storeAwayTime = 300 * time.Millisecond
)

// restoreStore lets the store come back from a copy of age copyAge, which lacks a document
// of the operator. The operator and the servers write again after the time rewriteAfter.
func (c *cluster) restoreStore(copyAge, rewriteAfter time.Duration) {
	if !c.restoring.TryLock() {
		return
	}
	defer c.restoring.Unlock()
	copied := c.store.Copy()
	c.writeDocument()
	time.Sleep(copyAge)
	c.logEvent("store comes back from a copy of %v before", copyAge)
	c.store.SetFaults(logservice.Faults{Outage: true})
	time.Sleep(storeAwayTime)
	c.store.SetFaults(logservice.Faults{})
	c.store.Restore(copied)
	time.Sleep(rewriteAfter)
	c.mu.Lock()
	version := c.documentVersion
	c.mu.Unlock()
	c.putUntilAccepted(platform.OperatorTopic, platform.DocumentKey, c.scenario.document(version))
	for i, s := range c.servers {
		c.register(s.ID, s.RegistrationAt(c.proxies[i].address(), c.plans[i].service, c.plans[i].zone, "ready"))
	}
}

// writeDocument writes the operator's next document.
func (c *cluster) writeDocument() {
	c.mu.Lock()
	c.documentVersion = max(c.documentVersion, 1) + 1
	version := c.documentVersion
	c.mu.Unlock()
	c.putUntilAccepted(platform.OperatorTopic, platform.DocumentKey, c.scenario.document(version))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addedAt.IsZero() {
		c.addedAt = time.Now()
	}
}

func (c *cluster) putUntilAccepted(topic, key string, value []byte) {
	for c.store.TryPut(topic, key, value) != nil {
		time.Sleep(50 * time.Millisecond)
	}
}

// addedFor returns the time since the store had the first document with AddedPath, 0 if it
// has had none.
func (c *cluster) addedFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addedAt.IsZero() {
		return 0
	}
	return time.Since(c.addedAt)
}

// verifyUnknown checks that a request was not refused for a route or key that its node has
// known. A fault of the node excuses it.
func (c *cluster) verifyUnknown(e exchange) {
	since := c.startedAt
	if e.request.Path == platformtest.AddedPath+"x" {
		c.mu.Lock()
		since = c.addedAt
		c.mu.Unlock()
	}
	if !c.recorder.hadFault(e.node, since, e.answeredAt) {
		c.recorder.addViolation("%s was refused with status %d by %s", e.request.ID, e.result.Status, e.node)
	}
}
