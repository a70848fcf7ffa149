// Package gateway implements the main process of an entry VM on an operator's
// platform. A node follows the platform's store, serves the directory of
// addresses to callers, routes requests to backend servers, and takes part in the
// deployment's singleton duties. Decisions are made in the packages below
// internal/coordination; the platform's wire format is confined to package
// platform.
package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"coltsfootpath.example/coltsfootpath/internal/coordination/coldservers"
	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/coordination/quota"
	"coltsfootpath.example/coltsfootpath/internal/coordination/retry"
	"coltsfootpath.example/coltsfootpath/internal/coordination/serverlinks"
	"coltsfootpath.example/coltsfootpath/internal/coordination/shedding"
	"coltsfootpath.example/coltsfootpath/internal/coordination/topicview"
	"coltsfootpath.example/coltsfootpath/internal/coordination/usage"
	"coltsfootpath.example/coltsfootpath/internal/eventlog"
	monitor "coltsfootpath.example/coltsfootpath/internal/metrics"
	"coltsfootpath.example/coltsfootpath/internal/protocol/relayapi"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
	"coltsfootpath.example/coltsfootpath/internal/state/storelog"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
	"coltsfootpath.example/coltsfootpath/internal/transport/peer"
	"coltsfootpath.example/coltsfootpath/platform"
)

// healthConfig rates servers by the outcomes of this node's own attempts. An
// ejected server is tried again soon, because engines restart within seconds.
var healthConfig = health.Config{
	MaxConsecutiveFailures: 3,
	MaxFailureRatio:        0.5,
	SlowFactor:             3,
	MinSamples:             6,
	MaxEjectedShare:        0.4,
	EjectionTime:           time.Second,
	MaxEjectionTime:        8 * time.Second,
	TrialWeight:            0.1,
	TrialSuccesses:         2,
	RampTime:               500 * time.Millisecond,
	SlowdownDecayTime:      10 * time.Second,
}

const (
	// quotaExtraShare is the share of the platform's quota slack that workspaces may
	// use. The rest covers admissions that nodes have not yet reported to each other.
	quotaExtraShare = 0.5
	// retryRatioShare is the share of the platform's retry ratio that is used. The
	// platform may count fewer requests in its windows than nodes count in theirs.
	retryRatioShare = 0.85
	// retrySlackShare is the share of the platform's retry slack that is used. The
	// rest is for nodes that restart and have lost their counts.
	retrySlackShare = 0.5
	// sweepInterval is the interval at which expired table entries are removed.
	sweepInterval = 500 * time.Millisecond
	// maxAnswerBytes bounds an answer that is buffered before it is forwarded.
	maxAnswerBytes = 8 << 20
	// defaultMaxBodyBytes bounds request bodies while no document is loaded, and
	// where the document sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// requestLineBytes is allowed for the method, the version and blanks of a head beyond the
	// document's limit, which checkHead applies.
	requestLineBytes = 1 << 10
	// maxConcurrentRequests bounds the requests that are handled at the same time.
	maxConcurrentRequests = 4096
)

