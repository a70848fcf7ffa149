package faultlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// ScenarioRelocation is the scenario of reclaimable servers that announce their end, copy the
// memory of their runs and end, in order or not, while calls that move runs fail, beside faults
// of nodes and of the store.
const ScenarioRelocation = "relocation"

func init() {
	scenarios[ScenarioRelocation] = func(c *cluster) scenario { return newRelocationScenario(c) }
}

const (
	// reclaimableCount and steadyCount are the numbers of servers that end and are replaced, and
	// of those that stay.
	reclaimableCount = 6
	steadyCount      = 2
	// relocationEvents is the number of events of a stream, with pauses from minRunPause to
	// maxRunPause between them.
	relocationEvents = 60
	minRunPause      = 15 * time.Millisecond
	maxRunPause      = 60 * time.Millisecond
	// relocationPlaces is the number of requests that a server runs, and lets wait.
	relocationPlaces = 16
	// relocationTimeout is the deadline that callers send, and that of the routes. One in
	// shortShare requests has a shorter one, which many answers exceed.
	relocationTimeout = 8 * time.Second
	minShortTimeout   = 200 * time.Millisecond
	maxShortTimeout   = 2 * time.Second
	shortShare        = 10
	// maxFailurePause is the maximum pause of a caller after a request that was not served.
	maxFailurePause = 300 * time.Millisecond
	// keptCallersPerNode use one connection until the process is gone, otherCallersPerNode obey
	// what answers state.
	keptCallersPerNode  = 5
	otherCallersPerNode = 5
	// minNotice and maxNotice bound the time from a server's notice until its end.
	minNotice = time.Second
	maxNotice = 3 * time.Second
	// maxOrderDelay bounds the time by which a call that stops a run is carried out or answered
	// late.
	maxOrderDelay = 3 * time.Second
	// neverAgain is the RestartAfter of servers that don't come back.
	neverAgain = time.Hour
)

// serverEnd is how a server ends.
type serverEnd int

const (
	// endInOrder closes its connections, endByReset resets them, and endSilently leaves them
	// open without another byte.
	endInOrder serverEnd = iota
	endByReset
	endSilently
	serverEndCount
)

var serverEndNames = [...]string{"in order", "by reset", "silently"}

func (e serverEnd) String() string { return serverEndNames[e] }

// relocationScenario is the scenario ScenarioRelocation.
type relocationScenario struct {
	mixedScenario
	mover *platformtest.Mover

	// starting is locked while a server is started. mu guards the other fields.
	starting, mu sync.Mutex
	// ready holds the reclaimable servers that have announced nothing.
	ready []*relocationServer
	// planned and started count the servers.
	planned, started int
	ends             []recordedEnd
}

type relocationServer struct {
	*platformtest.Server
	proxy *proxy
	plan  serverPlan
}

// recordedEnd is the end of a server.
type recordedEnd struct {
	server string
	at     time.Time
	how    serverEnd
}

func newRelocationScenario(c *cluster) *relocationScenario {
	s := &relocationScenario{mixedScenario: mixedScenario{c}}
	s.mover = platformtest.NewMover(relocationEvents, s.moveBehavior)
	c.stream, c.prepareServer = s.mover.Stream(), s.prepare
	return s
}

func (s *relocationScenario) servers() []serverPlan {
	var plans []serverPlan
	for range steadyCount + reclaimableCount {
		plans = append(plans, s.newPlan())
	}
	return plans
}

// newPlan returns the plan of another server.
func (s *relocationScenario) newPlan() serverPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	plan := serverPlan{fmt.Sprint("s-", s.planned), platformtest.Service, zoneName(s.planned), neverAgain}
	s.planned++
	return plan
}

// prepare prepares a server. All but the first ones are reclaimable.
func (s *relocationScenario) prepare(plan serverPlan, server *platformtest.Server, p *proxy) {
	server.SetPlaces(relocationPlaces, relocationPlaces)
	server.JoinMover(s.mover, p.address())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	if s.started <= steadyCount {
		return
	}
	server.SetReclaimable()
	e := &relocationServer{server, p, plan}
	server.OnRestart = func() { s.restarted(e) }
	if s.started <= steadyCount+reclaimableCount {
		s.ready = append(s.ready, e)
	}
}

func (s *relocationScenario) addReady(e *relocationServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = append(s.ready, e)
}

func (s *relocationScenario) settings() string { return "[retries]\nslack = 10000\nratio = 1\n" }

func (s *relocationScenario) document(version int) []byte {
	o := platformtest.DefaultDocument(version)
	o.OnceStream, o.Moves, o.Timeout, o.ExtraRoutes = true, true, relocationTimeout, version%relocationPlaces
	return o.Encode()
}

