package answer

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootpath.example/coltsfootpath/internal/invariant"
	"coltsfootpath.example/coltsfootpath/internal/state/requests"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// completeAnswer is the answer that every attempt produces.
var completeAnswer = []string{"a", "b", "c", "d", "e", "f"}

func frame(attempt, offset, n int) Frame {
	end := min(offset+n, len(completeAnswer))
	return Frame{Attempt: attempt, Offset: offset, Tokens: completeAnswer[offset:end], Done: end == len(completeAnswer), Total: len(completeAnswer)}
}

func TestFrameOfSupersededAttemptIsDropped(t *testing.T) {
	c := New(DefaultLimits, start.Add(time.Minute), nil)
	c.Step(Start{})
	c.Step(frame(1, 0, 2))
	c.Step(Move{Attempt: 1})
	if actions := c.Step(frame(1, 2, 2)); actions != nil {
		t.Fatalf("frame of a superseded attempt caused %v", actions)
	}
	if got := c.Tokens(); !slices.Equal(got, completeAnswer[:2]) {
		t.Fatalf("answer is %v", got)
	}
}

func TestShortAnswerIsNotComplete(t *testing.T) {
	c := New(DefaultLimits, start.Add(time.Minute), nil)
	c.Step(Start{})
	actions := c.Step(Frame{Attempt: 1, Offset: 0, Tokens: completeAnswer[:2], Done: true, Total: 6})
	if c.Ended() {
		t.Fatalf("incomplete answer ended the request: %v", actions)
	}
}

func TestBlamedCrashesAreBounded(t *testing.T) {
	c := New(DefaultLimits, start.Add(time.Minute), nil)
	c.Step(Start{})
	for range 2 * DefaultLimits.MaxAttempts {
		c.Step(AttemptEnded{Attempt: c.Attempt(), Cause: CauseInterrupted, MayRetry: true, EarliestCompletion: start})
	}
	if c.Ended() {
		t.Fatal("request was given up although its content is not blamed")
	}
	before := c.Attempt()
	for range DefaultLimits.MaxBlamedCrashes {
		c.Step(AttemptEnded{Attempt: c.Attempt(), Cause: CauseInterrupted, Blamed: true, MayRetry: true, EarliestCompletion: start})
	}
	if !c.Ended() || c.Attempt() != before+DefaultLimits.MaxBlamedCrashes-1 {
		t.Fatalf("over=%v after %d attempts", c.Ended(), c.Attempt())
	}
}

// TestAnswerMatchesOracle sends delayed, repeated and reordered frames, also of
// superseded attempts. The oracle is the complete answer.
func TestAnswerMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(Limits{MaxAttempts: 100, MaxBlamedCrashes: 100}, start.Add(time.Minute), nil)
		var sent []string
		finished := false
		act := func(actions []Action) {
			for _, a := range actions {
				switch a := a.(type) {
				case Append:
					if a.Offset != len(sent) {
						t.Fatalf("append at %d after %d tokens", a.Offset, len(sent))
					}
					sent = append(sent, a.Tokens...)
				case Finish:
					finished = true
				}
			}
		}
		act(c.Step(Start{}))
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			attempt := rapid.IntRange(1, c.Attempt()).Draw(t, "attempt")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0, 1:
				offset := rapid.IntRange(0, len(completeAnswer)-1).Draw(t, "offset")
				act(c.Step(frame(attempt, offset, rapid.IntRange(1, 4).Draw(t, "n"))))
			case 2:
				act(c.Step(Move{Attempt: attempt}))
			case 3:
				act(c.Step(AttemptEnded{Attempt: attempt, Cause: CauseInterrupted, MayRetry: true, EarliestCompletion: start}))
			}
			if !slices.Equal(sent, completeAnswer[:len(sent)]) {
				t.Fatalf("sent %v", sent)
			}
		}
		if finished && !slices.Equal(sent, completeAnswer) {
			t.Fatalf("finished with %v", sent)
		}
	})
}

func TestNoRetryPastTheDeadline(t *testing.T) {
	deadline := start.Add(time.Minute)
	for _, tt := range []struct {
		earliest time.Time
		ended    bool
	}{{deadline.Add(-time.Second), false}, {deadline, true}} {
		c := New(DefaultLimits, deadline, nil)
		c.Step(Start{})
		c.Step(AttemptEnded{Attempt: 1, Cause: CauseRejected, MayRetry: true, EarliestCompletion: tt.earliest})
		if c.Ended() != tt.ended {
			t.Fatalf("earliest end %v: over=%t", tt.earliest, c.Ended())
		}
	}
}

func TestMayHaveRunDependsOnTheCause(t *testing.T) {
	for cause, ran := range map[Cause]bool{
		CauseNotSent: false, CauseRejected: false, CauseNoServer: false, CauseSuspended: false,
		CauseFailed: true, CauseInterrupted: true, CauseLeaving: true,
	} {
		c := New(DefaultLimits, start.Add(time.Minute), nil)
		c.Step(Start{})
		c.Step(AttemptEnded{Attempt: 1, Cause: cause, MayRetry: true, EarliestCompletion: start})
		if c.MayHaveRun() != ran {
			t.Fatalf("cause %d: may have run is %t", cause, c.MayHaveRun())
		}
	}
}

