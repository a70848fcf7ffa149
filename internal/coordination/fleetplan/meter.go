package fleetplan

import (
	"math"
	"time"
)

// Level holds the parameters by which measured work is converted to a number of
// VMs.
type Level struct {
	// Utilization is the planned share of a VM's time in use. Work that shares a
	// batch counts more than once, so the share may exceed 1.
	Utilization float64
	// FloorShare is the share of the initial number of VMs that is kept
	// regardless of the work.
	FloorShare float64
	// InitialShare is the share that is kept until work has been measured for
	// DemandConfig.PeakHold. Until then the operator's initial number of VMs is
	// the best estimate.
	InitialShare float64
}

// DemandConfig configures how a Meter computes the demand.
type DemandConfig struct {
	// Required is the level that is served with on-demand VMs if necessary,
	// Preferred the one that is served only while reclaimable VMs are available.
	Required, Preferred Level
	// Window is the time over which work is averaged. The demand is computed from
	// the highest average of the last PeakHold, as traffic that has risen may rise
	// again.
	Window, PeakHold time.Duration
	// Lateness configures how the planned utilizations are lowered while answers begin late.
	Lateness LatenessConfig
}

// slotMargin scales the reduction of the planned utilization for engines that run
// few requests at once.
const slotMargin = 1.1

// ForSlots returns the configuration for VMs that run the given number of requests
// at once. The fewer the slots, the larger the share that a typical burst fills,
// as the deviation of a sum grows only with the square root of its size.
func (c DemandConfig) ForSlots(slots int) DemandConfig {
	if slots > 0 {
		c.Preferred.Utilization *= 1 - min(slotMargin/math.Sqrt(float64(slots)), 0.5)
	}
	return c
}

// Meter measures the work requested of a service. It follows sudden increases in
// traffic within seconds, and keeps VMs during drops in traffic that are too short
// to make stopping VMs worthwhile.
type Meter struct {
	cfg     DemandConfig
	samples []sample
	peaks   []peak
	// firstWorkAt is the time at which work was first measured.
	firstWorkAt time.Time
	measuredAt  time.Time
	limit       utilizationLimit
}

// sample is the cumulative work at a time, in milliseconds of a VM.
type sample struct {
	at    time.Time
	total float64
}

// peak is the number of VMs kept busy on average over the window before a time.
type peak struct {
	at      time.Time
	busyVMs float64
}

// NewMeter returns a meter without measurements.
func NewMeter(cfg DemandConfig) *Meter {
	return &Meter{cfg: cfg, limit: utilizationLimit{cfg: cfg.Lateness}}
}

// RecordWork records the cumulative work requested since a fixed time, in
// milliseconds of a VM.
func (m *Meter) RecordWork(total float64, now time.Time) {
	m.samples = append(m.samples, sample{now, total})
	for len(m.samples) > 2 && now.Sub(m.samples[1].at) >= m.cfg.Window {
		m.samples = m.samples[1:]
	}
	first := m.samples[0]
	elapsed := now.Sub(first.at)
	if elapsed < m.cfg.Window/2 {
		return
	}
	busyVMs := (total - first.total) / float64(elapsed.Milliseconds())
	if m.firstWorkAt.IsZero() && busyVMs > 0 {
		m.firstWorkAt = now
	}
	m.measuredAt = now
	m.peaks = append(m.peaks, peak{now, busyVMs})
	for now.Sub(m.peaks[0].at) > m.cfg.PeakHold {
		m.peaks = m.peaks[1:]
	}
}

// RecordAnswers records the cumulative numbers of answers since a fixed time and of those among
// them that began late, with the number of VMs that serve. It reports whether the planned
// utilization was lowered, and the share of late answers.
func (m *Meter) RecordAnswers(answered, late float64, servingVMs int, now time.Time) (lowered bool, lateShare float64) {
	utilization := 0.0
	if len(m.peaks) > 0 && servingVMs > 0 {
		utilization = m.peaks[len(m.peaks)-1].busyVMs / float64(servingVMs)
	}
	return m.limit.record(answerSample{now, answered, late}, utilization, m.cfg.Required.Utilization)
}

// UtilizationLimit returns the utilization up to which answers are expected to begin in time,
// 0 if none is learned.
func (m *Meter) UtilizationLimit() float64 { return m.limit.value }

// VMs returns the numbers of VMs, for the Required and the Preferred level, that
// have to remain after the loss of any one availability zone. initialVMs is the
// initial number of VMs.
func (m *Meter) VMs(initialVMs int) (required, preferred float64) {
	busyVMs := 0.0
	for _, p := range m.peaks {
		busyVMs = max(busyVMs, p.busyVMs)
	}
	measured := m.Measured()
	requiredLevel, preferredLevel := m.cfg.Required, m.cfg.Preferred
	requiredLevel.Utilization = m.limit.bound(requiredLevel.Utilization)
	preferredLevel.Utilization = m.limit.bound(preferredLevel.Utilization)
	return requiredLevel.vms(busyVMs, initialVMs, measured), preferredLevel.vms(busyVMs, initialVMs, measured)
}

// Measured reports whether work has been measured for long enough to plan by it
// rather than by the operator's initial number of VMs.
func (m *Meter) Measured() bool {
	return !m.firstWorkAt.IsZero() && m.measuredAt.Sub(m.firstWorkAt) >= m.cfg.PeakHold
}

// vms returns the number of VMs for a number of VMs kept busy on average.
func (l Level) vms(busyVMs float64, initialVMs int, measured bool) float64 {
	floor := l.FloorShare
	if !measured {
		floor = max(floor, l.InitialShare)
	}
	return max(busyVMs/l.Utilization, floor*float64(initialVMs), 1)
}
