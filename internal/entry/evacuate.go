package entry

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/answer"
	"coltsfootpath.example/coltsfootpath/internal/coordination/evacuation"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
)

const (
	// noticeWindow is the time after a notice within which further notices are
	// added to the same plan.
	noticeWindow = 30 * time.Millisecond
	// defaultNotice is the time assumed to remain if a notice gives no
	// deadline.
	defaultNotice   = 5 * time.Second
	evacuationLanes = 4

	prefillPerToken  = 200 * time.Microsecond
	betweenTokens    = 33 * time.Millisecond
	kvBytesPerToken  = 128 << 10
	linkBytesPerSec  = 1.25e9
	transferOverhead = 20 * time.Millisecond
	leaveMargin      = 300 * time.Millisecond
)

// evacuationRates returns the rates and costs that a plan assumes. All entry
// VMs share the link of a leaving server, so each assumes an equal part of it.
func (n *Node) evacuationRates() evacuation.Rates {
	return evacuation.Rates{
		PrefillPerToken: prefillPerToken,
		BetweenTokens:   betweenTokens,
		BytesPerToken:   kvBytesPerToken,
		BytesPerSecond:  linkBytesPerSec / float64(max(n.stayingEntryVMCount(), 1)),
		Overhead:        transferOverhead,
		Lanes:           evacuationLanes,
		Margin:          leaveMargin,
	}
}

// queueLeaving queues a backend server that came under a reclaim notice. It
// drops the server, with a warning, if the queue is full.
func (n *Node) queueLeaving(vm fleet.VM) {
	select {
	case n.leavingServers <- vm:
	default:
		klog.Warningf("entry: evacuation queue full, server not evacuated vm=%s", vm.ID)
	}
}

