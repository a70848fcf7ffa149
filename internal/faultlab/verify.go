package faultlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// recorder records the callers' requests with their results, the injected
// faults and the violated guarantees. It is safe for concurrent use.
type recorder struct {
	mu             sync.Mutex
	exchanges      map[string]exchange
	violationTexts []string
	eventLines     []string
	faults         []nodeFault
	// crashing holds the nodes to which crashing requests were sent, by id.
	crashing map[string]string
}

// exchange is a caller's request with its result.
type exchange struct {
	request platformtest.Request
	result  platformtest.Answer
	// node is the node that the request was sent to, sentAt the time before that, and
	// answeredAt the time at which the answer was complete.
	node               string
	sentAt, answeredAt time.Time
}

func newRecorder() *recorder {
	return &recorder{exchanges: map[string]exchange{}, crashing: map[string]string{}}
}

func (r *recorder) add(node string, request platformtest.Request, sentAt time.Time, result platformtest.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exchanges[request.ID] = exchange{request, result, node, sentAt, time.Now()}
}

func (r *recorder) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violationTexts = append(r.violationTexts, fmt.Sprintf(format, args...))
}

func (r *recorder) violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.violationTexts...)
}

func (r *recorder) addEvent(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eventLines = append(r.eventLines, line)
}

func (r *recorder) events() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.eventLines...)
}

const (
	// requestTimeout is the deadline that a caller sends with its request.
	requestTimeout = 3 * time.Second
	// maxRequestPause is the maximum pause between two requests of a caller.
	maxRequestPause = 40 * time.Millisecond
	// addedShare is the number of requests of which one uses a route that was added.
	addedShare = 8
	// http10Share is the number of requests of which one uses HTTP/1.0.
	http10Share = 8
)

// sendRequests sends requests to one node over persistent connections until ctx
// ends.
func (c *cluster) sendRequests(ctx context.Context, target *node, random *rand.Rand, name string) {
	caller := platformtest.NewCaller(target.callerAddress)
	defer caller.Close()
	paths := []string{platformtest.OncePath, platformtest.RepeatablePath, platformtest.StreamPath}
	for n := 0; ctx.Err() == nil; n++ {
		path := paths[random.IntN(len(paths))]
		if random.IntN(addedShare) == 0 && c.addedFor() > configTime {
			path = platformtest.AddedPath
		}
		request := platformtest.Request{ID: fmt.Sprintf("%s-%d", name, n), Method: http.MethodPost, Path: path + "x", Key: platformtest.Key, Body: "body of " + name, Timeout: requestTimeout}
		send := caller.Do
		if random.IntN(http10Share) == 0 {
			send = caller.DoHTTP10
		}
		c.ask(ctx, target, send, request)
		time.Sleep(time.Duration(random.Int64N(int64(maxRequestPause))))
	}
}

// ask sends a request to a node and records its result. It waits for the answer also if ctx
// has ended.
func (c *cluster) ask(ctx context.Context, target *node, send func(context.Context, platformtest.Request) platformtest.Answer, request platformtest.Request) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*requestTimeout)
	defer cancel()
	sentAt := time.Now()
	result := send(ctx, request)
	c.recorder.add(target.name, request, sentAt, result)
}

// report holds the counts and the violations of one round.
type report struct {
	requests, served, failed, rejected, interrupted int
	crashingRuns, quarantinedInnocents              int
	// scenario holds the counts of the round's scenario as "name=count" with a space
	// after each.
	scenario   string
	violations []string
}

// String returns the report's counts in one line.
func (r *report) String() string {
	return fmt.Sprintf("asked=%d served=%d failed=%d refused=%d cut=%d crashing-runs=%d quarantined-innocents=%d %sbroken=%d", r.requests, r.served, r.failed, r.rejected, r.interrupted, r.crashingRuns, r.quarantinedInnocents, r.scenario, len(r.violations))
}