// Node is the main process of one entry VM.
type Node struct {
	// settings holds the settings with which the process started. liveSettings holds
	// those that were loaded last; settings that a running node can change are read
	// from there.
	settings     Settings
	liveSettings atomic.Pointer[Settings]
	incarnation  uint64
	log          *eventlog.Logger
	metrics      *metrics
	platform     *platform.Client

	document         atomic.Pointer[deployment.Document]
	backends         *backendTable
	health           *health.Table
	quota            *quota.Limiter
	retries          *retry.Windows
	usage            *usage.Table
	members          *members
	operatorFollower *follower
	serverFollower   *follower
	peerServer       *peer.Server
	peerPool         *peer.Pool
	duties           *duties
	storeReads       *storeReads
	clock            *wallClock
	work             *workMeter
	serverChecks     *serverChecks
	endChecks        *endChecks
	checks           *checkSlots
	answerMemory     *answerMemory
	callerBudget     httpserver.Budget
	callerMemory     *shedding.Table
	refusalLog       *httpserver.RefusalLog
	rejectionLines   lineLimit
	quarantiner      *quarantiner
	limits           *serverLimits
	places           *serverPlaces
	links            *serverlinks.Table
	tunnels          *tunnels
	moves            *versionMoves
	// ratesLoggedAt is the time at which the learned rates were logged last. Only the sweep
	// uses it.
	ratesLoggedAt time.Time

	openRequests atomic.Int64
	draining     atomic.Bool
	// closing is set when a draining node starts to reject new requests.
	closing         atomic.Bool
	callerServer    *httpserver.Server
	readyServer     *httpserver.Server
	directoryServer *httpserver.Server
	metricsServer   *httpserver.Server

	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// Start starts a node and returns once it is listening. Log lines are written to
// out.
func Start(settings Settings, out io.Writer) (*Node, error) {
	n := newNode(settings, out)
	if err := n.start(); err != nil {
		return nil, err
	}
	return n, nil
}

// start starts a new node, which is closed if that fails.
func (n *Node) start() error {
	settings := &n.settings
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.listen(); err != nil {
		n.Close()
		return err
	}
	n.startLoops()
	n.log.Event("gateway", "started", "vm", settings.VM, "zone", settings.AvailabilityZone, "incarnation", n.incarnation, "callers", settings.CallerAddress, "peers", settings.PeerAddress, "store", settings.StoreAddress)
	return nil
}

func newNode(settings Settings, out io.Writer) *Node {
	n := &Node{
		settings:    settings,
		incarnation: max(uint64(time.Now().UnixMilli()), 1),
		log:         eventlog.New(out),
		metrics:     newMetrics(),
		storeReads:  newStoreReads(),
		clock:       newWallClock(),
		work:        newWorkMeter(),
	}
	n.liveSettings.Store(&settings)
	n.platform = platform.NewClient(settings.StoreAddress, settings.CloudAddress, platform.Hooks{OnCall: n.countPlatformCall, OnEra: n.recordEra})
	n.health = health.New(healthConfig, n.now())
	n.health.OnChange(func(k health.Key, phase string) {
		n.log.Event("health", "verdict", "server", k.Server, "service", k.Model, "phase", phase)
		n.metrics.healthVerdicts.WithLabelValues(k.Model, phase).Inc()
	})
	n.backends = newBackendTable(n.health)
	n.backends.sourceAddress = settings.SourceAddress
	n.backends.costs.SetLearning(settings.LearnedCost)
	n.quota = quota.New(quotaExtraShare * settings.QuotaSlack)
	n.usage = usage.NewTable(usage.Source{VM: settings.VM, Incarnation: n.incarnation})
	n.members = newMembers(n)
	n.operatorFollower = newFollower(n, platform.OperatorTopic, func() time.Duration { return n.liveSettings.Load().operatorBound() }, operatorRecordVersion, n.applyOperatorRecord)
	n.serverFollower = newFollower(n, platform.ServersTopic, func() time.Duration { return n.liveSettings.Load().LeaveBound }, serverRecordVersion, n.applyServerRecord)
	n.serverFollower.readPause = serverReadPause
	n.peerPool = peer.NewPool()
	n.duties = newDuties(n)
	n.serverChecks = newServerChecks(n)
	n.endChecks = newEndChecks(n)
	n.checks = newCheckSlots()
	n.answerMemory = newAnswerMemory(&settings)
	n.callerBudget = callerBudget(&settings)
	n.callerMemory = shedding.NewTable(n.callerBudget.MemoryBytes)
	n.refusalLog = httpserver.NewRefusalLog(n.now, n.logRefusal)
	n.quarantiner = newQuarantiner(n)
	n.moves = newVersionMoves(n)
	n.retries = retry.NewWindows(retryConfig(&settings), n.members.count)
	n.limits = newServerLimits(n)
	n.places = newServerPlaces(n)
	n.backends.onHead = func(b *backend, status int, header http.Header, sentAt time.Time) {
		n.recordStatements(b, sentAt, platform.DecodeAnswer(status, header))
	}
	n.backends.coldLimit = n.coldLimit
	n.backends.self = settings.VM
	n.backends.unixMillis = n.clock.unixMillis
	n.links = serverlinks.NewTable()
	n.tunnels = newTunnels(n)
	n.backends.members = n.members.count
	n.backends.serviceConfig = n.serviceConfig
	return n
}

func (n *Node) now() time.Time { return time.Now() }

// serviceConfig returns the active document's entry for a service, or nil if
// there is none.
func (n *Node) serviceConfig(name string) *deployment.Service {
	if d := n.document.Load(); d != nil {
		return d.Services[name]
	}
	return nil
}

func (n *Node) listen() error {
	if err := n.members.listen(); err != nil {
		return err
	}
	listener, err := peer.Listen(n.settings.PeerAddress)
	if err != nil {
		return err
	}
	n.peerServer, err = peer.ServeCalls(listener, func(mux drpc.Mux) error { return relayapi.Register(mux, n) })
	if err != nil {
		return err
	}
	if n.metricsServer, err = monitor.Serve(n.settings.MetricsAddress, n.metrics.registry, n.Ready, n.callerMemory, n.recordRefusal); err != nil {
		return err
	}
	for _, l := range []struct {
		server **httpserver.Server
		config httpserver.Config
	}{
		{&n.readyServer, httpserver.Config{
			Name: "ready", Address: n.settings.ReadyAddress, Handler: n.readyHandler(),
			MaxConnections: maxReadyConnections, MaxBodyBytes: maxQueryBodyBytes, MaxWriteBufferBytes: maxQueryWriteBuffer,
		}},
		{&n.directoryServer, httpserver.Config{
			Name: "directory", Address: n.settings.DirectoryAddress, Handler: n.directoryHandler(),
			MaxConnections: n.callerBudget.DirectoryConnections, MaxBodyBytes: maxQueryBodyBytes, MaxWriteBufferBytes: maxQueryWriteBuffer,
		}},
		{&n.callerServer, httpserver.Config{
			Name: "callers", Address: n.settings.CallerAddress, Handler: n.ingressHandler(),
			MaxConnections: n.callerBudget.Connections, MaxBodyBytes: defaultMaxBodyBytes, Workers: maxConcurrentRequests,
		}},
	} {
		l.config.Memory, l.config.OnRefuse = n.callerMemory, n.recordRefusal
		if *l.server, err = httpserver.Start(l.config); err != nil {
			return err
		}
	}
	return nil
}

const (
	// maxReadyConnections bounds the connections to the ready address, which the platform
	// checks once a second.
	maxReadyConnections = 32
	// maxQueryBodyBytes bounds bodies that are sent to the directory and the ready address,
	// whose requests have none, and maxQueryWriteBuffer the unsent answers of a connection.
	maxQueryBodyBytes   = 4 << 10
	maxQueryWriteBuffer = 128 << 10
)

func callerBudget(settings *Settings) httpserver.Budget {
	return httpserver.NewBudget(settings.MemoryMB*megabyte, settings.MaxDescriptors)
}

// recordRefusal counts a connection that was rejected or closed because of what its caller did,
// and logs some of them.
func (n *Node) recordRefusal(r httpserver.Refusal) {
	n.metrics.refusedConnections.WithLabelValues(r.Server, r.Reason).Inc()
	n.refusalLog.Add(r)
}

func (n *Node) logRefusal(r httpserver.Refusal, count int) {
	used, running := n.callerMemory.Used()
	n.log.Failure("callers", "connection-refused", "listener", r.Server, "reason", r.Reason, "count", count, "caller", r.Caller, "status", r.Status,
		"held", r.HeldBytes, "held-by-all", used, "running", running, "limit", n.callerBudget.MemoryBytes)
}

func (n *Node) startLoops() {
	n.runLoop(n.ctx, "document", n.operatorFollower.run)
	n.runLoop(n.ctx, "servers", n.serverFollower.run)
	n.runLoop(n.ctx, "members", n.members.run)
	n.runLoop(n.ctx, "duties", n.duties.run)
	n.runLoop(n.ctx, "contents", n.quarantiner.followStore)
	n.runLoop(n.ctx, "contents", n.quarantiner.writeStore)
	n.runLoop(n.ctx, "sweep", n.sweep)
}

// serverReadPause batches the entries of servers that change one after another,
// as when a zone's servers are reclaimed. The platform allows two seconds or more
// for a leaving server.
const serverReadPause = 300 * time.Millisecond

func (n *Node) countPlatformCall(call string, err error) {
	outcome := "done"
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrUnknown):
		outcome = "unknown"
	default:
		outcome = "refused"
	}
	n.metrics.platformCalls.WithLabelValues(call, outcome).Inc()
	if errors.Is(err, platform.ErrReplyTooLong) {
		n.log.Failure("store", "reply-too-long", "call", call, "error", err)
	}
}

