package catchup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/freshness"
)

// answerTime is the time that the store takes to answer, unless it is slow. A peer takes half
// of it.
const answerTime = 5 * time.Millisecond

// outage is a time in which the store has a fault.
type outage struct {
	from, to time.Duration
	how      fault
}

type fault int

// Faults of the store. A silent store never answers the calls that it gets, nor those that are
// open when it falls silent. A slow one answers after slowTime.
const (
	silent fault = iota
	refusing
	slow
	faultCount
)

// simulation plays the calls of one Machine against a store and peers, with simulated time.
type simulation struct {
	schedule freshness.Schedule
	machine  *Machine
	outages  []outage
	slowTime time.Duration
	// peers returns the peers that have read further at a time, and whether each one answers.
	peers func(at time.Duration) map[string]bool
	calls []simulatedCall
	// made holds the times of the calls to the store, and mostOpen the largest number of calls
	// that were open at the same time.
	made     []time.Duration
	mostOpen int
}

type simulatedCall struct {
	Call
	startedAt, endsAt time.Duration
	succeeds          bool
}

var epoch = time.Unix(0, 0)

// call returns a call to the store that starts at now.
func (s *simulation) call(c Call, now time.Duration) simulatedCall {
	out := simulatedCall{Call: c, startedAt: now, endsAt: now + c.Timeout}
	answerAt, succeeds := now+answerTime, true
	if c.Peer != "" {
		if !s.peers(now)[c.Peer] {
			return out
		}
		answerAt = now + answerTime/2
	}
	for _, o := range s.outages {
		switch {
		case c.Peer != "":
		case o.how == silent && now < o.to && answerAt > o.from:
			return out
		case now < o.from || now >= o.to:
		case o.how == refusing:
			succeeds = false
		case o.how == slow:
			answerAt = now + s.slowTime
		}
	}
	if answerAt < out.endsAt {
		out.endsAt, out.succeeds = answerAt, succeeds
	}
	return out
}

// catchUp plays a round that begins at a time, and returns the time of its end.
func (s *simulation) catchUp(now, limit time.Duration) (time.Duration, bool) {
	input := func() Input {
		var peers []string
		for peer := range s.peers(now) {
			peers = append(peers, peer)
		}
		slices.Sort(peers)
		return Input{Peers: peers}
	}
	s.calls = nil
	s.machine.Begin(s.schedule, input(), epoch.Add(now))
	for now < limit {
		step := s.machine.Step(s.schedule, input(), epoch.Add(now))
		s.calls = slices.DeleteFunc(s.calls, func(c simulatedCall) bool { return slices.Contains(step.Cancel, c.ID) })
		for _, c := range step.Start {
			s.calls = append(s.calls, s.call(c, now))
			if c.Peer == "" {
				s.made = append(s.made, now)
			}
		}
		s.mostOpen = max(s.mostOpen, len(s.calls))
		next := now + time.Second
		if !step.Next.IsZero() {
			next = step.Next.Sub(epoch)
		}
		first := -1
		for i, c := range s.calls {
			if c.endsAt <= next {
				first, next = i, c.endsAt
			}
		}
		now = max(next, now)
		if first < 0 {
			continue
		}
		ended := s.calls[first]
		s.calls = slices.Delete(s.calls, first, first+1)
		if ended.succeeds {
			if ended.Peer == "" {
				s.machine.StoreAnswered()
			}
			return now, true
		}
		s.machine.Failed(s.schedule, ended.ID, epoch.Add(now))
	}
	return now, false
}

// drawOutages draws a series of outages, some of which overlap, and returns the time at which
// the last one ends.
func drawOutages(random *rand.Rand, bound time.Duration, kinds fault) (outages []outage, end time.Duration) {
	for range 1 + random.IntN(6) {
		from := time.Duration(random.Int64N(int64(4 * bound)))
		to := from + time.Duration(random.Int64N(int64(4*bound)))
		outages = append(outages, outage{from, to, fault(random.IntN(int(kinds)))})
		end = max(end, to)
	}
	return outages, end
}

// soakSeeds is the number of seeds of each soak.
const soakSeeds = 300

// TestCallBegunBeforeReturnHoldsRecovery: the store is silent or rejects calls, in series of
// outages that overlap, and peers that have read further don't answer. The VM has its answer
// within the longest time between two calls after the store's return, whatever it was waiting
// for then, and makes few calls before.
func TestCallBegunBeforeReturnHoldsRecovery(t *testing.T) {
	for seed := range uint64(soakSeeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		bound := time.Duration(500+random.IntN(6000)) * time.Millisecond
		s := &simulation{schedule: freshness.Schedule{Bound: bound}, machine: NewMachine()}
		var end time.Duration
		s.outages, end = drawOutages(random, bound, slow)
		deadPeers := map[string]bool{}
		for i := range random.IntN(4) {
			deadPeers[fmt.Sprint("peer-", i)] = false
		}
		deadFrom := time.Duration(random.Int64N(int64(4 * bound)))
		s.peers = func(at time.Duration) map[string]bool {
			if at < deadFrom {
				return nil
			}
			return deadPeers
		}
		for now := time.Duration(0); now < end; {
			var ok bool
			began, callsBefore := now, len(s.made)
			now, ok = s.catchUp(now, end+10*bound)
			// The interval of calls that are rejected or not answered, and what is open.
			longest := max(s.schedule.RepeatAfter(1), s.schedule.FailurePause(100)) + 2*answerTime
			if late := now - end; !ok || late > longest {
				t.Fatalf("seed %d, bound %v: an answer %v after the return, at most %v; outages %v", seed, bound, late, longest, s.outages)
			}
			if most := 5 + int((now-began)/s.schedule.FailurePause(100)); len(s.made)-callsBefore > most {
				t.Errorf("seed %d, bound %v: %d calls to the store in %v", seed, bound, len(s.made)-callsBefore, now-began)
			}
			now += bound / 8
		}
		if s.mostOpen > 2*maxOpen {
			t.Errorf("seed %d: %d calls were open", seed, s.mostOpen)
		}
	}
}

