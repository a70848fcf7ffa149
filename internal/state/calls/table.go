package calls

import "time"

// Call is the state of a key according to the log.
type Call struct {
	// Offset is the offset of the winning claim.
	Offset uint64
	Claim  Claim
	// AppliedAt is the time at which this reader applied the winning claim.
	AppliedAt time.Time
	Outcome   *Outcome
}

// HasResult reports whether the call has ended with the given result.
func (c Call) HasResult(result Result) bool {
	return c.Outcome != nil && c.Outcome.Result == result
}

// Verdict is the effect of a record on the table.
type Verdict string

// Effects of a record on the table.
const (
	// Applied means that the record took effect.
	Applied Verdict = "applied"
	// Ignored means that the record had no effect, for example because another
	// claim of the key came first or a more definite outcome is known.
	Ignored Verdict = "ignored"
	// RanWithoutClaim means that the call ran under a claim that does not hold the key.
	RanWithoutClaim Verdict = "ran_unheld"
	// RanAfterNotRun means that the call ran although its claim had already ended
	// without a run.
	RanAfterNotRun Verdict = "ran_after_not_run"
)

// Limits bound the table's memory.
type Limits struct {
	// Retention is the time from the application of a claim to the removal of its
	// call from the table.
	Retention time.Duration
	// MaxCalls bounds the number of claims whose calls or tokens the table holds.
	MaxCalls int
}

// AgeMargin is the minimum time from the table's horizon to the issue of a key whose
// absence from the table proves that it is unclaimed. It covers the clock skew
// between callers and entry VMs, and the delay between a record's timestamp and its
// append to the log.
const AgeMargin = time.Minute

// entry identifies a claim whose call or voided token the table holds, with the times
// of the record that added it.
type entry struct {
	token     string
	id        ID
	appliedAt time.Time
	writtenAt time.Time
}

// Table holds the calls that were replayed from the log. It is not safe for
// concurrent use.
type Table struct {
	limits Limits
	calls  map[ID]Call
	// voided holds the tokens of claims that ended without a run. A delayed claim
	// record with such a token may still be read, either for the first time or again.
	voided map[string]bool
	// byAge lists the entries for calls and voided, oldest first.
	byAge []entry
	// complete is true while the table holds every claim of the stream.
	complete bool
	// afterGap is true from the trimming of unread records to the next record with
	// a timestamp.
	afterGap bool
	// horizon is the latest time at which a claim that is missing from the table may
	// have been written.
	horizon time.Time
	// appliedAt is the time at which the last record was applied.
	appliedAt time.Time
}

// NewTable returns an empty table for replay from the stream's first record.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, calls: map[ID]Call{}, voided: map[string]bool{}, complete: true}
}

// Get returns the call with the given id, also if its claim has ended.
func (t *Table) Get(id ID) (Call, bool) {
	c, ok := t.calls[id]
	return c, ok
}

// Holder returns the call whose claim holds the id. A claim that ended without
// a run no longer holds it.
func (t *Table) Holder(id ID) (Call, bool) {
	c, ok := t.calls[id]
	if ok && c.HasResult(ResultNotRun) {
		return Call{}, false
	}
	return c, ok
}

// Len returns the number of calls and voided tokens held.
func (t *Table) Len() int {
	return len(t.calls) + len(t.voided)
}

// ProvesUnclaimed reports whether the absence of a key from the table proves
// that none of the applied records claimed it. For a key without an issue time, it
// does so only while the table holds the complete stream.
func (t *Table) ProvesUnclaimed(issuedAt time.Time) bool {
	if t.complete {
		return true
	}
	if t.afterGap || issuedAt.IsZero() {
		return false
	}
	return issuedAt.After(t.horizon.Add(AgeMargin))
}

// AppliedAt returns the time at which the last record was applied.
func (t *Table) AppliedAt() time.Time {
	return t.appliedAt
}

// HandleTrim must be called after the log trimmed records before they were applied. It
// drops the calls whose claims ended without a run, and voids their tokens, because
// the missed records may contain a later claim of the same key.
func (t *Table) HandleTrim() {
	t.complete = false
	t.afterGap = true
	for id, c := range t.calls {
		if c.HasResult(ResultNotRun) {
			t.voided[c.Claim.Token] = true
			delete(t.calls, id)
		}
	}
}

