package faultlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// ScenarioDocuments is the scenario of documents that add and drop routes, alone and in quick
// series, while the open connections to the store fall silent for good, beside faults of
// single nodes.
const ScenarioDocuments = "documents"

func init() {
	scenarios[ScenarioDocuments] = func(c *cluster) scenario { return &documentsScenario{mixedScenario: mixedScenario{c}} }
}

const (
	// versionPath begins the path of the route that a document adds. The next document but
	// one drops it.
	versionPath = "/version-"
	// documentBound is the time within which a document must be in force.
	documentBound = 3 * time.Second
	// regressionSlack is the time after an answer that shows a version in which the same
	// process may still go by an older one.
	regressionSlack = 250 * time.Millisecond
	// documentPathAge bounds the age, in versions, of the routes that are asked for.
	documentPathAge = 4
)

// documentsScenario is the scenario ScenarioDocuments.
type documentsScenario struct {
	mixedScenario

	// mu guards versions and the counts. versions holds the times of the document with each
	// version, from version 1.
	mu       sync.Mutex
	versions []documentTimes
	// finalAt is the time of the last document, which has none of the versions' routes.
	finalAt                   time.Time
	silences, checked, unsure int
}

// documentTimes are the times at which a document was sent and acknowledged.
type documentTimes struct{ sent, acked time.Time }

func (s *documentsScenario) settings() string {
	return fmt.Sprintf("[platform]\ndocument_bound = %v\nleave_bound = %v\n", documentBound, documentBound)
}

func versionRoute(version int) string { return versionPath + strconv.Itoa(version) + "/" }

func (s *documentsScenario) document(version int) []byte {
	o := platformtest.DefaultDocument(version)
	o.ExtraPaths = []string{versionRoute(version), versionRoute(version - 1)}
	if version == platformtest.FinalVersion {
		o.ExtraPaths = nil
		s.mu.Lock()
		s.finalAt = time.Now()
		s.mu.Unlock()
	}
	if version == 1 {
		now := time.Now()
		s.mu.Lock()
		s.versions = []documentTimes{{now, now}}
		s.mu.Unlock()
	}
	return o.Encode()
}

// send lets each node's callers ask for routes that were added or dropped lately.
func (s *documentsScenario) send(ctx context.Context, load *sync.WaitGroup) {
	for i, n := range s.nodes {
		load.Go(func() {
			caller := platformtest.NewCaller(n.callerAddress)
			defer caller.Close()
			random := rand.New(rand.NewPCG(s.seed, uint64(300+i)))
			for k := 0; ctx.Err() == nil; k++ {
				s.mu.Lock()
				newest := len(s.versions)
				s.mu.Unlock()
				path := versionRoute(max(newest-random.IntN(documentPathAge), 1)) + "x"
				request := platformtest.Request{ID: fmt.Sprintf("%d-%d-%d", s.seed, i, k), Method: http.MethodGet, Path: path, Key: platformtest.Key, Timeout: requestTimeout}
				s.ask(ctx, n, caller.Do, request)
				time.Sleep(time.Duration(random.Int64N(int64(maxRequestPause))))
			}
		})
	}
}

// injectFaults puts documents for the duration, with silences around them, beside faults of
// nodes.
func (s *documentsScenario) injectFaults(ctx context.Context, total time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	random := rand.New(rand.NewPCG(s.seed, 79))
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		if random.IntN(3) == 0 {
			running.Go(s.drawNodeFault(random))
		}
		series := 1
		if random.IntN(4) == 0 {
			series = 2 + random.IntN(4)
		}
		for range series {
			if random.IntN(3) > 0 {
				s.silence(random.IntN(2) == 0, random)
			}
			time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
			s.putDocument()
		}
		time.Sleep(time.Duration(300+random.IntN(4500)) * time.Millisecond)
	}
}

