package claims

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootpath.example/coltsfootpath/internal/state/calls"
)

const (
	modelNodes     = 3
	modelSteps     = 250
	modelRetention = 15 * time.Minute
	// maxAppendDelay is the time within which a delayed append can still reach
	// the log.
	maxAppendDelay = 40 * time.Second
)

// stage is the progress of an attempt.
type stage int

const (
	claiming stage = iota
	won
	checked
	over
)

// attempt is one request for a key on one node.
type attempt struct {
	claim     calls.Claim
	startedAt time.Time
	stage     stage
	offset    uint64 // 0 if the append's answer was lost
}

type modelNode struct {
	table    *calls.Table
	next     uint64
	skew     time.Duration
	attempts []*attempt
	outcomes []calls.Outcome
}

type storedRecord struct {
	record   calls.Record
	storedAt time.Time
}

// claimModel is a log, nodes that apply the rules of this package to it, and an
// oracle that counts the actual runs.
type claimModel struct {
	now      time.Time
	first    uint64
	records  []storedRecord
	inFlight []calls.Record
	nodes    []*modelNode
	keys     []calls.Claim
	tokens   int

	runsByKey      map[string]int
	runByToken     map[string]bool
	reportedNotRun map[string]bool
	occurrences    map[string]int
}

func newClaimModel() *claimModel {
	m := &claimModel{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), first: 1,
		runsByKey: map[string]int{}, runByToken: map[string]bool{}, reportedNotRun: map[string]bool{}, occurrences: map[string]int{},
	}
	for i := range modelNodes {
		m.nodes = append(m.nodes, m.newNode(i))
	}
	return m
}

func (m *claimModel) newNode(i int) *modelNode {
	limits := calls.Limits{Retention: 30 * time.Minute, MaxCalls: 8}
	return &modelNode{table: calls.NewTable(limits), next: 1, skew: time.Duration(i-1) * 2 * time.Second}
}

func (m *claimModel) node(t *rapid.T) *modelNode {
	return m.nodes[rapid.IntRange(0, modelNodes-1).Draw(t, "node")]
}

func (m *claimModel) clock(n *modelNode) time.Time { return m.now.Add(n.skew) }

// append sends a record to the log: it may be stored, stored without an answer,
// delayed, or lost. It returns the offset that the writer receives, 0 without
// an answer.
func (m *claimModel) append(t *rapid.T, n *modelNode, r calls.Record) uint64 {
	r.At = m.clock(n)
	switch rapid.IntRange(0, 9).Draw(t, "fate") {
	case 0:
		return 0
	case 1, 2:
		m.inFlight = append(m.inFlight, r)
		return 0
	case 3:
		m.store(r)
		return 0
	}
	return m.store(r)
}

func (m *claimModel) store(r calls.Record) uint64 {
	m.records = append(m.records, storedRecord{record: r, storedAt: m.now})
	return m.first + uint64(len(m.records)) - 1
}

func (m *claimModel) submit(t *rapid.T) {
	n := m.node(t)
	if len(m.keys) == 0 || rapid.IntRange(0, 2).Draw(t, "new") == 0 {
		m.keys = append(m.keys, calls.Claim{ID: calls.ID{Key: fmt.Sprint("k", len(m.keys))}, IssuedAt: m.now})
	}
	from := max(0, len(m.keys)-4)
	if rapid.IntRange(0, 3).Draw(t, "old") == 0 {
		from = 0
	}
	claim := m.keys[rapid.IntRange(from, len(m.keys)-1).Draw(t, "key")]
	known, ok := n.table.Get(claim.ID)
	if ok && !known.HasResult(calls.ResultNotRun) {
		m.attach(t, n, known)
		return
	}
	if !ok && !n.table.ProvesUnclaimed(claim.IssuedAt) {
		m.occurrences["expired"]++
		return
	}
	m.tokens++
	claim.Token = fmt.Sprint("t", m.tokens)
	a := &attempt{claim: claim, startedAt: m.clock(n)}
	a.offset = m.append(t, n, calls.Record{Claim: &a.claim})
	n.attempts = append(n.attempts, a)
}

// attach declares the outcome of a claim whose owner has been unresponsive for
// too long.
func (m *claimModel) attach(t *rapid.T, n *modelNode, call calls.Call) {
	if call.Outcome != nil || m.clock(n).Sub(call.AppliedAt) < DeclareUnknownDelay(time.Second) {
		return
	}
	m.occurrences["declared"]++
	m.append(t, n, calls.Record{Outcome: &calls.Outcome{ID: call.Claim.ID, Token: call.Claim.Token, Result: calls.ResultUnknown}})
}

func (m *claimModel) read(t *rapid.T) {
	n := m.node(t)
	if n.next < m.first {
		n.table.HandleTrim()
		n.next = m.first
		m.occurrences["trimmed"]++
	}
	end := m.first + uint64(len(m.records))
	for range rapid.IntRange(1, 12).Draw(t, "records") {
		if n.next >= end {
			return
		}
		r := m.records[n.next-m.first].record
		if v := n.table.Apply(n.next, r, m.clock(n)); v == calls.RanWithoutClaim || v == calls.RanAfterNotRun {
			t.Fatalf("offset %d: %s %+v", n.next, v, r.Outcome)
		}
		n.next++
	}
}

