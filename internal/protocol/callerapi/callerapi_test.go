package callerapi

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestCodesAreDocumented checks that the table in docs/API.md lists all codes
// with their HTTP status.
func TestCodesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := 0
	for line := range strings.Lines(string(page)) {
		fields := strings.Split(line, "|")
		if len(fields) != 5 || !strings.HasPrefix(fields[1], " `") {
			continue
		}
		code := Code(strings.Trim(fields[1], " `"))
		if status, ok := statusByCode[code]; ok {
			documented++
			if got := strings.TrimSpace(fields[2]); got != fmt.Sprint(status) {
				t.Errorf("code %s has status %d, docs/API.md has %s", code, status, got)
			}
		}
	}
	if documented != len(statusByCode) {
		t.Errorf("%d of %d codes are listed in docs/API.md", documented, len(statusByCode))
	}
}
