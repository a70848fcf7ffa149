package report

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/burn"
)

var reportTime = time.Date(2026, 9, 1, 8, 30, 0, 0, time.UTC)

// exampleReport returns a report on one hour of two services, one of which fails
// during the last ten minutes.
func exampleReport() burn.Report {
	tracker := burn.NewTracker()
	for minute := range 60 {
		now := reportTime.Add(time.Duration(minute-59) * time.Minute)
		for i := range 40 {
			tracker.Add(burn.Key{Service: "assistant", Version: "v2", Route: "summaries", Workspace: "statements"}, minute >= 50 && i%4 != 0, now)
			tracker.Add(burn.Key{Service: "assistant", Version: "v1", Route: "clerk-questions", Workspace: "branches"}, i == 0, now)
		}
		tracker.Add(burn.Key{Service: "ledger", Version: "v1", Route: "deposit", Workspace: "branches"}, false, now)
	}
	rep := burn.NewReport(tracker.Snapshot(reportTime), reportTime)
	rep.Missing = []string{"entry-07"}
	return rep
}

func TestTable(t *testing.T) {
	var out bytes.Buffer
	if err := WriteTable(&out, exampleReport()); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "burn-table", out.Bytes())
}

func TestPageIsSelfContained(t *testing.T) {
	var out bytes.Buffer
	if err := WriteHTML(&out, exampleReport()); err != nil {
		t.Fatal(err)
	}
	for _, link := range []string{"src=", "href=", "<script", "url("} {
		if strings.Contains(out.String(), link) {
			t.Errorf("the page contains %q", link)
		}
	}
	goldie.New(t).Assert(t, "burn-page", out.Bytes())
}

func TestNamesAreEscaped(t *testing.T) {
	var out bytes.Buffer
	rep := exampleReport()
	rep.Lines[0].Name = "<script>alert(1)</script>"
	if err := WriteHTML(&out, rep); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(out.String(), "<script>") {
		t.Error("a name reached the page as markup")
	}
}
