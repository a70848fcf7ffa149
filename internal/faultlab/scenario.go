package faultlab

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// ScenarioMixed is the scenario of all faults that have no scenario of their own.
const ScenarioMixed = "mixed"

// scenario is the part of a round that depends on Options.Scenario.
type scenario interface {
	// servers describes the backend servers.
	servers() []serverPlan
	// settings returns further sections of the nodes' settings.
	settings() string
	// grace returns the time from SIGTERM until a node has to exit.
	grace() time.Duration
	// document returns the operator's document of a version.
	document(version int) []byte
	// behavior returns a function that selects the Behavior of a server for its n-th
	// request.
	behavior(serverID string) func(n int, r platformtest.Run) platformtest.Behavior
	// send starts the callers, which send requests until ctx ends.
	send(ctx context.Context, load *sync.WaitGroup)
	// injectFaults injects faults for the duration and returns when all have ended.
	injectFaults(ctx context.Context, duration time.Duration)
	// verify adds the violations of the scenario's own guarantees to the recorder, and
	// returns its counts as in report.
	verify(exchanges map[string]exchange) string
}

var scenarios = map[string]func(c *cluster) scenario{
	ScenarioMixed: func(c *cluster) scenario { return &mixedScenario{c} },
}

// Scenarios returns the names of all scenarios, sorted.
func Scenarios() []string { return slices.Sorted(maps.Keys(scenarios)) }

// mixedScenario draws from all kinds of faults in drawFault.
type mixedScenario struct{ *cluster }

func (m *mixedScenario) servers() []serverPlan {
	var plans []serverPlan
	for i := range serverCount {
		plans = append(plans, serverPlan{fmt.Sprint("s-", i), platformtest.Service, zoneName(0), serverRestartTime})
	}
	return plans
}

func (m *mixedScenario) settings() string { return "" }

func (m *mixedScenario) grace() time.Duration { return defaultGrace }

func (m *mixedScenario) document(version int) []byte { return platformtest.Document(version) }

func (m *mixedScenario) behavior(serverID string) func(int, platformtest.Run) platformtest.Behavior {
	return m.serverFaults(serverID)
}

func (m *mixedScenario) send(ctx context.Context, load *sync.WaitGroup) {
	for i, n := range m.nodes {
		for k := range callersPerNode {
			load.Go(func() {
				m.sendRequests(ctx, n, rand.New(rand.NewPCG(m.seed, uint64(100+i*callersPerNode+k))), fmt.Sprintf("%d-%d-%d", m.seed, i, k))
			})
		}
	}
	load.Go(func() {
		m.sendCrashingRequests(ctx, rand.New(rand.NewPCG(m.seed, 99)), fmt.Sprintf("%d-crash", m.seed))
	})
}

func (m *mixedScenario) verify(map[string]exchange) string { return "" }
