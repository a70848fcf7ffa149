package claims

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/coordination/tail"
	"coltsfootpath.example/coltsfootpath/internal/invariant"
	"coltsfootpath.example/coltsfootpath/internal/state/calls"
)

// Table holds the state replayed from the claims stream. It is safe for
// concurrent use.
type Table struct {
	clock ports.Clock

	mu    sync.Mutex
	table *calls.Table
}

var _ tail.Applier = (*Table)(nil)

// NewTable returns an empty table.
func NewTable(limits calls.Limits, clock ports.Clock) *Table {
	return &Table{clock: clock, table: calls.NewTable(limits)}
}

// Apply applies one record of the stream.
func (t *Table) Apply(offset uint64, data []byte) {
	record, err := calls.Decode(data)
	if err != nil {
		klog.Errorf("claims: skipped undecodable record offset=%d err=%q", offset, err)
		return
	}
	t.mu.Lock()
	verdict := t.table.Apply(offset, record, t.clock.Now())
	t.mu.Unlock()
	checkInvariants(verdict, offset, record)
}

// checkInvariants asserts the invariants that every reader of the stream can
// verify.
func checkInvariants(verdict calls.Verdict, offset uint64, record calls.Record) {
	if record.Outcome == nil {
		return
	}
	key := record.Outcome.ID.Key
	invariant.Check(verdict != calls.RanWithoutClaim, invariant.OneRunPerKey, "key=%s offset=%d ran without holding its key", key, offset)
	invariant.Check(verdict != calls.RanAfterNotRun, invariant.NotRunIsTrue, "key=%s offset=%d ran after its claim ended", key, offset)
}

// Trimmed records that the stream was trimmed and returns the offset at which
// reading continues, the earliest one kept.
func (t *Table) Trimmed(earliest uint64) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.HandleTrim()
	return earliest
}

// Get returns the call of an id.
func (t *Table) Get(id calls.ID) (calls.Call, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Get(id)
}

// Len returns the number of entries held in memory.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Len()
}

func (t *Table) appliedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.AppliedAt()
}

func (t *Table) provesUnclaimed(issuedAt time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.ProvesUnclaimed(issuedAt)
}

// winner returns the call whose claim holds the key of claim, if any. It returns
// ErrKeyExpired if claim itself holds the key but an earlier claim of the key may
// have been trimmed.
func (t *Table) winner(claim calls.Claim) (calls.Call, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	call, ok := t.table.Holder(claim.ID)
	if ok && call.Claim.Token == claim.Token && !t.table.ProvesUnclaimed(claim.IssuedAt) {
		return calls.Call{}, false, ErrKeyExpired
	}
	return call, ok, nil
}
