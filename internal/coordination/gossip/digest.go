// Package gossip decides, without any I/O, which digests an entry VM sends, and to
// which peers. A small deployment is a mesh: every VM sends its digest to every
// other VM. In a large one each availability zone has hubs: a VM sends its digest
// to the hubs of its zone, hubs send the aggregate of their zone to the hubs of
// other zones, and the aggregate over all zones to the VMs of their own zone. The
// traffic of a VM therefore does not grow with the number of VMs, and the traffic
// between zones grows only with the number of zones.
package gossip

import (
	"coltsfootpath.example/coltsfootpath/internal/coordination/quarantine"
	"coltsfootpath.example/coltsfootpath/internal/coordination/serverlimit"
	"coltsfootpath.example/coltsfootpath/internal/state/storelog"
)

// Kind is the set of VMs over which a digest aggregates.
type Kind int

// Values of Kind.
const (
	// Own covers only the sender.
	Own Kind = iota
	// Zone is the aggregate over the sender's zone. A hub sends it to the hubs of
	// other zones.
	Zone
	// AllVMs is the aggregate over all VMs except the receiver. A hub sends it to the
	// VMs of its zone.
	AllVMs
)

// Identity holds the properties of an entry VM that do not change during the
// lifetime of its process.
type Identity struct {
	VM               string
	Incarnation      uint64
	AvailabilityZone string
	PeerAddress      string
	CallerAddress    string
	// LinkMbps is the bandwidth of the VM's link in Mbit/s.
	LinkMbps int
}

// Member is the state of a VM as reported to other VMs.
type Member struct {
	Identity
	Ready    bool
	Draining bool
	// IsCutOff is true if the VM has lost its links to the backend servers of a service.
	IsCutOff bool
}

// Digest is the state that one VM sends to another.
type Digest struct {
	Member
	Kind     Kind
	Sequence uint64
	// WallMillis is the sender's wall clock in Unix milliseconds.
	WallMillis int64
	// FencingToken is the highest fencing token of the singleton duties' lease
	// that the sender has observed.
	FencingToken uint64
	// HolderAddress is the peer address of the lease holder, and HolderAgeMillis
	// the time since its last report.
	HolderAddress   string
	HolderAgeMillis uint64
	// HolderEnd is the end of the duties log in the holder's last report, in the era of
	// FencingToken.
	HolderEnd storelog.Position
	// DocumentEnd and ServersEnd are the positions up to which the sender has read the
	// two topics of the store.
	DocumentEnd storelog.Position
	ServersEnd  storelog.Position
	// DocumentAge and ServersAge are the times since the store last confirmed what the
	// sender has read of the two topics.
	DocumentAge ConfirmationAge
	ServersAge  ConfirmationAge
	// ReadsStore is true if the sender itself reads the store successfully.
	ReadsStore bool
	// Count is the number of VMs covered by the aggregate.
	Count          int
	Loads          []Load
	AdmittedTotals []AdmittedTotal
	Work           []Work
	Usage          []Usage
	Members        []Member
	Moves          []Move
	// Limits holds what servers have stated about their limits, with news for the receivers.
	Limits []serverlimit.Statement
	// Brittle holds what servers have stated about the rejections that they survive.
	Brittle []serverlimit.Statement
	// Contents holds the request contents that have lost servers, with news for the
	// receivers.
	Contents []quarantine.Entry
}

// ConfirmationAge is the time since the store showed a VM that it had no further records of
// a topic.
type ConfirmationAge struct {
	Known  bool
	Millis uint64
}

// Move reports the state of a service's version move. Order is the position of the
// operator's order for the move. NewSent and OldSent count the requests sent to the two
// versions since then. NewAnswers and OldAnswers count the answers of the
// two versions since then, NewFailures and OldFailures the failed ones among them.
// NewTimed and OldTimed count the attempts whose time to the first token is known or
// overdue, NewSlow and OldSlow the slow ones among them.
// The counts are aggregated like loads.
type Move struct {
	Service     uint32
	Order       uint64
	Phase       int
	NewAnswers  uint64
	NewFailures uint64
	OldAnswers  uint64
	OldFailures uint64
	NewTimed    uint64
	NewSlow     uint64
	OldTimed    uint64
	OldSlow     uint64
	NewSent     uint64
	OldSent     uint64
}

// Load is the work on one backend server, identified by the server's hash: the
// prompt tokens still to be computed, the running requests, and the tokens that
// these hold in memory. AnswerTokens is the number of tokens that they are expected
// to produce yet. SpeedSamples and SpeedSum are the samples of the server's
// speed since the sender's last digest, see cost.SpeedSamples.
type Load struct {
	Server        uint32
	PrefillTokens uint64
	Running       uint64
	MemoryTokens  uint64
	AnswerTokens  uint64
	SpeedSamples  uint64
	SpeedSum      uint64
}

// AdmittedTotal is the total cost of the requests admitted for a workspace. It decreases
// only by refunds.
type AdmittedTotal struct {
	Workspace uint32
	Total     uint64
}

// Work is a total of a service that never decreases: the engine time, in milliseconds, that its
// requests have demanded, or the number of its answers of some kind. Service is the hash of the
// total's name, which is that of the service for the engine time.
type Work struct {
	Service uint32
	Millis  uint64
}

// Usage is the number of requests that started at the sender in a window.
type Usage struct {
	Window    int64
	Workspace string
	Count     int
}
