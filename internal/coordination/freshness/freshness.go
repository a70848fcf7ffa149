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
	// silenceShare is the time without a byte of an answer after which a call that the store
	// need not hold open is made once more, on a new connection. If that is silent too, the
	// next one follows after repeatShare.
	silenceShare = 0.2
	repeatShare  = 0.4
	// answerShare bounds such a call. It is long, as the store may be slow.
	answerShare = 1.6
	// firstPauseShare is the pause after a call that has failed, doubled with each further
	// one up to maxPauseShare. The store counts rejected calls too.
	firstPauseShare = 0.075
	maxPauseShare   = 0.3
	// wakeupShare is the time for which a held read goes on after a peer has reported more
	// records, as the store may answer the read at the same time.
	wakeupShare = 0.1
	// relayShare is the time without an answer after which a VM that has called a peer that has
	// read further also asks the store, and relayRepeatShare that after which it asks another
	// peer.
	relayShare       = 0.15
	relayRepeatShare = 0.2
	// relayAnswerShare bounds a call to a peer. A large document takes long if many VMs read
	// it from a peer with a slow link.
	relayAnswerShare = 1.25
	// relayPauseShare is the time for which a peer is not asked again after a failed call.
	relayPauseShare = 0.75
	// appendShare bounds an append, which is only repeated once it has ended.
	appendShare = 0.4
	// graceShare is the time for which a held read is waited for after the store should have
	// answered it.
	graceShare = 0.35
)

// maxHoldTime bounds the time for which the store holds a read open.
const maxHoldTime = 2500 * time.Millisecond

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

// RepeatAfter returns the time without an answer after which the n-th call in a row, from 0, is
// made once more.
func (s Schedule) RepeatAfter(n int) time.Duration {
	if n == 0 {
		return s.share(silenceShare)
	}
	return s.share(repeatShare)
}

// AnswerTimeout bounds a call that the store need not hold open.
func (s Schedule) AnswerTimeout() time.Duration { return s.share(answerShare) }

// FailurePause returns the pause after the n-th consecutive call that failed, from 1.
func (s Schedule) FailurePause(n int) time.Duration {
	pause := s.share(firstPauseShare)
	for ; n > 1 && pause < s.share(maxPauseShare); n-- {
		pause *= 2
	}
	return min(pause, s.share(maxPauseShare))
}

// AppendTimeout bounds an append.
func (s Schedule) AppendTimeout() time.Duration { return s.share(appendShare) }

// ReadGrace returns the time for which a held read is waited for after the store should have
// answered it.
func (s Schedule) ReadGrace() time.Duration { return s.share(graceShare) }

// WakeupGrace returns the time for which a held read goes on after a peer has reported more
// records.
func (s Schedule) WakeupGrace() time.Duration { return s.share(wakeupShare) }

// RelayTimeout returns the time without an answer after which a VM that has called a peer that
// has read further also asks the store.
func (s Schedule) RelayTimeout() time.Duration { return s.share(relayShare) }

// RelayRepeatAfter returns the time without an answer after which it asks another peer.
func (s Schedule) RelayRepeatAfter() time.Duration { return s.share(relayRepeatShare) }

// RelayAnswerTimeout bounds a call to a peer.
func (s Schedule) RelayAnswerTimeout() time.Duration { return s.share(relayAnswerShare) }

// RelayPause returns the time for which a peer is not asked again after a failed call.
func (s Schedule) RelayPause() time.Duration { return s.share(relayPauseShare) }

// IsCertain reports whether a copy that was confirmed age ago holds all records that must be
// in force.
func (s Schedule) IsCertain(age time.Duration) bool { return age <= s.Bound }
