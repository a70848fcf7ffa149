package shedding

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const megabyte = 1 << 20

var start = time.Unix(1_800_000_000, 0)

// opened is a connection of a test.
type opened struct {
	*Holding
	shedBytes int64
	isClosed  bool
}

func open(t *Table, owner string, now time.Time) *opened {
	o := &opened{}
	o.Holding = t.Open(owner, func(held int64) { o.shedBytes, o.isClosed = held, true }, now)
	return o
}

func TestSlowCallerOutlastsStoppedOnes(t *testing.T) {
	for _, owner := range []string{"crowd", "caller"} {
		table := NewTable(10 * megabyte)
		slow := open(table, owner, start)
		now := start
		held := int64(0)
		var crowd []*opened
		for range 200 {
			now = now.Add(20 * time.Millisecond)
			held += 10 << 10
			table.Wait(slow.Holding, held, true, now)
			c := open(table, "crowd", now)
			table.Wait(c.Holding, megabyte, true, now.Add(time.Millisecond))
			crowd = append(crowd, c)
		}
		closed := 0
		for _, c := range crowd {
			if c.isClosed {
				closed++
			}
		}
		if slow.isClosed {
			t.Errorf("owner %s: the slow caller was shed", owner)
		}
		if used, _ := table.Used(); used > 10*megabyte || closed < 190 {
			t.Errorf("owner %s: %d bytes are held, %d connections were shed", owner, used, closed)
		}
	}
}

func TestOthersRunBesideOwnerOfLargeRequests(t *testing.T) {
	table := NewTable(36 * megabyte)
	crowd, other := open(table, "crowd", start), open(table, "other", start)
	started := 0
	for range 20 {
		if table.Start(crowd.Holding, 4*megabyte) {
			started++
		}
	}
	if started == 0 || started > 4 {
		t.Errorf("%d large requests of one owner run", started)
	}
	if !table.Start(other.Holding, 4*megabyte) {
		t.Error("a large request of another owner is rejected")
	}
	if !table.Start(crowd.Holding, 1000) {
		t.Error("a small request is rejected")
	}
}

func TestLargestRequestRunsInCalm(t *testing.T) {
	table := NewTable(megabyte)
	c := open(table, "caller", start)
	for range 2 {
		if !table.Start(c.Holding, 4*megabyte) {
			t.Fatal("a request is rejected though no other runs")
		}
		table.Finish(c.Holding, 4*megabyte)
	}
}

// TestHeldBytesStayWithinLimit: whatever callers do, what can be shed is within the limit, the
// counts match, and nothing is left once all have gone.
func TestHeldBytesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		const limit = 4 * megabyte
		table := NewTable(limit)
		now := start
		type connection struct {
			*opened
			running []int64
		}
		var conns []*connection
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
			if len(conns) == 0 || random.IntN(4) == 0 {
				conns = append(conns, &connection{opened: open(table, string(rune('a'+random.IntN(3))), now)})
			}
			i := random.IntN(len(conns))
			c := conns[i]
			switch random.IntN(5) {
			case 0, 1:
				table.Wait(c.Holding, int64(random.IntN(2*megabyte)), random.IntN(2) == 0, now)
			case 2:
				if size := int64(random.IntN(megabyte)); table.Start(c.Holding, size) {
					c.running = append(c.running, size)
				}
			case 3:
				if n := len(c.running); n > 0 {
					table.Finish(c.Holding, c.running[n-1])
					c.running = c.running[:n-1]
				}
			case 4:
				table.Close(c.Holding)
			}
			var waiting, running int64
			for _, c := range conns {
				waiting += c.waiting
				for _, size := range c.running {
					running += size
				}
			}
			used, nowRunning := table.Used()
			if used != waiting+running || nowRunning != running {
				t.Fatalf("used %d, running %d; connections hold %d and %d", used, nowRunning, waiting, running)
			}
			if running > limit/2+megabyte || running == 0 && used > limit {
				t.Fatalf("used %d, running %d of a limit of %d", used, running, limit)
			}
		}
		for _, c := range conns {
			table.Close(c.Holding)
			for _, size := range c.running {
				table.Finish(c.Holding, size)
			}
		}
		if used, running := table.Used(); used != 0 || running != 0 || len(table.owners) != 0 {
			t.Fatalf("%d bytes, %d of running requests, %d owners are left", used, running, len(table.owners))
		}
	})
}

// TestDebtIsDueOnce: what was shed is due for collection each time that it exceeds its share of
// the limit.
func TestDebtIsDueOnce(t *testing.T) {
	table := NewTable(10 * megabyte)
	due, shed := 0, int64(0)
	for range 50 {
		c := open(table, "crowd", start)
		table.Wait(c.Holding, 4*megabyte, true, start)
		if table.TakeDebt() {
			due++
		}
	}
	used, _ := table.Used()
	shed = 50*4*megabyte - used
	if want := int(shed / (8 * megabyte)); due < want-1 || due > want+1 {
		t.Errorf("%d bytes were shed, their collection was due %d times", shed, due)
	}
	table.TakeDebt()
	if table.TakeDebt() {
		t.Error("the same debt is due twice")
	}
}
