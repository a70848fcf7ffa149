package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// TestStatementIsLostWithItsRequest: a server rejects a request and wants no others for 3 s.
// That binds the node whatever has become of the request.
func TestStatementIsLostWithItsRequest(t *testing.T) {
	t.Parallel()
	// The platform allows two requests from half a second after the answer on.
	const contact, backoff, allowed = 500 * time.Millisecond, 3 * time.Second, 2
	for _, v := range []struct {
		name, path string
		delay      time.Duration
		// patience is the time after which the caller leaves, 0 if it stays.
		patience time.Duration
		isCheck  bool
	}{
		{name: "another server has answered", path: "/again/x", delay: 900 * time.Millisecond},
		{name: "another server has taken the stream over", path: "/stream/x", delay: 1200 * time.Millisecond},
		{name: "the caller has left", path: "/again/x", delay: 400 * time.Millisecond, patience: 150 * time.Millisecond},
		{name: "the caller of a request that must not repeat has left", path: "/once/x", delay: 600 * time.Millisecond, patience: 150 * time.Millisecond},
		{name: "check", isCheck: true},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			a := f.addServer("a", func(_ int, r platformtest.Run) platformtest.Behavior {
				if strings.HasPrefix(r.ID, "rejected") {
					return platformtest.Behavior{Head: platformtest.HeadNotRun, RetryAfter: "3", Delay: v.delay}
				}
				return platformtest.CompleteAnswer
			})
			f.addServer("b", nil)
			f.addServer("c", nil)
			n := f.startNode("vm-1", 3)
			rejectedAt := func() (at time.Time) {
				for _, x := range a.Arrivals() {
					if strings.HasPrefix(x.ID, "rejected") {
						return x.EndedAt
					}
				}
				return at
			}
			if v.isCheck {
				a.RejectChecks("3")
				for _, p := range n.backends.probeCandidates("s", time.Now()) {
					if p.server.id == "a" {
						n.probeLink(context.Background(), p)
					}
				}
				at := time.Now()
				rejectedAt = func() time.Time { return at }
			}
			for i := 0; !v.isCheck && i < 20 && len(a.Arrivals()) == 0; i++ {
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				if v.patience > 0 {
					ctx, cancel = context.WithTimeout(context.Background(), v.patience)
				}
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				resp, err := client.Do(call{method: "POST", path: v.path, key: "key-w", id: fmt.Sprint("rejected-", i), body: fmt.Sprint("b", i)}.request(t, ctx, n))
				if err == nil {
					resp.Body.Close()
				}
				cancel()
			}
			f.eventually("the server has rejected a request", func() bool { return !rejectedAt().IsZero() })
			stop := steadyCalls(t, n, "/again/x", 25*time.Millisecond)
			time.Sleep(time.Until(rejectedAt().Add(backoff)))
			stop()
			if got := arrivalsBetween(a.Arrivals(), rejectedAt().Add(contact), rejectedAt().Add(backoff)); got > allowed {
				t.Errorf("%d requests reached the server in its backoff, allowed %d", got, allowed)
			}
		})
	}
}
