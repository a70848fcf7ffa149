package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/coordination/retry"
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

// retryBudgets gives each service its budget; this VM has its even share.
type retryBudgets struct {
	mu      sync.Mutex
	cfg     retry.Config
	members func() int
	budgets map[string]*retry.Budget
}

func newRetryBudgets(cfg retry.Config, members func() int) *retryBudgets {
	return &retryBudgets{cfg: cfg, members: members, budgets: map[string]*retry.Budget{}}
}

func (b *retryBudgets) of(service string) *retry.Budget {
	x, ok := b.budgets[service]
	if !ok {
		cfg := b.cfg
		cfg.Reserve /= float64(max(b.members(), 1))
		x = retry.NewBudget(cfg)
		b.budgets[service] = x
	}
	return x
}

// first notes a first attempt on a service.
func (b *retryBudgets) first(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).First()
}

// take draws one further attempt.
func (b *retryBudgets) take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).Take()
}

// wallClock tells the time of day as most VMs have it. A VM whose own time of
// day has jumped is set right by what its peers tell.
type wallClock struct {
	mu      sync.Mutex
	offsets map[string]offset
}

type offset struct {
	at time.Time
	// ahead is how far a peer's time of day is ahead of this VM's steady clock.
	ahead time.Duration
}

const (
	// offsetAge is how long a peer's time of day counts.
	offsetAge = 5 * time.Second
	// minOffsets is the fewest peers that can outvote this VM's own clock.
	minOffsets = 2
)

func newWallClock() *wallClock {
	return &wallClock{offsets: map[string]offset{}}
}

var processStart = time.Now()

// steady is the time since the process began, by the steady clock.
func steady(now time.Time) time.Duration { return now.Sub(processStart) }

// hear takes a peer's time of day.
func (c *wallClock) hear(peer string, wallMillis int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offsets[peer] = offset{at: now, ahead: time.Duration(wallMillis)*time.Millisecond - steady(now)}
}

// unixMillis returns the median of the times of day of this VM and its peers.
func (c *wallClock) unixMillis(now time.Time) int64 {
	own := time.Duration(time.Now().UnixMilli())*time.Millisecond - steady(now)
	c.mu.Lock()
	all := []time.Duration{own}
	for _, o := range c.offsets {
		if now.Sub(o.at) < offsetAge {
			all = append(all, o.ahead)
		}
	}
	c.mu.Unlock()
	if len(all) <= minOffsets {
		return (own + steady(now)).Milliseconds()
	}
	slices.Sort(all)
	return (all[len(all)/2] + steady(now)).Milliseconds()
}

// workMeter sums the engine time that requests ask for, by service, at this VM
// and at all others.
type workMeter struct {
	mu    sync.Mutex
	sum   map[string]float64
	heard map[string]heardWork
	// others is what has been heard, by service hash; it only grows.
	others map[uint32]uint64
}

type heardWork struct {
	source      string
	incarnation uint64
	millis      map[uint32]uint64
}

func newWorkMeter() *workMeter {
	return &workMeter{sum: map[string]float64{}, heard: map[string]heardWork{}, others: map[uint32]uint64{}}
}

func (m *workMeter) add(service string, millis float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sum[service] += millis
}

func (m *workMeter) sums() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.sum)
}

// hear takes the sums that are told under a name.
func (m *workMeter) hear(key, source string, incarnation uint64, work []gossip.Work) {
	if len(work) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.heard[key]
	now := heardWork{source: source, incarnation: incarnation, millis: map[uint32]uint64{}}
	for _, w := range work {
		now.millis[w.Service] = w.Millis
		old, known := before.millis[w.Service]
		if known && before.source == source && before.incarnation == incarnation && w.Millis > old {
			m.others[w.Service] += w.Millis - old
		}
	}
	m.heard[key] = now
}

// total returns the engine time that all VMs have asked for of a service, from
// some moment on.
func (m *workMeter) total(service string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sum[service] + float64(m.others[shortHash(service)])
}
