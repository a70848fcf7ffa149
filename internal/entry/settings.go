package entry

import (
	"time"

	"coltsfootpath.example/coltsfootpath/internal/settings"
)

// Settings configures the entry node of one VM.
type Settings struct {
	VM                string
	AvailabilityZone  string
	Listen            string
	Advertise         string
	PeerListen        string
	PeerAdvertise     string
	MetricsListen     string
	LogAddress        string
	CloudAddress      string
	AddressTTL        time.Duration
	DrainTimeout      time.Duration
	FinishedRetention time.Duration
	UnreadTimeout     time.Duration
	MemoryMB          float64
	MaxDescriptors    int
	MaxOpenRequests   int
	MaxBodyBytes      int
	Workers           int
	DefaultDeadline   time.Duration
	VMListInterval    time.Duration
	LoadInterval      time.Duration
}

// Schema sets s to the default values and returns the schema that reads
// settings into s.
func (s *Settings) Schema() *settings.Schema {
	c := settings.NewSchema("coltsfoot-entry")
	c.RequiredName("vm", "id", &s.VM, "This VM's id in the cloud's list.")
	c.RequiredName("vm", "availability_zone", &s.AvailabilityZone, "The availability zone of this VM.")
	c.Float("vm", "memory_mb", &s.MemoryMB, 256, 64, 1<<20, "MB", "Memory that the process may use.")
	c.Int("vm", "max_fds", &s.MaxDescriptors, 4096, 256, 1<<20, "descriptors", "Descriptors that the process may have open; 200 of them are kept for files.")
	c.RequiredAddress("caller", "listen", &s.Listen, "The address that callers connect to.")
	c.OptionalAddress("caller", "advertise", &s.Advertise, "The address published to callers; by default the listening address.")
	c.Int("caller", "max_body_bytes", &s.MaxBodyBytes, 1<<20, 1<<10, 16<<20, "bytes", "The largest body that a caller may send.")
	c.Duration("caller", "keep", &s.AddressTTL, 10*time.Second, time.Second, 10*time.Minute, "The time for which callers may cache addresses.")
	c.RequiredAddress("peer", "listen", &s.PeerListen, "The address that other entry VMs connect to.")
	c.OptionalAddress("peer", "advertise", &s.PeerAdvertise, "The address published to other entry VMs; by default the listening address.")
	c.RequiredAddress("metrics", "listen", &s.MetricsListen, "The address that serves metrics, health and readiness.")
	c.RequiredAddress("log", "address", &s.LogAddress, "The platform's log service.")
	c.RequiredAddress("cloud", "address", &s.CloudAddress, "The platform's cloud API.")
	c.Duration("cloud", "list_interval", &s.VMListInterval, 500*time.Millisecond, 50*time.Millisecond, time.Minute, "The interval at which the VM list and the notices are read.")
	c.Duration("backends", "load_interval", &s.LoadInterval, 250*time.Millisecond, 20*time.Millisecond, 10*time.Second, "The interval at which a backend server's load is polled.")
	c.Int("requests", "max_open", &s.MaxOpenRequests, 4096, 1, 100_000, "requests", "Requests that may be open at once.")
	c.Int("requests", "workers", &s.Workers, 1024, 1, 20_000, "workers", "Requests that may run at once; more wait in the queue.")
	c.Duration("requests", "finished_keep", &s.FinishedRetention, time.Minute, time.Second, time.Hour, "The time for which a finished answer is kept for caller retries.")
	c.Duration("requests", "unread_keep", &s.UnreadTimeout, 30*time.Second, 100*time.Millisecond, time.Hour, "The time for which a request continues while no caller reads it.")
	c.Duration("requests", "default_deadline", &s.DefaultDeadline, time.Minute, time.Second, time.Hour, "The deadline of a request without one.")
	c.Duration("drain", "timeout", &s.DrainTimeout, 60*time.Second, time.Second, time.Hour, "The maximum time that a graceful shutdown waits for open requests.")
	return c
}

// advertise sets the advertised addresses that the settings omit. caller and peer are
// the addresses that the node listens on.
func (s *Settings) advertise(caller, peer string) {
	if s.Advertise == "" {
		s.Advertise = caller
	}
	if s.PeerAdvertise == "" {
		s.PeerAdvertise = peer
	}
}
