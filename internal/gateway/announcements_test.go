package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// steadyCalls sends a call every interval until stop is called, which waits for the
// answers and returns them in the order of sending.
func steadyCalls(t *testing.T, n *Node, path string, interval time.Duration) (stop func() []reply) {
	ctx, cancel := context.WithCancel(context.Background())
	var sends, sender sync.WaitGroup
	var mu sync.Mutex
	var replies []reply
	sender.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			mu.Lock()
			replies = append(replies, reply{})
			mu.Unlock()
			sends.Go(func() {
				got := do(t, n, call{method: "POST", path: path, key: "key-w", id: fmt.Sprintf("%s-%d", path[1:3], i), body: fmt.Sprint("body ", i)})
				mu.Lock()
				defer mu.Unlock()
				replies[i] = got
			})
			sleep(ctx, interval)
		}
	})
	return func() []reply {
		cancel()
		sender.Wait()
		sends.Wait()
		return replies
	}
}

// arrivalsBetween counts the arrivals from start up to end.
func arrivalsBetween(arrivals []platformtest.Arrival, start, end time.Time) int {
	count := 0
	for _, a := range arrivals {
		if !a.At.Before(start) && a.At.Before(end) {
			count++
		}
	}
	return count
}

// TestServerThatAnnouncedToLeaveGetsRequests: after the first answer that announces it, a
// server must get no request, in each kind of answer and whatever the store states.
func TestServerThatAnnouncedToLeaveGetsRequests(t *testing.T) {
	// inFlight allows for requests that are on their way when the answer arrives.
	const inFlight = 200 * time.Millisecond
	for _, v := range []struct {
		name, path string
		behavior   platformtest.Behavior
		storeDown  bool
	}{
		{name: "plain", path: "/again/x"},
		{name: "stream", path: "/stream/x"},
		{name: "failure", path: "/again/x", behavior: platformtest.ServerError},
		{name: "not run", path: "/once/x", behavior: platformtest.RejectNotRun},
		{name: "without framing", path: "/fixedstream/x", behavior: platformtest.OmitLength},
		{name: "cut", path: "/stream/x", behavior: platformtest.TruncateAnswer},
		{name: "store away", path: "/again/x", storeDown: true},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			a := f.addServer("a", func(_ int, r platformtest.Run) platformtest.Behavior { return v.behavior })
			f.addServer("b", nil)
			n := f.startNode("vm-1", 2)
			if v.storeDown {
				f.store.RejectAll(http.StatusServiceUnavailable)
			}
			stop := steadyCalls(t, n, v.path, 10*time.Millisecond)
			f.eventually("a gets requests", func() bool { return len(a.Arrivals()) > 5 })
			a.Leave()
			before := len(a.Arrivals())
			f.eventually("a has announced that it leaves", func() bool { return len(a.Arrivals()) > before })
			announcedAt := time.Now()
			if !v.storeDown {
				// The server's entry does not state it.
				f.store.Put(platform.ServersTopic, "a", a.Registration("s", "zone-a", "ready"))
			}
			time.Sleep(1500 * time.Millisecond)
			stop()
			if late := arrivalsBetween(a.Arrivals(), announcedAt.Add(inFlight), time.Now()); late > 0 {
				t.Errorf("%d requests reached the server later than %v after its announcement", late, inFlight)
			}
			if !f.logs.hasLine("servers", "announced-leaving", "server=a") {
				t.Error("the announcement is not logged")
			}
		})
	}
}

// TestRestartedServerStaysLeaving: a new process of a server that had announced to leave
// is used again, also at the same address.
func TestRestartedServerStaysLeaving(t *testing.T) {
	f := newFixture(t)
	a := f.addServer("a", nil)
	a.RestartAfter = 50 * time.Millisecond
	n := f.startNode("vm-1", 1)
	send := func(id string) int {
		return do(t, n, call{method: "GET", path: "/again/x", key: "key-w", id: id}).status
	}
	a.Leave()
	if status := send("1"); status != http.StatusOK {
		t.Fatalf("first request: status %d", status)
	}
	if status := send("2"); status != http.StatusServiceUnavailable {
		t.Errorf("a leaving server was used: status %d", status)
	}
	restarted := make(chan struct{})
	a.OnRestart = func() { close(restarted) }
	a.Crash()
	<-restarted
	f.store.Put(platform.ServersTopic, "a", a.Registration("s", "zone-a", "ready"))
	f.eventually("the new process is used", func() bool { return send(fmt.Sprint(time.Now().UnixNano())) == http.StatusOK })
}

// TestServerIsSentRequestsWhileItWantsNone: a server rejects requests and states for how
// long it wants no more. It must get none until then, and no fault is held against it.
func TestServerIsSentRequestsWhileItWantsNone(t *testing.T) {
	const backoff = 1500 * time.Millisecond
	f := newFixture(t)
	var mu sync.Mutex
	var rejectedAt time.Time
	a := f.addServer("a", func(_ int, r platformtest.Run) platformtest.Behavior {
		mu.Lock()
		defer mu.Unlock()
		if !rejectedAt.IsZero() && r.At.Sub(rejectedAt) > backoff {
			return platformtest.CompleteAnswer
		}
		rejectedAt = r.At
		return platformtest.Behavior{Head: platformtest.HeadNotRun, RetryAfter: fmt.Sprint(backoff.Seconds())}
	})
	f.addServer("b", nil)
	n := f.startNode("vm-1", 2)
	stop := steadyCalls(t, n, "/once/x", 10*time.Millisecond)
	f.eventually("a gets requests again", func() bool { return len(a.Runs()) > 5 })
	replies := stop()
	if i := slices.IndexFunc(replies, func(r reply) bool { return r.status != http.StatusOK }); i >= 0 {
		t.Errorf("request %d: %+v", i, replies[i])
	}
	arrivals := a.Arrivals()
	if early := arrivalsBetween(arrivals, arrivals[0].At.Add(200*time.Millisecond), arrivals[0].At.Add(backoff)); early > 0 {
		t.Errorf("%d requests reached the server in the time for which it wanted none", early)
	}
	if !f.logs.hasLine("servers", "backoff", "server=a") {
		t.Error("the backoff is not logged")
	}
}

