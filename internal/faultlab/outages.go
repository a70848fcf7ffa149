package faultlab

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// ScenarioOutages is the scenario of a store that is silent or rejects calls for a while, for
// all nodes or for some, in series that overlap, and of documents that follow its return, beside
// faults of single nodes.
const ScenarioOutages = "outages"

func init() {
	scenarios[ScenarioOutages] = func(c *cluster) scenario {
		return &outagesScenario{documentsScenario: documentsScenario{mixedScenario: mixedScenario{c}}}
	}
}

const (
	// minOutage and maxOutage bound the length of one outage.
	minOutage = 200 * time.Millisecond
	maxOutage = 9 * time.Second
	// maxReturnPause is the longest time from the store's return to a document.
	maxReturnPause = 400 * time.Millisecond
)

// outagesScenario is the scenario ScenarioOutages.
type outagesScenario struct{ documentsScenario }

func (s *outagesScenario) injectFaults(ctx context.Context, total time.Duration) {
	random := rand.New(rand.NewPCG(s.seed, 83))
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		var running sync.WaitGroup
		for range random.IntN(3) {
			running.Go(s.drawNodeFault(random))
		}
		for range 1 + random.IntN(3) {
			running.Go(s.drawOutage(random))
			time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
		}
		running.Wait()
		for range 1 + random.IntN(3) {
			time.Sleep(time.Duration(random.Int64N(int64(maxReturnPause))))
			s.putDocument()
		}
		// Requests are checked from contactTime after the last fault on.
		time.Sleep(contactTime + time.Duration(random.Int64N(int64(documentBound))))
	}
}

// drawOutage draws an outage of the store: for all nodes, where one that is silent leaves the
// calls without an answer for good, or on the way of some nodes to it.
func (s *outagesScenario) drawOutage(random *rand.Rand) func() {
	duration := minOutage + time.Duration(random.Int64N(int64(maxOutage-minOutage)))
	kind := random.IntN(3)
	affected := s.nodes
	fault := Fault(1 + random.IntN(int(faultCount)-1))
	if kind == 0 {
		affected = nil
		for _, n := range s.nodes {
			if random.IntN(2) == 0 {
				affected = append(affected, n)
			}
		}
	}
	return func() {
		for _, n := range affected {
			defer s.recorder.addFault(n.name)()
		}
		s.mu.Lock()
		s.silences++
		s.mu.Unlock()
		switch kind {
		case 0:
			for _, n := range affected {
				s.logEvent("store of %s: %v for %v", n.name, fault, duration)
				n.storeProxy.setFault(fault)
			}
			time.Sleep(duration)
			for _, n := range affected {
				n.storeProxy.setFault(NoFault)
			}
		case 1:
			s.logEvent("store silent for %v", duration)
			s.store.StopAnswering()
			time.Sleep(duration)
			s.store.AnswerAgain()
		case 2:
			s.logEvent("store rejects calls for %v", duration)
			s.store.RejectAll(http.StatusServiceUnavailable)
			time.Sleep(duration)
			s.store.RejectAll(0)
		}
	}
}
