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
	c.RequiredAddress("admin", "listen", &s.AdminListen, "The address that operators' tools connect to.")
	c.RequiredSecret("admin", "token", &s.AdminToken, minAdminTokenBytes, "The bearer token of operators' tools.")
	c.Duration("admin", "submit_timeout", &s.SubmitTimeout, 10*time.Second, time.Second, time.Minute, "The maximum time that a submission waits to be read back from the log.")
	c.RequiredAddress("peer", "listen", &s.PeerListen, "The address that entry VMs' processes connect to.")
	c.OptionalAddress("peer", "advertise", &s.PeerAdvertise, "The address published to other processes; by default the listening address.")
	c.RequiredAddress("metrics", "listen", &s.MetricsListen, "The address that serves metrics, health and readiness.")
	c.RequiredAddress("log", "address", &s.LogAddress, "The platform's log service.")
	c.RequiredAddress("cloud", "address", &s.CloudAddress, "The platform's cloud API.")
	c.Duration("lease", "duration", &s.Lease.Duration, lease.DefaultConfig.Duration, time.Second, time.Minute, "Duration of the lease.")
	c.Duration("lease", "margin", &s.Lease.Margin, lease.DefaultConfig.Margin, 100*time.Millisecond, 30*time.Second, "Time before the lease's end at which its holder stops sending orders.")
	c.Duration("lease", "max_order", &s.Lease.MaxOrderTime, lease.DefaultConfig.MaxOrderTime, 100*time.Millisecond, 30*time.Second, "Timeout of an order.")
	c.Duration("orders", "load_interval", &s.Orders.LoadInterval, 500*time.Millisecond, time.Millisecond, time.Hour, "Mean time between loads of models from the weight store, over the complete fleet.")
	c.Int("orders", "load_burst", &s.Orders.Burst, 4, 1, 1000, "loads", "Loads of models from the weight store that may start at once.")
	c.Int("control", "checkpoint_records", &s.CheckpointRecords, 1000, 10, 1_000_000, "records", "Maximum number of control stream records between two checkpoints; at most a quarter of those that the log retains.")
	c.Duration("control", "checkpoint_interval", &s.CheckpointInterval, 10*time.Minute, time.Second, 24*time.Hour, "Maximum time between two checkpoints of the control stream; at most a quarter of the log's retention.")
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