// verify compares the callers' results with the backend servers' runs. It also
// checks the usage reports and, if ready is set, that all nodes have the last
// document; otherwise it records that not all nodes became ready.
func (c *cluster) verify(ready bool) *report {
	if !ready {
		c.recorder.addViolation("not all processes are ready %v after the last fault", readyTimeout)
	} else {
		c.verifyDocument()
	}
	c.verifyUsage()
	c.verifyCrashingRequests()
	c.verifyAnnouncements()
	runs := map[string][]platformtest.Run{}
	for _, s := range c.servers {
		for _, r := range s.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	rep := &report{}
	c.recorder.mu.Lock()
	all := c.recorder.exchanges
	c.recorder.mu.Unlock()
	for id, e := range all {
		rep.count(e.result)
		c.verifyRequest(e, runs[id])
	}
	rep.crashingRuns = len(c.crashingRuns())
	rep.quarantinedInnocents = c.quarantinedInnocents()
	for id, list := range runs {
		if _, ok := all[id]; !ok {
			c.recorder.addViolation("request %q ran but no caller sent it: %+v", id, list[0])
		}
	}
	rep.scenario = c.scenario.verify(all)
	rep.violations = c.recorder.violations()
	return rep
}

func (r *report) count(result platformtest.Answer) {
	r.requests++
	switch {
	case result.Err != nil:
		r.interrupted++
	case result.Status == http.StatusOK:
		r.served++
	case result.NotRun():
		r.rejected++
	default:
		r.failed++
	}
}

// verifyRequest checks the result of one request against its runs.
func (c *cluster) verifyRequest(e exchange, runs []platformtest.Run) {
	once := strings.HasPrefix(e.request.Path, platformtest.OncePath) || strings.HasPrefix(e.request.Path, platformtest.OnceStreamPath)
	if once && len(runs) > 1 {
		c.recorder.addViolation("%s ran %d times", e.request.ID, len(runs))
	}
	if once && e.result.NotRun() && len(runs) > 0 {
		c.recorder.addViolation("%s was reported as not run, but ran", e.request.ID)
	}
	for _, r := range runs {
		if r.Body != e.request.Body || r.Target != e.request.Path || r.Method != e.request.Method {
			c.recorder.addViolation("%s reached a server as %s %s %q", e.request.ID, r.Method, r.Target, r.Body)
		}
	}
	if e.result.Err == nil && (e.result.Status == http.StatusNotFound || e.result.Status == http.StatusUnauthorized) && !strings.HasPrefix(e.request.Path, platformtest.FinalPath) && !strings.HasPrefix(e.request.Path, versionPath) {
		c.verifyUnknown(e)
	}
	if e.result.Err != nil || e.result.Status != http.StatusOK {
		return
	}
	if e.result.ID != e.request.ID || e.result.Seal == "" {
		c.recorder.addViolation("%s got an answer to request %q with the seal %q", e.request.ID, e.result.ID, e.result.Seal)
	}
	if !c.isWhole(e) {
		c.recorder.addViolation("%s got the body %q as complete, its servers sent %+v", e.request.ID, e.result.Body, c.sent(e.request.ID))
	}
}

// isWhole reports whether an answer that the caller took as complete is, or can't be
// distinguished from a complete one by what its server sent.
func (c *cluster) isWhole(e exchange) bool {
	whole := func(body string) bool { return strings.HasSuffix(body, " to "+e.request.ID) }
	if isStream(e.request.Path) {
		whole = func(body string) bool { return body == c.stream }
	}
	if whole(e.result.Body) {
		return true
	}
	return slices.ContainsFunc(c.sent(e.request.ID), func(s platformtest.Sent) bool {
		return s.Ambiguous && strings.HasSuffix(e.result.Body, s.Body)
	})
}

// isStream reports whether the servers answer requests with this path by a stream.
func isStream(path string) bool {
	return strings.HasPrefix(path, platformtest.StreamPath) || strings.HasPrefix(path, platformtest.OnceStreamPath)
}

// sent returns what the servers have sent of their answers to a request.
func (c *cluster) sent(id string) []platformtest.Sent {
	var all []platformtest.Sent
	for _, s := range c.servers {
		all = append(all, s.Sent(id)...)
	}
	return all
}

func completeStream() string {
	var b strings.Builder
	for n := 1; n <= platformtest.EventCount; n++ {
		b.WriteString(platformtest.Event(n))
	}
	return b.String()
}

// verifyDocument checks that every node serves the route that the last document
// has added.
func (c *cluster) verifyDocument() {
	for _, n := range c.nodes {
		caller := platformtest.NewCaller(n.callerAddress)
		served := false
		for end := time.Now().Add(readyTimeout); time.Now().Before(end) && !served; time.Sleep(50 * time.Millisecond) {
			ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
			request := platformtest.Request{ID: "final-" + n.name, Method: http.MethodGet, Path: platformtest.FinalPath + "x", Key: platformtest.Key, Timeout: requestTimeout}
			sentAt := time.Now()
			result := caller.Do(ctx, request)
			cancel()
			c.recorder.add(n.name, request, sentAt, result)
			served = result.Err == nil && result.Status == http.StatusOK
		}
		caller.Close()
		if !served {
			c.recorder.addViolation("%s does not serve the last document's route", n.name)
		}
	}
}

// verifyUsage checks that no usage window was reported with different counts,
// and that no two lease holders reported with the same fencing token.
func (c *cluster) verifyUsage() {
	holders := map[uint64]string{}
	for _, window := range c.store.Windows() {
		reports := c.store.UsageReports(window)
		for _, r := range reports {
			if fmt.Sprint(r.Counts) != fmt.Sprint(reports[0].Counts) {
				c.recorder.addViolation("window %d was reported as %v and as %v", window, reports[0].Counts, r.Counts)
			}
			if h, ok := holders[r.FencingToken]; ok && h != r.Holder {
				c.recorder.addViolation("%s and %s share the fencing token %d", h, r.Holder, r.FencingToken)
			}
			holders[r.FencingToken] = r.Holder
		}
	}
}
