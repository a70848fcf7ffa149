package faultlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// ScenarioLimits is the scenario of servers that name limits, change them and end them,
// beside faults of nodes, servers and the store.
const ScenarioLimits = "limits"

func init() {
	scenarios[ScenarioLimits] = func(c *cluster) scenario { return newLimitsScenario(c) }
}

const (
	// limitWindow is the time over which the requests to a limited server are counted.
	limitWindow = 4 * time.Second
	// limitFactor and limitSlack determine how many requests a server may get in limitWindow.
	limitFactor = 1.5
	limitSlack  = 5
	// limitCallersPerNode is the number of callers of each node.
	limitCallersPerNode = 4
)

// limitsScenario is the scenario ScenarioLimits.
type limitsScenario struct {
	mixedScenario
	plans []serverPlan

	// mu guards limits, the limits that each server has named, in order.
	mu     sync.Mutex
	limits [][]namedLimit
}

// namedLimit is a limit in requests per second, -1 for none, that a server names from a time
// on.
type namedLimit struct {
	rate float64
	from time.Time
}

func newLimitsScenario(c *cluster) *limitsScenario {
	s := &limitsScenario{mixedScenario: mixedScenario{c}}
	random := rand.New(rand.NewPCG(c.seed, 80))
	for i := range 1 + random.IntN(6) {
		s.plans = append(s.plans, serverPlan{fmt.Sprint("s-", i), platformtest.Service, zoneName(i), serverRestartTime})
	}
	s.limits = make([][]namedLimit, len(s.plans))
	return s
}

func (s *limitsScenario) servers() []serverPlan { return s.plans }

func (s *limitsScenario) behavior(string) func(int, platformtest.Run) platformtest.Behavior {
	return func(int, platformtest.Run) platformtest.Behavior { return platformtest.CompleteAnswer }
}

// send starts callers whose demand is above the limits. Some nodes get few requests.
func (s *limitsScenario) send(ctx context.Context, load *sync.WaitGroup) {
	for i, n := range s.nodes {
		for k := range limitCallersPerNode {
			load.Go(func() {
				random := rand.New(rand.NewPCG(s.seed, uint64(400+i*limitCallersPerNode+k)))
				pause := maxRequestPause << random.IntN(6)
				caller := platformtest.NewCaller(n.callerAddress)
				defer caller.Close()
				paths := []string{platformtest.RepeatablePath, platformtest.OncePath, platformtest.StreamPath}
				for m := 0; ctx.Err() == nil; m++ {
					id := fmt.Sprintf("%d-%d-%d-%d", s.seed, i, k, m)
					request := platformtest.Request{ID: id, Method: http.MethodPost, Path: paths[random.IntN(len(paths))] + "x", Key: platformtest.Key, Body: id, Timeout: requestTimeout}
					s.ask(ctx, n, caller.Do, request)
					time.Sleep(time.Duration(random.Int64N(int64(pause))))
				}
			})
		}
	}
}

// injectFaults lets servers name limits for the duration, beside other faults.
func (s *limitsScenario) injectFaults(ctx context.Context, total time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	random := rand.New(rand.NewPCG(s.seed, 81))
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		if random.IntN(3) == 0 {
			f := s.fault(random.IntN(8), s.nodes[random.IntN(len(s.nodes))], random.IntN(len(s.plans)), Fault(1+random.IntN(int(faultCount)-1)), time.Duration(300+random.IntN(4000))*time.Millisecond)
			running.Go(f)
		}
		for i := range s.plans {
			if random.IntN(4) == 0 {
				s.nameLimit(i, []float64{-1, 0, 0.3, 1, 1, 1.4, 3.5, 10}[random.IntN(8)])
			}
		}
		time.Sleep(time.Duration(1000+random.IntN(4000)) * time.Millisecond)
	}
}

func (s *limitsScenario) nameLimit(i int, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := ""
	if rate >= 0 {
		text = strconv.FormatFloat(rate, 'f', -1, 64)
	}
	s.logEvent("server %d names the limit %q", i, text)
	s.limits[i] = append(s.limits[i], namedLimit{rate, time.Now()})
	s.cluster.servers[i].NameLimit(text)
}

// verify counts the requests to limited servers, except for those of nodes with a fault.
func (s *limitsScenario) verify(exchanges map[string]exchange) string {
	windows, limited := 0, 0
	for i, server := range s.cluster.servers {
		arrivals := server.Arrivals()
		for k, l := range s.limits[i] {
			if l.rate < 0 {
				continue
			}
			until := time.Now()
			if k+1 < len(s.limits[i]) {
				until = s.limits[i][k+1].from
			}
			var at []time.Time
			for _, a := range arrivals {
				e, known := exchanges[a.ID]
				if !known || a.At.Before(l.from.Add(contactTime)) || a.At.After(until) || s.recorder.hadFault(e.node, a.At.Add(-contactTime), a.At) {
					continue
				}
				at = append(at, a.At)
			}
			windows++
			limited += len(at)
			s.verifyWindows(i, l, at)
		}
	}
	return fmt.Sprintf("limits=%d limited-requests=%d ", windows, limited)
}

func (s *limitsScenario) verifyWindows(server int, l namedLimit, at []time.Time) {
	allowed := int(limitFactor*l.rate*limitWindow.Seconds() + limitSlack)
	first := 0
	for i := range at {
		for at[i].Sub(at[first]) >= limitWindow {
			first++
		}
		if got := i - first + 1; got > allowed {
			s.recorder.addViolation("server %d had named the limit %v and got %d requests in %v up to %.2f s, allowed %d", server, l.rate, got, limitWindow, at[i].Sub(s.startedAt).Seconds(), allowed)
			return
		}
	}
}
