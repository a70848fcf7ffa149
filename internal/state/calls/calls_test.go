package calls

import (
	"testing"
	"time"
)

var (
	id        = ID{Workspace: "branches", Key: "deposit-1"}
	startedAt = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func claimRecord(token string) Record {
	return Record{At: startedAt, Claim: &Claim{ID: id, Token: token, IssuedAt: startedAt}}
}

func outcomeRecord(token string, result Result) Record {
	return Record{At: startedAt, Outcome: &Outcome{ID: id, Token: token, Result: result}}
}

func applyAll(t *Table, records ...Record) (last Verdict) {
	for i, r := range records {
		last = t.Apply(uint64(i+1), r, startedAt)
	}
	return last
}

func newTestTable() *Table {
	return NewTable(Limits{Retention: time.Hour, MaxCalls: 100})
}

func TestClaimsAndOutcomesOfOneKey(t *testing.T) {
	tests := []struct {
		name    string
		records []Record
		holder  string
		result  Result
		last    Verdict
	}{
		{"first claim wins", []Record{claimRecord("a"), claimRecord("b")}, "a", "", Ignored},
		{"a later claim wins after one that did not run", []Record{claimRecord("a"), outcomeRecord("a", ResultNotRun), claimRecord("b")}, "b", "", Applied},
		{"no claim wins after one that ran", []Record{claimRecord("a"), outcomeRecord("a", ResultRan), claimRecord("b")}, "a", ResultRan, Ignored},
		{"no claim wins after an unknown result", []Record{claimRecord("a"), outcomeRecord("a", ResultUnknown), claimRecord("b")}, "a", ResultUnknown, Ignored},
		{"a known result replaces an unknown one", []Record{claimRecord("a"), outcomeRecord("a", ResultUnknown), outcomeRecord("a", ResultRan)}, "a", ResultRan, Applied},
		{"an unknown result does not replace a known one", []Record{claimRecord("a"), outcomeRecord("a", ResultRan), outcomeRecord("a", ResultUnknown)}, "a", ResultRan, Ignored},
		{"a claim read after its outcome", []Record{outcomeRecord("a", ResultNotRun), claimRecord("a")}, "", "", Ignored},
		{"a duplicate of an ended claim", []Record{claimRecord("a"), outcomeRecord("a", ResultNotRun), claimRecord("b"), outcomeRecord("b", ResultNotRun), claimRecord("a")}, "", "", Ignored},
		{"a run under a losing claim", []Record{claimRecord("a"), claimRecord("b"), outcomeRecord("b", ResultRan)}, "a", "", RanWithoutClaim},
		{"a run after the not-run outcome", []Record{claimRecord("a"), outcomeRecord("a", ResultNotRun), outcomeRecord("a", ResultRan)}, "", "", RanAfterNotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTestTable()
			if last := applyAll(table, tt.records...); last != tt.last {
				t.Errorf("last verdict %s, want %s", last, tt.last)
			}
			call, _ := table.Holder(id)
			if call.Claim.Token != tt.holder {
				t.Errorf("holder %q, want %q", call.Claim.Token, tt.holder)
			}
			if tt.result != "" && !call.HasResult(tt.result) {
				t.Errorf("outcome %+v, want %s", call.Outcome, tt.result)
			}
		})
	}
}

func TestTrimmedStreamProvesOnlyKeysIssuedLater(t *testing.T) {
	table := newTestTable()
	if !table.ProvesUnclaimed(time.Time{}) {
		t.Error("a complete stream does not prove a key without an issue time unclaimed")
	}
	table.HandleTrim()
	if table.ProvesUnclaimed(startedAt.Add(24 * time.Hour)) {
		t.Error("a key is proved unclaimed before the first record after a gap")
	}
	applyAll(table, claimRecord("a"))
	if table.ProvesUnclaimed(time.Time{}) || table.ProvesUnclaimed(startedAt.Add(AgeMargin)) {
		t.Error("a key without an issue time, or issued no later than the margin after the horizon, is proved unclaimed")
	}
	if !table.ProvesUnclaimed(startedAt.Add(AgeMargin + time.Second)) {
		t.Error("a key issued after the horizon and its margin is not proved unclaimed")
	}
}

func TestTrimmingDropsClaimsThatDidNotRun(t *testing.T) {
	table := newTestTable()
	applyAll(table, claimRecord("a"), outcomeRecord("a", ResultNotRun))
	table.HandleTrim()
	if _, ok := table.Get(id); ok || table.ProvesUnclaimed(startedAt) {
		t.Error("the call is still held or its key is proved unclaimed, although the trimmed records may contain a later claim")
	}
}

func TestTableIsBounded(t *testing.T) {
	tests := map[string]Limits{
		"by count": {Retention: time.Hour, MaxCalls: 10},
		"by age":   {Retention: 10 * time.Second, MaxCalls: 1000},
	}
	for name, limits := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable(limits)
			for i := range 500 {
				at := startedAt.Add(time.Duration(i) * time.Second)
				key := ID{Key: string(rune('a'+i%26)) + at.String()}
				table.Apply(uint64(2*i+1), Record{At: at, Claim: &Claim{ID: key, Token: at.String(), IssuedAt: at}}, at)
				table.Apply(uint64(2*i+2), Record{At: at, Outcome: &Outcome{ID: key, Token: at.String() + "x", Result: ResultNotRun}}, at)
			}
			if n := table.Len(); n > 25 {
				t.Errorf("%d entries are held, want at most 25", n)
			}
			if table.ProvesUnclaimed(startedAt.Add(400 * time.Second)) {
				t.Error("a key whose claim was dropped is proved unclaimed")
			}
		})
	}
}

// TestRunOfDroppedClaimIsIgnored applies a delayed claim, which wins because the
// first one was dropped. The run of the first claim is not a second run and must not
// be reported as one.
func TestRunOfDroppedClaimIsIgnored(t *testing.T) {
	table := NewTable(Limits{Retention: time.Hour, MaxCalls: 1})
	other := Record{At: startedAt, Claim: &Claim{ID: ID{Key: "other"}, Token: "o"}}
	if v := applyAll(table, claimRecord("a"), other, claimRecord("b"), outcomeRecord("a", ResultRan)); v != Ignored {
		t.Error(v)
	}
	if table.ProvesUnclaimed(startedAt) {
		t.Error("the key is proved unclaimed although its first claim was dropped")
	}
}

func FuzzDecode(f *testing.F) {
	for _, r := range []Record{claimRecord("a"), outcomeRecord("a", ResultRan), {At: startedAt, Heartbeat: &Heartbeat{VM: "entry-1"}}} {
		data, err := Encode(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, text := range []string{`{}`, `null`, `{"claim":{}}`, `{"claim":{"id":{"key":"k"},"token":"t"},"mark":{}}`, `{"outcome":{"id":{"key":"k"},"token":"t","result":"?"}}`, "\xff"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		encoded, err := Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(encoded); err != nil {
			t.Fatalf("%s is decoded but its encoding %s is not: %v", data, encoded, err)
		}
		table := newTestTable()
		table.Apply(1, r, startedAt)
		table.Apply(2, r, startedAt)
	})
}
