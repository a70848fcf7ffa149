package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootpath.example/coltsfootpath/internal/state/control"
)

// testConfig combines a short margin with a large clock error to expose faults.
var testConfig = Config{Duration: 5 * time.Second, Margin: 100 * time.Millisecond, MaxOrderTime: 2 * time.Second, ClockError: 0.1}

var epoch = time.Unix(1_900_000_000, 0)

// node is one coordinator; rate is the rate of its clock relative to real time.
type node struct {
	elector *Elector
	rate    float64
	state   *control.State
	writer  control.WriterID
}

// simulation holds the real time, the log and the appends in flight. The checks
// use only the order of the log and the real time.
type simulation struct {
	now      time.Duration
	log      []control.Record
	inFlight []control.Record
	nodes    []*node
	started  int
	// highestToken is the highest fencing token under which an order was
	// permitted.
	highestToken uint64
	// orderEndsAt is the latest end of an order under highestToken.
	orderEndsAt time.Duration
	// earlierEndsAt is the latest end of an order under any lower token.
	earlierEndsAt time.Duration
}

func (b *simulation) start(rate float64) *node {
	b.started++
	process := fmt.Sprintf("process-%d", b.started)
	return &node{
		elector: NewElector(testConfig, control.Holder{VM: "same"}, process),
		rate:    rate,
		state:   control.New(),
		writer:  control.WriterID{Incarnation: process},
	}
}

func (b *simulation) clock(n *node) time.Time {
	return epoch.Add(time.Duration(float64(b.now) * n.rate))
}

func (b *simulation) send(n *node, r control.Record) {
	n.writer.Sequence++
	r.Writer = n.writer
	b.inFlight = append(b.inFlight, r)
}

func (b *simulation) step(n *node) {
	if next, ok := n.elector.Step(b.clock(n)); ok {
		b.send(n, control.Record{Claim: next.Claim, Renewal: next.Renewal})
	}
}

func (b *simulation) stop(n *node) {
	if fencing, ok := n.elector.Stop(); ok {
		b.send(n, control.Record{Release: &control.LeaseRelease{FencingToken: fencing}})
	}
}

func (b *simulation) read(n *node, limit int) {
	for limit > 0 && int(n.state.Next) <= len(b.log) {
		r := b.log[n.state.Next-1]
		verdict := n.state.Apply(n.state.Next, r)
		var attempt control.AppendID
		switch {
		case verdict != control.Accepted:
		case r.Claim != nil:
			attempt = r.Claim.Attempt
		case r.Renewal != nil:
			attempt = r.Renewal.Attempt
		}
		n.elector.Observe(n.state.Lease, attempt, b.clock(n))
		limit--
	}
	if int(n.state.Next) > len(b.log) {
		n.elector.Observe(n.state.Lease, control.AppendID{}, b.clock(n))
	}
}

// check gives an order of the maximum duration on every node that may give one,
// and verifies that the orders of different holders do not overlap.
func (b *simulation) check(t *rapid.T) {
	holders := 0
	for _, n := range b.nodes {
		fencing, ok := n.elector.FencingToken(b.clock(n))
		if !ok {
			continue
		}
		holders++
		switch {
		case fencing < b.highestToken:
			t.Fatalf("an order under token %d after one under token %d", fencing, b.highestToken)
		case fencing > b.highestToken:
			b.earlierEndsAt = max(b.earlierEndsAt, b.orderEndsAt)
			b.highestToken = fencing
		}
		if b.now < b.earlierEndsAt {
			t.Fatalf("an order under token %d while one of an earlier holder may run until %v, now %v", fencing, b.earlierEndsAt, b.now)
		}
		b.orderEndsAt = b.now + testConfig.MaxOrderTime
	}
	if holders > 1 {
		t.Fatalf("%d nodes hold the lease at the same time", holders)
	}
}

func (b *simulation) drawNode(t *rapid.T) int {
	return rapid.IntRange(0, len(b.nodes)-1).Draw(t, "node")
}

// connectivity is the set of operations that a node can currently perform.
type connectivity int

const (
	healthy connectivity = iota
	paused
	// cannotRead: the node appends and does not read.
	cannotRead
	// cannotAppend: the node reads, and its appends stay in flight.
	cannotAppend
	connectivities
)

// round performs one tick of a healthy node.
func (b *simulation) round(n *node) { b.roundWith(n, healthy) }

func (b *simulation) roundWith(n *node, l connectivity) {
	if l == paused {
		return
	}
	b.step(n)
	if l != cannotAppend {
		b.log = append(b.log, b.inFlight...)
		b.inFlight = nil
	}
	if l != cannotRead {
		b.read(n, len(b.log))
	}
	n.elector.AppendEnded()
}

// run advances the time while each node has its own connectivity.
func (b *simulation) run(t *rapid.T) {
	const tick = 100 * time.Millisecond
	state := make([]connectivity, len(b.nodes))
	for i := range state {
		state[i] = connectivity(rapid.IntRange(0, int(connectivities)-1).Draw(t, "link"))
	}
	for range rapid.IntRange(1, 90).Draw(t, "ticks") {
		for i, n := range b.nodes {
			b.roundWith(n, state[i])
			b.check(t)
		}
		b.now += tick
	}
}

func rates() *rapid.Generator[float64] {
	return rapid.SampledFrom([]float64{1 - testConfig.ClockError/2, 1, 1 + testConfig.ClockError/2})
}

