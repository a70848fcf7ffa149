// Package suspects identifies the requests that crash backend servers. Requests
// are identified by their content, so that resubmission under a new key doesn't
// reset the count. Two registrars take part, each chosen by rendezvous hashing.
// The content's registrar counts the servers lost while running the content and
// bounds the number of servers that it may run on. The server's registrar
// grants slots to suspects, so that a crash is blamed only on the suspects on
// that server.
package suspects

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/invariant"
)

// Limits for each content and server.
const (
	// MaxBlamed is the number of lost backend servers, blamed on a content, at
	// which the content is condemned.
	MaxBlamed = 3
	// MaxLost is the number of backend servers that may be lost while they run
	// one content, whichever content is blamed.
	MaxLost = 5
	// SharedSlots is the maximum number of suspects on one server at a time.
	// Only suspects with a single lost server share one.
	SharedSlots = 8
	// MarkRetention is the time for which a mark lasts after the last crash.
	MarkRetention = 10 * time.Minute
	// GrantTimeout is the time after which a grant that was not released ends.
	GrantTimeout = 2 * time.Minute

	// maxContents bounds the size of a table. Attempts of further contents are
	// granted without a check.
	maxContents = 50_000
)

// EventKind is the kind of an event.
type EventKind uint32

// Values of EventKind.
const (
	// RequestGrant requests a grant of the content's registrar to run on a server.
	RequestGrant EventKind = iota
	// Crashed reports a lost server to the content's registrar.
	Crashed
	// Finished reports a complete answer to the content's registrar.
	Finished
	// Released returns a grant to the content's registrar.
	Released
	// RequestSlot requests a slot for a suspect from the server's registrar.
	RequestSlot
	// SlotCrashed asks the server's registrar whether the content is to blame
	// for the loss of the server.
	SlotCrashed
	// SlotReleased returns a slot to the server's registrar.
	SlotReleased
)

// Event is a request or report about an attempt.
type Event struct {
	Kind    EventKind
	Content uint64
	Server  string
	// AttemptID identifies the attempt among those of all entry VMs.
	AttemptID string
	// LostServers is the number of lost servers as last returned by the content's
	// registrar.
	LostServers int
	// Blamed is the verdict of the server's registrar.
	Blamed bool
}

// Verdict is a registrar's answer to an event.
type Verdict struct {
	Granted     bool
	LostServers int
	Blamed      bool
	Condemned   bool
	// Server is a server on which the content may run immediately. It is set if
	// the requested server would exceed the limit on servers that run the content
	// at once.
	Server string
}

// Suspect reports whether the content's next attempt has to be isolated.
func (v Verdict) Suspect() bool { return v.LostServers > 0 }

type grant struct {
	content   uint64
	server    string
	isolated  bool
	expiresAt time.Time
}

type content struct {
	lost         map[string]bool
	reportedLost int
	blamed       int
	running      map[string]grant
	markedAt     time.Time
	// clearedAt is the time at which a complete answer last cleared the marks.
	clearedAt time.Time
	usedAt    time.Time
}

// maxServers returns the number of servers that may run the content at once.
func (c *content) maxServers() int {
	if c.clearedAt.IsZero() {
		return MaxBlamed
	}
	return MaxLost
}

func (c *content) lostServers() int { return max(len(c.lost), c.reportedLost) }

func (c *content) condemned() bool { return c.blamed >= MaxBlamed || c.lostServers() >= MaxLost }

// Table is the state of one registrar. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	contents map[uint64]*content
	slots    map[string]map[string]grant
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{contents: map[uint64]*content{}, slots: map[string]map[string]grant{}}
}

// Apply applies an event.
func (t *Table) Apply(ev Event, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch ev.Kind {
	case RequestSlot:
		return Verdict{Granted: t.requestSlot(ev, now)}
	case SlotCrashed:
		return Verdict{Blamed: t.isToBlame(ev, now)}
	case SlotReleased:
		delete(t.slots[ev.Server], ev.AttemptID)
		return Verdict{}
	}
	c := t.content(ev.Content, now)
	if c == nil {
		return Verdict{Granted: true}
	}
	c.usedAt = now
	v := Verdict{}
	switch ev.Kind {
	case RequestGrant:
		v = c.requestGrant(ev, now)
	case Crashed:
		c.crashed(ev, now)
	case Finished:
		delete(c.running, ev.AttemptID)
		c.clearedAt, c.blamed, c.reportedLost = now, 0, 0
		clear(c.lost)
	case Released:
		delete(c.running, ev.AttemptID)
	}
	v.LostServers, v.Condemned = c.lostServers(), c.condemned()
	return v
}

