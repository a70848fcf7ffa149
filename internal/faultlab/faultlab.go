// Package faultlab runs the real programs as separate processes against small
// stand-ins for the platform and injects faults from outside: signals, and
// proxies in front of the store and of the backend servers. Faults follow one
// another and overlap. Guarantees are checked only by what callers and backend
// servers observe.
package faultlab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

const readyPath = platform.ReadyPath

// Options holds the flags of a run.
type Options struct {
	Seed      uint64
	Minutes   float64
	Processes int
	// Binary is the path of the gateway program. Empty means coltsfoot-gateway
	// in the directory of this program.
	Binary string
	// Dir is the parent of each round's directory of settings and logs, which
	// is removed after a round without violations. Empty means the system's
	// directory for temporary files.
	Dir string
	// RoundDuration is the duration of fault injection per seed. 0 means
	// defaultRoundDuration.
	RoundDuration time.Duration
	// Scenario is the name of the rounds' scenario. Empty means ScenarioMixed.
	Scenario string
}

const (
	defaultRoundDuration = 20 * time.Second
	serverCount          = 5
	// serverRestartTime is the time for which a crashed backend server is down.
	serverRestartTime = time.Second
	callersPerNode    = 2
	zoneCount         = 4
	// defaultGrace is the time from SIGTERM until a process has to exit.
	defaultGrace = 4 * time.Second
	// maxPrintedViolations bounds the violations of a round that are printed.
	maxPrintedViolations = 200
	// stopTimeout limits the time from a signal to a process's exit: its grace
	// setting and a margin for a busy machine.
	stopTimeout = 20 * time.Second
	// readyTimeout limits the wait until all nodes are ready, after the start and
	// after the last fault, and the wait until each serves the last document.
	readyTimeout = 40 * time.Second
)

// ErrGuaranteeViolated means that a round violated a guarantee.
var ErrGuaranteeViolated = errors.New("a guarantee was violated")

// Run runs one round per seed, from Options.Seed upwards, until Options.Minutes
// have passed. It runs at least one round.
func Run(ctx context.Context, o Options, out io.Writer) error {
	if o.RoundDuration == 0 {
		o.RoundDuration = defaultRoundDuration
	}
	if o.Scenario == "" {
		o.Scenario = ScenarioMixed
	}
	if scenarios[o.Scenario] == nil {
		return errors.Newf("unknown scenario %q", o.Scenario)
	}
	until := time.Now().Add(time.Duration(o.Minutes * float64(time.Minute)))
	var failedSeeds []uint64
	for seed := o.Seed; seed == o.Seed || time.Now().Before(until); seed++ {
		rep, err := runRound(ctx, o, seed, out)
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		fmt.Fprintf(out, "faults: seed=%d %s\n", seed, rep)
		if len(rep.violations) > 0 {
			failedSeeds = append(failedSeeds, seed)
			for _, violation := range rep.violations[:min(len(rep.violations), maxPrintedViolations)] {
				fmt.Fprintf(out, "faults: seed=%d broken: %s\n", seed, violation)
			}
		}
	}
	if len(failedSeeds) > 0 {
		fmt.Fprintf(out, "faults: FAIL: seeds %d\n", failedSeeds)
		return ErrGuaranteeViolated
	}
	fmt.Fprintln(out, "faults: PASS")
	return nil
}

// cluster holds the processes and stand-ins of one round.
type cluster struct {
	options   Options
	seed      uint64
	random    *rand.Rand
	scenario  scenario
	store     *platformtest.Store
	servers   []*platformtest.Server
	proxies   []*proxy
	plans     []serverPlan
	nodes     []*node
	dir       string
	recorder  *recorder
	output    io.Writer
	startedAt time.Time
	// stream holds all events of the servers' streams.
	stream string
	// prepareServer, if set, is called with each server before it is registered.
	prepareServer func(plan serverPlan, s *platformtest.Server, p *proxy)

	// restoring is locked while the store comes back from a copy.
	restoring sync.Mutex
	// documentVersion is the version of the operator's document, and addedAt the time at
	// which the store had the first document with AddedPath. They are guarded by mu.
	mu              sync.Mutex
	documentVersion int
	addedAt         time.Time
}

