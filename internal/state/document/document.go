// Package document defines the operators' document: the validated configuration
// of the services, workspaces, version moves and VMs of the system. Operators'
// consoles produce it as JSON.
package document

import "time"

// ServiceKind selects the protocol with which a service is called.
type ServiceKind string

// A model service runs on engines, a plain service on other backend servers.
const (
	ModelService ServiceKind = "model"
	PlainService ServiceKind = "plain"
)

// Priority orders requests that wait for the same backend servers.
type Priority string

// Priorities, in descending order of urgency.
const (
	Interactive Priority = "interactive"
	Normal      Priority = "normal"
	Batch       Priority = "batch"
)

// Document is the complete configuration that operators submit. The struct tags
// min and max bound the numbers that a document contains; default, unit, bounds and
// help document a field for operators.
type Document struct {
	Services   []Service   `json:"services" bounds:"at least one; names unique" help:"What callers may ask for."`
	Workspaces []Workspace `json:"workspaces" bounds:"names unique" help:"Groups of callers with limits of their own."`
	Moves      []Move      `json:"moves,omitempty" bounds:"names unique; one for each service" help:"Version moves under way or wanted."`
	Fleet      Fleet       `json:"fleet" help:"Which VMs the fleet plan may start."`
}

// Service is a model service or a plain service that callers send requests to.
type Service struct {
	Name     string      `json:"name" bounds:"a name" help:"The service's name in callers' paths."`
	Kind     ServiceKind `json:"kind" bounds:"model or plain" help:"How the service is called: by engines, or as a plain service."`
	Versions []Version   `json:"versions" bounds:"at least one; names unique" help:"The versions that may serve."`
	// Serving names the serving version. It answers all requests except the share
	// that a move sends to another version.
	Serving string  `json:"serving" default:"the only version" bounds:"one of the versions" help:"The version that answers where no move says otherwise."`
	Routes  []Route `json:"routes" bounds:"at least one; names unique" help:"The kinds of request to the service."`
	Target  Target  `json:"target" help:"The latency that the service promises."`
}

// Version is one version of a service that can be deployed and served.
type Version struct {
	Name string `json:"name" bounds:"a name" help:"The version's name."`
	// Model is the model that engines load for this version. Empty for plain services.
	Model string `json:"model,omitempty" bounds:"needed by a model service" help:"The model that engines load for this version."`
	// Adapter is the adapter that is loaded on top of Model, empty for none.
	Adapter string `json:"adapter,omitempty" help:"The adapter that is loaded on top of the model."`
}

// Route is one kind of request to a service.
type Route struct {
	Name     string   `json:"name" bounds:"a name" help:"The route's name in callers' paths."`
	Priority Priority `json:"priority,omitempty" default:"normal" bounds:"interactive, normal or batch" help:"Which requests go first where they wait for the same backend servers."`
	// Repeatable is false for a call that must run at most once.
	Repeatable bool `json:"repeatable" default:"false" bounds:"true for a model service" help:"Whether a call may run again after it may have run; false means at most once."`
}

// Target holds the latency targets of a service, in milliseconds.
type Target struct {
	FirstTokenMillis   int `json:"first_token_ms,omitempty" unit:"ms" default:"1700" min:"1" max:"600000" help:"Time to the first token, 95 in 100."`
	BetweenTokenMillis int `json:"between_token_ms,omitempty" unit:"ms" default:"33" min:"1" max:"60000" help:"Time between tokens, 95 in 100."`
	AnswerMillis       int `json:"answer_ms,omitempty" unit:"ms" default:"10000" min:"1" max:"3600000" help:"Time to the answer of a plain service."`
}

