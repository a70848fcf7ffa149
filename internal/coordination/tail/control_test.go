package tail

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootpath.example/coltsfootpath/internal/invariant"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// testClock advances by a minute with every call of Now, so that each request to
// peers is due.
type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time {
	c.now = c.now.Add(time.Minute)
	return c.now
}

func (c *testClock) After(time.Duration) <-chan time.Time { return nil }

// testLog is a stream of records that can be trimmed and can be unavailable.
type testLog struct {
	records  [][]byte
	earliest uint64
	down     bool
}

func (l *testLog) next() uint64 { return uint64(len(l.records)) + 1 }

// reader is a replay driven without a follower.
type reader struct {
	replay *ControlReplay
	next   uint64
}

// read applies up to limit records of the log as a follower does.
func (r *reader) read(log *testLog, limit int) {
	if !log.down && r.next < log.earliest {
		r.next = max(r.replay.Trimmed(log.earliest), log.earliest)
	}
	for !log.down && limit > 0 && r.next < log.next() {
		r.replay.Apply(r.next, log.records[r.next-1])
		r.next++
		limit--
	}
	r.next = r.replay.Resume(context.Background(), r.next, log.down)
}

// oracle computes the expected state from all records ever appended, without
// trimming or checkpoints.
type oracle struct {
	seen     map[control.WriterID]bool
	revision uint64
	operator string
	accepted map[uint64]bool
	fencing  uint64
	last     uint64
	released bool
}

func (o *oracle) append(offset uint64, r control.Record) {
	if o.seen[r.Writer] {
		return
	}
	o.seen[r.Writer] = true
	switch {
	case r.Document != nil && r.Document.Base == o.revision:
		o.revision, o.operator = offset, r.Document.Operator
		o.accepted[offset] = true
	case r.Claim != nil && r.Claim.After == o.last:
		o.fencing, o.last, o.released = offset, offset, false
	case r.Renewal != nil && r.Renewal.FencingToken == o.fencing && !o.released:
		o.last = offset
	case r.Release != nil && r.Release.FencingToken == o.fencing && !o.released:
		o.last, o.released = offset, true
	}
}

// testModel is the model of the test: a log, an oracle, a state replayed from the
// complete log, and readers that see a log that is trimmed or unavailable.
type testModel struct {
	log      *testLog
	oracle   *oracle
	complete *control.State
	readers  []*reader
	appended []control.Record
	sequence map[string]uint64
}

func newTestModel() *testModel {
	return &testModel{
		log:      &testLog{earliest: 1},
		oracle:   &oracle{seen: map[control.WriterID]bool{}, accepted: map[uint64]bool{0: true}},
		complete: control.New(),
		sequence: map[string]uint64{},
	}
}

func (m *testModel) addReader() *reader {
	r := &reader{replay: NewControlReplay(control.New()), next: 1}
	r.replay.UsePeers(&testClock{}, func(context.Context) []*control.State {
		var out []*control.State
		for _, other := range m.readers {
			data, _ := control.MarshalState(other.replay.State())
			state, err := control.UnmarshalState(data)
			if err == nil {
				out = append(out, state)
			}
		}
		return out
	})
	m.readers = append(m.readers, r)
	return r
}

func (m *testModel) append(r control.Record) {
	data, err := control.Encode(r)
	if err != nil {
		panic(err)
	}
	offset := m.log.next()
	m.log.records = append(m.log.records, data)
	decoded, _ := control.Decode(data)
	m.complete.Apply(offset, decoded)
	m.oracle.append(offset, decoded)
	m.appended = append(m.appended, r)
}

func (m *testModel) writer(name string) control.WriterID {
	m.sequence[name]++
	return control.WriterID{Incarnation: name, Sequence: m.sequence[name]}
}

func (m *testModel) appendRandom(t *rapid.T) {
	state := rapid.SampledFrom(m.readers).Draw(t, "view").replay.State()
	r := control.Record{Writer: m.writer(fmt.Sprintf("w%d", rapid.IntRange(0, 5).Draw(t, "writer")))}
	switch rapid.IntRange(0, 6).Draw(t, "body") {
	case 0, 1:
		doc := &document.Document{Services: []document.Service{{Name: r.Writer.Incarnation}}}
		r.Document = &control.DocumentSubmission{Base: state.Revision, Operator: r.Writer.Incarnation, Document: doc}
	case 2:
		r.Claim = &control.LeaseClaim{After: state.Lease.LastOffset, Holder: control.Holder{VM: r.Writer.Incarnation}}
	case 3:
		r.Renewal = &control.LeaseRenewal{FencingToken: state.Lease.FencingToken}
	case 4:
		r.Release = &control.LeaseRelease{FencingToken: state.Lease.FencingToken}
	case 5:
		r.Checkpoint = control.NewCheckpoint(state.Lease.FencingToken, state)
	}
	m.append(r)
}

