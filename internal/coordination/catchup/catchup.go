// Package catchup decides, without any I/O, which calls bring a VM's copy of a topic up to
// date: calls to the platform's store, and to peers that have read further. No call holds
// back the others. A call that gets no answer stays open, as the store may be slow, and
// further calls are made beside it, as it may never be answered.
package catchup

import (
	"slices"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/freshness"
)

// maxOpen is the number of calls that are open to the store, or to peers, at the same time:
// the first one, and the last one of those that were made while it had no answer.
const maxOpen = 2

// Call is a call for records.
type Call struct {
	ID int
	// Peer is the address of the peer that is called, empty for the store.
	Peer    string
	Timeout time.Duration
}

// Input is what a Machine does not know by itself.
type Input struct {
	// Peers holds the addresses of the peers that have read further, the preferred one first.
	Peers []string
	// StoreAt is the time before which the store is not asked, as others are to read it first.
	StoreAt time.Time
	// HasNoCopy is true if the VM has just started. As many VMs may start together, it then
	// makes one call at a time, to a peer if there is one.
	HasNoCopy bool
}

// Step is what is to be done now.
type Step struct {
	// Start holds the calls to make, and Cancel the IDs of open calls to cancel. The end of a
	// cancelled call is not reported to Failed.
	Start  []Call
	Cancel []int
	// Silent is set if a call to the store is made because another one has no answer.
	Silent bool
	// Next is the time of the next step at the latest, zero if only an input or the end of a
	// call changes anything.
	Next time.Time
}

// openCall is a call that has not ended. activeAt is its start or the last time at which a
// part of its answer arrived.
type openCall struct {
	Call
	activeAt time.Time
}

// Machine decides about the calls of one topic. It is not safe for concurrent use.
type Machine struct {
	nextID int
	store  []openCall
	relays []openCall
	// failures counts the consecutive calls to the store that have failed or have no answer
	// in time, and silent the latter.
	failures, silent int
	// storeAt is the earliest time of the next call to the store, and calledAt the time of the
	// last one.
	storeAt, calledAt time.Time
	// relayAt holds the earliest time of the next call to a peer that has failed.
	relayAt map[string]time.Time
}

// NewMachine returns a machine without open calls.
func NewMachine() *Machine { return &Machine{relayAt: map[string]time.Time{}} }

// Begin begins a round of calls. If there are peers to ask, they are asked first.
func (m *Machine) Begin(s freshness.Schedule, in Input, now time.Time) {
	m.store, m.relays, m.silent = nil, nil, 0
	if at := now.Add(s.RelayTimeout()); at.After(m.storeAt) && len(m.askable(in.Peers, now)) > 0 {
		m.storeAt = at
	}
	for peer, at := range m.relayAt {
		if !now.Before(at) {
			delete(m.relayAt, peer)
		}
	}
}

// Step returns what is to be done at now.
func (m *Machine) Step(s freshness.Schedule, in Input, now time.Time) Step {
	var out Step
	m.stepRelays(s, in, now, &out)
	switch {
	case in.HasNoCopy && len(m.relays) > 0:
	case now.Before(in.StoreAt):
		out.wakeAt(in.StoreAt)
	default:
		m.stepStore(s, now, &out)
	}
	return out
}

func (m *Machine) stepStore(s freshness.Schedule, now time.Time, out *Step) {
	for _, c := range m.store {
		// An answer that is arriving is waited for.
		if at := c.activeAt.Add(s.RepeatAfter(0)); at.After(m.storeAt) {
			m.storeAt = at
		}
	}
	if !now.Before(m.storeAt) {
		if len(m.store) > 0 {
			out.Silent = true
			m.silent++
			m.failures++
		}
		m.open(&m.store, "", s.AnswerTimeout(), now, out)
		m.calledAt = now
		m.storeAt = now.Add(s.RepeatAfter(m.silent))
	}
	out.wakeAt(m.storeAt)
}

func (m *Machine) stepRelays(s freshness.Schedule, in Input, now time.Time, out *Step) {
	if open := len(m.relays); open > 0 {
		at := m.relays[open-1].activeAt.Add(s.RelayRepeatAfter())
		if in.HasNoCopy {
			return
		}
		if now.Before(at) {
			out.wakeAt(at)
			return
		}
	}
	askable := m.askable(in.Peers, now)
	if len(askable) == 0 {
		for _, peer := range in.Peers {
			if at := m.relayAt[peer]; at.After(now) {
				out.wakeAt(at)
			}
		}
		return
	}
	if len(m.relays) == maxOpen {
		m.relayAt[m.relays[maxOpen-1].Peer] = now.Add(s.RelayPause())
	}
	m.open(&m.relays, askable[0], s.RelayAnswerTimeout(), now, out)
	out.wakeAt(now.Add(s.RelayRepeatAfter()))
}

// askable returns the peers that have not failed lately and are not being asked.
func (m *Machine) askable(peers []string, now time.Time) []string {
	var out []string
	for _, peer := range peers {
		isOpen := slices.ContainsFunc(m.relays, func(c openCall) bool { return c.Peer == peer })
		if !isOpen && !now.Before(m.relayAt[peer]) {
			out = append(out, peer)
		}
	}
	return out
}

// open starts a call. If too many are open, the last one is cancelled.
func (m *Machine) open(calls *[]openCall, peer string, timeout time.Duration, now time.Time, out *Step) {
	if len(*calls) == maxOpen {
		out.Cancel = append(out.Cancel, (*calls)[maxOpen-1].ID)
		*calls = (*calls)[:maxOpen-1]
	}
	m.nextID++
	c := Call{ID: m.nextID, Peer: peer, Timeout: timeout}
	*calls = append(*calls, openCall{Call: c, activeAt: now})
	out.Start = append(out.Start, c)
}

func (s *Step) wakeAt(at time.Time) {
	if s.Next.IsZero() || at.Before(s.Next) {
		s.Next = at
	}
}

// Progress records that a part of the answer to an open call arrived at a time.
func (m *Machine) Progress(id int, at time.Time) {
	for _, calls := range [][]openCall{m.store, m.relays} {
		for i := range calls {
			if calls[i].ID == id && at.After(calls[i].activeAt) {
				calls[i].activeAt = at
			}
		}
	}
}

// Failed records that an open call has ended and that the copy is not up to date.
func (m *Machine) Failed(s freshness.Schedule, id int, now time.Time) {
	for i, c := range m.relays {
		if c.ID == id {
			m.relays = slices.Delete(m.relays, i, i+1)
			m.relayAt[c.Peer] = now.Add(s.RelayPause())
			return
		}
	}
	for i, c := range m.store {
		if c.ID == id {
			m.store = slices.Delete(m.store, i, i+1)
			m.StoreFailed()
			if len(m.store) == 0 {
				m.storeAt = now.Add(s.FailurePause(m.failures))
				// A call that ends long after it was made does not put off the next one.
				if at := m.calledAt.Add(s.RepeatAfter(1)); at.Before(m.storeAt) {
					m.storeAt = at
				}
			}
			return
		}
	}
}

// StoreFailed records a failed call to the store, also one that is none of the Machine's.
func (m *Machine) StoreFailed() { m.failures++ }

// StoreAnswered records that the store has answered a call. It may be called at once again.
func (m *Machine) StoreAnswered() { m.failures, m.silent, m.storeAt = 0, 0, time.Time{} }

// Failures returns the number of consecutive failed calls to the store.
func (m *Machine) Failures() int { return m.failures }

// Open returns the number of open calls.
func (m *Machine) Open() int { return len(m.store) + len(m.relays) }