// Workspace is a group of callers that share a token, a rate limit and a list of
// permitted routes.
type Workspace struct {
	Name string `json:"name" bounds:"a name" help:"The workspace's name in callers' headers."`
	// TokenSHA256 is the lower-case hex SHA-256 of the callers' bearer token.
	TokenSHA256 string `json:"token_sha256" bounds:"64 lower-case hex digits" help:"The SHA-256 of the callers' bearer token."`
	// Weight is the workspace's share of borrowed capacity, relative to the
	// weights of the other workspaces.
	Weight int `json:"weight,omitempty" default:"1" min:"1" max:"1000" help:"The share in borrowed capacity relative to other workspaces."`
	// RequestsPerSecond is the guaranteed total rate over all entry VMs.
	RequestsPerSecond float64 `json:"requests_per_second" unit:"requests/s" min:"0.001" max:"1000000" help:"The guaranteed rate over all entry VMs."`
	// Burst is the number of requests that may be accepted at once above the
	// guaranteed rate.
	Burst int `json:"burst,omitempty" unit:"requests" default:"20" min:"1" max:"100000" help:"Requests accepted at once above the rate."`
	// Routes lists the routes that the workspace may call, as "service/route".
	Routes []string `json:"routes" bounds:"service/route of this document" help:"What the workspace may call."`
}

// Move shifts a service's traffic from one version to another by a deadline.
type Move struct {
	Name     string    `json:"name" bounds:"a name" help:"The move's name."`
	Service  string    `json:"service" bounds:"a service of this document" help:"The service whose traffic moves."`
	From     string    `json:"from" bounds:"a version of the service" help:"The version that the traffic leaves."`
	To       string    `json:"to" bounds:"another version of the service" help:"The version that the traffic goes to."`
	Start    time.Time `json:"start" bounds:"needed" help:"When the first share may move."`
	Deadline time.Time `json:"deadline" bounds:"after the start" help:"When the move must be finished or taken back."`
	Guard    Guard     `json:"guard" help:"How much worse the new version may be than the old one."`
}

// Guard bounds the deterioration of the new version relative to the old one.
type Guard struct {
	// FailureIncrease is the tolerated increase of the failure ratio, above 0 and
	// at most 1.
	FailureIncrease float64 `json:"failure_increase,omitempty" unit:"ratio" default:"0.02" min:"0.0001" max:"1" help:"The tolerated rise of the failure ratio."`
	// Slowdown is the factor by which latency may increase, at least 1.
	Slowdown float64 `json:"slowdown,omitempty" unit:"factor" default:"1.5" min:"1" max:"100" help:"The tolerated factor on latency."`
}

// Fleet restricts the VMs that the fleet plan may start.
type Fleet struct {
	Classes          []string `json:"classes,omitempty" default:"all" help:"The machine classes that may be started."`
	AllowReclaimable bool     `json:"allow_reclaimable" default:"false" help:"Whether reclaimable VMs may be started."`
	MaxVMs           int      `json:"max_vms,omitempty" unit:"VMs" default:"64" min:"1" max:"10000" help:"The most VMs that may run at once."`
}

// Service returns the service with the given name, if there is one.
func (d *Document) Service(name string) (*Service, bool) {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i], true
		}
	}
	return nil, false
}

// Workspace returns the workspace with the given name, if there is one.
func (d *Document) Workspace(name string) (*Workspace, bool) {
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == name {
			return &d.Workspaces[i], true
		}
	}
	return nil, false
}

// Route returns the route with the given name, if there is one.
func (s *Service) Route(name string) (*Route, bool) {
	for i := range s.Routes {
		if s.Routes[i].Name == name {
			return &s.Routes[i], true
		}
	}
	return nil, false
}

// Version returns the version with the given name, if there is one.
func (s *Service) Version(name string) (*Version, bool) {
	for i := range s.Versions {
		if s.Versions[i].Name == name {
			return &s.Versions[i], true
		}
	}
	return nil, false
}

// Allows reports whether the workspace may call the given route of the service.
func (w *Workspace) Allows(service, route string) bool {
	for _, r := range w.Routes {
		if r == service+"/"+route {
			return true
		}
	}
	return false
}
