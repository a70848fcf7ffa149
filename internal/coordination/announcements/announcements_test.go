package announcements

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTableForgetsStatement compares the table with an oracle that keeps every statement.
func TestTableForgetsStatement(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type fact struct {
			leaving bool
			until   time.Time
		}
		table, oracle := NewTable(), map[Process]*fact{}
		now := time.Unix(1_800_000_000, 0)
		process := rapid.Custom(func(rt *rapid.T) Process {
			return Process{ServerID: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "id"), StartedAtMillis: rapid.Int64Range(1, 2).Draw(rt, "start")}
		})
		of := func(p Process) *fact {
			if oracle[p] == nil {
				oracle[p] = &fact{}
			}
			return oracle[p]
		}
		rt.Repeat(map[string]func(*rapid.T){
			"leave": func(rt *rapid.T) {
				p := process.Draw(rt, "process")
				if isNew := table.RecordLeaving(p, now); isNew == of(p).leaving {
					rt.Fatalf("%+v: announced before %t, new %t", p, of(p).leaving, isNew)
				}
				of(p).leaving = true
			},
			"pause": func(rt *rapid.T) {
				p := process.Draw(rt, "process")
				pause := time.Duration(rapid.Int64Range(0, int64(MaxPause)).Draw(rt, "pause"))
				if until := now.Add(pause); until.After(of(p).until) {
					of(p).until = until
				}
				table.RecordPause(p, pause, now)
			},
			"wait": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(keepTime/8)).Draw(rt, "wait")))
				table.Sweep(now)
			},
			"": func(rt *rapid.T) {
				for p, want := range oracle {
					got := table.Status(p, now)
					if got.Leaving != want.leaving || got.MaySend(now) != (!want.leaving && !now.Before(want.until)) {
						rt.Fatalf("%+v: %+v, want %+v", p, got, want)
					}
				}
			},
		})
	})
}

// TestAbsurdPauseIsKept: a pause is bounded by MaxPause.
func TestAbsurdPauseIsKept(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	if until, _ := NewTable().RecordPause(Process{ServerID: "a"}, 1e6*time.Hour, now); until.Sub(now) != MaxPause {
		t.Errorf("paused for %v", until.Sub(now))
	}
}
