// Package gateway is the entry VM of an operator's platform: it follows the
// platform's store, answers which addresses to use, routes requests to backend
// servers, and takes its part in the deployment's single duties. Decisions are
// made in the packages below internal/coordination; the platform's names stay
// in package platform.
package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/coordination/quota"
	"coltsfootpath.example/coltsfootpath/internal/coordination/retry"
	"coltsfootpath.example/coltsfootpath/internal/coordination/usage"
	"coltsfootpath.example/coltsfootpath/internal/eventlog"
	monitor "coltsfootpath.example/coltsfootpath/internal/metrics"
	"coltsfootpath.example/coltsfootpath/internal/protocol/relayapi"
	"coltsfootpath.example/coltsfootpath/internal/state/site"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
	"coltsfootpath.example/coltsfootpath/internal/transport/peer"
	"coltsfootpath.example/coltsfootpath/platform"
)

// healthConfig judges servers by what this VM sees of them. A server that
// failed is tried again soon: engines come back within seconds.
var healthConfig = health.Config{
	FailuresInRow:  3,
	FailureRatio:   0.5,
	SlowFactor:     3,
	MinSamples:     6,
	MaxEjected:     0.4,
	EjectFor:       time.Second,
	EjectMax:       8 * time.Second,
	TrialShare:     0.1,
	TrialSuccesses: 2,
	Ramp:           500 * time.Millisecond,
	Memory:         10 * time.Second,
}

const (
	// quotaExtraShare of the slack that the platform allows beyond a quota is
	// given to workspaces; the rest is for what VMs see late of each other.
	quotaExtraShare = 0.5
	// retryRatioShare of the retries that the platform allows for each request is
	// used: it may count fewer requests in its spans than VMs in theirs.
	retryRatioShare = 0.85
	// retrySlackShare of the retries that it allows beyond is used; the rest is for
	// VMs that start again and remember none.
	retrySlackShare = 0.5
	// sweepInterval is how often tables are cleared of what is old.
	sweepInterval = 500 * time.Millisecond
	// maxAnswerBytes bounds an answer that is read whole.
	maxAnswerBytes = 8 << 20
	// bodyBound is the bound on bodies before a document is known.
	bodyBound = 4 << 20
	// workers bounds the requests that are handled at once.
	workers = 4096
)

