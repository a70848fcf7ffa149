package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/coldservers"
	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// coldTrial is a deployment with servers that remain cold.
type coldTrial struct {
	*fixture
	limit   coldservers.Limit
	cold    []*platformtest.Server
	warm    []*platformtest.Server
	nodes   []*Node
	allowed int
}

func newColdTrial(t *testing.T, limit coldservers.Limit, nodes, cold, warm int) *coldTrial {
	c := &coldTrial{fixture: newFixture(t), limit: limit, allowed: int(limit.PerSecond*limit.Over + limit.Slack)}
	c.store.Put(platform.OperatorTopic, platform.DocumentKey, bytes.Replace(documentJSON(2), []byte(`"maxConns":100`), fmt.Appendf(nil, `"maxConns":100,"coldStartS":2,"coldPerS":%g`, limit.PerSecond), 1))
	for i := range cold + warm {
		s := platformtest.NewServer(fmt.Sprint("s-", i), nil)
		t.Cleanup(s.Close)
		if i < cold {
			s.SetCold(time.Minute)
			c.cold = append(c.cold, s)
		} else {
			c.warm = append(c.warm, s)
		}
		c.store.Put(platform.ServersTopic, s.ID, s.Registration("s", "zone-a", "ready"))
	}
	for i := range nodes {
		settings := c.settings(fmt.Sprint("vm-", i))
		settings.ColdOver, settings.ColdSlack = limit.Over, limit.Slack
		n, err := Start(settings, c.logs)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		c.eventually("nodes are ready", func() bool { return n.Ready() && n.backends.count() == cold+warm && n.members.count() == nodes })
	}
	return c
}

// checkSeconds checks that no cold server got more requests in a second than it may.
func (c *coldTrial) checkSeconds() {
	c.t.Helper()
	for _, s := range c.cold {
		var at []time.Time
		for _, a := range s.Arrivals() {
			at = append(at, a.At)
		}
		slices.SortFunc(at, time.Time.Compare)
		most, first := 0, 0
		for i := range at {
			for at[i].Sub(at[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
		c.t.Logf("%s got %d requests, %d in a second", s.ID, len(at), most)
		if most > c.allowed {
			c.t.Errorf("%s got %d requests in a second, allowed %d", s.ID, most, c.allowed)
		}
	}
}

// TestColdServersGetMoreThanTheyTake: cold servers stay within their limit, the warm ones serve
// the rest, and a server that is warm gets its part.
func TestColdServersGetMoreThanTheyTake(t *testing.T) {
	t.Parallel()
	for _, v := range []struct {
		limit coldservers.Limit
		nodes int
	}{{coldservers.Limit{PerSecond: 3, Over: 1.5, Slack: 3}, 3}, {coldservers.Limit{PerSecond: 0.5, Over: 1.5, Slack: 3}, 5}} {
		t.Run(fmt.Sprint(v), func(t *testing.T) {
			t.Parallel()
			c := newColdTrial(t, v.limit, v.nodes, 2, 2)
			var stops []func() []reply
			for _, n := range c.nodes {
				stops = append(stops, steadyCalls(t, n, "/again/x", time.Duration(v.nodes)*10*time.Millisecond))
			}
			time.Sleep(5 * time.Second)
			c.checkSeconds()
			s := c.cold[0]
			s.SetCold(0)
			before := len(s.Arrivals())
			c.store.Put(platform.ServersTopic, s.ID, s.Registration("s", "zone-a", "ready"))
			c.eventually("the server that is warm gets its part", func() bool { return len(s.Arrivals()) > before+5*c.allowed })
			for _, stop := range stops {
				for _, got := range stop() {
					if got.status != http.StatusOK {
						t.Errorf("got %+v", got)
					}
				}
			}
			for _, event := range []string{"cold", "warm"} {
				c.eventually("a line states that the server is "+event, func() bool { return c.logs.hasLine("servers", event+" ", "server=s-0") })
			}
		})
	}
}

// TestColdServiceRejectsWhatItCannotServe: all servers of a service are cold under a burst. As
// many requests are served as they take, and the others are rejected with a time to come back.
func TestColdServiceRejectsWhatItCannotServe(t *testing.T) {
	t.Parallel()
	c := newColdTrial(t, coldservers.Limit{PerSecond: 4, Over: 1.5, Slack: 5}, 2, 2, 0)
	var stops []func() []reply
	for _, n := range c.nodes {
		stops = append(stops, steadyCalls(t, n, "/again/x", 10*time.Millisecond))
	}
	time.Sleep(5 * time.Second)
	served := 0
	for _, stop := range stops {
		for _, got := range stop() {
			switch {
			case got.status == http.StatusOK:
				served++
			case got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "":
				t.Errorf("got %+v", got)
			}
		}
	}
	c.checkSeconds()
	t.Logf("served %d", served)
	if served < 10 {
		t.Errorf("%d requests were served", served)
	}
}
