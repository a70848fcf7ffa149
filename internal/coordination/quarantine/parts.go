package quarantine

import (
	"slices"
	"time"
)

// A server's end loses all requests that ran there, and only one of their prompts' parts
// may be the cause. Parts are therefore compared with each other: a part is quarantined
// for ends that no other part or content lost there explains better.

// Part is a part of a prompt that several requests share.
type Part struct {
	// Hash identifies the part, as Entry.Content does.
	Hash uint64
	Name string
}

// MaxName bounds the bytes of the name of an Entry.
const MaxName = 32

const (
	// partWeight is the suspicion at which a part is quarantined, and partRelapseWeight
	// replaces it after a quarantine was lifted. doubtWeight is added if another part was lost
	// with the same servers and is as suspicious, if only one server was lost, or if this
	// VM has innocentCredit for the part.
	partWeight        = 4 * partEndWeight
	partRelapseWeight = 2 * partEndWeight
	doubtWeight       = partEndWeight
	// doubtWeight is also added for each endsElsewhere other servers that end for no known
	// cause, at most maxDoubts times.
	endsElsewhere = 2
	maxDoubts     = 4
	// endRetention is the time for which ends are remembered for that, and maxEnds bounds
	// their number.
	endRetention = time.Minute
	maxEnds      = 256
	// keepWeight is subtracted while the part is quarantined on this VM, and retryWeight
	// for requests that have lost a server already.
	keepWeight  = partEndWeight
	retryWeight = partEndWeight
	// partEndWeight is the weight of a server's end, and answeredWeight that of an answer
	// against it.
	partEndWeight  = 3
	answeredWeight = 1
	// burstWindow is the time within which the ends of any number of servers weigh at
	// most maxBurstWeight: they may have a cause in common, such as the loss of a rack.
	burstWindow    = 500 * time.Millisecond
	maxBurstWeight = 3 * partEndWeight
	// minExplainingWeight is the least suspicion of a unit that explains the loss of
	// another one.
	minExplainingWeight = 2 * partEndWeight
	// maxPurityDifference is the difference between the shares of losses among the losses and
	// answers of two units up to which both are taken for equal.
	maxPurityDifference = 0.15
	// maxAnswers bounds the answers of an entry.
	maxAnswers = 12
	// vouchRetention is the time after which an entry without events is forgotten.
	vouchRetention = time.Minute
)

// evidence is what an entry's events say about its unit, since the answers last
// outweighed the losses.
type evidence struct {
	// suspicion is the weight of the losses less that of the answers.
	suspicion int
	// ends are the losses, at most one for each server within sameLossWindow.
	ends     []Event
	answered int
}

// purity returns the share of losses among losses and answers.
func (v *evidence) purity() float64 {
	if len(v.ends) == 0 {
		return 0
	}
	return float64(len(v.ends)) / float64(len(v.ends)+v.answered)
}

// servers returns the number of different servers lost.
func (v *evidence) servers() int {
	var servers []uint32
	for _, ev := range v.ends {
		if !slices.Contains(servers, ev.Server) {
			servers = append(servers, ev.Server)
		}
	}
	return len(servers)
}

// hasEnd reports whether the loss of a server is among the ends.
func (v *evidence) hasEnd(ev Event) bool {
	return slices.ContainsFunc(v.ends, func(x Event) bool { return x.isSameLoss(ev) })
}

func (e Event) isSameLoss(other Event) bool {
	distance := e.AtMillis - other.AtMillis
	return e.Server == other.Server && max(distance, -distance) < millis(sameLossWindow)
}

// evidence evaluates the events of a part, or the ends of a content.
func (e *Entry) evidence() evidence {
	var v evidence
	var burstStart int64
	burstWeight := 0
	since := e.countsSince()
	for _, ev := range e.Events {
		if ev.AtMillis <= since {
			continue
		}
		switch ev.Kind {
		case Ended:
			if v.hasEnd(ev) {
				continue
			}
			if ev.AtMillis-burstStart >= millis(burstWindow) {
				burstStart, burstWeight = ev.AtMillis, 0
			}
			weight := min(partEndWeight, maxBurstWeight-burstWeight)
			burstWeight += weight
			v.suspicion += weight
			v.ends = append(v.ends, ev)
		case Answered:
			v.answered++
			if v.suspicion -= answeredWeight; v.suspicion <= 0 {
				v = evidence{}
			}
		}
	}
	return v
}

// dropVouched drops the losses and answers of a part that no longer count, and the
// oldest answers beyond maxAnswers. Losses are dropped by slots, as in dropOldLosses.
func (e *Entry) dropVouched() {
	answers := 0
	for _, ev := range e.Events {
		if ev.Kind == Answered {
			answers++
		}
	}
	vouchedSlot := Event{AtMillis: e.VouchedMillis}.lossSlot()
	e.Events = slices.DeleteFunc(e.Events, func(ev Event) bool {
		if ev.Kind == Answered {
			answers--
			return answers >= maxAnswers || ev.AtMillis <= e.VouchedMillis
		}
		return ev.isLoss() && ev.lossSlot() < vouchedSlot
	})
}

