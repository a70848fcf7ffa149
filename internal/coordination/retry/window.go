package retry

import (
	"sync"
	"time"
)

// WindowConfig bounds the total number of retries, in any sliding window of the
// given length, of all nodes that share the limit.
type WindowConfig struct {
	// Ratio is the number of retries allowed for each first attempt in a window.
	Ratio float64
	// Reserve is the number of retries allowed in a window in addition to Ratio
	// times the first attempts.
	Reserve float64
	// Length is the duration of the sliding window in which retries and first
	// attempts are counted.
	Length time.Duration
}

// windowBins is the number of bins in which the attempts of a window are counted.
const windowBins = 20

// Window counts the attempts of one name in a sliding window. It suits faults that
// occur in bursts: all retries allowed for the window's first attempts may be taken
// at once.
type Window struct {
	cfg WindowConfig
	// startedAt is the time of the first attempt. Bins are numbered relative to it,
	// because the wall clock may step.
	startedAt time.Time
	bins      [windowBins]windowBin
}

// windowBin counts the attempts in one of the numbered parts of the window.
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

// RecordFirstAttempt records a first attempt.
func (w *Window) RecordFirstAttempt(now time.Time) { w.bin(now).firstAttempts++ }

// Take takes one retry from the window and reports whether one was available.
// share is the share of the reserve that this node may use.
func (w *Window) Take(share float64, now time.Time) bool {
	return w.take(share, 1, now)
}

func (w *Window) take(share, fraction float64, now time.Time) bool {
	if !w.mayTake(share, fraction, now) {
		return false
	}
	w.bin(now).retries++
	return true
}

func (w *Window) mayTake(share, fraction float64, now time.Time) bool {
	first, retries := w.sums(now)
	return retries+1 <= fraction*(w.cfg.Ratio*first+w.cfg.Reserve*share)
}

// optionalShare is the share of the allowed retries up to which TakeOptional takes some.
const optionalShare = 0.5

// TakeOptional is Take for a request whose present attempt may still succeed. It leaves
// retries for those whose attempts have failed.
func (w *Window) TakeOptional(share float64, now time.Time) bool {
	return w.take(share, optionalShare, now)
}

// GiveBack returns a retry that was taken and not sent.
func (w *Window) GiveBack(now time.Time) {
	if b := w.bin(now); b.retries > 0 {
		b.retries--
	}
}

// Windows holds a window for each name. This node has an even share of each
// reserve. It is safe for concurrent use.
type Windows struct {
	cfg WindowConfig
	// nodes returns the current number of nodes that share the reserve.
	nodes func() int

	mu sync.Mutex
	// maxNodes is the largest number of nodes observed. The reserve is divided by
	// it, because isolated nodes continue to use their share.
	maxNodes int
	byName   map[string]*Window
}

// NewWindows returns windows without attempts. nodes returns the number of nodes
// that share each reserve.
func NewWindows(cfg WindowConfig, nodes func() int) *Windows {
	return &Windows{cfg: cfg, nodes: nodes, maxNodes: 1, byName: map[string]*Window{}}
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

// RecordFirstAttempt records a first attempt in the window called name.
func (w *Windows) RecordFirstAttempt(name string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.window(name).RecordFirstAttempt(now)
}

// Take takes one retry from the window called name and reports whether one was
// available.
func (w *Windows) Take(name string, now time.Time) bool {
	return w.with(name, func(x *Window, share float64) bool { return x.take(share, 1, now) })
}

// TakeOptional is Window.TakeOptional for the window called name.
func (w *Windows) TakeOptional(name string, now time.Time) bool {
	return w.with(name, func(x *Window, share float64) bool { return x.take(share, optionalShare, now) })
}

// MayTake reports whether Take would take a retry.
func (w *Windows) MayTake(name string, now time.Time) bool {
	return w.with(name, func(x *Window, share float64) bool { return x.mayTake(share, 1, now) })
}

// MayTakeOptional reports whether TakeOptional would take a retry.
func (w *Windows) MayTakeOptional(name string, now time.Time) bool {
	return w.with(name, func(x *Window, share float64) bool { return x.mayTake(share, optionalShare, now) })
}

// with calls f with the window called name and this node's share of the reserve.
func (w *Windows) with(name string, f func(x *Window, share float64) bool) bool {
	nodes := w.nodes()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.maxNodes = max(w.maxNodes, nodes)
	return f(w.window(name), 1/float64(w.maxNodes))
}

// GiveBack returns a retry of the window called name that was taken and not sent.
func (w *Windows) GiveBack(name string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.window(name).GiveBack(now)
}
