package fleetplan

import "time"

// Level turns measured work into a number of VMs.
type Level struct {
	// Utilization is the share of a VM's time that is planned to be used; work
	// that shares a batch counts more than once, so that it may be over 1.
	Utilization float64
	// FloorShare of the VMs found at first is kept whatever the work.
	FloorShare float64
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

// Meter follows the work that is asked of a service. It answers traffic that
// jumps within seconds, and waves whose troughs are too short to give VMs up.
type Meter struct {
	cfg     DemandConfig
	samples []sample
	peaks   []peak
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
	m.peaks = append(m.peaks, peak{now, (total - first.total) / float64(passed.Milliseconds())})
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
	return m.cfg.Needed.of(busy, found), m.cfg.Wanted.of(busy, found)
}

func (l Level) of(busy float64, found int) float64 {
	return max(busy/l.Utilization, l.FloorShare*float64(found), 1)
}
