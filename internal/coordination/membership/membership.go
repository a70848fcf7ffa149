// Package membership detects which entry VMs are alive. Each node probes one
// member per period, asks a few other members for an indirect probe if that
// fails, and disseminates changes by piggybacking a bounded number of them on
// each message, so a node's cost does not grow with the number of nodes.
//
// The core does no I/O: the caller sends the probes and reports their results.
// The cloud's VM list lags behind and serves only as a hint that introduces
// members.
package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// State is the observed state of a member. Within one incarnation a higher state
// overrides a lower one.
type State uint32

// Values of State, in ascending precedence.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

var stateNames = [...]string{"alive", "suspect", "leaving", "dead"}

// String returns the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Member is one entry VM.
type Member struct {
	VM               string
	AvailabilityZone string
	CallerAddress    string
	PeerAddress      string
	// Incarnation increases with each start of the process and each refutation.
	Incarnation uint64
	State       State
}

// Config holds the protocol's bounds.
type Config struct {
	// Period is the time between two probes of one node.
	Period time.Duration
	// ProbeTimeout bounds a direct probe; an indirect one may take twice as long.
	ProbeTimeout time.Duration
	// IndirectProbeCount is the number of members that are asked for an indirect
	// probe of one that did not answer a direct one.
	IndirectProbeCount int
	// SuspicionPeriods times the binary logarithm of the number of members is the
	// number of periods after which an unresponsive suspect is declared dead.
	SuspicionPeriods int
	// MaxUpdates bounds the number of members in one digest.
	MaxUpdates int
	// TombstoneTTL is the time for which a dead member is retained.
	TombstoneTTL time.Duration
}

// DefaultConfig makes eight entry VMs remove a dead one within about five seconds.
var DefaultConfig = Config{
	Period:             time.Second,
	ProbeTimeout:       300 * time.Millisecond,
	IndirectProbeCount: 2,
	SuspicionPeriods:   1,
	MaxUpdates:         6,
	TombstoneTTL:       time.Minute,
}

// retransmitFactor times the binary logarithm of the number of members is the
// number of messages that carry an update.
const retransmitFactor = 3

type record struct {
	Member
	// suspectedAt is the time of the first probe that the member did not answer,
	// or of the first update that reported it as suspect; zero while it answers.
	suspectedAt time.Time
	diedAt      time.Time
	// remainingSends is the number of messages that may still carry the
	// member's newest update.
	remainingSends int
}

// Core is one node's view of the members. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	self    Member
	random  *rand.Rand
	members map[string]*record
	// rotation is the order of probes; each round probes every member once.
	rotation []string
	// pendingUpdates holds the members with updates to disseminate, unhealthy
	// those that are suspected or dead. With these two maps the cost of a period
	// does not depend on the number of members.
	pendingUpdates map[string]*record
	unhealthy      map[string]*record
	lastTickAt     time.Time
}

// New returns a core without members other than itself.
func New(cfg Config, self Member, random *rand.Rand) *Core {
	return &Core{
		cfg:            cfg,
		self:           self,
		random:         random,
		members:        map[string]*record{},
		pendingUpdates: map[string]*record{},
		unhealthy:      map[string]*record{},
	}
}

// Self returns this node's own entry, as it is sent to other nodes.
func (c *Core) Self() Member {
	return c.self
}

