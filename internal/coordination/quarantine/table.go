package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxContents bounds the units with losses in a table. Beyond it, a unit that is not
	// quarantined makes room while these take more than half of the table, and otherwise
	// the one that was quarantined first.
	maxContents = 4096
	// maxRecent bounds the units in each half of the recently served ones.
	maxRecent = 4096
	// recentPeriod is the time after which the older half of the recently served
	// contents is dropped.
	recentPeriod = 15 * time.Second
	// innocentCredit is the credit from which a VM vouches for a content. Each answer
	// adds 1, up to maxCredit, and each loss subtracts lossCost.
	innocentCredit = 8
	maxCredit      = 32
	minCredit      = -12
	lossCost       = 3
	// vouchPeriod is the time for which a content is not quarantined after an answer
	// with which a VM vouched for it, vouchInterval the minimum time between two such
	// answers that it reports.
	vouchPeriod   = 10 * time.Second
	vouchInterval = 2 * time.Second
	// ratePeriod is half of the time over which the losses of a service's other
	// contents are counted.
	ratePeriod = 5 * time.Second
	// minRateSamples and maxOthersLost bound the share of other contents that may
	// be interrupted too: beyond it, an interruption says nothing about a content.
	minRateSamples = 4
	maxOthersLost  = 0.25
	// startSlack bounds the difference between the clocks of a server and of a VM.
	startSlack = 500 * time.Millisecond
	// maxUnresolved bounds the interruptions that wait for news of their server, and
	// unresolvedTimeout the time for which they wait after Loss.RestartBy.
	maxUnresolved     = 4096
	unresolvedTimeout = 30 * time.Second
	// urgentSends is the number of digests that carry an event of a content with at
	// least endedWeight. relayedSends is that number for events received from other
	// VMs and for other contents.
	urgentSends  = 5
	relayedSends = 2
	// maxOutgoingEvents bounds the events in a digest, except in the first entry.
	maxOutgoingEvents = 32
	// relayDelay is the time after which one VM stores what others should have stored.
	relayDelay = 2 * time.Second
	// sweepOfferPeriods is the number of digests between two that repeat an entry
	// without news.
	sweepOfferPeriods = 5
)

// Decision is the result of Check.
type Decision struct {
	// Refused is true if the content must not be sent to a server.
	Refused bool
	// TrialDue is true if a refused content may be sent to one server, once the trial
	// is recorded in the store.
	TrialDue bool
	// Status is that of the content's entry, and Source the origin of its last news.
	Status
	Source string
}

type record struct {
	Entry
	// weight is the weight of the losses, at most quarantineWeight.
	weight int
	// evidence follows from the events, and verdict from those of all units.
	evidence evidence
	verdict  verdict
	source   string
	// unwritten is true while the store may lack events that this VM observed.
	unwritten bool
	// sends is the number of digests that have to carry the entry.
	sends int
}

// Loss is an attempt that was lost with its server, or whose answer broke off.
type Loss struct {
	Content uint64
	// Parts are the shared parts of the request's prompt.
	Parts   []Part
	Service string
	// Server is the hash of the server's ID.
	Server uint32
	// Kind is Ended or Interrupted.
	Kind Kind
	At   time.Time
	// RestartBy is the latest start of a new process of the server which shows that an
	// interruption was an end. A server that listened at some time either had not
	// ended or had restarted by then.
	RestartBy time.Time
	// Unconfirmed is set if the server may have been silent only. The loss then counts only
	// if RecordRestart shows that the server ended.
	Unconfirmed bool
}

// lossRate counts the contents of a service that were answered and those that were
// interrupted, in two periods.
type lossRate struct {
	startedAt time.Time
	counts    [2]struct {
		answered int
		lost     map[uint64]bool
	}
}

// Table holds the units with losses that one VM knows. It is safe for
// concurrent use. Its lock is a leaf.
type Table struct {
	mu      sync.Mutex
	records map[uint64]*record
	// credits holds the credits of recently served contents in two halves, by age.
	credits          [2]map[uint64]credit
	creditsStartedAt time.Time
	rates            map[string]*lossRate
	// unresolved holds interruptions that may turn out to be ends.
	unresolved []Loss
	// storedIn is the StoredIn of entries that the store holds now.
	storedIn uint64
	periods  int
	offered  uint64
	// unjudged is set if evidence has changed since the last judgement, and verdicts
	// holds those that have changed since TakeVerdicts.
	unjudged bool
	verdicts []Verdict
	// ends are the servers' ends of the last time, as seen with any part.
	ends []Event
}

