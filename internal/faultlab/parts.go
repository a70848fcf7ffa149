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

	"github.com/cespare/xxhash/v2"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// ScenarioParts is the scenario of prompt parts that crash each server which begins to
// answer a request with them.
const ScenarioParts = "parts"

func init() {
	scenarios[ScenarioParts] = func(c *cluster) scenario { return newPartsScenario(c) }
}

const (
	// partsCallersPerNode callers of each node send soundRequestRate sound requests a
	// second in total.
	partsCallersPerNode = 4
	soundRequestRate    = 60
	// sharedPartCount is the number of parts from which sound requests draw their middle
	// ones.
	sharedPartCount = 6
	// maxPartCrashes is the number of crashes under a part after which nodes have to stop
	// sending requests with it, and maxLatePartSends the number of those that may still
	// reach servers later than contactTime after that.
	maxPartCrashes   = 5
	maxLatePartSends = 3
	// minJudgedRequests is the number of sound requests before and after the crashes from
	// which on their shares of served ones are compared, and minSoundShare bounds the
	// quotient of these shares.
	minJudgedRequests = 20
	minSoundShare     = 0.5
	// maxPartAnswerPause bounds the time between two pieces of an answer.
	maxPartAnswerPause = 120 * time.Millisecond
)

// partsScenario is the scenario ScenarioParts.
type partsScenario struct {
	*cluster
	serverPlans []serverPlan
	// path is the path prefix of the route of the crashing requests.
	path string
	// bad holds the IDs of the parts that crash servers, and isFirst tells whether they
	// are the first part of their requests instead of a middle one. innocent is a part
	// that only requests with a bad one have, if it is not empty.
	bad      []string
	isFirst  bool
	innocent string
	// crash is the behavior of a server that answers a request with a bad part, and
	// crashName its name in the report.
	crash     platformtest.Behavior
	crashName string
	// startAfter is the time without crashing requests, and maxPause the maximum pause
	// between two of them.
	startAfter, maxPause time.Duration
	// injectsOthers is true if nodes and the store have faults meanwhile.
	injectsOthers bool
}

func newPartsScenario(c *cluster) *partsScenario {
	random := rand.New(rand.NewPCG(c.seed, 79))
	p := &partsScenario{cluster: c}
	for i := range []int{5, 8, 12}[random.IntN(3)] {
		p.serverPlans = append(p.serverPlans, serverPlan{fmt.Sprint("s-", i), platformtest.Service, zoneName(i), time.Duration(1000+random.IntN(1500)) * time.Millisecond})
	}
	paths := []string{platformtest.OncePath, platformtest.RepeatablePath, platformtest.StreamPath}
	p.path = paths[random.IntN(len(paths))]
	for range 1 + random.IntN(4)/3 {
		p.bad = append(p.bad, fmt.Sprintf("%08x", random.Uint32()))
	}
	p.isFirst = random.IntN(4) == 0
	if random.IntN(4) == 0 {
		p.innocent = fmt.Sprintf("%08x", random.Uint32())
	}
	switch random.IntN(4) {
	case 0:
		p.crash, p.crashName = platformtest.Crash, "before-head"
	case 1:
		p.crash, p.crashName = platformtest.Behavior{Cut: platformtest.CutAfterHead, End: platformtest.EndCrash}, "after-head"
	case 2:
		p.crash, p.crashName = platformtest.Behavior{Cut: platformtest.CutBeforeEvent, CutEvent: 1 + random.IntN(2), End: platformtest.EndCrash}, "between-events"
	case 3:
		// Between two events, such an end can't be told from that of a complete answer.
		p.crash, p.crashName = platformtest.Behavior{Framing: platformtest.FramingNone, Cut: platformtest.CutInData, CutEvent: random.IntN(3), End: platformtest.EndCrashInOrder}, "in-event-unframed"
		p.path = platformtest.StreamPath
	}
	p.startAfter = time.Duration(3000+random.IntN(2000)) * time.Millisecond
	p.maxPause = time.Duration(150+random.IntN(500)) * time.Millisecond
	p.injectsOthers = random.IntN(2) == 0
	return p
}

func (p *partsScenario) servers() []serverPlan { return p.serverPlans }

func (p *partsScenario) settings() string { return "" }

func (p *partsScenario) grace() time.Duration { return defaultGrace }

func (p *partsScenario) document(version int) []byte { return platformtest.Document(version) }

func (p *partsScenario) behavior(id string) func(int, platformtest.Run) platformtest.Behavior {
	return func(n int, r platformtest.Run) platformtest.Behavior {
		random := rand.New(rand.NewPCG(p.seed, xxhash.Sum64String(fmt.Sprint(id, " ", n))))
		b := platformtest.CompleteAnswer
		if p.badPartOf(r.Header.Get(platformtest.PromptPrefixHeader)) != "" {
			b = p.crash
		}
		b.EventPause = time.Duration(random.Int64N(int64(maxPartAnswerPause)))
		return b
	}
}

