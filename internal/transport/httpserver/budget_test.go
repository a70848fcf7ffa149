package httpserver

import "testing"

// TestBudgetFits: what callers may hold fits into the memory and the descriptors of VMs.
func TestBudgetFits(t *testing.T) {
	const megabyte = 1 << 20
	for _, vm := range []struct {
		memoryMB    float64
		descriptors int
	}{{144, 1000}, {144, 3075}, {184, 4100}, {284, 4100}, {536, 10_250}, {4096, 1 << 20}} {
		b := NewBudget(vm.memoryMB*megabyte, vm.descriptors)
		all := b.Connections + b.DirectoryConnections + otherConnections
		if float64(all*connectionBytes) > connectionMemoryShare*vm.memoryMB*megabyte {
			t.Errorf("%v: %d connections hold %d bytes", vm, all, all*connectionBytes)
		}
		if 2*all > vm.descriptors-reservedDescriptors {
			t.Errorf("%v: %d connections, and as many to servers", vm, all)
		}
		if b.MemoryBytes != int64(vm.memoryMB*megabyte/4) || b.Connections < 200 {
			t.Errorf("%v: %+v", vm, b)
		}
	}
}
