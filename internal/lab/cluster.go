package lab

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/coordinator"
	"coltsfootpath.example/coltsfootpath/internal/entry"
	"coltsfootpath.example/coltsfootpath/internal/standin/cloud"
	"coltsfootpath.example/coltsfootpath/internal/standin/engine"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/internal/standin/service"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpclient"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
)

// Size holds the numbers of components in a cluster.
type Size struct {
	AvailabilityZones int
	EntryVMs          int
	Engines           int
	Services          int
	// Workers limits the requests that one entry VM runs concurrently.
	Workers int
}

// DefaultSize is the size of the clusters of the two current users.
var DefaultSize = Size{AvailabilityZones: 4, EntryVMs: 8, Engines: 12, Services: 4, Workers: 256}

const (
	loopbackAddress = "127.0.0.1:0"
	adminToken      = "lab-admin-token-0001"
	listLag         = 2 * time.Second
	loadLag         = 100 * time.Millisecond
	eventLag        = 100 * time.Millisecond
)

// Cluster runs all roles and stand-ins in one process, connected by real
// sockets.
type Cluster struct {
	Log   *logservice.Log
	Cloud *cloud.Cloud

	client    *httpclient.Client
	logServer *httpserver.Server
	cloudAPI  *httpserver.Server
	startedAt time.Time

	// mu guards the fields below.
	mu           sync.Mutex
	entries      map[string]*entry.Node
	coordinators map[string]*coordinator.Coordinator
	engines      map[string]*engineVM
	services     map[string]*serviceVM
	// zones maps the ids of entry VMs to their availability zones.
	zones map[string]string
}

type engineVM struct {
	vm        ports.VM
	engine    *engine.Engine
	server    *httpserver.Server
	stoppedAt time.Time
}

type serviceVM struct {
	vm      ports.VM
	service *service.Service
	server  *httpserver.Server
}