// recordEra records that the store has come back from a copy, or that this node has read
// it for the first time.
func (n *Node) recordEra(era uint64) {
	n.log.Event("store", "era", "era", era)
	n.metrics.storeEra.Set(float64(era))
}

// storeEra returns the highest era of the store that this node knows, from the store or
// from peers.
func (n *Node) storeEra() uint64 {
	return max(n.platform.Era(), n.operatorFollower.end().Era(), n.serverFollower.end().Era())
}

// applyOperatorRecord applies a record that the operator wrote.
func (n *Node) applyOperatorRecord(c topicview.Change) {
	switch {
	case c.Key == platform.DocumentKey && len(c.Value) > 0:
		n.applyDocument(c.Value, c.Position)
	case strings.HasPrefix(c.Key, platform.MoveKeyPrefix):
		n.moves.applyOrder(c)
	case strings.HasPrefix(c.Key, platform.EvacuationKeyPrefix):
		n.applyEvacuation(c)
	}
}

func (n *Node) applyDocument(value []byte, at storelog.Position) {
	d, err := platform.DecodeDocument(value)
	if err != nil {
		n.log.Failure("document", "unreadable", "offset", at, "error", err)
		n.metrics.undecodableRecords.WithLabelValues(platform.OperatorTopic).Inc()
		return
	}
	if old := n.document.Load(); old != nil && old.Version >= d.Version {
		return
	}
	limits := map[string]quota.Limit{}
	for _, w := range d.Workspaces {
		limits[w.Name] = quota.Limit{PerSecond: w.QuotaPerSecond, Burst: w.QuotaBurst}
	}
	n.quota.Configure(limits, n.now())
	connLimits := httpserver.Limits{HeaderTimeout: d.Limits.HeaderTimeout, IdleTimeout: d.Limits.IdleTimeout, BodyBytes: d.Limits.BodyBytes}
	if d.Limits.HeaderBytes > 0 {
		connLimits.HeadBytes = d.Limits.HeaderBytes + requestLineBytes
	}
	n.callerServer.SetLimits(connLimits)
	n.document.Store(d)
	n.metrics.documentVersion.Set(float64(d.Version))
	n.log.Event("document", "in-force", "version", d.Version, "offset", at, "routes", len(d.Routes), "workspaces", len(d.Workspaces))
}

