package retry

import (
	"sync"
	"time"
)

// WindowConfig bounds the retries in any sliding window of a length, summed over
// all nodes that share the bound.
type WindowConfig struct {
	// Ratio is the number of retries allowed for each first attempt in a window.
	Ratio float64
	// Reserve is the number of further retries allowed in a window.
	Reserve float64
	// Length is the length of a window.
	Length time.Duration
}

// windowBins is the number of bins in which the attempts of a window are counted.
const windowBins = 20

// Window counts the attempts of one name in a sliding window. It suits faults that
// occur in bursts: all retries allowed for the window's first attempts may be drawn
// at once.
type Window struct {
	cfg WindowConfig
	// startedAt is the time of the first attempt. Bins are numbered relative to it,
	// because the wall clock may step.
	startedAt time.Time
	bins      [windowBins]windowBin
}

// windowBin counts the attempts of the window's part with the given number.
type windowBin struct {
	number                 int64
	firstAttempts, retries float64
}

// bin returns the bin for now. It clears the bin first if its counts are from an
// earlier window.
func (w *Window) bin(now time.Time) *windowBin {
	if w.startedAt.IsZero() {
		w.startedAt = now
	}
	// Bins are numbered from 1, so that a bin never used (number 0) isn't counted.
	number := int64(max(now.Sub(w.startedAt), 0)/(w.cfg.Length/windowBins)) + 1
	b := &w.bins[number%windowBins]
	if b.number != number {
		*b = windowBin{number: number}
	}
	return b
}

// sums returns the numbers of first attempts and of retries in the window that
// ends now.
func (w *Window) sums(now time.Time) (first, retries float64) {
	newest := w.bin(now).number
	for i := range w.bins {
		if b := &w.bins[i]; b.number > max(newest-windowBins, 0) {
			first += b.firstAttempts
			retries += b.retries
		}
	}
	return first, retries
}

// NoteFirstAttempt records a first attempt.
func (w *Window) NoteFirstAttempt(now time.Time) { w.bin(now).firstAttempts++ }

// Take draws one retry and reports whether there was one. share is the share of
// the reserve that this node may use.
func (w *Window) Take(share float64, now time.Time) bool {
	first, retries := w.sums(now)
	if retries+1 > w.cfg.Ratio*first+w.cfg.Reserve*share {
		return false
	}
	w.bin(now).retries++
	return true
}

// GiveBack undoes the last Take of a retry that was not sent.
func (w *Window) GiveBack(now time.Time) {
	if b := w.bin(now); b.retries > 0 {
		b.retries--
	}
}

// Windows holds a window for each name. This node has an even share of each
// reserve. It is safe for concurrent use.
type Windows struct {
	cfg WindowConfig
	// sharers returns the current number of nodes that share the reserve.
	sharers func() int

	mu sync.Mutex
	// maxSharers is the largest number of sharers observed, as nodes that are
	// isolated continue to draw retries.
	maxSharers int
	byName     map[string]*Window
}

// NewWindows returns windows without attempts. sharers returns the number of nodes
// that share each reserve.
func NewWindows(cfg WindowConfig, sharers func() int) *Windows {
	return &Windows{cfg: cfg, sharers: sharers, maxSharers: 1, byName: map[string]*Window{}}
}

// SetConfig replaces the configuration. If the window length changes, all counts
// are reset.
func (w *Windows) SetConfig(cfg WindowConfig) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if cfg.Length != w.cfg.Length {
		w.byName = map[string]*Window{}
	}
	w.cfg = cfg
	for _, x := range w.byName {
		x.cfg = cfg
	}
}

func (w *Windows) window(name string) *Window {
	x, ok := w.byName[name]
	if !ok {
		x = &Window{cfg: w.cfg}
		w.byName[name] = x
	}
	return x
}

// NoteFirstAttempt records a first attempt of name.
func (w *Windows) NoteFirstAttempt(name string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.window(name).NoteFirstAttempt(now)
}

// Take draws one retry of name and reports whether there was one.
func (w *Windows) Take(name string, now time.Time) bool {
	sharers := w.sharers()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.maxSharers = max(w.maxSharers, sharers)
	return w.window(name).Take(1/float64(w.maxSharers), now)
}

// GiveBack undoes the last Take of a retry that was not sent.
func (w *Windows) GiveBack(name string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.window(name).GiveBack(now)
}
