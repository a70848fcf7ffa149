package faultlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// ScenarioSilence is the scenario of sound servers that fall silent and go on, beside
// planned work: new documents, SIGHUP and SIGTERM.
const ScenarioSilence = "silence"

func init() {
	scenarios[ScenarioSilence] = func(c *cluster) scenario { return newSilenceScenario(c) }
}

const (
	minSilence = 300 * time.Millisecond
	maxSilence = 3 * time.Second
	// silenceTimeout is the deadline that callers send, and silenceCallersPerNode their
	// number.
	silenceTimeout        = 5 * time.Second
	silenceCallersPerNode = 6
	// lateShare of its time is what a request has used when it may be ended.
	lateShare = 0.95
	// lossSlack is the time within which a request may lose its connection without an
	// answer if no server has received it.
	lossSlack = time.Second
	// lateSendTime is the time from SIGTERM within which a request has to be sent to be
	// excused by the end of the node's grace.
	lateSendTime = 3 * time.Second
	// maxAbandonedTime is the time for which a server may stay at work on a request after
	// the next server has received it.
	maxAbandonedTime = 400 * time.Millisecond
	// retryWindow is the time for which the nodes count retries.
	retryWindow = 10 * time.Second
	// pausedShare is the number of requests of which one has an answer that pauses at one
	// place, faultyShare the number of which one has an answer with another fault.
	pausedShare = 10
	faultyShare = 60
	// maxEventPause bounds the usual time between two pieces of an answer.
	maxEventPause = 80 * time.Millisecond
)

// silenceScenario is the scenario ScenarioSilence.
type silenceScenario struct {
	*cluster
	serverPlans  []serverPlan
	retrySlack   int
	retryRatio   float64
	graceTime    time.Duration
	secondWeight int
	// retries holds the times of the retries of each node.
	retries map[string][]time.Time

	// mu guards silences, the periods in which servers are silent for a time.
	mu       sync.Mutex
	silences []period
	// changes counts the documents and SIGHUPs, drains the SIGTERMs, stuck the times at
	// which the open connections of a server fell silent for good.
	changes, drains, stuck int
}

type period struct{ start, end time.Time }

func newSilenceScenario(c *cluster) *silenceScenario {
	random := rand.New(rand.NewPCG(c.seed, 78))
	s := &silenceScenario{cluster: c}
	counts := []int{1, 2, 5, 12}
	count := counts[random.IntN(len(counts))]
	if count > 2 && random.IntN(2) == 0 {
		s.secondWeight = 1 + random.IntN(50)
	}
	for i := range count {
		plan := serverPlan{fmt.Sprint("s-", i), platformtest.Service, zoneName(i), serverRestartTime}
		if s.secondWeight > 0 && i%2 == 1 {
			plan.service = platformtest.SecondService
		}
		s.serverPlans = append(s.serverPlans, plan)
	}
	s.retrySlack = []int{0, 5, 50}[random.IntN(3)]
	s.retryRatio = []float64{0, 0.2}[random.IntN(2)]
	s.graceTime = []time.Duration{defaultGrace, 2 * defaultGrace}[random.IntN(2)]
	return s
}

func (s *silenceScenario) grace() time.Duration { return s.graceTime }

// openRequestTime returns the time from SIGTERM for which a leaving node has to wait for
// the answers of its open requests.
func (s *silenceScenario) openRequestTime() time.Duration { return s.graceTime * 5 / 6 }

func (s *silenceScenario) servers() []serverPlan { return s.serverPlans }

func (s *silenceScenario) settings() string {
	return fmt.Sprintf("[retries]\nslack = %d\nratio = %g\n", s.retrySlack, s.retryRatio)
}

