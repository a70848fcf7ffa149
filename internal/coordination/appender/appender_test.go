package appender_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/appender"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/coordination/tail"
	"coltsfootpath.example/coltsfootpath/internal/invariant"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// coordinator holds one replay and its appender.
type coordinator struct {
	replay   *tail.ControlReplay
	appender *appender.Appender
}

func start(ctx context.Context, log ports.Log) *coordinator {
	replay := tail.NewControlReplay(control.New())
	follower := tail.NewFollower(log, ports.SystemClock{}, control.Stream, 1, replay)
	go follower.Run(ctx)
	return &coordinator{replay: replay, appender: appender.New(log, ports.SystemClock{}, replay)}
}

// outcome is the result of one submission, as returned to its operator.
type outcome struct {
	operator string
	base     uint64
	applied  tail.Applied
	err      error
}

func submit(ctx context.Context, c *coordinator, operator string) outcome {
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	base := c.replay.State().Revision
	applied, err := c.appender.Append(ctx, control.Record{Document: &control.DocumentSubmission{
		Base: base, Operator: operator, Document: &document.Document{},
	}})
	return outcome{operator: operator, base: base, applied: applied, err: err}
}

// logContents holds the final state of the log and, by operator, the verdict and
// offset of each submission.
type logContents struct {
	state   *control.State
	verdict map[string]control.Verdict
	offset  map[string]uint64
}

func readAll(t *testing.T, log ports.Log) logContents {
	out := logContents{state: control.New(), verdict: map[string]control.Verdict{}, offset: map[string]uint64{}}
	for {
		batch, err := log.Read(context.Background(), control.Stream, out.state.Next, time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		if len(batch.Records) == 0 {
			return out
		}
		for _, r := range batch.Records {
			record, err := control.Decode(r.Data)
			if err != nil {
				t.Fatal(err)
			}
			verdict := out.state.Apply(r.Offset, record)
			if verdict != control.Repeated {
				out.verdict[record.Document.Operator] = verdict
				out.offset[record.Document.Operator] = r.Offset
			}
		}
	}
}

func (o outcome) check(t *testing.T, contents logContents) {
	t.Helper()
	verdict, inLog := contents.verdict[o.operator]
	switch {
	case errors.Is(o.err, appender.ErrNotAppended):
		if inLog {
			t.Errorf("%s received ErrNotAppended, but the verdict in the log is %s", o.operator, verdict)
		}
	case o.err != nil:
		if !errors.Is(o.err, appender.ErrUnknown) {
			t.Errorf("%s: %v", o.operator, o.err)
		}
	case o.applied.Verdict != verdict || o.applied.Offset != contents.offset[o.operator]:
		t.Errorf("%s received verdict %s at offset %d, the log has %s at %d", o.operator, o.applied.Verdict, o.applied.Offset, verdict, contents.offset[o.operator])
	case verdict == control.Conflict:
		if s := o.applied.State; s.Revision <= o.base || contents.verdict[s.Operator] != control.Accepted || contents.offset[s.Operator] != s.Revision {
			t.Errorf("%s received a conflict with revision %d of %s, which the log does not contain after base %d", o.operator, s.Revision, s.Operator, o.base)
		}
	}
}

// TestConcurrentOperatorsWithFailingLog compares the outcome of every submission
// with the complete log.
func TestConcurrentOperatorsWithFailingLog(t *testing.T) {
	const seeds, coordinators, rounds = 25, 3, 12
	kinds := map[string]int{}
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			invariant.OnBreach(func(name invariant.Name, detail string) { t.Errorf("invariant %s: %s", name, detail) })
			ctx, cancel := context.WithCancel(t.Context())
			log := logservice.New(logservice.Config{Seed: seed})
			random := rand.New(rand.NewPCG(seed, 2))
			answers := make(chan outcome, coordinators*rounds)
			go injectFaults(ctx, log, rand.New(rand.NewPCG(seed, 3)))
			for i := range coordinators {
				c := start(ctx, log)
				waits := random.Perm(rounds)
				go func() {
					for round := range rounds {
						time.Sleep(time.Duration(waits[round]) * 150 * time.Millisecond)
						answers <- submit(ctx, c, fmt.Sprintf("operator-%d-%d", i, round))
					}
				}()
			}
			var outcomes []outcome
			for range coordinators * rounds {
				outcomes = append(outcomes, <-answers)
			}
			cancel()
			synctest.Wait()
			log.SetFaults(logservice.Faults{})
			contents := readAll(t, log)
			for _, o := range outcomes {
				o.check(t, contents)
				kinds[resultKind(o)]++
			}
		})
	}
	for _, kind := range []string{"accepted", "conflict", "unknown", "not appended"} {
		if kinds[kind] == 0 {
			t.Errorf("no submission ended as %q: %v", kind, kinds)
		}
	}
	t.Log(kinds)
}

func resultKind(o outcome) string {
	switch {
	case errors.Is(o.err, appender.ErrNotAppended):
		return "not appended"
	case o.err != nil:
		return "unknown"
	}
	return string(o.applied.Verdict)
}

// injectFaults sets random faults of the log until ctx ends.
func injectFaults(ctx context.Context, log *logservice.Log, random *rand.Rand) {
	faults := []logservice.Faults{{}, {}, {AnswerLossRatio: 0.7}, {AnswerLossRatio: 1}, {SlowMillis: 700}, {Outage: true}, {SlowMillis: 3000, AnswerLossRatio: 0.5}}
	for ctx.Err() == nil {
		f := faults[random.IntN(len(faults))]
		log.SetFaults(f)
		span := time.Duration(1+random.IntN(4000)) * time.Millisecond
		if f.Outage {
			span *= 5
		}
		select {
		case <-time.After(span):
		case <-ctx.Done():
		}
	}
}
