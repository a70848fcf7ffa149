package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newTestQueue() *Queue {
	return NewQueue(DefaultQueueConfig(1700*time.Millisecond, 10_000))
}

func item(workspace string, class Class, weight float64) *Item {
	return &Item{Workspace: workspace, Class: class, Weight: weight, Cost: 100, Deadline: begin.Add(time.Hour)}
}

func always(*Item) bool { return true }

func mustPush(t *testing.T, q *Queue, i *Item) {
	t.Helper()
	if reason, _ := q.Push(i, begin); reason != Accepted {
		t.Fatalf("rejected with reason %d", reason)
	}
}

func TestInteractiveIsPreferredAndBatchIsNotStarved(t *testing.T) {
	q := newTestQueue()
	for range 200 {
		mustPush(t, q, item("a", Batch, 1))
		mustPush(t, q, item("b", Interactive, 1))
	}
	started := map[Class]int{}
	for range 170 {
		started[q.Pop(begin, always).Class]++
	}
	if started[Interactive] < 150 || started[Batch] < 5 {
		t.Fatalf("started %v", started)
	}
}

func TestInteractiveRequestWaitsForAtMostOneBatchRequest(t *testing.T) {
	q := newTestQueue()
	for range 500 {
		mustPush(t, q, item("a", Batch, 1))
	}
	for range 100 {
		q.Pop(begin, always)
	}
	mustPush(t, q, item("b", Interactive, 1))
	first, second := q.Pop(begin, always), q.Pop(begin, always)
	if first.Class != Interactive && second.Class != Interactive {
		t.Fatal("two batch requests started before the interactive one")
	}
}

func TestWorkspacesShareByWeightWhateverTheirLoad(t *testing.T) {
	q := newTestQueue()
	for i := range 900 {
		mustPush(t, q, item("large", Normal, 3))
		if i%3 == 0 {
			mustPush(t, q, item("small", Normal, 1))
		}
	}
	started := map[string]int{}
	for range 400 {
		started[q.Pop(begin, always).Workspace]++
	}
	if started["small"] < 95 || started["small"] > 105 {
		t.Fatalf("started %v", started)
	}
}

func TestBlockedClassDoesNotDelayOthers(t *testing.T) {
	q := newTestQueue()
	mustPush(t, q, item("a", Interactive, 1))
	mustPush(t, q, item("a", Batch, 1))
	got := q.Pop(begin, func(i *Item) bool { return i.Class == Batch })
	if got == nil || got.Class != Batch {
		t.Fatalf("popped %+v, want the batch request", got)
	}
}

func TestRequestThatCannotMeetItsDeadlineIsRejected(t *testing.T) {
	q := newTestQueue()
	late := item("a", Interactive, 1)
	late.Deadline, late.Service = begin.Add(time.Second), 2*time.Second
	if reason, wait := q.Push(late, begin); reason != TooLate || wait <= 0 {
		t.Fatalf("reason %d, wait %v", reason, wait)
	}
}

// busy pushes two requests every 50 ms while one starts, so that the queue has
// waiting requests and a measured rate. It returns the time at the end.
func busy(t *testing.T, q *Queue, class Class, now time.Time) time.Time {
	t.Helper()
	for range 50 {
		for range 2 {
			q.Push(&Item{Workspace: "a", Class: class, Cost: 100, Deadline: begin.Add(time.Hour)}, now)
		}
		q.Pop(now, always)
		now = now.Add(50 * time.Millisecond)
	}
	return now
}

func TestLongQueueRejectsWithItsPredictedWait(t *testing.T) {
	q := newTestQueue()
	now := busy(t, q, Interactive, begin)
	reason, wait := Accepted, time.Duration(0)
	for n := 0; reason == Accepted && n < 3; n++ {
		reason, wait = q.Push(item("a", Interactive, 1), now)
	}
	if reason != Full || wait < 500*time.Millisecond {
		t.Fatalf("reason %d, wait %v, %d waiting", reason, wait, q.Len())
	}
	if reason, _ = q.Push(item("a", Batch, 1), now); reason != Accepted {
		t.Fatalf("request of another class rejected with reason %d", reason)
	}
}

// TestQueueRecoversAfterAStall: after a time in which no request started, an
// empty queue accepts requests again.
func TestQueueRecoversAfterAStall(t *testing.T) {
	q := newTestQueue()
	now := busy(t, q, Interactive, begin)
	never := func(*Item) bool { return false }
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		q.Pop(now, never)
	}
	if reason, _ := q.Push(item("a", Interactive, 1), now); reason == Accepted {
		t.Fatal("a stalled queue accepted a request")
	}
	for q.Len() > 0 {
		q.Pop(now, always)
	}
	q.Pop(now, always)
	if reason, _ := q.Push(item("a", Interactive, 1), now); reason != Accepted {
		t.Fatalf("an empty queue rejected a request with reason %d", reason)
	}
}

func TestExpireRemovesOverdueRequests(t *testing.T) {
	q := newTestQueue()
	short := item("a", Normal, 1)
	short.Deadline = begin.Add(time.Second)
	mustPush(t, q, short)
	mustPush(t, q, item("a", Normal, 1))
	out := q.Expire(begin.Add(2 * time.Second))
	if len(out) != 1 || out[0] != short || q.Len() != 1 {
		t.Fatalf("%d expired, %d still waiting", len(out), q.Len())
	}
}

// TestEveryAcceptedItemLeavesOnce checks that each accepted item leaves the
// queue exactly once, by Pop or by Expire.
func TestEveryAcceptedItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := newTestQueue(), begin
		waiting := map[*Item]bool{}
		leave := func(i *Item) {
			if !waiting[i] {
				t.Fatal("an item left the queue twice or was never accepted")
			}
			delete(waiting, i)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				i := item(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "workspace")), Class(rapid.IntRange(0, 2).Draw(t, "class")), 1)
				i.Deadline = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "deadline")) * time.Millisecond)
				if reason, wait := q.Push(i, now); reason == Accepted {
					waiting[i] = true
				} else if wait <= 0 {
					t.Fatal("rejected without a time to retry after")
				}
			case 2, 3:
				closed := Class(rapid.IntRange(0, 3).Draw(t, "closed"))
				if i := q.Pop(now, func(i *Item) bool { return i.Class != closed }); i != nil {
					leave(i)
				}
			default:
				for _, i := range q.Expire(now) {
					leave(i)
				}
			}
			if q.Len() != len(waiting) {
				t.Fatalf("queue length %d, want %d", q.Len(), len(waiting))
			}
		}
		for i := q.Pop(now, always); i != nil; i = q.Pop(now, always) {
			leave(i)
		}
		if len(waiting) > 0 {
			t.Fatalf("%d items never left the queue", len(waiting))
		}
	})
}
