// Package quarantine decides which request contents, and which parts of prompts, are no
// longer sent to backend servers because servers end or reset their connections whenever
// they run them. Such a request may come again under a new id and at any entry VM, so
// what one VM observes is recorded for the content and for each part, and merged with the
// observations of other VMs.
//
// An Entry holds the events of one unit: a content or a part. Merging two entries is commutative and
// idempotent: VMs may receive them from peers and from the store in any order and
// any number of times.
package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Kind is the kind of an Event.
type Kind uint8

// Kinds of events.
const (
	// Interrupted means that a server's answer broke off and it is not known that the
	// server ended.
	Interrupted Kind = iota + 1
	// Ended means that a server ended while it ran the content.
	Ended
	// TrialStarted means that a quarantined content is sent to one server.
	TrialStarted
	// TrialPassed means that the server of a trial gave a complete answer.
	TrialPassed
	// Lifted means that earlier events no longer count, see Entry.Generation.
	Lifted
	// Answered means that a server answered a request with the part completely. Only
	// parts have such events.
	Answered
	kindCount
)

var kindNames = [kindCount]string{"", "interrupted", "ended", "trial-started", "trial-passed", "lifted", "answered"}

func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Dimension is the kind of unit to which the end of a server is attributed.
type Dimension uint8

// Dimensions.
const (
	// Content is a whole request content.
	Content Dimension = iota
	// PromptPart is a part of prompts, whatever else a request holds.
	PromptPart
)

func (d Dimension) String() string {
	switch d {
	case Content:
		return "content"
	case PromptPart:
		return "part"
	}
	return "unknown"
}

// Event is something that happened to a unit.
type Event struct {
	Kind Kind
	// Server is the hash of the server's ID.
	Server uint32
	// AtMillis is the Unix time in milliseconds.
	AtMillis int64
}

// Entry is the state of one unit as VMs exchange it.
type Entry struct {
	// Content is the hash of the unit. It differs between units of all dimensions.
	Content   uint64
	Dimension Dimension
	// Name is the id of a part as callers state it, empty for contents.
	Name string
	// Generation increases when the quarantine is lifted. Of two entries with
	// different generations, the older one is discarded.
	Generation uint32
	// StoredIn is the last era in which the store held a quarantine of this generation,
	// plus one; 0 if it never did.
	StoredIn uint64
	// VouchedMillis is the Unix time in milliseconds of the last answer with which a
	// VM vouched for the unit. Losses up to then do not count. 0 means never.
	VouchedMillis int64
	Events        []Event
}

const (
	// quarantineWeight is the total weight of losses at which a content is
	// quarantined: three servers that ended. relapseWeight replaces it after a
	// quarantine was lifted.
	quarantineWeight  = 6
	relapseWeight     = 2
	endedWeight       = 2
	interruptedWeight = 1
	// minLostServers is the number of different servers that must have been lost if
	// interruptions count for a part of the weight.
	minLostServers = 3
	// sameLossWindow is the time within which losses of one server count as one.
	sameLossWindow = 1500 * time.Millisecond
	// maxLosses bounds the losses of an entry.
	maxLosses = 12
	// maxTrials bounds the trials of one generation, and trialPasses is the number of
	// consecutive passed trials that lift a quarantine. A content may end only some
	// of the servers.
	maxTrials   = 3
	trialPasses = 2
	// trialTimeout is the time after which a trial without a result counts as failed.
	trialTimeout = 30 * time.Second
	// Retention is the time after which an event is forgotten.
	Retention = time.Hour
	// maxClockSkew bounds how far in the future an event may lie.
	maxClockSkew = 10 * time.Second
)

// trialDelays are the times from the last loss to a trial, by the number of failed
// trials. There is no trial after more of them.
var trialDelays = []time.Duration{5 * time.Second, 2 * time.Minute}

func millis(d time.Duration) int64 { return d.Milliseconds() }

func (e Event) isLoss() bool { return e.Kind == Ended || e.Kind == Interrupted }