func runRound(ctx context.Context, o Options, seed uint64, out io.Writer) (*report, error) {
	c := &cluster{options: o, seed: seed, random: rand.New(rand.NewPCG(seed, 77)), recorder: newRecorder(), output: out, startedAt: time.Now(), stream: completeStream()}
	c.scenario = scenarios[o.Scenario](c)
	defer c.close()
	if err := c.start(); err != nil {
		return nil, err
	}
	if !c.awaitReady(readyTimeout) {
		return nil, errors.New("processes did not become ready after the start")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var load sync.WaitGroup
	c.scenario.send(ctx, &load)
	c.scenario.injectFaults(ctx, o.RoundDuration)
	c.clearFaults()
	ready := c.awaitReady(readyTimeout)
	cancel()
	load.Wait()
	rep := c.verify(ready)
	if len(rep.violations) > 0 {
		c.printDiagnostics(out)
	}
	return rep, nil
}

// start starts the store, the backend servers and the node processes.
func (c *cluster) start() error {
	binary := c.options.Binary
	if binary == "" {
		self, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "find the path of this program")
		}
		binary = filepath.Join(filepath.Dir(self), "coltsfoot-gateway")
	}
	dir, err := os.MkdirTemp(c.options.Dir, "faultlab-")
	if err != nil {
		return errors.Wrap(err, "create directory")
	}
	c.dir = dir
	c.store = platformtest.NewStore()
	c.store.SetEra(1)
	c.store.Put(platform.OperatorTopic, platform.DocumentKey, c.scenario.document(1))
	for _, p := range c.scenario.servers() {
		if err := c.addServer(p); err != nil {
			return err
		}
	}
	for i := range c.options.Processes {
		n, err := newNode(dir, binary, i, c.store.Address(), c.scenario.settings(), c.scenario.grace())
		if err != nil {
			return err
		}
		c.nodes = append(c.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// serverPlan describes a backend server of a scenario.
type serverPlan struct {
	id, service, zone string
	restartAfter      time.Duration
}

// addServer starts a backend server behind a proxy and registers it.
func (c *cluster) addServer(plan serverPlan) error {
	s, p, err := c.startServer(plan)
	if err == nil {
		c.store.Put(platform.ServersTopic, plan.id, s.RegistrationAt(p.address(), plan.service, plan.zone, "ready"))
	}
	return err
}

// startServer starts a backend server behind a proxy.
func (c *cluster) startServer(plan serverPlan) (*platformtest.Server, *proxy, error) {
	s := platformtest.NewServer(plan.id, c.scenario.behavior(plan.id))
	p, err := newProxy(s.Address())
	if err != nil {
		return nil, nil, errors.Wrap(err, "start the proxy of a backend server")
	}
	s.RestartAfter = plan.restartAfter
	s.OnCrash = p.refuse
	s.OnRestart = func() {
		if err := p.listenAgain(s.Address()); err != nil {
			c.recordError(errors.Wrapf(err, "restart server %s", plan.id))
		}
		c.register(plan.id, s.RegistrationAt(p.address(), plan.service, plan.zone, "ready"))
	}
	c.servers, c.proxies, c.plans = append(c.servers, s), append(c.proxies, p), append(c.plans, plan)
	if c.prepareServer != nil {
		c.prepareServer(plan, s, p)
	}
	return s, p, nil
}

func zoneName(i int) string { return fmt.Sprint("zone-", i%zoneCount) }

// register writes a backend server's registration, again and again until the store
// has accepted it or the round is over.
func (c *cluster) register(id string, registration []byte) {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if c.store.TryPut(platform.ServersTopic, id, registration) == nil {
			return
		}
	}
	c.recordError(errors.Newf("server %s could not register", id))
}

// serverFaults returns a function that selects the Behavior of a backend server for its
// n-th request: about 1 in 20 requests gets a faulty one, half of these an answer that is
// cut. In some seconds a server rejects all requests and asks for a backoff.
func (c *cluster) serverFaults(id string) func(int, platformtest.Run) platformtest.Behavior {
	faulty := []platformtest.Behavior{
		platformtest.ServerError, platformtest.RejectNotRun, platformtest.OmitSeal, platformtest.DuplicateAnswer, platformtest.OmitLength,
	}
	return func(n int, r platformtest.Run) platformtest.Behavior {
		if r.Body == crashingBody {
			return platformtest.Crash
		}
		if backoff := c.backoffOf(id, r.At); backoff > 0 {
			return platformtest.Behavior{Head: platformtest.HeadNotRun, RetryAfter: strconv.FormatFloat(backoff.Seconds(), 'f', 3, 64)}
		}
		random := rand.New(rand.NewPCG(c.seed, xxhash.Sum64String(fmt.Sprint(id, " ", n))))
		switch random.IntN(40) {
		case 0:
			return platformtest.RandomCut(random)
		case 1:
			return faulty[random.IntN(len(faulty))]
		}
		return platformtest.CompleteAnswer
	}
}

const (
	// overloadPeriod divides a round into periods, of which a server is overloaded in one
	// of overloadShare, for overloadTime.
	overloadPeriod = 2 * time.Second
	overloadTime   = 300 * time.Millisecond
	overloadShare  = 4
	maxBackoff     = 1500 * time.Millisecond
)

// backoffOf returns the time for which a server wants no requests at the time at, 0 if it
// wants some.
func (c *cluster) backoffOf(id string, at time.Time) time.Duration {
	since := at.Sub(c.startedAt)
	random := rand.New(rand.NewPCG(c.seed, xxhash.Sum64String(fmt.Sprint(id, " overload ", int(since/overloadPeriod)))))
	if random.IntN(overloadShare) > 0 || since%overloadPeriod > overloadTime {
		return 0
	}
	return time.Duration(random.Int64N(int64(maxBackoff)))
}

// awaitReady waits until all nodes are ready, at most for the timeout, and reports
// whether they are.
func (c *cluster) awaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, n := range c.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(c.nodes) {
			return true
		}
	}
	return false
}

