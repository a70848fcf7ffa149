package fleet

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Table holds the newest view, which is read without a lock.
type Table struct {
	view atomic.Pointer[View]
	// mu serialises writers. It is acquired after the locks of the request table
	// and of its requests, and before a server's own lock.
	mu             sync.Mutex
	leaveCallbacks []func(VM)
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.view.Store(newView(nil))
	return t
}

// View returns the newest view.
func (t *Table) View() *View {
	return t.view.Load()
}

// OnLeave registers f to be called once for each server that begins to leave.
func (t *Table) OnLeave(f func(VM)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaveCallbacks = append(t.leaveCallbacks, f)
}

// SetVMs replaces the servers with vms. A server that is already leaving remains
// so, even if vms, which may be outdated, lists it as staying.
func (t *Table) SetVMs(vms []VM) {
	t.update(func(old *View) []Server {
		servers := make([]Server, 0, len(vms))
		changed := len(vms) != len(old.Servers)
		for _, vm := range vms {
			s := Server{VM: vm, Counters: &Counters{}}
			known, ok := old.Find(vm.ID)
			if ok {
				s = *known
				s.VM = keepLeaving(known.VM, vm)
			}
			changed = changed || !ok || s.VM != known.VM
			servers = append(servers, s)
		}
		if !changed {
			return nil
		}
		return servers
	})
}

// keepLeaving returns listed with the reclaim notice of known, if only known has
// one.
func keepLeaving(known, listed VM) VM {
	if known.Leaving && !listed.Leaving {
		listed.Leaving, listed.LeaveDeadline = true, known.LeaveDeadline
	}
	return listed
}

// MarkLeaving applies reclaim notices: it marks the servers in vms as leaving and
// sets their LeaveDeadline. It ignores VMs that the view does not contain.
func (t *Table) MarkLeaving(vms []VM) {
	t.update(func(old *View) []Server {
		servers := slices.Clone(old.Servers)
		for i := range servers {
			if j := slices.IndexFunc(vms, func(vm VM) bool { return vm.ID == servers[i].ID }); j >= 0 {
				servers[i].Leaving, servers[i].LeaveDeadline = true, vms[j].LeaveDeadline
			}
		}
		return servers
	})
}

// ApplyReport stores a server's load report. It publishes a new view only if the
// server's models have changed.
func (t *Table) ApplyReport(id string, load LoadReport, now time.Time) {
	s, ok := t.View().Find(id)
	if !ok {
		return
	}
	before, _ := s.Load()
	s.applyReport(load, now)
	if slices.Equal(before.Models, load.Models) {
		return
	}
	t.update(func(old *View) []Server { return slices.Clone(old.Servers) })
}

// CountMissedReport counts a load report that was not received.
func (t *Table) CountMissedReport(id string) {
	if s, ok := t.View().Find(id); ok {
		s.countMiss()
	}
}

// update publishes a view of the servers that f returns, and calls the OnLeave
// callbacks for those that began to leave. If f returns nil, nothing changes.
func (t *Table) update(f func(old *View) []Server) {
	t.mu.Lock()
	old := t.View()
	servers := f(old)
	if servers == nil {
		t.mu.Unlock()
		return
	}
	t.view.Store(newView(servers))
	callbacks := t.leaveCallbacks
	t.mu.Unlock()
	for _, s := range servers {
		known, ok := old.Find(s.ID)
		if s.Leaving && (!ok || !known.Leaving) {
			for _, f := range callbacks {
				f(s.VM)
			}
		}
	}
}
