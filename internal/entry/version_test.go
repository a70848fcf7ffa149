package entry

import (
	"fmt"
	"math"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/answer"
	"coltsfootpath.example/coltsfootpath/internal/coordination/evidence"
	"coltsfootpath.example/coltsfootpath/internal/coordination/moves"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/coordination/tail"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
	"coltsfootpath.example/coltsfootpath/internal/state/requests"
)

// nodeWithMove returns a node whose state contains a move at the given share,
// in thousandths.
func nodeWithMove(share int) (*Node, document.Move) {
	move := document.Move{
		Name: "m", Service: "assistant", From: "v1", To: "v2",
		Start: time.Unix(0, 0), Deadline: time.Unix(600, 0),
	}
	doc := &document.Document{
		Services: []document.Service{{
			Name: "assistant", Kind: document.ModelService, Serving: "v1", Routes: []document.Route{{Name: "ask", Repeatable: true}},
			Versions: []document.Version{{Name: "v1", Model: "a"}, {Name: "v2", Model: "b"}},
		}},
		Moves: []document.Move{move},
	}
	doc.SetDefaults()
	state := control.New()
	state.Document = doc
	state.Moves["m"] = control.Move{Definition: doc.Moves[0], SharePermille: share, Steps: 1}
	return &Node{control: tail.NewControlReplay(state), evidence: evidence.NewCounter("entry-1", 1), metrics: newMetrics(), burn: newBurnCounter(), clock: ports.SystemClock{}}, doc.Moves[0]
}

func (n *Node) pinnedVersionName(workspace, key string) string {
	state := n.control.State()
	return n.pinVersion(target{state: state, workspace: &document.Workspace{Name: workspace}, service: &state.Document.Services[0]}, key).name
}

// TestWorkspacesHaveTheSameShare checks the share of 50,000 keys in each of
// five workspaces. At a share of 2 in 100, the number of keys on the new version has
// a standard deviation of 31; each workspace must be within 5 standard deviations.
func TestWorkspacesHaveTheSameShare(t *testing.T) {
	const keys, share = 50_000, 20
	n, _ := nodeWithMove(share)
	p := float64(share) / permille
	bound := 5 * math.Sqrt(keys*p*(1-p))
	for _, workspace := range []string{"sapporo", "asahikawa", "hakodate", "kushiro", "kitami"} {
		moved := 0
		for i := range keys {
			if n.pinnedVersionName(workspace, fmt.Sprint("key-", i)) == "v2" {
				moved++
			}
		}
		if math.Abs(float64(moved)-keys*p) > bound {
			t.Errorf("%s: %d of %d keys on the new version, want about %v", workspace, moved, keys, keys*p)
		}
	}
}

func TestKeyStaysOnNewVersionAsShareRises(t *testing.T) {
	on := map[string]bool{}
	for _, share := range []int{0, 20, 60, 150, 400, 700, 900, 1000} {
		n, _ := nodeWithMove(share)
		for i := range 2000 {
			key := fmt.Sprint("key-", i)
			newer := n.pinnedVersionName("kitami", key) == "v2"
			if on[key] && !newer {
				t.Fatalf("%s returned to the old version at %d permille", key, share)
			}
			on[key] = newer
		}
	}
	for key, newer := range on {
		if !newer {
			t.Fatalf("%s is on the old version at a share of 1000 permille", key)
		}
	}
}

func TestUnkeyedCallsFollowTheShare(t *testing.T) {
	n, _ := nodeWithMove(500)
	seen := map[string]bool{}
	for range 200 {
		seen[n.pinnedVersionName("kitami", "")] = true
	}
	if len(seen) != 2 {
		t.Fatal(seen)
	}
}

// observeFailures records newFailures failed answers of the new version and
// oldServed served answers of the old one.
func (n *Node) observeFailures(newFailures, oldServed int) {
	end := func(version string, code callerapi.Code) {
		n.observeRequest(Observation{Service: "assistant", Route: "ask", Version: version, Move: "m", Step: 1, Code: code, FirstToken: time.Millisecond})
	}
	for range newFailures {
		end("v2", callerapi.BackendFailed)
	}
	for range oldServed {
		end("v1", servedCode)
	}
}

