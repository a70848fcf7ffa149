package httpclient

import (
	"context"
	"net/http"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/protocol/cloudapi"
)

const cloudCallTimeout = 3 * time.Second

// Cloud is the adapter for the platform's cloud API.
type Cloud struct {
	client *Client
	base   string
}

var _ ports.Cloud = (*Cloud)(nil)

// NewCloud returns an adapter for the cloud API at address.
func NewCloud(client *Client, address string) *Cloud {
	return &Cloud{client: client, base: "http://" + address}
}

func (c *Cloud) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, cloudCallTimeout)
	defer cancel()
	return c.client.CallJSON(ctx, method, c.base+path, in, out)
}

// ListVMs returns the cloud's list of VMs, which may be out of date.
func (c *Cloud) ListVMs(ctx context.Context) ([]ports.VM, error) {
	var answer cloudapi.VMsAnswer
	err := c.call(ctx, http.MethodGet, cloudapi.VMsPath, nil, &answer)
	return answer.VMs, err
}

// Notices returns the VMs that have received a reclaim notice.
func (c *Cloud) Notices(ctx context.Context) ([]ports.VM, error) {
	var answer cloudapi.VMsAnswer
	err := c.call(ctx, http.MethodGet, cloudapi.NoticesPath, nil, &answer)
	return answer.VMs, err
}

// Prices returns the current prices.
func (c *Cloud) Prices(ctx context.Context) ([]ports.Price, error) {
	var answer cloudapi.PricesAnswer
	err := c.call(ctx, http.MethodGet, cloudapi.PricesPath, nil, &answer)
	return answer.Prices, err
}

// StartVM orders one VM.
func (c *Cloud) StartVM(ctx context.Context, order ports.StartOrder) (ports.VM, error) {
	var vm ports.VM
	err := c.call(ctx, http.MethodPost, cloudapi.StartPath, order, &vm)
	return vm, err
}

// StopVM stops one VM.
func (c *Cloud) StopVM(ctx context.Context, id string, fencing uint64) error {
	return c.call(ctx, http.MethodPost, cloudapi.StopPath, cloudapi.StopRequest{ID: id, FencingToken: fencing}, nil)
}