// Members returns all members but this node, sorted by VM.
func (c *Core) Members() []Member {
	out := make([]Member, 0, len(c.members))
	for _, r := range c.members {
		out = append(out, r.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// Introduce adds the members of a hint that are not present yet. They are
// considered alive until probes fail.
func (c *Core) Introduce(hint []Member) {
	for _, m := range hint {
		if m.VM == c.self.VM || c.members[m.VM] != nil {
			continue
		}
		m.State = Alive
		c.members[m.VM] = &record{Member: m}
		c.addToRotation(m.VM)
	}
}

// addToRotation inserts a member at a random position of the probe order.
func (c *Core) addToRotation(vm string) {
	at := c.random.IntN(len(c.rotation) + 1)
	c.rotation = slices.Insert(c.rotation, at, vm)
}

// Leave marks this node as leaving in a new incarnation.
func (c *Core) Leave() {
	if c.self.State == Leaving {
		return
	}
	c.self.State = Leaving
	c.self.Incarnation++
}

// Probe is a request to probe a member.
type Probe struct{ Target Member }

// pauseFactor is the number of periods without a tick after which this node
// assumes that it was frozen itself. Missing answers are then no evidence against
// other members.
const pauseFactor = 3

// Tick starts a period. It returns the member to probe, if there is one, and
// whether this node was frozen, in which case the caller must discard the
// results of outstanding probes.
func (c *Core) Tick(now time.Time) (probe Probe, ok, frozen bool) {
	frozen = !c.lastTickAt.IsZero() && now.Sub(c.lastTickAt) > pauseFactor*c.cfg.Period
	c.lastTickAt = now
	if frozen {
		c.restartSuspicions(now)
	}
	c.expire(now)
	target, ok := c.nextTarget()
	return Probe{Target: target}, ok, frozen
}

// restartSuspicions restarts the suspicion timeout of every suspect after a
// freeze.
func (c *Core) restartSuspicions(now time.Time) {
	for _, r := range c.unhealthy {
		if !r.suspectedAt.IsZero() {
			r.suspectedAt = now
		}
	}
}

func (c *Core) nextTarget() (Member, bool) {
	for range len(c.rotation) {
		vm := c.rotation[0]
		c.rotation = append(c.rotation[1:], vm)
		if r := c.members[vm]; r.State != Dead {
			return r.Member, true
		}
	}
	return Member{}, false
}

// SuspicionTimeout returns the time after which a suspect that does not answer is
// declared dead.
func (c *Core) SuspicionTimeout() time.Duration {
	return time.Duration(c.cfg.SuspicionPeriods*c.log2Size()) * c.cfg.Period
}

// log2Size returns the binary logarithm of the number of members, this node
// included, rounded down, plus 1. It is at least 2.
func (c *Core) log2Size() int {
	return max(bits.Len(uint(len(c.members)+1)), 2)
}

// maxSends returns the number of messages that carry an update.
func (c *Core) maxSends() int {
	return retransmitFactor * c.log2Size()
}

// expire declares suspects dead after their timeout and removes old tombstones.
func (c *Core) expire(now time.Time) {
	for vm, r := range c.unhealthy {
		if r.State != Dead && !r.suspectedAt.IsZero() && now.Sub(r.suspectedAt) >= c.SuspicionTimeout() {
			c.declareDead(r, now)
		}
		if r.State == Dead && now.Sub(r.diedAt) >= c.cfg.TombstoneTTL {
			c.remove(vm)
		}
	}
}

func (c *Core) declareDead(r *record, now time.Time) {
	r.State = Dead
	r.diedAt = now
	c.disseminate(r)
}

// disseminate schedules the member's state for sending to other members.
func (c *Core) disseminate(r *record) {
	r.remainingSends = c.maxSends()
	c.pendingUpdates[r.VM] = r
	if r.State == Dead || !r.suspectedAt.IsZero() {
		c.unhealthy[r.VM] = r
	}
}

func (c *Core) remove(vm string) {
	delete(c.members, vm)
	delete(c.pendingUpdates, vm)
	delete(c.unhealthy, vm)
	c.rotation = slices.DeleteFunc(c.rotation, func(s string) bool { return s == vm })
}

// ProbeAnswered records that a member has answered a direct or an indirect probe.
func (c *Core) ProbeAnswered(vm string) {
	r := c.members[vm]
	if r == nil || r.State == Dead {
		return
	}
	r.suspectedAt = time.Time{}
	delete(c.unhealthy, vm)
	if r.State == Suspect {
		r.State = Alive
	}
}

// IndirectProbers returns random members to ask for an indirect probe of vm.
func (c *Core) IndirectProbers(vm string) []Member {
	var candidates []Member
	for _, r := range c.members {
		if r.VM != vm && (r.State == Alive || r.State == Leaving) {
			candidates = append(candidates, r.Member)
		}
	}
	slices.SortFunc(candidates, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	c.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), c.cfg.IndirectProbeCount)]
}

// ProbeFailed records that a member has answered neither a direct nor an indirect
// probe.
func (c *Core) ProbeFailed(vm string, now time.Time) {
	r := c.members[vm]
	if r == nil || r.State == Dead {
		return
	}
	if r.suspectedAt.IsZero() {
		r.suspectedAt = now
		c.unhealthy[vm] = r
	}
	if r.State == Alive {
		r.State = Suspect
		c.disseminate(r)
	}
}

// Receive merges the sender and the updates of a message. It reports whether the
// entry of any member has changed.
func (c *Core) Receive(from Member, updates []Member, now time.Time) bool {
	changed := c.merge(from, now)
	for _, m := range updates {
		if c.merge(m, now) {
			changed = true
		}
	}
	return changed
}

func (c *Core) merge(m Member, now time.Time) bool {
	if m.VM == c.self.VM {
		c.refute(m)
		return false
	}
	r := c.members[m.VM]
	if r == nil {
		return c.addMember(m, now)
	}
	if m.Incarnation < r.Incarnation {
		return false
	}
	if m.Incarnation == r.Incarnation && m.State <= r.State {
		return false
	}
	c.applyUpdate(r, m, now)
	return true
}

func (c *Core) addMember(m Member, now time.Time) bool {
	if m.State == Dead {
		return false
	}
	r := &record{Member: m}
	if m.State == Suspect {
		r.suspectedAt = now
	}
	c.members[m.VM] = r
	c.addToRotation(m.VM)
	c.disseminate(r)
	return true
}

func (c *Core) applyUpdate(r *record, m Member, now time.Time) {
	isNewer := m.Incarnation > r.Incarnation
	r.Member = m
	switch {
	case m.State == Dead:
		r.diedAt = now
	case m.State == Suspect && r.suspectedAt.IsZero():
		r.suspectedAt = now
	case isNewer && m.State != Suspect:
		r.suspectedAt = time.Time{}
		delete(c.unhealthy, r.VM)
	}
	c.disseminate(r)
}

// refute starts a new incarnation if m reports this node as suspect or dead.
func (c *Core) refute(m Member) {
	if m.Incarnation < c.self.Incarnation || (m.State != Suspect && m.State != Dead) {
		return
	}
	c.self.Incarnation = m.Incarnation + 1
}

// Updates returns the changes to send to a member, the least often sent first. A
// member that this node considers suspect or dead always receives its own entry,
// so that it can refute it.
func (c *Core) Updates(to string) []Member {
	var out []Member
	if r := c.members[to]; r != nil && (r.State == Suspect || r.State == Dead) {
		out = append(out, r.Member)
	}
	pending := make([]*record, 0, len(c.pendingUpdates))
	for _, r := range c.pendingUpdates {
		if r.VM != to {
			pending = append(pending, r)
		}
	}
	slices.SortFunc(pending, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.remainingSends, a.remainingSends), cmp.Compare(a.VM, b.VM))
	})
	for _, r := range pending[:min(len(pending), c.cfg.MaxUpdates-len(out))] {
		r.remainingSends--
		if r.remainingSends == 0 {
			delete(c.pendingUpdates, r.VM)
		}
		out = append(out, r.Member)
	}
	return out
}
