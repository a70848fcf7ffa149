package faultlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// ScenarioEvacuate is the scenario of availability zones that the operator evacuates and takes
// back, beside faults of nodes and of the store.
const ScenarioEvacuate = "evacuate"

func init() {
	scenarios[ScenarioEvacuate] = func(c *cluster) scenario {
		return &evacuateScenario{mixedScenario: mixedScenario{c}, evacuations: map[string][]evacuation{}}
	}
}

const (
	// evacuationBound is the time within which an evacuation must be in force.
	evacuationBound = 3 * time.Second
	// evacuateServers is the number of servers, which are spread over the zones.
	evacuateServers = 6
)

// evacuateScenario is the scenario ScenarioEvacuate.
type evacuateScenario struct {
	mixedScenario

	// mu guards evacuations, those of each zone in order.
	mu          sync.Mutex
	evacuations map[string][]evacuation
}

// evacuation lasts from its acknowledgement until the operator begins to take the zone back,
// which is zero before.
type evacuation struct{ acked, takenBack time.Time }

func (s *evacuateScenario) servers() []serverPlan {
	var plans []serverPlan
	for i := range evacuateServers {
		plans = append(plans, serverPlan{fmt.Sprint("s-", i), platformtest.Service, zoneName(i), serverRestartTime})
	}
	return plans
}

func (s *evacuateScenario) settings() string {
	return fmt.Sprintf("[platform]\ndocument_bound = %v\nleave_bound = %v\nevacuation_bound = %v\n", evacuationBound, evacuationBound, evacuationBound)
}

func (s *evacuateScenario) behavior(string) func(int, platformtest.Run) platformtest.Behavior {
	return func(int, platformtest.Run) platformtest.Behavior { return platformtest.CompleteAnswer }
}

// send starts the callers of each node.
func (s *evacuateScenario) send(ctx context.Context, load *sync.WaitGroup) {
	for i, n := range s.nodes {
		for k := range callersPerNode {
			load.Go(func() {
				s.sendRequests(ctx, n, rand.New(rand.NewPCG(s.seed, uint64(500+i*callersPerNode+k))), fmt.Sprintf("%d-%d-%d", s.seed, i, k))
			})
		}
	}
}

// injectFaults evacuates zones and takes them back, beside faults of nodes and the store. At the
// end all are taken back.
func (s *evacuateScenario) injectFaults(ctx context.Context, total time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	random := rand.New(rand.NewPCG(s.seed, 83))
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		if random.IntN(3) == 0 {
			kind := []int{0, 1, 2, 3, 6, 7}[random.IntN(6)]
			n, duration := s.nodes[random.IntN(len(s.nodes))], time.Duration(300+random.IntN(3000))*time.Millisecond
			running.Go(s.fault(kind, n, 0, Fault(1+random.IntN(int(faultCount)-1)), duration))
		}
		if random.IntN(3) == 0 {
			s.logEvent("all connections to the store fall silent")
			s.store.SilenceConnections()
		}
		zone := zoneName(random.IntN(zoneCount))
		if s.isEvacuated(zone) {
			s.takeBack(zone)
		} else {
			s.evacuate(zone)
		}
		time.Sleep(time.Duration(500+random.IntN(5000)) * time.Millisecond)
	}
	for i := range zoneCount {
		if zone := zoneName(i); s.isEvacuated(zone) {
			s.takeBack(zone)
		}
	}
}

func (s *evacuateScenario) isEvacuated(zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.evacuations[zone]
	return len(all) > 0 && all[len(all)-1].takenBack.IsZero()
}

func (s *evacuateScenario) evacuate(zone string) {
	s.logEvent("evacuate %s", zone)
	s.putUntilAccepted(platform.OperatorTopic, platform.EvacuationKeyPrefix+zone, []byte("{}"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations[zone] = append(s.evacuations[zone], evacuation{acked: time.Now()})
}

func (s *evacuateScenario) takeBack(zone string) {
	s.mu.Lock()
	all := s.evacuations[zone]
	all[len(all)-1].takenBack = time.Now()
	s.mu.Unlock()
	s.logEvent("take %s back", zone)
	s.putUntilAccepted(platform.OperatorTopic, platform.EvacuationKeyPrefix+zone, nil)
}

// verify checks that no request reached an evacuated zone later than evacuationBound, except for
// those of nodes with a fault or without the store.
func (s *evacuateScenario) verify(exchanges map[string]exchange) string {
	count, checked := 0, 0
	for i, server := range s.cluster.servers {
		zone := zoneName(i)
		count += len(s.evacuations[zone])
		for _, a := range server.Arrivals() {
			e, known := exchanges[a.ID]
			if !known {
				continue
			}
			checked++
			s.verifyArrival(zone, e, a.At)
		}
	}
	return fmt.Sprintf("evacuations-of-servers=%d checked=%d ", count, checked)
}

func (s *evacuateScenario) verifyArrival(zone string, e exchange, at time.Time) {
	if from := at.Add(-contactTime); s.recorder.hadFault(e.node, from, at) || s.recorder.hadFault("", from, at) {
		return
	}
	for _, v := range s.evacuations[zone] {
		if at.After(v.acked.Add(evacuationBound)) && (v.takenBack.IsZero() || at.Before(v.takenBack)) {
			s.recorder.addViolation("%s of %s reached evacuated %s %v after the acknowledgement, at %.2f s", e.request.ID, e.node, zone, at.Sub(v.acked), at.Sub(s.startedAt).Seconds())
		}
	}
}
