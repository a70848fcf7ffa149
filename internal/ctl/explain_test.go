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
	lines = append(lines,
		"2026-01-01T00:00:01.000Z content lost content=00ab id=r-7 server=s-4 counted=ended ended=3",
		"2026-01-01T00:00:01.000Z content lost content=00ac id=r-8 server=s-4 counted=ended ended=1",
		"2026-01-01T00:00:04.000Z content refused content=00ab id=r-9 ended=3 source=self",
		"2026-01-01T00:00:04.000Z request refused id=r-9 reason=ends-servers status=502 content=00ab trail=-")
	out.Reset()
	if !explain("r-9", lines, &out) || !strings.Contains(out.String(), "id=r-7") || strings.Contains(out.String(), "id=r-8") {
		t.Errorf("losses of the request's content: got %s", out.String())
	}
	lines = append(lines,
		"2026-01-01T00:00:01.000Z content lost content=00ad id=r-20 server=s-4 parts=5c1e,c0ffee counted=ended suspects=5c1e:1:3,c0ffee:1:0",
		"2026-01-01T00:00:01.000Z content lost content=00ae id=r-21 server=s-4 parts=5c1e,a1 counted=ended suspects=5c1e:1:3,a1:1:0",
		"2026-01-01T00:00:04.000Z content part-quarantined part=c0ffee unit=part-01 ended=4 answered=0",
		"2026-01-01T00:00:04.000Z content part-released part=a1 unit=part-02 ended=4 answered=0",
		"2026-01-01T00:00:05.000Z content part-refused part=c0ffee unit=part-01 id=r-22 ended=4 answered=0",
		"2026-01-01T00:00:05.000Z request refused id=r-22 reason=ends-servers status=502 content=00af trail=-")
	out.Reset()
	if !explain("r-22", lines, &out) || !strings.Contains(out.String(), "id=r-20") || !strings.Contains(out.String(), "part-quarantined") ||
		strings.Contains(out.String(), "id=r-21") || strings.Contains(out.String(), "part-released") {
		t.Errorf("losses of the part: got %s", out.String())
	}
	lines = append(lines,
		"2026-01-01T00:00:01.000Z servers limit server=s-5 service=s per-second=1.4 source=r-30",
		"2026-01-01T00:00:01.000Z servers limit server=s-6 service=t per-second=2 source=r-31",
		"2026-01-01T00:00:06.000Z servers no-room id=r-32 service=s ahead=3 room-in=2100ms granter=10.0.0.1:1 limits=s-5:1.4:800ms",
		"2026-01-01T00:00:06.000Z request refused id=r-32 reason=servers-limited status=503 trail=-")
	out.Reset()
	if !explain("r-32", lines, &out) || !strings.Contains(out.String(), "source=r-30") || strings.Contains(out.String(), "source=r-31") {
		t.Errorf("limits of the request's servers: got %s", out.String())
	}
	if explain("r-2", lines, &out) {
		t.Error("found a request that no line mentions")
	}
}

// TestExplainShowsPredictions: what was predicted for a request stands beside what it took.
func TestExplainShowsPredictions(t *testing.T) {
	line := "2026-01-01T00:00:03.000Z request served id=r-1 server=s-2 predicted=95ms uncached=4049.9 predicted-tokens=300 tokens=287 first=89ms took=2s trail=-"
	var out strings.Builder
	if !explain("r-1", []string{line}, &out) {
		t.Fatal("the request was not found")
	}
	if want := "prediction: first token or answer after 95ms, was 89ms; 300 answer tokens, were 287\n"; !strings.HasSuffix(out.String(), want) {
		t.Errorf("got %q, want the last line to be %q", out.String(), want)
	}
}
