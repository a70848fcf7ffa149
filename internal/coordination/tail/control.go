package tail

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/invariant"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
)

// Applied is a record of the control stream, with its verdict and the state after
// it. If a complete state was adopted instead, the record is empty and the verdict
// is Adopted.
type Applied struct {
	Offset  uint64
	Record  control.Record
	Verdict control.Verdict
	State   *control.State
}

// Adopted is the verdict for a state taken from a checkpoint or a peer.
const Adopted control.Verdict = "adopted"

// PeerStates requests the replayed states of other nodes.
type PeerStates func(ctx context.Context) []*control.State

const (
	// urgentPeerRequestInterval is the interval of requests to peers by a reader
	// that has no document or needs records that the log no longer has.
	urgentPeerRequestInterval = 500 * time.Millisecond
	// peerRequestInterval is the interval of requests to peers by any other reader
	// while the log can't be read.
	peerRequestInterval = 30 * time.Second
	// recentStates is the number of recent states kept for comparison with
	// checkpoints.
	recentStates = 16
)

// ControlReplay replays the control stream. State, Watch and Complete may be
// called from any goroutine, all other methods only from the follower's.
type ControlReplay struct {
	state atomic.Pointer[control.State]
	// seeking is true while required records are missing from the log and no
	// state that includes them has been adopted.
	seeking atomic.Bool

	// earliest is the offset of the earliest record in the log when the log was
	// last found trimmed.
	earliest uint64
	// recent holds the recent states, indexed by Next modulo recentStates.
	recent [recentStates]*control.State

	clock            ports.Clock
	peers            PeerStates
	peersRequestedAt time.Time

	mu       sync.Mutex
	watchers []func(Applied)
}

var (
	_ Applier = (*ControlReplay)(nil)
	_ Resumer = (*ControlReplay)(nil)
)

// NewControlReplay returns a replay that starts from state.
func NewControlReplay(state *control.State) *ControlReplay {
	c := &ControlReplay{}
	c.store(state)
	return c
}

// UsePeers makes the replay request the state from peers when the log doesn't
// provide it. It must be called before the follower runs.
func (c *ControlReplay) UsePeers(clock ports.Clock, peers PeerStates) {
	c.clock = clock
	c.peers = peers
}

// State returns the newest state. The caller must not modify it.
func (c *ControlReplay) State() *control.State {
	return c.state.Load()
}

// Complete reports whether the replay has all records up to its offset. It is
// false while the replay lacks records that the log no longer has; the state is
// then outdated.
func (c *ControlReplay) Complete() bool {
	return !c.seeking.Load()
}

// Watch registers f to be called for each applied record, in order, before the
// next one is applied.
func (c *ControlReplay) Watch(f func(Applied)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchers = append(c.watchers, f)
}

// Apply applies one record of the stream.
func (c *ControlReplay) Apply(offset uint64, data []byte) {
	record, err := control.Decode(data)
	if err != nil {
		klog.Errorf("control: skipped undecodable record offset=%d err=%q", offset, err)
	}
	if c.seeking.Load() {
		c.adoptCheckpoint(offset, record)
		return
	}
	before := c.State()
	if offset != before.Next {
		// The follower has not moved to the end of the adopted state yet.
		return
	}
	c.compareCheckpoint(record)
	after := before.Clone()
	verdict := after.Apply(offset, record)
	invariant.Check(after.Revision >= before.Revision, invariant.RevisionNeverDecreases, "revision %d after %d", after.Revision, before.Revision)
	invariant.Check(after.Lease.FencingToken >= before.Lease.FencingToken, invariant.FencingTokenNeverDecreases, "fencing %d after %d", after.Lease.FencingToken, before.Lease.FencingToken)
	c.store(after)
	c.notify(Applied{Offset: offset, Record: record, Verdict: verdict, State: after})
}

// store makes state the current state.
func (c *ControlReplay) store(state *control.State) {
	c.recent[state.Next%recentStates] = state
	c.state.Store(state)
}

// adoptCheckpoint adopts the state of a checkpoint if the replay can continue from
// it.
func (c *ControlReplay) adoptCheckpoint(offset uint64, record control.Record) {
	state := control.StateFromCheckpoint(record, c.earliest)
	if state == nil || !c.Adopt(state) {
		return
	}
	klog.Infof("control: continuing from checkpoint offset=%d next=%d", offset, state.Next)
}

// compareCheckpoint checks the state in a checkpoint against the state that this
// reader has replayed up to the same offset.
func (c *ControlReplay) compareCheckpoint(record control.Record) {
	if record.Checkpoint == nil || record.Checkpoint.State == nil {
		return
	}
	checkpointState := record.Checkpoint.State
	own := c.recent[checkpointState.Next%recentStates]
	if own == nil || own.Next != checkpointState.Next {
		return
	}
	a, errA := control.MarshalState(own)
	b, errB := control.MarshalState(checkpointState)
	invariant.Check(errA == nil && errB == nil && bytes.Equal(a, b), invariant.CheckpointMatches, "next=%d own=%s restated=%s", own.Next, a, b)
}

// notify calls the watchers in the order in which they were registered.
func (c *ControlReplay) notify(a Applied) {
	c.mu.Lock()
	watchers := c.watchers
	c.mu.Unlock()
	for _, w := range watchers {
		w(a)
	}
}

// Trimmed makes the replay continue at the earliest record in the log and adopt
// the next usable checkpoint from there. The old state stays active until then.
func (c *ControlReplay) Trimmed(earliest uint64) uint64 {
	c.earliest = earliest
	c.seeking.Store(true)
	return earliest
}

// Resume returns the offset to read next. It requests the state from peers if the
// log doesn't provide it.
func (c *ControlReplay) Resume(ctx context.Context, next uint64, failed bool) uint64 {
	if c.peers != nil && (failed || c.seeking.Load()) {
		c.requestPeerStates(ctx)
	}
	if c.seeking.Load() {
		return next
	}
	return c.State().Next
}

// requestPeerStates requests the states of peers and adopts those that are ahead.
// It does nothing if the last request was made less than the interval ago.
func (c *ControlReplay) requestPeerStates(ctx context.Context) {
	interval := peerRequestInterval
	if c.seeking.Load() || c.State().Document == nil {
		interval = urgentPeerRequestInterval
	}
	now := c.clock.Now()
	if !c.peersRequestedAt.IsZero() && now.Sub(c.peersRequestedAt) < interval {
		return
	}
	c.peersRequestedAt = now
	for _, state := range c.peers(ctx) {
		if c.Adopt(state) {
			klog.Infof("control: adopted state of a peer revision=%d next=%d", state.Revision, state.Next)
		}
	}
}

// Adopt replaces the state by one from a peer or a checkpoint and reports whether
// it did. It does so only if that state is ahead of the present one, with a
// revision and a fencing token that are not lower.
func (c *ControlReplay) Adopt(state *control.State) bool {
	before := c.State()
	if state.Next <= before.Next {
		return false
	}
	isForward := state.Revision >= before.Revision && state.Lease.FencingToken >= before.Lease.FencingToken
	invariant.Check(isForward, invariant.RevisionNeverDecreases, "adopted revision %d fencing %d after %d and %d",
		state.Revision, state.Lease.FencingToken, before.Revision, before.Lease.FencingToken)
	if !isForward {
		return false
	}
	c.seeking.Store(false)
	c.store(state)
	c.notify(Applied{Verdict: Adopted, State: state})
	return true
}
