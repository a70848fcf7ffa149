// Package deployment defines the configuration of a deployment as an operator's
// platform provides it: routes, services, workspaces, version moves and backend
// servers. Values are immutable once they are decoded; package platform decodes
// them.
package deployment

import (
	"strings"
	"time"
)

// Kind determines how often a route's requests may run.
type Kind int

// Kinds of routes, by how often their requests may run.
const (
	// Repeatable requests may run any number of times.
	Repeatable Kind = iota
	// Once requests run at most once.
	Once
	// Stream requests are answered by a stream of events. They run at most once,
	// unless their route is resumable.
	Stream
)

var kindNames = [...]string{"repeatable", "once", "stream"}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// Route is the rule for routing the requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds the time from a request's arrival to its deadline. A caller
	// may ask for less.
	Timeout time.Duration
	// LatencyTarget is the target for the time to the start of the answer.
	LatencyTarget time.Duration
	// PauseTarget is the target for the longest pause between two events of a
	// stream.
	PauseTarget time.Duration
	// MaxServers is the maximum number of backend servers that one request is sent
	// to.
	MaxServers int
	// Priority is 0 for the most urgent requests; higher numbers are less urgent.
	Priority  int
	Public    bool
	Resumable bool
	Targets   []Target
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Target is a service with its weight in the distribution of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdTime is the time for which a server is cold after its start, and ColdPerSecond the
	// number of requests per second, from all VMs, that a cold server takes; 0 means no limit.
	ColdTime      time.Duration
	ColdPerSecond float64
	// Model is nil for a plain service.
	Model *Model
	// Scaling is nil if the system does not order the service's servers.
	Scaling *Scaling
}

// Model describes the engines of a service.
type Model struct {
	// Slots is the number of requests that an engine runs at the same time.
	Slots int
	// MemoryTokens is the memory of an engine in tokens, 0 if it is not specified.
	MemoryTokens   int
	TokensPerEvent int
	// CopyTokensPerSecond is the rate at which an engine copies the memory of running requests
	// to another one, 0 if it does not.
	CopyTokensPerSecond float64
}

// Scaling holds the bounds on a service's number of servers per availability zone,
// and their boot time and prices.
type Scaling struct {
	Min, Max int
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable server, as a fraction of the
	// price of an on-demand one.
	ReclaimablePrice float64
	ZonePrices       map[string]float64
}

// Workspace is a customer with its priority and quota. Its keys are in
// Document.Keys.
type Workspace struct {
	Name string
	// Priority takes precedence over a route's priority if HasPriority is true.
	Priority    int
	HasPriority bool
	// QuotaPerSecond is the quota's rate; 0 means no limit.
	QuotaPerSecond float64
	QuotaBurst     float64
	// QuotaInTokens is true if the quota counts tokens, and false if it counts
	// requests.
	QuotaInTokens bool
	// DefaultTokens is the number of tokens that a request without a token count
	// uses of the quota.
	DefaultTokens int
}

// Limits bounds the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is the operator's active configuration.
type Document struct {
	Version    int64
	Routes     []Route
	Services   map[string]*Service
	Workspaces []Workspace
	// Keys maps each key to the index of its workspace. It is nil if callers need no
	// key.
	Keys   map[string]int
	Limits Limits
	byHost map[string][]*Route
}

// Index builds the index by host that Route uses. It must be called once Routes is
// complete.
func (d *Document) Index() {
	d.byHost = map[string][]*Route{}
	for i := range d.Routes {
		r := &d.Routes[i]
		d.byHost[strings.ToLower(r.Host)] = append(d.byHost[strings.ToLower(r.Host)], r)
	}
}

// Route returns the host's route with the longest prefix of path, or nil. Hosts are
// compared without regard to case; a port is ignored if no route names it.
func (d *Document) Route(host, path string) *Route {
	routes, ok := d.byHost[strings.ToLower(host)]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		routes = d.byHost[strings.ToLower(name)]
	}
	var best *Route
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// Workspace returns the workspace to which the key belongs.
func (d *Document) Workspace(key string) (*Workspace, bool) {
	i, ok := d.Keys[key]
	if !ok {
		return nil, false
	}
	return &d.Workspaces[i], true
}

// Server is the registration of a backend server.
type Server struct {
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	SoftwareVersion  string
	// WeightVersion is the version of the first model's weights, 0 if there is no
	// model.
	WeightVersion int
	// Slots is the number of requests that the server runs at the same time.
	Slots int
	// Leaving is true if the server is about to stop and must get no new requests.
	Leaving     bool
	Reclaimable bool
	// ColdRemaining is the time, from the registration on, for which the server is slow and
	// takes only some requests. It may become cold again at any moment.
	ColdRemaining time.Duration
	// StartedAtMillis is the server's start as a Unix time in milliseconds, 0 if
	// unknown.
	StartedAtMillis int64
}

// Evacuation is an operator's request that no requests be sent to the servers of a zone.
type Evacuation struct {
	AvailabilityZone string
}

// Move is an operator's order to move a service to the software version Target.
type Move struct {
	Service string
	Target  string
	// MaxDuration is the time from the order to its deadline.
	MaxDuration time.Duration
}