// Node is one entry VM.
type Node struct {
	// set are the settings at the start, live those in force of what may change
	// while the VM runs.
	set         Settings
	live        atomic.Pointer[Settings]
	incarnation uint64
	log         *eventlog.Logger
	metrics     *metrics
	platform    *platform.Client

	document atomic.Pointer[site.Document]
	backends *backendTable
	health   *health.Table
	quota    *quota.Shared
	retries  *retry.Windows
	usage    *usage.Table
	members  *members
	operator *follower
	servers  *follower
	relay    *peer.Server
	pool     *peer.Pool
	duties   *duties
	contact  *contact
	clock    *wallClock
	work     *workMeter
	moves    *versionMoves

	open     atomic.Int64
	draining atomic.Bool
	// closing is set once a VM that leaves takes no new request.
	closing   atomic.Bool
	callers   *httpserver.Server
	ready     *httpserver.Server
	directory *httpserver.Server
	monitor   *httpserver.Server

	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// Start brings up an entry VM and returns when it listens. Its lines are written
// to out.
func Start(set Settings, out io.Writer) (*Node, error) {
	n := newNode(set, out)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.listen(); err != nil {
		n.Close()
		return nil, err
	}
	n.startLoops()
	n.log.Event("gateway", "started", "vm", set.VM, "zone", set.AvailabilityZone, "incarnation", n.incarnation, "callers", set.Callers, "peers", set.Peers, "store", set.Store)
	return n, nil
}

func newNode(set Settings, out io.Writer) *Node {
	n := &Node{
		set:         set,
		incarnation: max(uint64(time.Now().UnixMilli()), 1),
		log:         eventlog.New(out),
		metrics:     newMetrics(),
		contact:     newContact(),
		clock:       newWallClock(),
		work:        newWorkMeter(),
	}
	n.live.Store(&set)
	n.platform = platform.NewClient(set.Store, set.Cloud, n.noteCall)
	n.health = health.New(healthConfig, n.now())
	n.health.OnChange(func(k health.Key, phase string) {
		n.log.Event("health", "verdict", "server", k.Server, "service", k.Model, "phase", phase)
		n.metrics.verdicts.WithLabelValues(k.Model, phase).Inc()
	})
	n.backends = newBackendTable(n.health)
	n.quota = quota.New(quotaExtraShare * set.QuotaSlack)
	n.usage = usage.NewTable(usage.Source{VM: set.VM, Incarnation: n.incarnation})
	n.members = newMembers(n)
	n.operator = newFollower(n, platform.OperatorTopic, 0, n.applyOperator)
	n.servers = newFollower(n, platform.ServersTopic, serversPause, n.applyServer)
	n.pool = peer.NewPool()
	n.duties = newDuties(n)
	n.moves = newVersionMoves(n)
	n.retries = retry.NewWindows(retryConfig(&set), n.members.count)
	n.backends.members = n.members.count
	n.backends.service = n.service
	return n
}

func (n *Node) now() time.Time { return time.Now() }

// service is what the document in force says of a service, nil where it does not.
func (n *Node) service(name string) *site.Service {
	if d := n.document.Load(); d != nil {
		return d.Services[name]
	}
	return nil
}

func (n *Node) listen() error {
	if err := n.members.listen(); err != nil {
		return err
	}
	listener, err := peer.Listen(n.set.Peers)
	if err != nil {
		return err
	}
	n.relay, err = peer.ServeCalls(listener, func(mux drpc.Mux) error { return relayapi.Register(mux, n) })
	if err != nil {
		return err
	}
	if n.monitor, err = monitor.Serve(n.set.Metrics, n.metrics.registry, n.Ready); err != nil {
		return err
	}
	if n.ready, err = httpserver.Start(httpserver.Config{Name: "ready", Address: n.set.Ready, Handler: n.readyHandler()}); err != nil {
		return err
	}
	if n.directory, err = httpserver.Start(httpserver.Config{Name: "directory", Address: n.set.Directory, Handler: n.directoryHandler()}); err != nil {
		return err
	}
	n.callers, err = httpserver.Start(httpserver.Config{
		Name: "callers", Address: n.set.Callers, Handler: n.ingressHandler(),
		MaxBodyBytes: bodyBound, Workers: workers, Refused: n.refusedConn,
	})
	return err
}

// refusedConn notes a connection that was closed for what it sent.
func (n *Node) refusedConn(caller string, status int) {
	n.metrics.requests.WithLabelValues("", "refused-connection").Inc()
	n.log.Failure("callers", "connection-refused", "caller", caller, "status", status)
}

func (n *Node) startLoops() {
	n.loops.Go(func() { n.operator.run(n.ctx) })
	n.loops.Go(func() { n.servers.run(n.ctx) })
	n.loops.Go(func() { n.members.run(n.ctx) })
	n.loops.Go(func() { n.duties.run(n.ctx) })
	n.loops.Go(func() { n.sweep(n.ctx) })
}

// serversPause gathers the entries of servers that change one after another, as
// when a zone's are reclaimed; the platform allows two seconds or more for a
// leaving server.
const serversPause = 300 * time.Millisecond

func (n *Node) noteCall(call string, err error) {
	outcome := "done"
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrUnknown):
		outcome = "unknown"
	default:
		outcome = "refused"
	}
	n.metrics.platform.WithLabelValues(call, outcome).Inc()
}

// applyOperator takes a record that the operator wrote.
func (n *Node) applyOperator(key string, value []byte, offset uint64) {
	switch {
	case key == platform.DocumentKey && value != nil:
		n.applyDocument(value, offset)
	case strings.HasPrefix(key, platform.MoveKeyPrefix):
		n.moves.order(key, value, offset)
	}
}

func (n *Node) applyDocument(value []byte, offset uint64) {
	d, err := platform.DecodeDocument(value)
	if err != nil {
		n.log.Failure("document", "unreadable", "offset", offset, "error", err)
		n.metrics.unreadable.WithLabelValues(platform.OperatorTopic).Inc()
		return
	}
	if old := n.document.Load(); old != nil && old.Version >= d.Version {
		return
	}
	limits := map[string]quota.Limit{}
	for _, w := range d.Workspaces {
		limits[w.Name] = quota.Limit{PerSecond: w.PerSecond, Burst: w.Burst}
	}
	n.quota.Configure(limits, n.now())
	n.callers.SetLimits(httpserver.Limits{Header: d.Limits.HeaderTimeout, Idle: d.Limits.IdleTimeout})
	n.document.Store(d)
	n.metrics.document.Set(float64(d.Version))
	n.log.Event("document", "in-force", "version", d.Version, "offset", offset, "routes", len(d.Routes), "workspaces", len(d.Workspaces))
}

