package serverlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	testServer = 7
	window     = 4 * time.Second
	step       = 10 * time.Millisecond
)

// deployment simulates VMs whose requests all want one limited server.
type deployment struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	rate   float64
	vms    []*Table
	// granterOf returns the granter that a VM asks, nil if it gets no reply.
	granterOf func(vm int) *Granter
	// demand returns the requests per second of a VM.
	demand func(vm int) float64
	sent   []time.Time
}

func newDeployment(t *testing.T, seed uint64, vms int, rate float64) *deployment {
	random := rand.New(rand.NewPCG(seed, 1))
	d := &deployment{t: t, random: random, now: time.Unix(1_800_000_000, 0), rate: rate, demand: func(int) float64 { return 10 }}
	for range vms {
		d.vms = append(d.vms, d.newVM())
	}
	g := NewGranter()
	d.granterOf = func(int) *Granter { return g }
	return d
}

// newVM returns the table of a VM that has just learned the limit.
func (d *deployment) newVM() *Table {
	v := NewTable(d.random)
	v.Observe(Observation{Server: testServer, HasLimit: true, Rate: d.rate, SentAt: d.now.UnixMilli(), ArrivedAt: d.now.UnixMilli()}, d.now)
	return v
}

func (d *deployment) run(duration time.Duration) {
	for end := d.now.Add(duration); d.now.Before(end); d.now = d.now.Add(step) {
		for _, i := range d.random.Perm(len(d.vms)) {
			if d.random.Float64() < d.demand(i)*step.Seconds() && d.mayOneSend(i) {
				d.sent = append(d.sent, d.now)
			}
		}
	}
}

func (d *deployment) mayOneSend(i int) bool {
	v := d.vms[i]
	if at, limited := v.RoomAt(testServer, 0, d.now); !limited || d.now.Before(at) {
		return !limited
	}
	ask, s := v.Begin(testServer, 0, len(d.vms), d.now)
	switch ask {
	case AskGranter:
		g := d.granterOf(i)
		if g == nil {
			v.AskFailed(testServer, d.now)
			return false
		}
		granted, wait := g.Ask(testServer, s.Rate, d.now)
		v.Asked(testServer, wait, d.now)
		return granted
	case NoRoom:
		return false
	}
	return true
}

// check checks that no window has more requests than the rule allows.
func (d *deployment) check() {
	d.t.Helper()
	allowed := int(1.5*d.rate*window.Seconds() + 5)
	first := 0
	for i := range d.sent {
		for d.sent[i].Sub(d.sent[first]) >= window {
			first++
		}
		if most := i - first + 1; most > allowed {
			d.t.Fatalf("%d requests in %v, allowed %d", most, window, allowed)
		}
	}
}

// use returns the share of the limit that was used since a time.
func (d *deployment) use(since time.Time) float64 {
	count := 0
	for _, at := range d.sent {
		if at.After(since) {
			count++
		}
	}
	return float64(count) / (d.rate * d.now.Sub(since).Seconds())
}

func forEachDeployment(t *testing.T, f func(d *deployment)) {
	for _, vms := range []int{1, 2, 8, 88, 300} {
		for _, rate := range []float64{0.3, 1, 3.5, 20} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%d VMs, limit %v, seed %d", vms, rate, seed), func(t *testing.T) {
					f(newDeployment(t, seed, vms, rate))
				})
			}
		}
	}
}

// TestLimitIsExceededOrWasted: all VMs have requests, then few of them, then all again.
func TestLimitIsExceededOrWasted(t *testing.T) {
	forEachDeployment(t, func(d *deployment) {
		for _, busy := range []int{len(d.vms), 1 + len(d.vms)/8, len(d.vms)} {
			d.demand = func(vm int) float64 {
				if vm < busy {
					return max(40*d.rate/float64(busy), 1)
				}
				return 0
			}
			d.run(12 * time.Second)
			settledAt := d.now
			d.run(30 * time.Second)
			if use := d.use(settledAt); use < 0.8 {
				t.Errorf("%d of %d VMs with requests use %.2f of the limit", busy, len(d.vms), use)
			}
		}
		d.check()
	})
}

// TestLimitIsExceededWithoutGranter: the granter can't be asked, by all VMs or by some, after
// a time without requests, and comes back.
func TestLimitIsExceededWithoutGranter(t *testing.T) {
	forEachDeployment(t, func(d *deployment) {
		g := NewGranter()
		cutOff := map[int]bool{}
		d.granterOf = func(vm int) *Granter {
			if cutOff[vm] {
				return nil
			}
			return g
		}
		for _, share := range []float64{0, 1, 0.35, 1} {
			for vm := range d.vms {
				cutOff[vm] = d.random.Float64() < share
			}
			for _, demand := range []float64{10, 0, 10} {
				d.demand = func(int) float64 { return demand }
				d.run(10 * time.Second)
			}
		}
		d.check()
	})
}

