package coldservers

import (
	"slices"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/serverlimit"
)

var epoch = time.Unix(1_900_000_000, 0)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

func TestNewestStatementHolds(t *testing.T) {
	table := NewTable()
	if table.Observe("a", 0, Record, at(0)) || table.IsCold("a", at(0)) {
		t.Error("a warm server is cold")
	}
	if !table.Observe("a", 3*time.Second, Record, at(0)) || table.Observe("a", 2*time.Second, Record, at(1)) {
		t.Error("a server turns cold once")
	}
	if !table.IsCold("a", at(2.9)) || table.IsCold("a", at(3.1)) {
		t.Error("the record does not hold")
	}
	table.Observe("a", 5*time.Second, Health, at(2))
	table.Observe("a", 0, Record, at(2.5))
	if !table.IsCold("a", at(6)) {
		t.Error("an older record ended what the server states itself")
	}
	table.Observe("a", 0, Record, at(5))
	if table.IsCold("a", at(5)) {
		t.Error("the newer record does not hold")
	}
	if got := table.Sweep(at(5)); !slices.Equal(got, []string{"a"}) {
		t.Errorf("turned warm: %v", got)
	}
	if got := table.Sweep(at(6)); len(got) > 0 {
		t.Errorf("turned warm again: %v", got)
	}
	if !table.Observe("a", time.Second, Record, at(100)) {
		t.Error("the server can't become cold again")
	}
}

func TestExpectedColdnessOutlastsRecords(t *testing.T) {
	table := NewTable()
	table.Observe("a", 3*time.Second, Expected, at(0))
	table.Observe("a", 0, Record, at(0.5))
	if !table.IsCold("a", at(2)) {
		t.Error("a record that may be older ended it")
	}
	table.Observe("a", 0, Health, at(2))
	if table.IsCold("a", at(2)) {
		t.Error("the server's own statement did not end it")
	}
}

// TestEachSecondStaysWithinTheLimit lets several VMs ask for permits as fast as they can, while
// another one sends its share without any.
func TestEachSecondStaysWithinTheLimit(t *testing.T) {
	const vms = 5
	for _, limit := range []Limit{{8.9, 1.5, 5}, {3, 1.2, 4}, {1, 1.5, 2}, {40, 1.1, 5}, {0.2, 1, 3}} {
		rate, limited := limit.Rate()
		if !limited || rate > limit.PerSecond {
			t.Errorf("%+v: rate %v, %v", limit, rate, limited)
		}
		granter := serverlimit.NewGranter()
		next, most := make([]time.Time, vms), 0
		var sent []time.Time
		for now := at(0); now.Before(at(30)); now = now.Add(time.Millisecond) {
			for vm := range next {
				if now.Before(next[vm]) {
					continue
				}
				granted, wait := granter.Ask(1, rate, now)
				next[vm] = now.Add(max(wait, time.Millisecond))
				if granted {
					sent = append(sent, now)
				}
			}
			for len(sent) > 0 && now.Sub(sent[0]) >= time.Second {
				sent = sent[1:]
			}
			most = max(most, len(sent))
		}
		withShare := float64(most) + rate*ownShareRatio
		if allowed := limit.PerSecond*limit.Over + limit.Slack; withShare > allowed {
			t.Errorf("%+v: %.1f requests in a second, allowed %.1f", limit, withShare, allowed)
		}
	}
	for _, limit := range []Limit{{}, {8.9, 0, 5}, {0, 1.5, 5}} {
		if rate, limited := limit.Rate(); limited {
			t.Errorf("%+v: rate %v", limit, rate)
		}
	}
}
