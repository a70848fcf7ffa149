package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/quarantine"
	"coltsfootpath.example/coltsfootpath/internal/protocol/digest"
	"coltsfootpath.example/coltsfootpath/internal/state/storelog"
	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// contentsReadWait is the time for which the store holds a read of the topic of
	// contents open. While this node lacks digests of some VMs, partialReadWait replaces
	// it.
	contentsReadWait = 10 * time.Second
	partialReadWait  = 2500 * time.Millisecond
	// contentsWriteInterval is the interval at which new quarantines are stored.
	contentsWriteInterval = 200 * time.Millisecond
	// maxContentsPerWrite bounds the records of one append.
	maxContentsPerWrite = 256
	// maxDigestContents bounds the request contents in a digest.
	maxDigestContents = 8
	// maxServerDowntime is the time after a loss within which a new process of a server
	// that did not answer shows that it had ended.
	maxServerDowntime = 30 * time.Second
	// trialClaimTimeout bounds the calls to the store that a trial needs.
	trialClaimTimeout = 500 * time.Millisecond
	// contentsCleanupInterval is the interval at which the lease holder deletes
	// expired records.
	contentsCleanupInterval = 10 * time.Minute
)

// quarantiner applies the quarantine of request contents and of parts of prompts on one node, and keeps its
// table in agreement with the store. Peers exchange the table's entries in digests.
type quarantiner struct {
	node  *Node
	table *quarantine.Table

	mu sync.Mutex
	// end is the position up to which the topic of contents was read. listed is set once
	// all its keys were read in that era.
	end       storelog.Position
	listed    bool
	cleanupAt time.Time
	// claim is held while this node claims a trial.
	claim sync.Mutex
}

func newQuarantiner(n *Node) *quarantiner {
	return &quarantiner{node: n, table: quarantine.NewTable(), cleanupAt: n.now().Add(contentsCleanupInterval)}
}

// now returns the time of day that VMs agree on. Events of request contents are
// compared between VMs.
func (z *quarantiner) now() time.Time {
	n := z.node
	return time.UnixMilli(n.clock.unixMillis(n.now()))
}

// isQuarantined reports whether the request must not be sent. If a trial is due and
// this is the request's first attempt, the request becomes the trial.
func (q *request) isQuarantined(ctx context.Context) bool {
	z := q.node.quarantiner
	if q.isTrial() {
		return false
	}
	content := z.table.Check(q.content, q.service, z.now())
	parts := z.table.CheckParts(q.parts, q.possibleRuns > 0, z.now())
	if !content.Refused && len(parts.Refused) == 0 {
		return false
	}
	trialDue := (content.TrialDue || !content.Refused) && (parts.TrialDue || len(parts.Refused) == 0)
	if trialDue && q.possibleRuns == 0 && z.claimTrial(ctx, q, refusedUnits(q.content, content, parts)) {
		return false
	}
	if content.Refused {
		q.node.log.Failure("content", "refused", "content", contentName(q.content), "id", q.call.ID, "service", q.service, "ended", content.Ended, "interrupted", content.Interrupted,
			"last-loss", z.now().Sub(time.UnixMilli(content.LastLossMillis)), "source", content.Source)
		q.node.metrics.contentRefusals.WithLabelValues(q.service).Inc()
	}
	for _, v := range parts.Refused {
		q.node.log.Failure("content", "part-refused", append([]any{"part", v.Name, "unit", partKey(v.Part), "id", q.call.ID, "service", q.service, "retry", q.possibleRuns > 0}, partEvidence(v)...)...)
		q.node.metrics.partRefusals.WithLabelValues(q.service).Inc()
	}
	return true
}

// isTrial reports whether the request is a trial of quarantined units.
func (q *request) isTrial() bool { return len(q.trialUnits) > 0 }

// refusedUnits returns the hashes of the units because of which a request is refused.
func refusedUnits(content uint64, d quarantine.Decision, parts quarantine.PartDecision) []uint64 {
	var units []uint64
	if d.Refused {
		units = append(units, content)
	}
	for _, v := range parts.Refused {
		units = append(units, v.Hash)
	}
	return units
}

