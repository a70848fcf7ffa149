// Package cloud is a small stand-in for the platform's cloud API. It simulates
// a delayed VM list, reclaim notices, rejected starts, and prices by
// availability zone and class.
package cloud

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
)

// Faults holds the faults that can be set at run time.
type Faults struct {
	Outage bool `json:"outage"`
	// RejectStarts lists the "zone/class" pairs in which starts are rejected.
	RejectStarts []string `json:"refuse_starts"`
}

// StartFunc starts the process of a new VM and returns the VM with its
// addresses.
type StartFunc func(vm ports.VM) (ports.VM, error)

// Config configures a Cloud.
type Config struct {
	// ListLag is the delay before a change appears in ListVMs.
	ListLag time.Duration
	Prices  []ports.Price
	Start   StartFunc
	// OnReclaim is called after a VM has been removed at the end of its reclaim
	// notice.
	OnReclaim func(vm ports.VM)
}

type vmRecord struct {
	vm ports.VM
	// visibleAt is the time at which the newest change, the start or the reclaim
	// notice, appears in ListVMs.
	visibleAt   time.Time
	removedAt   time.Time
	noticeGiven bool
}

// Cloud is the in-memory cloud. It implements ports.Cloud for use within a
// process, and is safe for concurrent use.
type Cloud struct {
	cfg Config

	mu         sync.Mutex
	faults     Faults
	vms        map[string]*vmRecord
	vmByOrder  map[string]string
	startCount int
}

var _ ports.Cloud = (*Cloud)(nil)

// New returns a cloud that has no VMs.
func New(cfg Config) *Cloud {
	return &Cloud{cfg: cfg, vms: map[string]*vmRecord{}, vmByOrder: map[string]string{}}
}

// SetFaults replaces the active faults.
func (c *Cloud) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// Add registers a running VM. ListVMs shows it immediately.
func (c *Cloud) Add(vm ports.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms[vm.ID] = &vmRecord{vm: vm}
}

// Remove removes a VM immediately. ListVMs shows it until ListLag has passed.
func (c *Cloud) Remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if record, ok := c.vms[id]; ok && record.removedAt.IsZero() {
		record.removedAt = time.Now()
	}
}

// Reclaim gives a reclaim notice to the matching VMs without one, and returns these
// VMs. It removes them when the notice period ends.
func (c *Cloud) Reclaim(notice time.Duration, match func(ports.VM) bool) []ports.VM {
	c.mu.Lock()
	var reclaimed []ports.VM
	for _, record := range c.vms {
		if record.removedAt.IsZero() && !record.noticeGiven && match(record.vm) {
			record.noticeGiven = true
			record.vm.Leaving = true
			record.vm.LeaveDeadline = time.Now().Add(notice)
			record.visibleAt = time.Now().Add(c.cfg.ListLag)
			reclaimed = append(reclaimed, record.vm)
		}
	}
	c.mu.Unlock()
	time.AfterFunc(notice, func() {
		for _, vm := range reclaimed {
			c.Remove(vm.ID)
			if c.cfg.OnReclaim != nil {
				c.cfg.OnReclaim(vm)
			}
		}
	})
	return reclaimed
}

// ListVMs returns the VMs sorted by id. Starts, notices and removals appear
// after ListLag.
func (c *Cloud) ListVMs(context.Context) ([]ports.VM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.Outage {
		return nil, errors.Wrap(ports.ErrUnavailable, "cloud is down")
	}
	now := time.Now()
	var list []ports.VM
	for _, record := range c.vms {
		if !record.removedAt.IsZero() && now.Sub(record.removedAt) > c.cfg.ListLag {
			continue
		}
		vm := record.vm
		if vm.Leaving && now.Before(record.visibleAt) {
			vm.Leaving, vm.LeaveDeadline = false, time.Time{}
		}
		if !vm.Leaving && now.Before(record.visibleAt) && !record.noticeGiven {
			continue
		}
		list = append(list, vm)
	}
	slices.SortFunc(list, func(a, b ports.VM) int { return cmp.Compare(a.ID, b.ID) })
	return list, nil
}

// Notices returns the VMs that have a reclaim notice, without delay.
func (c *Cloud) Notices(context.Context) ([]ports.VM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.Outage {
		return nil, errors.Wrap(ports.ErrUnavailable, "cloud is down")
	}
	var list []ports.VM
	for _, record := range c.vms {
		if record.noticeGiven && record.removedAt.IsZero() {
			list = append(list, record.vm)
		}
	}
	slices.SortFunc(list, func(a, b ports.VM) int { return cmp.Compare(a.ID, b.ID) })
	return list, nil
}

// Prices returns the current prices.
func (c *Cloud) Prices(context.Context) ([]ports.Price, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.cfg.Prices), nil
}

// SetPrices replaces the prices.
func (c *Cloud) SetPrices(prices []ports.Price) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.Prices = prices
}

// StartVM starts a VM. If the order id was used before, it returns the VM that
// was started for it.
func (c *Cloud) StartVM(_ context.Context, order ports.StartOrder) (ports.VM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.Outage {
		return ports.VM{}, errors.Wrap(ports.ErrUnavailable, "cloud is down")
	}
	if id, ok := c.vmByOrder[order.OrderID]; ok {
		return c.vms[id].vm, nil
	}
	if slices.Contains(c.faults.RejectStarts, order.AvailabilityZone+"/"+order.Class) {
		return ports.VM{}, errors.Mark(errors.New("no capacity"), ports.ErrOverloaded)
	}
	c.startCount++
	vm := ports.VM{
		ID:               fmt.Sprintf("vm-started-%d", c.startCount),
		AvailabilityZone: order.AvailabilityZone,
		Class:            order.Class,
		Reclaimable:      order.Reclaimable,
		Role:             order.Role,
	}
	if c.cfg.Start != nil {
		started, err := c.cfg.Start(vm)
		if err != nil {
			return ports.VM{}, err
		}
		vm = started
	}
	c.vms[vm.ID] = &vmRecord{vm: vm, visibleAt: time.Now().Add(c.cfg.ListLag)}
	c.vmByOrder[order.OrderID] = vm.ID
	return vm, nil
}

// StopVM stops a VM. It does nothing if the VM is stopped already.
func (c *Cloud) StopVM(_ context.Context, id string, _ uint64) error {
	c.Remove(id)
	return nil
}