// badPartOf returns the part in a request's list of parts that crashes servers, empty if
// there is none. The last part does not count.
func (p *partsScenario) badPartOf(prefix string) string {
	parts := strings.Split(prefix, ",")
	for _, part := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(part, ":")
		if slices.Contains(p.bad, id) {
			return id
		}
	}
	return ""
}

// request returns a request with the given parts and a last one of its own.
func (p *partsScenario) request(random *rand.Rand, id, path string, parts ...string) platformtest.Request {
	own := fmt.Sprintf("%016x", xxhash.Sum64String(id))
	prefix := strings.Join(append(parts, own), ":200,") + ":200"
	return platformtest.Request{
		ID: id, Method: http.MethodPost, Path: path + "x", Key: platformtest.Key, Body: "body of " + id, Timeout: requestTimeout,
		Header: platformtest.PromptHeader(prefix, 200*(len(parts)+1), 10+random.IntN(90)),
	}
}

// firstPart returns the first part of all sound requests of a route.
func firstPart(path string) string { return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(path))) }

func sharedPart(i int) string { return fmt.Sprintf("%08x", 0xabc00000+i) }

func (p *partsScenario) send(ctx context.Context, load *sync.WaitGroup) {
	for i, n := range p.nodes {
		for k := range partsCallersPerNode {
			load.Go(func() {
				p.sendSound(ctx, n, rand.New(rand.NewPCG(p.seed, uint64(100+i*partsCallersPerNode+k))), fmt.Sprintf("%d-%d-%d", p.seed, i, k))
			})
		}
	}
	load.Go(func() { p.sendCrashing(ctx, rand.New(rand.NewPCG(p.seed, 99)), fmt.Sprintf("%d-crash", p.seed)) })
}

// sendSound sends sound requests to one node until ctx ends. They share their key, their
// first part and other parts with the crashing ones.
func (p *partsScenario) sendSound(ctx context.Context, target *node, random *rand.Rand, name string) {
	caller := platformtest.NewCaller(target.callerAddress)
	defer caller.Close()
	paths := []string{platformtest.OncePath, platformtest.RepeatablePath, platformtest.StreamPath}
	maxPause := 2 * time.Second * time.Duration(len(p.nodes)*partsCallersPerNode) / soundRequestRate
	for n := 0; ctx.Err() == nil; n++ {
		path := p.path
		if random.IntN(2) == 0 {
			path = paths[random.IntN(len(paths))]
		}
		p.exchange(ctx, caller, target, p.request(random, fmt.Sprintf("%s-%d", name, n), path, firstPart(path), sharedPart(random.IntN(sharedPartCount))))
		time.Sleep(time.Duration(random.Int64N(int64(maxPause))))
	}
}

// sendCrashing sends requests with bad parts to all nodes until ctx ends. It does not wait
// for their answers.
func (p *partsScenario) sendCrashing(ctx context.Context, random *rand.Rand, name string) {
	var open sync.WaitGroup
	defer open.Wait()
	select {
	case <-ctx.Done():
	case <-time.After(p.startAfter):
	}
	for n := 0; ctx.Err() == nil; n++ {
		target := p.nodes[random.IntN(len(p.nodes))]
		parts := []string{p.bad[random.IntN(len(p.bad))], sharedPart(random.IntN(sharedPartCount))}
		if !p.isFirst {
			parts = append([]string{firstPart(p.path)}, parts...)
		}
		if p.innocent != "" {
			parts = append(parts, p.innocent)
		}
		request := p.request(random, fmt.Sprintf("%s-%d", name, n), p.path, parts...)
		open.Go(func() {
			caller := platformtest.NewCaller(target.callerAddress)
			defer caller.Close()
			p.exchange(ctx, caller, target, request)
		})
		time.Sleep(time.Duration(random.Int64N(int64(p.maxPause))))
	}
}

// exchange sends one request and records it with its result.
func (p *partsScenario) exchange(ctx context.Context, caller *platformtest.Caller, target *node, request platformtest.Request) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*requestTimeout)
	defer cancel()
	sentAt := time.Now()
	p.recorder.add(target.name, request, sentAt, caller.Do(ctx, request))
}

// injectFaults injects faults of nodes and of the store, or none.
func (p *partsScenario) injectFaults(ctx context.Context, total time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	kinds := []int{0, 0, 2, 2, 3, 3, 6, 7, 8}
	for end := time.Now().Add(total); time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(min(time.Until(end), time.Duration(2000+p.random.IntN(4000))*time.Millisecond))
		n, kind := p.nodes[p.random.IntN(len(p.nodes))], kinds[p.random.IntN(len(kinds))]
		fault, duration := Fault(1+p.random.IntN(int(faultCount)-1)), time.Duration(300+p.random.IntN(2000))*time.Millisecond
		if p.injectsOthers && time.Now().Before(end) {
			running.Go(p.fault(kind, n, 0, fault, duration))
		}
	}
}

