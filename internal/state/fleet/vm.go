// Package fleet holds the state of the VMs: the platform's list, reclaim notices,
// and the load that backend servers report.
package fleet

import "time"

// Role is the kind of program that a VM runs.
type Role string

// Roles of VMs.
const (
	EntryRole   Role = "entry"
	EngineRole  Role = "engine"
	ServiceRole Role = "service"
)

// VM is one entry of the cloud's list of VMs, which may be out of date.
type VM struct {
	ID               string    `json:"id"`
	AvailabilityZone string    `json:"availability_zone"`
	Class            string    `json:"class"`
	Reclaimable      bool      `json:"reclaimable"`
	Role             Role      `json:"role"`
	Address          string    `json:"address"`
	PeerAddress      string    `json:"peer_address,omitempty"`
	Service          string    `json:"service,omitempty"`
	ChecksFencing    bool      `json:"checks_fencing,omitempty"`
	Leaving          bool      `json:"leaving,omitempty"`
	LeaveDeadline    time.Time `json:"leave_by,omitzero"`
}

// LoadReport is the load that an engine reports for itself, as measured at At.
type LoadReport struct {
	Running       int       `json:"running"`
	Waiting       int       `json:"waiting"`
	QueuedPrefill int       `json:"queued_prefill"`
	Slots         int       `json:"slots"`
	Models        []string  `json:"models"`
	At            time.Time `json:"at"`
}