func (t *Table) content(id uint64, now time.Time) *content {
	c, ok := t.contents[id]
	if ok && now.Sub(c.markedAt) > MarkRetention && c.lostServers() > 0 {
		ok = false
	}
	if ok {
		return c
	}
	if len(t.contents) >= maxContents {
		return nil
	}
	c = &content{lost: map[string]bool{}, running: map[string]grant{}}
	t.contents[id] = c
	return c
}

// requestGrant decides on an attempt: a suspect may run one attempt at a time, a
// content that has no complete answer since its last crash may run on MaxBlamed
// servers, any other one on MaxLost.
func (c *content) requestGrant(ev Event, now time.Time) Verdict {
	if c.condemned() {
		return Verdict{}
	}
	servers := []string{}
	for attemptID, g := range c.running {
		if !g.expiresAt.After(now) || attemptID == ev.AttemptID {
			delete(c.running, attemptID)
			continue
		}
		if !slices.Contains(servers, g.server) {
			servers = append(servers, g.server)
		}
	}
	slices.Sort(servers)
	switch {
	case c.lostServers() > 0 && len(c.running) > 0:
		return Verdict{}
	case len(servers) >= c.maxServers() && !slices.Contains(servers, ev.Server):
		return Verdict{Server: servers[0]}
	}
	c.running[ev.AttemptID] = grant{content: ev.Content, server: ev.Server, expiresAt: now.Add(GrantTimeout)}
	return Verdict{Granted: true}
}

func (c *content) crashed(ev Event, now time.Time) {
	delete(c.running, ev.AttemptID)
	c.clearedAt = time.Time{}
	c.markedAt = now
	if c.lost[ev.Server] {
		return
	}
	c.lost[ev.Server] = true
	if ev.Blamed {
		c.blamed++
	}
	invariant.Check(len(c.lost) <= MaxLost, invariant.BackendLossBounded, "content %x lost %d backend servers", ev.Content, len(c.lost))
}

func (t *Table) activeSlots(server string, now time.Time) map[string]grant {
	slots := t.slots[server]
	for attemptID, g := range slots {
		if !g.expiresAt.After(now) {
			delete(slots, attemptID)
		}
	}
	return slots
}

func (t *Table) requestSlot(ev Event, now time.Time) bool {
	slots := t.activeSlots(ev.Server, now)
	isolated := ev.LostServers > 1
	for attemptID, g := range slots {
		if attemptID != ev.AttemptID && (g.isolated || isolated) {
			return false
		}
	}
	if len(slots) >= SharedSlots {
		return false
	}
	if slots == nil {
		slots = map[string]grant{}
		t.slots[ev.Server] = slots
	}
	slots[ev.AttemptID] = grant{content: ev.Content, isolated: isolated, expiresAt: now.Add(GrantTimeout)}
	return true
}

// isToBlame reports whether the loss of a server counts against a content, which
// is only the case if the server ran no other suspect. Attempts that began
// before their content was a suspect have no slot and are not blamed. At its
// first crash, a content that crashes its servers may be running on up to
// maxServers of them without slots. The loss of each of these but the first can
// be blamed on an innocent suspect.
func (t *Table) isToBlame(ev Event, now time.Time) bool {
	slots := t.activeSlots(ev.Server, now)
	for _, g := range slots {
		if g.content != ev.Content {
			return false
		}
	}
	return len(slots) > 0
}

// Sweep removes contents and slots that are no longer needed.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, c := range t.contents {
		marked := c.lostServers() > 0 && now.Sub(c.markedAt) <= MarkRetention
		if !marked && now.Sub(c.usedAt) > GrantTimeout {
			delete(t.contents, id)
		}
	}
	for server := range t.slots {
		if len(t.activeSlots(server, now)) == 0 {
			delete(t.slots, server)
		}
	}
}

// Mark reports one content's losses to other entry VMs.
type Mark struct {
	Content     uint64
	LostServers int
	Age         time.Duration
}

// Digest returns at most limit marks, the newest first.
func (t *Table) Digest(limit int, now time.Time) []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Mark
	for id, c := range t.contents {
		if age := now.Sub(c.markedAt); c.lostServers() > 0 && age <= MarkRetention {
			out = append(out, Mark{Content: id, LostServers: c.lostServers(), Age: age})
		}
	}
	slices.SortFunc(out, func(a, b Mark) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Content, b.Content)) })
	return out[:min(len(out), limit)]
}

// Merge applies the marks received from another entry VM, so that a content's
// new registrar has them after the old one has left.
func (t *Table) Merge(list []Mark, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range list {
		if m.Age > MarkRetention || m.LostServers <= 0 {
			continue
		}
		c := t.content(m.Content, now)
		if c == nil {
			return
		}
		at := now.Add(-m.Age)
		if !at.After(c.clearedAt) {
			continue
		}
		if at.After(c.markedAt) {
			c.markedAt = at
		}
		c.reportedLost = max(c.reportedLost, min(m.LostServers, MaxLost))
	}
}
