package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_790_000_000_000)

const (
	crashing = uint64(7)
	innocent = uint64(8)
	service  = "s"
)

// lose records a loss of a server that does not answer afterwards.
func lose(table *Table, content uint64, server uint32, kind Kind, now time.Time) {
	table.RecordLoss(Loss{Content: content, Service: service, Server: server, Kind: kind, At: now, RestartBy: now.Add(time.Minute)}, now)
}

func drawEvent(t *rapid.T) Event {
	return Event{
		Kind:     Kind(rapid.IntRange(int(Interrupted), int(TrialPassed)).Draw(t, "kind")),
		Server:   uint32(rapid.IntRange(0, 5).Draw(t, "server")),
		AtMillis: start.UnixMilli() + int64(rapid.IntRange(0, 20_000).Draw(t, "at")),
	}
}

func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var parts []Entry
		for range rapid.IntRange(1, 6).Draw(t, "entries") {
			e := Entry{Content: crashing, Generation: uint32(rapid.IntRange(0, 1).Draw(t, "generation"))}
			for range rapid.IntRange(0, 15).Draw(t, "events") {
				e.add(drawEvent(t))
			}
			parts = append(parts, e)
		}
		mergeAll := func(order []int) Entry {
			e := Entry{Content: crashing}
			for _, i := range order {
				e.merge(&parts[i])
			}
			return e
		}
		order := make([]int, len(parts))
		for i := range order {
			order[i] = i
		}
		want := mergeAll(order)
		got := mergeAll(append(rapid.Permutation(order).Draw(t, "order"), order...))
		if got.Generation != want.Generation || !slices.Equal(got.Events, want.Events) {
			t.Fatalf("merged in another order and twice: %+v\nwant %+v", got, want)
		}
	})
}

// cluster is a number of VMs with their tables, a lossy network and a store.
type cluster struct {
	random *rand.Rand
	now    time.Time
	tables []*Table
	// frozen and cutOff VMs exchange no digests; cutOff ones reach the store.
	frozen, cutOff []bool
	storeDown      bool
	stored         map[uint64]Entry
	loss           float64
}

func newCluster(seed uint64, vms int) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 1)), now: start, stored: map[uint64]Entry{}}
	for range vms {
		c.tables = append(c.tables, NewTable())
		c.frozen, c.cutOff = append(c.frozen, false), append(c.cutOff, false)
	}
	return c
}

// tick advances time by one digest interval.
func (c *cluster) tick() {
	c.now = c.now.Add(200 * time.Millisecond)
	for from := range c.tables {
		if c.frozen[from] {
			continue
		}
		if !c.storeDown {
			c.syncStore(from)
		}
		out := c.tables[from].Outgoing(8)
		for to := range c.tables {
			if to != from && !c.frozen[to] && !c.cutOff[from] && !c.cutOff[to] && c.random.Float64() >= c.loss {
				c.tables[to].Merge(out, fmt.Sprint("vm-", from), c.now)
			}
		}
	}
}

func (c *cluster) syncStore(vm int) {
	isolated := slices.Contains(c.cutOff, true) || slices.Contains(c.frozen, true)
	out := c.tables[vm].Unstored(isolated, vm == 0, c.now)
	for i := range out {
		e := c.stored[out[i].Content]
		e.merge(&out[i])
		e.Content, e.StoredIn = out[i].Content, 1
		c.stored[e.Content] = e
	}
	c.tables[vm].MarkStored(out)
	c.readStore(vm)
}

func (c *cluster) readStore(vm int) {
	for _, e := range c.stored {
		c.tables[vm].Merge([]Entry{e}, "store", c.now)
	}
}

func (c *cluster) restart(vm int) {
	c.tables[vm] = NewTable()
	if !c.storeDown {
		c.readStore(vm)
	}
	c.reconnect()
}

// reconnect does what VMs do when they receive digests of a VM again.
func (c *cluster) reconnect() {
	for vm := range c.tables {
		c.tables[vm].ResendAll()
	}
}