// explains reports whether a unit with evidence v is the likelier cause of losses that it
// shares with a part with evidence w. narrower is true if the unit is a content.
func (v *evidence) explains(w *evidence, narrower bool) bool {
	if v.suspicion < minExplainingWeight {
		return false
	}
	difference := v.purity() - w.purity()
	return difference > maxPurityDifference && 2*v.suspicion >= w.suspicion ||
		difference >= -maxPurityDifference && (v.suspicion > w.suspicion || narrower && v.suspicion == w.suspicion)
}

// Verdict is what a table concludes about a part.
type Verdict struct {
	Part
	Quarantined bool
	// Ended is the number of servers' ends that count, Explained the number of those that
	// another unit explains, and Answered the number of answers against them.
	Ended, Explained, Answered int
	Source                     string
}

// verdict is the state of a part's quarantine on this VM.
type verdict struct {
	// weight is the weight of the ends that no other unit explains, and required the
	// one at which the part is quarantined.
	weight, required int
	explained        int
	quarantined      bool
}

// judge updates the verdicts of all parts, if events have changed.
func (t *Table) judge() {
	if !t.unjudged {
		return
	}
	t.unjudged = false
	byServer := map[uint32][]*record{}
	for _, r := range t.records {
		for i, ev := range r.evidence.ends {
			if !slices.ContainsFunc(r.evidence.ends[:i], func(x Event) bool { return x.Server == ev.Server }) {
				byServer[ev.Server] = append(byServer[ev.Server], r)
			}
		}
	}
	ends := t.unattributedEnds(byServer)
	for _, r := range t.records {
		if r.Dimension != PromptPart {
			continue
		}
		was := r.verdict.quarantined
		r.verdict = t.verdict(r, byServer, ends)
		if r.verdict.quarantined != was {
			r.sends = max(r.sends, urgentSends)
			if len(t.verdicts) < maxContents {
				t.verdicts = append(t.verdicts, r.report())
			}
		}
	}
}

// noteEnds remembers the servers' ends among the events of a part, whether or not they
// still count against it.
func (t *Table) noteEnds(events []Event, now time.Time) {
	t.ends = slices.DeleteFunc(t.ends, func(ev Event) bool { return now.UnixMilli()-ev.AtMillis > millis(endRetention) })
	for _, ev := range events {
		if ev.Kind != Ended || now.UnixMilli()-ev.AtMillis > millis(endRetention) || slices.ContainsFunc(t.ends, ev.isSameLoss) {
			continue
		}
		if len(t.ends) >= maxEnds {
			t.ends = t.ends[1:]
		}
		t.ends = append(t.ends, ev)
	}
}

// isLikelyCause reports whether a part is the likely cause of its ends: it is quarantined, or
// suspicious and hardly ever answered.
func (r *record) isLikelyCause() bool {
	return r.Dimension == PromptPart && (r.verdict.quarantined || r.evidence.suspicion >= minExplainingWeight && r.evidence.purity() >= 1-maxPurityDifference)
}

// unattributedEnds returns the remembered ends that no part is the likely cause of.
func (t *Table) unattributedEnds(byServer map[uint32][]*record) []Event {
	var ends []Event
	for _, ev := range t.ends {
		if !slices.ContainsFunc(byServer[ev.Server], func(r *record) bool { return r.isLikelyCause() && r.evidence.hasEnd(ev) }) {
			ends = append(ends, ev)
		}
	}
	return ends
}

// elsewhere returns the number of ends since the part's first one that it has not lost.
// Those within burstWindow count once.
func (v *evidence) elsewhere(ends []Event) int {
	var counted []int64
	for _, ev := range ends {
		if ev.AtMillis <= v.ends[0].AtMillis || v.hasEnd(ev) {
			continue
		}
		if window := ev.AtMillis / millis(burstWindow); !slices.Contains(counted, window) {
			counted = append(counted, window)
		}
	}
	return len(counted)
}

// verdict returns the verdict on a part. byServer holds the units that lost a server, and
// ends those ends that are not attributed to a part yet.
func (t *Table) verdict(r *record, byServer map[uint32][]*record, ends []Event) verdict {
	v := verdict{weight: r.evidence.suspicion, required: partWeight}
	if r.Generation > 0 {
		v.required = partRelapseWeight
	}
	if r.verdict.quarantined {
		// A part that was found later may share losses with it.
		v.required -= keepWeight
	}
	if v.weight < v.required-retryWeight {
		return v
	}
	isTied := false
	for _, ev := range r.evidence.ends {
		for _, other := range byServer[ev.Server] {
			if other == r || !other.evidence.hasEnd(ev) {
				continue
			}
			if other.evidence.explains(&r.evidence, other.Dimension == Content) {
				v.explained++
				break
			}
			isTied = isTied || other.Dimension == PromptPart && other.evidence.suspicion == r.evidence.suspicion && !r.evidence.explains(&other.evidence, false)
		}
	}
	v.weight -= v.explained * partEndWeight
	if isTied || r.evidence.servers() < 2 || t.knownCredit(r.Content) >= innocentCredit {
		v.required += doubtWeight
	}
	if !r.verdict.quarantined {
		v.required += min(r.evidence.elsewhere(ends)/endsElsewhere, maxDoubts) * doubtWeight
	}
	v.quarantined = v.weight >= v.required
	return v
}

