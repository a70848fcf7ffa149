// Package coordinator implements the coordinator process. It accepts documents
// from operators and competes for the lease of the control stream. While it holds
// the lease, it advances version moves and sends orders to engines. The rules for
// moves, orders and the lease are in packages moves, modelorders and lease.
package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/appender"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/coordination/tail"
	"coltsfootpath.example/coltsfootpath/internal/invariant"
	"coltsfootpath.example/coltsfootpath/internal/metrics"
	"coltsfootpath.example/coltsfootpath/internal/protocol/peerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
	"coltsfootpath.example/coltsfootpath/internal/transport/peer"
)

// Dependencies holds the external systems that a coordinator calls.
type Dependencies struct {
	Log    ports.Log
	Cloud  ports.Cloud
	Engine ports.Engine
	Clock  ports.Clock
}

// Coordinator is a running coordinator.
type Coordinator struct {
	settings Settings
	deps     Dependencies
	clock    ports.Clock

	replay     *tail.ControlReplay
	follower   *tail.Follower
	documents  *appender.Appender
	leases     *leaseLoop
	moves      *moveLoop
	orders     *orderLoop
	registry   *prometheus.Registry
	leaseGauge prometheus.Gauge

	adminServer   *httpserver.Server
	metricsServer *httpserver.Server
	peerServer    *peer.Server
	peerPool      *peer.Pool

	stopLoops context.CancelFunc
	loops     sync.WaitGroup
}

// Start starts a coordinator and returns once it listens.
func Start(settings Settings, deps Dependencies) (*Coordinator, error) {
	c := newCoordinator(settings, deps)
	if err := c.listen(); err != nil {
		c.Close()
		return nil, err
	}
	source := peer.StateSource{Pool: c.peerPool, Cloud: deps.Cloud, SelfAddress: c.PeerAddress()}
	c.replay.UsePeers(c.clock, source.States)
	ctx, cancel := context.WithCancel(context.Background())
	c.stopLoops = cancel
	c.loops.Go(func() { c.follower.Run(ctx) })
	c.loops.Go(func() { c.leases.run(ctx, c.follower, c.leaseGauge) })
	c.loops.Go(func() { c.moves.run(ctx) })
	c.loops.Go(func() { c.orders.run(ctx) })
	klog.Infof("coordinator: started vm=%s admin=%s", settings.VM, c.AdminAddress())
	return c, nil
}

func newCoordinator(settings Settings, deps Dependencies) *Coordinator {
	settings.SetDefaults()
	c := &Coordinator{
		settings: settings,
		deps:     deps,
		clock:    deps.Clock,
		replay:   tail.NewControlReplay(control.New()),
		peerPool: peer.NewPool(),
		registry: prometheus.NewRegistry(),
		leaseGauge: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "coltsfoot_coordinator_holds_lease", Help: "1 while this coordinator holds the lease.",
		}),
	}
	c.registry.MustRegister(c.leaseGauge, invariant.Breaches, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	c.follower = tail.NewFollower(deps.Log, c.clock, control.Stream, 1, c.replay)
	c.documents = appender.New(deps.Log, c.clock, c.replay)
	c.moves = newMoveLoop(c)
	c.orders = newOrderLoop(c)
	return c
}

func (c *Coordinator) listen() error {
	listener, err := peer.Listen(c.settings.PeerListen)
	if err != nil {
		return err
	}
	c.peerServer, err = peer.Serve(listener, &peerServer{coordinator: c})
	if err != nil {
		return err
	}
	// The admin handlers use the lease loop.
	c.leases = newLeaseLoop(c.settings, control.Holder{VM: c.settings.VM, PeerAddress: c.advertisedPeerAddress()}, c.deps.Log, c.clock, c.replay)
	c.metricsServer, err = metrics.Serve(c.settings.MetricsListen, c.registry, c.follower.CaughtUp, nil, nil)
	if err != nil {
		return err
	}
	c.adminServer, err = httpserver.Start(httpserver.Config{
		Name: "admin", Address: c.settings.AdminListen, Handler: c.adminHandler(), MaxBodyBytes: maxSubmitBytes,
	})
	return err
}

// AdminAddress returns the address that operators' tools connect to.
func (c *Coordinator) AdminAddress() string {
	return c.adminServer.Address()
}

// PeerAddress returns the address that other processes connect to.
func (c *Coordinator) PeerAddress() string {
	return c.peerServer.Address()
}

// advertisedPeerAddress returns the peer address that is announced to other
// processes.
func (c *Coordinator) advertisedPeerAddress() string {
	if c.settings.PeerAdvertise != c.settings.PeerListen {
		return c.settings.PeerAdvertise
	}
	return c.PeerAddress()
}

const releaseTimeout = 2 * time.Second

// Drain releases the lease and stops the coordinator.
func (c *Coordinator) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	c.leases.release(ctx)
	err := c.adminServer.Shutdown(ctx)
	c.Close()
	return err
}

// Close stops the coordinator at once without releasing the lease, as a kill
// would.
func (c *Coordinator) Close() {
	if c.stopLoops != nil {
		c.stopLoops()
	}
	if c.adminServer != nil {
		c.adminServer.Close()
	}
	if c.metricsServer != nil {
		c.metricsServer.Close()
	}
	if c.peerServer != nil {
		c.peerServer.Close()
	}
	c.peerPool.Close()
	c.loops.Wait()
}

// peerServer serves the peer protocol for a coordinator.
type peerServer struct {
	peerapi.DRPCPeerUnimplementedServer
	coordinator *Coordinator
}

// ControlState returns the replayed state of the control stream to a peer.
func (p *peerServer) ControlState(context.Context, *peerapi.ControlStateRequest) (*peerapi.ControlStateReply, error) {
	data, err := control.MarshalState(p.coordinator.replay.State())
	if err != nil {
		return nil, err
	}
	return &peerapi.ControlStateReply{State: data}, nil
}