// send lets a VM run the content unless it refuses, and reports whether it did.
func (c *cluster) send(vm int, content uint64, server uint32) bool {
	if c.tables[vm].Check(content, service, c.now).Refused {
		return false
	}
	if content == crashing {
		lose(c.tables[vm], content, server, Ended, c.now)
	} else {
		c.tables[vm].RecordAnswer(content, service, c.now)
	}
	return true
}

// TestCrashingContentIsRefusedByAllVMsWithinContactTime injects faults one over the
// other while a content is sent to VMs in turn, and counts its runs later than 3 s
// after the third loss at VMs that can reach the store or their peers.
func TestCrashingContentIsRefusedByAllVMsWithinContactTime(t *testing.T) {
	const vms, contact = 6, 3 * time.Second
	for seed := range uint64(200) {
		c := newCluster(seed, vms)
		c.loss = c.random.Float64() * 0.4
		var thirdLoss time.Time
		runs, late, innocentServed := 0, 0, 0
		lastFault := start
		for step := range 600 {
			if c.random.IntN(25) == 0 && thirdLoss.IsZero() || c.random.IntN(60) == 0 {
				lastFault = c.now
				vm := c.random.IntN(vms)
				switch c.random.IntN(6) {
				case 0:
					c.restart(vm)
				case 1:
					c.frozen[vm] = !c.frozen[vm] && !slices.Contains(c.frozen, true)
					c.reconnect()
				case 2:
					c.cutOff[vm] = !c.cutOff[vm] && !c.storeDown
					c.reconnect()
				case 3:
					c.storeDown = !c.storeDown && !slices.Contains(c.cutOff, true)
				case 4:
					c.frozen, c.cutOff = make([]bool, vms), make([]bool, vms)
					c.reconnect()
				case 5:
					if !c.storeDown && c.now.Sub(thirdLoss) > contact {
						for vm := range vms {
							c.tables[vm] = NewTable()
						}
						for vm := range vms {
							c.restart(vm)
						}
					}
				}
			}
			c.tick()
			vm := step / 5 % vms
			if step%5 != 0 || c.frozen[vm] {
				continue
			}
			if c.send(vm, crashing, uint32(step)) {
				runs++
				if runs == 3 {
					thirdLoss = c.now
				}
				if runs > 3 && c.now.Sub(thirdLoss) > contact && c.now.Sub(lastFault) > contact {
					late++
				}
			}
			if c.send(vm, innocent, uint32(step)) {
				innocentServed++
			}
		}
		if late > 0 {
			t.Errorf("seed %d: %d runs, %d of them late", seed, runs, late)
		}
		if innocentServed == 0 {
			t.Errorf("seed %d: innocent content refused", seed)
		}
	}
}

func TestPopularContentSurvivesTheCrashOfAllServers(t *testing.T) {
	table, now := NewTable(), start
	for range 20 {
		now = now.Add(time.Second)
		table.RecordAnswer(innocent, service, now)
	}
	for server := range uint32(4) {
		lose(table, innocent, server, Ended, now)
	}
	if d := table.Check(innocent, service, now); d.Refused {
		t.Fatalf("refused: %+v", d)
	}
}

// TestRestartedVMServesPopularContent: a VM that has just started knows the losses of
// a popular content from its peers, but not its answers.
func TestRestartedVMServesPopularContent(t *testing.T) {
	table, now := NewTable(), start
	for server := range uint32(4) {
		now = now.Add(3 * time.Second)
		for range 10 {
			table.RecordAnswer(innocent, service, now)
		}
		lose(table, innocent, server, Ended, now)
	}
	table.RecordAnswer(innocent, service, now)
	restarted := NewTable()
	table.ResendAll()
	restarted.Merge(table.Outgoing(8), "vm-1", now.Add(time.Second))
	if d := restarted.Check(innocent, service, now.Add(time.Second)); d.Refused {
		t.Fatalf("%+v", d)
	}
}

// TestOldLossesOutweighLaterAnswers: a popular content was on all servers when a
// crashing request ended some of them. Later its answers break off for a while.
func TestOldLossesOutweighLaterAnswers(t *testing.T) {
	table, now := NewTable(), start
	for server := range uint32(4) {
		lose(table, innocent, server, Ended, now)
	}
	for range 40 {
		now = now.Add(500 * time.Millisecond)
		table.RecordAnswer(innocent, service, now)
	}
	for range 12 {
		now = now.Add(time.Second)
		lose(table, innocent, 1, Interrupted, now)
	}
	if d := table.Check(innocent, service, now); d.Refused || d.Ended != 0 {
		t.Fatalf("%+v", d)
	}
}

