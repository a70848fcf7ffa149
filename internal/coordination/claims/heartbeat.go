package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/state/calls"
)

// heartbeatInterval is the time without records after which a heartbeat is
// appended.
const heartbeatInterval = time.Minute

// AppendHeartbeats appends a heartbeat, a record without a call, whenever the
// stream has had no record for heartbeatInterval, until ctx ends. A starting entry
// VM can't prove that a key is unclaimed if it was issued before the earliest
// record in the log. Without heartbeats, retention would empty an idle stream and
// leave no such record.
func (c *Claimer) AppendHeartbeats(ctx context.Context, vm string) {
	for {
		wait := heartbeatInterval + rand.N(heartbeatInterval)
		select {
		case <-c.clock.After(wait):
		case <-ctx.Done():
			return
		}
		if c.clock.Now().Sub(c.table.appliedAt()) < heartbeatInterval {
			continue
		}
		// If the heartbeat is lost, the next one has the same effect.
		_, _ = c.writer.Append(ctx, calls.Record{Heartbeat: &calls.Heartbeat{VM: vm}})
	}
}
