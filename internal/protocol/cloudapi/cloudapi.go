// Package cloudapi defines the HTTP protocol of the platform's cloud API.
package cloudapi

import "coltsfootpath.example/coltsfootpath/internal/coordination/ports"

// Paths of the cloud API.
const (
	VMsPath     = "/v1/vms"
	NoticesPath = "/v1/notices"
	PricesPath  = "/v1/prices"
	StartPath   = "/v1/vms/start"
	StopPath    = "/v1/vms/stop"
)

// VMsAnswer lists VMs.
type VMsAnswer struct {
	VMs []ports.VM `json:"vms"`
}

// PricesAnswer lists prices.
type PricesAnswer struct {
	Prices []ports.Price `json:"prices"`
}

// StopRequest asks to stop one VM. It carries the sender's fencing token.
type StopRequest struct {
	ID           string `json:"id"`
	FencingToken uint64 `json:"fencing"`
}
