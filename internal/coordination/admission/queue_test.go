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

func newItem(workspace string, class Class, weight float64) *Item {
	return &Item{Workspace: workspace, Class: class, Weight: weight, Cost: 100, Deadline: testStart.Add(time.Hour)}
}

func always(*Item) bool { return true }

// TestLongRequestExpiresBehindShortOne: the request with the later deadline has to start
// first, because its answer takes longer.
func TestLongRequestExpiresBehindShortOne(t *testing.T) {
	q := newTestQueue()
	short, long := newItem("a", Normal, 1), newItem("a", Normal, 1)
	short.Deadline, short.ServiceTime = testStart.Add(3*time.Second), 100*time.Millisecond
	long.Deadline, long.ServiceTime = testStart.Add(4*time.Second), 3*time.Second
	mustPush(t, q, short)
	mustPush(t, q, long)
	if out := q.Expire(testStart.Add(2 * time.Second)); len(out) != 1 || out[0] != long {
		t.Fatalf("%d requests expired, want the long one", len(out))
	}
	if got := q.Pop(testStart.Add(2*time.Second), always); got != short || q.Len() != 0 {
		t.Fatalf("got %+v, %d requests left", got, q.Len())
	}
}

func mustPush(t *testing.T, q *Queue, i *Item) {
	t.Helper()
	if reason, _ := q.Push(i, testStart); reason != Accepted {
		t.Fatalf("rejected with reason %d", reason)
	}
}

func TestInteractiveIsPreferredAndBatchIsNotStarved(t *testing.T) {
	q := newTestQueue()
	for range 200 {
		mustPush(t, q, newItem("a", Batch, 1))
		mustPush(t, q, newItem("b", Interactive, 1))
	}
	started := map[Class]int{}
	for range 170 {
		started[q.Pop(testStart, always).Class]++
	}
	if started[Interactive] < 150 || started[Batch] < 5 {
		t.Fatalf("requests started by class: %v", started)
	}
}

func TestInteractiveRequestWaitsForAtMostOneBatchRequest(t *testing.T) {
	q := newTestQueue()
	for range 500 {
		mustPush(t, q, newItem("a", Batch, 1))
	}
	for range 100 {
		q.Pop(testStart, always)
	}
	mustPush(t, q, newItem("b", Interactive, 1))
	first, second := q.Pop(testStart, always), q.Pop(testStart, always)
	if first.Class != Interactive && second.Class != Interactive {
		t.Fatal("two batch requests started before the interactive one")
	}
}

func TestWorkspacesShareByWeightWhateverTheirLoad(t *testing.T) {
	q := newTestQueue()
	for i := range 900 {
		mustPush(t, q, newItem("large", Normal, 3))
		if i%3 == 0 {
			mustPush(t, q, newItem("small", Normal, 1))
		}
	}
	started := map[string]int{}
	for range 400 {
		started[q.Pop(testStart, always).Workspace]++
	}
	if started["small"] < 95 || started["small"] > 105 {
		t.Fatalf("requests started by workspace: %v", started)
	}
}

func TestBlockedClassDoesNotDelayOthers(t *testing.T) {
	q := newTestQueue()
	mustPush(t, q, newItem("a", Interactive, 1))
	mustPush(t, q, newItem("a", Batch, 1))
	got := q.Pop(testStart, func(i *Item) bool { return i.Class == Batch })
	if got == nil || got.Class != Batch {
		t.Fatalf("popped %+v, want the batch request", got)
	}
}

func TestRequestThatCannotMeetItsDeadlineIsRejected(t *testing.T) {
	q := newTestQueue()
	overdue := newItem("a", Interactive, 1)
	overdue.Deadline, overdue.ServiceTime = testStart.Add(time.Second), 2*time.Second
	if reason, wait := q.Push(overdue, testStart); reason != PastDeadline || wait <= 0 {
		t.Fatalf("got reason %d and wait %v", reason, wait)
	}
}