// injectFaults starts randomly drawn faults for the total time. A fault may
// start before the previous ones have ended. injectFaults returns when all have
// ended.
func (c *cluster) injectFaults(ctx context.Context, total time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		duration := time.Duration(300+c.random.IntN(4000)) * time.Millisecond
		f := c.drawFault(duration)
		running.Go(f)
		time.Sleep(time.Duration(c.random.IntN(1500)) * time.Millisecond)
	}
}

// drawFault draws a fault and returns the function that applies it for the
// duration and then ends it. A process that it stops is restarted after a
// quarter of the duration.
func (c *cluster) drawFault(duration time.Duration) func() {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	i := c.random.IntN(len(c.proxies))
	fault := Fault(1 + c.random.IntN(int(faultCount)-1))
	kind := c.random.IntN(11)
	return c.fault(kind, n, i, fault, duration)
}

// fault returns the function that applies a fault of the given kind to the node n, the
// server i or the store.
func (c *cluster) fault(kind int, n *node, i int, fault Fault, duration time.Duration) func() {
	return func() {
		for _, affected := range c.affectedBy(kind, n, i) {
			defer c.recorder.addFault(affected)()
		}
		switch kind {
		case 0:
			c.logEvent("kill %s", n.name)
			n.restart(func() { n.stop(syscall.SIGKILL, stopTimeout) }, duration/4, c.recordError)
		case 1:
			c.logEvent("terminate %s", n.name)
			n.restart(func() {
				if !n.stop(syscall.SIGTERM, stopTimeout) {
					c.recordError(errors.Newf("%s did not exit after SIGTERM and was killed", n.name))
				}
			}, duration/4, c.recordError)
		case 2:
			c.logEvent("pause %s for %v", n.name, duration)
			n.signal(syscall.SIGSTOP)
			time.Sleep(duration)
			n.signal(syscall.SIGCONT)
		case 3:
			c.logEvent("store of %s: %v for %v", n.name, fault, duration)
			n.storeProxy.setFault(fault)
			time.Sleep(duration)
			n.storeProxy.setFault(NoFault)
		case 4, 5:
			c.logEvent("server %d: %v for %v", i, fault, duration)
			c.proxies[i].setFault(fault)
			time.Sleep(duration)
			c.proxies[i].setFault(NoFault)
		case 6:
			c.logEvent("store loses answers for %v", duration)
			c.store.SetFaults(logservice.Faults{AnswerLossRatio: 0.3})
			time.Sleep(duration)
			c.store.SetFaults(logservice.Faults{})
		case 7:
			c.logEvent("store down for %v", duration)
			c.store.SetFaults(logservice.Faults{Outage: true})
			time.Sleep(duration)
			c.store.SetFaults(logservice.Faults{})
		case 8:
			c.logEvent("kill all")
			var killed sync.WaitGroup
			for _, n := range c.nodes {
				killed.Go(func() {
					n.restart(func() { n.stop(syscall.SIGKILL, stopTimeout) }, duration/4, c.recordError)
				})
			}
			killed.Wait()
		case 9:
			c.logEvent("server %d leaves", i)
			c.servers[i].Leave()
			time.Sleep(leaveTime)
			c.servers[i].Crash()
		case 10:
			c.restoreStore(duration/2, duration/4)
		}
	}
}