// credit is the credit of a content, with the time of its last answer.
type credit struct {
	value          int
	answeredMillis int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[uint64]*record{}, credits: [2]map[uint64]credit{{}, {}}, rates: map[string]*lossRate{}, storedIn: 1}
}

// Check decides whether a content may be sent to a server of the service.
func (t *Table) Check(content uint64, service string, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(content, now)
	if r == nil || r.Dimension != Content {
		return Decision{}
	}
	d := Decision{Status: r.Status(), Source: r.source}
	d.Refused = r.isQuarantined(!t.othersAreLost(service, content, now)) && !t.isInnocent(r, now)
	if d.Refused {
		at, ok := r.nextTrialMillis()
		d.TrialDue = ok && now.UnixMilli() >= at
	}
	return d
}

// isInnocent reports whether servers answer the content, on this VM or on one that
// has vouched for it.
func (t *Table) isInnocent(r *record, now time.Time) bool {
	vouched := r.VouchedMillis
	if c := t.creditOf(r.Content, now); c.value >= innocentCredit {
		vouched = max(vouched, c.answeredMillis)
	}
	return now.UnixMilli()-vouched <= millis(vouchPeriod)
}

// record returns the record of a content without expired events, or nil if there is
// none.
func (t *Table) record(content uint64, now time.Time) *record {
	r := t.records[content]
	if r == nil {
		return nil
	}
	dropped := r.dropExpired(now.UnixMilli())
	if len(r.Events) == 0 && now.UnixMilli()-r.VouchedMillis > millis(vouchRetention) {
		delete(t.records, content)
		t.unjudged = true
		return nil
	}
	if dropped {
		t.unjudged = true
		r.updateWeight()
	}
	return r
}

func (t *Table) ensureRecord(content uint64, now time.Time) *record {
	if r := t.record(content, now); r != nil {
		return r
	}
	if len(t.records) >= maxContents {
		t.evict()
	}
	r := &record{Entry: Entry{Content: content}}
	t.records[content] = r
	return r
}

func (t *Table) evict() {
	order := func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.lastAtMillis(), b.lastAtMillis()), cmp.Compare(a.Content, b.Content))
	}
	var leastSuspicious, oldest *record
	others := 0
	for _, r := range t.records {
		if r.isOrWasQuarantined() {
			if oldest == nil || order(r, oldest) < 0 {
				oldest = r
			}
			continue
		}
		others++
		if leastSuspicious == nil || order(r, leastSuspicious) < 0 {
			leastSuspicious = r
		}
	}
	victim := leastSuspicious
	if others < maxContents/2 && oldest != nil {
		victim = oldest
	}
	delete(t.records, victim.Content)
}

// isOrWasQuarantined reports whether the content is or was quarantined, perhaps only on VMs on
// which interruptions count.
func (r *record) isOrWasQuarantined() bool {
	if r.Dimension == PromptPart {
		return r.verdict.quarantined || r.Generation > 0 || r.StoredIn > 0
	}
	return r.weight >= quarantineWeight || r.Generation > 0
}

func (r *record) updateWeight() {
	r.evidence = r.Entry.evidence()
	if r.Dimension == PromptPart {
		r.weight = min(r.evidence.suspicion*endedWeight/partEndWeight, quarantineWeight)
		return
	}
	c := r.losses()
	r.weight = min(c.ended*endedWeight+c.interrupted*interruptedWeight, quarantineWeight)
}

// urgentWeight is the weight from which news of the unit is repeated urgently.
func (r *record) urgentWeight() int {
	if r.Dimension == PromptPart {
		return 2 * endedWeight
	}
	return endedWeight
}

