package control

import (
	"fmt"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

var moveStart = time.Date(2026, 1, 1, 9, 0, 0, 0, time.UTC)

func newMove(name, from, to string) document.Move {
	return document.Move{Name: name, Service: "assistant", From: from, To: to, Start: moveStart, Deadline: moveStart.Add(time.Hour)}
}

// testLog is a state to which records are applied one after another.
type testLog struct {
	*State
	sequence uint64
}

func newLog() *testLog {
	l := &testLog{State: New()}
	l.add(Record{Claim: &LeaseClaim{Holder: Holder{VM: "a"}}})
	return l
}

func (l *testLog) add(r Record) Verdict {
	l.sequence++
	r.Writer = WriterID{Incarnation: "test", Sequence: l.sequence}
	next := l.Clone()
	verdict := next.Apply(next.Next, r)
	l.State = next
	return verdict
}

func (l *testLog) submit(serving string, moves ...document.Move) Verdict {
	doc := &document.Document{
		Services: []document.Service{{Name: "assistant", Serving: serving, Versions: []document.Version{{Name: "v1"}, {Name: "v2"}, {Name: "v3"}}}},
		Moves:    moves,
	}
	return l.add(Record{Document: &DocumentSubmission{Base: l.Revision, Document: doc}})
}

func (l *testLog) step(move string, share int) Verdict {
	return l.add(Record{Step: &MoveStep{FencingToken: l.Lease.FencingToken, Move: move, SharePermille: share}})
}

func (l *testLog) end(move string, result MoveResult) Verdict {
	return l.add(Record{FinalStatus: &MoveFinalStatus{FencingToken: l.Lease.FencingToken, Move: move, Result: result}})
}

func (l *testLog) split() Split {
	return l.Split(&l.Document.Services[0])
}

func wantEqual(t *testing.T, got, want any) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}

func TestFinishedMoveServesUntilDocumentNamesItsVersion(t *testing.T) {
	l := newLog()
	move := newMove("m", "v1", "v2")
	wantEqual(t, l.submit("v1", move), Accepted)
	wantEqual(t, l.step("m", 100), Accepted)
	wantEqual(t, l.split(), Split{ServingVersion: "v1", NewVersion: "v2", Move: "m", Step: 1, SharePermille: 100})
	wantEqual(t, l.end("m", MoveFinished), Accepted)
	wantEqual(t, l.split(), Split{ServingVersion: "v2"})
	wantEqual(t, l.submit("v1", move), Accepted)
	wantEqual(t, l.split(), Split{ServingVersion: "v2"})
	wantEqual(t, l.submit("v1"), Accepted)
	wantEqual(t, l.split(), Split{ServingVersion: "v2"})
	wantEqual(t, l.submit("v2"), Accepted)
	wantEqual(t, l.split(), Split{ServingVersion: "v2"})
	wantEqual(t, l.submit("v1"), Accepted)
	wantEqual(t, l.split(), Split{ServingVersion: "v1"})
}

func TestMoveFromReplacedServingVersionPromotesNothing(t *testing.T) {
	l := newLog()
	move := newMove("m", "v1", "v2")
	l.submit("v1", move)
	l.submit("v3", move)
	l.end("m", MoveFinished)
	wantEqual(t, l.split(), Split{ServingVersion: "v3"})
	l.submit("v1", move)
	wantEqual(t, l.split(), Split{ServingVersion: "v1"})
}

func TestSuccessiveMovesPromoteOverUnchangedDocument(t *testing.T) {
	l := newLog()
	l.submit("v1", newMove("m", "v1", "v2"))
	l.end("m", MoveFinished)
	l.submit("v1", newMove("n", "v2", "v3"))
	l.step("n", 50)
	wantEqual(t, l.split(), Split{ServingVersion: "v2", NewVersion: "v3", Move: "n", Step: 1, SharePermille: 50})
	l.end("n", MoveFinished)
	l.submit("v1")
	wantEqual(t, l.split(), Split{ServingVersion: "v3"})
}

