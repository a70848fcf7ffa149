// Package serverlimit keeps all VMs of a deployment together within the limits that backend
// servers name: the requests per second that a server takes from all VMs. It decides without
// any I/O.
//
// A Table holds what this VM knows of the limits. Statements of servers reach the VMs that
// have not got one by digests. One VM, the granter, gives out permits from a bucket for each
// limited server, and each request needs one. VMs whose requests find no room are told when
// to ask again, each at another time. While the granter can't be asked, a VM sends its even
// share, at times of its own.
package serverlimit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// MinRate is the rate at which a server is sent requests at least. It says that a limit
	// has ended only in answers.
	MinRate = 0.1
	// MaxRate bounds the limits that are kept.
	MaxRate = 1e6
	// orderSlack is the time by which the clocks of two VMs may differ.
	orderSlack = 50 * time.Millisecond
	// digestRepeats is the number of digests that contain a new statement, as some are lost.
	digestRepeats = 4
	// restateInterval is the interval at which an unchanged statement is sent once more, for
	// peers that have started since.
	restateInterval = 10 * time.Second
	// shareValidity is the time for which a VM may use a turn of its own share.
	shareValidity = 500 * time.Millisecond
	// The time between two turns, in those of an even share, is minTurnFactor to minTurnFactor
	// + turnSpread. Other VMs may get all permits from the granter meanwhile, and many VMs may
	// draw their turns at the same time.
	minTurnFactor = 1
	turnSpread    = 2
	// granterRetryInterval is the time for which a granter that could not be asked is left
	// alone.
	granterRetryInterval = time.Second
)

// Statement is what a server has said about its limit.
type Statement struct {
	// Server is the short hash of the server's ID.
	Server uint32
	// Rate is the limit in requests per second. It is not valid if Ended is set: the
	// server no longer names one.
	Rate  float64
	Ended bool
	// Places is the number of places that the server has at most, as its rejections have
	// shown, 0 if it has rejected nothing. It is kept as long as the statement holds.
	Places int
	// At is the Unix time in milliseconds at which the answer with the statement arrived.
	At int64
}

// Observation is the part of an answer's head that tells about the server's limit.
type Observation struct {
	Server uint32
	// HasLimit is set if the answer names a limit, which is Rate.
	HasLimit bool
	Rate     float64
	// SentAt and ArrivedAt are the Unix times in milliseconds at which the request was sent
	// and its answer's head arrived.
	SentAt, ArrivedAt int64
}

// entry is what a VM knows of one server.
type entry struct {
	Statement
	// sentAt is the time at which the request was sent whose answer named Rate, if it was
	// one of this VM.
	sentAt int64
	// sends is the number of digests that still have to repeat the statement, and
	// restatedAt the time of the last first one.
	sends      int
	restatedAt time.Time
	// askAt is the time from which this VM may ask for a permit, asking is set while it does.
	askAt  time.Time
	asking bool
	// turnAt is this VM's next turn without a granter, zero if it has none.
	turnAt time.Time
}

// Table holds the limits that a VM knows. It is safe for concurrent use; its lock is a leaf
// lock.
type Table struct {
	mu      sync.Mutex
	entries map[uint32]*entry
	// granterAt is the time before which the granter is not asked, as it did not answer.
	granterAt time.Time
	random    *rand.Rand
}

// NewTable returns a table without limits.
func NewTable(random *rand.Rand) *Table {
	return &Table{entries: map[uint32]*entry{}, random: random}
}

