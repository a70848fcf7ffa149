package faultlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// ScenarioEndless is the scenario of servers whose bytes never end.
const ScenarioEndless = "endless"

func init() {
	scenarios[ScenarioEndless] = func(c *cluster) scenario { return newEndlessScenario(c) }
}

const (
	endlessServerCount = 6
	// endlessCallersPerNode is the number of requests that are open at a node.
	endlessCallersPerNode = 24
	// memoryLimitMB is the memory of the smallest VM.
	memoryLimitMB = 184
	// memorySampleInterval is the interval at which the processes' memory is read.
	memorySampleInterval = 100 * time.Millisecond
	// minServedShare bounds the share of served requests among those that met no endless
	// answer. It is judged from minJudgedRequests on.
	minServedShare = 0.9
	// maxOpenTime is the time for which a connection with an endless answer may stay open
	// after the caller has got its answer.
	maxOpenTime = 500 * time.Millisecond
)

// endlessScenario is the scenario ScenarioEndless.
type endlessScenario struct {
	*cluster
	// allEndless is the number of servers whose answers are all endless. Of the answers of
	// the others one in endlessShare is, none if it is 0.
	allEndless, endlessShare int
	// only is the behavior of all endless answers, if it is set.
	only *platformtest.Behavior

	// isOver is set when the faults have ended: all answers are complete from then on.
	isOver atomic.Bool
	mu     sync.Mutex
	// peakKB is the highest memory of a process, peakNode its node.
	peakKB   int
	peakNode string
}

func newEndlessScenario(c *cluster) *endlessScenario {
	random := rand.New(rand.NewPCG(c.seed, 80))
	e := &endlessScenario{cluster: c}
	switch random.IntN(4) {
	case 0:
		e.allEndless = 1 + random.IntN(2)
	case 1:
		e.endlessShare = 4 + random.IntN(12)
	case 2:
		e.allEndless, e.endlessShare = 1, 8+random.IntN(8)
	case 3:
		e.allEndless = endlessServerCount
	}
	if random.IntN(2) == 0 {
		b := platformtest.RandomEndless(random)
		e.only = &b
	}
	return e
}

func (e *endlessScenario) servers() []serverPlan {
	var plans []serverPlan
	for i := range endlessServerCount {
		plans = append(plans, serverPlan{fmt.Sprint("s-", i), platformtest.Service, zoneName(i), serverRestartTime})
	}
	return plans
}

func (e *endlessScenario) settings() string {
	return fmt.Sprintf("[vm]\nmemory_mb = %d\n", memoryLimitMB)
}

func (e *endlessScenario) grace() time.Duration { return defaultGrace }

func (e *endlessScenario) document(version int) []byte { return platformtest.Document(version) }

func (e *endlessScenario) behavior(id string) func(int, platformtest.Run) platformtest.Behavior {
	isEndless := func(random *rand.Rand) bool { return e.endlessShare > 0 && random.IntN(e.endlessShare) == 0 }
	for i := range e.allEndless {
		if id == fmt.Sprint("s-", i) {
			isEndless = func(*rand.Rand) bool { return true }
		}
	}
	return func(n int, _ platformtest.Run) platformtest.Behavior {
		random := rand.New(rand.NewPCG(e.seed, xxhash.Sum64String(fmt.Sprint(id, " ", n))))
		if isEndless(random) && !e.isOver.Load() {
			if e.only != nil {
				return *e.only
			}
			return platformtest.RandomEndless(random)
		}
		return platformtest.Behavior{EventPause: time.Duration(random.Int64N(int64(maxEventPause)))}
	}
}

func (e *endlessScenario) send(ctx context.Context, load *sync.WaitGroup) {
	for i, n := range e.nodes {
		for k := range endlessCallersPerNode {
			load.Go(func() {
				e.sendRequests(ctx, n, rand.New(rand.NewPCG(e.seed, uint64(100+i*endlessCallersPerNode+k))), fmt.Sprintf("%d-%d-%d", e.seed, i, k))
			})
		}
	}
	load.Go(func() { e.sampleMemory(ctx) })
}

// injectFaults waits: the only faults are those of the servers' answers.
func (e *endlessScenario) injectFaults(ctx context.Context, total time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(total):
	}
	e.isOver.Store(true)
}

// sampleMemory reads the peak memory of all processes until ctx ends.
func (e *endlessScenario) sampleMemory(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range e.nodes {
			peak, err := n.peakMemoryKB()
			if err != nil {
				e.recordError(err)
				return
			}
			e.mu.Lock()
			if peak > e.peakKB {
				e.peakKB, e.peakNode = peak, n.name
			}
			e.mu.Unlock()
		}
		time.Sleep(memorySampleInterval)
	}
}

// peakMemoryKB returns the highest resident memory of the node's process so far.
func (n *node) peakMemoryKB() (int, error) {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrapf(err, "read the memory of %s", n.name)
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			return kb, errors.Wrapf(err, "decode the memory of %s", n.name)
		}
	}
	return 0, errors.Newf("the status of %s has no VmHWM", n.name)
}

func (e *endlessScenario) verify(exchanges map[string]exchange) string {
	var endless, answered, open, sound, served int
	visits := e.visits()
	for id, x := range exchanges {
		isServed := x.result.Err == nil && x.result.Status == http.StatusOK
		isEndless := slices.ContainsFunc(visits[id], func(v visit) bool { return v.Behavior.Endless != platformtest.NotEndless })
		switch {
		case isEndless:
			endless++
			if isServed {
				answered++
			}
		default:
			sound++
			if isServed {
				served++
			}
		}
		for _, v := range visits[id] {
			if v.Behavior.Endless != platformtest.NotEndless && (v.EndedAt.IsZero() || v.EndedAt.Sub(x.answeredAt) > maxOpenTime) {
				open++
				e.recorder.addViolation("%s: the connection to server %d, whose answer never ends, was open for over %v after the answer to the caller", id, v.server, maxOpenTime)
			}
		}
	}
	if e.peakKB > memoryLimitMB<<10 {
		e.recorder.addViolation("%s used %d KB of memory, its VM has %d MB", e.peakNode, e.peakKB, memoryLimitMB)
	}
	if sound >= minJudgedRequests && float64(served) < minServedShare*float64(sound) {
		e.recorder.addViolation("%d of %d requests that met no endless answer were served", served, sound)
	}
	kind := "all"
	if e.only != nil {
		kind = fmt.Sprintf("%d/%d", e.only.Endless, e.only.Framing)
	}
	return fmt.Sprintf("endless-servers=%d endless-share=%d endless-kind=%s endless=%d endless-answered=%d endless-open=%d others=%d others-served=%d peak-kb=%d ",
		e.allEndless, e.endlessShare, kind, endless, answered, open, sound, served, e.peakKB)
}
