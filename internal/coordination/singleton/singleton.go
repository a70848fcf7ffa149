// Package singleton decides which entry VM performs the deployment's singleton
// duties. The lease holder is the VM that wrote the last claim in a log whose
// appends are conditional on an offset; the claim's position plus one is the
// fencing token. A holder renews its claim, and another VM claims only if the
// log has shown no record of the holder for a full lease duration. The caller does
// all reads and appends: this package holds no connection and no clock.
//
// When the store comes back from a copy, the log begins a new era and may lack the last
// claims and reports. A holder whose lease has not expired claims again at once. The other
// VMs wait for a lease duration before the first claim in the new era, as a holder that
// the log lacks may still act.
package singleton

import (
	"maps"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/state/storelog"
)

// Record is one record of the duties log.
type Record struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// IsClaim is true for a record that claims the lease. The holder's other
	// records renew it.
	IsClaim bool `json:"claim,omitempty"`
	// Token is the fencing token of the holder that writes the record.
	Token uint64 `json:"token,omitempty"`
	// Released is true if the holder releases the lease.
	Released bool `json:"released,omitempty"`
	// Window and Counts are a usage report. The holder writes it to the log
	// before it sends the report, so that every later holder sends the same one.
	Window int64          `json:"window,omitempty"`
	Counts map[string]int `json:"counts,omitempty"`
	// Reports holds usage reports that the log lacks, as it has lost them.
	Reports map[int64]map[string]int `json:"reports,omitempty"`
	// LostUpTo is the last window for which the log may have lost a report. Windows up to
	// it that the log has no report of must not be reported.
	LostUpTo int64 `json:"lost_up_to,omitempty"`
	// InitialServers holds the initial number of servers of each service, without servers
	// that were ordered.
	InitialServers map[string]int `json:"sizes,omitempty"`
}

// State is the state of the log, read up to position End.
type State struct {
	End storelog.Position
	// Holder is the last claim; its VM is empty before the first one.
	Holder Record
	// FencingToken is the fencing token of the last claim.
	FencingToken uint64
	Released     bool
	// Reports holds the counts of the usage reports in the log, by window, and of those
	// that it had in earlier eras. logged holds the windows of the first.
	Reports  map[int64]map[string]int
	logged   map[int64]bool
	LostUpTo int64
	// InitialServers is kept over eras too.
	InitialServers map[string]int
}

// retainedWindows bounds the age of the usage reports in State, in windows.
const retainedWindows = 16

// Apply applies the record at position s.End and advances s.End.
func (s *State) Apply(r Record) {
	at := s.End
	s.End++
	token := r.Token
	if token == 0 && r.IsClaim {
		token = uint64(at) + 1
	}
	// A renewal shows a claim that the log lacks.
	if token > s.FencingToken {
		s.Holder, s.FencingToken, s.Released = r, token, false
	}
	if r.VM == s.Holder.VM && r.Incarnation == s.Holder.Incarnation && r.Released {
		s.Released = true
	}
	if r.InitialServers != nil {
		s.InitialServers = r.InitialServers
	}
	s.LostUpTo = max(s.LostUpTo, r.LostUpTo)
	for w, counts := range r.Reports {
		s.addReport(w, counts)
	}
	if r.Counts != nil {
		s.addReport(r.Window, r.Counts)
	}
}

// addReport adds a report of the log. The first one of a window counts.
func (s *State) addReport(window int64, counts map[string]int) {
	if s.Reports == nil {
		s.Reports = map[int64]map[string]int{}
	}
	if s.logged == nil {
		s.logged = map[int64]bool{}
	}
	if _, ok := s.Reports[window]; !ok {
		s.Reports[window] = counts
	}
	s.logged[window] = true
	for w := range s.Reports {
		if w < window-retainedWindows {
			delete(s.Reports, w)
			delete(s.logged, w)
		}
	}
}

// unlogged returns the known reports that the log lacks, nil if there are none.
func (s *State) unlogged() map[int64]map[string]int {
	var out map[int64]map[string]int
	for w, counts := range s.Reports {
		if !s.logged[w] {
			if out == nil {
				out = map[int64]map[string]int{}
			}
			out[w] = counts
		}
	}
	return out
}

// EraOf returns the era of the claim of a fencing token.
func EraOf(token uint64) uint64 { return storelog.Position(max(token, 1) - 1).Era() }