// TestFormerlyPopularContentIsQuarantined: a content that starts to end servers, as
// after a change of their software, is refused although it was served before.
func TestFormerlyPopularContentIsQuarantined(t *testing.T) {
	table, now := NewTable(), start
	for range 100 {
		table.RecordAnswer(crashing, service, now)
	}
	for server := range uint32(12) {
		now = now.Add(time.Second)
		lose(table, crashing, server, Ended, now)
	}
	if d := table.Check(crashing, service, now); !d.Refused {
		t.Fatalf("not refused: %+v", d)
	}
}

// TestLostAnswersAreNoCrash loses a third of all answers of a service, and three
// answers of one content.
func TestLostAnswersAreNoCrash(t *testing.T) {
	table, now := NewTable(), start
	for i := range uint64(600) {
		now = now.Add(20 * time.Millisecond)
		content := 1000 + i%50
		if i%3 == 0 {
			lose(table, content, uint32(i%7), Interrupted, now)
		} else {
			table.RecordAnswer(content, service, now)
		}
		if d := table.Check(content, service, now); d.Refused {
			t.Fatalf("content %d refused: %+v", content, d)
		}
	}
	for server := range uint32(3) {
		table.RecordLoss(Loss{Content: innocent, Service: "calm", Server: server, Kind: Interrupted, At: now, RestartBy: now.Add(time.Minute)}, now)
	}
	if d := table.Check(innocent, "calm", now); d.Refused {
		t.Fatalf("refused after three lost answers: %+v", d)
	}
}

// quarantined returns a table with a quarantined content, and the time of the last
// loss.
func quarantined(t *testing.T) (*Table, time.Time) {
	table, now := NewTable(), start
	for server := range uint32(3) {
		now = now.Add(2 * time.Second)
		lose(table, crashing, server, Ended, now)
	}
	if d := table.Check(crashing, service, now); !d.Refused || d.TrialDue {
		t.Fatalf("after three losses: %+v", d)
	}
	return table, now
}

func startTrial(t *testing.T, table *Table, now time.Time) {
	t.Helper()
	if d := table.Check(crashing, service, now); !d.TrialDue {
		t.Fatalf("no trial due: %+v", d)
	}
	table.Merge([]Entry{table.TrialEntry(crashing, now)}, SourceSelf, now)
	if d := table.Check(crashing, service, now); !d.Refused || d.TrialDue {
		t.Fatalf("during a trial: %+v", d)
	}
}

// TestLossBeforeLiftQuarantinesAgain: the server of a loss was still being checked when an
// operator lifted the quarantine.
func TestLossBeforeLiftQuarantinesAgain(t *testing.T) {
	table, now := quarantined(t)
	entry, _ := table.Entry(crashing, now)
	lifted := now.Add(time.Second)
	table.Merge([]Entry{entry.Lift(lifted)}, "store", lifted)
	loss := Loss{Content: crashing, Service: service, Server: 9, Kind: Ended, At: lifted.Add(-200 * time.Millisecond)}
	table.RecordLoss(loss, lifted.Add(100*time.Millisecond))
	if d := table.Check(crashing, service, lifted.Add(200*time.Millisecond)); d.Refused {
		t.Errorf("after a loss before the lift: %+v", d)
	}
	lose(table, crashing, 9, Ended, lifted.Add(2*time.Second))
	if d := table.Check(crashing, service, lifted.Add(2*time.Second)); !d.Refused {
		t.Errorf("after a loss since the lift: %+v", d)
	}
}