// owner is one entry VM that runs the request, or has run it.
type owner struct {
	core   *Core
	req    *requests.Request
	frames []Frame
	frozen bool
}

// owners holds all entry VMs that ever ran the request, and the answer as read
// by its caller.
type owners struct {
	t        *rapid.T
	all      []*owner
	received []string
}

func (h *owners) open(tokens []string) {
	table := requests.NewTable(1, 1<<30, time.Minute)
	req, _, err := table.Open(requests.Spec{ID: requests.ID{Workspace: "w", Key: "k"}}, slices.Clone(tokens), start)
	if err != nil {
		h.t.Fatal(err)
	}
	x := &owner{core: New(Limits{MaxAttempts: 100, MaxBlamedCrashes: 100}, start.Add(time.Minute), slices.Clone(tokens)), req: req}
	h.all = append(h.all, x)
	h.step(x, Start{})
}

// step applies an event as a worker does and checks the resulting actions
// against the complete answer.
func (h *owners) step(x *owner, ev Event) {
	ended := x.core.Ended()
	before, _ := x.req.Snapshot()
	for _, a := range x.core.Step(ev) {
		if ended {
			h.t.Fatalf("%T after the end", a)
		}
		switch a := a.(type) {
		case Append:
			x.req.Append(a.Offset, a.Tokens)
		case Finish:
			x.req.Finish(requests.End{}, start)
		case GiveUp:
			x.req.Finish(requests.End{Failure: []byte("{}")}, start)
		case StartAttempt:
			// The engine produces the rest of the answer; its frames stay in
			// flight.
			for at := len(a.Generated); at < len(completeAnswer); at++ {
				x.frames = append(x.frames, frame(a.Attempt, at, 1))
			}
		}
	}
	after, end := x.req.Snapshot()
	checkGrowth(before, after)
	if !slices.Equal(after, completeAnswer[:len(after)]) {
		h.t.Fatalf("answer is %v", after)
	}
	if end != nil && end.Failure == nil && end.MovedTo == nil && len(after) != len(completeAnswer) {
		h.t.Fatalf("finished answer has %d tokens", len(after))
	}
}

// readFrom has the caller continue reading from an owner at the offset it has
// reached.
func (h *owners) readFrom(x *owner) {
	all, _ := x.req.Snapshot()
	if len(all) > len(h.received) {
		h.received = append(h.received, all[len(h.received):]...)
	}
	if !slices.Equal(h.received, completeAnswer[:len(h.received)]) {
		h.t.Fatalf("the caller has read %v", h.received)
	}
}

// TestAnswerOverEntryVMsMatchesOracle runs one request over backend servers and
// entry VMs that die, freeze, leave and hand over, with delayed, repeated and
// reordered frames, while its caller switches between the entry VMs. The oracle
// is the complete answer.
func TestAnswerOverEntryVMsMatchesOracle(t *testing.T) {
	invariant.OnBreach(func(name invariant.Name, detail string) { t.Errorf("%s: %s", name, detail) })
	rapid.Check(t, func(t *rapid.T) {
		h := &owners{t: t}
		h.open(nil)
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			x := h.all[rapid.IntRange(0, len(h.all)-1).Draw(t, "holder")]
			attempt := rapid.IntRange(1, x.core.Attempt()).Draw(t, "attempt")
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0, 1, 2, 3:
				if len(x.frames) == 0 || x.frozen {
					continue
				}
				i := rapid.IntRange(0, min(len(x.frames)-1, 3)).Draw(t, "frame")
				f := x.frames[i]
				if rapid.Bool().Draw(t, "once") {
					x.frames = slices.Delete(x.frames, i, i+1)
				}
				h.step(x, f)
			case 4:
				h.step(x, Move{Attempt: attempt})
			case 5:
				cause := Cause(rapid.IntRange(int(CauseNotSent), int(CauseSuspended)).Draw(t, "cause"))
				h.step(x, AttemptEnded{Attempt: attempt, Cause: cause, MayRetry: true, EarliestCompletion: start})
			case 6:
				x.frozen = !x.frozen
			case 7:
				// Handover; its answer may be lost, so both owners may
				// continue.
				tokens, _ := x.req.Snapshot()
				if rapid.Bool().Draw(t, "answered") {
					x.req.Finish(requests.End{MovedTo: &requests.Owner{VM: "next"}}, start)
				}
				h.open(tokens)
			case 8:
				// The entry VM dies; a follower has copied any part of the
				// answer, possibly less than the caller has read.
				tokens, _ := x.req.Snapshot()
				h.open(tokens[:rapid.IntRange(0, len(tokens)).Draw(t, "copied")])
			case 9:
				if rapid.IntRange(0, 9).Draw(t, "pause") == 0 {
					h.step(x, Expire{})
				}
			}
			h.readFrom(h.all[rapid.IntRange(0, len(h.all)-1).Draw(t, "reader")])
		}
	})
}

// checkGrowth reports a breach if before is not a prefix of after.
func checkGrowth(before, after []string) {
	holds := len(after) >= len(before)
	for i := 0; holds && i < len(before); i++ {
		holds = before[i] == after[i]
	}
	invariant.Check(holds, invariant.AnswerOnlyGrows, "answer of %d tokens became one of %d", len(before), len(after))
}