// step advances one attempt.
func (m *claimModel) step(t *rapid.T) {
	n := m.node(t)
	if len(n.attempts) == 0 {
		return
	}
	i := rapid.IntRange(0, len(n.attempts)-1).Draw(t, "attempt")
	a := n.attempts[i]
	switch a.stage {
	case claiming:
		m.stepClaiming(t, n, a)
	case won:
		m.stepWon(n, a)
	case checked:
		m.send(t, n, a)
	}
	if a.stage == over {
		n.attempts = append(n.attempts[:i:i], n.attempts[i+1:]...)
	}
}

func (m *claimModel) stepClaiming(t *rapid.T, n *modelNode, a *attempt) {
	if rapid.IntRange(0, 7).Draw(t, "timeout") == 0 {
		m.endNotRun(n, a)
		return
	}
	if a.offset >= n.next {
		return
	}
	wrapped := &Table{table: n.table}
	call, known, err := wrapped.winner(a.claim)
	switch {
	case err != nil:
		m.occurrences["expired"]++
		m.endNotRun(n, a)
	case known && call.Claim.Token == a.claim.Token:
		a.stage = won
	case known:
		a.stage = over
	default:
		a.offset = m.append(t, n, calls.Record{Claim: &a.claim})
	}
}

func (m *claimModel) stepWon(n *modelNode, a *attempt) {
	call, ok := n.table.Get(a.claim.ID)
	if !isSendable(call, ok, a.claim.Token, m.clock(n).Sub(a.startedAt)) {
		m.occurrences["late"]++
		m.endNotRun(n, a)
		return
	}
	a.stage = checked
}

// send runs the call. Any amount of time may have passed since the check.
func (m *claimModel) send(t *rapid.T, n *modelNode, a *attempt) {
	outcome := calls.Outcome{ID: a.claim.ID, Token: a.claim.Token, Result: calls.ResultRan}
	switch rapid.IntRange(0, 4).Draw(t, "service") {
	case 0:
		m.endNotRun(n, a)
		return
	case 1:
		outcome.Result = calls.ResultUnknown
	}
	m.runsByKey[a.claim.ID.Key]++
	m.runByToken[a.claim.Token] = true
	m.occurrences["run"]++
	n.outcomes = append(n.outcomes, outcome)
	a.stage = over
}

func (m *claimModel) endNotRun(n *modelNode, a *attempt) {
	m.reportedNotRun[a.claim.Token] = true
	n.outcomes = append(n.outcomes, calls.Outcome{ID: a.claim.ID, Token: a.claim.Token, Result: calls.ResultNotRun})
	a.stage = over
}

// flush appends a pending outcome until the log has certainly stored it.
func (m *claimModel) flush(t *rapid.T) {
	n := m.node(t)
	if len(n.outcomes) == 0 {
		return
	}
	if m.append(t, n, calls.Record{Outcome: &n.outcomes[0]}) != 0 {
		n.outcomes = n.outcomes[1:]
	}
}

func (m *claimModel) kill(t *rapid.T) {
	i := rapid.IntRange(0, modelNodes-1).Draw(t, "node")
	m.nodes[i] = m.newNode(i)
}

func (m *claimModel) advanceTime(t *rapid.T) {
	steps := []time.Duration{time.Second, 5 * time.Second, 25 * time.Second, 2 * time.Minute, 20 * time.Minute}
	m.now = m.now.Add(rapid.SampledFrom(steps).Draw(t, "time"))
	kept := m.inFlight[:0]
	for _, r := range m.inFlight {
		if m.now.Sub(r.At) < maxAppendDelay {
			kept = append(kept, r)
		}
	}
	m.inFlight = kept
}

func (m *claimModel) storeDelayed(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "late")
	m.store(m.inFlight[i])
	m.inFlight = append(m.inFlight[:i:i], m.inFlight[i+1:]...)
}

func (m *claimModel) trim(*rapid.T) {
	for len(m.records) > 0 && m.now.Sub(m.records[0].storedAt) > modelRetention {
		m.records = m.records[1:]
		m.first++
	}
}

// check verifies the two guarantees: at most one run for each key, and no run
// of a call reported as not run.
func (m *claimModel) check(t *rapid.T) {
	for key, runs := range m.runsByKey {
		if runs > 1 {
			t.Fatalf("%s ran %d times", key, runs)
		}
	}
	for token := range m.runByToken {
		if m.reportedNotRun[token] {
			t.Fatalf("%s ran although its caller received \"not run\"", token)
		}
	}
	for _, n := range m.nodes {
		for _, claim := range m.keys {
			if c, ok := n.table.Get(claim.ID); ok && c.HasResult(calls.ResultRan) && m.runsByKey[claim.ID.Key] != 1 {
				t.Fatalf("%s is recorded as run but ran %d times", claim.ID.Key, m.runsByKey[claim.ID.Key])
			}
		}
	}
}

// TestClaimsAgainstOracle runs nodes through kills, pauses, lost and delayed
// appends, partial reads, retention and memory limits.
func TestClaimsAgainstOracle(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newClaimModel()
		actions := []func(*rapid.T){
			m.submit, m.submit, m.submit, m.read, m.read, m.read, m.read,
			m.step, m.step, m.step, m.step, m.step, m.step, m.step, m.step,
			m.flush, m.flush, m.kill, m.advanceTime, m.advanceTime, m.storeDelayed, m.trim,
		}
		for range modelSteps {
			rapid.SampledFrom(actions).Draw(t, "action")(t)
			m.check(t)
		}
		for what, n := range m.occurrences {
			seen[what] += n
		}
	})
	for _, what := range []string{"run", "expired", "declared", "trimmed", "late"} {
		if seen[what] == 0 {
			t.Errorf("the model never reached %q", what)
		}
	}
}
