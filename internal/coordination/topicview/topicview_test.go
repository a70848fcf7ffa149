package topicview

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootpath.example/coltsfootpath/internal/rapidtest"
	"coltsfootpath.example/coltsfootpath/internal/state/storelog"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 0) }

const restoreTime = 3 * time.Second

// value is a value that states its version, unless the key begins with "u".
type value struct{ V int64 }

func versionOf(key string, data []byte) (Version, bool) {
	var v value
	if key[0] == 'u' || json.Unmarshal(data, &v) != nil {
		return Version{}, false
	}
	return Version{Major: v.V}, true
}

// store is a keyed topic that may come back from a copy. What its writers have last written
// is in written; they write it again.
type store struct {
	era     uint64
	log     []Record
	written map[string][]byte
	// sizes holds the sizes of the log in the present era, from which copies are made.
	sizes []int
}

func (s *store) end() storelog.Position { return storelog.At(s.era, uint64(len(s.log))) }

func (s *store) put(key string, data []byte) {
	s.sizes = append(s.sizes, len(s.log))
	s.log = append(s.log, Record{Key: key, Value: data})
}

func (s *store) newest() map[string]Record {
	newest := map[string]Record{}
	for i, r := range s.log {
		r.Position = storelog.At(s.era, uint64(i))
		newest[r.Key] = r
	}
	return newest
}

// readBy brings a view up to date, as a follower does.
func (s *store) readBy(v *View, now time.Time) []Change {
	if v.End().Era() == s.era && v.End() > storelog.At(s.era, 0) {
		var records []Record
		for i := v.End().Offset(); i < uint64(len(s.log)); i++ {
			r := s.log[i]
			r.Position = storelog.At(s.era, i)
			records = append(records, r)
		}
		return v.ApplyRecords(records, s.end())
	}
	var records []Record
	for _, r := range s.newest() {
		if len(r.Value) > 0 {
			records = append(records, r)
		}
	}
	return v.ApplyListing(records, s.end(), now)
}

// reader is a view with what it has put in force.
type reader struct {
	view    *View
	inForce map[string][]byte
	// removedAt holds the time at which a key went out of force, and highest the highest
	// version that it had.
	removedAt map[string]time.Time
	highest   map[string]int64
}

func newReader() *reader {
	return &reader{view: New(Config{RestoreTime: restoreTime, Version: versionOf}), inForce: map[string][]byte{}, removedAt: map[string]time.Time{}, highest: map[string]int64{}}
}

func (r *reader) apply(t *rapid.T, changes []Change, now time.Time) {
	for _, c := range changes {
		old, known := versionOf(c.Key, r.inForce[c.Key])
		read, ok := versionOf(c.Key, c.Value)
		if known && ok && read.Major < old.Major {
			t.Fatalf("key %s goes back from version %d to %d", c.Key, old.Major, read.Major)
		}
		if len(c.Value) == 0 {
			delete(r.inForce, c.Key)
			r.removedAt[c.Key] = now
			continue
		}
		if _, present := r.inForce[c.Key]; ok && !present && read.Major <= r.highest[c.Key] {
			t.Fatalf("deleted key %s comes back with version %d", c.Key, read.Major)
		}
		r.highest[c.Key] = max(r.highest[c.Key], read.Major)
		r.inForce[c.Key] = c.Value
	}
}

// TestRestoredStoreRevokesKnownKeys lets a store come back from copies, while its writers
// write new values, delete keys, and write again what the copies lack. One view reads the
// store, the other gets records from the first. No key goes back to an earlier version or
// out of force unless its writer has deleted it, and both views agree with the store in
// the end.
func TestRestoredStoreRevokesKnownKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		s := &store{written: map[string][]byte{}}
		direct, relayed := newReader(), newReader()
		deletedAt := map[string]time.Time{}
		version := int64(0)
		key := rapid.SampledFrom([]string{"a", "b", "c", "u"})
		sync := func() {
			direct.apply(t, s.readBy(direct.view, now), now)
			direct.apply(t, direct.view.Expire(now), now)
		}
		relay := func() {
			records, full := direct.view.Since(relayed.view.End())
			end := direct.view.End()
			if full {
				relayed.apply(t, relayed.view.ApplyListing(records, end, now), now)
			} else {
				relayed.apply(t, relayed.view.ApplyRecords(records, end), now)
			}
			relayed.apply(t, relayed.view.Expire(now), now)
		}
		rewrite := func() {
			newest := s.newest()
			for k, data := range s.written {
				if string(newest[k].Value) != string(data) {
					s.put(k, data)
				}
			}
			for k := range newest {
				if _, ok := s.written[k]; !ok && len(newest[k].Value) > 0 {
					s.put(k, nil)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				k := key.Draw(t, "key")
				version++
				s.written[k], _ = json.Marshal(value{version})
				s.put(k, s.written[k])
			},
			"delete": func(t *rapid.T) {
				k := key.Draw(t, "key")
				delete(s.written, k)
				deletedAt[k] = now
				s.put(k, nil)
			},
			"restore": func(t *rapid.T) {
				if len(s.sizes) == 0 {
					t.Skip("nothing was written in this era")
				}
				size := s.sizes[rapid.IntRange(max(len(s.sizes)-4, 0), len(s.sizes)-1).Draw(t, "copy")]
				s.era, s.log, s.sizes = s.era+1, append([]Record(nil), s.log[:size]...), nil
			},
			"rewrite": func(t *rapid.T) { rewrite() },
			"sync":    func(t *rapid.T) { sync() },
			"relay":   func(t *rapid.T) { relay() },
			"wait": func(t *rapid.T) {
				// The writers are done within less than restoreTime.
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				rewrite()
				sync()
				relay()
			},
			"": func(t *rapid.T) {
				for _, r := range []*reader{direct, relayed} {
					for k, at := range r.removedAt {
						if _, ok := r.inForce[k]; !ok && deletedAt[k].IsZero() {
							t.Fatalf("key %s went out of force at %v, but was never deleted", k, at)
						}
					}
				}
			},
		})
		for range 2 {
			rewrite()
			sync()
			relay()
			now = now.Add(restoreTime)
		}
		sync()
		relay()
		for name, r := range map[string]*reader{"direct": direct, "relayed": relayed} {
			if !maps.EqualFunc(r.inForce, s.written, func(a, b []byte) bool { return string(a) == string(b) }) {
				t.Fatalf("%s view has %s, the writers wrote %s", name, text(r.inForce), text(s.written))
			}
		}
	})
}