func (m *testModel) check(t interface{ Fatalf(string, ...any) }) {
	for i, r := range m.readers {
		if s := r.replay.State(); !m.oracle.accepted[s.Revision] {
			t.Fatalf("reader %d has revision %d, which was never accepted", i, s.Revision)
		}
	}
	w := m.complete
	if w.Revision != m.oracle.revision || w.Operator != m.oracle.operator {
		t.Fatalf("revision %d by %s, oracle has %d by %s", w.Revision, w.Operator, m.oracle.revision, m.oracle.operator)
	}
	if w.Lease.FencingToken != m.oracle.fencing || w.Lease.LastOffset != m.oracle.last || w.Lease.Released != m.oracle.released {
		t.Fatalf("lease %+v, oracle has fencing=%d last=%d released=%v", w.Lease, m.oracle.fencing, m.oracle.last, m.oracle.released)
	}
}

// converge makes the log available, has every reader read to the end and checks that
// their states equal that of the complete log. It returns the number of readers
// without a complete state.
func (m *testModel) converge(t interface{ Fatalf(string, ...any) }) (stuck int) {
	m.log.down = false
	for range 4 {
		for _, r := range m.readers {
			r.read(m.log, len(m.log.records))
		}
	}
	want, _ := control.MarshalState(m.complete)
	for i, r := range m.readers {
		if !r.replay.Complete() {
			stuck++
			continue
		}
		if got, _ := control.MarshalState(r.replay.State()); string(got) != string(want) {
			t.Fatalf("reader %d ends with state\n%s\nwant\n%s", i, got, want)
		}
	}
	return stuck
}

// failOnBreach makes breached invariants fail the test until the returned
// function is called.
func failOnBreach(t interface{ Fatalf(string, ...any) }) func() {
	invariant.OnBreach(func(name invariant.Name, detail string) { t.Fatalf("invariant %s: %s", name, detail) })
	return func() { invariant.OnBreach(func(invariant.Name, string) {}) }
}

// TestAllReadersEndEqual: readers that start at the beginning of the log, at a
// checkpoint in a trimmed log, or with a peer's state end with the same state.
func TestAllReadersEndEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		defer failOnBreach(t)()
		m := newTestModel()
		m.addReader()
		t.Repeat(map[string]func(*rapid.T){
			"append": m.appendRandom,
			"append again": func(t *rapid.T) {
				if len(m.appended) > 0 {
					m.append(rapid.SampledFrom(m.appended).Draw(t, "record"))
				}
			},
			"read": func(t *rapid.T) {
				rapid.SampledFrom(m.readers).Draw(t, "r").read(m.log, rapid.IntRange(0, 9).Draw(t, "n"))
			},
			"outage":       func(*rapid.T) { m.log.down = !m.log.down },
			"start a node": func(*rapid.T) { m.addReader() },
			"replace a node": func(t *rapid.T) {
				i := rapid.IntRange(0, len(m.readers)-1).Draw(t, "i")
				m.addReader()
				m.readers = append(m.readers[:i], m.readers[i+1:]...)
			},
			"trim": func(t *rapid.T) {
				m.log.earliest = rapid.Uint64Range(m.log.earliest, m.log.next()).Draw(t, "earliest")
			},
			"": func(t *rapid.T) { m.check(t) },
		})
		if stuck := m.converge(t); stuck > 0 && stuck < len(m.readers) {
			t.Fatalf("%d of %d readers are stuck although others have the state", stuck, len(m.readers))
		}
	})
}

func submission(m *testModel, operator string) control.Record {
	return control.Record{Writer: m.writer(operator), Document: &control.DocumentSubmission{
		Base: m.complete.Revision, Operator: operator, Document: &document.Document{},
	}}
}

// TestTrimmedLogIsReadFromACheckpoint appends records between the offset of the
// checkpoint's state and the checkpoint, and trims all records before that offset.
func TestTrimmedLogIsReadFromACheckpoint(t *testing.T) {
	defer failOnBreach(t)()
	m := newTestModel()
	m.append(submission(m, "first"))
	m.append(control.Record{Writer: m.writer("c"), Claim: &control.LeaseClaim{}})
	point := control.NewCheckpoint(m.complete.Lease.FencingToken, m.complete.Clone())
	m.append(submission(m, "between"))
	m.append(control.Record{Writer: m.writer("c"), Checkpoint: point})
	m.append(submission(m, "after"))
	m.log.earliest = 3
	r := m.addReader()
	if m.converge(t) != 0 || r.replay.State().Operator != "after" {
		t.Fatal(r.replay.State())
	}
	m.log.earliest = 4
	late := m.addReader()
	m.readers = []*reader{late}
	if m.converge(t) != 1 || late.replay.State().Document != nil {
		t.Fatal("continued from a checkpoint although records after its state were trimmed")
	}
}

