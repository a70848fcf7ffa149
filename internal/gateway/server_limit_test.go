package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// limitTrial is a deployment whose servers name limits while its nodes get requests.
type limitTrial struct {
	*fixture
	nodes   []*Node
	servers []*platformtest.Server
}

func newLimitTrial(t *testing.T, nodes, servers int) *limitTrial {
	l := &limitTrial{fixture: newFixture(t)}
	for i := range servers {
		l.servers = append(l.servers, l.addServer(fmt.Sprint("s-", i), nil))
	}
	for i := range nodes {
		l.nodes = append(l.nodes, l.startNode(fmt.Sprint("vm-", i), servers))
	}
	for _, n := range l.nodes {
		l.eventually("nodes know each other", func() bool { return n.members.count() == nodes })
	}
	return l
}

const (
	// limitContactTime is the time from a server's first answer with a limit until all
	// nodes must keep to it, limitWindow that over which requests are counted.
	limitContactTime = 3 * time.Second
	limitWindow      = 4 * time.Second
)

// mostInWindow returns the largest number of requests that a server got within limitWindow,
// after the time from.
func mostInWindow(s *platformtest.Server, from time.Time) int {
	var at []time.Time
	for _, a := range s.Arrivals() {
		if a.At.After(from) {
			at = append(at, a.At)
		}
	}
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// countAfter returns the number of requests that a server got after a time.
func countAfter(s *platformtest.Server, from time.Time) int {
	count := 0
	for _, a := range s.Arrivals() {
		if a.At.After(from) {
			count++
		}
	}
	return count
}

func allowedInWindow(limit float64) int { return int(1.5*limit*limitWindow.Seconds() + 5) }

// TestServerGetsMoreThanItsLimit: servers name limits under load. All nodes together keep to
// them, and callers are not told.
func TestServerGetsMoreThanItsLimit(t *testing.T) {
	t.Parallel()
	for _, trial := range []struct {
		limit          float64
		nodes, limited int
	}{{1, 3, 1}, {0.3, 6, 1}, {3.5, 3, 4}, {0, 2, 1}} {
		t.Run(fmt.Sprint(trial), func(t *testing.T) {
			t.Parallel()
			l := newLimitTrial(t, trial.nodes, 4)
			var stops []func() []reply
			for _, n := range l.nodes {
				stops = append(stops, steadyCalls(t, n, "/again/x", time.Duration(trial.nodes)*20*time.Millisecond))
			}
			time.Sleep(500 * time.Millisecond)
			for _, s := range l.servers[:trial.limited] {
				s.NameLimit(fmt.Sprint(trial.limit))
			}
			namedAt := time.Now()
			time.Sleep(limitContactTime + limitWindow + time.Second)
			told, statuses := 0, map[int]int{}
			for _, stop := range stops {
				for _, got := range stop() {
					statuses[got.status]++
					if got.header.Get("Server-Limit") != "" {
						told++
					}
					if trial.limited < len(l.servers) && got.status != http.StatusOK {
						t.Errorf("got %+v", got)
					}
				}
			}
			if told > 0 {
				t.Errorf("%d answers to callers name a limit", told)
			}
			for i, s := range l.servers[:trial.limited] {
				t.Logf("server %d got %d requests in %v, answers %v", i, countAfter(s, namedAt.Add(limitContactTime)), limitWindow+time.Second, statuses)
				if most, allowed := mostInWindow(s, namedAt.Add(limitContactTime)), allowedInWindow(trial.limit); most > allowed {
					t.Errorf("server %d got %d requests in %v, allowed %d", i, most, limitWindow, allowed)
				}
			}
		})
	}
}
