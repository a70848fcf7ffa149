// Package freshness decides, without any I/O, how the VMs of a deployment keep their copies
// of a topic of the platform's store confirmed within a bound. A copy is confirmed as of a
// time if the store has shown no further records at that time. Some VMs, the readers, hold
// reads of the store open, which end one after another, and tell the others when they last
// did. A VM whose copy has not been confirmed for a share of the bound doubts the read that
// it holds, or what its peers say, and asks the store on a new connection. The connections
// of all held reads may be silent at the same time.
package freshness

import "time"

// Shares of the bound. A change that follows a confirmation at once passes through at most
// one wait of each kind: see TestHopsExceedBound.
const (
	// confirmShare is the period at which the reads of all readers end in turn.
	confirmShare = 0.28
	// doubtShare is the age of the last confirmation at which the first reader asks the
	// store. Each further reader waits for rankShare longer, to hear of the answer.
	doubtShare = 0.45
	rankShare  = 0.04
	// backupShare is the age at which VMs that are no readers ask the store. They do so
	// within spreadShare.
	backupShare = 0.7
	spreadShare = 0.1
	// checkShare bounds a call that the store need not hold open.
	checkShare = 0.2
	// wakeupShare is the time for which a held read goes on after a peer has reported more
	// records, as the store may answer the read at the same time.
	wakeupShare = 0.1
	// relayShare bounds a call to a peer that has read further.
	relayShare = 0.15
)

// maxHoldTime bounds the time for which the store holds a read open.
const maxHoldTime = 2500 * time.Millisecond

// maxCheckDoublings bounds the growth of the timeout of checks that fail.
const maxCheckDoublings = 3

// Role is a VM's part in reading a topic.
type Role struct {
	IsReader bool
	// Rank is the place of a reader among all Readers, from 0.
	Rank, Readers int
	// Spread is a number in [0, 1) that differs from VM to VM.
	Spread float64
}

// Schedule holds the times that follow from the bound: the time from the store's
// acknowledgement of a record within which it must be in force at all VMs.
type Schedule struct{ Bound time.Duration }

func (s Schedule) share(x float64) time.Duration { return time.Duration(x * float64(s.Bound)) }

// HoldTime returns the time for which the store should hold a reader's next read open.
// inStep is true if the reads of other readers may begin at the same time, as after a record.
func (s Schedule) HoldTime(r Role, inStep bool) time.Duration {
	turns := max(r.Readers, 1)
	if inStep {
		turns = min(r.Rank+1, turns)
	}
	return min(time.Duration(turns)*s.share(confirmShare), maxHoldTime)
}

// DoubtAge returns the age of the last confirmation at which a VM asks the store.
func (s Schedule) DoubtAge(r Role) time.Duration {
	if !r.IsReader {
		return s.share(backupShare + spreadShare*r.Spread)
	}
	return s.share(min(doubtShare+float64(r.Rank)*rankShare, backupShare))
}

// CheckTimeout bounds a call that the store need not hold open, after a number of
// consecutive failed ones.
func (s Schedule) CheckTimeout(failures int) time.Duration {
	return s.share(checkShare) << min(failures, maxCheckDoublings)
}

// WakeupGrace returns the time for which a held read goes on after a peer has reported more
// records.
func (s Schedule) WakeupGrace() time.Duration { return s.share(wakeupShare) }

// RelayTimeout bounds a call to a peer that has read further.
func (s Schedule) RelayTimeout() time.Duration { return s.share(relayShare) }

// IsCertain reports whether a copy that was confirmed age ago holds all records that must be
// in force.
func (s Schedule) IsCertain(age time.Duration) bool { return age <= s.Bound }
