package claims_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/claims"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/coordination/tail"
	"coltsfootpath.example/coltsfootpath/internal/invariant"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/internal/standin/service"
	"coltsfootpath.example/coltsfootpath/internal/state/calls"
)

// vm is the part of an entry VM that makes claims.
type vm struct {
	*claims.Claimer
	name   string
	writer *claims.Writer
	stop   context.CancelFunc
}

var limits = calls.Limits{Retention: time.Hour, MaxCalls: 10_000}

func startVM(ctx context.Context, log ports.Log, name string) *vm {
	clock := ports.SystemClock{}
	table := claims.NewTable(limits, clock)
	writer := claims.NewWriter(log, clock)
	follower := tail.NewFollower(log, clock, calls.Stream, 1, table)
	ctx, stop := context.WithCancel(ctx)
	v := &vm{Claimer: claims.NewClaimer(table, writer, follower, clock), name: name, writer: writer, stop: stop}
	go follower.Run(ctx)
	go writer.Run(ctx)
	go v.AppendHeartbeats(ctx, name)
	return v
}

func newClaim(key, token string) calls.Claim {
	return calls.Claim{ID: calls.ID{Workspace: "branches", Key: key}, Token: token, IssuedAt: time.Now()}
}

func (v *vm) claim(claim calls.Claim) (calls.Call, error) {
	ctx, cancel := context.WithTimeout(context.Background(), claims.ClaimTimeout)
	defer cancel()
	call, _, err := v.Claim(ctx, claim)
	return call, err
}

// inBubble runs f on fake time and stops everything that it started.
func inBubble(t *testing.T, f func(t *testing.T, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		breaches := invariant.BreachCount()
		ctx, cancel := context.WithCancel(context.Background())
		f(t, ctx)
		cancel()
		if n := invariant.BreachCount() - breaches; n != 0 {
			t.Errorf("%d invariants were breached", n)
		}
	})
}

func TestClaimsAreRejectedAtOnceDuringAnOutage(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		log := logservice.New(logservice.Config{})
		v := startVM(ctx, log, "entry-1")
		log.SetFaults(logservice.Faults{Outage: true})
		startedAt := time.Now()
		if _, err := v.claim(newClaim("a", "1")); !errors.Is(err, claims.ErrLogUnavailable) {
			t.Fatal(err)
		}
		if took := time.Since(startedAt); took > 500*time.Millisecond {
			t.Errorf("the first rejection took %v", took)
		}
		if _, err := v.claim(newClaim("b", "2")); !errors.Is(err, claims.ErrLogUnavailable) {
			t.Fatal(err)
		}
		startedAt = time.Now()
		if _, err := v.claim(newClaim("c", "3")); !errors.Is(err, claims.ErrLogUnavailable) || time.Since(startedAt) != 0 {
			t.Errorf("a log known to be down: err=%v after %v", err, time.Since(startedAt))
		}
		time.Sleep(20 * time.Second)
		log.SetFaults(logservice.Faults{})
		time.Sleep(500 * time.Millisecond)
		if call, err := v.claim(newClaim("d", "4")); err != nil || call.Claim.Token != "4" {
			t.Errorf("claim after the outage: %+v %v", call, err)
		}
	})
}

func TestClaimsAreRejectedAtOnceWithASlowLog(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		log := logservice.New(logservice.Config{})
		v := startVM(ctx, log, "entry-1")
		log.SetFaults(logservice.Faults{SlowMillis: 3500})
		slow := newClaim("a", "1")
		if _, err := v.claim(slow); !errors.Is(err, claims.ErrLogUnavailable) {
			t.Fatal(err)
		}
		startedAt := time.Now()
		if _, err := v.claim(newClaim("b", "2")); !errors.Is(err, claims.ErrLogUnavailable) || time.Since(startedAt) != 0 {
			t.Errorf("a log known to be slow: err=%v after %v", err, time.Since(startedAt))
		}
		log.SetFaults(logservice.Faults{})
		if err := v.Abandon(ctx, slow); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		again := newClaim("a", "3")
		if call, err := v.claim(again); err != nil || call.Claim.Token != "3" {
			t.Errorf("an abandoned claim holds its key: %+v %v", call, err)
		}
		if v.MaySend(slow, startedAt) {
			t.Error("an abandoned claim may be sent")
		}
	})
}

func TestPausedOwnerSendsNothing(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		v := startVM(ctx, logservice.New(logservice.Config{}), "entry-1")
		startedAt, claim := time.Now(), newClaim("a", "1")
		if _, err := v.claim(claim); err != nil {
			t.Fatal(err)
		}
		if !v.MaySend(claim, startedAt) {
			t.Error("a young claim may not be sent")
		}
		time.Sleep(claims.SendTimeout)
		if v.MaySend(claim, startedAt) {
			t.Error("an old claim may be sent")
		}
	})
}