// knownCredit returns the credit of a unit that this VM has answered recently.
func (t *Table) knownCredit(unit uint64) int {
	if c, ok := t.credits[0][unit]; ok {
		return c.value
	}
	return t.credits[1][unit].value
}

func (r *record) report() Verdict {
	return Verdict{
		Part: Part{Hash: r.Content, Name: r.Name}, Quarantined: r.verdict.quarantined,
		Ended: len(r.evidence.ends), Explained: r.verdict.explained, Answered: r.evidence.answered, Source: r.source,
	}
}

// TakeVerdicts returns the parts whose quarantine has begun or ended on this VM since
// the last call.
func (t *Table) TakeVerdicts() []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge()
	taken := t.verdicts
	t.verdicts = nil
	return taken
}

// PartDecision is the result of CheckParts.
type PartDecision struct {
	// Refused holds the parts because of which the request must not be sent.
	Refused []Verdict
	// TrialDue is true if a request with the refused parts may be sent to one server, once
	// the trial is recorded in the store.
	TrialDue bool
}

// CheckParts decides whether a request with these parts may be sent to a server. isRetry
// states that it has lost a server before.
func (t *Table) CheckParts(parts []Part, isRetry bool, now time.Time) PartDecision {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := PartDecision{TrialDue: true}
	for _, part := range parts {
		r := t.record(part.Hash, now)
		if r == nil || r.Dimension != PromptPart {
			continue
		}
		t.judge()
		if !r.verdict.quarantined && (!isRetry || r.verdict.weight < r.verdict.required-retryWeight) {
			continue
		}
		d.Refused = append(d.Refused, r.report())
		at, ok := r.nextTrialMillis()
		d.TrialDue = d.TrialDue && ok && r.verdict.quarantined && now.UnixMilli() >= at
	}
	d.TrialDue = d.TrialDue && len(d.Refused) > 0
	return d
}

// PartVerdict returns the verdict on a part.
func (t *Table) PartVerdict(part Part, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(part.Hash, now)
	if r == nil {
		return Verdict{Part: part}
	}
	t.judge()
	return r.report()
}

// RecordPartAnswers records that a server answered a request with these parts
// completely.
func (t *Table) RecordPartAnswers(parts []Part, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		t.addCredit(part.Hash, 1, now)
		t.credits[0][part.Hash] = credit{t.credits[0][part.Hash].value, now.UnixMilli()}
		if r := t.record(part.Hash, now); r != nil {
			t.addPartAnswer(r, now)
		}
	}
}

// addPartAnswer adds this VM's last answer to a part that is suspicious. The VM vouches for
// the part once the answers outweigh the losses, or if it has innocentCredit.
func (t *Table) addPartAnswer(r *record, now time.Time) {
	c := t.creditOf(r.Content, now)
	if r.evidence.suspicion == 0 || c.answeredMillis <= r.evidence.ends[len(r.evidence.ends)-1].AtMillis || !r.add(Event{Kind: Answered, AtMillis: c.answeredMillis}) {
		return
	}
	if c.value >= innocentCredit || r.Entry.evidence().suspicion == 0 {
		r.VouchedMillis = c.answeredMillis
		r.dropVouched()
	}
	t.unjudged = true
	r.update(SourceSelf, relayedSends)
}

// recordPartEnd records that a server ended while it ran a request with the part.
func (t *Table) recordPartEnd(part Part, server uint32, at, now time.Time) {
	// The credit of a part is the number of answers since its last loss at this VM.
	t.addCredit(part.Hash, -t.creditOf(part.Hash, now).value, now)
	r := t.ensureRecord(part.Hash, now)
	r.Dimension, r.Name = PromptPart, part.Name
	if !r.add(Event{Kind: Ended, Server: server, AtMillis: at.UnixMilli()}) {
		return
	}
	t.unjudged = true
	t.noteEnds(r.Events, now)
	r.update(SourceSelf, urgentSends)
	t.addPartAnswer(r, now)
}

// recordPartEnds records the end of a server against the parts of a request lost there.
func (t *Table) recordPartEnds(l Loss, now time.Time) {
	for _, part := range l.Parts {
		t.recordPartEnd(part, l.Server, l.At, now)
	}
}

// PartCounts returns the number of parts with losses, and of those that are quarantined.
func (t *Table) PartCounts() (parts, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge()
	for _, r := range t.records {
		if r.Dimension != PromptPart {
			continue
		}
		parts++
		if r.verdict.quarantined {
			quarantined++
		}
	}
	return parts, quarantined
}
