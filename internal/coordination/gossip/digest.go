// Package gossip decides what entry VMs tell each other, and whom. A small
// deployment is a mesh: every VM tells every other. In a large one each
// availability zone has hubs: a VM tells its zone's hubs, hubs tell those of
// other zones the sum of theirs, and tell the VMs of their own zone the sum of
// all. So a VM's traffic does not grow with the number of VMs, and that between
// zones grows with the number of zones alone. Nothing here does I/O.
package gossip

// Kind says what a digest's sums are over.
type Kind int

// Kinds of digests.
const (
	// Own: what the sender itself does.
	Own Kind = iota
	// Zone: the sum over the sender's zone, for hubs of other zones.
	Zone
	// All: the sum over all VMs but the receiver, for a VM of the hub's zone.
	All
)

// Identity is what stays the same while an entry VM's process lives.
type Identity struct {
	VM               string
	Incarnation      uint64
	AvailabilityZone string
	PeerAddress      string
	CallerAddress    string
	// Capacity is the bandwidth of the VM's link in Mbit/s.
	Capacity int
}

// Member is a VM as another one knows it.
type Member struct {
	Identity
	Ready    bool
	Draining bool
}

// Digest is what one VM tells another.
type Digest struct {
	Member
	Kind     Kind
	Sequence uint64
	// WallMillis is the sender's time of day.
	WallMillis int64
	// Fence is the highest fence of the single duties that the sender knows.
	Fence uint64
	// HolderAddress is the peer address of the VM that holds the duties, and
	// HolderAgeMillis the time since it last said so.
	HolderAddress   string
	HolderAgeMillis uint64
	// HolderEnd is where the holder said then that the log of duties ends.
	HolderEnd uint64
	// DocumentEnd and ServersEnd say how far the sender has read the store.
	DocumentEnd uint64
	ServersEnd  uint64
	// ReadsStore is true for a sender that reads the store itself, with success.
	ReadsStore bool
	// Count is the number of VMs that the sums are over.
	Count   int
	Loads   []Load
	Quotas  []Quota
	Work    []Work
	Usage   []Usage
	Members []Member
	Moves   []Move
}

// Move is what the sender knows of a service's move to another version. The
// evidence is a sum like the loads are.
type Move struct {
	Service uint32
	Order   uint64
	Phase   int
	New     uint64
	NewBad  uint64
	Old     uint64
	OldBad  uint64
}

// Load is work on one backend server, by the server's hash.
type Load struct {
	Server  uint32
	Prefill uint64
	Running uint64
	Memory  uint64
}

// Quota is what has been admitted of a workspace, a sum that only grows.
type Quota struct {
	Workspace uint32
	Total     uint64
}

// Work is the engine time that a service has been asked for, in milliseconds, a
// sum that only grows.
type Work struct {
	Service uint32
	Millis  uint64
}

// Usage is the number of requests that began at the sender in a window.
type Usage struct {
	Window    int64
	Workspace string
	Count     int
}
