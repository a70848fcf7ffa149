package gateway

import (
	"context"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/evacuation"
	"coltsfootpath.example/coltsfootpath/internal/state/deployment"
	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
	"coltsfootpath.example/coltsfootpath/platform"
)

// A stream on a reclaimable engine that leaves goes on with its memory on another engine, if
// the engines of its service copy memory and it would not end before its engine does:
//
//   - copy: the memory is copied while the stream goes on. If that fails, nothing has changed;
//   - stop: the engine stops the stream and copies what is new;
//   - continue: the request is sent to the other engine with the name of the copy and the last
//     event that the caller has. Both engines count it as one run.
//
// If the copy is lost after the stop, the request ends like one whose engine was lost.

const (
	// assumedNotice is the time from the notice of a reclaimable engine's end until its end,
	// if the engine does not state it.
	assumedNotice = 2 * time.Second
	// reportTimeout bounds the wait for an engine's report of the time until it leaves.
	reportTimeout = 200 * time.Millisecond
	// maxReports bounds the reports that are asked for, reportInterval apart, while a server
	// whose entry was removed states no end.
	maxReports     = 3
	reportInterval = 200 * time.Millisecond
	// copyMargin is the time before an engine's end at which its copies must be complete, and
	// copyOverhead the time that a copy takes besides that of its bytes.
	copyMargin   = 300 * time.Millisecond
	copyOverhead = 30 * time.Millisecond
	// otherZoneCopyFactor is the factor on the time of a copy to another availability zone.
	otherZoneCopyFactor = 2
	// stopTimeout bounds the call that stops a stream and copies the rest of its memory.
	stopTimeout = time.Second
	// lastEventsTime is the time for which the last events of a stopped stream may still
	// arrive.
	lastEventsTime = 100 * time.Millisecond
	// dropTimeout bounds a call that frees a copy.
	dropTimeout = 300 * time.Millisecond
	// maxCopyAnswerBytes bounds the answer to a copy and a report.
	maxCopyAnswerBytes = 64 << 10
	// maxDestinations bounds the engines to which a run's memory is offered. Views of their room
	// are old, and other VMs move runs at the same time.
	maxDestinations = 3
	// overrunFactor is the length that an answer is assumed to reach over what it has produced,
	// if it is longer than predicted.
	overrunFactor = 1.5
	// concurrentCopies bounds the copies from one engine that one VM waits for at once.
	concurrentCopies = 4
)

// departure is what is known of the end of a server that has announced it.
type departure struct {
	// announced is closed once the server has announced that it leaves, or its entry was
	// removed.
	announced chan struct{}
	// copies holds a token for each copy in progress.
	copies chan struct{}

	askOnce sync.Once
	// endsAt is valid once askOnce is done. It is zero if the server does not leave: its entry
	// was removed, but it states no end.
	endsAt time.Time
}

func newDeparture() *departure {
	return &departure{announced: make(chan struct{}), copies: make(chan struct{}, concurrentCopies)}
}

// announce records that the server leaves, or that its entry was removed. The caller must hold the table's lock.
func (d *departure) announce() {
	select {
	case <-d.announced:
	default:
		close(d.announced)
	}
}

// departureEnd returns the time at which a leaving server ends, zero if it stays. It asks the
// server once.
func (n *Node) departureEnd(ctx context.Context, p *placedAttempt) time.Time {
	d := p.server.departure
	d.askOnce.Do(func() {
		noticedAt := n.now()
		report := n.askForEnd(ctx, p)
		hasAnnounced := n.backends.hasAnnouncedEnd(p.server)
		switch {
		case report.HasLeaves:
			d.endsAt = n.now().Add(time.Duration(report.LeavesMillis * float64(time.Millisecond)))
		case hasAnnounced:
			d.endsAt = noticedAt.Add(assumedNotice)
		default:
			n.log.Event("relocation", "server-stays", "server", p.server.id, "service", p.server.service)
			return
		}
		n.log.Event("relocation", "server-leaves", "server", p.server.id, "service", p.server.service, "in", d.endsAt.Sub(n.now()), "announced", hasAnnounced, "stated", report.HasLeaves)
	})
	return d.endsAt
}

// askForEnd asks a server for its report until that states when the server leaves, or the
// server has announced its end. Reports are some hundred milliseconds old.
func (n *Node) askForEnd(ctx context.Context, p *placedAttempt) (report platform.Report) {
	for i := range maxReports {
		if i > 0 {
			sleep(ctx, reportInterval)
		}
		var err error
		if report, err = n.fetchReport(ctx, p, nil); err != nil {
			n.log.Failure("relocation", "no-report", "server", p.server.id, "error", err)
		}
		if report.HasLeaves || n.backends.hasAnnouncedEnd(p.server) || ctx.Err() != nil {
			break
		}
	}
	return report
}

