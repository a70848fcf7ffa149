package burn

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func addAnswers(answers, badAnswers int, at time.Time, t *Tracker, k Key) {
	for i := range answers {
		t.Add(k, i < badAnswers, at)
	}
}

func alarmAt(tr *Tracker, now time.Time) Alarm {
	return NewReport(tr.Snapshot(now), now).Lines[0].Alarm
}

// addSteady counts ten answers in each minute of a range, a fixed number of
// them bad.
func addSteady(tr *Tracker, from, to, badOfTen int) {
	for minute := from; minute < to; minute++ {
		addAnswers(10, badOfTen, epoch.Add(time.Duration(minute)*time.Minute), tr, Key{Service: "assistant"})
	}
}

func TestTotalOutagePagesWithinTenMinutes(t *testing.T) {
	tr := NewTracker()
	addSteady(tr, 0, 400, 0)
	addSteady(tr, 400, 402, 10)
	if got := alarmAt(tr, epoch.Add(401*time.Minute)); got != NoAlarm {
		t.Errorf("two bad minutes raise %q, want no alarm", got)
	}
	addSteady(tr, 402, 410, 10)
	if got := alarmAt(tr, epoch.Add(409*time.Minute)); got != Page {
		t.Errorf("ten bad minutes raise %q, want a page", got)
	}
	addSteady(tr, 410, 416, 0)
	if got := alarmAt(tr, epoch.Add(415*time.Minute)); got == Page {
		t.Errorf("an outage that has ended still raises %q", got)
	}
}

func TestSlowBurnRaisesATicket(t *testing.T) {
	tr := NewTracker()
	addSteady(tr, 0, 400, 1)
	if got := alarmAt(tr, epoch.Add(399*time.Minute)); got != Ticket {
		t.Errorf("one bad answer in ten raises %q, want a ticket", got)
	}
}

func TestFewAnswersRaiseNoAlarm(t *testing.T) {
	tr := NewTracker()
	addAnswers(3, 3, epoch, tr, Key{Service: "assistant"})
	if got := NewReport(tr.Snapshot(epoch), epoch).Lines[0].Alarm; got != NoAlarm {
		t.Errorf("three answers raise %q, want no alarm", got)
	}
}

func TestKeysAreBounded(t *testing.T) {
	tr := NewTracker()
	for i := range MaxKeys + 500 {
		tr.Add(Key{Service: "s", Workspace: string(rune('a'+i%26)) + time.Duration(i).String()}, false, epoch)
	}
	if len(tr.rings) > MaxKeys+1 {
		t.Errorf("the tracker holds %d keys, want at most MaxKeys+1", len(tr.rings))
	}
	if got := NewReport(tr.Snapshot(epoch), epoch).Lines[0].Answers; got != MaxKeys+500 {
		t.Errorf("%d answers are counted, want MaxKeys+500", got)
	}
}

// TestWindowsMatchOracle compares the windows with a plain list of answers.
func TestWindowsMatchOracle(t *testing.T) {
	type answer struct {
		minute int
		bad    bool
	}
	rapid.Check(t, func(t *rapid.T) {
		tr := NewTracker()
		var all []answer
		minute := 0
		for range rapid.IntRange(1, 80).Draw(t, "answers") {
			minute += rapid.SampledFrom([]int{0, 0, 1, 4, 50, 400}).Draw(t, "step")
			a := answer{minute: minute, bad: rapid.Bool().Draw(t, "bad")}
			all = append(all, a)
			tr.Add(Key{Service: "s"}, a.bad, epoch.Add(time.Duration(minute)*time.Minute))
		}
		now := epoch.Add(time.Duration(minute) * time.Minute)
		got := tr.Snapshot(now).Rows[0].Counts
		for i, w := range Windows {
			var want Count
			for _, a := range all {
				if a.minute > minute-int(w.Minutes()) {
					want.Answers++
					if a.bad {
						want.BadAnswers++
					}
				}
			}
			if got[i] != want {
				t.Fatalf("window %v: got %+v, want %+v", w, got[i], want)
			}
		}
	})
}