// TestAtMostOneHolder delays, loses and repeats appends, pauses, kills and stops
// nodes, and varies their clock rates. The checks use real time and the log.
func TestAtMostOneHolder(t *testing.T) {
	runsWithHolder := 0
	rapid.Check(t, func(t *rapid.T) {
		b := &simulation{}
		for range 3 {
			b.nodes = append(b.nodes, b.start(rates().Draw(t, "rate")))
		}
		advance := func(t *rapid.T) {
			steps := []time.Duration{time.Millisecond, 300 * time.Millisecond, 1700 * time.Millisecond, 4800 * time.Millisecond}
			b.now += rapid.SampledFrom(steps).Draw(t, "by")
		}
		deliver := func(t *rapid.T) {
			if len(b.inFlight) == 0 {
				return
			}
			i := rapid.IntRange(0, len(b.inFlight)-1).Draw(t, "append")
			b.log = append(b.log, b.inFlight[i])
			if rapid.IntRange(0, 3).Draw(t, "again") > 0 {
				b.inFlight = append(b.inFlight[:i], b.inFlight[i+1:]...)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": advance, "advance 2": advance,
			"deliver": deliver, "deliver 2": deliver,
			"step":  func(t *rapid.T) { b.step(b.nodes[b.drawNode(t)]) },
			"read":  func(t *rapid.T) { b.read(b.nodes[b.drawNode(t)], rapid.IntRange(1, 9).Draw(t, "n")) },
			"done":  func(t *rapid.T) { b.nodes[b.drawNode(t)].elector.AppendEnded() },
			"round": func(t *rapid.T) { b.round(b.nodes[b.drawNode(t)]) },
			"all rounds": func(t *rapid.T) {
				for _, n := range b.nodes {
					b.round(n)
					b.check(t)
				}
			},
			"run": b.run, "run 2": b.run, "run 3": b.run,
			"lose": func(*rapid.T) { b.inFlight = nil },
			"stop": func(t *rapid.T) { b.stop(b.nodes[b.drawNode(t)]) },
			"kill": func(t *rapid.T) { b.nodes[b.drawNode(t)] = b.start(rates().Draw(t, "rate")) },
			"":     b.check,
		})
		if b.highestToken > 0 {
			runsWithHolder++
		}
		b.checkTakeover(t)
	})
	if runsWithHolder == 0 {
		t.Fatal("no run had a holder")
	}
}

// checkTakeover replaces all nodes by a new one and requires it to hold the lease
// within the time that a successor waits.
func (b *simulation) checkTakeover(t *rapid.T) {
	const tick = 100 * time.Millisecond
	rate := rates().Draw(t, "rate")
	survivor := b.start(rate)
	b.nodes = []*node{survivor}
	b.read(survivor, len(b.log))
	b.log = append(b.log, b.inFlight...)
	b.inFlight = nil
	limit := b.now + time.Duration(float64(testConfig.TakeoverDelay())/rate) + 5*tick
	for b.now < limit {
		b.round(survivor)
		b.check(t)
		if _, ok := survivor.elector.FencingToken(b.clock(survivor)); ok {
			return
		}
		b.now += tick
	}
	t.Fatalf("no node holds the lease %v after the last record", testConfig.TakeoverDelay())
}

// TestPausedHolderMayNotGiveOrders resumes a holder after the end of its term.
func TestPausedHolderMayNotGiveOrders(t *testing.T) {
	b := &simulation{}
	n := b.start(1)
	b.read(n, 0)
	b.round(n)
	if _, ok := n.elector.FencingToken(b.clock(n)); !ok {
		t.Fatal("node does not hold the lease")
	}
	b.now += testConfig.Duration - testConfig.Margin
	if f, ok := n.elector.FencingToken(b.clock(n)); ok {
		t.Fatal("node may give an order after its term, under token", f)
	}
}

// TestTermStartsWithTheRecordThatWasRead sends a second record while the first one
// is assumed lost, and then reads back the first.
func TestTermStartsWithTheRecordThatWasRead(t *testing.T) {
	b := &simulation{}
	n := b.start(1)
	b.read(n, 0)
	b.step(n)
	n.elector.AppendEnded()
	b.now += 4 * time.Second
	b.step(n)
	if len(b.inFlight) != 2 {
		t.Fatal(len(b.inFlight))
	}
	b.log = b.inFlight[:1]
	b.read(n, 1)
	b.now += time.Second
	if f, ok := n.elector.FencingToken(b.clock(n)); ok {
		t.Fatal("term of the first claim starts when the second one was sent, order under token", f)
	}
}

// TestOrderSentAfterAPauseIsNotBounded documents the remaining risk for engines
// that ignore fencing tokens: a holder that is paused between reading the clock
// and sending an order can't be stopped.
func TestOrderSentAfterAPauseIsNotBounded(t *testing.T) {
	b := &simulation{}
	a, successor := b.start(1), b.start(1)
	b.read(a, 0)
	b.round(a)
	old, ok := a.elector.FencingToken(b.clock(a))
	if !ok {
		t.Fatal("node does not hold the lease")
	}
	b.read(successor, 1)
	b.now += testConfig.TakeoverDelay()
	b.round(successor)
	token, ok := successor.elector.FencingToken(b.clock(successor))
	if !ok || token <= old {
		t.Fatalf("successor has token %d, %v after token %d; engines that check tokens must reject the late order", token, ok, old)
	}
}
