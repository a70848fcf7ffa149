// Package singleton decides which entry VM performs the deployment's singleton
// duties. The lease holder is the VM that wrote the last claim in a log whose
// appends are conditional on an offset; the claim's offset plus one is the
// fencing token. A holder renews its claim, and another VM claims only if the
// log has shown no record of the holder for a full lease duration. The caller does
// all reads and appends: this package holds no connection and no clock.
package singleton

import "time"

// Record is one record of the duties log.
type Record struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// IsClaim is true for a record that claims the lease. The holder's other
	// records renew it.
	IsClaim bool `json:"claim,omitempty"`
	// Released is true if the holder releases the lease.
	Released bool `json:"released,omitempty"`
	// Window and Counts are a usage report. The holder writes it to the log
	// before it sends the report, so that every later holder sends the same one.
	Window int64          `json:"window,omitempty"`
	Counts map[string]int `json:"counts,omitempty"`
	// InitialServers holds the initial number of servers of each service, without servers
	// that were ordered.
	InitialServers map[string]int `json:"sizes,omitempty"`
}

// State is the state of the log, read up to offset End.
type State struct {
	End uint64
	// Holder is the last claim; its VM is empty before the first one.
	Holder Record
	// FencingToken is the fencing token of the last claim.
	FencingToken uint64
	Released     bool
	// Reports holds the counts of the usage reports in the log, by window.
	Reports        map[int64]map[string]int
	InitialServers map[string]int
}

// retainedWindows bounds the age of the usage reports in State, in windows.
const retainedWindows = 16

// Apply applies the record at offset s.End and advances s.End.
func (s *State) Apply(r Record) {
	offset := s.End
	s.End++
	if r.IsClaim {
		s.Holder, s.FencingToken, s.Released = r, offset+1, false
	}
	if r.VM == s.Holder.VM && r.Incarnation == s.Holder.Incarnation && r.Released {
		s.Released = true
	}
	if r.InitialServers != nil {
		s.InitialServers = r.InitialServers
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
		if w < r.Window-retainedWindows {
			delete(s.Reports, w)
		}
	}
}

// Config holds the times that govern the lease.
type Config struct {
	// LeaseDuration is the duration of the lease: the time without a record of the holder
	// after which another VM may claim.
	LeaseDuration time.Duration
	// Margin is subtracted from the lease's duration by the holder, and added to it
	// by VMs that wait for its end.
	Margin time.Duration
	// HolderTimeout is the time without a report of the holder after which its
	// peers read the log.
	HolderTimeout time.Duration
}

// Action is the next action of a VM.
type Action int

// Values of Action.
const (
	// Wait requires no action.
	Wait Action = iota
	// ReadLog asks to read the log from State.End and to call LogRead or
	// LogReadFailed.
	ReadLog
	// Claim asks to append a claim at State.End.
	Claim
	// Renew asks to append a renewal at State.End.
	Renew
)

// Machine is the lease state machine of one VM. It is not safe for concurrent
// use.
type Machine struct {
	cfg         Config
	vm          string
	incarnation uint64
	state       State

	// heldToken is the fencing token under which this VM holds the lease, 0 if
	// it does not.
	heldToken uint64
	// renewedAt is the start time of the last append that the log confirmed.
	renewedAt time.Time
	// holderActiveAt is the last time at which a holder was known to be active,
	// from a report relayed by a peer, an append of this VM, or a token above
	// heldToken.
	holderActiveAt time.Time
	// reportedToken is the highest fencing token in a holder's report, and
	// reportedEnd the highest end offset of the log reported with that token.
	// reportedAt is the time of the first report with these values.
	reportedToken, reportedEnd uint64
	reportedAt                 time.Time
	// logReadAt is the time of the last read of the log. inactiveSince is the
	// time since which the log has shown no new record of the holder, zero if
	// that time is unknown.
	logReadAt     time.Time
	inactiveSince time.Time
}

// NewMachine returns the machine of a VM that has just started. Its first action
// is to read the log, as the VM may have held the lease in an earlier
// incarnation.
func NewMachine(cfg Config, vm string, incarnation uint64, now time.Time) *Machine {
	return &Machine{cfg: cfg, vm: vm, incarnation: incarnation, holderActiveAt: now.Add(-cfg.HolderTimeout - cfg.LeaseDuration)}
}

// State returns the state of the log as last read.
func (m *Machine) State() *State { return &m.state }

// FencingToken returns the fencing token under which this VM may act at now, and false if
// it may not act.
func (m *Machine) FencingToken(now time.Time) (token uint64, ok bool) {
	return m.heldToken, m.heldToken != 0 && now.Sub(m.renewedAt) < m.cfg.LeaseDuration-m.cfg.Margin
}

