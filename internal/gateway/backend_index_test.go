package gateway

import (
	"fmt"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
)

// TestServersAreIndexed: the lists of servers hold each known server once, its newest process, and
// their order differs from table to table.
func TestServersAreIndexed(t *testing.T) {
	const servers, tables = 50, 8
	now := time.Unix(1_900_000_000, 0)
	firsts := map[string]bool{}
	for range tables {
		table := newBackendTable(health.New(healthConfig, now))
		for i := range servers {
			s := deployment.Server{ID: fmt.Sprint("s-", i), Service: "s", Address: fmt.Sprint("127.0.0.1:", i/2+1), StartedAtMillis: 1}
			table.put(s, now)
			if i%3 == 0 {
				s.StartedAtMillis = 2
				table.put(s, now)
			}
			if i%5 == 0 {
				s.Service = "other"
				table.put(s, now)
			}
		}
		listed := 0
		for service, list := range table.byService {
			for _, b := range list {
				listed++
				if table.byID[b.id] != b || b.info.Service != service {
					t.Errorf("%s of %s is listed for %s", b.id, b.info.Service, service)
				}
			}
		}
		if others := table.othersAt("127.0.0.1:1", "s-0"); listed != servers || len(others) != 1 || others[0] != "s-1" {
			t.Errorf("%d of %d servers listed, beside s-0: %v", listed, servers, others)
		}
		firsts[table.byService["s"][0].id] = true
	}
	if len(firsts) < 2 {
		t.Errorf("%v is the first server of all tables", firsts)
	}
}