func (n *Node) fetchReport(ctx context.Context, p *placedAttempt, connection *upstream.Connection) (platform.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	status, body, err := n.callEngine(ctx, p.server, connection, http.MethodGet, platform.AppendReport(nil, p.info.Address, p.server.id), nil)
	switch {
	case err != nil:
		return platform.Report{}, err
	case status != http.StatusOK:
		return platform.Report{}, errors.Newf("report rejected with status %d", status)
	}
	return platform.DecodeReport(body)
}

// hasAnnouncedEnd reports whether a server has announced that it will stop. The removal of its
// entry is no announcement: entries expire while the store is unavailable.
func (t *backendTable) hasAnnouncedEnd(b *backend) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return b.leaves()
}

// callEngine makes a call that is no request of a caller, and returns the answer. It uses the
// given connection if there is one.
func (n *Node) callEngine(ctx context.Context, b *backend, connection *upstream.Connection, method string, head, body []byte) (status int, answer []byte, err error) {
	a, err := b.pool.Do(ctx, upstream.Request{
		Method: method, Head: head, Body: body, MaxIdle: maxIdleNonRepeatable, Connection: connection,
		Matches: func(_ int, h http.Header) bool { return platform.DecodeAnswer(http.StatusOK, h).ID == "" },
	})
	if err != nil {
		return 0, nil, err
	}
	defer a.Close()
	answer, err = io.ReadAll(io.LimitReader(a.Body, maxCopyAnswerBytes))
	return a.Status, answer, err
}

// relocated is the result of a relocation: the server with the copy, or the reason why there
// is none.
type relocated struct {
	placed *placedAttempt
	copy   platform.MemoryCopy
	reason string
}

// relocation moves the run of one attempt. It is used by the request's goroutine only, but for
// stopping.
type relocation struct {
	a      *attempt
	cancel context.CancelFunc
	// done receives the result. It is nil unless a relocation is in progress.
	done chan relocated
	// order is the order to stop the run.
	order *runStop
	// result is set once it was received, and settled is then the end of lastEventsTime.
	result  *relocated
	settled *time.Timer
	tried   bool
}

// leaving returns the channel that is closed once the attempt's server leaves, nil if the
// stream is not to be moved.
func (r *relocation) leaving() <-chan struct{} {
	a := r.a
	if r.tried || !a.hasEvent || !a.placed.info.Reclaimable || a.isTunneled.Load() || a.copyRate() <= 0 {
		return nil
	}
	return a.placed.server.departure.announced
}

// copyRate returns the tokens in a second that engines of the attempt's service copy, 0 if
// they don't or the request is no stream.
func (a *attempt) copyRate() float64 {
	c := a.q.node.serviceConfig(a.placed.server.service)
	if a.q.route.Kind != deployment.Stream || c == nil || c.Model == nil {
		return 0
	}
	return c.Model.CopyTokensPerSecond
}

// start starts to copy the run's memory to another server, unless another attempt may be
// about to take the request over.
func (r *relocation) start(ctx context.Context, w *silenceWatch) {
	r.tried = true
	a := r.a
	q, n := a.q, a.q.node
	if w.search != nil || w.challenger != nil {
		return
	}
	destinations := q.chooseDestinations(a)
	if len(destinations) == 0 {
		r.report("no-server")
		return
	}
	if !n.retries.TakeOptional(q.service, n.now()) {
		n.releaseExcept(destinations, nil)
		r.report("retry-budget")
		return
	}
	stream, rates := a.streamToMove(), a.copyRates()
	ctx, r.cancel = context.WithCancel(ctx)
	r.done = make(chan relocated, 1)
	r.order = &runStop{server: a.placed.server}
	q.stops = append(q.stops, r.order)
	go func() {
		result := relocated{reason: "panic"}
		n.contain("relocation", func() { result = n.relocate(ctx, a, destinations, stream, rates, r.order) })
		n.releaseExcept(destinations, result.placed)
		if result.reason != "" {
			n.retries.GiveBack(q.service, n.now())
		}
		r.done <- result
	}()
}

// releaseExcept releases the servers that are not used.
func (n *Node) releaseExcept(placed []*placedAttempt, used *placedAttempt) {
	for _, p := range placed {
		if p != used {
			n.backends.release(p)
		}
	}
}

// chooseDestinations returns servers of the same version for the run of an attempt, the best
// first.
func (q *request) chooseDestinations(a *attempt) []*placedAttempt {
	n, source := q.node, a.placed.info
	query := q.serverQuery()
	query.isReplacement = true
	query.exclude = maps.Clone(q.tried)
	query.exclude[a.placed.server.id] = true
	var destinations []*placedAttempt
	for range maxDestinations {
		p := n.backends.choose(query, n.now(), q.random)
		if p == nil {
			break
		}
		query.exclude[p.server.id] = true
		if p.info.SoftwareVersion != source.SoftwareVersion || p.info.WeightVersion != source.WeightVersion {
			n.backends.release(p)
			continue
		}
		// The copy brings the prompt.
		n.backends.endPrefill(p)
		p.choice.UncachedTokens, p.choice.FirstToken, p.choice.MinFirstToken, p.choice.MaxFirstToken = 0, 0, 0, 0
		destinations = append(destinations, p)
	}
	return destinations
}