// TestLimitIsExceededWhenGranterChanges: the next granter knows nothing, and for a second the
// VMs do not agree on who it is. VMs restart meanwhile.
func TestLimitIsExceededWhenGranterChanges(t *testing.T) {
	forEachDeployment(t, func(d *deployment) {
		for range 6 {
			before, after := d.granterOf(0), NewGranter()
			d.granterOf = func(vm int) *Granter {
				if vm%2 == 0 {
					return before
				}
				return after
			}
			d.run(time.Second)
			d.granterOf = func(int) *Granter { return after }
			d.vms[d.random.IntN(len(d.vms))] = d.newVM()
			d.run(time.Duration(1+d.random.IntN(6000)) * time.Millisecond)
		}
		d.check()
	})
}

// TestAnswerOfEarlierRequestEndsLimit: answers overtake each other.
func TestAnswerOfEarlierRequestEndsLimit(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := NewTable(rand.New(rand.NewPCG(1, 1)))
	observe := func(rate float64, sentAt, arrivedAt int64) {
		table.Observe(Observation{Server: testServer, HasLimit: rate >= 0, Rate: rate, SentAt: sentAt, ArrivedAt: arrivedAt}, now)
	}
	check := func(when string, want float64, wantLimited bool) {
		t.Helper()
		if rate, limited := table.Rate(testServer, 0); rate != want || limited != wantLimited {
			t.Errorf("%s: limit %v, %v, want %v, %v", when, rate, limited, want, wantLimited)
		}
	}
	observe(2, 1000, 1100)
	check("named", 2, true)
	observe(-1, 500, 1200)
	check("answer to an earlier request", 2, true)
	observe(3, 1500, 1600)
	observe(2, 1400, 1700)
	check("earlier limit overtaken", 3, true)
	if _, limited := table.Rate(testServer, 1800); limited {
		t.Error("a process that started later has the limit of the one before")
	}
	observe(-1, 1800, 1900)
	check("answer without a limit", 0, false)
	observe(3, 1750, 1950)
	check("earlier limit after the end", 0, false)
	observe(1, 2000, 2100)
	check("named again", 1, true)
	peer := NewTable(rand.New(rand.NewPCG(1, 2)))
	for _, s := range table.Outgoing(10) {
		if !peer.Merge(s, now) || peer.Merge(s, now) {
			t.Errorf("statement %+v is not new once", s)
		}
	}
	if rate, limited := peer.Rate(testServer, 0); rate != 1 || !limited {
		t.Errorf("peer has the limit %v, %v", rate, limited)
	}
	if peer.Merge(Statement{Server: testServer, Ended: true, At: 1900}, now) {
		t.Error("an earlier end replaces the limit")
	}
}

// TestUrgentRequestWaitsBehindOthers: the queue is in the order of priority, then of arrival.
func TestUrgentRequestWaitsBehindOthers(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	l := NewQueue()
	first, second, urgent := l.Join("s", 5, now), l.Join("s", 5, now.Add(time.Second)), l.Join("s", 2, now.Add(2*time.Second))
	for w, want := range map[*Waiter]int{urgent: 0, first: 1, second: 2} {
		if got := l.Ahead("s", w, w.priority); got != want {
			t.Errorf("%d requests ahead of %+v, want %d", got, w, want)
		}
	}
	if got := l.Ahead("s", nil, 3); got != 1 {
		t.Errorf("%d requests ahead of a new one, want 1", got)
	}
	l.Leave(urgent)
	if got := l.Ahead("s", second, 5); got != 1 {
		t.Errorf("%d requests ahead after the first left, want 1", got)
	}
}

// TestForgettingLimitsBlocksChoices: whoever is asked whether a server is known may hold a
// lock under which limits are looked up.
func TestForgettingLimitsBlocksChoices(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := NewTable(rand.New(rand.NewPCG(1, 1)))
	table.Observe(Observation{Server: testServer, HasLimit: true, Rate: 1, SentAt: 1000, ArrivedAt: 1100}, now)
	done := make(chan bool)
	go func() {
		table.Retain(func(server uint32) bool {
			_, limited := table.Rate(server, 0)
			return limited
		}, 2000)
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the table's lock is held")
	}
}