// document draws the timeouts, limits and weights of each version.
func (s *silenceScenario) document(version int) []byte {
	random := rand.New(rand.NewPCG(s.seed, uint64(version)))
	o := platformtest.DefaultDocument(version)
	o.OnceStream = true
	o.Timeout = silenceTimeout + time.Duration(random.IntN(5000))*time.Millisecond
	o.HeaderTimeout = time.Duration(1000+random.IntN(4000)) * time.Millisecond
	o.IdleTimeout = time.Duration(1000+random.IntN(14000)) * time.Millisecond
	o.MaxHeaderBytes, o.MaxBodyBytes = 4096<<random.IntN(3), 4096<<random.IntN(6)
	o.ExtraRoutes = version
	if version == platformtest.FinalVersion {
		o.ExtraRoutes = 0
	}
	if s.secondWeight > 0 {
		o.SecondWeight = 1 + random.IntN(98)
	}
	return o.Encode()
}

func (s *silenceScenario) behavior(id string) func(int, platformtest.Run) platformtest.Behavior {
	return func(n int, _ platformtest.Run) platformtest.Behavior {
		random := rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(fmt.Sprint(id, " ", n))))
		b := platformtest.CompleteAnswer
		switch {
		case random.IntN(pausedShare) == 0:
			b = platformtest.RandomPause(random, maxSilence)
		case random.IntN(faultyShare) == 0:
			b = platformtest.RandomCut(random)
		}
		if random.IntN(2) == 0 {
			b.EventPause = time.Duration(random.Int64N(int64(maxEventPause)))
		}
		return b
	}
}

func (s *silenceScenario) send(ctx context.Context, load *sync.WaitGroup) {
	for i, n := range s.nodes {
		for k := range silenceCallersPerNode {
			load.Go(func() {
				s.sendOver(ctx, n, rand.New(rand.NewPCG(s.seed, uint64(100+i*silenceCallersPerNode+k))), fmt.Sprintf("%d-%d-%d", s.seed, i, k))
			})
		}
	}
}

// sendOver sends requests to one node over persistent connections until ctx ends.
func (s *silenceScenario) sendOver(ctx context.Context, target *node, random *rand.Rand, name string) {
	caller := platformtest.NewCaller(target.callerAddress)
	defer caller.Close()
	paths := []string{platformtest.OncePath, platformtest.RepeatablePath, platformtest.StreamPath, platformtest.OnceStreamPath}
	for n := 0; ctx.Err() == nil; n++ {
		path := paths[random.IntN(len(paths))]
		request := platformtest.Request{ID: fmt.Sprintf("%s-%d", name, n), Method: http.MethodPost, Path: path + "x", Key: platformtest.Key, Body: fmt.Sprintf("body of %s %d", name, n), Timeout: silenceTimeout}
		requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*silenceTimeout)
		send := caller.Do
		if random.IntN(http10Share) == 0 {
			send = caller.DoHTTP10
		}
		sentAt := time.Now()
		result := send(requestCtx, request)
		cancel()
		s.recorder.add(target.name, request, sentAt, result)
		time.Sleep(time.Duration(random.Int64N(int64(maxRequestPause))))
	}
}

// injectFaults starts series of randomly drawn silences and changes. They overlap.
func (s *silenceScenario) injectFaults(ctx context.Context, total time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		running.Go(s.drawSilenceFault())
		time.Sleep(time.Duration(s.random.IntN(900)) * time.Millisecond)
	}
}