// streamToMove describes the attempt's run for the decision. RemainingNotice is not set.
func (a *attempt) streamToMove() evacuation.Stream {
	q := a.q
	produced := int(q.lastEventID+1) * q.tokensPerEvent()
	length := q.node.backends.costs.AnswerTokens(q.costRequest(), q.node.now()).P90
	if length < float64(produced) {
		length = overrunFactor * float64(produced)
	}
	return evacuation.Stream{
		Server:          a.placed.server.id,
		CachedTokens:    q.call.PromptTokens + produced,
		UncachedTokens:  q.call.PromptTokens + produced,
		RemainingTokens: max(int(length)-produced, q.tokensPerEvent()),
	}
}

// copyRates returns what the decision assumes about the run's server and its link to one in
// another availability zone.
func (a *attempt) copyRates() evacuation.Rates {
	n := a.q.node
	rates := n.backends.costs.Rates(a.q.service, n.now())
	between := time.Duration(rates.StepMillis(n.backends.running(a.placed.server)) * float64(time.Millisecond))
	if events := a.q.lastEventID; events > 0 {
		if pace := n.now().Sub(a.progress.firstAt) / time.Duration(int(events)*a.q.tokensPerEvent()); pace > between {
			between = pace
		}
	}
	return evacuation.Rates{
		PrefillPerToken: time.Duration(rates.PrefillMillis(1) * float64(time.Millisecond)),
		BetweenTokens:   between,
		BytesPerToken:   1,
		BytesPerSecond:  a.copyRate() / otherZoneCopyFactor,
		Overhead:        copyOverhead,
		Lanes:           1,
		Margin:          copyMargin,
	}
}

// running returns the number of requests that this VM knows of at a server.
func (t *backendTable) running(b *backend) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(b.ownLoad.Running, 1)
}

// relocate decides whether to move a run, copies its memory to the first destination that has
// room for it, and stops it.
func (n *Node) relocate(ctx context.Context, a *attempt, destinations []*placedAttempt, stream evacuation.Stream, rates evacuation.Rates, order *runStop) relocated {
	endsAt := n.departureEnd(ctx, a.placed)
	if endsAt.IsZero() {
		return relocated{reason: evacuation.Stay.String()}
	}
	stream.RemainingNotice = endsAt.Sub(n.now())
	if step := evacuation.Plan([]evacuation.Stream{stream}, rates)[0]; step.Method != evacuation.Transfer {
		return relocated{reason: step.Method.String()}
	}
	source := a.placed.server
	select {
	case source.departure.copies <- struct{}{}:
		defer func() { <-source.departure.copies }()
	case <-ctx.Done():
		return relocated{reason: "ended"}
	}
	copyCtx, cancel := context.WithTimeout(ctx, endsAt.Sub(n.now()))
	defer cancel()
	var p *placedAttempt
	var c platform.MemoryCopy
	var err error
	for _, p = range destinations {
		if c, err = n.copyMemory(copyCtx, a, p); err == nil || copyCtx.Err() != nil {
			break
		}
		n.log.Event("relocation", "no-room", "id", a.q.call.ID, "server", source.id, "to", p.server.id, "error", err)
	}
	if err != nil || ctx.Err() != nil {
		return n.failedCopy(a, p, c, "copy", errors.CombineErrors(err, ctx.Err()))
	}
	c, isComplete, err := n.stopRun(ctx, a, p, order)
	if err != nil || !isComplete {
		return n.failedCopy(a, p, c, "stop", err)
	}
	return relocated{placed: p, copy: c}
}

// stopRun asks the attempt's server to stop its run and to copy the rest of its memory to p.
func (n *Node) stopRun(ctx context.Context, a *attempt, p *placedAttempt, order *runStop) (platform.MemoryCopy, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	sentAt := n.now()
	order.set(stopSent)
	c, isComplete, isAnswered, err := n.callCopy(ctx, a, p, true)
	state := stopStateOf(err, isAnswered)
	order.set(state)
	n.metrics.runStops.WithLabelValues(a.placed.server.service, state.String()).Inc()
	n.log.Event("relocation", "stop-ordered", "id", a.q.call.ID, "server", a.placed.server.id, "to", p.server.id, "state", state, "copy", c, "error", err, "took", n.now().Sub(sentAt))
	return c, isComplete, err
}

