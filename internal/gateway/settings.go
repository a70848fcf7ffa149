package gateway

import (
	"net"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/settings"
)

// Settings configures the process of one entry VM on an operator's platform.
type Settings struct {
	VM               string
	AvailabilityZone string

	CallerAddress    string
	ReadyAddress     string
	DirectoryAddress string
	PeerAddress      string
	MetricsAddress   string
	// SeedAddresses holds comma-separated peer addresses of a few other VMs, some of
	// which may be down.
	SeedAddresses string

	StoreAddress string
	CloudAddress string

	// DocumentBound is the time from the store's acknowledgement of a document until it is
	// in force at every VM, and LeaveBound that of a server's announcement to leave until no
	// VM sends it requests.
	DocumentBound time.Duration
	LeaveBound    time.Duration
	// EvacuationBound is the time from the acknowledgement that an availability zone is
	// evacuated until no VM sends requests there. If it is 0, DocumentBound applies.
	EvacuationBound time.Duration
	// ColdOver and ColdSlack bound the requests that a cold server gets in one second from all
	// VMs: ColdOver times what the document states for its service, and ColdSlack beyond that.
	// There is no bound if ColdOver is 0.
	ColdOver  float64
	ColdSlack float64

	// FirstStart is true if all VMs of the deployment start for the first time.
	FirstStart bool

	// SourceAddress is the local address of connections to backend servers. Empty means
	// that the system chooses it.
	SourceAddress net.IP

	MemoryMB float64
	// MaxDescriptors is the number of descriptors that the process may have open.
	MaxDescriptors int
	LinkMbps       float64
	Grace          time.Duration

	Lease       time.Duration
	UsageWindow time.Duration
	// UsageReportTimeout bounds the time from a window's end to its report.
	UsageReportTimeout time.Duration

	// RetryRatio and RetrySlack bound the retries that all nodes together send in
	// RetryWindow: RetryRatio for each request, RetrySlack beyond that.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// QuotaSlack is the amount, in tokens or requests, that a workspace may get
	// beyond its quota in a window.
	QuotaSlack float64
	// LearnedCost is true if what requests cost and how fast servers are is learned from
	// answers.
	LearnedCost bool
	// AddressTTL bounds the time for which callers cache addresses.
	AddressTTL time.Duration
}

// settingChanges lists the settings and whether a running process can change
// them.
var settingChanges = []struct {
	name string
	// live is set for a setting that a reload applies. The others need a restart.
	live  bool
	equal func(a, b *Settings) bool
}{
	{"vm.name", false, func(a, b *Settings) bool { return a.VM == b.VM && a.AvailabilityZone == b.AvailabilityZone }},
	// The platform sets it back once the deployment has started.
	{"vm.first_start", true, func(a, b *Settings) bool { return a.FirstStart == b.FirstStart }},
	{"vm.source_address", false, func(a, b *Settings) bool { return a.SourceAddress.Equal(b.SourceAddress) }},
	{"vm.memory_mb", true, func(a, b *Settings) bool { return a.MemoryMB == b.MemoryMB }},
	{"vm.max_fds", false, func(a, b *Settings) bool { return a.MaxDescriptors == b.MaxDescriptors }},
	{"vm.link_mbps", false, func(a, b *Settings) bool { return a.LinkMbps == b.LinkMbps }},
	{"vm.grace", true, func(a, b *Settings) bool { return a.Grace == b.Grace }},
	{"listen", false, func(a, b *Settings) bool {
		return a.CallerAddress == b.CallerAddress && a.ReadyAddress == b.ReadyAddress && a.DirectoryAddress == b.DirectoryAddress && a.PeerAddress == b.PeerAddress && a.MetricsAddress == b.MetricsAddress
	}},
	{"listen.seeds", true, func(a, b *Settings) bool { return a.SeedAddresses == b.SeedAddresses }},
	{"listen.address_keep", true, func(a, b *Settings) bool { return a.AddressTTL == b.AddressTTL }},
	{"platform", true, func(a, b *Settings) bool { return a.StoreAddress == b.StoreAddress && a.CloudAddress == b.CloudAddress }},
	{"platform.bounds", true, func(a, b *Settings) bool {
		return a.DocumentBound == b.DocumentBound && a.LeaveBound == b.LeaveBound && a.EvacuationBound == b.EvacuationBound
	}},
	{"cold_servers", true, func(a, b *Settings) bool { return a.ColdOver == b.ColdOver && a.ColdSlack == b.ColdSlack }},
	{"duties.lease", false, func(a, b *Settings) bool { return a.Lease == b.Lease }},
	{"duties.usage_window", false, func(a, b *Settings) bool { return a.UsageWindow == b.UsageWindow }},
	{"duties.usage_late", true, func(a, b *Settings) bool { return a.UsageReportTimeout == b.UsageReportTimeout }},
	{"retries", true, func(a, b *Settings) bool {
		return a.RetryRatio == b.RetryRatio && a.RetrySlack == b.RetrySlack && a.RetryWindow == b.RetryWindow
	}},
	{"placement.learned_cost", true, func(a, b *Settings) bool { return a.LearnedCost == b.LearnedCost }},
	{"quota.slack", true, func(a, b *Settings) bool { return a.QuotaSlack == b.QuotaSlack }},
}

