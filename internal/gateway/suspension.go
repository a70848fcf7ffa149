package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension of a VM that is noticed. The two clocks are read one
// after the other.
const minSuspension = 50 * time.Millisecond

// suspensionWatch notices that the VM was suspended. The monotonic clock, by which leases are
// measured, does not count that time. It is not safe for concurrent use.
type suspensionWatch struct {
	// sinceBoot returns the time since boot, suspensions included.
	sinceBoot func() (time.Duration, error)
	startedAt time.Time
	// ahead is the time by which sinceBoot was ahead of the monotonic clock at the last check.
	ahead   time.Duration
	checked bool
}

func newSuspensionWatch(now time.Time) *suspensionWatch {
	return &suspensionWatch{sinceBoot: timeSinceBoot, startedAt: now}
}

func timeSinceBoot() (time.Duration, error) {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return 0, err
	}
	return time.Duration(at.Nano()), nil
}

// check returns the time for which the VM was suspended since the last check, 0 if it was not
// or if that is not known.
func (w *suspensionWatch) check(now time.Time) time.Duration {
	sinceBoot, err := w.sinceBoot()
	if err != nil {
		return 0
	}
	ahead := sinceBoot - now.Sub(w.startedAt)
	suspended := ahead - w.ahead
	if !w.checked {
		suspended = 0
	}
	w.ahead, w.checked = ahead, true
	if suspended < minSuspension {
		return 0
	}
	return suspended
}
