package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/movephase"
)

// TestCutLinksRollSoundVersionBack: links are cut again and again during a move to a version
// that is as good as the old one. Its few connections are often new ones.
func TestCutLinksRollSoundVersionBack(t *testing.T) {
	t.Parallel()
	for name, form := range map[string]cutForm{"refuse": linksRefuse, "hang": linksHang, "reset-new": linksResetNew} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			for i := range 4 {
				f.addDelayedServer("v1", fmt.Sprint("old-", i), constant(0))
			}
			for i := range 2 {
				f.addDelayedServer("v2", fmt.Sprint("new-", i), constant(0))
			}
			nodes, cuts := startLinkedNodes(f, 4, 6)
			ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
			defer cancel()
			var load sync.WaitGroup
			for i, n := range nodes {
				for k := range 2 {
					load.Go(func() {
						for m := 0; ctx.Err() == nil; m++ {
							do(t, n, call{method: "GET", path: "/once/x", key: "key-w", id: fmt.Sprintf("%d-%d-%d", i, k, m)})
							sleep(ctx, 20*time.Millisecond)
						}
					})
				}
			}
			f.orderMove(time.Minute)
			for set := form; ctx.Err() == nil; set = form - set {
				for _, l := range cuts[:3] {
					l.set(set)
				}
				sleep(ctx, time.Second)
			}
			load.Wait()
			m, _ := nodes[0].moves.table.Newest("s")
			// A busy machine may make answers slow.
			if e, _ := nodes[0].moves.evidence(m, nodes[0].now()); m.Phase == movephase.RolledBack && e.NewFailures >= movephase.DefaultConfig.MinFailures {
				t.Errorf("rolled back, evidence %+v", e)
			}
		})
	}
}

// TestSuspectedLinksHideLossesOfVersion: losses count unless links turn out to be cut.
func TestSuspectedLinksHideLossesOfVersion(t *testing.T) {
	now := time.Now()
	table := movephase.NewTable(movephase.DefaultConfig)
	table.AddOrder(1, "s", "v2", time.Minute, now)
	losses := newMoveLosses(table)
	check := func(when string, failures, slow uint64) {
		t.Helper()
		m, _ := table.Newest("s")
		want := movephase.Evidence{NewAnswers: failures, NewFailures: failures, NewTimed: slow, NewSlow: slow}
		if m.OwnEvidence != want || m.OwnRoutes["r"] != want {
			t.Errorf("%s: evidence %+v and %+v", when, m.OwnEvidence, m.OwnRoutes["r"])
		}
	}
	loss, slow := movephase.Loss{Service: "s", Route: "r", Version: "v2"}, movephase.Loss{Service: "s", Route: "r", Version: "v2", IsSlow: true}
	losses.count(loss, now)
	losses.count(slow, now)
	now = now.Add(doubtedLossTime + time.Second)
	losses.count(loss, now)
	check("before", 2, 1)
	losses.doubt("s", now)
	losses.count(loss, now)
	losses.count(slow, now)
	check("while links are suspected", 1, 1)
	losses.settle("s", false, now)
	check("links were not cut", 3, 2)
	losses.doubt("s", now)
	losses.settle("s", true, now)
	check("links were cut", 1, 1)
	losses.count(loss, now)
	check("after the cut", 2, 1)
}