// update follows a change of the entry.
func (r *record) update(source string, sends int) {
	r.updateWeight()
	if r.weight < r.urgentWeight() && r.Generation == 0 {
		sends = min(sends, relayedSends)
	}
	r.source, r.sends = source, max(r.sends, sends)
	r.unwritten = r.unwritten || source == SourceSelf
}

// RecordAnswer records that a server answered the content completely.
func (t *Table) RecordAnswer(content uint64, service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addCredit(content, 1, now)
	t.credits[0][content] = credit{t.credits[0][content].value, now.UnixMilli()}
	t.rate(service, now).counts[0].answered++
	if r := t.record(content, now); r != nil {
		t.vouch(r, now)
	}
}

// vouch vouches for a content that has enough credit.
func (t *Table) vouch(r *record, now time.Time) {
	if r.Dimension == PromptPart {
		t.addPartAnswer(r, now)
		return
	}
	c := t.creditOf(r.Content, now)
	if c.value < innocentCredit || c.answeredMillis-r.VouchedMillis < millis(vouchInterval) {
		return
	}
	r.VouchedMillis = c.answeredMillis
	r.updateWeight()
	r.sends = max(r.sends, relayedSends)
}

// RecordLoss records a loss. An interruption does not count while the answers of the
// service's other contents break off too, but it becomes an end if RecordRestart shows
// that the server ended. RecordLoss reports whether the loss counted and was new.
func (t *Table) RecordLoss(l Loss, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.Kind == Interrupted {
		if len(t.unresolved) >= maxUnresolved {
			t.unresolved = t.unresolved[1:]
		}
		t.unresolved = append(t.unresolved, l)
	}
	if l.Unconfirmed {
		return false
	}
	t.addCredit(l.Content, -lossCost, now)
	if l.Kind == Ended {
		t.recordPartEnds(l, now)
	}
	if l.Kind == Interrupted {
		t.rate(l.Service, now).counts[0].lost[l.Content] = true
		if t.othersAreLost(l.Service, l.Content, now) {
			return false
		}
	}
	return t.addEvent(l.Content, Event{Kind: l.Kind, Server: l.Server, AtMillis: l.At.UnixMilli()}, now)
}

func (t *Table) addEvent(content uint64, ev Event, now time.Time) bool {
	r := t.ensureRecord(content, now)
	if !r.add(ev) {
		return false
	}
	t.unjudged = true
	r.update(SourceSelf, urgentSends)
	return true
}

// SourceSelf is the source of events that this VM has observed.
const SourceSelf = "self"

// RecordRestart records that a server's process started, and returns the contents
// whose losses are attributed to the end of the previous one.
func (t *Table) RecordRestart(server uint32, startedAt, now time.Time) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var contents []uint64
	t.unresolved = slices.DeleteFunc(t.unresolved, func(l Loss) bool {
		if l.Server != server || startedAt.Before(l.At) || startedAt.After(l.RestartBy.Add(startSlack)) {
			return now.Sub(l.RestartBy) > unresolvedTimeout
		}
		t.recordPartEnds(l, now)
		if t.addEvent(l.Content, Event{Kind: Ended, Server: server, AtMillis: l.At.UnixMilli()}, now) {
			contents = append(contents, l.Content)
		}
		return true
	})
	return contents
}

// TrialEntry returns the content's entry with a trial that starts now.
func (t *Table) TrialEntry(content uint64, now time.Time) Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := Entry{Content: content}
	if r := t.record(content, now); r != nil {
		e = r.clone()
	}
	e.StoredIn = t.storedIn
	e.add(Event{Kind: TrialStarted, AtMillis: now.UnixMilli()})
	return e
}

// isQuarantined reports whether a unit is quarantined on this VM, interruptions included.
func (t *Table) isQuarantined(r *record) bool {
	if r.Dimension == PromptPart {
		t.judge()
		return r.verdict.quarantined
	}
	return r.Entry.isQuarantined(true)
}

// IsTrialDue reports whether a trial of all these units is due.
func (t *Table) IsTrialDue(units []uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, unit := range units {
		r := t.record(unit, now)
		if r == nil || !t.isQuarantined(r) {
			return false
		}
		if at, ok := r.nextTrialMillis(); !ok || now.UnixMilli() < at {
			return false
		}
	}
	return true
}

