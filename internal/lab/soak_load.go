package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/caller"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/standin/service"
)

const (
	soakRequestDeadline = 12 * time.Second
	// soakCallerGrace is the time that a caller waits beyond its request's
	// deadline.
	soakCallerGrace = 8 * time.Second
	// resolveTimeout is the time after the end of all faults at which callers stop
	// asking for the outcomes of their deposits. It is long enough for the outcome of
	// a claim whose owner has crashed to be declared unknown.
	resolveTimeout  = 45 * time.Second
	resolveInterval = time.Second
)

// soakResult holds one request and the latest result that its caller observed.
type soakResult struct {
	spec   requestSpec
	key    caller.Key
	answer caller.Answer
	body   json.RawMessage
	err    error
	// resolved is set if the caller had to ask for the outcome after the
	// round's load and faults had ended.
	resolved bool
}

// runSoak sends the requests at even intervals over the given duration, waits for all
// results and returns them.
func (l *LoadGenerator) runSoak(ctx context.Context, specs []requestSpec, duration time.Duration, seed uint64) []*soakResult {
	results := make([]*soakResult, len(specs))
	var pending sync.WaitGroup
	startedAt := time.Now()
	for i, p := range specs {
		time.Sleep(time.Until(startedAt.Add(duration * time.Duration(i) / time.Duration(len(specs)))))
		r := &soakResult{spec: p, key: caller.Key{Value: fmt.Sprintf("soak-%d-%06d", seed, p.index), IssuedAt: time.Now()}}
		results[i] = r
		pending.Go(func() { l.sendSoakRequest(ctx, r, soakRequestDeadline+soakCallerGrace) })
	}
	pending.Wait()
	return results
}

func (l *LoadGenerator) sendSoakRequest(ctx context.Context, r *soakResult, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	client := l.clients[r.spec.workspace]
	if !r.spec.isDeposit {
		r.answer, r.err = client.Generate(ctx, assistantService, r.spec.route, r.key.Value, callerapi.GenerateRequest{
			Prompt: r.spec.prompt, MaxTokens: r.spec.maxTokens, DeadlineMillis: int(soakRequestDeadline.Milliseconds()),
		})
		return
	}
	body := depositBody{Account: fmt.Sprintf("child-%04d", r.spec.index), Cents: 100 + r.spec.index}
	var answer callerapi.CallAnswer
	answer, _, r.err = client.CallWithKey(ctx, ledgerService, r.spec.route, &r.key, body)
	r.body = answer.Body
}

// resolve asks for the outcome of each deposit that has no final result yet.
func (l *LoadGenerator) resolve(ctx context.Context, results []*soakResult) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	var pending sync.WaitGroup
	for _, r := range results {
		if !r.spec.isDeposit || r.isFinal() {
			continue
		}
		r.resolved = true
		pending.Go(func() {
			for ctx.Err() == nil && !r.isFinal() {
				l.sendSoakRequest(ctx, r, resolveTimeout)
				time.Sleep(resolveInterval)
			}
		})
	}
	pending.Wait()
}

// isFinal reports whether a deposit's result is final: it was served, has not
// run, has an expired key, or has an unknown outcome.
func (r *soakResult) isFinal() bool {
	if r.err == nil {
		return true
	}
	var rejection *callerapi.Error
	if !errors.As(r.err, &rejection) {
		return false
	}
	switch rejection.Code {
	case callerapi.OutcomeUnknown, callerapi.KeyExpired:
		return true
	}
	return rejection.Run == callerapi.NotRun
}

// receipt decodes the service's receipt of a served deposit.
func (r *soakResult) receipt() (service.Receipt, error) {
	var receipt service.Receipt
	err := json.Unmarshal(r.body, &receipt)
	return receipt, err
}