// copyMemory asks the attempt's server to copy the memory of its run to that of p.
func (n *Node) copyMemory(ctx context.Context, a *attempt, p *placedAttempt) (platform.MemoryCopy, error) {
	c, _, _, err := n.callCopy(ctx, a, p, false)
	return c, err
}

func (n *Node) callCopy(ctx context.Context, a *attempt, p *placedAttempt, final bool) (c platform.MemoryCopy, isComplete, isAnswered bool, err error) {
	head, body, err := platform.AppendCopy(nil, a.placed.info.Address, a.placed.server.id, a.q.call.ID, p.info.Address, final)
	if err != nil {
		return platform.MemoryCopy{}, false, false, errors.Mark(err, upstream.ErrNotSent)
	}
	var connection *upstream.Connection
	if final {
		// A connection that was used before may still deliver a second copy of an answer.
		pool := a.placed.server.pool
		connection, err = pool.Connect(ctx, nil)
		if errors.Is(err, upstream.ErrConnectionLimit) {
			pool.CloseIdle()
			connection, err = pool.Connect(ctx, nil)
		}
		if err != nil {
			return platform.MemoryCopy{}, false, false, err
		}
	}
	status, answer, err := n.callEngine(ctx, a.placed.server, connection, http.MethodPost, head, body)
	if err != nil {
		return platform.MemoryCopy{}, false, false, err
	}
	c, isComplete, err = platform.DecodeCopy(a.placed.info.Address, status, answer)
	return c, isComplete, true, err
}

// failedCopy logs why a run was not moved, and frees the copy that there may be.
func (n *Node) failedCopy(a *attempt, p *placedAttempt, c platform.MemoryCopy, reason string, err error) relocated {
	n.log.Failure("relocation", reason+"-failed", "id", a.q.call.ID, "server", a.placed.server.id, "to", p.server.id, "error", err)
	if c.Handle != "" {
		go n.dropCopy(a.placed.server, c)
	}
	return relocated{reason: reason + "-failed"}
}

// dropCopy frees a copy that is not used.
func (n *Node) dropCopy(source *backend, c platform.MemoryCopy) {
	n.contain("drop-copy", func() {
		ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
		defer cancel()
		if _, _, err := n.callEngine(ctx, source, nil, http.MethodDelete, platform.AppendDropCopy(nil, source.id, c), nil); err != nil {
			n.log.Failure("relocation", "drop-failed", "server", source.id, "copy", c, "error", err)
		}
	})
}

// results returns the channel that receives the result.
func (r *relocation) results() <-chan relocated {
	if r.result != nil {
		return nil
	}
	return r.done
}

// received records the result, and reports whether the run is stopped and copied.
func (r *relocation) received(result relocated) bool {
	r.result = &result
	if result.reason != "" {
		r.report(result.reason)
		return false
	}
	r.settled = time.NewTimer(lastEventsTime)
	return true
}

// lastEventsDue returns the channel that receives once the last events of the stopped stream
// have had their time.
func (r *relocation) lastEventsDue() <-chan time.Time {
	if r.settled == nil {
		return nil
	}
	return r.settled.C
}

// streamEnded returns the attempt that goes on with the run after its stream has ended, nil if
// the run was not stopped or its copy failed.
func (r *relocation) streamEnded(ctx context.Context) *attempt {
	if r.done == nil || r.order.get() == stopNotSent {
		return nil
	}
	if r.result == nil {
		select {
		case result := <-r.done:
			r.received(result)
		case <-ctx.Done():
			return nil
		}
	}
	return r.continueRun(ctx)
}

// continueRun sends the request to the server that has the copy.
func (r *relocation) continueRun(ctx context.Context) *attempt {
	if r.result == nil || r.result.reason != "" {
		return nil
	}
	a, p := r.a, r.result.placed
	n := a.q.node
	r.done = nil
	r.report("moved")
	n.log.Event("relocation", "moved", "id", a.q.call.ID, "server", a.placed.server.id, "to", p.server.id, "after", a.q.lastEventID, "copy", r.result.copy)
	return a.q.startAttemptWith(ctx, p, nil, r.result.copy.String())
}

func (r *relocation) report(end string) {
	r.a.q.node.metrics.relocations.WithLabelValues(r.a.q.service, end).Inc()
}

// stop ends a relocation whose result is not needed, and frees its copy.
func (r *relocation) stop() {
	if r.settled != nil {
		r.settled.Stop()
	}
	if r.done == nil {
		if r.cancel != nil {
			r.cancel()
		}
		return
	}
	r.cancel()
	n, source, received := r.a.q.node, r.a.placed.server, r.result
	go func() {
		result := received
		if result == nil {
			x := <-r.done
			result = &x
		}
		if result.reason == "" {
			n.backends.release(result.placed)
			n.dropCopy(source, result.copy)
		}
	}()
}