func TestRepairedContentIsServedAgain(t *testing.T) {
	table, now := quarantined(t)
	now = now.Add(trialDelays[0])
	startTrial(t, table, now)
	if table.RecordTrialPassed(crashing, now.Add(time.Second)) {
		t.Fatal("lifted after one trial")
	}
	now = now.Add(2 * time.Second)
	startTrial(t, table, now)
	if !table.RecordTrialPassed(crashing, now.Add(time.Second)) {
		t.Fatal("not lifted after two passed trials")
	}
	if d := table.Check(crashing, service, now.Add(2*time.Second)); d.Refused {
		t.Fatalf("refused after the quarantine was lifted: %+v", d)
	}
	now = now.Add(10 * time.Second)
	lose(table, crashing, 9, Ended, now)
	if d := table.Check(crashing, service, now); !d.Refused {
		t.Fatalf("not refused after another loss: %+v", d)
	}
}

// TestTrialsAreBounded: a content that goes on ending servers has two trials.
func TestTrialsAreBounded(t *testing.T) {
	table, now := quarantined(t)
	trialCount := 0
	for end := now.Add(Retention - time.Minute); now.Before(end); now = now.Add(time.Second) {
		if table.Check(crashing, service, now).TrialDue {
			trialCount++
			startTrial(t, table, now)
			lose(table, crashing, 99, Ended, now)
		}
	}
	if trialCount != 2 {
		t.Errorf("%d trials, want 2", trialCount)
	}
	if d := table.Check(crashing, service, now.Add(Retention)); d.Refused {
		t.Errorf("refused after the retention: %+v", d)
	}
}

// TestRareLossesAddUp: a content that runs now and then happens to be on a server that
// ends, once in 40 minutes.
func TestRareLossesAddUp(t *testing.T) {
	table, now := NewTable(), start
	for server := range uint32(10) {
		lose(table, innocent, server, Ended, now)
		if d := table.Check(innocent, service, now); d.Refused {
			t.Fatalf("refused after loss %d: %+v", server, d)
		}
		now = now.Add(40 * time.Minute)
	}
}

func TestRestartConfirmsInterruption(t *testing.T) {
	table, now := NewTable(), start
	for server := range uint32(3) {
		now = now.Add(2 * time.Second)
		lose(table, crashing, server, Interrupted, now)
		// The innocent content's servers listened when they were checked.
		table.RecordLoss(Loss{Content: innocent, Service: service, Server: server, Kind: Interrupted, At: now, RestartBy: now.Add(100 * time.Millisecond)}, now)
	}
	if d := table.Check(crashing, service, now); d.Refused {
		t.Fatalf("refused before any server is known to have ended: %+v", d)
	}
	now = now.Add(2 * time.Second)
	for server := range uint32(3) {
		if got := table.RecordRestart(server, now, now); len(got) != 1 || got[0] != crashing {
			t.Fatalf("contents of server %d: %v", server, got)
		}
	}
	if d := table.Check(crashing, service, now); !d.Refused || d.Ended != 3 {
		t.Fatalf("after the restarts: %+v", d)
	}
	if d := table.Check(innocent, service, now); d.Ended != 0 {
		t.Fatalf("servers that went on count as ended: %+v", d)
	}
}

// TestTableIsBounded lets many contents lose servers. Quarantined contents leave the
// table only for others that are quarantined.
func TestTableIsBounded(t *testing.T) {
	table, now := NewTable(), start
	for server := range uint32(3) {
		lose(table, crashing, server, Ended, now)
	}
	for i := range uint64(3 * maxContents) {
		now = now.Add(time.Millisecond)
		lose(table, 1000+i, uint32(i), Ended, now)
	}
	if contents, _ := table.Size(); contents > maxContents {
		t.Errorf("%d contents", contents)
	}
	if d := table.Check(crashing, service, now); !d.Refused {
		t.Errorf("quarantined content was dropped: %+v", d)
	}
	for i := range uint64(2 * maxContents) {
		now = now.Add(time.Millisecond)
		for server := range uint32(3) {
			lose(table, 100_000+i, server, Ended, now)
		}
	}
	contents, quarantined := table.Size()
	if contents > maxContents || quarantined < maxContents/2 {
		t.Errorf("%d contents, %d of them quarantined", contents, quarantined)
	}
	if d := table.Check(100_000+2*maxContents-1, service, now); !d.Refused {
		t.Errorf("newest content is not refused: %+v", d)
	}
}
