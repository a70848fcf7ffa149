package ctl

import (
	"strings"
	"testing"
)

func TestExplainGathersRelatedLines(t *testing.T) {
	lines := []string{
		"2026-01-01T00:00:03.000Z request failed id=r-1 reason=lost status=502 server=s-2 trail=s-1:not-run,s-2:lost,",
		"2026-01-01T00:00:01.000Z servers entry server=s-2 leaving=true",
		"2026-01-01T00:00:01.000Z servers entry server=s-9 leaving=true",
		"2026-01-01T00:00:02.000Z attempt lost id=r-1 server=s-2",
		"2026-01-01T00:00:02.500Z health verdict server=s-1 phase=ejected",
		"2026-01-01T00:00:00.500Z store lost topic=x",
		"2026-01-01T00:00:02.000Z request served id=r-10 server=s-2 trail=-",
	}
	var out strings.Builder
	if !explain("r-1", lines, &out) {
		t.Fatal("the request was not found")
	}
	want := []string{"store lost", "servers entry server=s-2", "attempt lost", "server=s-1 phase=ejected", "request failed"}
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(got) != len(want) {
		t.Fatalf("got %q", got)
	}
	for i, w := range want {
		if !strings.Contains(got[i], w) {
			t.Errorf("line %d is %q, want %q", i, got[i], w)
		}
	}
	if explain("r-2", lines, &out) {
		t.Error("found a request that no line mentions")
	}
}