// Observe records what an answer tells, and reports whether that changes the server's limit.
// Answers overtake each other: one without a limit ends the limit only if its request was
// sent after the last answer with a limit had arrived.
func (t *Table) Observe(o Observation, now time.Time) (s Statement, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[o.Server]
	if !o.HasLimit {
		if e == nil || e.Ended || o.SentAt <= e.At+orderSlack.Milliseconds() {
			return Statement{}, false
		}
		t.set(e, Statement{Server: o.Server, Ended: true, At: o.ArrivedAt}, now)
		return e.Statement, true
	}
	s = Statement{Server: o.Server, Rate: min(o.Rate, MaxRate), At: o.ArrivedAt}
	switch {
	case e == nil:
		e = &entry{}
		t.entries[o.Server] = e
	case e.Ended && o.SentAt < e.At:
		return e.Statement, false
	case !e.Ended && e.Rate == s.Rate:
		e.At, e.sentAt = max(e.At, s.At), max(e.sentAt, o.SentAt)
		e.restate(now)
		return e.Statement, false
	case o.SentAt < e.sentAt:
		return e.Statement, false
	}
	e.sentAt = o.SentAt
	t.set(e, s, now)
	return s, true
}

// Merge records a peer's statement, and reports whether it changes the server's limit.
func (t *Table) Merge(s Statement, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[s.Server]
	switch {
	case e == nil:
		e = &entry{}
		t.entries[s.Server] = e
	case s.At <= e.At && !hasFewerPlaces(&e.Statement, &s):
		return false
	}
	changed = e.Ended != s.Ended || e.Rate != s.Rate || e.At == 0 && !s.Ended || hasFewerPlaces(&e.Statement, &s)
	s.At = max(s.At, e.At)
	if !changed {
		e.At = s.At
		e.restate(now)
		return false
	}
	t.set(e, s, now)
	return true
}

// hasFewerPlaces reports whether a statement that holds like the known one shows that the
// server has fewer places.
func hasFewerPlaces(known, s *Statement) bool {
	return !known.Ended && !s.Ended && s.Places > 0 && (known.Places == 0 || s.Places < known.Places)
}

// LimitPlaces records that a server has at most so many places, while its statement holds. It
// reports whether that is new.
func (t *Table) LimitPlaces(server uint32, places int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[server]
	if e == nil {
		return false
	}
	s := e.Statement
	s.Places = places
	if !hasFewerPlaces(&e.Statement, &s) {
		return false
	}
	t.set(e, s, now)
	return true
}

// Statement returns the last statement about a server's limit, and false if there is none.
func (t *Table) Statement(server uint32) (Statement, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[server]
	if e == nil {
		return Statement{}, false
	}
	return e.Statement, true
}

// IsEmpty reports whether no server has stated anything.
func (t *Table) IsEmpty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries) == 0
}

// ResendAll sends all statements once more, for a peer that has started or returned.
func (t *Table) ResendAll(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		e.sends, e.restatedAt = max(e.sends, 1), now
	}
}

// restate sends an unchanged statement once more if the last time is long ago.
func (e *entry) restate(now time.Time) {
	if now.Sub(e.restatedAt) >= restateInterval {
		e.sends, e.restatedAt = max(e.sends, 1), now
	}
}

// set replaces a statement. The caller must hold the lock.
func (t *Table) set(e *entry, s Statement, now time.Time) {
	if !s.Ended && !e.Ended && e.Places > 0 && (s.Places == 0 || e.Places < s.Places) {
		s.Places = e.Places
	}
	e.Statement, e.sends, e.restatedAt = s, digestRepeats, now
	e.askAt, e.turnAt = time.Time{}, time.Time{}
}

// Outgoing returns at most limit statements for the next digest.
func (t *Table) Outgoing(limit int) []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []*entry
	for _, e := range t.entries {
		if e.sends > 0 {
			news = append(news, e)
		}
	}
	slices.SortFunc(news, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.Server, b.Server))
	})
	var out []Statement
	for _, e := range news[:min(len(news), limit)] {
		e.sends--
		out = append(out, e.Statement)
	}
	return out
}

// SetRate sets the limit of a server that its VM knows from elsewhere than its answers. Digests
// do not contain it.
func (t *Table) SetRate(server uint32, rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[server]
	if e == nil {
		e = &entry{}
		t.entries[server] = e
	}
	e.Statement = Statement{Server: server, Rate: rate}
}

