package gateway

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// TestAReloadTakesInWhatARunningVMCan: the store has moved to another address.
func TestAReloadTakesInWhatARunningVMCan(t *testing.T) {
	f := newFixture(t)
	f.server("a", nil)
	n := f.node("vm-1", 1)
	moved := platformtest.NewStore()
	t.Cleanup(moved.Close)
	for range 2 {
		// The store that has moved holds what it held before, and one document more.
		moved.Put(platform.OperatorTopic, platform.DocumentKey, documentOf(2))
	}
	set := f.settings("vm-1")
	set.Store, set.Cloud = moved.Address(), moved.Address()
	set.RetryRatio = 0.5
	n.Reload(set)
	f.eventually("the document of the new store is in force", func() bool { return n.document.Load().Version == 2 })
	if !f.out.has("gateway reloaded", "platform", "retries", "need-start=listen") {
		t.Error("the line of the reload does not tell what was taken in and what needs a start")
	}
}

func TestChangesOfSettings(t *testing.T) {
	var a, b Settings
	a.Schema()
	b.Schema()
	if taken, needStart := a.changes(&b); len(taken)+len(needStart) > 0 {
		t.Errorf("same settings: %v, %v", taken, needStart)
	}
	b.Grace, b.Lease, b.QuotaSlack = time.Minute, time.Minute, 5
	taken, needStart := a.changes(&b)
	if !slices.Equal(taken, []string{"vm.grace", "quota.slack"}) || !slices.Equal(needStart, []string{"duties.lease"}) {
		t.Errorf("%v, %v", taken, needStart)
	}
}

func TestASettingsFileThatChangesIsSeen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "gateway.ini")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("a = 1\n")
	file := newSettingsFile(path)
	if file.hasChanged() {
		t.Error("changed before it was written again")
	}
	write("a = 10\n")
	if !file.hasChanged() || file.hasChanged() {
		t.Error("a change is not seen once")
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if file.hasChanged() {
		t.Error("a file that is gone has changed")
	}
}
