package entry

import (
	"slices"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/suspects"
	"coltsfootpath.example/coltsfootpath/internal/standin/cloud"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
)

// waitUntil polls a condition, and fails the test if it doesn't hold within 30
// seconds.
func waitUntil(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

func (n *Node) listsEntryVM(vm string) bool {
	return slices.ContainsFunc(*n.entryVMs.Load(), func(v fleet.VM) bool { return v.ID == vm })
}

// TestKilledEntryVMIsDroppedFromList kills a node that remains in the cloud's
// list.
func TestKilledEntryVMIsDroppedFromList(t *testing.T) {
	log := logservice.New(logservice.Config{})
	vms := cloud.New(cloud.Config{})
	a, b := startNodeAs(t, "entry-1", log, vms), startNodeAs(t, "entry-2", log, vms)
	vms.Add(entryVM(a, "entry-1"))
	vms.Add(entryVM(b, "entry-2"))
	waitUntil(t, "entry-2 is listed", func() bool { return a.listsEntryVM("entry-2") })
	b.Close()
	waitUntil(t, "entry-2 is no longer listed", func() bool { return !a.listsEntryVM("entry-2") })
}

func entryVM(n *Node, id string) fleet.VM {
	return fleet.VM{ID: id, Role: fleet.EntryRole, Address: n.CallerAddress(), PeerAddress: n.PeerAddress()}
}

// TestMarksSpreadWithProbes adds a mark to one entry VM and expects the other
// one to receive it.
func TestMarksSpreadWithProbes(t *testing.T) {
	log := logservice.New(logservice.Config{})
	vms := cloud.New(cloud.Config{})
	a, b := startNodeAs(t, "entry-1", log, vms), startNodeAs(t, "entry-2", log, vms)
	vms.Add(entryVM(a, "entry-1"))
	vms.Add(entryVM(b, "entry-2"))
	const content = 42
	a.suspects.Merge([]suspects.CrashReport{{Content: content, LostServers: 2}}, a.clock.Now())
	waitUntil(t, "entry-2 has the mark", func() bool {
		return slices.ContainsFunc(b.suspects.Digest(maxDigestMarks, b.clock.Now()), func(m suspects.CrashReport) bool {
			return m.Content == content && m.LostServers == 2
		})
	})
}