// keepBusy pushes two requests every 50 ms while one starts, so that the queue has
// waiting requests and a measured rate. It returns the time at the end.
func keepBusy(t *testing.T, q *Queue, class Class, now time.Time) time.Time {
	t.Helper()
	for range 50 {
		for range 2 {
			q.Push(&Item{Workspace: "a", Class: class, Cost: 100, Deadline: testStart.Add(time.Hour)}, now)
		}
		q.Pop(now, always)
		now = now.Add(50 * time.Millisecond)
	}
	return now
}

func TestLongQueueRejectsWithItsPredictedWait(t *testing.T) {
	q := newTestQueue()
	now := keepBusy(t, q, Interactive, testStart)
	reason, wait := Accepted, time.Duration(0)
	for n := 0; reason == Accepted && n < 3; n++ {
		reason, wait = q.Push(newItem("a", Interactive, 1), now)
	}
	if reason != Full || wait < 500*time.Millisecond {
		t.Fatalf("got reason %d and wait %v with %d requests waiting", reason, wait, q.Len())
	}
	if reason, _ = q.Push(newItem("a", Batch, 1), now); reason != Accepted {
		t.Fatalf("request of another class rejected with reason %d", reason)
	}
}

// TestQueueRecoversAfterAStall: after a time in which no request started, an
// empty queue accepts requests again.
func TestQueueRecoversAfterAStall(t *testing.T) {
	q := newTestQueue()
	now := keepBusy(t, q, Interactive, testStart)
	never := func(*Item) bool { return false }
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		q.Pop(now, never)
	}
	if reason, _ := q.Push(newItem("a", Interactive, 1), now); reason == Accepted {
		t.Fatal("a stalled queue accepted a request")
	}
	for q.Len() > 0 {
		q.Pop(now, always)
	}
	q.Pop(now, always)
	if reason, _ := q.Push(newItem("a", Interactive, 1), now); reason != Accepted {
		t.Fatalf("an empty queue rejected a request with reason %d", reason)
	}
}

func TestExpireRemovesOverdueRequests(t *testing.T) {
	q := newTestQueue()
	short := newItem("a", Normal, 1)
	short.Deadline = testStart.Add(time.Second)
	mustPush(t, q, short)
	mustPush(t, q, newItem("a", Normal, 1))
	out := q.Expire(testStart.Add(2 * time.Second))
	if len(out) != 1 || out[0] != short || q.Len() != 1 {
		t.Fatalf("%d expired, %d still waiting", len(out), q.Len())
	}
}

// TestEveryAcceptedItemLeavesOnce checks that each accepted item leaves the
// queue exactly once, by Pop or by Expire.
func TestEveryAcceptedItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := newTestQueue(), testStart
		waiting := map[*Item]bool{}
		remove := func(i *Item) {
			if !waiting[i] {
				t.Fatal("an item left the queue twice or was never accepted")
			}
			delete(waiting, i)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				i := newItem(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "workspace")), Class(rapid.IntRange(0, 2).Draw(t, "class")), 1)
				i.Deadline = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "deadline")) * time.Millisecond)
				if reason, wait := q.Push(i, now); reason == Accepted {
					waiting[i] = true
				} else if wait <= 0 {
					t.Fatal("rejected without a time to retry after")
				}
			case 2, 3:
				closed := Class(rapid.IntRange(0, 3).Draw(t, "closed"))
				if i := q.Pop(now, func(i *Item) bool { return i.Class != closed }); i != nil {
					remove(i)
				}
			default:
				for _, i := range q.Expire(now) {
					remove(i)
				}
			}
			if q.Len() != len(waiting) {
				t.Fatalf("queue length %d, want %d", q.Len(), len(waiting))
			}
		}
		for i := q.Pop(now, always); i != nil; i = q.Pop(now, always) {
			remove(i)
		}
		if len(waiting) > 0 {
			t.Fatalf("%d items never left the queue", len(waiting))
		}
	})
}