// lossSlot returns the number of the sameLossWindow in which the event lies. An entry
// holds one loss for each server and slot, so that the order in which VMs receive
// losses does not matter.
func (e Event) lossSlot() int64 { return e.AtMillis / millis(sameLossWindow) }

// add adds an event and reports whether that changed the entry.
func (e *Entry) add(ev Event) bool {
	for i, x := range e.Events {
		if x == ev {
			return false
		}
		if ev.isLoss() && x.isLoss() && x.Server == ev.Server && x.lossSlot() == ev.lossSlot() {
			joined := Event{Kind: max(x.Kind, ev.Kind), Server: x.Server, AtMillis: min(x.AtMillis, ev.AtMillis)}
			if joined == x {
				return false
			}
			e.Events[i] = joined
			e.sort()
			return true
		}
	}
	e.Events = append(e.Events, ev)
	e.sort()
	e.dropOldLosses()
	if e.Dimension == PromptPart {
		e.dropVouched()
	}
	return slices.Contains(e.Events, ev)
}

func (e *Entry) sort() {
	slices.SortFunc(e.Events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.AtMillis, b.AtMillis), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Server, b.Server))
	})
}

// dropOldLosses drops the losses with the lowest slots beyond maxLosses.
func (e *Entry) dropOldLosses() {
	var losses []Event
	for _, ev := range e.Events {
		if ev.isLoss() {
			losses = append(losses, ev)
		}
	}
	if len(losses) <= maxLosses {
		return
	}
	slices.SortFunc(losses, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.lossSlot(), b.lossSlot()), cmp.Compare(a.Server, b.Server))
	})
	dropped := losses[:len(losses)-maxLosses]
	e.Events = slices.DeleteFunc(e.Events, func(ev Event) bool { return slices.Contains(dropped, ev) })
}

// merge adds the events of other and reports whether that changed the entry.
func (e *Entry) merge(other *Entry) bool {
	if other.Generation < e.Generation {
		return false
	}
	if other.Generation > e.Generation {
		*e = other.clone()
		return true
	}
	changed := other.StoredIn > e.StoredIn || other.VouchedMillis > e.VouchedMillis
	e.Dimension, e.Name = max(e.Dimension, other.Dimension), max(e.Name, other.Name)
	e.StoredIn = max(e.StoredIn, other.StoredIn)
	e.VouchedMillis = max(e.VouchedMillis, other.VouchedMillis)
	if e.Dimension == PromptPart {
		e.dropVouched()
	}
	for _, ev := range other.Events {
		changed = e.add(ev) || changed
	}
	return changed
}

// lastAtMillis returns the time of the last event of the given kinds, of any kind
// if none is given, and 0 if there is none.
func (e *Entry) lastAtMillis(kinds ...Kind) int64 {
	for _, ev := range slices.Backward(e.Events) {
		if len(kinds) == 0 || slices.Contains(kinds, ev.Kind) {
			return ev.AtMillis
		}
	}
	return 0
}

// IsExpired reports whether all events of the entry are forgotten.
func (e *Entry) IsExpired(now time.Time) bool {
	return now.UnixMilli()-e.lastAtMillis() > millis(Retention)
}

// dropExpired drops events past their retention, and reports whether there were any.
func (e *Entry) dropExpired(nowMillis int64) bool {
	kept := slices.DeleteFunc(e.Events, func(ev Event) bool { return nowMillis-ev.AtMillis > millis(Retention) })
	dropped := len(kept) < len(e.Events)
	e.Events = kept
	return dropped
}

// lossCounts are the losses of an entry by kind, and the number of different
// servers.
type lossCounts struct{ ended, interrupted, servers int }

// countsSince returns the Unix time in milliseconds up to which losses and answers do not
// count: the last answer that vouched for the unit, or the end of its quarantine. A VM may
// find out about a loss only after that.
func (e *Entry) countsSince() int64 {
	return max(e.VouchedMillis, e.lastAtMillis(Lifted))
}

