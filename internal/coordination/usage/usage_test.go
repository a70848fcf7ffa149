package usage

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootpath.example/coltsfootpath/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 0) }

// TestTotalsDoNotDependOnMessageOrder compares a table that receives delayed,
// repeated and reordered messages with a plain count.
func TestTotalsDoNotDependOnMessageOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 5).Draw(t, "vms")
		tables := make([]*Table, vms)
		for i := range tables {
			tables[i] = NewTable(Source{VM: string(rune('a' + i)), Incarnation: 1})
		}
		type message struct {
			from   int
			window int64
			counts Counts
		}
		var sent []message
		want := map[int64]Counts{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, vms-1).Draw(t, "vm")
			window := int64(100 + rapid.IntRange(0, retainedWindows-2).Draw(t, "window"))
			name := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "workspace")
			tables[i].CountRequest(window, name)
			if want[window] == nil {
				want[window] = Counts{}
			}
			want[window][name]++
			for w, c := range tables[i].OwnCounts(0) {
				sent = append(sent, message{i, w, c})
			}
		}
		holder := rapid.IntRange(0, vms-1).Draw(t, "holder")
		order := rapid.Permutation(sent).Draw(t, "order")
		for _, m := range append(order, order[:len(order)/2]...) {
			tables[holder].Receive(Source{VM: string(rune('a' + m.from)), Incarnation: 1}, m.window, m.counts)
		}
		for window, counts := range want {
			for name, n := range counts {
				if got := tables[holder].Total(window)[name]; got != n {
					t.Fatalf("window %d, %s: %d, want %d", window, name, got, n)
				}
			}
		}
	})
}

// TestDistantWindowIsIgnored: a VM whose clock has jumped reports distant windows,
// which must not evict the current ones.
func TestDistantWindowIsIgnored(t *testing.T) {
	table := NewTable(Source{VM: "a", Incarnation: 1})
	table.CountRequest(100, "x")
	table.Receive(Source{VM: "b", Incarnation: 1}, 100_000, Counts{"x": 5})
	table.Receive(Source{VM: "b", Incarnation: 1}, 3, Counts{"x": 5})
	if got := table.Total(100)["x"]; got != 1 {
		t.Fatalf("count in window 100 is %d, want 1", got)
	}
}

// TestPartitionedSourceIsMissing: the counts of a partitioned source arrive when
// the partition ends, before the report is due. Seen on emac-hokkaido-grown and
// detsporenie-tt-grown scale-2, where a third of the VMs was partitioned for 12 s.
func TestPartitionedSourceIsMissing(t *testing.T) {
	table := NewTable(Source{VM: "a", Incarnation: 1})
	now := time.Unix(1_900_000_000, 0)
	b, c := Source{VM: "b", Incarnation: 1}, Source{VM: "c", Incarnation: 1}
	table.MarkReported(b, now)
	table.MarkReported(c, now)
	end := now.Add(time.Second)
	table.MarkReported(b, end.Add(time.Second))
	if got := table.MissingSources(end, end.Add(2*time.Second)); got != 1 {
		t.Errorf("%d sources missing, want 1", got)
	}
	table.MarkReported(c, end.Add(3*time.Second))
	if got := table.MissingSources(end, end.Add(3*time.Second)); got != 0 {
		t.Errorf("%d sources missing, want none", got)
	}
	if got := table.MissingSources(end.Add(time.Hour), end.Add(time.Hour)); got != 0 {
		t.Errorf("%d expired sources missing, want none", got)
	}
}
