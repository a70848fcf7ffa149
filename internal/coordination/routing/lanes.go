package routing

import (
	"math"
	"sync"

	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
)

const (
	// laneWindow is the number of requests over which shares are averaged.
	laneWindow = 100
	// initialShare is the batch share until laneWindow requests have started.
	initialShare = 0.5
	// shareStep is the granularity of the batch share, so that all nodes settle
	// on the same value.
	shareStep = 0.1
	// shareTolerance is the difference between the measured and the active batch
	// share above which the active share is changed.
	shareTolerance = 0.08
	// minLaneShare is the smallest share of either lane. If one of them is
	// smaller, the group is not divided.
	minLaneShare = 0.2
	// minLaneServers is the smallest number of servers in a divided group.
	minLaneServers = 4
)

// lanes divides the homes of prefixes between batch and other requests by their
// shares of the work. A long prompt delays every answer of its batch, and short
// answers are affected most.
type lanes struct {
	// mu is a leaf lock: no other lock is acquired while it is held.
	mu sync.Mutex
	// batchWork and totalWork are the work of batch requests and of all requests,
	// in seconds, as exponentially decaying sums.
	batchWork float64
	totalWork float64
	// requests is the number of requests counted.
	requests int
	// batchShare is the active share of the batch lane.
	batchShare float64
}

// record counts the work, in seconds, of a request that starts.
func (l *lanes) record(batch bool, work float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	decay := 1 - 1.0/laneWindow
	l.batchWork *= decay
	l.totalWork = l.totalWork*decay + work
	if batch {
		l.batchWork += work
	}
	l.requests++
	if l.requests < laneWindow {
		return
	}
	measured := l.batchWork / l.totalWork
	if math.Abs(measured-l.batchShare) > shareTolerance {
		l.batchShare = math.Round(measured/shareStep) * shareStep
	}
}

// lane returns the part of a group of servers that contains the homes of the
// prefixes of batch requests or, if batch is false, of other requests. servers is
// the size of the group.
func (l *lanes) lane(batch bool, servers int) fleet.RankRange {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case servers < minLaneServers, l.batchShare < minLaneShare, l.batchShare > 1-minLaneShare:
		return fleet.AllServers
	case batch:
		return fleet.RankRange{From: 0, To: l.batchShare}
	}
	return fleet.RankRange{From: l.batchShare, To: 1}
}
