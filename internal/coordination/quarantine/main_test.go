package quarantine

import (
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 1000) }