// TestRequestIsRefusedAlthoughServerIsDue: all servers want no requests for a while. A
// request whose deadline allows that waits; another one is refused with a matching time.
func TestRequestIsRefusedAlthoughServerIsDue(t *testing.T) {
	for _, v := range []struct {
		name, retryAfter string
		wantStatus       int
	}{
		{"due soon", "0.6", http.StatusOK},
		{"due after the deadline", "8", http.StatusServiceUnavailable},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			first := func(n int, _ platformtest.Run) platformtest.Behavior {
				if n == 0 {
					return platformtest.Behavior{Head: platformtest.HeadNotRun, RetryAfter: v.retryAfter}
				}
				return platformtest.CompleteAnswer
			}
			f.addServer("a", first)
			f.addServer("b", first)
			n := f.startNode("vm-1", 2)
			for i := range 4 {
				start := time.Now()
				got := do(t, n, call{method: "POST", path: "/once/x", key: "key-w", id: fmt.Sprint("id-", i), body: "x"})
				if got.status != v.wantStatus {
					t.Errorf("request %d: %+v", i, got)
				}
				if v.wantStatus == http.StatusServiceUnavailable && (got.header.Get("Retry-After") < "7" || time.Since(start) > time.Second) {
					t.Errorf("request %d: Retry-After %q after %v", i, got.header.Get("Retry-After"), time.Since(start))
				}
			}
		})
	}
}

// TestUnreadableBackoffIsObeyed: values of Retry-After that are no time are ignored.
func TestUnreadableBackoffIsObeyed(t *testing.T) {
	for _, value := range []string{"soon", "-1", "NaN", "Fri, 04 Dec 2026 06:00:00 GMT"} {
		f := newFixture(t)
		f.addServer("a", func(n int, _ platformtest.Run) platformtest.Behavior {
			if n == 0 {
				return platformtest.Behavior{Head: platformtest.HeadNotRun, RetryAfter: value}
			}
			return platformtest.CompleteAnswer
		})
		n := f.startNode("vm-1", 1)
		do(t, n, call{method: "POST", path: "/once/x", key: "key-w", id: "id-1"})
		if got := do(t, n, call{method: "POST", path: "/once/x", key: "key-w", id: "id-2"}); got.status != http.StatusOK {
			t.Errorf("%q: %+v", value, got)
		}
		f.eventually("value is logged", func() bool { return f.logs.hasLine("servers", "unreadable-retry-after", "server=a") })
	}
}

// TestBackoffIsForgottenWhenEntryOfNewProcessArrives: a server has restarted and asks for a
// backoff before its new entry has arrived.
func TestBackoffIsForgottenWhenEntryOfNewProcessArrives(t *testing.T) {
	f := newFixture(t)
	a := f.addServer("a", func(n int, _ platformtest.Run) platformtest.Behavior {
		return platformtest.Behavior{Head: platformtest.HeadNotRun, RetryAfter: "30"}
	})
	a.RestartAfter = 50 * time.Millisecond
	restarted := make(chan struct{})
	a.OnRestart = func() { close(restarted) }
	n := f.startNode("vm-1", 1)
	a.Crash()
	<-restarted
	do(t, n, call{method: "POST", path: "/once/x", key: "key-w", id: "id-1"})
	arrivals := len(a.Arrivals())
	f.store.Put(platform.ServersTopic, "a", a.Registration("s", "zone-a", "ready"))
	f.eventually("the new entry is known", func() bool {
		s := n.backends.entry("a")
		return s != nil && s.StartedAtMillis == a.BornMillis()
	})
	do(t, n, call{method: "POST", path: "/once/x", key: "key-w", id: "id-2"})
	if got := len(a.Arrivals()); arrivals != 1 || got != arrivals {
		t.Errorf("%d requests reached the server before its entry, %d after", arrivals, got-arrivals)
	}
}

// TestAnnouncementIsForgottenWhenEntryOfNewProcessArrives: a server has restarted and states
// that it leaves before its new entry has arrived.
func TestAnnouncementIsForgottenWhenEntryOfNewProcessArrives(t *testing.T) {
	f := newFixture(t)
	a := f.addServer("a", nil)
	a.RestartAfter = 50 * time.Millisecond
	restarted := make(chan struct{})
	a.OnRestart = func() { close(restarted) }
	n := f.startNode("vm-1", 1)
	a.Crash()
	<-restarted
	a.Leave()
	if got := do(t, n, call{method: "POST", path: "/once/x", key: "key-w", id: "id-1"}); got.status != http.StatusOK {
		t.Fatalf("first request: %+v", got)
	}
	f.store.Put(platform.ServersTopic, "a", a.Registration("s", "zone-a", "ready"))
	f.eventually("the new entry is known", func() bool {
		s := n.backends.entry("a")
		return s != nil && s.StartedAtMillis == a.BornMillis()
	})
	if got := do(t, n, call{method: "POST", path: "/once/x", key: "key-w", id: "id-2"}); got.status != http.StatusServiceUnavailable {
		t.Errorf("second request: %+v", got)
	}
}
