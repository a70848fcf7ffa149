package gateway

import "slices"

// othersAt returns the servers at an address other than the one with the given id.
func (t *backendTable) othersAt(address, id string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, b := range t.byAddress[address] {
		if b.id != id {
			out = append(out, b.id)
		}
	}
	return out
}

// index puts a server into byService and byAddress, in the place of its earlier process if that
// is not nil. A node that starts puts all servers one by one. The caller must hold the lock.
func (t *backendTable) index(old, b *backend) {
	if old == nil {
		t.byService[b.info.Service] = append(t.byService[b.info.Service], b)
		t.byAddress[b.info.Address] = append(t.byAddress[b.info.Address], b)
		return
	}
	if old.info.Service != b.info.Service || old.info.Address != b.info.Address {
		t.reindex()
		return
	}
	t.byService[b.info.Service] = replaced(t.byService[b.info.Service], old, b)
	t.byAddress[b.info.Address] = replaced(t.byAddress[b.info.Address], old, b)
}

// replaced returns a copy of list with b in the place of old. Lists are also read without the
// lock.
func replaced(list []*backend, old, b *backend) []*backend {
	out := slices.Clone(list)
	for i, x := range out {
		if x == old {
			out[i] = b
		}
	}
	return out
}

// reindex rebuilds byService and byAddress. The caller must hold the lock.
func (t *backendTable) reindex() {
	t.byService, t.byAddress = map[string][]*backend{}, map[string][]*backend{}
	for _, b := range t.byID {
		t.byService[b.info.Service] = append(t.byService[b.info.Service], b)
		t.byAddress[b.info.Address] = append(t.byAddress[b.info.Address], b)
	}
}
