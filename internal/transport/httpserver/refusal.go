package httpserver

import (
	"sync"
	"time"
)

// Reasons for which a connection is closed or rejected.
const (
	// ReasonMalformed means that what was received is no request.
	ReasonMalformed = "malformed"
	// ReasonTooLong means that a request exceeds a limit of its size.
	ReasonTooLong = "too-long"
	// ReasonHeadTimeout means that a head was not complete in time.
	ReasonHeadTimeout = "head-timeout"
	// ReasonQueued means that too many requests wait for earlier ones on the connection.
	ReasonQueued = "queued"
	// ReasonMemory means that callers hold too much memory, and this one most of it in vain.
	ReasonMemory = "memory"
	// ReasonConnections means that too many connections are open, and this one is idle.
	ReasonConnections = "connections"
	// ReasonNoRoom means that too many connections are open and none is idle, so that a new
	// one is not accepted.
	ReasonNoRoom = "no-room"
)

// Refusal describes a connection that was rejected or closed because of what its caller did.
type Refusal struct {
	Server string
	Caller string
	Reason string
	// Status is the status that was sent, 0 if there was none.
	Status int
	// HeldBytes is the memory that the connection held, for ReasonMemory.
	HeldBytes int64
}

// refusalLogInterval is the interval between two lines of RefusalLog about the same reason.
const refusalLogInterval = time.Second

// RefusalLog bounds the log lines about refusals: one for each server and reason in a second,
// which states how many there were since the last.
type RefusalLog struct {
	write func(r Refusal, count int)
	now   func() time.Time

	mu     sync.Mutex
	recent map[refusalKey]*recentRefusals
}

type refusalKey struct{ server, reason string }

type recentRefusals struct {
	loggedAt time.Time
	count    int
}

// NewRefusalLog returns a log that writes lines by calling write.
func NewRefusalLog(now func() time.Time, write func(r Refusal, count int)) *RefusalLog {
	return &RefusalLog{write: write, now: now, recent: map[refusalKey]*recentRefusals{}}
}

// Add records a refusal and logs it if it is time for a line.
func (l *RefusalLog) Add(r Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := refusalKey{r.Server, r.Reason}
	recent := l.recent[key]
	if recent == nil {
		recent = &recentRefusals{}
		l.recent[key] = recent
	}
	recent.count++
	now := l.now()
	if now.Sub(recent.loggedAt) < refusalLogInterval {
		return
	}
	l.write(r, recent.count)
	recent.loggedAt, recent.count = now, 0
}