// StartTrials records that trials of the units start now.
func (t *Table) StartTrials(units []uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, unit := range units {
		t.addEvent(unit, Event{Kind: TrialStarted, AtMillis: now.UnixMilli()}, now)
	}
}

// Entry returns the entry of a unit. ok is false if the table has none.
func (t *Table) Entry(unit uint64, now time.Time) (e Entry, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(unit, now)
	if r == nil {
		return Entry{}, false
	}
	return r.clone(), true
}

func (e *Entry) clone() Entry {
	c := *e
	c.Events = slices.Clone(e.Events)
	return c
}

// RecordTrialPassed records that the server of a trial answered completely. It
// reports whether that lifted the quarantine.
func (t *Table) RecordTrialPassed(content uint64, now time.Time) (lifted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.addEvent(content, Event{Kind: TrialPassed, AtMillis: now.UnixMilli()}, now) {
		return false
	}
	r := t.records[content]
	if r.trials().passedInRow < trialPasses {
		return false
	}
	r.Entry = r.Lift(now)
	t.unjudged = true
	r.update(SourceSelf, urgentSends)
	return true
}

// LostServers returns the hashes of the servers that were lost while they ran the
// units.
func (t *Table) LostServers(units []uint64, now time.Time) map[uint32]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	servers := map[uint32]bool{}
	for _, unit := range units {
		r := t.record(unit, now)
		if r == nil {
			continue
		}
		for _, ev := range r.Events {
			if ev.isLoss() {
				servers[ev.Server] = true
			}
		}
	}
	return servers
}

// Merge merges entries received from source. It returns the contents that changed.
func (t *Table) Merge(entries []Entry, source string, now time.Time) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []uint64
	for i := range entries {
		e := entries[i].sanitized(now.UnixMilli())
		if e.Dimension > PromptPart || len(e.Events) == 0 && t.records[e.Content] == nil {
			continue
		}
		r := t.ensureRecord(e.Content, now)
		if r.merge(&e) {
			t.unjudged = true
			if r.Dimension == PromptPart {
				t.noteEnds(e.Events, now)
			}
			r.update(source, relayedSends)
			t.vouch(r, now)
			changed = append(changed, e.Content)
		}
	}
	return changed
}

// sanitized returns the entry without events that are expired, in the future or of
// an unknown kind.
func (e *Entry) sanitized(nowMillis int64) Entry {
	c := e.clone()
	c.Name = c.Name[:min(len(c.Name), MaxName)]
	c.VouchedMillis = min(c.VouchedMillis, nowMillis)
	c.Events = slices.DeleteFunc(c.Events, func(ev Event) bool {
		return ev.Kind < Interrupted || ev.Kind >= kindCount || ev.AtMillis > nowMillis+millis(maxClockSkew) || nowMillis-ev.AtMillis > millis(Retention)
	})
	c.sort()
	return c
}

// Outgoing returns at most limit entries for the next digest: those with news, the most
// suspicious first, and from time to time one without.
func (t *Table) Outgoing(limit int) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge()
	t.periods++
	var news []*record
	for _, r := range t.records {
		if r.sends > 0 {
			news = append(news, r)
		}
	}
	slices.SortFunc(news, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(b.sends, a.sends), cmp.Compare(a.Content, b.Content))
	})
	var out []Entry
	events := 0
	for _, r := range news[:min(len(news), limit)] {
		if events += len(r.Events); events > maxOutgoingEvents && len(out) > 0 {
			break
		}
		r.sends--
		out = append(out, r.clone())
	}
	if len(out) < limit && t.periods%sweepOfferPeriods == 0 {
		if r := t.nextOffer(); r != nil {
			out = append(out, r.clone())
		}
	}
	return out
}

// nextOffer returns the quarantined content that follows the last one returned, in
// the order of their hashes, or nil if there is none.
func (t *Table) nextOffer() *record {
	var next, first *record
	for _, r := range t.records {
		if !r.isOrWasQuarantined() {
			continue
		}
		if first == nil || r.Content < first.Content {
			first = r
		}
		if r.Content > t.offered && (next == nil || r.Content < next.Content) {
			next = r
		}
	}
	if next == nil {
		next = first
	}
	if next != nil {
		t.offered = next.Content
	}
	return next
}