// isClaimedInEra reports whether the last claim is of the log's era.
func (s *State) isClaimedInEra() bool {
	return s.Holder.VM != "" && EraOf(s.FencingToken) == s.End.Era()
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
	// IsFirstStart is true if all VMs start for the first time, so that an empty log has
	// never had a claim.
	IsFirstStart bool
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
	// reportedEnd the highest end of the log reported with that token.
	// reportedAt is the time of the first report with these values.
	reportedToken uint64
	reportedEnd   storelog.Position
	reportedAt    time.Time
	// logReadAt is the time of the last read of the log. inactiveSince is the
	// time since which the log has shown no new record of the holder, zero if
	// that time is unknown.
	logReadAt     time.Time
	inactiveSince time.Time
	// reclaimUntil is set while this VM, which held the lease when it learned of a new
	// era, may claim at once in that era.
	reclaimUntil time.Time
	// hasRead is set once the log was read.
	hasRead bool
	// hasGap is set once records of the log were gone before this VM had read them.
	hasGap bool
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
	// End is the end of the log after the holder's last append.
	End storelog.Position
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

// EraChanged starts to read the log of a new era from its beginning, and reports whether
// the era is new. A holder may not act until it has claimed again.
func (m *Machine) EraChanged(era uint64, now time.Time) bool {
	old := &m.state
	if era <= old.End.Era() {
		return false
	}
	if _, holds := m.FencingToken(now); holds {
		m.reclaimUntil = m.renewedAt.Add(m.cfg.LeaseDuration - m.cfg.Margin)
	}
	m.heldToken, m.hasGap = 0, false
	m.cfg.IsFirstStart = m.cfg.IsFirstStart && !m.hasRead
	m.state = State{End: storelog.At(era, 0), Reports: maps.Clone(old.Reports), LostUpTo: old.LostUpTo, InitialServers: old.InitialServers}
	m.logReadAt, m.inactiveSince = time.Time{}, time.Time{}
	return true
}

// SkipTo continues at first, because the log no longer has the records before it.
func (m *Machine) SkipTo(first storelog.Position) {
	if first > m.state.End {
		m.state.End = first
		m.hasGap = true
	}
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
	if now.Sub(m.holderActiveAt) < timeout && !now.Before(m.reclaimUntil) {
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
	m.logReadAt, m.hasRead = now, true
	for _, r := range records {
		m.state.Apply(r)
	}
	h, isClaimed := m.state.Holder, m.state.isClaimedInEra()
	if !isClaimed && now.Before(m.reclaimUntil) {
		return Claim
	}
	m.reclaimUntil = time.Time{}
	// The last claim may be this VM's own, from an earlier incarnation or with a
	// lost answer. No lease of another VM has to expire first, unless the claim is of an
	// earlier era, after which the log may have lost others.
	if h.VM == "" && m.cfg.IsFirstStart || isClaimed && (m.state.Released || h.VM == m.vm) {
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

// NewRecord returns a claim of this VM to append or, if isClaim is false, a renewal. A
// claim holds what the log lacks and this VM knows. lastWindow is the last usage window
// that may have been reported.
func (m *Machine) NewRecord(isClaim bool, lastWindow int64) Record {
	r := Record{VM: m.vm, Incarnation: m.incarnation, IsClaim: isClaim, Token: m.heldToken}
	if !isClaim {
		return r
	}
	r.Token = uint64(m.state.End) + 1
	r.Reports = m.state.unlogged()
	isFirst := !m.state.isClaimedInEra()
	if isFirst {
		r.InitialServers = m.state.InitialServers
	}
	// Only a holder of the era before knows all reports that were made in it.
	isNewLog := m.state.Holder.VM == "" && m.cfg.IsFirstStart
	if m.hasGap || isFirst && !isNewLog && m.reclaimUntil.IsZero() {
		r.LostUpTo = lastWindow
	}
	return r
}

// Appended records that the log confirmed the append of r at State.End. startedAt
// is the time at which the append was started.
func (m *Machine) Appended(r Record, startedAt, now time.Time) {
	m.state.Apply(r)
	if r.IsClaim {
		m.heldToken = m.state.FencingToken
		m.reclaimUntil, m.hasGap = time.Time{}, false
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