// partEvidence returns the evidence for and against a part, for log lines.
func partEvidence(v quarantine.Verdict) []any {
	return []any{"quarantined", v.Quarantined, "ended", v.Ended, "explained", v.Explained, "answered", v.Answered, "source", v.Source}
}

// claimTrial records a trial of the units in the store. At most one VM succeeds: the
// append is conditional on the offset up to which this node has read.
func (z *quarantiner) claimTrial(ctx context.Context, q *request, units []uint64) bool {
	if !z.claim.TryLock() {
		return false
	}
	defer z.claim.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, trialClaimTimeout)
	defer cancel()
	if !z.isListed() {
		return false
	}
	end, err := z.read(callCtx, 0)
	if err == nil {
		if !z.table.IsTrialDue(units, z.now()) {
			return false
		}
		entry := z.table.TrialEntry(units[0], z.now())
		if err = z.appendClaim(callCtx, ctx, encodeContent(&entry), end); err == nil {
			z.table.Merge([]quarantine.Entry{entry}, quarantine.SourceSelf, z.now())
			z.table.MarkStored([]quarantine.Entry{entry})
			z.table.StartTrials(units[1:], z.now())
			for _, unit := range units {
				z.node.log.Event("content", "trial", append(z.describe(unit), "id", q.call.ID, "service", q.service, "offset", end)...)
			}
			z.node.metrics.contentTrials.WithLabelValues("started").Inc()
			q.trialUnits = units
			return true
		}
	}
	z.node.log.Failure("content", "trial-not-recorded", append(z.describe(units[0]), "id", q.call.ID, "error", err)...)
	return false
}

// appendClaim appends a record at the position end. If no answer arrives while callCtx lasts, it
// reads whether the record is there.
func (z *quarantiner) appendClaim(callCtx, ctx context.Context, record []byte, end storelog.Position) error {
	_, err := z.node.platform.AppendAt(callCtx, digest.ContentsTopic, record, end)
	if !errors.Is(err, platform.ErrUnknown) {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, trialClaimTimeout)
	defer cancel()
	batch, readErr := z.node.platform.Read(ctx, digest.ContentsTopic, end, 0)
	switch {
	case readErr != nil:
		return errors.CombineErrors(err, readErr)
	case len(batch.Records) > 0 && bytes.Equal(batch.Records[0], record):
		return nil
	}
	return err
}

// describe returns what log lines state about a unit.
func (z *quarantiner) describe(unit uint64) []any {
	e, ok := z.table.Entry(unit, z.now())
	if ok && e.Dimension == quarantine.PromptPart {
		return []any{"part", e.Name, "unit", digest.UnitKey(&e)}
	}
	return []any{"content", contentName(unit)}
}

// recordAnswer records that the server answered the request completely. An answer that ended
// with its connection counts only if the server is known to live on serverCheckDelay later.
func (a *attempt) recordAnswer(x arrival) {
	switch {
	case a.answer.End() != upstream.EndOfConnection || x.server == serverListening && x.isEndHeld:
		a.q.recordAnswer()
	case x.server == serverListening:
		go a.q.node.contain("end-check", a.recordCheckedAnswer)
	}
}

// recordCheckedAnswer checks the server again, and records the answer or the loss.
func (a *attempt) recordCheckedAnswer() {
	q, n := a.q, a.q.node
	at := n.now()
	sleep(n.ctx, serverCheckDelay)
	switch state, _ := n.endChecks.state(n.ctx, a.placed); state {
	case serverListening:
		q.recordAnswer()
	case serverEnded:
		n.serverChecks.add(a.placed.server, loss{requestID: q.call.ID, content: q.content, parts: q.parts, outcome: outcomeAnswered, disconnected: true, at: at})
	}
}

// recordAnswer records that a server answered the request completely.
func (q *request) recordAnswer() {
	z := q.node.quarantiner
	z.table.RecordAnswer(q.content, q.service, z.now())
	z.table.RecordPartAnswers(q.parts, z.now())
	for _, unit := range q.trialUnits {
		lifted := z.table.RecordTrialPassed(unit, z.now())
		q.node.log.Event("content", "trial-passed", append(z.describe(unit), "id", q.call.ID, "server", q.lastServer, "lifted", lifted)...)
		q.node.metrics.contentTrials.WithLabelValues("passed").Inc()
	}
}

