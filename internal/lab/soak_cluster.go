package lab

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
)

// vms returns the running VMs of all roles, sorted by id.
func (c *Cluster) vms() []ports.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []ports.VM
	for id := range c.entries {
		out = append(out, ports.VM{ID: id, Role: ports.EntryRole, AvailabilityZone: c.zones[id]})
	}
	for _, e := range c.engines {
		if e.stoppedAt.IsZero() {
			out = append(out, e.vm)
		}
	}
	for _, s := range c.services {
		out = append(out, s.vm)
	}
	slices.SortFunc(out, func(a, b ports.VM) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// addVM starts an additional VM of a role.
func (c *Cluster) addVM(role ports.Role, number int, zone string, seed uint64) (ports.VM, error) {
	vm := ports.VM{Role: role, AvailabilityZone: zone}
	switch role {
	case ports.EntryRole:
		vm.ID = fmt.Sprintf("entry-%02d", number)
		return vm, c.addEntry(number, zone, soakSize.Workers)
	case ports.EngineRole:
		vm.ID = fmt.Sprintf("engine-%02d", number)
		return vm, c.addEngine(number, zone, seed)
	case ports.ServiceRole:
		vm.ID = fmt.Sprintf("service-%02d", number)
		return vm, c.addService(number, zone, seed)
	}
	return vm, errors.Newf("unknown VM role %q", role)
}
