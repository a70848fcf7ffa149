package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
)

func init() { cases["8"] = playBadVersion }

// plainDocument has the plain service and its routes as the sheet of the small deployment states
// them.
const plainDocument = `{"version":1,"routes":[
{"name":"post","host":"ficu95.example","pathPrefix":"/post/","kind":"non_idempotent","timeoutMs":800,"latencyTargetMs":150,"service":"plain","maxAttempts":1,"priority":2},
{"name":"look","host":"ficu95.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":800,"latencyTargetMs":150,"service":"plain","maxAttempts":2,"priority":2}],
"services":[{"name":"plain","healthPath":"/healthz","maxConns":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":15000},
"tenants":[{"name":"tenant-1","apiKeys":["key-1"],"unit":"tokens","plainTokens":200,"ratePerS":0,"burst":0}]}`

// sent is a request that a client has sent.
type sent struct {
	at     time.Time
	answer answer
}

// playBadVersion lets the operator order a version that fails a part of the requests of one route.
func playBadVersion(p *play) error {
	const (
		serverCount  = 4
		lookEvery    = 83 * time.Millisecond
		postEvery    = 1150 * time.Millisecond
		failingShare = 0.45
		// orderTime is the time within which the operator orders the move.
		orderTime   = 15 * time.Second
		rollback    = 5 * time.Second
		total       = 108 * time.Second
		exposeShare = 0.1
		exposeSlack = 50
		badAnswers  = 50
	)
	p.store.Put(platform.OperatorTopic, platform.DocumentKey, []byte(plainDocument))
	share := 0.0
	if p.trouble {
		share = failingShare
	}
	byVersion := map[string][]*plainServer{}
	var old []func()
	begin := func(version string, failing float64) error {
		for i := range serverCount {
			s, err := newPlainServer(p, fmt.Sprintf("i-%s-%d", version, i+1), version, failing)
			if err != nil {
				return err
			}
			byVersion[version] = append(byVersion[version], s)
			leave := p.register(s.id, "plain", s.listener.Addr().String(), fmt.Sprintf("zone-%d", i+1), version, plainSlots)
			if version == "v1" {
				old = append(old, func() { s.stop(); leave(true) })
			}
		}
		return nil
	}
	if err := begin("v1", 0); err != nil {
		return err
	}
	if err := p.startGateways(2); err != nil {
		return err
	}
	end := time.Now().Add(total)
	var mu sync.Mutex
	requests := map[string]sent{}
	var load sync.WaitGroup
	send := func(c *client, method, path, id string) {
		load.Go(func() {
			body := ""
			if method == "POST" {
				body = strings.Repeat("x", 600)
			}
			at := time.Now()
			p.note("client sends %s %s", method, id)
			a := c.do(method, path, id, body, 1500*time.Millisecond)
			p.note("client gets %d for %s, error %v", a.status, id, a.err)
			mu.Lock()
			requests[id] = sent{at, a}
			mu.Unlock()
		})
	}
	for i, g := range p.gateways {
		c := newClient(g)
		load.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				send(c, "GET", "/look/1", fmt.Sprintf("look-%d-%d", i, n))
				time.Sleep(lookEvery)
			}
		})
		load.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				send(c, "POST", "/post/1", fmt.Sprintf("post-%d-%d", i, n))
				time.Sleep(postEvery)
			}
		})
	}
	time.Sleep(4 * time.Second)
	if err := begin("v2", share); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	orderedAt := time.Now()
	p.note("operator orders v2 within %v; it fails %v of the posts", orderTime, share)
	p.store.Put(platform.OperatorTopic, "rollout/plain", fmt.Appendf(nil, `{"service":"plain","target":"v2","durationS":%g}`, orderTime.Seconds()))
	for state := ""; time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if now := string(p.store.Newest(platform.StatusTopic, "rollout/plain")); now != state {
			state = now
			p.note("status of the move: %s", state)
			if strings.Contains(state, `"done"`) {
				for _, stop := range old {
					stop()
				}
			}
		}
	}
	load.Wait()
	var runs []run
	for _, list := range byVersion {
		for _, s := range list {
			s.mu.Lock()
			runs = append(runs, s.runs...)
			s.mu.Unlock()
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	all, exposed, bad, late := 0, 0, 0, 0
	var lastBad time.Time
	for _, r := range runs {
		at := requests[r.id].at
		if at.After(orderedAt) && at.Before(orderedAt.Add(orderTime)) {
			all++
			if r.version == "v2" {
				exposed++
			}
		}
		if r.failed {
			if bad++; bad == badAnswers {
				lastBad = r.at
			}
		}
		if r.version == "v2" && !lastBad.IsZero() && at.After(lastBad.Add(rollback)) {
			late++
		}
	}
	p.note("%d bad answers; %d requests to v2 of %d until the deadline; %d later than %v after bad answer %d", bad, exposed, all, late, rollback, badAnswers)
	fmt.Printf("%d bad answers; %d requests to v2 of %d until the deadline; %d later than %v after bad answer %d\n", bad, exposed, all, late, rollback, badAnswers)
	if share > 0 && float64(exposed) > exposeShare*float64(all)+exposeSlack {
		p.breaks("EXPOSURE: the bad version got %d of %d requests until the deadline", exposed, all)
	}
	if late > 0 {
		p.breaks("EXPOSURE: the bad version got %d requests that were sent later than %v after its bad answer %d", late, rollback, badAnswers)
	}
	return nil
}