// applyServer takes what a backend server says of itself.
func (n *Node) applyServer(id string, value []byte, offset uint64) {
	now := n.now()
	if value == nil {
		if s, ok := n.backends.gone(id, now); ok {
			n.log.Event("servers", "gone", "server", id, "service", s.Service, "zone", s.AvailabilityZone, "offset", offset)
		}
		return
	}
	s, err := platform.DecodeServer(id, value)
	if err != nil {
		n.log.Failure("servers", "unreadable", "server", id, "offset", offset, "error", err)
		n.metrics.unreadable.WithLabelValues(platform.ServersTopic).Inc()
		return
	}
	before, known := n.backends.put(s, now)
	if !known || before.Leaving != s.Leaving || before.Address != s.Address || before.BornMillis != s.BornMillis {
		n.log.Event("servers", "entry", "server", id, "service", s.Service, "zone", s.AvailabilityZone, "address", s.Address,
			"leaving", s.Leaving, "reclaimable", s.Reclaimable, "version", s.SoftwareVersion, "offset", offset)
	}
	n.metrics.servers.Set(float64(n.backends.count()))
}

// Ready tells whether the VM can serve: it has a document, knows the others, and
// is not leaving.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.document.Load() != nil && n.backends.count() > 0 && n.members.areKnown(n.now())
}

func (n *Node) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
		n.backends.sweep(n.now())
		ordinary, failures := n.log.Dropped()
		n.metrics.dropped.WithLabelValues("ordinary").Set(float64(ordinary))
		n.metrics.dropped.WithLabelValues("failure").Set(float64(failures))
	}
}

const (
	// drainServe is how long a VM that leaves serves new requests: callers keep
	// its address for a while.
	drainServe = 2500 * time.Millisecond
	// drainMargin of the grace is left for closing down.
	drainMargin = 700 * time.Millisecond
	drainPoll   = 20 * time.Millisecond
)

// Drain ends the VM gracefully: it takes itself out of the directory, gives up
// the duties, serves on while callers keep its address, and lets open requests
// end.
func (n *Node) Drain(ctx context.Context) error {
	began := n.now()
	n.draining.Store(true)
	n.log.Event("gateway", "draining", "vm", n.set.VM, "open", n.open.Load())
	n.members.announce()
	n.duties.release()
	grace := n.live.Load().Grace
	end := began.Add(grace - drainMargin)
	for now := n.now(); now.Before(end) && ctx.Err() == nil; now = n.now() {
		if now.Sub(began) >= min(drainServe, grace/2) {
			n.closing.Store(true)
			if n.open.Load() == 0 {
				break
			}
		}
		sleep(ctx, drainPoll)
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	n.log.Event("gateway", "stopped", "vm", n.set.VM, "open", n.open.Load(), "after", n.now().Sub(began))
	err := n.callers.Shutdown(ctx)
	n.Close()
	return err
}

// Close ends the VM at once.
func (n *Node) Close() {
	n.cancel()
	for _, s := range []*httpserver.Server{n.callers, n.ready, n.directory, n.monitor} {
		if s != nil {
			s.Close()
		}
	}
	n.members.close()
	if n.relay != nil {
		n.relay.Close()
	}
	n.pool.Close()
	n.loops.Wait()
	n.log.Close()
}

// Reload takes in settings that changed, as far as a running VM can, and tells of
// the others.
func (n *Node) Reload(set Settings) {
	before := n.live.Load()
	taken, needStart := before.changes(&set)
	n.live.Store(&set)
	n.platform.SetAddresses(set.Store, set.Cloud)
	n.members.knowSeeds()
	n.retries.SetConfig(retryConfig(&set))
	n.quota.SetExtra(quotaExtraShare*set.QuotaSlack, n.now())
	setMemoryLimit(&set)
	n.log.Event("gateway", "reloaded", "vm", set.VM, "store", set.Store, "taken", strings.Join(taken, ","), "need-start", strings.Join(needStart, ","))
}

func retryConfig(set *Settings) retry.WindowConfig {
	return retry.WindowConfig{
		Ratio:   set.RetryRatio * retryRatioShare,
		Reserve: set.RetrySlack * retrySlackShare,
		Length:  set.RetryWindow,
	}
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