// rejectQuarantined ends a request whose content, or a part of whose prompt, is
// quarantined. Earlier runs of it may be known, so the answer does not state that it did
// not run.
func (q *request) rejectQuarantined() {
	if q.stream != nil {
		q.finish(outcomeLost, reasonQuarantined)
		return
	}
	q.reject(rejection{status: http.StatusBadGateway, reason: reasonQuarantined})
}

const reasonQuarantined = "ends-servers"

// recordLoss counts a lost attempt against its request content, if the server ended or
// interrupted its answer. An attempt that timed out on a server that still listens, or
// that was leaving, does not count; one on a server whose state is unknown, or that resets other
// connections too, counts once the server is known to have restarted.
func (z *quarantiner) recordLoss(b *backend, l loss, state serverState) {
	n, now := z.node, z.now()
	lost := quarantine.Loss{Content: l.content, Parts: l.parts, Service: b.service, Server: b.shortHash, At: now.Add(-n.now().Sub(l.at))}
	switch {
	case state == serverEnded:
		lost.Kind = quarantine.Ended
	case state == serverUnknown:
		lost.Kind, lost.RestartBy, lost.Unconfirmed = quarantine.Interrupted, now.Add(maxServerDowntime), !l.disconnected
	case state == serverResetting:
		lost.Kind, lost.RestartBy, lost.Unconfirmed = quarantine.Interrupted, now.Add(maxServerDowntime), true
	case state == serverListening && l.disconnected:
		lost.Kind, lost.RestartBy = quarantine.Interrupted, now
	}
	counted := "no"
	if lost.Kind != 0 && z.table.RecordLoss(lost, now) {
		counted = lost.Kind.String()
	}
	d := z.table.Check(l.content, b.service, now)
	n.log.Failure("content", "lost", "content", contentName(l.content), "id", l.requestID, "server", b.id, "parts", partNames(l.parts), "outcome", l.outcome.String(),
		"server-state", state.String(), "counted", counted, "ended", d.Ended, "interrupted", d.Interrupted, "quarantined", d.Refused, "suspects", z.suspects(l.parts))
	z.logVerdicts()
	n.metrics.contentLosses.WithLabelValues(b.service, state.String()).Inc()
}

// suspects formats parts with losses for log lines, as NAME:ENDED:ANSWERED.
func (z *quarantiner) suspects(parts []quarantine.Part) string {
	var text []string
	for _, part := range parts {
		if v := z.table.PartVerdict(part, z.now()); v.Ended > 0 {
			text = append(text, fmt.Sprintf("%s:%d:%d", v.Name, v.Ended, v.Answered))
		}
	}
	return strings.Join(text, ",")
}

// logVerdicts logs the parts whose quarantine has begun or ended on this node.
func (z *quarantiner) logVerdicts() {
	for _, v := range z.table.TakeVerdicts() {
		event := "part-released"
		if v.Quarantined {
			event = "part-quarantined"
		}
		z.node.log.Event("content", event, append([]any{"part", v.Name, "unit", partKey(v.Part)}, partEvidence(v)...)...)
	}
}

// recordRestart records that a process of a server started.
func (z *quarantiner) recordRestart(serverHash uint32, id string, startedMillis int64) {
	if startedMillis <= 0 {
		return
	}
	for _, content := range z.table.RecordRestart(serverHash, time.UnixMilli(startedMillis), z.now()) {
		d := z.table.Check(content, "", z.now())
		z.node.log.Failure("content", "server-ended", "content", contentName(content), "server", id, "ended", d.Ended, "interrupted", d.Interrupted, "quarantined", d.Refused)
	}
	z.logVerdicts()
}

// merge applies entries received from a peer or the store.
func (z *quarantiner) merge(entries []quarantine.Entry, source string) {
	for _, content := range z.table.Merge(entries, source, z.now()) {
		if d := z.table.Check(content, "", z.now()); d.Refused {
			z.node.log.Event("content", "quarantined", "content", contentName(content), "ended", d.Ended, "interrupted", d.Interrupted, "source", source)
		}
	}
	z.logVerdicts()
}

