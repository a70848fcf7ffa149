package serverlimit

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Queue orders the requests of one VM that wait for room at a service's limited servers: the
// most urgent first, then the first come. It is safe for concurrent use; its lock is a leaf
// lock.
type Queue struct {
	mu       sync.Mutex
	services map[string]*serviceQueue
}

type serviceQueue struct {
	waiters []*Waiter
	// granted holds the times of the last permits.
	granted []time.Time
}

// Waiter is a request in a queue.
type Waiter struct {
	service  string
	priority int
	at       time.Time
}

// maxGrantTimes is the number of permits from which the time between two is estimated.
const maxGrantTimes = 8

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{services: map[string]*serviceQueue{}} }

func (q *Queue) of(service string) *serviceQueue {
	s := q.services[service]
	if s == nil {
		s = &serviceQueue{}
		q.services[service] = s
	}
	return s
}

// Join adds a request. Lower priorities come first.
func (q *Queue) Join(service string, priority int, now time.Time) *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := &Waiter{service, priority, now}
	s := q.of(service)
	i, _ := slices.BinarySearchFunc(s.waiters, w, func(a, b *Waiter) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.at.Compare(b.at), -1)
	})
	s.waiters = slices.Insert(s.waiters, i, w)
	return w
}

// Leave removes a request.
func (q *Queue) Leave(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.of(w.service)
	s.waiters = slices.DeleteFunc(s.waiters, func(x *Waiter) bool { return x == w })
}

// Ahead returns the number of requests that come before w, or before a new request with the
// priority if w is nil.
func (q *Queue) Ahead(service string, w *Waiter, priority int) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[service]
	if s == nil {
		return 0
	}
	if w != nil {
		return max(slices.Index(s.waiters, w), 0)
	}
	ahead := 0
	for _, x := range s.waiters {
		if x.priority <= priority {
			ahead++
		}
	}
	return ahead
}

// Granted records that this VM got a permit for a server of the service.
func (q *Queue) Granted(service string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.of(service)
	s.granted = append(s.granted, now)
	s.granted = s.granted[max(len(s.granted)-maxGrantTimes, 0):]
}

// Interval returns the expected time between two permits of this VM. even is that of an even
// share, which is used until there were enough.
func (q *Queue) Interval(service string, even time.Duration, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[service]
	if s == nil || len(s.granted) < maxGrantTimes {
		return even
	}
	return now.Sub(s.granted[0]) / time.Duration(len(s.granted))
}
