package claims

import (
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/invariant"
	"coltsfootpath.example/coltsfootpath/internal/state/calls"
)

// sentCalls records the calls that this entry VM has sent and that may have
// run. It asserts that no key is sent under two claims and that a call reported
// as "not run" has not been sent.
type sentCalls struct {
	mu    sync.Mutex
	byKey map[calls.ID]sentCall
	order []sentCall
}

// sentCall is one call that may have run.
type sentCall struct {
	id     calls.ID
	token  string
	sentAt time.Time
}

const (
	sentCallRetention = 10 * time.Minute
	maxSentCalls      = 50_000
)

func newSentCalls() *sentCalls {
	return &sentCalls{byKey: map[calls.ID]sentCall{}}
}

// add records that a call is about to be sent.
func (s *sentCalls) add(claim calls.Claim, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropOldest(now)
	old, ok := s.byKey[claim.ID]
	invariant.Check(!ok || old.token == claim.Token, invariant.OneRunPerKey, "key=%s sent under two claims", claim.ID.Key)
	if ok {
		return
	}
	sent := sentCall{id: claim.ID, token: claim.Token, sentAt: now}
	s.byKey[claim.ID] = sent
	s.order = append(s.order, sent)
}

// remove drops the record of a call that certainly did not run.
func (s *sentCalls) remove(claim calls.Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byKey[claim.ID].token == claim.Token {
		delete(s.byKey, claim.ID)
	}
}

// checkResult asserts that a call reported as not run was not sent.
func (s *sentCalls) checkResult(claim calls.Claim, result calls.Result) {
	if result != calls.ResultNotRun {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, ok := s.byKey[claim.ID]
	invariant.Check(!ok || sent.token != claim.Token, invariant.NotRunIsTrue, "key=%s ended as not run after it was sent", claim.ID.Key)
}

func (s *sentCalls) dropOldest(now time.Time) {
	for len(s.order) > 0 {
		oldest := s.order[0]
		if now.Sub(oldest.sentAt) <= sentCallRetention && len(s.order) <= maxSentCalls {
			return
		}
		s.order = s.order[1:]
		if s.byKey[oldest.id] == oldest {
			delete(s.byKey, oldest.id)
		}
	}
}

// MaySend reports whether a call may still be sent under a claim that was started
// at startedAt on this VM's own clock. It must be called right before each send.
func (c *Claimer) MaySend(claim calls.Claim, startedAt time.Time) bool {
	now := c.clock.Now()
	call, ok := c.table.Get(claim.ID)
	if !isSendable(call, ok, claim.Token, age(startedAt, now)) {
		return false
	}
	c.sends.add(claim, now)
	return true
}

// isSendable reports whether the claim with this token holds the key, has no
// outcome yet, and is younger than SendTimeout. known is true if the log has a
// call for the key.
func isSendable(call calls.Call, known bool, token string, age time.Duration) bool {
	return known && call.Claim.Token == token && call.Outcome == nil && age < SendTimeout
}

// age returns the longer of the times measured by the monotonic and the wall
// clock, because the monotonic clock may stop while a VM is suspended.
func age(startedAt, now time.Time) time.Duration {
	return max(now.Sub(startedAt), now.Round(0).Sub(startedAt.Round(0)))
}

// RecordNotSent records that a send allowed by MaySend certainly did not run.
func (c *Claimer) RecordNotSent(claim calls.Claim) {
	c.sends.remove(claim)
}