// drawSilenceFault draws a fault and returns the function that applies it.
func (s *silenceScenario) drawSilenceFault() func() {
	duration := minSilence + time.Duration(s.random.Int64N(int64(maxSilence-minSilence)))
	pause := time.Duration(s.random.IntN(600)) * time.Millisecond
	n := s.nodes[s.random.IntN(len(s.nodes))]
	server, zone := s.random.IntN(len(s.proxies)), zoneName(s.random.IntN(zoneCount))
	fault, kind := Fault(1+s.random.IntN(int(faultCount)-1)), s.random.IntN(24)
	others := []int{0, 2, 3, 4, 5, 6, 7, 9}
	other := others[s.random.IntN(len(others))]
	switch {
	case kind < 3:
		return func() { s.silence(fmt.Sprint("server ", server), duration, func(i int) bool { return i == server }) }
	case kind < 6:
		return func() {
			s.silence("servers of "+zone, duration, func(i int) bool { return s.serverPlans[i].zone == zone })
		}
	case kind < 9:
		return func() { s.silence("all servers", duration, func(int) bool { return true }) }
	case kind < 11:
		return func() {
			for range 2 {
				s.silence("all servers, in series", duration, func(int) bool { return true })
				time.Sleep(pause)
			}
		}
	case kind < 13:
		return func() {
			s.logEvent("open connections of server %d: silent for good", server)
			s.count(&s.stuck)
			s.cluster.servers[server].SilenceConnections()
		}
	case kind < 17:
		return func() {
			for range 1 + kind%3 {
				s.count(&s.changes)
				s.logEvent("new document")
				s.writeDocument()
				time.Sleep(pause)
			}
		}
	case kind < 20:
		return func() { s.hangUp(n, 1+kind%3, pause) }
	case kind < 22:
		return func() { s.drain(n, pause) }
	}
	return s.fault(other, n, server, fault, duration)
}

func (s *silenceScenario) count(counter *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
}

// silence makes the selected servers silent for the duration.
func (s *silenceScenario) silence(name string, duration time.Duration, selected func(i int) bool) {
	s.logEvent("%s: silent for %v", name, duration)
	now := time.Now()
	s.mu.Lock()
	s.silences = append(s.silences, period{now, now.Add(duration)})
	s.mu.Unlock()
	for i, server := range s.cluster.servers {
		if selected(i) {
			server.Silence(duration)
		}
	}
	time.Sleep(duration)
}

// hangUp changes a node's settings and sends it SIGHUP, several times.
func (s *silenceScenario) hangUp(n *node, times int, pause time.Duration) {
	for i := range times {
		s.logEvent("SIGHUP to %s", n.name)
		s.count(&s.changes)
		if err := n.changeSettings(fmt.Sprintf("[quota]\nslack = %d\n", 1000+i)); err != nil {
			s.recordError(err)
		}
		n.signal(syscall.SIGHUP)
		time.Sleep(pause)
	}
}

// drain ends a node by SIGTERM and starts it again.
func (s *silenceScenario) drain(n *node, pause time.Duration) {
	if !n.restarting.TryLock() {
		return
	}
	defer n.restarting.Unlock()
	s.logEvent("terminate %s", n.name)
	s.count(&s.drains)
	defer s.recorder.addNodeFault(nodeFault{node: n.name, planned: true})()
	n.signal(syscall.SIGCONT)
	if !n.stop(syscall.SIGTERM, stopTimeout) {
		s.recordError(errors.Newf("%s did not exit after SIGTERM and was killed", n.name))
	}
	time.Sleep(pause)
	if err := n.start(); err != nil {
		s.recordError(err)
	}
}

