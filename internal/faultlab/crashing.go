package faultlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

const (
	// crashingBody is the body of the requests that crash every backend server which
	// runs them.
	crashingBody = "crashes its server"
	// contactTime is the time within which every node that is free of faults has to
	// act on a crash.
	contactTime = 3 * time.Second
	// maxLateCrashingRuns bounds the runs of a crashing request by such nodes, later
	// than contactTime after the third crash.
	maxLateCrashingRuns = 3
	// maxCrashingPause is the maximum pause between two crashing requests.
	maxCrashingPause = 800 * time.Millisecond
)

// nodeFault is a fault of one node or of the proxy of a server, or of the store for all
// nodes if node is empty.
type nodeFault struct {
	node       string
	start, end time.Time
	// planned is true for a restart by SIGTERM.
	planned bool
}

// addFault records that a fault starts. The returned function records its end.
func (r *recorder) addFault(node string) func() { return r.addNodeFault(nodeFault{node: node}) }

func (r *recorder) addNodeFault(f nodeFault) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(r.faults)
	f.start = time.Now()
	r.faults = append(r.faults, f)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.faults[i].end = time.Now()
	}
}

// isCalm reports whether neither the node nor the store had a fault within
// contactTime before t.
func (r *recorder) isCalm(node string, t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(r.faults, func(f nodeFault) bool {
		return (f.node == "" || f.node == node) && f.start.Before(t) && (f.end.IsZero() || t.Sub(f.end) < contactTime)
	})
}

// hadFault reports whether something of the given name had a fault between start and end.
func (r *recorder) hadFault(name string, start, end time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.faults, func(f nodeFault) bool {
		return f.node == name && f.start.Before(end) && (f.end.IsZero() || f.end.After(start))
	})
}

// hadUnplannedFault is hadFault without planned restarts.
func (r *recorder) hadUnplannedFault(name string, start, end time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.faults, func(f nodeFault) bool {
		return !f.planned && f.node == name && f.start.Before(end) && (f.end.IsZero() || f.end.After(start))
	})
}

// plannedRestarts returns the planned restarts of a node.
func (r *recorder) plannedRestarts(node string) []nodeFault {
	r.mu.Lock()
	defer r.mu.Unlock()
	var restarts []nodeFault
	for _, f := range r.faults {
		if f.planned && f.node == node {
			restarts = append(restarts, f)
		}
	}
	return restarts
}

// sendCrashingRequests sends one request content under new ids to all nodes, until
// ctx ends.
func (c *cluster) sendCrashingRequests(ctx context.Context, random *rand.Rand, name string) {
	callers := make([]*platformtest.Caller, len(c.nodes))
	for i, n := range c.nodes {
		callers[i] = platformtest.NewCaller(n.callerAddress)
		defer callers[i].Close()
	}
	paths := []string{platformtest.OncePath, platformtest.RepeatablePath, platformtest.StreamPath}
	path := paths[random.IntN(len(paths))] + "crash"
	for n := 0; ctx.Err() == nil; n++ {
		i := random.IntN(len(c.nodes))
		request := platformtest.Request{ID: fmt.Sprintf("%s-%d", name, n), Method: http.MethodPost, Path: path, Key: platformtest.Key, Body: crashingBody, Timeout: requestTimeout}
		c.recorder.addCrashing(request.ID, c.nodes[i].name)
		requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*requestTimeout)
		sentAt := time.Now()
		c.recorder.add(c.nodes[i].name, request, sentAt, callers[i].Do(requestCtx, request))
		cancel()
		time.Sleep(time.Duration(random.Int64N(int64(maxCrashingPause))))
	}
}

// addCrashing records to which node a crashing request is sent.
func (r *recorder) addCrashing(id, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashing[id] = node
}

// crashingRuns returns the runs of crashing requests in the order of time.
func (c *cluster) crashingRuns() []platformtest.Run {
	var runs []platformtest.Run
	for _, s := range c.servers {
		for _, r := range s.Runs() {
			if r.Body == crashingBody {
				runs = append(runs, r)
			}
		}
	}
	slices.SortFunc(runs, func(a, b platformtest.Run) int { return a.At.Compare(b.At) })
	return runs
}

// verifyCrashingRequests checks that nodes without faults do not go on sending a
// request that has crashed three servers.
func (c *cluster) verifyCrashingRequests() {
	runs := c.crashingRuns()
	if len(runs) <= 3 {
		return
	}
	var late []string
	for _, r := range runs[3:] {
		if node := c.recorder.crashing[r.ID]; r.At.Sub(runs[2].At) > contactTime && c.recorder.isCalm(node, r.At) {
			late = append(late, fmt.Sprintf("%s by %s at %.2f s", r.ID, node, r.At.Sub(c.startedAt).Seconds()))
		}
	}
	if len(late) > maxLateCrashingRuns {
		c.recorder.addViolation("a request ran %d times later than %v after its third crash at %.2f s: %v", len(late), contactTime, runs[2].At.Sub(c.startedAt).Seconds(), late)
	}
}

// quarantinedInnocents returns the number of requests that the nodes refused as
// crashing, although they crash no server.
func (c *cluster) quarantinedInnocents() int {
	count := 0
	for _, n := range c.nodes {
		data, err := os.ReadFile(n.logPath)
		if err != nil {
			c.recordError(err)
			continue
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, "request refused") && strings.Contains(line, "reason=ends-servers") && !strings.Contains(line, "-crash-") {
				count++
			}
		}
	}
	return count
}