// behavior draws the framing and the pace of each answer. Few are failures or rejections.
func (s *relocationScenario) behavior(id string) func(int, platformtest.Run) platformtest.Behavior {
	return func(n int, _ platformtest.Run) platformtest.Behavior {
		random := rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(fmt.Sprint(id, " ", n))))
		b := platformtest.Behavior{
			Framing:    []platformtest.Framing{platformtest.FramingNone, platformtest.FramingNone, platformtest.FramingLength, platformtest.FramingChunks}[random.IntN(4)],
			EventPause: minRunPause + time.Duration(random.Int64N(int64(maxRunPause-minRunPause))),
		}
		switch random.IntN(80) {
		case 0:
			b.Head = platformtest.HeadServerError
		case 1:
			b.Head = platformtest.HeadNotRun
		}
		return b
	}
}

// moveBehavior draws how a call that moves a run is carried out and answered.
func (s *relocationScenario) moveBehavior(m platformtest.Move) platformtest.MoveBehavior {
	random := rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(fmt.Sprint(m.ID, " ", m.Server, " ", m.Last))))
	b := platformtest.MoveBehavior{CopyTime: time.Duration(5+random.IntN(60)) * time.Millisecond}
	if !m.Last {
		switch random.IntN(30) {
		case 0, 1, 2, 3, 4:
			b.NoRoom = true
		case 5:
			b.Answer = platformtest.MoveUnanswered
		case 6:
			b.Answer = platformtest.MoveFailed
		}
		return b
	}
	b.CloseDelay = time.Duration(random.IntN(200)) * time.Millisecond
	late := time.Duration(random.Int64N(int64(maxOrderDelay)))
	switch random.IntN(10) {
	case 0, 1, 2:
	case 3:
		b.AnswerDelay = late
	case 4:
		b.NoRoom = true
	case 5:
		b.LosesCopy = true
	default:
		b.Answer = platformtest.MoveUnanswered + platformtest.MoveAnswer(random.IntN(4))
		b.AnswerDelay = time.Duration(random.IntN(100)) * time.Millisecond
		switch random.IntN(6) {
		case 0:
			b.IsIgnored = true
		case 1, 2:
			b.StopDelay = late
		}
	}
	if b.Answer == platformtest.MoveAnswered && random.IntN(6) == 0 {
		b.StopDelay = late
	}
	return b
}

// send starts the callers.
func (s *relocationScenario) send(ctx context.Context, load *sync.WaitGroup) {
	for i, n := range s.nodes {
		for k := range keptCallersPerNode + otherCallersPerNode {
			name := fmt.Sprintf("%d-%d-%d", s.seed, i, k)
			random := rand.New(rand.NewPCG(s.seed, uint64(900+100*i+k)))
			load.Go(func() {
				if k < keptCallersPerNode {
					caller := platformtest.NewKeptCaller(n.callerAddress)
					defer caller.Close()
					s.askOften(ctx, n, random, name, caller.Do, caller.Do)
					return
				}
				caller := platformtest.NewCaller(n.callerAddress)
				defer caller.Close()
				s.askOften(ctx, n, random, name, caller.Do, caller.DoHTTP10)
			})
		}
	}
}

// askOften sends requests to a node until ctx ends, some of them by another function.
func (s *relocationScenario) askOften(ctx context.Context, n *node, random *rand.Rand, name string, send, sendOther func(context.Context, platformtest.Request) platformtest.Answer) {
	paths := []string{
		platformtest.OnceStreamPath, platformtest.OnceStreamPath, platformtest.OnceStreamPath, platformtest.StreamPath, platformtest.StreamPath,
		platformtest.OncePath, platformtest.RepeatablePath,
	}
	for k := 0; ctx.Err() == nil; k++ {
		id := fmt.Sprint(name, "-", k)
		request := platformtest.Request{
			ID: id, Method: http.MethodPost, Path: paths[random.IntN(len(paths))] + "x", Key: platformtest.Key, Body: "body of " + id, Timeout: relocationTimeout,
			Header: platformtest.TokenCount(1000, 4000),
		}
		if random.IntN(shortShare) == 0 {
			request.Timeout = minShortTimeout + time.Duration(random.Int64N(int64(maxShortTimeout-minShortTimeout)))
		}
		ask := send
		if random.IntN(3) == 0 {
			ask = sendOther
		}
		requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*relocationTimeout)
		sentAt := time.Now()
		result := ask(requestCtx, request)
		cancel()
		s.recorder.add(n.name, request, sentAt, result)
		pause := maxRequestPause
		if result.Err != nil || result.Status != http.StatusOK {
			pause = maxFailurePause
		}
		time.Sleep(time.Duration(random.Int64N(int64(pause))))
	}
}