// NewCluster starts all stand-ins, entry VMs and coordinators.
func NewCluster(size Size, seed uint64) (*Cluster, error) {
	c := &Cluster{
		client:       httpclient.New(),
		startedAt:    time.Now(),
		entries:      map[string]*entry.Node{},
		coordinators: map[string]*coordinator.Coordinator{},
		engines:      map[string]*engineVM{},
		services:     map[string]*serviceVM{},
		zones:        map[string]string{},
	}
	c.Log = logservice.New(logservice.Config{Seed: seed})
	c.Cloud = cloud.New(cloud.Config{ListLag: listLag, Prices: prices(size), OnReclaim: c.kill})
	var err error
	if c.logServer, err = serveLocal("log", c.Log.Handler()); err != nil {
		return nil, err
	}
	if c.cloudAPI, err = serveLocal("cloud", c.Cloud.Handler()); err != nil {
		return nil, err
	}
	for i := range size.Engines {
		if err := c.addEngine(i, zoneName(i%size.AvailabilityZones), seed); err != nil {
			return nil, err
		}
	}
	for i := range size.Services {
		if err := c.addService(i, zoneName(i%size.AvailabilityZones), seed); err != nil {
			return nil, err
		}
	}
	for i := range size.EntryVMs {
		if err := c.addEntry(i, zoneName(i%size.AvailabilityZones), size.Workers); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func serveLocal(name string, handler httpHandler) (*httpserver.Server, error) {
	return httpserver.Start(httpserver.Config{Name: name, Address: loopbackAddress, Handler: handler, MaxBodyBytes: 16 << 20})
}

func zoneName(i int) string {
	return fmt.Sprintf("zone-%c", 'a'+i)
}

const (
	reclaimablePricePerHour = 900_000
	onDemandPricePerHour    = 2_400_000
	engineClass             = "accelerator-small"
)

func prices(size Size) []ports.Price {
	var out []ports.Price
	for i := range size.AvailabilityZones {
		surcharge := int64(i) * 50_000
		out = append(out,
			ports.Price{AvailabilityZone: zoneName(i), Class: engineClass, Reclaimable: true, PricePerHour: reclaimablePricePerHour + surcharge},
			ports.Price{AvailabilityZone: zoneName(i), Class: engineClass, PricePerHour: onDemandPricePerHour + surcharge})
	}
	return out
}

func (c *Cluster) addEngine(i int, zone string, seed uint64) error {
	id := fmt.Sprintf("engine-%02d", i)
	checksFencing := i%2 == 0
	e := engine.New(engine.Config{
		Models:        []string{modelV1, modelV2},
		ChecksFencing: checksFencing,
		LoadLag:       loadLag,
		EventLag:      eventLag,
		Seed:          seed + uint64(i),
		OnCrash:       func() { c.KillEngine(id) },
	})
	server, err := serveLocal(id, engine.NewServer(e).Handler())
	if err != nil {
		return err
	}
	vm := ports.VM{
		ID: id, AvailabilityZone: zone, Class: engineClass, Reclaimable: i%3 != 0,
		Role: ports.EngineRole, Address: server.Address(), ChecksFencing: checksFencing,
	}
	c.mu.Lock()
	c.engines[id] = &engineVM{vm: vm, engine: e, server: server}
	c.mu.Unlock()
	c.Cloud.Add(vm)
	return nil
}

func (c *Cluster) addService(i int, zone string, seed uint64) error {
	id := fmt.Sprintf("service-%02d", i)
	s := service.New(seed + uint64(i))
	server, err := serveLocal(id, s.Handler())
	if err != nil {
		return err
	}
	vm := ports.VM{ID: id, AvailabilityZone: zone, Class: "small", Role: ports.ServiceRole, Address: server.Address(), Service: ledgerService}
	c.mu.Lock()
	c.services[id] = &serviceVM{vm: vm, service: s, server: server}
	c.mu.Unlock()
	c.Cloud.Add(vm)
	return nil
}

func (c *Cluster) addEntry(i int, zone string, workers int) error {
	id := fmt.Sprintf("entry-%02d", i)
	var settings entry.Settings
	settings.Schema()
	settings.VM, settings.AvailabilityZone = id, zone
	settings.Listen, settings.PeerListen, settings.MetricsListen = loopbackAddress, loopbackAddress, loopbackAddress
	settings.LogAddress, settings.CloudAddress = c.logServer.Address(), c.cloudAPI.Address()
	settings.Workers = workers
	settings.AddressTTL = 3 * time.Second
	node, err := entry.Start(settings, entry.NewHTTPDependencies(settings))
	if err != nil {
		return err
	}
	var coordinatorSettings coordinator.Settings
	coordinatorSettings.Schema()
	coordinatorSettings.VM, coordinatorSettings.AdminToken = id, adminToken
	coordinatorSettings.AdminListen, coordinatorSettings.PeerListen, coordinatorSettings.MetricsListen = loopbackAddress, loopbackAddress, loopbackAddress
	coordinatorSettings.LogAddress, coordinatorSettings.CloudAddress = c.logServer.Address(), c.cloudAPI.Address()
	coord, err := coordinator.Start(coordinatorSettings, coordinator.NewHTTPDependencies(coordinatorSettings))
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.entries[id] = node
	c.zones[id] = zone
	c.coordinators[id] = coord
	c.mu.Unlock()
	c.Cloud.Add(ports.VM{
		ID: id, AvailabilityZone: zone, Class: "entry", Reclaimable: true, Role: ports.EntryRole,
		Address: node.CallerAddress(), PeerAddress: node.PeerAddress(),
	})
	return nil
}

// kill stops a VM's process immediately. The cloud calls it at the end of a
// reclaim notice.
func (c *Cluster) kill(vm ports.VM) {
	switch vm.Role {
	case ports.EngineRole:
		c.KillEngine(vm.ID)
	case ports.ServiceRole:
		c.killService(vm.ID)
	case ports.EntryRole:
		c.KillEntry(vm.ID)
	}
}

// KillEngine stops an engine immediately.
func (c *Cluster) KillEngine(id string) {
	c.mu.Lock()
	e, ok := c.engines[id]
	alive := ok && e.stoppedAt.IsZero()
	if alive {
		e.stoppedAt = time.Now()
	}
	c.mu.Unlock()
	if !alive {
		return
	}
	e.engine.Stop()
	e.server.Close()
	c.Cloud.Remove(id)
}

func (c *Cluster) killService(id string) {
	c.mu.Lock()
	s, ok := c.services[id]
	c.mu.Unlock()
	if ok {
		s.server.Close()
		c.Cloud.Remove(id)
	}
}

// KillEntry stops an entry VM and its coordinator immediately.
func (c *Cluster) KillEntry(id string) {
	c.mu.Lock()
	node, coord := c.entries[id], c.coordinators[id]
	delete(c.entries, id)
	delete(c.coordinators, id)
	c.mu.Unlock()
	c.Cloud.Remove(id)
	if node != nil {
		node.Close()
		coord.Close()
	}
}

// DrainEntry shuts down an entry VM and its coordinator gracefully.
func (c *Cluster) DrainEntry(ctx context.Context, id string) error {
	c.mu.Lock()
	node, coord := c.entries[id], c.coordinators[id]
	delete(c.entries, id)
	delete(c.coordinators, id)
	c.mu.Unlock()
	c.Cloud.Remove(id)
	if node == nil {
		return errors.Newf("no entry VM %q", id)
	}
	return errors.CombineErrors(node.Drain(ctx), coord.Drain(ctx))
}

// EntryAddresses returns the caller addresses of the running entry VMs.
func (c *Cluster) EntryAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, n := range c.entries {
		out = append(out, n.CallerAddress())
	}
	return out
}

// AdminAddress returns the admin address of any running coordinator, or an
// empty string if there is none.
func (c *Cluster) AdminAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, coord := range c.coordinators {
		return coord.AdminAddress()
	}
	return ""
}

