package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// outage simulates a service that has lost a zone: requests in excess of the
// remaining capacity are rejected.
type outage struct {
	arrivals, capacity int
	ticks              int
	tick               time.Duration
	maxAttempts        int
}

type pending struct {
	attempt int
	due     time.Time
}

// loadFactor runs the outage and returns the number of attempts sent per arrival.
func (o outage) loadFactor(retry func(p pending, now time.Time) (time.Time, bool), onFirst func()) float64 {
	var waiting []pending
	arrivedRequests, sentAttempts := 0, 0
	for i := range o.ticks {
		now := testStart.Add(time.Duration(i) * o.tick)
		var due, later []pending
		for _, p := range waiting {
			if p.due.After(now) {
				later = append(later, p)
				continue
			}
			due = append(due, p)
		}
		for range o.arrivals {
			onFirst()
			due = append(due, pending{attempt: 1})
		}
		arrivedRequests += o.arrivals
		sentAttempts += len(due)
		waiting = later
		for _, p := range due[min(o.capacity, len(due)):] {
			if at, ok := retry(p, now); ok && p.attempt < o.maxAttempts {
				waiting = append(waiting, pending{attempt: p.attempt + 1, due: at})
			}
		}
	}
	return float64(sentAttempts) / float64(arrivedRequests)
}

// TestRetriesAreBoundedWhileAZoneIsLost compares retries with and without a budget
// while a third of the capacity is lost.
func TestRetriesAreBoundedWhileAZoneIsLost(t *testing.T) {
	o := outage{arrivals: 100, capacity: 67, ticks: 300, tick: 100 * time.Millisecond, maxAttempts: 6}
	cfg := Config{Ratio: 0.2, Reserve: 20, PerSecond: 1}
	unbounded := o.loadFactor(func(_ pending, now time.Time) (time.Time, bool) { return now.Add(o.tick), true }, func() {})

	budget := NewBudget(cfg)
	random := rand.New(rand.NewPCG(1, 2))
	bounded := o.loadFactor(func(p pending, now time.Time) (time.Time, bool) {
		return now.Add(Backoff(p.attempt, random)), budget.TakeAt(now)
	}, budget.RecordFirstAttempt)
	t.Logf("load factor: %.2f without a budget, %.2f with it", unbounded, bounded)

	arrivals := float64(o.arrivals * o.ticks)
	seconds := (time.Duration(o.ticks) * o.tick).Seconds()
	if bound := 1 + cfg.Ratio + (cfg.Reserve+seconds*cfg.PerSecond)/arrivals; bounded > bound {
		t.Fatalf("load factor is %.3f, limit %.3f", bounded, bound)
	}
	if unbounded <= bounded {
		t.Fatal("the budget does not reduce the load")
	}
}

func TestBudgetRefillsWithTime(t *testing.T) {
	b := NewBudget(Config{Reserve: 1, PerSecond: 0.5})
	if !b.TakeAt(testStart) || b.TakeAt(testStart.Add(time.Second)) || !b.TakeAt(testStart.Add(3*time.Second)) {
		t.Fatal("the budget does not refill at its rate")
	}
}

func TestBackoffIsBoundedAndSeeded(t *testing.T) {
	a, b := rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(1, 2))
	for n := 1; n < 100; n++ {
		wait := Backoff(n, a)
		if wait < 0 || wait > MaxBackoff || wait != Backoff(n, b) {
			t.Fatalf("retry %d has wait %v, which is out of bounds or not reproducible", n, wait)
		}
	}
}