// watchLeaving starts one evacuation for all backend servers whose notices
// arrive within noticeWindow.
func (n *Node) watchLeaving(ctx context.Context) {
	for {
		select {
		case vm := <-n.leavingServers:
			servers := n.gatherLeaving(ctx, vm)
			n.spawn(func() { n.evacuateServers(ctx, servers) })
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) gatherLeaving(ctx context.Context, first fleet.VM) []fleet.VM {
	servers := []fleet.VM{first}
	window := n.clock.After(noticeWindow)
	for {
		select {
		case vm := <-n.leavingServers:
			servers = append(servers, vm)
		case <-window:
			return servers
		case <-ctx.Done():
			return servers
		}
	}
}

// leavingAttempt is a running attempt on a leaving server. The server stops at
// leaveDeadline.
type leavingAttempt struct {
	run           *requestRun
	attempt       runningAttempt
	server        fleet.VM
	leaveDeadline time.Time
}

func (n *Node) evacuateServers(ctx context.Context, servers []fleet.VM) {
	now := n.clock.Now()
	var attempts []leavingAttempt
	var streams []evacuation.Stream
	for _, vm := range servers {
		leaveDeadline := vm.LeaveDeadline
		if leaveDeadline.IsZero() {
			leaveDeadline = now.Add(defaultNotice)
		}
		for r, a := range n.runningAttempts.onServer(vm.ID) {
			tokens, _ := r.req.Snapshot()
			streams = append(streams, evacuation.Stream{
				ID:              len(attempts),
				Server:          vm.ID,
				RemainingNotice: leaveDeadline.Sub(now),
				CachedTokens:    r.promptTokens + len(tokens),
				UncachedTokens:  r.promptTokens + len(tokens),
				RemainingTokens: r.req.MaxTokens - len(tokens),
			})
			attempts = append(attempts, leavingAttempt{run: r, attempt: a, server: vm, leaveDeadline: leaveDeadline})
		}
	}
	steps := evacuation.Plan(streams, n.evacuationRates())
	klog.Infof("entry: evacuation planned servers=%d streams=%d", len(servers), len(steps))
	n.executePlan(ctx, steps, attempts)
}

// executePlan runs a plan. The transfers of each server and the prefills of all
// servers run in order, each on evacuationLanes lanes. Streams that stay are
// moved at the end of the notice if they are still running.
func (n *Node) executePlan(ctx context.Context, steps []evacuation.Step, attempts []leavingAttempt) {
	lanes := map[string]chan leavingAttempt{}
	var work sync.WaitGroup
	for _, s := range steps {
		a := attempts[s.ID]
		n.metrics.evacuatedStreams.WithLabelValues(s.Method.String()).Inc()
		switch s.Method {
		case evacuation.Transfer:
			n.laneFor(ctx, lanes, &work, s.Server, len(steps), n.moveWithCache) <- a
		case evacuation.Prefill:
			n.laneFor(ctx, lanes, &work, prefillLane, len(steps), n.moveWithoutCache) <- a
		case evacuation.Stay:
			work.Go(func() { n.moveAtNoticeEnd(ctx, a) })
		}
	}
	for _, lane := range lanes {
		close(lane)
	}
	work.Wait()
}

// prefillLane is the name of the lanes for prefills. It differs from all server ids.
const prefillLane = ""

// laneFor returns the queue with the given name. It creates the queue and
// starts its lanes on first use.
func (n *Node) laneFor(ctx context.Context, lanes map[string]chan leavingAttempt, work *sync.WaitGroup, name string, size int, f func(context.Context, leavingAttempt)) chan<- leavingAttempt {
	if lane, ok := lanes[name]; ok {
		return lane
	}
	lane := make(chan leavingAttempt, size)
	lanes[name] = lane
	for range evacuationLanes {
		work.Go(func() {
			for a := range lane {
				f(ctx, a)
			}
		})
	}
	return lane
}

func (n *Node) moveWithCache(ctx context.Context, a leavingAttempt) {
	n.moveStream(ctx, a, n.transferCache(ctx, a))
}

func (n *Node) moveWithoutCache(ctx context.Context, a leavingAttempt) {
	n.moveStream(ctx, a, nil)
}

// moveAtNoticeEnd moves a stream that was expected to end within the notice but
// is still running shortly before the notice ends.
func (n *Node) moveAtNoticeEnd(ctx context.Context, a leavingAttempt) {
	select {
	case <-n.clock.After(a.leaveDeadline.Add(-leaveMargin).Sub(n.clock.Now())):
		n.moveStream(ctx, a, nil)
	case <-a.run.req.Done():
	case <-ctx.Done():
	}
}

// transferCache copies a stream's KV cache to the server that will continue it.
// It returns nil on failure; the stream is then prefilled on another server.
func (n *Node) transferCache(ctx context.Context, a leavingAttempt) *presetServer {
	ctx, cancel := context.WithTimeout(ctx, max(a.leaveDeadline.Sub(n.clock.Now()), time.Millisecond))
	defer cancel()
	var to *fleet.Server
	err := a.run.runCommand(ctx, func(context.Context) { to = a.run.chooseServer(len(a.run.core.Tokens())) })
	if err != nil || to == nil {
		return nil
	}
	cache, err := n.deps.Engine.ExportKV(ctx, a.server.Address, a.attempt.name)
	if err == nil {
		err = n.importKV(ctx, a.server, to, cache)
	}
	if err != nil {
		klog.V(1).Infof("entry: KV cache transfer failed key=%s from=%s to=%s err=%q", a.run.req.ID.Key, a.server.ID, to.ID, err)
		return nil
	}
	return &presetServer{id: to.ID, kvHandle: cache.Handle}
}

func (n *Node) importKV(ctx context.Context, from fleet.VM, to *fleet.Server, cache ports.KVCache) error {
	return n.deps.Engine.ImportKV(ctx, to.Address, from.Address, cache)
}

// moveStream continues a stream on next, or on the server chosen by the router
// if next is nil. If no server can take it, it stays until its own server
// stops.
func (n *Node) moveStream(ctx context.Context, a leavingAttempt, next *presetServer) {
	r := a.run
	_ = r.runCommand(ctx, func(ctx context.Context) {
		if r.core.Ended() || r.core.Attempt() != a.attempt.number {
			return
		}
		if next == nil {
			to := r.chooseServer(len(r.core.Tokens()))
			if to == nil {
				return
			}
			next = &presetServer{id: to.ID}
		}
		n.metrics.restartTokens.Add(float64(r.promptTokens + len(r.core.Tokens())))
		r.preset = next
		r.retrying = false
		r.execute(ctx, r.core.Step(answer.Move{Attempt: a.attempt.number}))
	})
}