// WaitReady waits until every entry VM is ready.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for {
		if c.allReady() {
			return nil
		}
		select {
		case <-time.After(readyInterval):
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "entry VMs are not ready")
		}
	}
}

const readyInterval = 20 * time.Millisecond

func (c *Cluster) allReady() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.entries {
		if !n.Ready() {
			return false
		}
	}
	return true
}

// RunsByKey returns the numbers of runs by "route/key", summed over all
// services.
func (c *Cluster) RunsByKey() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for _, s := range c.services {
		for key, n := range s.service.Runs() {
			out[key] += n
		}
	}
	return out
}

// SetServiceFaults sets the faults of all services.
func (c *Cluster) SetServiceFaults(f service.Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.services {
		s.service.SetFaults(f)
	}
}

// SetEngineFaults sets the faults of all engines.
func (c *Cluster) SetEngineFaults(f engine.Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.engines {
		e.engine.SetFaults(f)
	}
}

// Work holds the engines' processed tokens and their cost in millionths of the
// currency unit.
type Work struct {
	engine.Work
	Cost int64
}

// Work returns the engines' work and cost so far. The cost of an engine accrues from
// the cluster's start until the engine stops.
func (c *Cluster) Work(size Size) Work {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out Work
	list := prices(size)
	for _, e := range c.engines {
		out.Add(e.engine.Work())
		until := time.Now()
		if !e.stoppedAt.IsZero() {
			until = e.stoppedAt
		}
		for _, price := range list {
			if price.AvailabilityZone == e.vm.AvailabilityZone && price.Reclaimable == e.vm.Reclaimable {
				out.Cost += int64(float64(price.PricePerHour) * until.Sub(c.startedAt).Hours())
			}
		}
	}
	return out
}

// Close stops all VMs and stand-ins.
func (c *Cluster) Close() {
	for _, id := range c.entryIDs() {
		c.KillEntry(id)
	}
	for id := range c.engines {
		c.KillEngine(id)
	}
	for id := range c.services {
		c.killService(id)
	}
	c.logServer.Close()
	c.cloudAPI.Close()
	c.client.CloseIdleConnections()
}

func (c *Cluster) entryIDs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id := range c.entries {
		ids = append(ids, id)
	}
	return ids
}