// HolderReport is a holder's report about itself, as relayed by peers.
type HolderReport struct {
	FencingToken uint64
	// End is the end offset of the log after the holder's last append.
	End uint64
	// At is the time of the report or, as transit times add to it, a later one.
	At time.Time
}

// ObserveHolder takes the newest report of the holder with the highest fencing
// token that has been observed.
func (m *Machine) ObserveHolder(report HolderReport, now time.Time) {
	if report.FencingToken > m.reportedToken || report.FencingToken == m.reportedToken && report.End > m.reportedEnd {
		m.reportedToken, m.reportedEnd, m.reportedAt = report.FencingToken, report.End, report.At
	}
	if m.heldToken != 0 && report.FencingToken > m.heldToken {
		m.heldToken = 0
		m.holderActiveAt = now
	}
	if m.heldToken != 0 || report.FencingToken < m.state.FencingToken || !report.At.After(m.holderActiveAt) {
		return
	}
	m.holderActiveAt = report.At
	// Each relay of a report makes it appear newer by the transit time, so a
	// repeated old report doesn't show that the holder is active.
	if now.Sub(report.At) < m.cfg.HolderTimeout {
		m.inactiveSince = time.Time{}
	}
}

// FencingTokenRejected ends this VM's lease after the platform has reported a
// higher fencing token.
func (m *Machine) FencingTokenRejected(now time.Time) {
	m.heldToken = 0
	m.holderActiveAt = now
	m.inactiveSince = time.Time{}
}

// Next returns the next action, which is never Claim. A low-priority VM waits one
// more lease duration before it tries to replace an unresponsive holder, so that
// not all VMs read the log.
func (m *Machine) Next(now time.Time, lowPriority bool) Action {
	if m.heldToken != 0 {
		if now.Sub(m.renewedAt) >= m.cfg.LeaseDuration/3 {
			return Renew
		}
		return Wait
	}
	timeout := m.cfg.HolderTimeout
	if lowPriority {
		timeout += m.cfg.LeaseDuration
	}
	if now.Sub(m.holderActiveAt) < timeout {
		return Wait
	}
	nextReadAt := m.logReadAt.Add(m.cfg.LeaseDuration / 3)
	if claimAt := m.inactiveSince.Add(m.cfg.LeaseDuration + m.cfg.Margin); !m.inactiveSince.IsZero() && m.logReadAt.Before(claimAt) {
		nextReadAt = claimAt
	}
	if now.Before(nextReadAt) {
		return Wait
	}
	return ReadLog
}

// LogReadFailed records that a read of the log failed.
func (m *Machine) LogReadFailed(now time.Time) { m.logReadAt = now }

// LogRead applies the records of a read from State.End and returns Claim or Wait.
func (m *Machine) LogRead(records []Record, now time.Time) Action {
	m.logReadAt = now
	for _, r := range records {
		m.state.Apply(r)
	}
	// The last claim may be this VM's own, from an earlier incarnation or with a
	// lost answer. No lease of another VM has to expire first.
	if h := m.state.Holder; h.VM == "" || m.state.Released || h.VM == m.vm {
		return Claim
	}
	if len(records) > 0 || m.inactiveSince.IsZero() {
		m.inactiveSince = now
	}
	// The holder has written nothing since it first reported the current end
	// offset of the log.
	if m.reportedToken == m.state.FencingToken && m.reportedEnd == m.state.End && m.reportedAt.Before(m.inactiveSince) {
		m.inactiveSince = m.reportedAt
	}
	if now.Sub(m.inactiveSince) >= m.cfg.LeaseDuration+m.cfg.Margin {
		return Claim
	}
	return Wait
}

// NewRecord returns a claim of this VM to append or, if isClaim is false, a renewal.
func (m *Machine) NewRecord(isClaim bool) Record {
	return Record{VM: m.vm, Incarnation: m.incarnation, IsClaim: isClaim}
}

// Appended records that the log confirmed the append of r at State.End. startedAt
// is the time at which the append was started.
func (m *Machine) Appended(r Record, startedAt, now time.Time) {
	m.state.Apply(r)
	if r.IsClaim {
		m.heldToken = m.state.FencingToken
	}
	m.renewedAt, m.holderActiveAt = startedAt, now
	if r.Released {
		m.heldToken = 0
	}
}

// AppendFailed applies the records found at State.End after an append that was
// rejected or not answered. A holder loses the lease if one of them is a claim.
func (m *Machine) AppendFailed(records []Record, now time.Time) {
	for _, r := range records {
		m.state.Apply(r)
	}
	m.logReadAt = now
	if m.heldToken != 0 && m.state.FencingToken != m.heldToken {
		m.heldToken = 0
		m.holderActiveAt = now
		m.inactiveSince = time.Time{}
	}
}
