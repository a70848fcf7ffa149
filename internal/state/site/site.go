// Package site holds what an operator's platform says of a deployment: its
// document of routes, services and workspaces, and its backend servers. The
// values are decoded once and not changed afterwards.
package site

import (
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind int

// Kinds of routes.
const (
	// Repeatable requests may run any number of times.
	Repeatable Kind = iota
	// Once requests run at most once.
	Once
	// Stream requests are answered by events; they run at most once unless
	// their route is resumable.
	Stream
)

var kindNames = [...]string{"repeatable", "once", "stream"}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// Route is one rule that sends requests to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds how long a request is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time to the first answer that is on time.
	LatencyTarget time.Duration
	// PauseTarget is the longest pause between events that is on time.
	PauseTarget time.Duration
	// MaxServers is the most backend servers that one request is sent to.
	MaxServers int
	// Priority is 0 for the most urgent.
	Priority  int
	Public    bool
	Resumable bool
	Targets   []Target
}

// Repeats tells whether a request of the route may run more than once.
func (r *Route) Repeats() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Model is nil for a plain service.
	Model *Model
	// Scaling is nil where the number of servers is not ours to order.
	Scaling *Scaling
}

// Model describes the engines of a service.
type Model struct {
	Slots          int
	MemoryTokens   int
	TokensPerEvent int
}

// Scaling bounds the orders of a service's servers, per availability zone.
type Scaling struct {
	Min, Max int
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable server as a share of that
	// of an on-demand one.
	ReclaimablePrice float64
	ZonePrices       map[string]float64
}

// Workspace is a customer with its keys and its quota.
type Workspace struct {
	Name string
	// Priority goes before that of routes where it is set.
	Priority    int
	HasPriority bool
	// PerSecond and Burst are the quota, 0 without a limit.
	PerSecond float64
	Burst     float64
	// InTokens is true where the quota counts tokens, not requests.
	InTokens bool
	// PlainTokens is what a request without a token count counts.
	PlainTokens int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is the operator's configuration in force.
type Document struct {
	Version    int64
	Routes     []Route
	Services   map[string]*Service
	Workspaces []Workspace
	// Keys maps each key to its workspace's index; nil where none is needed.
	Keys   map[string]int
	Limits Limits
	byHost map[string][]*Route
}

// Index prepares the look-up of routes.
func (d *Document) Index() {
	d.byHost = map[string][]*Route{}
	for i := range d.Routes {
		r := &d.Routes[i]
		d.byHost[strings.ToLower(r.Host)] = append(d.byHost[strings.ToLower(r.Host)], r)
	}
}

// Route returns the route of a host with the longest prefix of path.
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

// Workspace returns the workspace that holds a key.
func (d *Document) Workspace(key string) (*Workspace, bool) {
	i, ok := d.Keys[key]
	if !ok {
		return nil, false
	}
	return &d.Workspaces[i], true
}

// Server is a backend server as it registered itself.
type Server struct {
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	SoftwareVersion  string
	// WeightVersion is that of the first model, 0 where there is none.
	WeightVersion int
	Slots         int
	Leaving       bool
	Reclaimable   bool
	// ColdFor is how much longer the server is slow after its start.
	ColdFor time.Duration
	// BornMillis is the Unix millisecond of the server's start, 0 if unknown.
	BornMillis int64
}

// Move is an operator's order to bring a service to a software version.
type Move struct {
	Service string
	Target  string
	// Within is the time from the order to its deadline.
	Within time.Duration
}
