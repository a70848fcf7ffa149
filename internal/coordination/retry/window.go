package retry

import (
	"sync"
	"time"
)

// WindowConfig bounds the retries in any span of a length, by all holders
// together.
type WindowConfig struct {
	// Ratio is the number of retries that each first attempt in a span pays for.
	Ratio float64
	// Reserve is the number of retries in a span beyond that.
	Reserve float64
	Length  time.Duration
}

// windowBins is the number of parts in which a span is counted.
const windowBins = 20

// Window counts the attempts of one name in the last span. It answers faults
// that come in bursts: what the span's first attempts have paid for may be drawn
// at once.
type Window struct {
	cfg WindowConfig
	// from is when the first attempt was counted: the time of day may step.
	from time.Time
	bins [windowBins]windowBin
}

type windowBin struct {
	number         int64
	first, retries float64
}

func (w *Window) bin(now time.Time) *windowBin {
	if w.from.IsZero() {
		w.from = now
	}
	// Bins are numbered from 1, so that empty ones are none of theirs.
	number := int64(max(now.Sub(w.from), 0)/(w.cfg.Length/windowBins)) + 1
	b := &w.bins[number%windowBins]
	if b.number != number {
		*b = windowBin{number: number}
	}
	return b
}

func (w *Window) sums(now time.Time) (first, retries float64) {
	newest := w.bin(now).number
	for i := range w.bins {
		if b := &w.bins[i]; b.number > max(newest-windowBins, 0) {
			first += b.first
			retries += b.retries
		}
	}
	return first, retries
}

// First notes a first attempt.
func (w *Window) First(now time.Time) { w.bin(now).first++ }

// Take draws one retry, and tells whether there was one for a holder that has a
// share of the reserve.
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

// Windows holds a window for each name, of which this holder has an even share.
// It may be used from many goroutines.
type Windows struct {
	cfg WindowConfig
	// sharers is the number of holders now.
	sharers func() int

	mu sync.Mutex
	// most is the largest number of holders seen: those that are cut off draw on.
	most   int
	byName map[string]*Window
}

// NewWindows returns windows without attempts.
func NewWindows(cfg WindowConfig, sharers func() int) *Windows {
	return &Windows{cfg: cfg, sharers: sharers, most: 1, byName: map[string]*Window{}}
}

// SetConfig replaces the bounds. Where the length of a span changes, attempts are
// counted anew.
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

// First notes a first attempt of name.
func (w *Windows) First(name string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.window(name).First(now)
}

// Take draws one retry of name, and tells whether there was one.
func (w *Windows) Take(name string, now time.Time) bool {
	sharers := w.sharers()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.most = max(w.most, sharers)
	return w.window(name).Take(1/float64(w.most), now)
}

// GiveBack undoes the last Take of a retry that was not sent.
func (w *Windows) GiveBack(name string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.window(name).GiveBack(now)
}
