// Package serverlinks decides, without any I/O, whether this VM has lost its links to the
// backend servers of a service, while other VMs may still reach them. The evidence is about
// new connections: open ones may live on in a VM whose links are cut. Links are suspected once
// connections to several servers have failed and none has worked since. They are cut if the
// servers that are probed then do not answer either, while peers can connect to those that
// have failed: otherwise the servers are down. Links are restored once several servers have
// answered a probe.
package serverlinks

import (
	"sync"
	"time"
)

const (
	// minServers is the number of servers whose connections must fail, or work again. A
	// service with fewer servers has no others to compare with.
	minServers = 2
	// failureWindow is the time for which a failure counts.
	failureWindow = 3 * time.Second
	// checkInterval is the shortest time between two checks of suspected links.
	checkInterval = 300 * time.Millisecond
)

// Table holds the verdicts of one VM. It is safe for concurrent use; its lock is a leaf lock.
type Table struct {
	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	// failures holds the time of the last failed connection to each server, since one has
	// worked.
	failures map[string]time.Time
	// workedAt is the start of the last connection that worked, as far as that is known.
	workedAt time.Time
	// isChecking is set while other servers are probed because the links are suspected.
	isChecking bool
	checkedAt  time.Time
	cut        bool
	cutAt      time.Time
	// answered holds the servers that have answered a probe since the cut.
	answered map[string]bool
}

// NewTable returns a table without failures.
func NewTable() *Table { return &Table{services: map[string]*service{}} }

func (t *Table) of(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{failures: map[string]time.Time{}}
		t.services[name] = s
	}
	return s
}

// Failed records that a connection to a server, begun at startedAt, could not be opened, or
// broke off before any byte arrived. servers is the number of servers of the service. It
// reports whether the links are suspected by that: other servers must be probed, and Checked
// called.
func (t *Table) Failed(name, server string, servers int, startedAt, now time.Time) (suspected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(name)
	if startedAt.Before(s.workedAt) {
		return false
	}
	delete(s.answered, server)
	s.failures[server] = now
	for other, at := range s.failures {
		if now.Sub(at) > failureWindow {
			delete(s.failures, other)
		}
	}
	if s.cut || s.isChecking || now.Sub(s.checkedAt) < checkInterval || len(s.failures) < min(minServers, max(servers, 1)) {
		return false
	}
	s.isChecking = true
	return true
}

// HasFailed reports whether a connection to a server has failed since one to the service has
// worked.
func (t *Table) HasFailed(name, server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	return s != nil && !s.failures[server].IsZero()
}

// Checked records the end of the check: peers could connect to reached servers to which this
// VM's connections have failed. It reports whether the links are cut: no server has answered
// meanwhile, and peers reach several.
func (t *Table) Checked(name string, servers, reached int, now time.Time) (cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(name)
	s.isChecking, s.checkedAt = false, now
	needed := min(minServers, max(servers, 1))
	if s.cut || len(s.failures) < needed || reached < needed {
		clear(s.failures)
		return false
	}
	s.cut, s.cutAt, s.answered = true, now, map[string]bool{}
	return true
}

// Worked records that a server has answered on a connection that was begun at startedAt. It
// reports whether the links are restored by that.
func (t *Table) Worked(name, server string, servers int, startedAt time.Time) (restored bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(name)
	if !s.cut {
		if startedAt.After(s.workedAt) {
			s.workedAt = startedAt
		}
		for other, at := range s.failures {
			if at.Before(startedAt) {
				delete(s.failures, other)
			}
		}
		return false
	}
	if startedAt.Before(s.cutAt) {
		return false
	}
	s.answered[server] = true
	if len(s.answered) < min(minServers, max(servers, 1)) {
		return false
	}
	s.cut, s.workedAt = false, startedAt
	clear(s.failures)
	return true
}

// IsSuspected reports whether the links to a service's servers are being checked.
func (t *Table) IsSuspected(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	return s != nil && s.isChecking
}

// IsCut reports whether the links to a service's servers are cut.
func (t *Table) IsCut(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	return s != nil && s.cut
}

// AnyCut reports whether the links to the servers of any service are cut.
func (t *Table) AnyCut() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		if s.cut {
			return true
		}
	}
	return false
}