// operatorBound returns the time within which the operator's records must be in force.
func (s *Settings) operatorBound() time.Duration {
	if s.EvacuationBound == 0 {
		return s.DocumentBound
	}
	return min(s.DocumentBound, s.EvacuationBound)
}

// changes returns the names of the settings that differ: those that a reload
// applies, and those that need a restart.
func (s *Settings) changes(next *Settings) (applied, needRestart []string) {
	for _, c := range settingChanges {
		switch {
		case c.equal(s, next):
		case c.live:
			applied = append(applied, c.name)
		default:
			needRestart = append(needRestart, c.name)
		}
	}
	return applied, needRestart
}

// Schema returns the settings' schema, bound to s.
func (s *Settings) Schema() *settings.Schema {
	schema := settings.NewSchema("coltsfoot-gateway")
	schema.RequiredName("vm", "name", &s.VM, "name of this VM")
	schema.RequiredName("vm", "availability_zone", &s.AvailabilityZone, "availability zone of this VM")
	schema.Bool("vm", "first_start", &s.FirstStart, false, "whether all VMs of the deployment start for the first time")
	schema.OptionalIP("vm", "source_address", &s.SourceAddress, "local address of connections to backend servers; the system chooses it if empty")
	schema.Float("vm", "memory_mb", &s.MemoryMB, 256, 64, 1<<20, "MB", "memory that the process may use")
	schema.Int("vm", "max_fds", &s.MaxDescriptors, 4096, 256, 1<<20, "descriptors", "descriptors that the process may have open; 200 of them are kept for files")
	schema.Float("vm", "link_mbps", &s.LinkMbps, 1000, 0, 1e6, "Mbit/s", "bandwidth of the VM's link")
	schema.Duration("vm", "grace", &s.Grace, 8*time.Second, time.Second, time.Hour, "time from SIGTERM to the kill")
	schema.RequiredAddress("listen", "callers", &s.CallerAddress, "address that callers connect to")
	schema.RequiredAddress("listen", "ready", &s.ReadyAddress, "address of the readiness endpoint")
	schema.RequiredAddress("listen", "directory", &s.DirectoryAddress, "address of the directory endpoint")
	schema.RequiredAddress("listen", "peers", &s.PeerAddress, "UDP address for other entry VMs")
	schema.RequiredAddress("listen", "metrics", &s.MetricsAddress, "address of the metrics endpoint")
	schema.OptionalText("listen", "seeds", &s.SeedAddresses, "comma-separated addresses of a few other entry VMs; the port is that of listen.peers")
	schema.RequiredAddress("platform", "store", &s.StoreAddress, "address of the platform's store")
	schema.RequiredAddress("platform", "cloud", &s.CloudAddress, "address for orders and usage reports")
	schema.Duration("platform", "document_bound", &s.DocumentBound, 2*time.Second, 500*time.Millisecond, time.Minute, "maximum time from the store's acknowledgement of a document until it is in force at every VM")
	schema.Duration("platform", "leave_bound", &s.LeaveBound, 2*time.Second, 500*time.Millisecond, time.Minute, "maximum time from the acknowledgement that a server leaves until no VM sends it requests")
	schema.Duration("platform", "evacuation_bound", &s.EvacuationBound, 0, 0, time.Minute, "maximum time from the acknowledgement that an availability zone is evacuated until no VM sends requests there; document_bound applies if it is 0 or longer")
	schema.Float("cold_servers", "over", &s.ColdOver, 0, 0, 100, "factor", "requests that a cold server gets in one second from all VMs at most, as a multiple of what the document states; 0 means no bound")
	schema.Float("cold_servers", "slack", &s.ColdSlack, 0, 0, 1<<20, "requests", "requests that a cold server may get in one second beyond that")
	schema.Duration("duties", "lease", &s.Lease, 3*time.Second, 100*time.Millisecond, time.Hour, "duration of the lease for the singleton duties")
	schema.Duration("duties", "usage_window", &s.UsageWindow, 5*time.Second, time.Second, time.Hour, "length of a usage window")
	schema.Duration("duties", "usage_late", &s.UsageReportTimeout, 10*time.Second, time.Second, time.Hour, "maximum time from the end of a usage window to its report")
	schema.Float("retries", "ratio", &s.RetryRatio, 0.2, 0, 1, "share", "retries allowed per request")
	schema.Float("retries", "slack", &s.RetrySlack, 50, 0, 1<<20, "requests", "retries allowed beyond the ratio, in a window, by all VMs")
	schema.Duration("retries", "window", &s.RetryWindow, 10*time.Second, time.Second, time.Hour, "length of the window in which retries are counted")
	schema.Float("quota", "slack", &s.QuotaSlack, 0, 0, 1<<30, "tokens or requests", "amount that a workspace may get beyond its quota in a window")
	schema.Bool("placement", "learned_cost", &s.LearnedCost, true, "whether the cost of requests and the speed of servers are learned from answers; if not, fixed rates apply")
	schema.Duration("listen", "address_keep", &s.AddressTTL, 5*time.Second, time.Second, time.Hour, "maximum time for which callers cache addresses")
	return schema
}
