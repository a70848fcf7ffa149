package coordinator

import (
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/lease"
	"coltsfootpath.example/coltsfootpath/internal/coordination/modelorders"
	"coltsfootpath.example/coltsfootpath/internal/findings"
	"coltsfootpath.example/coltsfootpath/internal/settings"
)

const minAdminTokenBytes = 16

// Settings configures one coordinator.
type Settings struct {
	VM            string
	AdminListen   string
	AdminToken    string
	PeerListen    string
	PeerAdvertise string
	MetricsListen string
	LogAddress    string
	CloudAddress  string
	Lease         lease.Config
	SubmitTimeout time.Duration
	Orders        modelorders.ThrottleConfig
	// CheckpointRecords and CheckpointInterval bound the number of records and
	// the time between two checkpoints of the control stream.
	CheckpointRecords  int
	CheckpointInterval time.Duration
}

// Schema sets the defaults in s and returns the schema that loads a settings
// file into s.
func (s *Settings) Schema() *settings.Schema {
	s.Lease = lease.DefaultConfig
	c := settings.NewSchema("coltsfoot-coordinator")
	c.RequiredName("vm", "id", &s.VM, "This VM's id in the cloud's list.")
	c.RequiredAddress("admin", "listen", &s.AdminListen, "Where operators' tools connect.")
	c.RequiredSecret("admin", "token", &s.AdminToken, minAdminTokenBytes, "The bearer token of operators' tools.")
	c.Duration("admin", "submit_timeout", &s.SubmitTimeout, 10*time.Second, time.Second, time.Minute, "How long a submission waits until it is read back from the log.")
	c.RequiredAddress("peer", "listen", &s.PeerListen, "Where entry VMs' processes connect.")
	c.OptionalAddress("peer", "advertise", &s.PeerAdvertise, "The address told to other processes; the listening one where it is absent.")
	c.RequiredAddress("metrics", "listen", &s.MetricsListen, "Where metrics, health and readiness are served.")
	c.RequiredAddress("log", "address", &s.LogAddress, "The platform's log service.")
	c.RequiredAddress("cloud", "address", &s.CloudAddress, "The platform's cloud API.")
	c.Duration("lease", "duration", &s.Lease.Duration, lease.DefaultConfig.Duration, time.Second, time.Minute, "Length of a term of the lease.")
	c.Duration("lease", "margin", &s.Lease.Margin, lease.DefaultConfig.Margin, 100*time.Millisecond, 30*time.Second, "How long before a term's end its holder stops giving orders.")
	c.Duration("lease", "max_order", &s.Lease.MaxOrderTime, lease.DefaultConfig.MaxOrderTime, 100*time.Millisecond, 30*time.Second, "How long an order may be under way.")
	c.Duration("orders", "load_interval", &s.Orders.LoadInterval, 500*time.Millisecond, time.Millisecond, time.Hour, "Mean time between loads of models from the weight store, over the whole fleet.")
	c.Int("orders", "load_burst", &s.Orders.Burst, 4, 1, 1000, "loads", "Loads of models from the weight store that may begin at once.")
	c.Int("control", "checkpoint_records", &s.CheckpointRecords, 1000, 10, 1_000_000, "records", "Records of the control stream after which its state is restated; at most a quarter of what the log keeps.")
	c.Duration("control", "checkpoint_interval", &s.CheckpointInterval, 10*time.Minute, time.Second, 24*time.Hour, "How long the control stream goes on before its state is restated; at most a quarter of the log's retention.")
	c.Check(func(found *findings.List) {
		if 2*s.Lease.Margin > s.Lease.Duration {
			found.Addf("[lease] margin", "is more than half of the lease duration %v", s.Lease.Duration)
		}
	})
	return c
}

// SetDefaults sets absent settings whose defaults depend on other settings.
func (s *Settings) SetDefaults() {
	if s.PeerAdvertise == "" {
		s.PeerAdvertise = s.PeerListen
	}
}
