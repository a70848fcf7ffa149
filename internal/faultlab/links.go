package faultlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// ScenarioLinks is the scenario of nodes that lose their links to the servers, beside faults of
// nodes, servers and the store, new documents and reloads.
const ScenarioLinks = "links"

func init() {
	scenarios[ScenarioLinks] = func(c *cluster) scenario { return newLinksScenario(c) }
}

const (
	minCutTime = 500 * time.Millisecond
	maxCutTime = 9 * time.Second
	// Cut nodes serve too few if more than cutFailures requests and one in cutFailureShare fail
	// there, and they serve less than minCutRatio of the share that the others serve.
	cutFailures     = 10
	cutFailureShare = 50
	minCutRatio     = 2.0 / 3
)

// linkScenarioFaults are the kinds of the other faults, see cluster.fault: not those of a server's
// connections, which are the same for all nodes.
var linkScenarioFaults = []int{0, 1, 2, 3, 6, 7, 8, 9, 10}

// linksScenario is the scenario ScenarioLinks.
type linksScenario struct {
	mixedScenario
	plans []serverPlan

	// mu guards cuts, the periods in which nodes are cut.
	mu   sync.Mutex
	cuts []linkPeriod
}

// linkPeriod is a time in which nodes have lost their links.
type linkPeriod struct {
	period
	nodes map[string]bool
}

func newLinksScenario(c *cluster) *linksScenario {
	s := &linksScenario{mixedScenario: mixedScenario{c}}
	random := rand.New(rand.NewPCG(c.seed, 82))
	for i := range 3 + random.IntN(4) {
		s.plans = append(s.plans, serverPlan{fmt.Sprint("s-", i), platformtest.Service, zoneName(i), serverRestartTime})
	}
	return s
}

func (s *linksScenario) servers() []serverPlan { return s.plans }

func (s *linksScenario) send(ctx context.Context, load *sync.WaitGroup) {
	for i, n := range s.nodes {
		for k := range callersPerNode {
			load.Go(func() {
				s.sendRequests(ctx, n, rand.New(rand.NewPCG(s.seed, uint64(600+i*callersPerNode+k))), fmt.Sprintf("%d-%d-%d", s.seed, i, k))
			})
		}
	}
}

func (s *linksScenario) injectFaults(ctx context.Context, total time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	random := rand.New(rand.NewPCG(s.seed, 83))
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		n := s.nodes[random.IntN(len(s.nodes))]
		duration := time.Duration(300+random.IntN(4000)) * time.Millisecond
		switch x := random.IntN(10); {
		case x < 5:
			running.Go(s.drawCut(random))
		case x < 7:
			kind := linkScenarioFaults[random.IntN(len(linkScenarioFaults))]
			running.Go(s.fault(kind, n, random.IntN(len(s.plans)), Fault(1+random.IntN(int(faultCount)-1)), duration))
		case x < 8:
			running.Go(func() {
				if s.restoring.TryLock() {
					defer s.restoring.Unlock()
					s.logEvent("new document")
					s.writeDocument()
				}
			})
		default:
			s.logEvent("reload %s", n.name)
			n.signal(syscall.SIGHUP)
		}
		time.Sleep(time.Duration(200+random.IntN(2000)) * time.Millisecond)
	}
}

// drawCut draws a cut of some nodes, or of all in a zone, from all servers or those of a zone.
// Nodes that are cut already are left out.
func (s *linksScenario) drawCut(random *rand.Rand) func() {
	how := linkCut(1 + random.IntN(int(linkCutCount)-1))
	duration := minCutTime + time.Duration(random.Int64N(int64(maxCutTime-minCutTime)))
	drawn := s.nodes[:0:0]
	if first := random.IntN(len(s.nodes)); random.IntN(4) == 0 {
		for i, n := range s.nodes {
			if zoneName(i) == zoneName(first) {
				drawn = append(drawn, n)
			}
		}
	} else {
		for _, i := range random.Perm(len(s.nodes))[:1+random.IntN(max(len(s.nodes)-1, 1))] {
			drawn = append(drawn, s.nodes[i])
		}
	}
	proxies := s.proxies
	if random.IntN(5) == 0 {
		proxies = nil
		for i, p := range s.plans {
			if p.zone == s.plans[0].zone {
				proxies = append(proxies, s.proxies[i])
			}
		}
	}
	return func() { s.cut(drawn, proxies, how, duration) }
}