func TestClaimOfUnresponsiveOwnerIsDeclaredUnknown(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		log := logservice.New(logservice.Config{})
		owner, other := startVM(ctx, log, "entry-1"), startVM(ctx, log, "entry-2")
		startedAt, claim := time.Now(), newClaim("a", "1")
		if _, err := owner.claim(claim); err != nil {
			t.Fatal(err)
		}
		owner.MaySend(claim, startedAt)
		time.Sleep(claims.DeclareUnknownDelay(time.Second))
		held, err := other.claim(newClaim("a", "2"))
		if err != nil || held.Claim.Token != "1" || held.Outcome != nil {
			t.Fatalf("%+v %v", held, err)
		}
		if held, err = other.DeclareUnknown(ctx, held); err != nil || !held.HasResult(calls.ResultUnknown) {
			t.Fatalf("%+v %v", held, err)
		}
		time.Sleep(time.Second)
		if owner.MaySend(claim, time.Now()) {
			t.Error("a claim whose outcome was declared may be sent")
		}
		if err := owner.Finish(ctx, claim, calls.ResultRan, []byte(`{}`)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if latest, _ := other.Lookup(claim.ID); !latest.HasResult(calls.ResultRan) {
			t.Errorf("the owner's outcome is not applied after the declaration: %+v", latest.Outcome)
		}
	})
}

func TestStartOnATrimmedStream(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		log := logservice.New(logservice.Config{})
		first := startVM(ctx, log, "entry-1")
		old := newClaim("old", "1")
		startedAt := time.Now()
		if _, err := first.claim(old); err != nil || !first.MaySend(old, startedAt) {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Minute)
		log.Trim(calls.Stream, 3)
		newcomer := startVM(ctx, log, "entry-2")
		time.Sleep(time.Second)
		again := old
		again.Token = "2"
		if _, err := newcomer.claim(again); !errors.Is(err, claims.ErrKeyExpired) {
			t.Errorf("a key whose claim is trimmed: %v", err)
		}
		unaged := newClaim("unaged", "3")
		unaged.IssuedAt = time.Time{}
		if _, err := newcomer.claim(unaged); !errors.Is(err, claims.ErrKeyExpired) {
			t.Errorf("a key of unknown age: %v", err)
		}
		if call, err := newcomer.claim(newClaim("new", "4")); err != nil || call.Claim.Token != "4" {
			t.Errorf("a key issued after the earliest record: %+v %v", call, err)
		}
		if appends, _ := log.Counts(); appends > 25 {
			t.Errorf("%d appends for an idle stream", appends)
		}
	})
}

// TestRacingResubmissions sends each key to several VMs at once while the log
// loses answers, goes down and is slow, and VMs are killed between claim and
// outcome.
func TestRacingResubmissions(t *testing.T) {
	for seed := range uint64(25) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context) { race(t, ctx, seed) })
		})
	}
}

func race(t *testing.T, ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	log := logservice.New(logservice.Config{Seed: seed})
	backend := service.New(seed)
	backend.SetFaults(service.Faults{FailRatio: 0.2, AnswerLossRatio: 0.2})
	vms := make([]*vm, 4)
	for i := range vms {
		vms[i] = startVM(ctx, log, fmt.Sprintf("entry-%d", i))
	}
	reported := &answers{notRun: map[string]bool{}, ran: map[string]bool{}}
	var sent sync.WaitGroup
	for step := range 60 {
		log.SetFaults(logservice.Faults{
			Outage: random.IntN(8) == 0, AnswerLossRatio: 0.3 * float64(random.IntN(2)), SlowMillis: 700 * (random.IntN(6) / 5),
		})
		if random.IntN(20) == 0 {
			i := random.IntN(len(vms))
			vms[i].stop()
			vms[i] = startVM(ctx, log, fmt.Sprintf("entry-%d-%d", i, step))
		}
		key, issued := fmt.Sprint("key-", step/2), time.Now()
		for i := range vms {
			v, claim, wait := vms[i], newClaim(key, fmt.Sprint(key, "/", step, "/", i)), time.Duration(random.IntN(300))*time.Millisecond
			claim.IssuedAt = issued
			sent.Go(func() {
				time.Sleep(wait)
				v.serve(ctx, backend, claim, reported)
			})
		}
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	sent.Wait()
	ran := 0
	for name, runs := range backend.Runs() {
		ran++
		if runs != 1 {
			t.Errorf("%s ran %d times", name, runs)
		}
	}
	for token := range reported.notRun {
		if reported.ran[token] {
			t.Errorf("%s ran although its caller received \"not run\"", token)
		}
	}
	if ran == 0 {
		t.Error("nothing ran")
	}
}

// answers records the result reported to the caller for each token.
type answers struct {
	mu     sync.Mutex
	notRun map[string]bool
	ran    map[string]bool
}

func (a *answers) add(to map[string]bool, token string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	to[token] = true
}

// serve handles a claim as an entry VM does.
func (v *vm) serve(ctx context.Context, backend *service.Service, claim calls.Claim, reported *answers) {
	startedAt := time.Now()
	winner, err := v.claim(claim)
	if err != nil {
		reported.add(reported.notRun, claim.Token)
		finishCtx, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		_ = v.Abandon(finishCtx, claim)
		return
	}
	if winner.Claim.Token != claim.Token {
		return
	}
	result := v.send(backend, claim, startedAt, reported)
	finishCtx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	_ = v.Finish(finishCtx, claim, result, nil)
}

func (v *vm) send(backend *service.Service, claim calls.Claim, startedAt time.Time, reported *answers) calls.Result {
	if !v.MaySend(claim, startedAt) {
		reported.add(reported.notRun, claim.Token)
		return calls.ResultNotRun
	}
	_, err := backend.Call(context.Background(), ports.CallRequest{Route: "key", Key: claim.ID.Key})
	if errors.Is(err, ports.ErrRejected) {
		v.RecordNotSent(claim)
		reported.add(reported.notRun, claim.Token)
		return calls.ResultNotRun
	}
	reported.add(reported.ran, claim.Token)
	if err != nil {
		return calls.ResultUnknown
	}
	return calls.ResultRan
}