func text(m map[string][]byte) string {
	out := map[string]string{}
	for k, v := range m {
		out[k] = string(v)
	}
	return fmt.Sprint(out)
}

// TestKeyThatStaysAwayIsKept: what nobody writes again is gone after RestoreTime.
func TestKeyThatStaysAwayIsKept(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := New(Config{RestoreTime: restoreTime, Version: versionOf})
	v.ApplyListing([]Record{{Key: "a", Value: []byte(`{"V":1}`), Position: 1}, {Key: "b", Value: []byte(`{"V":1}`), Position: 2}}, 3, now)
	at := storelog.At(1, 1)
	if changes := v.ApplyListing([]Record{{Key: "a", Value: []byte(`{"V":1}`), Position: at}}, at+1, now); len(changes) != 1 || !changes[0].Restored {
		t.Errorf("changes in the new era: %+v", changes)
	}
	if changes := v.Expire(now.Add(restoreTime - 1)); changes != nil {
		t.Errorf("changes before the restoration has ended: %+v", changes)
	}
	v.Postpone(now.Add(time.Second))
	if changes := v.Expire(now.Add(restoreTime)); changes != nil {
		t.Errorf("changes although the store was away: %+v", changes)
	}
	if changes := v.Expire(now.Add(restoreTime + time.Second)); len(changes) != 1 || changes[0].Key != "b" || changes[0].Value != nil {
		t.Errorf("changes after the restoration: %+v", changes)
	}
}

// TestLateAnswerOfOldEraIsApplied: answers that arrive after a newer era is known are
// ignored.
func TestLateAnswerOfOldEraIsApplied(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	v := New(Config{RestoreTime: restoreTime, Version: versionOf})
	v.ApplyListing([]Record{{Key: "a", Value: []byte(`{"V":1}`), Position: storelog.At(2, 0)}}, storelog.At(2, 1), now)
	old := Record{Key: "a", Value: []byte(`{"V":2}`), Position: storelog.At(1, 9)}
	if changes := append(v.ApplyListing([]Record{old}, storelog.At(1, 10), now), v.ApplyRecords([]Record{old}, storelog.At(1, 10))...); changes != nil {
		t.Errorf("changes %+v", changes)
	}
	if v.End() != storelog.At(2, 1) {
		t.Errorf("end %v", v.End())
	}
}

// TestPagesBeforeTheListing: pages are in force before the listing is complete. The listing of
// the same era removes what is gone by then; one of a later era keeps it for a time.
func TestPagesBeforeTheListing(t *testing.T) {
	now := time.Unix(1_900_000_000, 0)
	record := func(key string, era, offset uint64) Record {
		return Record{Key: key, Value: []byte("v"), Position: storelog.At(era, offset)}
	}
	for _, era := range []uint64{0, 3} {
		v := New(Config{RestoreTime: time.Second, Version: func(string, []byte) (Version, bool) { return Version{}, false }})
		if got := v.ApplyPage([]Record{record("a", era, 1), record("b", era, 2)}); len(got) != 2 || v.End() != 0 {
			t.Fatalf("era %d: %d changes, end %v", era, len(got), v.End())
		}
		changes := v.ApplyListing([]Record{record("b", era, 2), record("c", era, 7)}, storelog.At(era, 9), now)
		if len(changes) != 2 || v.IsRestoring() || v.End() != storelog.At(era, 9) {
			t.Errorf("era %d: changes %v, restoring %v, end %v", era, changes, v.IsRestoring(), v.End())
		}
		if got := v.ApplyPage([]Record{record("d", era, 8)}); len(got) > 0 {
			t.Errorf("era %d: a page changes a view that has an end: %v", era, got)
		}
	}
	v := New(Config{RestoreTime: time.Second, Version: func(string, []byte) (Version, bool) { return Version{}, false }})
	v.ApplyPage([]Record{record("a", 1, 1)})
	if changes := v.ApplyListing(nil, storelog.At(0, 9), now); len(changes) > 0 || v.End() > 0 {
		t.Errorf("a listing of an earlier era: changes %v, end %v", changes, v.End())
	}
	if changes := v.ApplyListing(nil, storelog.At(2, 9), now); len(changes) > 0 || !v.IsRestoring() {
		t.Errorf("a listing of a later era: changes %v, restoring %v", changes, v.IsRestoring())
	}
}