// silence makes connections to the store silent for good: all of them, or those of some nodes.
func (s *documentsScenario) silence(all bool, random *rand.Rand) {
	s.mu.Lock()
	s.silences++
	s.mu.Unlock()
	if all {
		s.logEvent("all connections to the store fall silent")
		s.store.SilenceConnections()
		return
	}
	for _, n := range s.nodes {
		if random.IntN(2) == 0 {
			s.logEvent("connections of %s to the store fall silent", n.name)
			n.storeProxy.silence()
		}
	}
}

func (s *documentsScenario) putDocument() {
	sent := time.Now()
	s.mu.Lock()
	version := len(s.versions) + 1
	s.mu.Unlock()
	s.store.Put(platform.OperatorTopic, platform.DocumentKey, s.document(version))
	s.mu.Lock()
	s.versions = append(s.versions, documentTimes{sent, time.Now()})
	s.mu.Unlock()
	s.logEvent("document %d", version)
}

// drawNodeFault draws a fault of a node or of its way to the store.
func (s *documentsScenario) drawNodeFault(random *rand.Rand) func() {
	n := s.nodes[random.IntN(len(s.nodes))]
	duration := time.Duration(300+random.IntN(4000)) * time.Millisecond
	fault := Fault(1 + random.IntN(int(faultCount)-1))
	kind := random.IntN(5)
	if kind < 4 {
		return s.fault(kind, n, 0, fault, duration)
	}
	return func() {
		s.logEvent("reload %s", n.name)
		n.signal(syscall.SIGHUP)
	}
}

// verify checks that each request was handled as a version allows that may have been in
// force.
func (s *documentsScenario) verify(exchanges map[string]exchange) string {
	for _, e := range exchanges {
		if !strings.HasPrefix(e.request.Path, versionPath) || e.result.Err != nil {
			continue
		}
		s.verifyVersion(e, exchanges)
	}
	return fmt.Sprintf("documents=%d silences=%d checked=%d unsure=%d ", len(s.versions), s.silences, s.checked, s.unsure)
}

func (s *documentsScenario) verifyVersion(e exchange, exchanges map[string]exchange) {
	route, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimPrefix(e.request.Path, versionPath), "/x"))
	isServed, isUnknown := e.result.Status == http.StatusOK, e.result.Status == http.StatusNotFound || e.result.Status == http.StatusUnauthorized
	if e.result.Status == http.StatusServiceUnavailable {
		s.unsure++
	}
	if !isServed && !isUnknown || isUnknown && e.answeredAt.After(s.finalAt) {
		return
	}
	oldest := s.oldestAllowed(e, exchanges)
	if oldest == 0 {
		return
	}
	s.checked++
	for version := oldest; version <= len(s.versions) && s.versions[version-1].sent.Before(e.answeredAt); version++ {
		if hasRoute := version == route || version == route+1; hasRoute == isServed {
			return
		}
	}
	s.recorder.addViolation("%s for %s was answered %d by %s at %.2f s, not as version %d or a later one allows, acknowledged %v before",
		e.request.ID, e.request.Path, e.result.Status, e.node, e.sentAt.Sub(s.startedAt).Seconds(), oldest, e.sentAt.Sub(s.versions[oldest-1].acked))
}

// oldestAllowed returns the oldest version by which a request may be handled, 0 if its node
// had a fault.
func (s *documentsScenario) oldestAllowed(e exchange, exchanges map[string]exchange) int {
	if s.recorder.hadFault(e.node, e.sentAt.Add(-contactTime), e.answeredAt) {
		return 0
	}
	oldest := 1
	for i, d := range s.versions {
		if d.acked.Add(documentBound).Before(e.sentAt) {
			oldest = i + 1
		}
	}
	for _, seen := range exchanges {
		if seen.node != e.node || seen.result.Status != http.StatusOK || !strings.HasPrefix(seen.request.Path, versionPath) || seen.answeredAt.Add(regressionSlack).After(e.sentAt) || s.recorder.hadFault(e.node, seen.sentAt, e.sentAt) {
			continue
		}
		version, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimPrefix(seen.request.Path, versionPath), "/x"))
		oldest = max(oldest, version)
	}
	return oldest
}