func encodeContent(e *quarantine.Entry) []byte {
	return platform.EncodeKeyed(digest.UnitKey(e), digest.MarshalContent(e))
}

// followStore reads the topic of contents until ctx ends. In a complete deployment only the
// nodes that read the store for others do, as news spreads by digests too.
func (z *quarantiner) followStore(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		complete := z.node.members.isComplete()
		if z.isListed() && complete && z.node.members.mayRelyOnReaders() {
			sleep(ctx, idleCheckInterval)
			continue
		}
		err := z.readNews(ctx, complete)
		switch {
		case err == nil:
			failures = 0
		case errors.IsAny(err, platform.ErrTrimmed, platform.ErrOtherEra):
			z.setListed(false)
			sleep(ctx, z.node.storeSchedule().FailurePause(1))
		default:
			if failures++; failures == 1 {
				z.node.log.Failure("store", "lost", "topic", digest.ContentsTopic, "error", err)
			}
			sleep(ctx, z.node.storeSchedule().FailurePause(failures))
		}
	}
}

// readNews lists all keys if that has not succeeded yet, and otherwise waits for new
// records. complete is true if this node receives the digests of all VMs.
func (z *quarantiner) readNews(ctx context.Context, complete bool) error {
	if z.isListed() {
		return z.holdRead(ctx, complete)
	}
	items, end, err := z.node.listNewest(ctx, digest.ContentsTopic)
	if err != nil {
		return err
	}
	var entries []quarantine.Entry
	for _, it := range items {
		entries = z.appendDecoded(entries, it.Key, it.Value, it.Position)
	}
	z.merge(entries, "store")
	z.advance(end)
	z.setListed(true)
	return nil
}

// holdRead waits for new records at the store. A long read, which may be silent, is left once
// news may not come by digests any more.
func (z *quarantiner) holdRead(ctx context.Context, complete bool) error {
	s := z.node.storeSchedule()
	wait := contentsReadWait
	if !complete {
		wait = min(partialReadWait, s.Bound/2)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+s.ReadGrace())
	defer cancel()
	var isLeft atomic.Bool
	if complete {
		watch := time.NewTicker(idleCheckInterval)
		defer watch.Stop()
		go func() {
			for {
				select {
				case <-ctx.Done():
					return
				case <-watch.C:
				}
				if !z.node.members.isComplete() {
					isLeft.Store(true)
					cancel()
					return
				}
			}
		}()
	}
	_, err := z.read(ctx, wait)
	if err != nil && isLeft.Load() {
		z.node.log.Event("store", "read-left", "topic", digest.ContentsTopic, "cause", "digests of some VMs are missing")
		z.node.metrics.readsLeft.WithLabelValues(digest.ContentsTopic, "digests-missing").Inc()
		z.node.platform.DropIdleConnections()
		return nil
	}
	return err
}

// read reads the records after the last one read, and returns the offset after them.
func (z *quarantiner) read(ctx context.Context, wait time.Duration) (end storelog.Position, err error) {
	z.mu.Lock()
	from := z.end
	z.mu.Unlock()
	batch, err := z.node.platform.Read(ctx, digest.ContentsTopic, from, wait)
	if err != nil {
		return 0, err
	}
	var entries []quarantine.Entry
	for i, record := range batch.Records {
		key, value, err := platform.DecodeKeyed(record)
		if err != nil {
			z.logUnreadable(batch.First+storelog.Position(i), err)
			continue
		}
		entries = z.appendDecoded(entries, key, value, batch.First+storelog.Position(i))
	}
	z.merge(entries, "store")
	end = batch.End()
	z.advance(end)
	return end, nil
}

// appendDecoded appends a record's entry, unless the record deletes its key or can't
// be read.
func (z *quarantiner) appendDecoded(entries []quarantine.Entry, key string, value []byte, at storelog.Position) []quarantine.Entry {
	if len(value) == 0 {
		return entries
	}
	e, err := digest.UnmarshalStoredContent(key, value, at.Era())
	if err != nil {
		z.logUnreadable(at, err)
		return entries
	}
	return append(entries, e)
}

