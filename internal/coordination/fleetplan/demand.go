package fleetplan

import (
	"math"
	"time"
)

// Level turns measured work into a number of VMs.
type Level struct {
	// Utilization is the share of a VM's time that is planned to be used; work
	// that shares a batch counts more than once, so that it may be over 1.
	Utilization float64
	// FloorShare of the VMs found at first is kept whatever the work, and
	// StartShare until the work has been seen for a while: what the operator
	// began with is the best guess before.
	FloorShare float64
	StartShare float64
}

// DemandConfig bounds the demand.
type DemandConfig struct {
	// Needed is the level that dear VMs are taken for as well, Wanted the one
	// that is kept as long as cheap ones are to be had.
	Needed, Wanted Level
	// Window is the time over which work is averaged, and Hold how long the
	// highest average counts: traffic that has risen may rise again.
	Window, Hold time.Duration
}

// slotMargin sets how much less of their time engines are planned to be used that
// run few requests at once.
const slotMargin = 1.1

// ForSlots returns the bounds for VMs that run so many requests at once. The fewer
// they are, the more a burst of ordinary size fills of them, as the spread of a
// sum grows with its root alone.
func (c DemandConfig) ForSlots(slots int) DemandConfig {
	if slots > 0 {
		c.Wanted.Utilization *= 1 - min(slotMargin/math.Sqrt(float64(slots)), 0.5)
	}
	return c
}

// Meter follows the work that is asked of a service. It answers traffic that
// jumps within seconds, and waves whose troughs are too short to give VMs up.
type Meter struct {
	cfg     DemandConfig
	samples []sample
	peaks   []peak
	// seenFrom is when work was first seen.
	seenFrom time.Time
	lastAt   time.Time
}

type sample struct {
	at    time.Time
	total float64
}

type peak struct {
	at  time.Time
	vms float64
}

// NewMeter returns a meter that has seen no work.
func NewMeter(cfg DemandConfig) *Meter { return &Meter{cfg: cfg} }

// Note takes the work asked for since some moment, in milliseconds of a VM.
func (m *Meter) Note(total float64, now time.Time) {
	m.samples = append(m.samples, sample{now, total})
	for len(m.samples) > 2 && now.Sub(m.samples[1].at) >= m.cfg.Window {
		m.samples = m.samples[1:]
	}
	first := m.samples[0]
	passed := now.Sub(first.at)
	if passed < m.cfg.Window/2 {
		return
	}
	busy := (total - first.total) / float64(passed.Milliseconds())
	if m.seenFrom.IsZero() && busy > 0 {
		m.seenFrom = now
	}
	m.lastAt = now
	m.peaks = append(m.peaks, peak{now, busy})
	for now.Sub(m.peaks[0].at) > m.cfg.Hold {
		m.peaks = m.peaks[1:]
	}
}

// VMs returns how many VMs have to be left with any one availability zone gone.
func (m *Meter) VMs(found int) (needed, wanted float64) {
	busy := 0.0
	for _, p := range m.peaks {
		busy = max(busy, p.vms)
	}
	measured := m.Measured()
	return m.cfg.Needed.of(busy, found, measured), m.cfg.Wanted.of(busy, found, measured)
}

// Measured tells whether work has been seen for long enough to go by it alone.
func (m *Meter) Measured() bool {
	return !m.seenFrom.IsZero() && m.lastAt.Sub(m.seenFrom) >= m.cfg.Hold
}

func (l Level) of(busy float64, found int, measured bool) float64 {
	floor := l.FloorShare
	if !measured {
		floor = max(floor, l.StartShare)
	}
	return max(busy/l.Utilization, floor*float64(found), 1)
}