// replace starts another reclaimable server and registers it.
func (s *relocationScenario) replace() {
	plan := s.newPlan()
	s.starting.Lock()
	server, p, err := s.startServer(plan)
	s.starting.Unlock()
	if err != nil {
		s.recordError(err)
		return
	}
	e := &relocationServer{server, p, plan}
	s.enter(e, "ready")
	s.addReady(e)
}

// enter writes the entry of a server.
func (s *relocationScenario) enter(e *relocationServer, state string) {
	s.register(e.ID, e.RegistrationAt(e.proxy.address(), e.plan.service, e.plan.zone, state))
}

// restarted lets a server take part again that is back under its id.
func (s *relocationScenario) restarted(e *relocationServer) {
	if err := e.proxy.listenAgain(e.Address()); err != nil {
		s.recordError(err)
		return
	}
	e.JoinMover(s.mover, e.proxy.address())
	s.enter(e, "ready")
	s.addReady(e)
}

// injectFaults lets servers end and be replaced, beside other faults.
func (s *relocationScenario) injectFaults(ctx context.Context, total time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		running.Go(s.drawRelocationFault(&running))
		time.Sleep(time.Duration(s.random.IntN(600)) * time.Millisecond)
	}
}

// drawRelocationFault draws a fault and returns the function that applies it.
func (s *relocationScenario) drawRelocationFault(running *sync.WaitGroup) func() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	duration := time.Duration(300+s.random.IntN(3000)) * time.Millisecond
	fault := Fault(1 + s.random.IntN(int(faultCount)-1))
	kind := s.random.IntN(20)
	departures := []departure{s.drawDeparture()}
	nodeFaults := []int{0, 1, 1, 2, 2, 3, 6, 7}
	switch {
	case kind < 10:
	case kind < 12:
		// The servers of a zone are reclaimed at once.
		departures = append(departures, departures[0], departures[0])
	case kind < 18:
		nodeFault := nodeFaults[s.random.IntN(len(nodeFaults))]
		return s.fault(nodeFault, n, 0, fault, duration)
	case kind < 19:
		return func() {
			s.logEvent("SIGHUP to %s", n.name)
			n.signal(syscall.SIGHUP)
		}
	default:
		return func() {
			s.logEvent("new document")
			s.writeDocument()
		}
	}
	return func() {
		for _, d := range departures {
			running.Go(func() { s.depart(d) })
		}
	}
}

// departure is the end of a server and what follows.
type departure struct {
	// notice is the time from the notice to the end, 0 if the server ends without one.
	notice time.Duration
	how    serverEnd
	// replacedAfter is the time from the notice until another server starts, unless the server
	// comes back itself. removedAfter is the time from the end until the entry is removed.
	replacedAfter, removedAfter time.Duration
	comesBack                   bool
}

func (s *relocationScenario) drawDeparture() departure {
	d := departure{
		notice: minNotice + time.Duration(s.random.Int64N(int64(maxNotice-minNotice))), replacedAfter: time.Duration(s.random.IntN(1000)) * time.Millisecond,
		removedAfter: time.Duration(s.random.IntN(1000)) * time.Millisecond,
	}
	if s.random.IntN(2) == 0 {
		d.how = serverEnd(s.random.IntN(int(serverEndCount)))
	}
	if s.random.IntN(5) == 0 {
		d.notice = 0
	}
	d.comesBack = s.random.IntN(4) == 0 && d.how != endSilently
	return d
}

// takeReady takes the reclaimable server that was started first, nil if there is none.
func (s *relocationScenario) takeReady() *relocationServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ready) == 0 {
		return nil
	}
	e := s.ready[0]
	s.ready = s.ready[1:]
	return e
}

// depart lets a server end.
func (s *relocationScenario) depart(d departure) {
	e := s.takeReady()
	if e == nil {
		return
	}
	s.logEvent("%s ends %v, notice %v", e.ID, d.how, d.notice)
	var following sync.WaitGroup
	defer following.Wait()
	if !d.comesBack {
		following.Go(func() {
			time.Sleep(d.replacedAfter)
			s.replace()
		})
	}
	if d.notice > 0 {
		endsAt := time.Now().Add(d.notice)
		e.AnnounceEnd(d.notice)
		// The store may not be available meanwhile.
		entered := make(chan struct{})
		following.Go(func() {
			defer close(entered)
			s.enter(e, "draining")
		})
		time.Sleep(time.Until(endsAt))
		defer func() { <-entered }()
	}
	s.end(e, d)
	if d.comesBack {
		return
	}
	time.Sleep(d.removedAfter)
	following.Go(func() { s.register(e.ID, nil) })
}

