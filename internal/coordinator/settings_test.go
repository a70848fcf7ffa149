package coordinator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestLeaseMarginIsBoundedByTheDuration(t *testing.T) {
	data, err := os.ReadFile("../../demo/coordinator.ini")
	if err != nil {
		t.Fatal(err)
	}
	for margin, good := range map[string]bool{"1s": true, "3s": false} {
		path := filepath.Join(t.TempDir(), "c.ini")
		text := string(data) + "\n[lease]\nduration = 5s\nmargin = " + margin + "\n"
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var s Settings
		err := s.Schema().Load(path)
		if good != (err == nil) {
			t.Errorf("margin %s: %v", margin, err)
		}
		if err != nil && !strings.Contains(err.Error(), "[lease] margin") {
			t.Error(err)
		}
	}
}