// changeSettings replaces the settings file by one with another end.
func (n *node) changeSettings(moreSettings string) error {
	n.settingsMu.Lock()
	defer n.settingsMu.Unlock()
	next := n.settingsPath + ".next"
	if err := os.WriteFile(next, []byte(n.settingsBegin+moreSettings), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return errors.Wrap(os.Rename(next, n.settingsPath), "replace settings")
}

// visit is an arrival of a request at a server.
type visit struct {
	server int
	platformtest.Arrival
}

// visits returns the arrivals of all requests, by id and in order of time.
func (c *cluster) visits() map[string][]visit {
	byID := map[string][]visit{}
	for i, s := range c.servers {
		for _, a := range s.Arrivals() {
			byID[a.ID] = append(byID[a.ID], visit{i, a})
		}
	}
	for _, list := range byID {
		slices.SortFunc(list, func(a, b visit) int { return a.At.Compare(b.At) })
	}
	return byID
}

// silenceCounts counts the requests of a round by what became of them.
type silenceCounts struct {
	// silent counts the requests with silence as their only fault, late those of them
	// that used up their time, broken those that were ended before.
	silent, late, broken int
	// abandoned counts the attempts that were followed by another one, overlong those
	// that went on too long after it.
	abandoned, overlong int
	// leftStuck counts the repeatable requests that got an answer although a connection of
	// theirs fell silent for good, lostStuck those that got none, and kept those of the
	// latter whose node had retries left.
	leftStuck, lostStuck, kept int
}

func (s *silenceScenario) verify(exchanges map[string]exchange) string {
	var counts silenceCounts
	visits := s.visits()
	s.retries = map[string][]time.Time{}
	for id, list := range visits {
		for _, v := range list[1:] {
			node := exchanges[id].node
			s.retries[node] = append(s.retries[node], v.At)
		}
	}
	for _, e := range exchanges {
		s.verifyAnswered(e, visits[e.request.ID], &counts)
		s.verifyAbandoned(e, visits[e.request.ID], &counts)
		if isStream(e.request.Path) && e.result.Err != nil && !strings.HasPrefix(completeStream(), e.result.Body) {
			s.recorder.addViolation("%s got the events %q", e.request.ID, e.result.Body)
		}
	}
	return fmt.Sprintf("servers=%d retry-slack=%d retry-ratio=%g grace=%v silences=%d stuck-servers=%d changes=%d drains=%d silent=%d silent-late=%d silent-broken=%d abandoned=%d abandoned-overlong=%d stuck-answered=%d stuck-unanswered=%d stuck-kept=%d ",
		len(s.serverPlans), s.retrySlack, s.retryRatio, s.graceTime, len(s.silences), s.stuck, s.changes, s.drains,
		counts.silent, counts.late, counts.broken, counts.abandoned, counts.overlong, counts.leftStuck, counts.lostStuck, counts.kept)
}

// verifyAnswered checks that a request with silence as its only fault gets a complete
// answer unless it has used up its time.
func (s *silenceScenario) verifyAnswered(e exchange, visits []visit, counts *silenceCounts) {
	took := e.answeredAt.Sub(e.sentAt)
	if len(visits) == 0 {
		if e.result.Err != nil && took > lossSlack && took < lateTime(e) && !s.isExcused(e, nil) {
			s.recorder.addViolation("%s got no answer from %s: its connection ended after %v: %v", e.request.ID, e.node, took, e.result.Err)
		}
		return
	}
	if s.isExcused(e, visits) {
		return
	}
	isStuck := mayRepeat(e.request.Path) && slices.ContainsFunc(visits, func(v visit) bool { return v.Stuck })
	if s.wasSilent(e, visits) {
		counts.silent++
	}
	switch {
	case e.result.Err == nil && e.result.Status == http.StatusOK:
		if isStuck {
			counts.leftStuck++
		}
	case took >= lateTime(e):
		counts.late++
		if isStuck {
			counts.lostStuck++
			s.verifyStuck(e, visits, counts)
		}
	default:
		counts.broken++
		s.recorder.addViolation("%s was ended by %s after %v with status %d, error %v, body %q; servers: %s",
			e.request.ID, e.node, took, e.result.Status, e.result.Err, e.result.Body, s.describe(e, visits))
	}
}

// verifyStuck records that a repeatable request stayed on a connection that had fallen
// silent for good, although another server was there and its node had retries left.
func (s *silenceScenario) verifyStuck(e exchange, visits []visit, counts *silenceCounts) {
	retries := 0
	for _, at := range s.retries[e.node] {
		if at.Before(e.answeredAt) && e.answeredAt.Sub(at) < retryWindow {
			retries++
		}
	}
	share := s.retrySlack / len(s.nodes)
	if len(s.serverPlans) < 2 || retries >= share/2 || s.wasServerSilent(e) || len(s.recorder.plannedRestarts(e.node)) > 0 {
		return
	}
	counts.kept++
	s.recorder.addViolation("%s got no answer from %s within %v, and its connection was silent for good; servers: %s", e.request.ID, e.node, e.request.Timeout, s.describe(e, visits))
}

// mayRepeat reports whether requests with this path may run more than once.
func mayRepeat(path string) bool {
	return strings.HasPrefix(path, platformtest.RepeatablePath) || strings.HasPrefix(path, platformtest.StreamPath)
}

// lateTime is the time after which a request may be ended.
func lateTime(e exchange) time.Duration {
	return time.Duration(lateShare * float64(e.request.Timeout))
}

// wasSilent reports whether one of the request's servers was silent meanwhile.
func (s *silenceScenario) wasSilent(e exchange, visits []visit) bool {
	if slices.ContainsFunc(visits, func(v visit) bool { return v.Stuck || v.Behavior.End == platformtest.EndPause }) {
		return true
	}
	return s.wasServerSilent(e)
}

// wasServerSilent reports whether a whole server was silent during the request.
func (s *silenceScenario) wasServerSilent(e exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.silences, func(p period) bool { return p.start.Before(e.answeredAt) && p.end.After(e.sentAt) })
}

