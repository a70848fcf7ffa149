// Package entry implements the node that serves callers on an entry VM. It
// returns the addresses of entry VMs, admits requests, routes them to backend
// servers, streams complete answers and drains on shutdown. The rules that it
// follows, such as those of admission, routing and retries, are in the packages
// under internal/coordination.
package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/admission"
	"coltsfootpath.example/coltsfootpath/internal/coordination/cacheview"
	"coltsfootpath.example/coltsfootpath/internal/coordination/claims"
	"coltsfootpath.example/coltsfootpath/internal/coordination/evidence"
	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/coordination/registry"
	"coltsfootpath.example/coltsfootpath/internal/coordination/retry"
	"coltsfootpath.example/coltsfootpath/internal/coordination/routing"
	"coltsfootpath.example/coltsfootpath/internal/coordination/shedding"
	"coltsfootpath.example/coltsfootpath/internal/coordination/suspects"
	"coltsfootpath.example/coltsfootpath/internal/coordination/tail"
	"coltsfootpath.example/coltsfootpath/internal/metrics"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/calls"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
	"coltsfootpath.example/coltsfootpath/internal/state/requests"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
	"coltsfootpath.example/coltsfootpath/internal/transport/peer"
)

// Dependencies holds the external services and the clock that a node uses.
type Dependencies struct {
	Log     ports.Log
	Cloud   ports.Cloud
	Engine  ports.Engine
	Service ports.PlainService
	Clock   ports.Clock
}

// Node is the entry process of one VM.
type Node struct {
	settings Settings
	deps     Dependencies
	clock    ports.Clock
	metrics  *Metrics
	// incarnation distinguishes this process from earlier ones on the same VM.
	incarnation uint32

	// The state replayed from the control stream.
	control         *tail.ControlReplay
	controlFollower *tail.Follower

	// Claims and outcomes of calls that must not be repeated.
	claimTable    *claims.Table
	claimWriter   *claims.Writer
	claimer       *claims.Claimer
	claimFollower *tail.Follower
	calls         *callMetrics

	// Entry VMs: listed is the cloud's list, entryVMs is that list corrected by
	// the membership states.
	members *members
	// callerMemory is what callers make the process hold.
	callerMemory *shedding.Table
	refusalLog   *httpserver.RefusalLog
	listed       atomic.Pointer[[]fleet.VM]
	entryVMs     atomic.Pointer[[]fleet.VM]

	// Backend servers and the routing to them.
	backends *fleet.Table
	cache    *cacheview.View
	health   *health.Table
	router   *routing.Router
	// leavingServers queues the backend servers that came under a reclaim
	// notice.
	leavingServers chan fleet.VM

	// Requests, from their admission to the worker that runs them. waiting holds
	// the requests that have not started, workQueue holds those that a worker
	// takes next. lastID is the last number given to an attempt, an unkeyed
	// request or a claim.
	limiter         *admission.Limiter
	requests        *requests.Table
	waiting         *waitQueue
	workQueue       chan *requestRun
	runningAttempts runningSet
	runs            *runTable
	lastID          atomic.Uint64

	// State shared by entry VMs: the owners of keys, and the requests that are
	// suspected of crashing backend servers.
	registry *registry.Table
	suspects *suspects.Table

	// Retry budgets by workspace and by backend server.
	workspaceBudgets *retry.Budgets
	serverBudgets    *retry.Budgets

	// Counts of answers, for version moves and for service levels.
	evidence *evidence.Counter
	burn     *burnCounter

	draining atomic.Bool
	// underReclaimNotice is set when this VM first comes under a reclaim notice.
	underReclaimNotice atomic.Bool

	callerServer  *httpserver.Server
	metricsServer *httpserver.Server
	peers         *peer.Server
	peerPool      *peer.Pool

	// ctx is cancelled by Close.
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	tasks      tasks
}

var (
	workspaceRetryBudget = retry.Config{Ratio: 0.2, Reserve: 20, PerSecond: 1}
	serverRetryBudget    = retry.Config{Ratio: 0.2, Reserve: 20, PerSecond: 5}
)

// maxLeavingServers bounds the servers that wait for an evacuation plan.
const maxLeavingServers = 4096

// Start starts an entry node and returns once it listens on all addresses.
func Start(settings Settings, deps Dependencies) (*Node, error) {
	n := newNode(settings, deps)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.listen(); err != nil {
		n.Close()
		return nil, err
	}
	n.usePeerStates()
	n.startLoops(n.ctx)
	klog.Infof("entry: started vm=%s zone=%s caller=%s peer=%s", settings.VM, settings.AvailabilityZone, n.CallerAddress(), n.PeerAddress())
	return n, nil
}

