package serverlinks

import (
	"testing"
	"time"
)

// TestDownServersAreTakenForCutLinks: links are cut only if peers reach servers that this VM
// does not, no connection has worked meanwhile, and for long enough.
func TestDownServersAreTakenForCutLinks(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, v := range map[string]struct {
		servers, reached int
		works            bool
		want             bool
	}{
		"cut": {servers: 4, reached: 2, want: true}, "servers down": {servers: 4, reached: 0}, "one is reached": {servers: 4, reached: 1},
		"a connection works": {servers: 4, reached: 2, works: true}, "only server cut": {servers: 1, reached: 1, want: true}, "only server down": {servers: 1},
	} {
		table := NewTable()
		suspected := table.Failed("s", "a", v.servers, at(0), at(1))
		if v.servers > 1 {
			if suspected {
				t.Errorf("%s: suspected after one failure", name)
			}
			suspected = table.Failed("s", "b", v.servers, at(0), at(2))
		}
		if !suspected {
			t.Fatalf("%s: not suspected", name)
		}
		if table.Failed("s", "c", v.servers, at(0), at(3)) {
			t.Errorf("%s: suspected again during the check", name)
		}
		if v.works {
			table.Worked("s", "d", v.servers, at(4))
		}
		if got := table.Checked("s", v.servers, v.reached, at(10)); got != v.want || table.IsCut("s") != v.want || table.AnyCut() != v.want {
			t.Errorf("%s: cut %v, want %v", name, got, v.want)
		}
		if v.want {
			continue
		}
		for i, server := range []string{"a", "b", "c"} {
			if table.Failed("s", server, v.servers, at(20), at(20+i)) {
				t.Errorf("%s: checked again at once", name)
			}
		}
		if !table.Failed("s", "a", v.servers, at(400), at(401)) && !table.Failed("s", "b", v.servers, at(400), at(402)) {
			t.Errorf("%s: not checked again", name)
		}
	}
}

// TestAnswerFromBeforeCutRestoresLinks: connections that were begun before the cut may live on.
func TestAnswerFromBeforeCutRestoresLinks(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	table := NewTable()
	table.Failed("s", "a", 3, at(0), at(1))
	table.Failed("s", "b", 3, at(0), at(2))
	if !table.Checked("s", 3, 2, at(10)) {
		t.Fatal("not cut")
	}
	for i, v := range []struct {
		server string
		at     int
		want   bool
	}{{"a", 5, false}, {"b", 6, false}, {"a", 20, false}, {"a", 21, false}, {"c", 22, true}} {
		if got := table.Worked("s", v.server, 3, at(v.at)); got != v.want || table.IsCut("s") == v.want {
			t.Errorf("answer %d: restored %v, want %v", i, got, v.want)
		}
	}
	if table.Failed("s", "a", 3, at(15), at(30)) || table.HasFailed("s", "a") {
		t.Error("a connection begun during the cut counts after it")
	}
}