func TestFinalStatusIsAcceptedOnce(t *testing.T) {
	l := newLog()
	l.submit("v1", newMove("m", "v1", "v2"))
	wantEqual(t, l.end("m", MoveRolledBack), Accepted)
	wantEqual(t, l.end("m", MoveFinished), Conflict)
	wantEqual(t, l.step("m", 10), Conflict)
	wantEqual(t, l.split(), Split{ServingVersion: "v1"})
}

func TestStepNeedsCurrentFencingTokenAndKnownMove(t *testing.T) {
	l := newLog()
	l.submit("v1", newMove("m", "v1", "v2"))
	old := l.Lease.FencingToken
	wantEqual(t, l.add(Record{Claim: &LeaseClaim{After: l.Lease.LastOffset, Holder: Holder{VM: "b"}}}), Accepted)
	wantEqual(t, l.add(Record{Step: &MoveStep{FencingToken: old, Move: "m", SharePermille: 100}}), Conflict)
	wantEqual(t, l.add(Record{FinalStatus: &MoveFinalStatus{FencingToken: old, Move: "m", Result: MoveFinished}}), Conflict)
	wantEqual(t, l.step("unknown", 100), Conflict)
	wantEqual(t, l.end("unknown", MoveFinished), Conflict)
}

func TestCancelEndsShareWithoutLeaseHolder(t *testing.T) {
	l := newLog()
	l.submit("v1", newMove("m", "v1", "v2"))
	l.step("m", 400)
	l.add(Record{Release: &LeaseRelease{FencingToken: l.Lease.FencingToken}})
	wantEqual(t, l.add(Record{Cancel: &MoveCancel{Move: "m", Operator: "o"}}), Accepted)
	wantEqual(t, l.split(), Split{ServingVersion: "v1"})
	wantEqual(t, l.add(Record{Cancel: &MoveCancel{Move: "m", Operator: "p"}}), Conflict)
	wantEqual(t, l.step("m", 700), Conflict)
	wantEqual(t, l.end("m", MoveFinished), Conflict)
	wantEqual(t, l.end("m", MoveRolledBack), Accepted)
}

func TestWithdrawnMoveLosesShareAndNeedsFinalStatus(t *testing.T) {
	l := newLog()
	move := newMove("m", "v1", "v2")
	l.submit("v1", move)
	l.step("m", 400)
	wantEqual(t, l.submit("v1"), Accepted)
	wantEqual(t, l.split(), Split{ServingVersion: "v1"})
	wantEqual(t, l.Moves["m"].Withdrawn, true)
	wantEqual(t, l.submit("v1", move), Conflict)
	wantEqual(t, l.end("m", MoveRolledBack), Accepted)
	wantEqual(t, l.submit("v1", move), Accepted)
	wantEqual(t, l.split(), Split{ServingVersion: "v1"})
}

func TestMoveNameCannotBeReused(t *testing.T) {
	l := newLog()
	l.submit("v1", newMove("m", "v1", "v2"))
	wantEqual(t, l.submit("v1", newMove("m", "v1", "v3")), Conflict)
	later := newMove("m", "v1", "v2")
	later.Deadline = later.Deadline.Add(time.Hour)
	wantEqual(t, l.submit("v1", later), Accepted)
	wantEqual(t, l.Moves["m"].Definition.Deadline, later.Deadline)
}

func TestEndedMovesAreBounded(t *testing.T) {
	l := newLog()
	for i := range 2 * maxEndedMoves {
		name := fmt.Sprintf("m-%03d", i)
		l.submit("v1", newMove(name, "v1", "v2"))
		l.end(name, MoveRolledBack)
	}
	l.submit("v1")
	if len(l.Moves) != maxEndedMoves {
		t.Fatal(len(l.Moves))
	}
	if _, ok := l.Moves[fmt.Sprintf("m-%03d", 2*maxEndedMoves-1)]; !ok {
		t.Fatal("the newest ended move was dropped")
	}
}
