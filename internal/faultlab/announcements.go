package faultlab

import (
	"strconv"
	"time"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

const (
	// drainTime is the time within which a node has to act on an answer that states
	// that its server leaves.
	drainTime = 2 * time.Second
	// backoffGrace is the time within which a node has to act on the backoff that a server
	// asks for, and maxEarlyRequests bounds the requests that it may send after that.
	backoffGrace     = 500 * time.Millisecond
	maxEarlyRequests = 2
)

// serverProcess is one process of a server as seen by one node.
type serverProcess struct {
	server int
	born   int64
	node   string
}

// verifyAnnouncements checks that no node without faults sends requests to a server that
// has stated to it that it leaves, or that it wants none for a while.
func (c *cluster) verifyAnnouncements() {
	c.recorder.mu.Lock()
	exchanges := c.recorder.exchanges
	c.recorder.mu.Unlock()
	byProcess := map[serverProcess][]platformtest.Arrival{}
	for i, s := range c.servers {
		for _, a := range s.Arrivals() {
			p := serverProcess{i, a.BornMillis, exchanges[a.ID].node}
			byProcess[p] = append(byProcess[p], a)
		}
	}
	for p, arrivals := range byProcess {
		if p.node != "" {
			c.verifyLeaving(p, arrivals, exchanges)
			c.verifyBackoffs(p, arrivals)
		}
	}
}

func (c *cluster) verifyLeaving(p serverProcess, arrivals []platformtest.Arrival, exchanges map[string]exchange) {
	var announcedAt time.Time
	for _, a := range arrivals {
		e := exchanges[a.ID]
		if a.Leaving && e.result.Err == nil && e.result.Seal == "seal-"+c.servers[p.server].ID && (announcedAt.IsZero() || e.answeredAt.Before(announcedAt)) {
			announcedAt = e.answeredAt
		}
	}
	for _, a := range arrivals {
		if !announcedAt.IsZero() && a.At.Sub(announcedAt) > drainTime && !c.recorder.hadFault(p.node, announcedAt, a.At) {
			c.recorder.addViolation("%s sent %s to server %d %v after it had announced to leave", p.node, a.ID, p.server, a.At.Sub(announcedAt))
		}
	}
}

func (c *cluster) verifyBackoffs(p serverProcess, arrivals []platformtest.Arrival) {
	for _, asked := range arrivals {
		seconds, err := strconv.ParseFloat(asked.Behavior.RetryAfter, 64)
		if err != nil {
			continue
		}
		start, end := asked.At.Add(backoffGrace), asked.At.Add(time.Duration(seconds*float64(time.Second)))
		if c.recorder.hadFault(p.node, asked.At, end) || c.recorder.hadFault(serverName(p.server), asked.At, end) {
			continue
		}
		early := 0
		for _, a := range arrivals {
			if a.At.After(start) && a.At.Before(end) {
				early++
			}
		}
		if early > maxEarlyRequests {
			c.recorder.addViolation("%s sent %d requests to server %d that wanted none for %.3f s", p.node, early, p.server, seconds)
		}
	}
}