// TestNodeBlocksFailingVersionLocally checks that a node locally blocks a version
// that clearly fails, without a lease holder and without log records, and that
// the block stays.
func TestNodeBlocksFailingVersionLocally(t *testing.T) {
	n, _ := nodeWithMove(500)
	watch := moveWatch{node: n, tracks: map[string]*moves.Track{}}
	for range 20 {
		n.observeFailures(2, 20)
		watch.update()
	}
	for i := range 1000 {
		if n.pinnedVersionName("kitami", fmt.Sprint(i)) == "v2" {
			t.Fatal("a locally blocked version gets new keys")
		}
	}
	if blocked := n.evidence.Report("1").BlockedMoves; len(blocked) != 1 || blocked[0] != "m" {
		t.Fatalf("locally blocked moves in the report: %v", blocked)
	}
	for range 50 {
		watch.update()
	}
	if !n.evidence.IsBlocked("m") {
		t.Fatal("the local block was lifted")
	}
}

func TestNoLocalBlockWhenBothVersionsFail(t *testing.T) {
	n, _ := nodeWithMove(500)
	watch := moveWatch{node: n, tracks: map[string]*moves.Track{}}
	for range 50 {
		n.observeFailures(10, 0)
		for range 10 {
			n.observeRequest(Observation{Route: "ask", Version: "v1", Move: "m", Step: 1, Code: callerapi.BackendFailed})
		}
		watch.update()
	}
	if n.evidence.IsBlocked("m") {
		t.Fatal("the new version was locally blocked although both versions fail")
	}
}

func TestRejectedOrUnsentAttemptIsNoEvidenceAgainstVersion(t *testing.T) {
	n, _ := nodeWithMove(500)
	r := openRun(n, nil)
	n.countFailedAttempt(r, "v2", answer.CauseRejected)
	n.countFailedAttempt(r, "v2", answer.CauseNotSent)
	if samples := n.evidence.Samples("m"); len(samples) > 0 {
		t.Fatalf("%+v", samples)
	}
	n.countFailedAttempt(r, "v2", answer.CauseFailed)
	if samples := n.evidence.Samples("m"); len(samples) != 1 || samples[0].Failures != 1 {
		t.Fatalf("%+v", samples)
	}
}

func openRun(n *Node, tokens []string) *requestRun {
	table := requests.NewTable(10, 1<<20, time.Minute)
	req, _, err := table.Open(requests.Spec{
		ID: requests.ID{Workspace: "kitami", Key: "k"}, Service: "assistant", Route: "ask", Version: "v2",
	}, tokens, time.Unix(1, 0))
	if err != nil {
		panic(err)
	}
	return &requestRun{node: n, req: req, model: "b", move: "m", step: 1}
}

func TestRepinOnlyBeforeFirstToken(t *testing.T) {
	cases := []struct {
		name   string
		tokens []string
		change func(*control.Move)
		want   string
	}{
		{"under way", nil, func(*control.Move) {}, "v2"},
		{"rolled back", nil, func(m *control.Move) { m.FinalStatus = &control.MoveFinalStatus{Result: control.MoveRolledBack} }, "v1"},
		{"cancelled", nil, func(m *control.Move) { m.Cancel = &control.MoveCancel{} }, "v1"},
		{"finished", nil, func(m *control.Move) { m.FinalStatus = &control.MoveFinalStatus{Result: control.MoveFinished} }, "v2"},
		{"rolled back after tokens", []string{"x"}, func(m *control.Move) { m.FinalStatus = &control.MoveFinalStatus{Result: control.MoveRolledBack} }, "v2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n, _ := nodeWithMove(500)
			r := openRun(n, c.tokens)
			state := n.control.State()
			m := state.Moves["m"]
			c.change(&m)
			state.Moves["m"] = m
			r.switchFromWithdrawn()
			if got := r.req.AnsweringVersion(); got != c.want {
				t.Fatalf("request is on version %s, want %s", got, c.want)
			}
			if models := map[string]string{"v1": "a", "v2": "b"}; r.model != models[c.want] {
				t.Fatalf("model is %s", r.model)
			}
		})
	}
}
