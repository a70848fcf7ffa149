package suspects

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootpath.example/coltsfootpath/internal/invariant"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// attempt is one request's run in the model below.
type attempt struct {
	content uint64
	id      string
	server  string
	// lostServers is the number of lost servers last returned by the registrar.
	lostServers int
	hasSlot     bool
	running     bool
	ended       bool
	givenUp     bool
}

// model holds servers and requests that use one registrar.
type model struct {
	table  *Table
	now    time.Time
	dead   map[string]bool
	killed map[uint64]int
	served map[uint64]int
}

const culprit = 1

func (m *model) step(ev Event) Verdict { return m.table.Apply(ev, m.now) }

// begin requests an attempt as an entry VM does.
func (m *model) begin(a *attempt, server string) {
	v := m.step(Event{Kind: RequestGrant, Content: a.content, Server: server, AttemptID: a.id})
	if v.TooManyCrashes {
		a.ended, a.givenUp = true, true
		return
	}
	if v.Server != "" && !m.dead[v.Server] {
		server = v.Server
		v = m.step(Event{Kind: RequestGrant, Content: a.content, Server: server, AttemptID: a.id})
	}
	if !v.Granted {
		return
	}
	a.lostServers = v.LostServers
	if v.IsSuspect() {
		slot := m.step(Event{Kind: RequestSlot, Content: a.content, Server: server, AttemptID: a.id, LostServers: v.LostServers})
		if !slot.Granted {
			m.step(Event{Kind: Released, Content: a.content, AttemptID: a.id})
			return
		}
		a.hasSlot = true
	}
	a.server, a.running = server, true
}

// crash removes a server and ends all attempts that run on it.
func (m *model) crash(server string, all []*attempt) {
	m.dead[server] = true
	for _, a := range all {
		if !a.running || a.server != server {
			continue
		}
		a.running, a.hasSlot = false, false
		slot := m.step(Event{Kind: RequestBlame, Content: a.content, Server: server, AttemptID: a.id})
		v := m.step(Event{Kind: Crashed, Content: a.content, Server: server, AttemptID: a.id, Blamed: slot.Blamed})
		if v.TooManyCrashes {
			a.ended, a.givenUp = true, true
		}
	}
}

func (m *model) finish(a *attempt) {
	if a.hasSlot {
		m.step(Event{Kind: SlotReleased, Content: a.content, Server: a.server, AttemptID: a.id})
	}
	m.step(Event{Kind: Finished, Content: a.content, Server: a.server, AttemptID: a.id})
	a.running, a.ended = false, true
	m.served[a.content]++
}

// TestCulpritIsFoundAndInnocentsAreServed runs one request content that crashes
// every server, submitted repeatedly under new keys, among innocent requests.
// The oracle is the known culprit.
func TestCulpritIsFoundAndInnocentsAreServed(t *testing.T) {
	invariant.OnBreach(func(name invariant.Name, detail string) { t.Errorf("%s: %s", name, detail) })
	rapid.Check(t, func(t *rapid.T) {
		m := &model{table: NewTable(), now: start, dead: map[string]bool{}, killed: map[uint64]int{}, served: map[uint64]int{}}
		var all []*attempt
		for i := range rapid.IntRange(1, 30).Draw(t, "innocents") {
			all = append(all, &attempt{content: uint64(100 + i), id: fmt.Sprintf("i%d", i)})
		}
		for i := range rapid.IntRange(1, 8).Draw(t, "copies") {
			all = append(all, &attempt{content: culprit, id: fmt.Sprintf("c%d", i)})
		}
		const servers = 12
		for step := 0; step < 4000; step++ {
			m.now = m.now.Add(time.Millisecond)
			a := all[rapid.IntRange(0, len(all)-1).Draw(t, "attempt")]
			switch {
			case a.ended:
			case !a.running:
				if server := fmt.Sprintf("s%d", rapid.IntRange(0, servers-1).Draw(t, "server")); !m.dead[server] {
					m.begin(a, server)
				}
			case a.content == culprit:
				m.killed[culprit]++
				m.crash(a.server, all)
			case rapid.IntRange(0, 2).Draw(t, "ends") == 0:
				m.finish(a)
			}
			if step%50 == 0 && allEnded(all) {
				break
			}
		}
		if m.killed[culprit] > MaxLostServers {
			t.Fatalf("%d servers lost", m.killed[culprit])
		}
		for _, a := range all {
			if a.content != culprit && a.givenUp {
				t.Fatalf("innocent attempt %s was given up", a.id)
			}
			if a.content == culprit && a.ended && !a.givenUp {
				t.Fatal("the culprit was served")
			}
		}
	})
}

func allEnded(all []*attempt) bool {
	for _, a := range all {
		if !a.ended {
			return false
		}
	}
	return true
}

func TestLostServersSurviveTheLossOfTheirRegistrar(t *testing.T) {
	old, next := NewTable(), NewTable()
	for i := range MaxLostServers {
		old.Apply(Event{Kind: Crashed, Content: culprit, Server: fmt.Sprint(i), Blamed: true}, start)
	}
	next.Merge(old.Digest(10, start), start)
	if v := next.Apply(Event{Kind: RequestGrant, Content: culprit, Server: "s", AttemptID: "h"}, start); !v.TooManyCrashes || v.Granted {
		t.Fatalf("%+v", v)
	}
	expired := start.Add(CrashRetention + time.Second)
	if v := next.Apply(Event{Kind: RequestGrant, Content: culprit, Server: "s", AttemptID: "h"}, expired); !v.Granted {
		t.Fatalf("lost servers were not forgotten: %+v", v)
	}
}

func TestDigestIsBounded(t *testing.T) {
	table := NewTable()
	for i := range 100 {
		table.Apply(Event{Kind: Crashed, Content: uint64(i), Server: "s", Blamed: true}, start.Add(time.Duration(i)))
	}
	digest := table.Digest(8, start.Add(time.Second))
	if len(digest) != 8 || digest[0].Content != 99 {
		t.Fatalf("%v", digest)
	}
}

func TestCrashIsBlamedOnlyOnTheSuspect(t *testing.T) {
	table := NewTable()
	suspect := Event{Kind: RequestSlot, Content: culprit, Server: "s", AttemptID: "h", LostServers: 2}
	if !table.Apply(suspect, start).Granted {
		t.Fatal("no slot on an empty server")
	}
	other := Event{Kind: RequestSlot, Content: 7, Server: "s", AttemptID: "other", LostServers: 1}
	if table.Apply(other, start).Granted {
		t.Fatal("two suspects share a server although one must be isolated")
	}
	blamed := func(content uint64, now time.Time) bool {
		return table.Apply(Event{Kind: RequestBlame, Content: content, Server: "s"}, now).Blamed
	}
	if !blamed(culprit, start) || blamed(7, start) {
		t.Fatal("the wrong request content is blamed")
	}
	for _, content := range []uint64{culprit, 7} {
		shared := Event{Kind: RequestSlot, Content: content, Server: "shared", AttemptID: fmt.Sprint(content), LostServers: 1}
		if !table.Apply(shared, start).Granted {
			t.Fatal("two suspects with one lost server each were not allowed to share a server")
		}
	}
	if table.Apply(Event{Kind: RequestBlame, Content: 7, Server: "shared"}, start).Blamed {
		t.Fatal("a suspect is blamed for a server that it shared")
	}
	if blamed(culprit, start.Add(GrantTimeout+time.Second)) {
		t.Fatal("a request content is blamed because of an expired slot")
	}
}