// applyServerRecord applies a backend server's entry, or its deletion if value is
// nil.
func (n *Node) applyServerRecord(c topicview.Change) {
	id, value, at := c.Key, c.Value, c.Position
	now := n.now()
	if len(value) == 0 {
		if s, ok := n.backends.markRemoved(id, now); ok {
			n.log.Event("servers", "gone", "server", id, "service", s.Service, "zone", s.AvailabilityZone, "offset", at)
		}
		return
	}
	s, err := platform.DecodeServer(id, value)
	if err != nil {
		n.log.Failure("servers", "unreadable", "server", id, "offset", at, "error", err)
		n.metrics.undecodableRecords.WithLabelValues(platform.ServersTopic).Inc()
		return
	}
	previous, known := n.backends.put(s, now)
	n.observeCold(id, s.Service, s.ColdRemaining, coldservers.Record, now)
	if !known || previous.Leaving != s.Leaving || previous.Address != s.Address || previous.StartedAtMillis != s.StartedAtMillis {
		n.log.Event("servers", "entry", "server", id, "service", s.Service, "zone", s.AvailabilityZone, "address", s.Address,
			"leaving", s.Leaving, "reclaimable", s.Reclaimable, "version", s.SoftwareVersion, "offset", at)
	}
	if known && previous.StartedAtMillis != s.StartedAtMillis {
		n.quarantiner.recordRestart(shortHash(id), id, s.StartedAtMillis)
	}
	if known && (previous.StartedAtMillis != s.StartedAtMillis || previous.SoftwareVersion != s.SoftwareVersion) {
		n.backends.costs.Forget(shortHash(id))
	}
	if !known || previous.Address != s.Address {
		for _, other := range n.backends.othersAt(s.Address, id) {
			n.quarantiner.recordRestart(shortHash(other), other, s.StartedAtMillis)
		}
	}
	n.metrics.backendServers.Set(float64(n.backends.count()))
}

// Ready reports whether the node can serve requests: it is not draining, has a
// document and at least one backend server, and can share limits with its peers.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.document.Load() != nil && n.backends.count() > 0 && n.members.canShareLimits(n.now())
}