// losses returns the losses since countsSince. Those of a server within sameLossWindow
// count as one: several VMs, and several requests of one VM, observe the same loss.
func (e *Entry) losses() lossCounts {
	since := e.countsSince()
	var counted []Event
	for _, ev := range e.Events {
		if !ev.isLoss() || ev.AtMillis <= since {
			continue
		}
		same := slices.IndexFunc(counted, func(x Event) bool {
			return x.Server == ev.Server && ev.AtMillis-x.AtMillis < millis(sameLossWindow)
		})
		if same < 0 {
			counted = append(counted, ev)
			continue
		}
		counted[same].Kind = max(counted[same].Kind, ev.Kind)
	}
	var c lossCounts
	var servers []uint32
	for _, ev := range counted {
		if ev.Kind == Ended {
			c.ended++
		} else {
			c.interrupted++
		}
		if !slices.Contains(servers, ev.Server) {
			servers = append(servers, ev.Server)
		}
	}
	c.servers = len(servers)
	return c
}

// isQuarantined reports whether the losses suffice for a quarantine.
// countInterrupted states whether interruptions count.
func (e *Entry) isQuarantined(countInterrupted bool) bool {
	required := quarantineWeight
	if e.Generation > 0 {
		required = relapseWeight
	}
	c := e.losses()
	if c.ended*endedWeight >= required {
		return true
	}
	return countInterrupted && c.ended*endedWeight+c.interrupted*interruptedWeight >= required &&
		(c.servers >= minLostServers || e.Generation > 0)
}

// trials is the history of an entry's trials.
type trials struct {
	started, passed int
	// passedInRow is the number of trials passed since the last loss.
	passedInRow int
	// openUntilMillis is the end of the timeout of a trial without a result, 0 if
	// there is none.
	openUntilMillis int64
}

func (e *Entry) trials() trials {
	var t trials
	for _, ev := range e.Events {
		switch ev.Kind {
		case TrialStarted:
			t.started++
			t.openUntilMillis = ev.AtMillis + millis(trialTimeout)
		case TrialPassed:
			t.passed++
			t.passedInRow++
			t.openUntilMillis = 0
		case Ended, Interrupted:
			t.passedInRow = 0
			t.openUntilMillis = 0
		}
	}
	return t
}

// nextTrialMillis returns the earliest time of the next trial. ok is false if there
// is none.
func (e *Entry) nextTrialMillis() (at int64, ok bool) {
	t := e.trials()
	failed := t.started - t.passed
	if t.started >= maxTrials || failed >= len(trialDelays) {
		return 0, false
	}
	if t.passedInRow > 0 {
		return t.openUntilMillis, true
	}
	return max(e.lastAtMillis(Ended, Interrupted)+millis(trialDelays[failed]), t.openUntilMillis), true
}

// Lift returns the entry that ends a quarantine. Events before it no longer count,
// and the next losses quarantine the unit again, sooner than the first ones did.
func (e *Entry) Lift(now time.Time) Entry {
	return Entry{Content: e.Content, Dimension: e.Dimension, Name: e.Name, Generation: e.Generation + 1, Events: []Event{{Kind: Lifted, AtMillis: now.UnixMilli()}}}
}

// Status summarises an entry.
type Status struct {
	Ended, Interrupted int
	// Answered is the number of answers to a part against its losses.
	Answered int
	// Quarantined states whether the losses suffice for a quarantine, interruptions
	// included. For a part, other units may explain them.
	Quarantined    bool
	LastLossMillis int64
}

// Status returns the entry's status.
func (e *Entry) Status() Status {
	if e.Dimension == PromptPart {
		v := e.evidence()
		required := partWeight
		if e.Generation > 0 {
			required = partRelapseWeight
		}
		return Status{Ended: len(v.ends), Answered: v.answered, Quarantined: v.suspicion >= required, LastLossMillis: e.lastAtMillis(Ended)}
	}
	c := e.losses()
	return Status{Ended: c.ended, Interrupted: c.interrupted, Quarantined: e.isQuarantined(true), LastLossMillis: e.lastAtMillis(Ended, Interrupted)}
}
