package faultlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// ScenarioBrittle is the scenario of servers that fail if they have to reject many requests, and
// say so for some time, beside faults of nodes and of the store.
const ScenarioBrittle = "brittle"

func init() {
	scenarios[ScenarioBrittle] = func(c *cluster) scenario { return newBrittleScenario(c) }
}

const (
	// brittleWork is the time that a server works on a request.
	brittleWork = 150 * time.Millisecond
	// brittleCallersPerNode is the number of callers of each node.
	brittleCallersPerNode = 8
	// brittleWaiting is the number of requests that a server lets wait before it is brittle.
	brittleWaiting = 6
	// allowedFalls and fallShare determine how often servers may fail in a brittle time:
	// allowedFalls, and one in fallShare of their number.
	allowedFalls = 2
	fallShare    = 10
	// rejectionPeriod is the time over which a server counts the requests that it rejects.
	rejectionPeriod = time.Second
)

// brittleScenario is the scenario ScenarioBrittle.
type brittleScenario struct {
	mixedScenario
	plans   []serverPlan
	places  int
	periods []period
	// pauses are the longest pauses between two requests of a node's callers.
	pauses []time.Duration
}

func newBrittleScenario(c *cluster) *brittleScenario {
	s := &brittleScenario{mixedScenario: mixedScenario{c}}
	random := rand.New(rand.NewPCG(c.seed, 84))
	for i := range 2 + random.IntN(7) {
		s.plans = append(s.plans, serverPlan{fmt.Sprint("s-", i), platformtest.Service, zoneName(i), 3 * serverRestartTime})
	}
	s.places = 1 + random.IntN(3)
	for range c.options.Processes {
		s.pauses = append(s.pauses, maxRequestPause<<random.IntN(4))
	}
	return s
}

func (s *brittleScenario) servers() []serverPlan { return s.plans }

func (s *brittleScenario) behavior(string) func(int, platformtest.Run) platformtest.Behavior {
	return func(int, platformtest.Run) platformtest.Behavior {
		return platformtest.Behavior{EventPause: brittleWork}
	}
}

func (s *brittleScenario) send(ctx context.Context, load *sync.WaitGroup) {
	for i, n := range s.nodes {
		for k := range brittleCallersPerNode {
			load.Go(func() {
				random := rand.New(rand.NewPCG(s.seed, uint64(800+i*brittleCallersPerNode+k)))
				caller := platformtest.NewCaller(n.callerAddress)
				defer caller.Close()
				paths := []string{platformtest.RepeatablePath, platformtest.OncePath}
				for m := 0; ctx.Err() == nil; m++ {
					id := fmt.Sprintf("%d-%d-%d-%d", s.seed, i, k, m)
					request := platformtest.Request{ID: id, Method: http.MethodPost, Path: paths[random.IntN(len(paths))] + "x", Key: platformtest.Key, Body: id, Timeout: requestTimeout}
					s.ask(ctx, n, caller.Do, request)
					time.Sleep(time.Duration(random.Int64N(int64(s.pauses[i]))))
				}
			})
		}
	}
}

// injectFaults lets the servers be brittle for some times, beside other faults.
func (s *brittleScenario) injectFaults(ctx context.Context, total time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { s.playPeriods(ctx, total) })
	random := rand.New(rand.NewPCG(s.seed, 85))
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		kind := []int{0, 1, 2, 3, 6, 7}[random.IntN(6)]
		n, duration := s.nodes[random.IntN(len(s.nodes))], time.Duration(300+random.IntN(3000))*time.Millisecond
		running.Go(s.fault(kind, n, 0, Fault(1+random.IntN(int(faultCount)-1)), duration))
		time.Sleep(time.Duration(1000+random.IntN(5000)) * time.Millisecond)
	}
}

// playPeriods plays the times in which the servers are brittle.
func (s *brittleScenario) playPeriods(ctx context.Context, total time.Duration) {
	random := rand.New(rand.NewPCG(s.seed, 86))
	sound := func() {
		for _, server := range s.cluster.servers {
			server.BecomeBrittle(-1, 0)
			server.SetPlaces(s.places, brittleWaiting)
		}
	}
	sound()
	for i, server := range s.cluster.servers {
		// The servers were registered before they had their places.
		s.register(server.ID, server.RegistrationAt(s.proxies[i].address(), s.plans[i].service, s.plans[i].zone, "ready"))
	}
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(time.Duration(500+random.IntN(2000)) * time.Millisecond)
		rejections, duration := random.IntN(5), contactTime+time.Duration(1000+random.IntN(7000))*time.Millisecond
		s.logEvent("servers with %d places fail after more than %d rejections, for %v", s.places, rejections, duration)
		p := period{start: time.Now()}
		for _, server := range s.cluster.servers {
			server.BecomeBrittle(rejections, contactTime)
		}
		time.Sleep(contactTime)
		for _, server := range s.cluster.servers {
			server.SetPlaces(s.places, 0)
		}
		time.Sleep(duration - contactTime)
		sound()
		p.end = time.Now()
		s.periods = append(s.periods, p)
	}
}

// verify counts the servers that have failed in each brittle time, except for those which nodes
// with a fault had filled.
func (s *brittleScenario) verify(exchanges map[string]exchange) string {
	all, allowed := 0, allowedFalls+len(s.plans)/fallShare
	for _, p := range s.periods {
		var falls []string
		for i, server := range s.cluster.servers {
			for _, at := range server.Crashes() {
				if at.After(p.start) && at.Before(p.end) && s.isCounted(i, at, exchanges) {
					falls = append(falls, fmt.Sprintf("s-%d at %.2f s", i, at.Sub(s.startedAt).Seconds()))
				}
			}
		}
		all += len(falls)
		if len(falls) > allowed {
			s.recorder.addViolation("servers that were brittle from %.2f s to %.2f s failed %d times, allowed %d: %v", p.start.Sub(s.startedAt).Seconds(), p.end.Sub(s.startedAt).Seconds(), len(falls), allowed, falls)
		}
	}
	served := 0
	for _, e := range exchanges {
		if e.result.Err == nil && e.result.Status == http.StatusOK {
			served++
		}
	}
	return fmt.Sprintf("brittle-times=%d falls=%d places=%d ", len(s.periods), all, s.places*len(s.plans))
}

// isCounted reports whether most of the requests that a server rejected before it failed came
// from nodes without a fault.
func (s *brittleScenario) isCounted(server int, at time.Time, exchanges map[string]exchange) bool {
	rejected, excused := 0, 0
	for _, a := range s.cluster.servers[server].Arrivals() {
		if a.At.Before(at.Add(-rejectionPeriod)) || a.At.After(at) || a.Behavior.Head != platformtest.HeadNotRun {
			continue
		}
		rejected++
		if e, known := exchanges[a.ID]; !known || s.recorder.hadFault(e.node, a.At.Add(-contactTime), a.At) {
			excused++
		}
	}
	return 2*excused < rejected
}
