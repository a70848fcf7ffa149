package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/state/calls"
)

// markInterval is the time without records after which a mark is appended.
const markInterval = time.Minute

// KeepStreamMarked appends a mark whenever the stream has had no record for
// markInterval, until ctx ends. An entry VM that starts takes the time of the
// earliest record kept as its horizon, so an idle stream must not be trimmed to
// its end.
func (c *Claimer) KeepStreamMarked(ctx context.Context, vm string) {
	for {
		wait := markInterval + rand.N(markInterval)
		select {
		case <-c.clock.After(wait):
		case <-ctx.Done():
			return
		}
		if c.clock.Now().Sub(c.table.appliedAt()) < markInterval {
			continue
		}
		// If the mark is lost, the next one has the same effect.
		_, _ = c.writer.Append(ctx, calls.Record{Mark: &calls.Mark{VM: vm}})
	}
}
