package admission

import (
	"container/heap"
	"time"
)

// Class is the priority class of a request, 0 for the most urgent.
type Class int

// Request classes, the most urgent first.
const (
	Interactive Class = iota
	Normal
	Batch
	numClasses
)

// Item is a request in the queue.
type Item struct {
	Workspace string
	// Weight is the workspace's share relative to others.
	Weight float64
	Class  Class
	// Cost is the work of the request, in tokens.
	Cost     float64
	Deadline time.Time
	// ServiceTime is the expected time from the start of the request to its answer.
	ServiceTime time.Duration
	// Value is opaque to the queue and for the use of its caller.
	Value any

	// sequence is the request's sequence number in the queue.
	sequence uint64
	// flow holds the request. flowIndex and expiryIndex are its indexes in the heaps
	// of the flow and of the queue.
	flow                   *flow
	flowIndex, expiryIndex int
}

// latestStart is the latest time at which the request may start to be answered before
// its deadline.
func (i *Item) latestStart() time.Time { return i.Deadline.Add(-i.ServiceTime) }

// PushResult is the result of Queue.Push: Accepted, or the reason for which the
// request is rejected. A rejected request has not run.
type PushResult int

// Results of Queue.Push.
const (
	// Accepted means that the request is in the queue.
	Accepted PushResult = iota
	// PastDeadline means that the answer would arrive past the deadline.
	PastDeadline
	// Full means that the queue has MaxItems requests, or that the predicted
	// wait exceeds the MaxWait of the request's class.
	Full
)

// QueueConfig configures a Queue.
type QueueConfig struct {
	// MaxWait bounds the predicted wait of each class.
	MaxWait [numClasses]time.Duration
	// Shares are the relative shares of the work that the classes get while all
	// of them have waiting requests.
	Shares [numClasses]float64
	// MaxItems bounds the number of waiting requests.
	MaxItems int
}

// DefaultQueueConfig returns the default configuration for a service with the
// given target for the time to the first token.
func DefaultQueueConfig(firstTokenTarget time.Duration, maxItems int) QueueConfig {
	return QueueConfig{
		MaxWait:  [numClasses]time.Duration{firstTokenTarget / 2, firstTokenTarget / 2, firstTokenTarget / 2},
		Shares:   [numClasses]float64{16, 4, 1},
		MaxItems: maxItems,
	}
}

// Queue orders waiting requests by start-time fair queueing: between classes by
// their shares, and within a class between workspaces by their weights. Within
// a workspace the earliest deadline is served first. It is not safe for
// concurrent use.
type Queue struct {
	cfg     QueueConfig
	classes [numClasses]classQueue
	// virtualTime is the start tag of the class served last.
	virtualTime float64
	length      int
	// expiry holds all waiting requests.
	expiry expiryHeap
	// lastSequence is the sequence number of the last request accepted.
	lastSequence uint64
}

// classQueue holds the waiting requests of one class.
type classQueue struct {
	// finishTag is the virtual time at which the class has received its share for
	// the work started so far. The class with the lowest tag is served next.
	finishTag float64
	// virtualTime is the start tag of the flow served last.
	virtualTime float64
	// waitingCost is the sum of the costs of the waiting requests.
	waitingCost float64
	flows       map[string]*flow
	// active lists the flows with waiting requests, in the order in which they
	// became active.
	active []*flow

	// rate is the cost of the requests started per second, 0 if unknown. It was
	// updated at rateUpdatedAt; startedCost is the cost of the requests started
	// since.
	rate          float64
	rateUpdatedAt time.Time
	startedCost   float64
}

// flow holds the waiting requests of one workspace in a class.
type flow struct {
	workspace string
	// finishTag is the virtual time of the class at which the workspace has
	// received its share.
	finishTag float64
	items     itemHeap
}