func newNode(settings Settings, deps Dependencies) *Node {
	n := &Node{
		settings:         settings,
		deps:             deps,
		clock:            deps.Clock,
		metrics:          newMetrics(),
		control:          tail.NewControlReplay(control.New()),
		claimTable:       claims.NewTable(callLimits, deps.Clock),
		backends:         fleet.NewTable(),
		requests:         requests.NewTable(settings.MaxOpenRequests, int64(requestMemoryShare*settings.MemoryMB*megabyte), settings.FinishedRetention),
		limiter:          admission.NewLimiter(),
		workspaceBudgets: retry.NewBudgets(workspaceRetryBudget),
		workQueue:        make(chan *requestRun, settings.Workers),
		peerPool:         peer.NewPool(),
		runningAttempts:  newRunningSet(),
		runs:             newRunTable(),
		registry:         registry.NewTable(maxRegistrations),
		suspects:         suspects.NewTable(),
		leavingServers:   make(chan fleet.VM, maxLeavingServers),
		serverBudgets:    retry.NewBudgets(serverRetryBudget),
		incarnation:      rand.Uint32(),
		burn:             newBurnCounter(),
		waiting:          newWaitQueue(settings.MaxOpenRequests),
		evidence:         evidence.NewCounter(settings.VM, uint64(deps.Clock.Now().UnixNano())),
	}
	n.listed.Store(&[]fleet.VM{})
	n.entryVMs.Store(&[]fleet.VM{})
	n.cache, n.health = n.newCache(), n.newHealth()
	n.router = n.newRouter()
	n.controlFollower = tail.NewFollower(deps.Log, n.clock, control.Stream, 1, n.control)
	n.claimFollower = tail.NewFollower(deps.Log, n.clock, calls.Stream, 1, n.claimTable)
	n.claimWriter = claims.NewWriter(deps.Log, n.clock)
	n.claimer = claims.NewClaimer(n.claimTable, n.claimWriter, n.claimFollower, n.clock)
	n.calls = newCallMetrics(n.metrics.registry, n.claimTable)
	n.control.Watch(func(tail.Applied) { n.configureLimits() })
	n.backends.OnLeave(n.queueLeaving)
	return n
}

// listen opens all addresses. Peers are served last, because the replies to
// them contain the address for callers.
func (n *Node) listen() error {
	listener, err := peer.Listen(n.settings.PeerListen)
	if err != nil {
		return err
	}
	budget := httpserver.NewBudget(n.settings.MemoryMB*megabyte, n.settings.MaxDescriptors)
	n.callerMemory = shedding.NewTable(budget.MemoryBytes)
	n.refusalLog = httpserver.NewRefusalLog(n.clock.Now, n.logRefusal)
	n.metricsServer, err = metrics.Serve(n.settings.MetricsListen, n.metrics.registry, n.Ready, n.callerMemory, n.recordRefusal)
	if err != nil {
		return err
	}
	n.callerServer, err = httpserver.Start(httpserver.Config{
		Name:           "callers",
		Address:        n.settings.Listen,
		Handler:        n.handler(),
		MaxBodyBytes:   n.settings.MaxBodyBytes,
		MaxConnections: budget.Connections,
		Memory:         n.callerMemory,
		OnRefuse:       n.recordRefusal,
	})
	if err != nil {
		return err
	}
	n.settings.advertise(n.callerServer.Address(), listener.Addr().String())
	n.members = newMembers(n)
	n.peers, err = peer.Serve(listener, &peerServer{node: n})
	return err
}

// recordRefusal counts a connection that was rejected or closed because of what its caller did,
// and logs some of them.
func (n *Node) recordRefusal(r httpserver.Refusal) {
	n.metrics.refusedConnections.WithLabelValues(r.Server, r.Reason).Inc()
	n.refusalLog.Add(r)
}

func (n *Node) logRefusal(r httpserver.Refusal, count int) {
	used, running := n.callerMemory.Used()
	klog.Warningf("entry: refused connection listener=%s reason=%s count=%d caller=%s status=%d held=%d held-by-all=%d running=%d",
		r.Server, r.Reason, count, r.Caller, r.Status, r.HeldBytes, used, running)
}