// partCounts are the counts of one bad part.
type partCounts struct {
	crashes, late int
	// before and after count the sound requests of the route before the first crash and
	// from 2*contactTime after the last one that is allowed; servedBefore and servedAfter
	// those of them that were served.
	before, servedBefore, after, servedAfter int
}

func (p *partsScenario) verify(exchanges map[string]exchange) string {
	text := fmt.Sprintf("servers=%d parts=%d route=%s first=%t innocent=%t other-faults=%t crash=%s ",
		len(p.serverPlans), len(p.bad), strings.Trim(p.path, "/"), p.isFirst, p.innocent != "", p.injectsOthers, p.crashName)
	for _, part := range p.bad {
		n := p.verifyPart(part, exchanges)
		text += fmt.Sprintf("part-crashes=%d part-late=%d sound-before=%d/%d sound-after=%d/%d ", n.crashes, n.late, n.servedBefore, n.before, n.servedAfter, n.after)
	}
	return text + fmt.Sprintf("sound-failed=%d ", p.failedSound(exchanges))
}

// verifyPart checks that nodes without faults stop sending requests with a part that has
// crashed maxPartCrashes servers, and that sound requests are served then.
func (p *partsScenario) verifyPart(part string, exchanges map[string]exchange) partCounts {
	var sends []visit
	for id, visits := range p.visits() {
		if p.badPartOf(exchanges[id].request.Header[platformtest.PromptPrefixHeader]) == part {
			sends = append(sends, visits...)
		}
	}
	slices.SortFunc(sends, func(a, b visit) int { return a.At.Compare(b.At) })
	counts := partCounts{crashes: len(sends)}
	if len(sends) == 0 {
		return counts
	}
	stopAt := sends[min(len(sends), maxPartCrashes)-1].At
	var late []string
	for _, v := range sends {
		node := exchanges[v.ID].node
		if len(sends) > maxPartCrashes && v.At.Sub(stopAt) > contactTime && p.recorder.isCalm(node, v.At) {
			late = append(late, fmt.Sprintf("%s by %s at %.2f s", v.ID, node, v.At.Sub(p.startedAt).Seconds()))
		}
	}
	counts.late = len(late)
	if len(late) > maxLatePartSends {
		p.recorder.addViolation("requests with the part %s reached servers %d times later than %v after its fifth crash at %.2f s: %v",
			part, len(late), contactTime, stopAt.Sub(p.startedAt).Seconds(), late)
	}
	p.verifySound(part, stopAt.Add(2*contactTime), exchanges, &counts)
	return counts
}

// verifySound compares how often sound requests of the route were served before the first
// crash and from the time since on, while requests with the part still came. Requests at
// nodes with faults don't count.
func (p *partsScenario) verifySound(part string, since time.Time, exchanges map[string]exchange, counts *partCounts) {
	firstSent, lastSent := time.Time{}, time.Time{}
	for _, e := range exchanges {
		bad := p.badPartOf(e.request.Header[platformtest.PromptPrefixHeader])
		if bad != "" && (firstSent.IsZero() || e.sentAt.Before(firstSent)) {
			firstSent = e.sentAt
		}
		if bad == part && e.sentAt.After(lastSent) {
			lastSent = e.sentAt
		}
	}
	for _, e := range exchanges {
		if !p.isSound(e) || !strings.HasPrefix(e.request.Path, p.path) || !p.recorder.isCalm(e.node, e.answeredAt) {
			continue
		}
		served := 0
		if e.result.Err == nil && e.result.Status == http.StatusOK {
			served = 1
		}
		switch {
		case e.answeredAt.Before(firstSent):
			counts.before, counts.servedBefore = counts.before+1, counts.servedBefore+served
		case e.sentAt.After(since) && e.sentAt.Before(lastSent):
			counts.after, counts.servedAfter = counts.after+1, counts.servedAfter+served
		}
	}
	if counts.before < minJudgedRequests || counts.after < minJudgedRequests {
		return
	}
	before := float64(counts.servedBefore) / float64(counts.before)
	if after := float64(counts.servedAfter) / float64(counts.after); after < minSoundShare*before {
		p.recorder.addViolation("%d of %d sound requests were served from %v after the fifth crash of part %s on, %d of %d before the first one",
			counts.servedAfter, counts.after, 2*contactTime, part, counts.servedBefore, counts.before)
	}
}

func (p *partsScenario) isSound(e exchange) bool {
	prefix := e.request.Header[platformtest.PromptPrefixHeader]
	return prefix != "" && p.badPartOf(prefix) == ""
}

// failedSound counts the sound requests that were not served.
func (p *partsScenario) failedSound(exchanges map[string]exchange) int {
	count := 0
	for _, e := range exchanges {
		if p.isSound(e) && (e.result.Err != nil || e.result.Status != http.StatusOK) {
			count++
		}
	}
	return count
}