// active returns the entry of a limited server, nil if it has no limit. A limit that was
// stated before the server's process started is that of an earlier process. The caller must
// hold the lock.
func (t *Table) active(server uint32, startedAt int64) *entry {
	e := t.entries[server]
	if e == nil || e.Ended || e.At < startedAt {
		return nil
	}
	return e
}

// Rate returns the limit of a server whose process started at the Unix time startedAt, in
// milliseconds, and false if it has none.
func (t *Table) Rate(server uint32, startedAt int64) (rate float64, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.active(server, startedAt)
	if e == nil {
		return 0, false
	}
	return e.Rate, true
}

// RoomAt returns the time from which this VM may ask for a permit, and false if the server
// has no limit.
func (t *Table) RoomAt(server uint32, startedAt int64, now time.Time) (at time.Time, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.active(server, startedAt)
	if e == nil {
		return time.Time{}, false
	}
	at = e.askAt
	if now.Before(t.granterAt) && e.turnAt.After(at) {
		at = e.turnAt
	}
	if e.asking && !at.After(now) {
		at = now.Add(time.Millisecond)
	}
	return at, true
}

// Ask is how a VM gets a permit.
type Ask int

// Values of Ask.
const (
	// Unlimited means that no permit is needed.
	Unlimited Ask = iota
	// AskGranter means that the granter has to be asked. Asked must be called then.
	AskGranter
	// OwnShare means that the VM may send without the granter.
	OwnShare
	// NoRoom means that the VM may not send now.
	NoRoom
)

// Begin begins to get a permit. vms is the number of VMs that share the limit.
func (t *Table) Begin(server uint32, startedAt int64, vms int, now time.Time) (Ask, Statement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.active(server, startedAt)
	switch {
	case e == nil:
		return Unlimited, Statement{}
	case e.asking || now.Before(e.askAt):
		return NoRoom, e.Statement
	case !now.Before(t.granterAt):
		e.asking = true
		return AskGranter, e.Statement
	case t.takeTurn(e, vms, now):
		return OwnShare, e.Statement
	}
	return NoRoom, e.Statement
}

// takeTurn reports whether it is this VM's turn without a granter. The first demand draws
// the time of the turn, so that VMs that were idle do not all send at once. The caller must
// hold the lock.
func (t *Table) takeTurn(e *entry, vms int, now time.Time) bool {
	isTurn := !e.turnAt.IsZero() && !now.Before(e.turnAt) && now.Sub(e.turnAt) < shareValidity
	if isTurn || e.turnAt.IsZero() || now.After(e.turnAt) {
		interval := float64(max(vms, 1)) / max(e.Rate, MinRate)
		e.turnAt = now.Add(seconds(interval * (minTurnFactor + turnSpread*t.random.Float64())))
	}
	return isTurn
}

// Asked records the granter's reply to a question. wait is the time until this VM may ask
// again.
func (t *Table) Asked(server uint32, wait time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[server]; e != nil {
		e.asking, e.askAt = false, now.Add(wait)
	}
}

// AskFailed records that the granter did not reply.
func (t *Table) AskFailed(server uint32, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[server]; e != nil {
		e.asking = false
	}
	t.granterAt = now.Add(granterRetryInterval)
}

// Retain forgets the statements from before a Unix time, in milliseconds, about servers for
// which keep returns false. keep is called without the lock.
func (t *Table) Retain(keep func(server uint32) bool, before int64) {
	for _, server := range t.statedBefore(before) {
		if keep(server) {
			continue
		}
		t.mu.Lock()
		if e := t.entries[server]; e != nil && e.At < before {
			delete(t.entries, server)
		}
		t.mu.Unlock()
	}
}

func (t *Table) statedBefore(before int64) []uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []uint32
	for server, e := range t.entries {
		if e.At < before {
			out = append(out, server)
		}
	}
	return out
}

// Limits returns the limits that have not ended, by server.
func (t *Table) Limits() map[uint32]Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[uint32]Statement{}
	for server, e := range t.entries {
		if !e.Ended {
			out[server] = e.Statement
		}
	}
	return out
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt32) * float64(time.Second))
}
