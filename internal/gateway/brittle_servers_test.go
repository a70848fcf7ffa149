package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

const (
	// brittleContactTime is the time from the first statement until servers let fewer wait.
	brittleContactTime = 3 * time.Second
	brittleTime        = 6 * time.Second
)

// brittleTrial is a service whose servers become brittle under more load than they can take.
type brittleTrial struct {
	servers, nodes int
	// rejections is the number that a server survives in a second, places that of the
	// requests that it runs at the same time.
	rejections, places int
	// interval is the time between two requests to a node.
	interval time.Duration
}

func (b brittleTrial) allowedFalls() int { return 2 + b.servers/10 }

// TestBrittleServersFallInTurn: servers state that they fail if they have to reject many
// requests. All nodes together must not fill them. How much of the places is used depends on
// the machine here; package serverplaces tests that in virtual time.
func TestBrittleServersFallInTurn(t *testing.T) {
	t.Parallel()
	const work = 200 * time.Millisecond
	for _, trial := range []brittleTrial{
		{4, 3, 3, 2, 45 * time.Millisecond},
		{4, 8, 3, 2, 260 * time.Millisecond},
		{8, 8, 1, 2, 50 * time.Millisecond},
		{3, 2, 10, 1, 20 * time.Millisecond},
		{2, 3, 0, 4, 40 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(trial), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			var servers []*platformtest.Server
			for i := range trial.servers {
				s := platformtest.NewServer(fmt.Sprint("s-", i), always(platformtest.Behavior{EventPause: work}))
				t.Cleanup(s.Close)
				s.SetPlaces(trial.places, 6)
				s.RestartAfter = 2 * time.Second
				put := func() { f.store.Put(platform.ServersTopic, s.ID, s.Registration("s", "zone-a", "ready")) }
				s.OnRestart = put
				put()
				servers = append(servers, s)
			}
			var nodes []*Node
			for i := range trial.nodes {
				nodes = append(nodes, f.startNode(fmt.Sprint("vm-", i), trial.servers))
			}
			for _, n := range nodes {
				f.eventually("nodes know each other", func() bool { return n.members.count() == trial.nodes })
			}
			var stops []func() []reply
			for _, n := range nodes {
				stops = append(stops, steadyCalls(t, n, "/again/x", trial.interval))
			}
			time.Sleep(500 * time.Millisecond)
			for _, s := range servers {
				s.BecomeBrittle(trial.rejections, brittleContactTime)
			}
			time.Sleep(brittleContactTime)
			for _, s := range servers {
				s.SetPlaces(trial.places, 0)
			}
			from := time.Now()
			runsBefore := 0
			for _, s := range servers {
				runsBefore += len(s.Runs())
			}
			time.Sleep(brittleTime)
			runs, falls := -runsBefore, 0
			for _, s := range servers {
				runs += len(s.Runs())
				falls += len(s.Crashes())
			}
			lasted := time.Since(from)
			asked, told := 0, 0
			for _, stop := range stops {
				for _, got := range stop() {
					asked++
					if got.header.Get("Server-Brittle") != "" {
						told++
					}
					if got.status != http.StatusOK && got.status != http.StatusServiceUnavailable {
						t.Errorf("got %+v", got)
					}
				}
			}
			capacity := float64(trial.servers*trial.places) * lasted.Seconds() / work.Seconds()
			demand := float64(trial.nodes) * lasted.Seconds() / trial.interval.Seconds()
			t.Logf("%d falls, allowed %d; %d runs in %v, capacity %.0f, demand %.0f", falls, trial.allowedFalls(), runs, lasted, capacity, demand)
			if falls > trial.allowedFalls() {
				t.Errorf("%d falls, allowed %d", falls, trial.allowedFalls())
			}
			if runs == 0 {
				t.Error("no request ran")
			}
			if told > 0 {
				t.Errorf("%d answers to callers state that a server is brittle", told)
			}
		})
	}
}