// TestFollowerBehindRetentionKeepsItsDocument checks that the old document stays
// active until the state is complete again.
func TestFollowerBehindRetentionKeepsItsDocument(t *testing.T) {
	defer failOnBreach(t)()
	m := newTestModel()
	m.append(submission(m, "first"))
	r := m.addReader()
	r.read(m.log, 1)
	m.append(control.Record{Writer: m.writer("c"), Claim: &control.LeaseClaim{}})
	m.append(submission(m, "second"))
	m.log.earliest = 4
	r.read(m.log, 9)
	if r.replay.Complete() || r.replay.State().Operator != "first" {
		t.Fatal(r.replay.State())
	}
	m.append(control.Record{Writer: m.writer("c"), Checkpoint: control.NewCheckpoint(2, m.complete.Clone())})
	if m.converge(t) != 0 || r.replay.State().Operator != "second" {
		t.Fatal(r.replay.State())
	}
}

// TestNodeStartsDuringAnOutage: a node that starts while the log is unavailable
// adopts the newest state of its peers and continues from it afterwards.
func TestNodeStartsDuringAnOutage(t *testing.T) {
	defer failOnBreach(t)()
	m := newTestModel()
	m.append(submission(m, "first"))
	behind, ahead := m.addReader(), m.addReader()
	behind.read(m.log, 1)
	m.append(submission(m, "second"))
	ahead.read(m.log, 2)
	m.log.down = true
	started := m.addReader()
	started.read(m.log, 9)
	if got := started.replay.State().Operator; got != "second" || started.next != 3 {
		t.Fatal(got, started.next)
	}
	m.append(submission(m, "third"))
	if m.converge(t) != 0 || started.replay.State().Operator != "third" {
		t.Fatal(started.replay.State())
	}
}

// TestDocumentSurvivesReplacementOfAllNodes replaces all nodes one after another
// while the log is trimmed past every record that the first nodes have read.
func TestDocumentSurvivesReplacementOfAllNodes(t *testing.T) {
	defer failOnBreach(t)()
	const retained, nodes = 8, 6
	m := newTestModel()
	m.append(submission(m, "first"))
	m.append(control.Record{Writer: m.writer("c"), Claim: &control.LeaseClaim{}})
	for range nodes {
		m.addReader()
	}
	for i := range 10 * nodes {
		fencing := m.complete.Lease.FencingToken
		m.append(control.Record{Writer: m.writer("c"), Renewal: &control.LeaseRenewal{FencingToken: fencing}})
		if i%(retained/4) == 0 {
			m.append(control.Record{Writer: m.writer("c"), Checkpoint: control.NewCheckpoint(fencing, m.complete.Clone())})
		}
		m.log.earliest = max(1, m.log.next()-min(m.log.next(), retained))
		m.addReader().replay.UsePeers(&testClock{}, nil)
		m.readers = m.readers[1:]
		for _, r := range m.readers {
			r.read(m.log, retained)
			r.read(m.log, retained)
		}
	}
	if stuck := m.converge(t); stuck != 0 || m.readers[0].replay.State().Operator != "first" {
		t.Fatal(stuck, m.readers[0].replay.State())
	}
}

// TestDifferingCheckpointBreachesAnInvariant: the lease holder writes a checkpoint
// with a wrong state.
func TestDifferingCheckpointBreachesAnInvariant(t *testing.T) {
	var breached []invariant.Name
	invariant.OnBreach(func(name invariant.Name, _ string) { breached = append(breached, name) })
	defer invariant.OnBreach(func(invariant.Name, string) {})
	m := newTestModel()
	m.append(submission(m, "first"))
	m.append(control.Record{Writer: m.writer("c"), Claim: &control.LeaseClaim{}})
	wrong := m.complete.Clone()
	wrong.Operator = "nobody"
	m.append(control.Record{Writer: m.writer("c"), Checkpoint: control.NewCheckpoint(2, wrong)})
	r := m.addReader()
	r.read(m.log, 9)
	if len(breached) != 1 || breached[0] != invariant.CheckpointMatches {
		t.Fatal(breached)
	}
	if r.replay.State().Operator != "first" {
		t.Fatal("a reader with a state of its own adopted the wrong one")
	}
}