func (s *linksScenario) cut(drawn []*node, proxies []*proxy, how linkCut, duration time.Duration) {
	c := linkPeriod{period{start: time.Now()}, map[string]bool{}}
	var nodes []*node
	s.mu.Lock()
	for _, n := range drawn {
		if !s.isCut(n.name) {
			nodes = append(nodes, n)
			c.nodes[n.name] = true
		}
	}
	i := len(s.cuts)
	s.cuts = append(s.cuts, c)
	s.mu.Unlock()
	set := func(how linkCut) {
		for _, n := range nodes {
			for _, p := range proxies {
				p.cut(n.sourceAddress, how)
			}
		}
	}
	s.logEvent("links of %d nodes %v to %d servers cut (%v) for %v", len(nodes), c.nodes, len(proxies), how, duration)
	set(how)
	time.Sleep(duration)
	set(notCut)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts[i].end = time.Now()
}

// isCut reports whether a node's links are cut. The caller must hold the lock.
func (s *linksScenario) isCut(node string) bool {
	for _, c := range s.cuts {
		if c.nodes[node] && c.end.IsZero() {
			return true
		}
	}
	return false
}

// wasCut reports whether a node's links were cut between start and end.
func (s *linksScenario) wasCut(node string, start, end time.Time) bool {
	for _, c := range s.cuts {
		if c.nodes[node] && c.start.Before(end) && c.end.After(start) {
			return true
		}
	}
	return false
}

// verify compares what cut nodes have served with what the others have, in each cut.
func (s *linksScenario) verify(exchanges map[string]exchange) string {
	// No content makes a server fail here.
	if innocents := s.quarantinedInnocents(); innocents > 0 {
		s.recorder.addViolation("%d requests were refused because their content was taken for the cause of cut links", innocents)
	}
	compared, cutAsked, cutServed := 0, 0, 0
	for _, c := range s.cuts {
		from := c.start.Add(contactTime)
		if !c.end.After(from) || !s.hasPeer(c) {
			continue
		}
		var asked, served [2]int
		for _, e := range exchanges {
			if e.sentAt.Before(from) || e.answeredAt.After(c.end) || s.recorder.hadFault(e.node, e.sentAt.Add(-contactTime), e.answeredAt) {
				continue
			}
			group := 0
			if c.nodes[e.node] {
				group = 1
			} else if s.wasCut(e.node, e.sentAt.Add(-contactTime), e.answeredAt) {
				continue
			}
			asked[group]++
			if e.result.Err == nil && e.result.Status == http.StatusOK {
				served[group]++
			}
		}
		if asked[0] == 0 || asked[1] == 0 {
			continue
		}
		compared++
		cutAsked, cutServed = cutAsked+asked[1], cutServed+served[1]
		failed, share, othersShare := asked[1]-served[1], float64(served[1])/float64(asked[1]), float64(served[0])/float64(asked[0])
		if failed > cutFailures+asked[1]/cutFailureShare && share < minCutRatio*othersShare {
			s.recorder.addViolation("nodes %v, cut at %.2f s, served %d of %d requests, the others %d of %d", c.nodes, c.start.Sub(s.startedAt).Seconds(), served[1], asked[1], served[0], asked[0])
		}
	}
	return fmt.Sprintf("cuts=%d compared=%d cut-asked=%d cut-served=%d ", len(s.cuts), compared, cutAsked, cutServed)
}

// hasPeer reports whether a node without faults had its links for the whole of a cut.
func (s *linksScenario) hasPeer(c linkPeriod) bool {
	for _, n := range s.nodes {
		if !c.nodes[n.name] && !s.wasCut(n.name, c.start, c.end) && !s.recorder.hadFault(n.name, c.start, c.end) {
			return true
		}
	}
	return false
}
