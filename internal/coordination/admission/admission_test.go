package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newDocument(workspaces ...document.Workspace) *document.Document {
	return &document.Document{Workspaces: workspaces}
}

func newWorkspace(name string, rate float64, burst, weight int) document.Workspace {
	return document.Workspace{Name: name, RequestsPerSecond: rate, Burst: burst, Weight: weight}
}

// offer makes perSecond requests for each workspace over the given time and
// returns the number of requests admitted.
func offer(l *Limiter, length time.Duration, perSecond map[string]int) map[string]int {
	admitted := map[string]int{}
	for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
		for _, name := range []string{"a", "b", "c"} {
			for range perSecond[name] / 100 {
				if ok, _ := l.Admit(name, testStart.Add(at)); ok {
					admitted[name]++
				}
			}
		}
	}
	return admitted
}

func TestSmallWorkspaceKeepsItsGuaranteedRate(t *testing.T) {
	l := NewLimiter()
	l.Configure(newDocument(newWorkspace("a", 100, 20, 5), newWorkspace("b", 100, 20, 1)), 1, testStart)
	got := offer(l, 10*time.Second, map[string]int{"a": 2000, "b": 100})
	if got["b"] < 990 {
		t.Fatalf("workspace b: %d of 1000 requests admitted", got["b"])
	}
}

func TestUnusedTokensAreLentByWeight(t *testing.T) {
	l := NewLimiter()
	l.Configure(newDocument(newWorkspace("a", 100, 20, 3), newWorkspace("b", 100, 20, 1), newWorkspace("c", 200, 20, 1)), 1, testStart)
	got := offer(l, 10*time.Second, map[string]int{"a": 2000, "b": 2000})
	lentA, lentB := float64(got["a"]-1000), float64(got["b"]-1000)
	if lentA < 2.5*lentB || lentA > 3.5*lentB || lentA+lentB < 1900 {
		t.Fatalf("lent %v to a and %v to b of 2000", lentA, lentB)
	}
}

func TestRejectionReturnsTimeOfNextToken(t *testing.T) {
	l := NewLimiter()
	l.Configure(newDocument(newWorkspace("a", 2, 1, 1)), 1, testStart)
	l.Admit("a", testStart)
	ok, wait := l.Admit("a", testStart)
	if ok || wait != 500*time.Millisecond {
		t.Fatalf("admitted=%v wait=%v, want a rejection with a wait of 500ms", ok, wait)
	}
	if ok, _ = l.Admit("a", testStart.Add(wait)); !ok {
		t.Fatal("rejected after the returned wait")
	}
}

// TestLimitsHoldAcrossNodes: over all nodes and any period, the number of admitted
// requests stays within the sum of the rates, times the ratio of live nodes to
// counted ones, plus two bursts of each workspace on each node.
func TestLimitsHoldAcrossNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 8).Draw(t, "nodes")
		uncounted := rapid.IntRange(0, nodes-1).Draw(t, "unseen")
		counted := nodes - uncounted
		workspaces := []document.Workspace{}
		rate, bursts := 0.0, 0.0
		for i := range rapid.IntRange(1, 4).Draw(t, "workspaces") {
			w := newWorkspace(fmt.Sprint(i), rapid.Float64Range(1, 100).Draw(t, "rate"), rapid.IntRange(1, 40).Draw(t, "burst"), rapid.IntRange(1, 5).Draw(t, "weight"))
			workspaces = append(workspaces, w)
			rate += w.RequestsPerSecond
			bursts += max(float64(w.Burst)/float64(counted), 1)
		}
		limiters := make([]*Limiter, nodes)
		for i := range limiters {
			limiters[i] = NewLimiter()
			limiters[i].Configure(newDocument(workspaces...), counted, testStart)
		}
		now, admitted := testStart, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			l := limiters[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			name := workspaces[rapid.IntRange(0, len(workspaces)-1).Draw(t, "workspace")].Name
			for range rapid.IntRange(1, 100).Draw(t, "requests") {
				if ok, _ := l.Admit(name, now); ok {
					admitted++
				}
			}
		}
		bound := rate*now.Sub(testStart).Seconds()*float64(nodes)/float64(counted) + 2*bursts*float64(nodes)
		if float64(admitted) > bound+1e-6 {
			t.Fatalf("%d admitted, limit %.1f", admitted, bound)
		}
	})
}
