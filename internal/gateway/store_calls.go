package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/catchup"
	"coltsfootpath.example/coltsfootpath/internal/coordination/freshness"
	"coltsfootpath.example/coltsfootpath/internal/state/storelog"
	"coltsfootpath.example/coltsfootpath/platform"
)

// fetch makes a call. It returns a function that puts its result in force, which the goroutine
// of the round calls, for the first call that succeeds.
type fetch func(ctx context.Context) (accept func() error, err error)

// callEnd is the end of a call, after some time.
type callEnd struct {
	call   catchup.Call
	accept func() error
	err    error
	after  time.Duration
}

// round makes the calls that a machine decides on, until the result of one is in force.
type round struct {
	node     *Node
	machine  *catchup.Machine
	schedule freshness.Schedule
	// input returns the machine's input, and false if the round is not needed any more.
	input func() (catchup.Input, bool)
	// fetch returns the function that makes a call.
	fetch func(c catchup.Call) fetch
	// failed handles a call that has failed. The round ends if it returns an error.
	failed func(end *callEnd) error
	// silent is called when a call is made because another one has no answer. It may be nil.
	silent func()
	// wakeups receives a value when the input may have changed. It may be nil.
	wakeups <-chan struct{}
}

// runningCall is a call that has not ended. activeAt is the last time at which a part of its
// answer arrived, in nanoseconds since startedAt.
type runningCall struct {
	cancel    context.CancelFunc
	startedAt time.Time
	activeAt  atomic.Int64
}

// run makes calls until one succeeds, and returns it. Calls that are still open are cancelled.
func (r *round) run(ctx context.Context) (catchup.Call, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan *callEnd)
	running := map[int]*runningCall{}
	timer := time.NewTimer(0)
	defer timer.Stop()
	in, isNeeded := r.input()
	r.machine.Begin(r.schedule, in, r.node.now())
	for {
		if !isNeeded {
			return catchup.Call{}, errNotNeeded
		}
		r.step(ctx, in, running, ends, timer)
		select {
		case end := <-ends:
			if isDone, err := r.end(end, running); isDone || err != nil {
				return end.call, err
			}
		case <-r.wakeups:
		case <-timer.C:
		case <-ctx.Done():
			return catchup.Call{}, ctx.Err()
		}
		in, isNeeded = r.input()
	}
}

// step takes the machine's next step, and sets the timer to the one after it.
func (r *round) step(ctx context.Context, in catchup.Input, running map[int]*runningCall, ends chan<- *callEnd, timer *time.Timer) {
	for id, c := range running {
		r.machine.Progress(id, c.startedAt.Add(time.Duration(c.activeAt.Load())))
	}
	now := r.node.now()
	step := r.machine.Step(r.schedule, in, now)
	for _, id := range step.Cancel {
		running[id].cancel()
		delete(running, id)
	}
	if step.Silent {
		// The connections that no call uses may be silent too.
		r.node.platform.DropIdleConnections()
		if r.silent != nil {
			r.silent()
		}
	}
	for _, c := range step.Start {
		running[c.ID] = r.start(ctx, c, ends)
	}
	wait := idleCheckInterval
	if !step.Next.IsZero() {
		wait = min(wait, step.Next.Sub(now))
	}
	timer.Reset(wait)
}

// start makes a call in its own goroutine.
func (r *round) start(ctx context.Context, c catchup.Call, ends chan<- *callEnd) *runningCall {
	callCtx, cancel := context.WithTimeout(ctx, c.Timeout)
	out := &runningCall{cancel: cancel, startedAt: r.node.now()}
	call := r.fetch(c)
	go func() {
		defer cancel()
		accept, err := call(platform.WithProgress(callCtx, func() { out.activeAt.Store(int64(r.node.now().Sub(out.startedAt))) }))
		end := &callEnd{call: c, accept: accept, err: err, after: r.node.now().Sub(out.startedAt)}
		select {
		case ends <- end:
		case <-ctx.Done():
		}
	}()
	return out
}

// end handles the end of a call: it puts its result in force or, if it has failed, tells the
// machine. isDone reports whether a result is in force. The round also ends with an error.
func (r *round) end(end *callEnd, running map[int]*runningCall) (isDone bool, err error) {
	if _, ok := running[end.call.ID]; !ok {
		return false, nil
	}
	delete(running, end.call.ID)
	if end.err == nil {
		end.err = end.accept()
	}
	if end.err == nil {
		return true, nil
	}
	r.machine.Failed(r.schedule, end.call.ID, r.node.now())
	return false, r.failed(end)
}

// askStore makes a call that may be repeated, and makes it again beside the first one while
// that has no answer. It returns the first result or, once no call is open, the last error.
func askStore[T any](ctx context.Context, n *Node, s freshness.Schedule, call func(ctx context.Context) (T, error)) (T, error) {
	var out T
	ctx, cancel := context.WithTimeout(ctx, s.AnswerTimeout())
	defer cancel()
	machine := catchup.NewMachine()
	r := round{
		node:     n,
		machine:  machine,
		schedule: s,
		input:    func() (catchup.Input, bool) { return catchup.Input{}, true },
		fetch: func(catchup.Call) fetch {
			return func(ctx context.Context) (func() error, error) {
				result, err := call(ctx)
				return func() error { out = result; return nil }, err
			}
		},
		failed: func(end *callEnd) error {
			if machine.Open() > 0 {
				return nil
			}
			return end.err
		},
	}
	if _, err := r.run(ctx); err != nil {
		return out, errors.WithStack(err)
	}
	return out, nil
}

// storeSchedule returns the times of calls that belong to neither of the two followed topics.
func (n *Node) storeSchedule() freshness.Schedule {
	return freshness.Schedule{Bound: n.liveSettings.Load().operatorBound()}
}

// listNewest returns the newest record of each key of a topic, and the topic's end as of the
// first page.
func (n *Node) listNewest(ctx context.Context, topic string) ([]platform.Item, storelog.Position, error) {
	l := n.platform.NewListing(topic)
	for !l.IsComplete() {
		page, err := askStore(ctx, n, n.storeSchedule(), l.NextPage())
		if err != nil {
			return nil, 0, err
		}
		if err := l.Add(page); err != nil {
			return nil, 0, err
		}
	}
	end, _ := l.End()
	return l.Items(), end, nil
}