// leaveTime is the time for which a server goes on after it has stated that it leaves. Its
// entry does not state it.
const leaveTime = 4 * time.Second

// affectedBy returns what a kind of fault affects, as in nodeFault.
func (c *cluster) affectedBy(kind int, n *node, server int) []string {
	switch {
	case kind < 4:
		return []string{n.name}
	case kind < 6:
		return []string{serverName(server)}
	case kind == 8:
		var all []string
		for _, n := range c.nodes {
			all = append(all, n.name)
		}
		return all
	case kind >= 9:
		return nil
	}
	return []string{""}
}

func serverName(i int) string { return fmt.Sprint("server ", i) }

// restart stops a process and starts it again after the pause. It does nothing
// if a restart of the process is already in progress.
func (n *node) restart(stop func(), pause time.Duration, onError func(error)) {
	if !n.restarting.TryLock() {
		return
	}
	defer n.restarting.Unlock()
	n.signal(syscall.SIGCONT)
	stop()
	time.Sleep(pause)
	if err := n.start(); err != nil {
		onError(err)
	}
}

func (c *cluster) logEvent(format string, args ...any) {
	c.recorder.addEvent(fmt.Sprintf("%6.2f s ", time.Since(c.startedAt).Seconds()) + fmt.Sprintf(format, args...))
}

func (c *cluster) recordError(err error) { c.recorder.addViolation("%v", err) }

// clearFaults ends all faults and publishes a second document.
func (c *cluster) clearFaults() {
	for _, n := range c.nodes {
		n.signal(syscall.SIGCONT)
		n.storeProxy.setFault(NoFault)
	}
	for _, p := range c.proxies {
		p.setFault(NoFault)
	}
	c.store.SetFaults(logservice.Faults{})
	// All nodes have to receive the new document, regardless of earlier faults.
	c.store.Put(platform.OperatorTopic, platform.DocumentKey, c.scenario.document(platformtest.FinalVersion))
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.signal(syscall.SIGCONT)
		n.stop(syscall.SIGKILL, stopTimeout)
		n.storeProxy.close()
	}
	for i := range c.servers {
		c.proxies[i].close()
		c.servers[i].Close()
	}
	if c.store != nil {
		c.store.Close()
	}
	if len(c.recorder.violations()) == 0 {
		_ = os.RemoveAll(c.dir)
	}
}

// printDiagnostics prints the directory of a failed round's logs and the faults
// that were injected.
func (c *cluster) printDiagnostics(out io.Writer) {
	fmt.Fprintf(out, "faults: logs in %s\n", c.dir)
	for _, line := range c.recorder.events() {
		fmt.Fprintf(out, "faults: %s\n", line)
	}
}