func (n *Node) startLoops(ctx context.Context) {
	n.spawn(func() { n.controlFollower.Run(ctx) })
	n.spawn(func() { n.claimFollower.Run(ctx) })
	n.spawn(func() { n.claimWriter.Run(ctx) })
	n.spawn(func() { n.members.run(ctx) })
	n.spawn(func() { n.claimer.AppendHeartbeats(ctx, n.settings.VM) })
	n.spawn(func() { n.watchCloud(ctx) })
	n.spawn(func() { n.pollLoads(ctx) })
	n.spawn(func() { n.sweep(ctx) })
	n.spawn(func() { n.watchRegistrars(ctx) })
	n.spawn(func() { n.watchLeaving(ctx) })
	n.spawn(func() { n.watchReclaimNotice(ctx) })
	n.spawn(func() { n.dispatch(ctx) })
	n.spawn(func() { n.watchMoves(ctx) })
	for range n.settings.Workers {
		n.spawn(func() { n.runWorker(ctx) })
	}
}

// spawn runs f in a goroutine that Close waits for.
func (n *Node) spawn(f func()) {
	n.goroutines.Go(f)
}

// CallerAddress returns the address for callers.
func (n *Node) CallerAddress() string {
	return n.callerServer.Address()
}

// PeerAddress returns the address for other entry VMs.
func (n *Node) PeerAddress() string {
	return n.peers.Address()
}

// Registry returns the registry of the node's metrics.
func (n *Node) Registry() *prometheus.Registry {
	return n.metrics.registry
}

// Ready reports whether the node has a document and is not draining.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.control.State().Document != nil
}

// Drain shuts the node down gracefully, within DrainTimeout. It continues to
// serve while callers may still use its address, waits for open requests or
// hands them over, and closes connections after all written data has reached
// the callers.
func (n *Node) Drain(ctx context.Context) error {
	n.draining.Store(true)
	n.members.leave()
	klog.Infof("entry: draining vm=%s open=%d", n.settings.VM, n.requests.OpenCount())
	ctx, cancel := context.WithTimeout(ctx, n.settings.DrainTimeout)
	defer cancel()
	n.waitForAddressExpiry(ctx)
	n.handOverAll(ctx)
	n.redirectFollowers()
	err := n.callerServer.Shutdown(ctx)
	err = errors.CombineErrors(err, n.tasks.drain(ctx))
	n.Close()
	return err
}

// waitForAddressExpiry waits until this node's address has expired from the caches
// of callers and no request is open. It returns earlier, after three quarters of
// DrainTimeout, to leave time for the handover.
func (n *Node) waitForAddressExpiry(ctx context.Context) {
	expired := n.clock.After(n.settings.AddressTTL)
	handOver := n.clock.After(n.settings.DrainTimeout * 3 / 4)
	select {
	case <-expired:
	case <-handOver:
		return
	case <-ctx.Done():
		return
	}
	for n.requests.OpenCount() > 0 {
		select {
		case <-n.clock.After(drainPollInterval):
		case <-handOver:
			return
		case <-ctx.Done():
			return
		}
	}
}

const drainPollInterval = 20 * time.Millisecond

// Close stops the node immediately, without draining or handover, and waits for
// its goroutines.
func (n *Node) Close() {
	n.cancel()
	if n.callerServer != nil {
		n.callerServer.Close()
	}
	if n.metricsServer != nil {
		n.metricsServer.Close()
	}
	if n.peers != nil {
		n.peers.Close()
	}
	n.peerPool.Close()
	n.tasks.close()
	n.goroutines.Wait()
}

const sweepInterval = time.Second

// sweep removes expired state and cancels unread requests each sweepInterval
// until ctx ends.
func (n *Node) sweep(ctx context.Context) {
	for {
		select {
		case <-n.clock.After(sweepInterval):
			now := n.clock.Now()
			n.requests.Sweep(now)
			n.registry.Sweep(now)
			n.suspects.Sweep(now)
			n.cancelUnread(now)
		case <-ctx.Done():
			return
		}
	}
}

// cancelUnread ends the requests that no caller has read for UnreadTimeout. A
// caller retry reopens such a request with the tokens generated so far.
func (n *Node) cancelUnread(now time.Time) {
	for _, req := range n.requests.UnreadRequests(now, n.settings.UnreadTimeout) {
		klog.V(1).Infof("entry: unread request cancelled key=%s", req.ID.Key)
		n.metrics.unreadRequests.Inc()
		n.finishWithError(req, withRetryAfter(0, newError(callerapi.Cancelled, callerapi.RunUnknown, "no caller read the answer")))
	}
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