func (z *quarantiner) logUnreadable(at storelog.Position, err error) {
	z.node.log.Failure("store", "unreadable-record", "topic", digest.ContentsTopic, "offset", at, "error", err)
	z.node.metrics.undecodableRecords.WithLabelValues(digest.ContentsTopic).Inc()
}

func (z *quarantiner) advance(end storelog.Position) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.end = max(z.end, end)
}

// isListed reports whether all keys were read in the store's present era.
func (z *quarantiner) isListed() bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.listed && z.end.Era() == z.node.storeEra()
}

func (z *quarantiner) setListed(listed bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.listed = listed
}

// writeStore stores new quarantines until ctx ends.
func (z *quarantiner) writeStore(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := z.writeUnstored(ctx)
		z.cleanUp(ctx)
		if err == nil {
			failures = 0
			sleep(ctx, contentsWriteInterval)
			continue
		}
		if failures++; failures == 1 {
			z.node.log.Failure("content", "not-stored", "error", err)
		}
		sleep(ctx, z.node.storeSchedule().FailurePause(failures))
	}
}

func (z *quarantiner) writeUnstored(ctx context.Context) error {
	z.table.SetEra(z.node.storeEra())
	_, _, holdsLease := z.node.duties.leaseState(z.node.now())
	entries := z.table.Unstored(!z.node.members.isComplete(), holdsLease, z.now())
	if len(entries) == 0 {
		return nil
	}
	entries = entries[:min(len(entries), maxContentsPerWrite)]
	records := make([][]byte, len(entries))
	for i := range entries {
		records[i] = encodeContent(&entries[i])
	}
	ctx, cancel := context.WithTimeout(ctx, z.node.storeSchedule().AppendTimeout())
	defer cancel()
	offset, err := z.node.platform.AppendAll(ctx, digest.ContentsTopic, records)
	if err != nil {
		return err
	}
	z.table.MarkStored(entries)
	z.node.log.Event("content", "stored", "contents", len(entries), "first", digest.UnitKey(&entries[0]), "offset", offset)
	return nil
}

// cleanUp deletes expired records from the store, from time to time, if this node
// holds the lease.
func (z *quarantiner) cleanUp(ctx context.Context) {
	now := z.node.now()
	if now.Before(z.cleanupAt) {
		return
	}
	z.cleanupAt = now.Add(contentsCleanupInterval)
	if _, _, holdsLease := z.node.duties.leaseState(now); !holdsLease {
		return
	}
	items, _, err := z.node.listNewest(ctx, digest.ContentsTopic)
	var records [][]byte
	for _, it := range items {
		e, decodeErr := digest.UnmarshalContent(it.Value)
		if decodeErr != nil || e.IsExpired(z.now()) {
			records = append(records, platform.EncodeKeyed(it.Key, nil))
		}
	}
	if err == nil && len(records) > 0 {
		ctx, cancel := context.WithTimeout(ctx, z.node.storeSchedule().AppendTimeout())
		defer cancel()
		_, err = z.node.platform.AppendAll(ctx, digest.ContentsTopic, records[:min(len(records), maxContentsPerWrite)])
	}
	if err != nil {
		z.node.log.Failure("content", "not-cleaned-up", "error", err)
		return
	}
	z.node.log.Event("content", "cleaned-up", "deleted", len(records))
}

// sweep removes expired entries and updates the gauges.
func (z *quarantiner) sweep() {
	z.table.Sweep(z.now())
	contents, quarantined := z.table.Size()
	z.node.metrics.contents.WithLabelValues("tracked").Set(float64(contents))
	z.node.metrics.contents.WithLabelValues("quarantined").Set(float64(quarantined))
	parts, quarantinedParts := z.table.PartCounts()
	z.node.metrics.promptParts.WithLabelValues("tracked").Set(float64(parts))
	z.node.metrics.promptParts.WithLabelValues("quarantined").Set(float64(quarantinedParts))
	z.logVerdicts()
}