func (n *Node) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
		n.backends.sweep(n.now())
		n.quarantiner.sweep()
		n.limits.sweep(n.now())
		n.places.sweep(n.now())
		n.sweepZones(n.now())
		n.sweepCold(n.now())
		n.logRates(n.now())
		for _, f := range []*follower{n.operatorFollower, n.serverFollower} {
			if c := f.confirmation(); !c.At.IsZero() {
				n.metrics.confirmationAge.WithLabelValues(f.topic).Set(n.now().Sub(c.At).Seconds())
			}
		}
		n.recordCallers()
		ordinary, failures := n.log.Dropped()
		n.metrics.droppedLines.WithLabelValues("ordinary").Set(float64(ordinary))
		n.metrics.droppedLines.WithLabelValues("failure").Set(float64(failures))
	}
}

// recordCallers updates the metrics of what callers hold.
func (n *Node) recordCallers() {
	used, running := n.callerMemory.Used()
	n.metrics.callerMemory.WithLabelValues("waiting").Set(float64(used - running))
	n.metrics.callerMemory.WithLabelValues("running").Set(float64(running))
	for name, s := range map[string]*httpserver.Server{"callers": n.callerServer, "directory": n.directoryServer, "ready": n.readyServer, "metrics": n.metricsServer} {
		n.metrics.callerConnections.WithLabelValues(name).Set(float64(s.Connections()))
	}
}

const (
	// drainServeTime is the time for which a draining node accepts new requests,
	// because callers cache its address. At most half of the grace period is
	// used.
	drainServeTime = 2500 * time.Millisecond
	// maxDrainMargin bounds the part of the grace period that is left for shutting down:
	// one part in drainMarginPart.
	maxDrainMargin    = 700 * time.Millisecond
	drainMarginPart   = 8
	drainPollInterval = 20 * time.Millisecond
)

// Drain stops the node gracefully. It leaves the directory, releases the lease,
// keeps serving while callers may still use its address, and waits for open
// requests to end, within the grace period.
func (n *Node) Drain(ctx context.Context) error {
	startedAt := n.now()
	n.draining.Store(true)
	n.log.Event("gateway", "draining", "vm", n.settings.VM, "open", n.openRequests.Load())
	n.members.sendDigests()
	n.duties.release()
	grace := n.liveSettings.Load().Grace
	end := startedAt.Add(grace - min(maxDrainMargin, grace/drainMarginPart))
	for now := n.now(); now.Before(end) && ctx.Err() == nil; now = n.now() {
		if now.Sub(startedAt) >= min(drainServeTime, grace/2) {
			n.closing.Store(true)
			if n.openRequests.Load() == 0 {
				break
			}
		}
		sleep(ctx, drainPollInterval)
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	n.log.Event("gateway", "stopped", "vm", n.settings.VM, "open", n.openRequests.Load(), "after", n.now().Sub(startedAt))
	err := n.callerServer.Shutdown(ctx)
	n.Close()
	return err
}

// Close stops the node immediately.
func (n *Node) Close() {
	n.cancel()
	for _, s := range []*httpserver.Server{n.callerServer, n.readyServer, n.directoryServer, n.metricsServer} {
		if s != nil {
			s.Close()
		}
	}
	n.members.close()
	if n.peerServer != nil {
		n.peerServer.Close()
	}
	n.peerPool.Close()
	n.tunnels.pool.Close()
	n.loops.Wait()
	n.log.Close()
}

// Reload applies changed settings as far as a running node can, and logs those
// that need a restart.
func (n *Node) Reload(settings Settings) {
	previous := n.liveSettings.Load()
	applied, needRestart := previous.changes(&settings)
	n.liveSettings.Store(&settings)
	n.platform.SetAddresses(settings.StoreAddress, settings.CloudAddress)
	n.members.addSeeds()
	n.retries.SetConfig(retryConfig(&settings))
	n.quota.SetExtraBurst(quotaExtraShare*settings.QuotaSlack, n.now())
	setMemoryLimit(&settings)
	n.answerMemory.configure(&settings)
	n.callerMemory.SetLimit(callerBudget(&settings).MemoryBytes)
	n.backends.costs.SetLearning(settings.LearnedCost)
	n.log.Event("gateway", "reloaded", "vm", settings.VM, "store", settings.StoreAddress, "taken", strings.Join(applied, ","), "need-start", strings.Join(needRestart, ","))
}

func retryConfig(settings *Settings) retry.WindowConfig {
	return retry.WindowConfig{
		Ratio:   settings.RetryRatio * retryRatioShare,
		Reserve: settings.RetrySlack * retrySlackShare,
		Length:  settings.RetryWindow,
	}
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
