package gateway

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
)

// loopRestartPause is the time after which a loop that has panicked runs again.
const loopRestartPause = time.Second

// errPanic means that a defect of this process ended an exchange. What was sent may have run.
var errPanic = errors.New("processing ended in a panic")

// contain runs f. A panic in f, as an input that nobody expected may cause, is logged and
// counted and does not end the process with all its requests. contain reports whether f
// returned.
func (n *Node) contain(part string, f func()) (returned bool) {
	defer func() {
		if cause := recover(); cause != nil {
			n.log.Failure("gateway", "panic", "part", part, "cause", cause, "stack", string(debug.Stack()))
			n.metrics.panics.WithLabelValues(part).Inc()
		}
	}()
	f()
	return true
}

// runLoop runs f until it returns. If it panics, it runs again after a pause, unless ctx has
// ended.
func (n *Node) runLoop(ctx context.Context, part string, f func(ctx context.Context)) {
	n.loops.Go(func() {
		for !n.contain(part, func() { f(ctx) }) && ctx.Err() == nil {
			sleep(ctx, loopRestartPause)
		}
	})
}
