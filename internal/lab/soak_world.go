package lab

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/platform"
)

// vms returns the running VMs of all roles, sorted by id.
func (c *Cluster) vms() []platform.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []platform.VM
	for id := range c.entries {
		out = append(out, platform.VM{ID: id, Role: platform.EntryRole, AvailabilityZone: c.zones[id]})
	}
	for _, e := range c.engines {
		if e.stoppedAt.IsZero() {
			out = append(out, e.vm)
		}
	}
	for _, s := range c.services {
		out = append(out, s.vm)
	}
	slices.SortFunc(out, func(a, b platform.VM) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// addVM starts an additional VM of a role.
func (c *Cluster) addVM(role platform.Role, number int, zone string, seed uint64) (platform.VM, error) {
	vm := platform.VM{Role: role, AvailabilityZone: zone}
	switch role {
	case platform.EntryRole:
		vm.ID = fmt.Sprintf("entry-%02d", number)
		return vm, c.addEntry(number, zone, soakSize.Workers)
	case platform.EngineRole:
		vm.ID = fmt.Sprintf("engine-%02d", number)
		return vm, c.addEngine(number, zone, seed)
	case platform.ServiceRole:
		vm.ID = fmt.Sprintf("service-%02d", number)
		return vm, c.addService(number, zone, seed)
	}
	return vm, errors.Newf("unknown VM role %q", role)
}
