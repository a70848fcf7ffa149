package announcements

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTableForgetsStatement compares the table with an oracle that keeps every statement.
func TestTableForgetsStatement(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, leftBy, backoffUntil := NewTable(), map[string]int64{}, map[string]time.Time{}
		now := time.Unix(1_800_000_000, 0)
		process := rapid.Custom(func(rt *rapid.T) Process {
			return Process{ServerID: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "id"), StartedAtMillis: rapid.Int64Range(1, 2).Draw(rt, "start")}
		})
		rt.Repeat(map[string]func(*rapid.T){
			"leave": func(rt *rapid.T) {
				p := process.Draw(rt, "process")
				sent := p.StartedAtMillis + rapid.Int64Range(0, 1).Draw(rt, "sent")
				table.RecordLeaving(p, sent, now)
				leftBy[p.ServerID] = max(leftBy[p.ServerID], sent)
			},
			"backoff": func(rt *rapid.T) {
				p := process.Draw(rt, "process")
				backoff := time.Duration(rapid.Int64Range(0, int64(MaxBackoff)).Draw(rt, "backoff"))
				if until := now.Add(backoff); until.After(backoffUntil[p.ServerID]) {
					backoffUntil[p.ServerID] = until
				}
				table.RecordBackoff(p.ServerID, backoff, now)
			},
			"wait": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(keepTime/8)).Draw(rt, "wait")))
				table.Sweep(now)
			},
			"": func(rt *rapid.T) {
				for _, id := range []string{"a", "b"} {
					for start := int64(1); start <= 2; start++ {
						p := Process{id, start}
						leaves := start <= leftBy[id]
						if got := table.Status(p, now); got.Leaving != leaves || got.MaySend(now) != (!leaves && !now.Before(backoffUntil[id])) {
							rt.Fatalf("%+v: %+v, want leaving %t, backoff until %v", p, got, leaves, backoffUntil[id])
						}
					}
				}
			},
		})
	})
}

// TestAbsurdBackoffIsKept: a backoff is bounded by MaxBackoff.
func TestAbsurdBackoffIsKept(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	if until, _ := NewTable().RecordBackoff("a", 1e6*time.Hour, now); until.Sub(now) != MaxBackoff {
		t.Errorf("backoff of %v", until.Sub(now))
	}
}
