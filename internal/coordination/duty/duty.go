// Package duty decides which entry VM performs the deployment's single duties.
// The holder is who wrote the last claim in a log whose appends can be bound to
// an offset; the claim's offset is the fence. A holder renews its claim, and
// another VM claims only after the log has shown no record of the holder for a
// whole lease. Every read and append is the caller's: this package holds no
// connection and no clock.
package duty

import "time"

// Record is one record of the log of duties.
type Record struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// Claim is true for the record that begins a tenure; others renew it.
	Claim bool `json:"claim,omitempty"`
	// Released is true where the holder gives the duties up.
	Released bool `json:"released,omitempty"`
	// Window and Counts are a usage report that is about to be sent. It is
	// written first, so that every later holder sends the same.
	Window int64          `json:"window,omitempty"`
	Counts map[string]int `json:"counts,omitempty"`
	// Sizes is the number of servers of each service as first found.
	Sizes map[string]int `json:"sizes,omitempty"`
}

// State is what the log says, read up to End.
type State struct {
	End uint64
	// Holder is who wrote the last claim; its VM is empty before the first.
	Holder   Record
	Fence    uint64
	Released bool
	// Reports holds the usage reports written, by window.
	Reports map[int64]map[string]int
	Sizes   map[string]int
}

// keptReports bounds the windows remembered.
const keptReports = 16

// Apply takes the record at State.End.
func (s *State) Apply(r Record) {
	offset := s.End
	s.End++
	if r.Claim {
		s.Holder, s.Fence, s.Released = r, offset+1, false
	}
	if r.VM == s.Holder.VM && r.Incarnation == s.Holder.Incarnation && r.Released {
		s.Released = true
	}
	if r.Sizes != nil {
		s.Sizes = r.Sizes
	}
	if r.Counts == nil {
		return
	}
	if s.Reports == nil {
		s.Reports = map[int64]map[string]int{}
	}
	if _, ok := s.Reports[r.Window]; !ok {
		s.Reports[r.Window] = r.Counts
	}
	for w := range s.Reports {
		if w < r.Window-keptReports {
			delete(s.Reports, w)
		}
	}
}

// Config bounds a tenure.
type Config struct {
	// Lease is how long the log has to be silent before another VM claims.
	Lease time.Duration
	// Margin is taken off the lease by the holder.
	Margin time.Duration
	// Quiet is how long a holder's peers may hear nothing of it before they
	// look at the log.
	Quiet time.Duration
}

// Do is what a VM should do next.
type Do int

// What to do.
const (
	// Wait: nothing.
	Wait Do = iota
	// Look: read the log and call Looked.
	Look
	// Claim: append a claim at State.End.
	Claim
	// Renew: append a renewal at State.End.
	Renew
)

// Machine is one VM's part. It is not safe for use from many goroutines.
type Machine struct {
	cfg         Config
	vm          string
	incarnation uint64
	state       State

	// held is the fence under which this VM holds the duties, 0 otherwise.
	held uint64
	// renewedAt is when the append was begun that the log last confirmed.
	renewedAt time.Time
	// heardAt is when the holder was last heard of, by a peer's message or by a
	// record that is new to this VM.
	heardAt time.Time
	// wordFence, wordEnd and wordAt are what the holder was last heard to say of
	// the log's end, and when it was first heard to.
	wordFence, wordEnd uint64
	wordAt             time.Time
	// lookedAt is when the log was last read, silentFrom the time since which it
	// has shown no news of the holder.
	lookedAt   time.Time
	silentFrom time.Time
}

// NewMachine returns the part of a VM that has just started. It looks at once: it
// may have held the duties in its life before.
func NewMachine(cfg Config, vm string, incarnation uint64, now time.Time) *Machine {
	return &Machine{cfg: cfg, vm: vm, incarnation: incarnation, heardAt: now.Add(-cfg.Quiet - cfg.Lease)}
}

// State returns what the log says.
func (m *Machine) State() *State { return &m.state }

// Held returns the fence under which this VM may act now.
func (m *Machine) Held(now time.Time) (fence uint64, ok bool) {
	return m.held, m.held != 0 && now.Sub(m.renewedAt) < m.cfg.Lease-m.cfg.Margin
}

