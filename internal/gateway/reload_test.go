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

// TestReloadAppliesLiveSettings changes the store's address.
func TestReloadAppliesLiveSettings(t *testing.T) {
	f := newFixture(t)
	f.addServer("a", nil)
	n := f.startNode("vm-1", 1)
	newStore := platformtest.NewStore()
	t.Cleanup(newStore.Close)
	for range 2 {
		// The new store has the records of the old one and one more document.
		newStore.Put(platform.OperatorTopic, platform.DocumentKey, documentJSON(2))
	}
	settings := f.settings("vm-1")
	settings.StoreAddress, settings.CloudAddress = newStore.Address(), newStore.Address()
	settings.RetryRatio = 0.5
	n.Reload(settings)
	f.eventually("the new store's document is active", func() bool { return n.document.Load().Version == 2 })
	if !f.logs.hasLine("gateway reloaded", "platform", "retries", "need-start=listen") {
		t.Error("the reload's log line lacks the applied settings or those that need a restart")
	}
}

func TestSettingsChanges(t *testing.T) {
	var a, b Settings
	a.Schema()
	b.Schema()
	if applied, needRestart := a.changes(&b); len(applied)+len(needRestart) > 0 {
		t.Errorf("unchanged settings: applied %v, need restart %v", applied, needRestart)
	}
	b.Grace, b.Lease, b.QuotaSlack = time.Minute, time.Minute, 5
	applied, needRestart := a.changes(&b)
	if !slices.Equal(applied, []string{"vm.grace", "quota.slack"}) || !slices.Equal(needRestart, []string{"duties.lease"}) {
		t.Errorf("applied %v, need restart %v", applied, needRestart)
	}
}

func TestSettingsFileChangeIsDetected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "gateway.ini")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("a = 1\n")
	file := newSettingsFile(path)
	if file.hasChanged() {
		t.Error("reported as changed before the second write")
	}
	write("a = 10\n")
	if !file.hasChanged() || file.hasChanged() {
		t.Error("a change was not reported exactly once")
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if file.hasChanged() {
		t.Error("a removed file was reported as changed")
	}
}