// TestSlowStoreIsNeverAnswered: a store that takes longer for each answer than the time after
// which a call is made again is still heard, by the first call.
func TestSlowStoreIsNeverAnswered(t *testing.T) {
	for seed := range uint64(soakSeeds) {
		random := rand.New(rand.NewPCG(seed, 2))
		bound := time.Duration(500+random.IntN(6000)) * time.Millisecond
		s := &simulation{schedule: freshness.Schedule{Bound: bound}, machine: NewMachine(), peers: func(time.Duration) map[string]bool { return nil }}
		s.slowTime = time.Duration(random.Int64N(int64(s.schedule.AnswerTimeout())))
		s.outages = []outage{{0, time.Hour, slow}}
		for now := time.Duration(0); now < 20*bound; now += bound / 8 {
			began := now
			var ok bool
			if now, ok = s.catchUp(now, now+20*bound); !ok || now-began > s.slowTime+answerTime {
				t.Fatalf("seed %d, bound %v: answered after %v by a store that takes %v", seed, bound, now-began, s.slowTime)
			}
		}
	}
}

// TestStuckPeerHoldsRelay: the store rejects all calls of the VM, and of the peers that have
// read further only the last one answers.
func TestStuckPeerHoldsRelay(t *testing.T) {
	for _, bound := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 6 * time.Second} {
		s := &simulation{schedule: freshness.Schedule{Bound: bound}, machine: NewMachine(), outages: []outage{{0, time.Hour, refusing}}}
		s.peers = func(time.Duration) map[string]bool {
			return map[string]bool{"peer-0": false, "peer-1": false, "peer-2": true}
		}
		if now, ok := s.catchUp(0, 20*bound); !ok || now > bound {
			t.Errorf("bound %v: relayed %v after %v", bound, ok, now)
		}
	}
}

// TestArrivingAnswerIsAskedForAgain: while parts of an answer arrive, no further call is made.
func TestArrivingAnswerIsAskedForAgain(t *testing.T) {
	s := freshness.Schedule{Bound: 2 * time.Second}
	m := NewMachine()
	in := Input{}
	m.Begin(s, in, epoch)
	first := m.Step(s, in, epoch)
	if len(first.Start) != 1 {
		t.Fatalf("calls %v", first.Start)
	}
	now := epoch
	for range 10 {
		now = now.Add(s.RepeatAfter(0) - time.Millisecond)
		m.Progress(first.Start[0].ID, now)
		if step := m.Step(s, in, now); len(step.Start) > 0 {
			t.Fatalf("a call at %v beside one whose answer arrives", now.Sub(epoch))
		}
	}
	if step := m.Step(s, in, now.Add(s.RepeatAfter(0))); len(step.Start) != 1 || !step.Silent {
		t.Errorf("no call beside one whose answer has stopped arriving: %+v", step)
	}
}

// TestStartingVMsCallAllPeers: a VM without a copy calls one peer at a time, and the store only
// once that call has ended.
func TestStartingVMsCallAllPeers(t *testing.T) {
	s := freshness.Schedule{Bound: 2 * time.Second}
	m := NewMachine()
	in := Input{Peers: []string{"peer-0", "peer-1"}, HasNoCopy: true}
	m.Begin(s, in, epoch)
	first := m.Step(s, in, epoch)
	if len(first.Start) != 1 || first.Start[0].Peer != "peer-0" {
		t.Fatalf("calls %v", first.Start)
	}
	if step := m.Step(s, in, epoch.Add(s.RelayAnswerTimeout()-time.Millisecond)); len(step.Start) > 0 {
		t.Errorf("calls %v beside the first one", step.Start)
	}
	m.Failed(s, first.Start[0].ID, epoch.Add(s.RelayAnswerTimeout()))
	in.Peers = in.Peers[:1]
	if step := m.Step(s, in, epoch.Add(s.RelayAnswerTimeout())); len(step.Start) != 1 || step.Start[0].Peer != "" {
		t.Errorf("calls %v after the first one", step.Start)
	}
}

// TestRelayedRecordsCostCallOfStore: also after a failed call, the store is not asked for
// records that a peer passes on in time.
func TestRelayedRecordsCostCallOfStore(t *testing.T) {
	s := &simulation{schedule: freshness.Schedule{Bound: 2 * time.Second}, machine: NewMachine()}
	s.peers = func(time.Duration) map[string]bool { return map[string]bool{"peer-0": true} }
	s.machine.StoreFailed()
	for now := time.Duration(0); now < time.Minute; now += time.Second {
		if _, ok := s.catchUp(now, now+time.Second); !ok {
			t.Fatalf("not relayed at %v", now)
		}
	}
	if len(s.made) > 0 {
		t.Errorf("%d calls to the store", len(s.made))
	}
}