// Word is what a holder says of itself, as peers pass it on.
type Word struct {
	Fence uint64
	// End is where the log ended when the holder last wrote to it.
	End uint64
	// At is when the holder said so, or later.
	At time.Time
}

// HeardOf takes the newest word of the holder with the highest fence known.
func (m *Machine) HeardOf(w Word, now time.Time) {
	if w.Fence > m.wordFence || w.Fence == m.wordFence && w.End > m.wordEnd {
		m.wordFence, m.wordEnd, m.wordAt = w.Fence, w.End, w.At
	}
	if m.held != 0 && w.Fence > m.held {
		m.held = 0
		m.heardAt = now
	}
	if m.held != 0 || w.Fence < m.state.Fence || !w.At.After(m.heardAt) {
		return
	}
	m.heardAt = w.At
	// Word that is passed on seems newer by each way it takes: old word is no
	// sign of life.
	if now.Sub(w.At) < m.cfg.Quiet {
		m.silentFrom = time.Time{}
	}
}

// Fenced takes the platform's word that a higher fence is known.
func (m *Machine) Fenced(now time.Time) {
	m.held = 0
	m.heardAt = now
	m.silentFrom = time.Time{}
}

// Next tells what to do. A patient VM leaves it to others to succeed a holder
// for a lease longer: they need not all ask the log.
func (m *Machine) Next(now time.Time, patient bool) Do {
	if m.held != 0 {
		if now.Sub(m.renewedAt) >= m.cfg.Lease/3 {
			return Renew
		}
		return Wait
	}
	quiet := m.cfg.Quiet
	if patient {
		quiet += m.cfg.Lease
	}
	if now.Sub(m.heardAt) < quiet {
		return Wait
	}
	due := m.lookedAt.Add(m.cfg.Lease / 3)
	if claim := m.silentFrom.Add(m.cfg.Lease + m.cfg.Margin); !m.silentFrom.IsZero() && m.lookedAt.Before(claim) {
		due = claim
	}
	if now.Before(due) {
		return Wait
	}
	return Look
}

// NotLooked notes that the log could not be read.
func (m *Machine) NotLooked(now time.Time) { m.lookedAt = now }

// Looked takes the records that a read from State.End brought, and tells
// whether to claim.
func (m *Machine) Looked(records []Record, now time.Time) Do {
	m.lookedAt = now
	for _, r := range records {
		m.state.Apply(r)
	}
	// A claim of this VM's own, of an earlier life or one whose answer was lost,
	// stands for nobody else.
	if h := m.state.Holder; h.VM == "" || m.state.Released || h.VM == m.vm {
		return Claim
	}
	if len(records) > 0 || m.silentFrom.IsZero() {
		m.silentFrom = now
	}
	// The holder has written nothing since it was heard to say where the log ends.
	if m.wordFence == m.state.Fence && m.wordEnd == m.state.End && m.wordAt.Before(m.silentFrom) {
		m.silentFrom = m.wordAt
	}
	if now.Sub(m.silentFrom) >= m.cfg.Lease+m.cfg.Margin {
		return Claim
	}
	return Wait
}

// Record returns this VM's record for an append.
func (m *Machine) Record(claim bool) Record {
	return Record{VM: m.vm, Incarnation: m.incarnation, Claim: claim}
}

// Appended takes the answer to an append at State.End that began at a time.
func (m *Machine) Appended(r Record, began, now time.Time) {
	m.state.Apply(r)
	if r.Claim {
		m.held = m.state.Fence
	}
	m.renewedAt, m.heardAt = began, now
	if r.Released {
		m.held = 0
	}
}

// Moved takes the news that the log does not end where this VM thought: someone
// else has written. A holder that meets another's record has to look who holds.
func (m *Machine) Moved(records []Record, now time.Time) {
	for _, r := range records {
		m.state.Apply(r)
	}
	m.lookedAt = now
	if m.held != 0 && m.state.Fence != m.held {
		m.held = 0
		m.heardAt = now
		m.silentFrom = time.Time{}
	}
}