// itemHeap is a heap of requests with the earliest deadline first.
type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }
func (h itemHeap) Less(i, j int) bool {
	if !h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].Deadline.Before(h[j].Deadline)
	}
	return h[i].sequence < h[j].sequence
}
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].flowIndex, h[j].flowIndex = i, j
}
func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.flowIndex = len(*h)
	*h = append(*h, item)
}
func (h *itemHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// expiryHeap is a heap of requests with the earliest latest start first.
type expiryHeap []*Item

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].latestStart().Before(h[j].latestStart()) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}
func (h *expiryHeap) Push(x any) {
	item := x.(*Item)
	item.expiryIndex = len(*h)
	*h = append(*h, item)
}
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// NewQueue returns an empty queue.
func NewQueue(cfg QueueConfig) *Queue {
	q := &Queue{cfg: cfg}
	for i := range q.classes {
		q.classes[i].flows = map[string]*flow{}
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return q.length
}

// Push adds a request to the queue. If it rejects the request, it returns the
// reason and the time after which the caller should retry.
func (q *Queue) Push(item *Item, now time.Time) (PushResult, time.Duration) {
	wait := q.Wait(item.Class)
	switch {
	case now.Add(wait + item.ServiceTime).After(item.Deadline):
		return PastDeadline, max(wait, minRetryDelay)
	case q.length >= q.cfg.MaxItems, wait > q.cfg.MaxWait[item.Class]:
		return Full, max(wait, minRetryDelay)
	}
	q.lastSequence++
	item.sequence = q.lastSequence
	c := &q.classes[item.Class]
	if len(c.active) == 0 {
		c.finishTag = max(c.finishTag, q.virtualTime)
	}
	f, ok := c.flows[item.Workspace]
	if !ok {
		f = &flow{workspace: item.Workspace, finishTag: c.virtualTime}
		c.flows[item.Workspace] = f
	}
	if len(f.items) == 0 {
		f.finishTag = max(f.finishTag, c.virtualTime)
		c.active = append(c.active, f)
	}
	item.flow = f
	heap.Push(&f.items, item)
	heap.Push(&q.expiry, item)
	c.waitingCost += item.Cost
	q.length++
	return Accepted, 0
}

const (
	// minRetryDelay is the shortest time after which a rejected caller is asked
	// to retry.
	minRetryDelay = 250 * time.Millisecond
	// rateWindow is the time over which the rate of started work is averaged.
	rateWindow = time.Second
	// minRateInterval is the shortest time over which a rate is measured.
	minRateInterval = 100 * time.Millisecond
	// maxPredictedWait bounds the predicted wait.
	maxPredictedWait = time.Hour
)

// Wait predicts the wait of a new request of a class: the waiting work of the
// class divided by the recent rate at which such work has started. It returns 0
// if nothing waits or the rate is unknown.
func (q *Queue) Wait(class Class) time.Duration {
	c := &q.classes[class]
	if c.waitingCost == 0 || c.rate <= 0 {
		return 0
	}
	return time.Duration(min(c.waitingCost/c.rate, maxPredictedWait.Seconds()) * float64(time.Second))
}

// Pop removes and returns the next request that may start, or returns nil if
// there is none. It tries the classes in the order of their finish tags until
// mayStart returns true for the next request of one.
func (q *Queue) Pop(now time.Time, mayStart func(*Item) bool) *Item {
	for i := range q.classes {
		q.classes[i].updateRate(now)
	}
	var tried [numClasses]bool
	for range q.classes {
		class := q.nextClass(&tried)
		if class < 0 {
			return nil
		}
		tried[class] = true
		c := &q.classes[class]
		f := c.nextFlow()
		if !mayStart(f.items[0]) {
			continue
		}
		item := f.items[0]
		q.charge(class, f, item)
		return item
	}
	return nil
}

// nextClass returns the untried class with the lowest finish tag among those
// with waiting requests, or -1.
func (q *Queue) nextClass(tried *[numClasses]bool) int {
	best := -1
	for i := range q.classes {
		if tried[i] || len(q.classes[i].active) == 0 {
			continue
		}
		if best < 0 || q.classes[i].finishTag < q.classes[best].finishTag {
			best = i
		}
	}
	return best
}

// nextFlow returns the active flow with the lowest finish tag.
func (c *classQueue) nextFlow() *flow {
	best := c.active[0]
	for _, f := range c.active[1:] {
		if f.finishTag < best.finishTag {
			best = f
		}
	}
	return best
}

// charge advances the finish tags by the cost of a request that starts, and
// removes the request from the queue's sums.
func (q *Queue) charge(class int, f *flow, item *Item) {
	c := &q.classes[class]
	q.virtualTime = max(q.virtualTime, c.finishTag)
	c.finishTag += item.Cost / q.cfg.Shares[class]
	c.virtualTime = max(c.virtualTime, f.finishTag)
	f.finishTag += item.Cost / max(item.Weight, 1)
	q.remove(item)
	c.startedCost += item.Cost
}

// remove removes a request from the heaps and from the queue's sums.
func (q *Queue) remove(item *Item) {
	c, f := &q.classes[item.Class], item.flow
	heap.Remove(&f.items, item.flowIndex)
	heap.Remove(&q.expiry, item.expiryIndex)
	c.waitingCost -= item.Cost
	q.length--
	if len(f.items) > 0 {
		return
	}
	for i, x := range c.active {
		if x == f {
			c.active = append(c.active[:i], c.active[i+1:]...)
			break
		}
	}
	if len(c.active) == 0 {
		c.waitingCost = 0
		clear(c.flows)
	}
}

// Expire removes and returns the requests that can no longer be answered before
// their deadline.
func (q *Queue) Expire(now time.Time) []*Item {
	var out []*Item
	for len(q.expiry) > 0 && now.After(q.expiry[0].latestStart()) {
		item := q.expiry[0]
		q.remove(item)
		out = append(out, item)
	}
	return out
}

// updateRate updates the average rate of started work. The rate of a class without
// waiting requests is unknown, as it is limited only by the arrival of requests.
func (c *classQueue) updateRate(now time.Time) {
	if c.rateUpdatedAt.IsZero() || len(c.active) == 0 {
		c.rate, c.rateUpdatedAt, c.startedCost = 0, now, 0
		return
	}
	elapsed := now.Sub(c.rateUpdatedAt)
	if elapsed < minRateInterval {
		return
	}
	rate := c.startedCost / elapsed.Seconds()
	if c.rate == 0 {
		c.rate = rate
	}
	c.rate += (rate - c.rate) * min(elapsed.Seconds()/rateWindow.Seconds(), 1)
	c.rateUpdatedAt, c.startedCost = now, 0
}

// MaxStartWait returns the longest predicted wait at an engine with which a
// request of the class may start, given the target for the time to the first
// token. It is shorter for less urgent classes, so that they leave capacity on
// the engines.
func MaxStartWait(class Class, firstTokenTarget time.Duration) time.Duration {
	return firstTokenTarget / time.Duration(8*(class+1))
}
