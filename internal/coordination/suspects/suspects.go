// Package suspects identifies the requests that crash backend servers. Requests
// with the same service and prompt have the same request content, identified by
// a hash. Crashes are counted for each request content, so that resubmission
// under a new key doesn't reset the count. A request content with a lost server
// is a suspect. Two registrars take part, each chosen by rendezvous hashing. The
// registrar of a request content counts the servers lost while running it and
// bounds the number of servers that it may run on. The registrar of a server
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

// Limits for each request content and backend server.
const (
	// MaxBlamedLosses is the number of lost backend servers, blamed on one request
	// content, at which the content may no longer run.
	MaxBlamedLosses = 3
	// MaxLostServers is the number of backend servers, lost while running one request
	// content, at which the content may no longer run, whether or not the losses
	// were blamed on it.
	MaxLostServers = 5
	// SharedSlots is the maximum number of suspects on one server at a time.
	// Only suspects with a single lost server share a backend server.
	SharedSlots = 8
	// CrashRetention is the time after the last crash of a request content at which
	// its lost servers are forgotten.
	CrashRetention = 10 * time.Minute
	// GrantTimeout is the time after which a grant expires if it was not released.
	GrantTimeout = 2 * time.Minute

	// maxContents bounds the number of request contents in a table. Once it is
	// full, attempts with any other content are granted without a check.
	maxContents = 50_000
)

// EventKind selects what an event requests or reports, and which registrar
// receives it.
type EventKind uint32

// Values of EventKind.
const (
	// RequestGrant requests a grant to run on a server from the content's registrar.
	RequestGrant EventKind = iota
	// Crashed reports a lost server to the content's registrar.
	Crashed
	// Finished reports a complete answer to the content's registrar.
	Finished
	// Released returns a grant to the content's registrar.
	Released
	// RequestSlot requests a slot for a suspect from the server's registrar.
	RequestSlot
	// RequestBlame asks the server's registrar whether the content is to blame
	// for the loss of the server.
	RequestBlame
	// SlotReleased returns a slot to the server's registrar.
	SlotReleased
)

// Event is a request or report about an attempt.
type Event struct {
	Kind EventKind
	// Content is the hash that identifies the request content.
	Content uint64
	Server  string
	// AttemptID identifies the attempt among those of all entry VMs.
	AttemptID string
	// LostServers is the number of lost servers as last returned by the content's
	// registrar.
	LostServers int
	// Blamed is true if the server's registrar blames the loss on the content.
	Blamed bool
}

// Verdict is a registrar's answer to an event.
type Verdict struct {
	Granted     bool
	LostServers int
	Blamed      bool
	// TooManyCrashes is true if the content may no longer run, because too many servers
	// were lost while running it.
	TooManyCrashes bool
	// Server is a server on which the content may run immediately. It is set if
	// the requested server would exceed the limit on servers that run the content
	// at once.
	Server string
}

// IsSuspect reports whether the content's next attempt has to be isolated.
func (v Verdict) IsSuspect() bool { return v.LostServers > 0 }

type grant struct {
	content   uint64
	server    string
	isolated  bool
	expiresAt time.Time
}

// requestContent is the state of the requests with one service and prompt.
type requestContent struct {
	lost map[string]bool
	// reportedLosses is the number of lost servers reported by other entry VMs.
	reportedLosses int
	blamedLosses   int
	running        map[string]grant
	lastCrashAt    time.Time
	// clearedAt is the time at which a complete answer last cleared the lost
	// servers, or zero if a server has crashed since.
	clearedAt time.Time
	usedAt    time.Time
}

// maxServers returns the number of servers that may run the content at once. It
// is smaller while there is no complete answer since the last crash.
func (c *requestContent) maxServers() int {
	if c.clearedAt.IsZero() {
		return MaxBlamedLosses
	}
	return MaxLostServers
}

func (c *requestContent) lostServers() int { return max(len(c.lost), c.reportedLosses) }

func (c *requestContent) tooManyCrashes() bool {
	return c.blamedLosses >= MaxBlamedLosses || c.lostServers() >= MaxLostServers
}

// Table is the state of one registrar. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	contents map[uint64]*requestContent
	slots    map[string]map[string]grant
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{contents: map[uint64]*requestContent{}, slots: map[string]map[string]grant{}}
}