func (s *relocationScenario) end(e *relocationServer, d departure) {
	s.mu.Lock()
	s.ends = append(s.ends, recordedEnd{e.ID, time.Now(), d.how})
	s.mu.Unlock()
	if d.how == endSilently {
		e.proxy.silence()
		e.proxy.refuse()
		return
	}
	if d.comesBack {
		e.RestartAfter = serverRestartTime
	}
	e.End(d.how == endByReset)
}

// relocationCounts counts what happened to the requests of a round.
type relocationCounts struct {
	// wholeStreams were received whole, brokenStreams in part. cutAfterStop and cutOtherwise are
	// those in part that looked complete.
	wholeStreams, brokenStreams, cutAfterStop, cutOtherwise int
}

// verify checks the answers beyond what holds in all scenarios: what callers have of a broken
// stream begins the whole one, and other bodies are those of one server.
func (s *relocationScenario) verify(exchanges map[string]exchange) string {
	stops, failedStops, stopped := 0, 0, 0
	orders := map[string][]platformtest.Move{}
	moves := s.mover.Moves()
	for _, m := range moves {
		orders[m.ID] = append(orders[m.ID], m)
		if !m.Last {
			continue
		}
		stops++
		if !m.StoppedAt.IsZero() {
			stopped++
		}
		if m.Status != http.StatusOK || m.Behavior.LosesCopy {
			failedStops++
		}
	}
	var counts relocationCounts
	for _, e := range exchanges {
		s.verifyBody(e, orders[e.request.ID], &counts)
	}
	var ends [serverEndCount]int
	for _, end := range s.ends {
		ends[end.how]++
	}
	continued, rejected := s.mover.Continued()
	return fmt.Sprintf("servers=%d ends-in-order=%d ends-by-reset=%d ends-silent=%d copies=%d stops=%d stops-failed=%d stopped=%d continued=%d copies-lost=%d streams-whole=%d streams-broken=%d looks-complete-after-stop=%d looks-complete-otherwise=%d ",
		s.started, ends[endInOrder], ends[endByReset], ends[endSilently], len(moves)-stops, stops, failedStops, stopped, continued, rejected,
		counts.wholeStreams, counts.brokenStreams, counts.cutAfterStop, counts.cutOtherwise)
}

func (s *relocationScenario) verifyBody(e exchange, orders []platformtest.Move, counts *relocationCounts) {
	isComplete := e.result.Err == nil && e.result.Status == http.StatusOK
	switch {
	case !isStream(e.request.Path) && isComplete:
		if server := strings.TrimPrefix(e.result.Seal, "seal-"); e.result.Body != s.mover.Plain(server, e.request.ID) {
			s.recorder.addViolation("%s got the body %q of %s as complete", e.request.ID, e.result.Body, server)
			s.trace(e, orders)
		}
	case !isStream(e.request.Path):
	case isComplete && e.result.Body == s.stream:
		counts.wholeStreams++
	case isComplete:
		// verifyRequest has added the violation.
		if slices.ContainsFunc(orders, func(m platformtest.Move) bool { return m.Last }) {
			counts.cutAfterStop++
		} else {
			counts.cutOtherwise++
		}
		s.trace(e, orders)
	case e.result.Err != nil && e.result.Status == http.StatusOK:
		counts.brokenStreams++
		if !strings.HasPrefix(s.stream, e.result.Body) {
			s.recorder.addViolation("%s got the events %q", e.request.ID, e.result.Body)
			s.trace(e, orders)
		}
	}
}

// trace prints what happened to a request at the servers.
func (s *relocationScenario) trace(e exchange, orders []platformtest.Move) {
	since := func(t time.Time) float64 { return t.Sub(s.startedAt).Seconds() }
	text := fmt.Sprintf("%s %s: %s, sent at %.3f s, answered at %.3f s", e.request.ID, e.request.Path, e.node, since(e.sentAt), since(e.answeredAt))
	for _, server := range s.cluster.servers {
		for _, r := range server.Runs() {
			if r.ID == e.request.ID {
				text += fmt.Sprintf("; begun by %s at %.3f s", server.ID, since(r.At))
			}
		}
	}
	var names []string
	for _, m := range orders {
		text += fmt.Sprintf("; move of %s at %.3f s, last %v, %+v, answered %d", m.Server, since(m.At), m.Last, m.Behavior, m.Status)
		if !m.StoppedAt.IsZero() {
			text += fmt.Sprintf(", stopped at %.3f s after %d events", since(m.StoppedAt), m.Events)
		}
		names = append(names, m.Server)
	}
	names = append(names, strings.TrimPrefix(e.result.Seal, "seal-"))
	for _, end := range s.ends {
		if slices.Contains(names, end.server) {
			text += fmt.Sprintf("; %s ended %v at %.3f s", end.server, end.how, since(end.at))
		}
	}
	s.recorder.addEvent(text)
}