// ResendAll makes the next digests carry all entries, for a peer that may have
// missed some.
func (t *Table) ResendAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		r.sends = max(r.sends, relayedSends)
	}
}

// SetEra sets the era of the store. What it held in earlier ones may be lost.
func (t *Table) SetEra(era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storedIn = max(t.storedIn, era+1)
}

// Unstored returns the entries that this VM has to write to the store: those with
// own events that the store lacks, if the content is or was quarantined or isolated
// is set. If forOthers is set, it also returns the quarantined contents that no VM
// has stored relayDelay after the last event. Innocent contents are left out.
func (t *Table) Unstored(isolated, forOthers bool, now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge()
	var out []Entry
	for _, r := range t.records {
		nowMillis := now.UnixMilli()
		if r.Dimension == Content && t.isInnocent(r, now) {
			continue
		}
		overdue := forOthers && r.StoredIn < t.storedIn && nowMillis-r.lastAtMillis() > millis(relayDelay)
		if r.unwritten && isolated && (r.Dimension == Content || r.weight > 0) || (r.unwritten || overdue) && r.isOrWasQuarantined() {
			out = append(out, r.clone())
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Content, b.Content) })
	return out
}

// MarkStored records that the store holds the entries, as returned by Unstored.
func (t *Table) MarkStored(entries []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range entries {
		r := t.records[entries[i].Content]
		if r == nil || r.Generation != entries[i].Generation || !slices.Equal(r.Events, entries[i].Events) {
			continue
		}
		r.unwritten = false
		if r.isOrWasQuarantined() && r.StoredIn < t.storedIn {
			r.StoredIn = t.storedIn
			r.sends = max(r.sends, relayedSends)
		}
	}
}

// Size returns the number of contents with losses, and of those that are
// quarantined.
func (t *Table) Size() (contents, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if r.Dimension != Content {
			continue
		}
		contents++
		if r.weight >= relapseWeight && r.isQuarantined(true) {
			quarantined++
		}
	}
	return contents, quarantined
}

// Sweep drops expired events.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for content := range t.records {
		t.record(content, now)
	}
}

func (t *Table) addCredit(content uint64, change int, now time.Time) {
	c := t.creditOf(content, now)
	c.value = min(max(c.value+change, minCredit), maxCredit)
	if _, ok := t.credits[0][content]; !ok && len(t.credits[0]) >= maxRecent {
		t.rotateCredits(now)
	}
	t.credits[0][content] = c
}

func (t *Table) rotateCredits(now time.Time) {
	t.credits = [2]map[uint64]credit{{}, t.credits[0]}
	t.creditsStartedAt = now
}

func (t *Table) creditOf(content uint64, now time.Time) credit {
	if now.Sub(t.creditsStartedAt) > recentPeriod {
		if now.Sub(t.creditsStartedAt) > 2*recentPeriod {
			t.credits[0] = map[uint64]credit{}
		}
		t.rotateCredits(now)
	}
	if c, ok := t.credits[0][content]; ok {
		return c
	}
	return t.credits[1][content]
}

func (t *Table) rate(service string, now time.Time) *lossRate {
	r := t.rates[service]
	if r == nil {
		r = &lossRate{}
		t.rates[service] = r
	}
	if now.Sub(r.startedAt) > ratePeriod {
		if now.Sub(r.startedAt) > 2*ratePeriod {
			r.counts[0].answered, r.counts[0].lost = 0, nil
		}
		r.counts[1] = r.counts[0]
		r.counts[0].answered, r.counts[0].lost = 0, map[uint64]bool{}
		r.startedAt = now
	}
	return r
}

// othersAreLost reports whether the answers of a service's other contents are lost
// too, so that the cause is not the content.
func (t *Table) othersAreLost(service string, content uint64, now time.Time) bool {
	r := t.rate(service, now)
	answered, lost := 0, 0
	for _, c := range r.counts {
		answered += c.answered
		lost += len(c.lost)
		if c.lost[content] {
			lost--
		}
	}
	return answered+lost >= minRateSamples && float64(lost) > maxOthersLost*float64(answered+lost)
}