// Apply applies an event.
func (t *Table) Apply(ev Event, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch ev.Kind {
	case RequestSlot:
		return Verdict{Granted: t.decideSlot(ev, now)}
	case RequestBlame:
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
		v = c.decideGrant(ev, now)
	case Crashed:
		c.recordCrash(ev, now)
	case Finished:
		delete(c.running, ev.AttemptID)
		c.clearedAt, c.blamedLosses, c.reportedLosses = now, 0, 0
		clear(c.lost)
	case Released:
		delete(c.running, ev.AttemptID)
	}
	v.LostServers, v.TooManyCrashes = c.lostServers(), c.tooManyCrashes()
	return v
}

func (t *Table) content(id uint64, now time.Time) *requestContent {
	c, ok := t.contents[id]
	if ok && now.Sub(c.lastCrashAt) > CrashRetention && c.lostServers() > 0 {
		ok = false
	}
	if ok {
		return c
	}
	if len(t.contents) >= maxContents {
		return nil
	}
	c = &requestContent{lost: map[string]bool{}, running: map[string]grant{}}
	t.contents[id] = c
	return c
}

// decideGrant decides whether an attempt may start. A suspect may run one
// attempt at a time. Any other content may run on maxServers servers at once.
func (c *requestContent) decideGrant(ev Event, now time.Time) Verdict {
	if c.tooManyCrashes() {
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

func (c *requestContent) recordCrash(ev Event, now time.Time) {
	delete(c.running, ev.AttemptID)
	c.clearedAt = time.Time{}
	c.lastCrashAt = now
	if c.lost[ev.Server] {
		return
	}
	c.lost[ev.Server] = true
	if ev.Blamed {
		c.blamedLosses++
	}
	invariant.Check(len(c.lost) <= MaxLostServers, invariant.BackendLossBounded, "content %x lost %d backend servers", ev.Content, len(c.lost))
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

func (t *Table) decideSlot(ev Event, now time.Time) bool {
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

// isToBlame reports whether the loss of a server counts against a request
// content. It does only if the server ran no other suspect. Attempts that began
// before their content was a suspect have no slot and are not blamed. At its
// first crash, a request content that crashes its servers may be running on up
// to maxServers of them without slots. The loss of each of these but the first
// can be blamed on an innocent suspect.
func (t *Table) isToBlame(ev Event, now time.Time) bool {
	slots := t.activeSlots(ev.Server, now)
	for _, g := range slots {
		if g.content != ev.Content {
			return false
		}
	}
	return len(slots) > 0
}

// Sweep removes request contents and slots that are no longer needed.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, c := range t.contents {
		retained := c.lostServers() > 0 && now.Sub(c.lastCrashAt) <= CrashRetention
		if !retained && now.Sub(c.usedAt) > GrantTimeout {
			delete(t.contents, id)
		}
	}
	for server := range t.slots {
		if len(t.activeSlots(server, now)) == 0 {
			delete(t.slots, server)
		}
	}
}

// CrashReport reports to other entry VMs how many backend servers were lost while
// running one request content.
type CrashReport struct {
	Content     uint64
	LostServers int
	// Age is the time since the last crash.
	Age time.Duration
}

// Digest returns at most limit reports, those with the newest crash first.
func (t *Table) Digest(limit int, now time.Time) []CrashReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []CrashReport
	for id, c := range t.contents {
		if age := now.Sub(c.lastCrashAt); c.lostServers() > 0 && age <= CrashRetention {
			out = append(out, CrashReport{Content: id, LostServers: c.lostServers(), Age: age})
		}
	}
	slices.SortFunc(out, func(a, b CrashReport) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Content, b.Content))
	})
	return out[:min(len(out), limit)]
}

// Merge applies the reports received from another entry VM, so that the new
// registrar of a request content has them after the old one has left.
func (t *Table) Merge(list []CrashReport, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range list {
		if m.Age > CrashRetention || m.LostServers <= 0 {
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
		if at.After(c.lastCrashAt) {
			c.lastCrashAt = at
		}
		c.reportedLosses = max(c.reportedLosses, min(m.LostServers, MaxLostServers))
	}
}
