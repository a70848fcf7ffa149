package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestSettingsOfALaterVersion: while VMs are upgraded one by one, a process of the older version
// starts with settings that have a key it does not know. It must start, and say so; a check of
// the settings still reports the key.
func TestSettingsOfALaterVersion(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(path, []byte("[vm]\nname = a\nshape = round\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var name string
	schema := NewSchema("test")
	schema.RequiredName("vm", "name", &name, "its name")
	unknown, err := schema.LoadKnown(path)
	if err != nil || name != "a" {
		t.Errorf("loaded name %q, error %v", name, err)
	}
	if unknown == nil || !strings.Contains(unknown.Error(), "settings.ini:3: [vm] shape") {
		t.Errorf("findings about unknown keys are %v, want line 3", unknown)
	}
	if err := schema.Load(path); err == nil {
		t.Error("a check of the settings does not report the unknown key")
	}
	if err := os.WriteFile(path, []byte("[vm]\nshape = round\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := schema.LoadKnown(path); err == nil || strings.Contains(err.Error(), "shape") {
		t.Errorf("a missing key with an unknown one gives %v", err)
	}
}
