package coordinator

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/appender"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/coordination/tail"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
)

// checkpointer writes the control state to the log as a checkpoint, well before
// the log's retention drops records that readers need. Only the lease loop uses
// it.
type checkpointer struct {
	maxRecords uint64
	maxAge     time.Duration
	clock      ports.Clock
	replay     *tail.ControlReplay
	appender   *appender.Appender

	// newestOffset is the offset of the newest checkpoint. newestSeenAt is the
	// time at which this process first read it, zero if it existed before run
	// started.
	newestOffset uint64
	newestSeenAt time.Time
}

func newCheckpointer(records int, interval time.Duration, clock ports.Clock, replay *tail.ControlReplay, a *appender.Appender) *checkpointer {
	return &checkpointer{maxRecords: uint64(records), maxAge: interval, clock: clock, replay: replay, appender: a}
}

// recordExisting records the checkpoint that exists before run starts. Its age is
// unknown.
func (c *checkpointer) recordExisting() {
	c.newestOffset = c.replay.State().Checkpoint
}

// isDue reports whether a checkpoint is due at the time now. It first records the newest
// checkpoint if that has changed. A checkpoint of unknown age counts as old.
func (c *checkpointer) isDue(state *control.State, now time.Time) bool {
	if state.Checkpoint != c.newestOffset {
		c.newestOffset, c.newestSeenAt = state.Checkpoint, now
	}
	if state.Next-c.newestOffset > c.maxRecords {
		return true
	}
	return c.newestSeenAt.IsZero() || now.Sub(c.newestSeenAt) >= c.maxAge
}

// step writes a checkpoint with the lease's fencing token if one is due.
func (c *checkpointer) step(ctx context.Context, fencingToken uint64, timeout time.Duration) {
	state := c.replay.State()
	if !c.isDue(state, c.clock.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	applied, err := c.appender.Append(ctx, control.Record{Checkpoint: control.NewCheckpoint(fencingToken, state)})
	if err != nil {
		klog.V(1).Infof("coordinator: checkpoint not written err=%q", err)
		return
	}
	klog.Infof("coordinator: checkpoint offset=%d state=%d verdict=%s", applied.Offset, state.Next, applied.Verdict)
}