// Apply applies the record at offset, then drops the oldest entries beyond the
// limits.
func (t *Table) Apply(offset uint64, r Record, now time.Time) Verdict {
	if t.afterGap && !r.At.IsZero() {
		t.afterGap = false
		t.raiseHorizon(r.At)
	}
	t.appliedAt = now
	verdict := Ignored
	switch {
	case r.Claim != nil:
		verdict = t.applyClaim(offset, r, now)
	case r.Outcome != nil:
		verdict = t.applyOutcome(r, now)
	}
	t.Evict(now)
	return verdict
}

// applyClaim accepts the first claim of a key, and the next one after a claim that
// ended without a run.
func (t *Table) applyClaim(offset uint64, r Record, now time.Time) Verdict {
	c := *r.Claim
	if t.voided[c.Token] {
		return Ignored
	}
	old, ok := t.calls[c.ID]
	if ok && (!old.HasResult(ResultNotRun) || old.Claim.Token == c.Token) {
		return Ignored
	}
	if ok {
		t.voided[old.Claim.Token] = true
	}
	t.calls[c.ID] = Call{Offset: offset, Claim: c, AppliedAt: now}
	t.byAge = append(t.byAge, entry{token: c.Token, id: c.ID, appliedAt: now, writtenAt: r.At})
	return Applied
}

// voidToken prevents a claim whose record has not been read yet from being accepted
// later.
func (t *Table) voidToken(token string, at, now time.Time) {
	if t.voided[token] {
		return
	}
	t.voided[token] = true
	t.byAge = append(t.byAge, entry{token: token, appliedAt: now, writtenAt: at})
}

// applyOutcome applies an outcome of the winning claim. A known result replaces
// an unknown one, and a known result is never replaced.
func (t *Table) applyOutcome(r Record, now time.Time) Verdict {
	o := r.Outcome
	c, ok := t.calls[o.ID]
	if !ok || c.Claim.Token != o.Token {
		return t.applyNonHolderOutcome(ok && t.ProvesUnclaimed(c.Claim.IssuedAt), r, now)
	}
	if c.HasResult(ResultNotRun) && o.Result == ResultRan {
		return RanAfterNotRun
	}
	if c.Outcome != nil && (c.Outcome.Result != ResultUnknown || o.Result == ResultUnknown) {
		return Ignored
	}
	c.Outcome = o
	t.calls[o.ID] = c
	return Applied
}

// applyNonHolderOutcome applies the outcome of a claim that does not hold its key.
// holderIsFirst is true if the claim that holds the key is certainly the first one of
// that key.
func (t *Table) applyNonHolderOutcome(holderIsFirst bool, r Record, now time.Time) Verdict {
	switch r.Outcome.Result {
	case ResultNotRun:
		t.voidToken(r.Outcome.Token, r.At, now)
		return Applied
	case ResultRan:
		if t.complete || holderIsFirst {
			return RanWithoutClaim
		}
	}
	return Ignored
}

// Evict drops the oldest entries until the rest is within the limits at now.
func (t *Table) Evict(now time.Time) {
	for len(t.byAge) > 0 {
		oldest := t.byAge[0]
		if now.Sub(oldest.appliedAt) <= t.limits.Retention && len(t.byAge) <= t.limits.MaxCalls {
			return
		}
		t.byAge = t.byAge[1:]
		t.remove(oldest)
	}
}

// remove drops one entry and raises the horizon to the time of its record.
func (t *Table) remove(e entry) {
	t.complete = false
	if e.writtenAt.IsZero() {
		e.writtenAt = e.appliedAt
	}
	t.raiseHorizon(e.writtenAt)
	delete(t.voided, e.token)
	if c, ok := t.calls[e.id]; ok && c.Claim.Token == e.token {
		delete(t.calls, e.id)
	}
}

func (t *Table) raiseHorizon(at time.Time) {
	if at.After(t.horizon) {
		t.horizon = at
	}
}
