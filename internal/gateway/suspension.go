package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension of a VM that is noticed.
const minSuspension = 50 * time.Millisecond

// suspensionWatch notices that the VM was suspended. The monotonic clock, by which leases are
// measured, does not count that time. It is not safe for concurrent use.
type suspensionWatch struct {
	// sinceBoot returns the time since boot, suspensions included, and now that of the
	// monotonic clock.
	sinceBoot func() (time.Duration, error)
	now       func() time.Time
	startedAt time.Time
	// maxAhead is the most by which sinceBoot can have been ahead of the monotonic clock at the
	// last check. The process may be paused between the readings of the two clocks.
	maxAhead time.Duration
	checked  bool
}

func newSuspensionWatch() *suspensionWatch {
	return &suspensionWatch{sinceBoot: timeSinceBoot, now: time.Now, startedAt: time.Now()}
}

func timeSinceBoot() (time.Duration, error) {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return 0, err
	}
	return time.Duration(at.Nano()), nil
}

// check returns the time for which the VM was suspended since the last check at least, 0 if that
// is less than minSuspension or not known.
func (w *suspensionWatch) check() time.Duration {
	before := w.now().Sub(w.startedAt)
	sinceBoot, err := w.sinceBoot()
	if err != nil {
		return 0
	}
	after := w.now().Sub(w.startedAt)
	suspended := sinceBoot - after - w.maxAhead
	if !w.checked {
		suspended = 0
	}
	w.maxAhead, w.checked = sinceBoot-before, true
	if suspended < minSuspension {
		return 0
	}
	return suspended
}
