package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/findings"
)

// FuzzLoad checks that a file either sets all settings to valid values, or is
// rejected with findings.
func FuzzLoad(f *testing.F) {
	for _, text := range []string{
		"[vm]\nid=entry-1\n[caller]\nlisten=127.0.0.1:7101\nkeep=10s\nmax=5\n",
		"", "[vm]\nid=\n", "[vm]\nid=a\nid=b\n", "[caller]\nlisten=nowhere\n", "[caller]\nkeep=-1s\nmax=999999999999999999999\n",
		"[vm\n", "=\n", "[vm]\nid=%(id)s\n", "id=x\n[unknown]\nkey=1\n", "\xff\xfe\x00",
	} {
		f.Add([]byte(text))
	}
	path := filepath.Join(f.TempDir(), "settings.ini")
	f.Fuzz(func(t *testing.T, data []byte) {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		var id, listen string
		var keep time.Duration
		var maximum int
		s := NewSchema("fuzz")
		s.RequiredName("vm", "id", &id, "")
		s.RequiredAddress("caller", "listen", &listen, "")
		s.Duration("caller", "keep", &keep, 10*time.Second, time.Second, time.Minute, "")
		s.Int("caller", "max", &maximum, 4, 1, 10, "things", "")
		err := s.Load(path)
		var found *findings.Error
		if err != nil && !errors.As(err, &found) {
			t.Fatalf("%T: %v", err, err)
		}
		if err == nil && (id == "" || listen == "" || keep < time.Second || keep > time.Minute || maximum < 1 || maximum > 10) {
			t.Fatalf("accepted id=%q listen=%q keep=%v max=%d", id, listen, keep, maximum)
		}
	})
}