// isExcused reports whether something other than silence and planned work happened to the
// request's node or to one of the servers that received it.
func (s *silenceScenario) isExcused(e exchange, visits []visit) bool {
	if s.recorder.hadUnplannedFault(e.node, e.sentAt, e.answeredAt) {
		return true
	}
	for _, r := range s.recorder.plannedRestarts(e.node) {
		if e.sentAt.Before(r.start.Add(lateSendTime)) && !e.answeredAt.Before(r.start.Add(s.openRequestTime())) && (r.end.IsZero() || e.sentAt.Before(r.end)) {
			return true
		}
	}
	return slices.ContainsFunc(visits, func(v visit) bool { return s.isFaulty(v, e.sentAt, e.answeredAt) })
}

// isFaulty reports whether the server of a visit had another fault than silence between
// start and end, or gave the request a faulty answer.
func (s *silenceScenario) isFaulty(v visit, start, end time.Time) bool {
	isSound := v.Behavior.Head == platformtest.HeadSuccess && (v.Behavior.Cut == platformtest.NoCut || v.Behavior.End == platformtest.EndPause) && !v.Leaving
	crashed := slices.ContainsFunc(s.cluster.servers[v.server].Crashes(), func(t time.Time) bool { return t.After(start) && t.Before(end) })
	return !isSound || crashed || s.recorder.hadFault(serverName(v.server), start, end)
}

// verifyAbandoned checks that a server does not stay at work on a request after the next
// one has received it, unless that one has broken off its answer. Only nodes and servers
// without faults are checked.
func (s *silenceScenario) verifyAbandoned(e exchange, visits []visit, counts *silenceCounts) {
	for i := 1; i < len(visits); i++ {
		v, next := visits[i-1], visits[i]
		until := next.At.Add(maxAbandonedTime)
		counts.abandoned++
		if !next.EndedAt.IsZero() && next.EndedAt.Before(until) && s.isFaulty(next, v.At, until) {
			continue
		}
		if !v.EndedAt.IsZero() && v.EndedAt.Before(until) || s.recorder.hadUnplannedFault(e.node, v.At, until) || s.recorder.hadFault(serverName(v.server), v.At, until) {
			continue
		}
		counts.overlong++
		s.recorder.addViolation("%s: server %d was at work for over %v after server %d had received the request at %.3f s", e.request.ID, v.server, maxAbandonedTime, next.server, next.At.Sub(s.startedAt).Seconds())
	}
}

// describe lists a request's visits.
func (s *silenceScenario) describe(e exchange, visits []visit) string {
	var texts []string
	for _, v := range visits {
		texts = append(texts, fmt.Sprintf("%d at %.3f s, %+v", v.server, v.At.Sub(s.startedAt).Seconds(), v.Behavior))
	}
	return fmt.Sprintf("sent at %.3f s; %s", e.sentAt.Sub(s.startedAt).Seconds(), strings.Join(texts, "; "))
}
