package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
)

func init() { cases["6"] = playAdditionalBytes }

// plainDocument has the plain service and its routes as the sheet of the small deployment states
// them.
const plainDocument = `{"version":1,"routes":[
{"name":"post","host":"ficu95.example","pathPrefix":"/post/","kind":"non_idempotent","timeoutMs":800,"latencyTargetMs":150,"service":"plain","maxAttempts":1,"priority":2},
{"name":"look","host":"ficu95.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":800,"latencyTargetMs":150,"service":"plain","maxAttempts":2,"priority":2}],
"services":[{"name":"plain","healthPath":"/healthz","maxConns":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":15000},
"tenants":[{"name":"tenant-1","apiKeys":["key-1"],"unit":"tokens","plainTokens":200,"ratePerS":0,"burst":0}]}`

// playAdditionalBytes lets servers send additional bytes after some of their complete answers, late.
// The bytes are a rejection that names no request.
func playAdditionalBytes(p *play) error {
	const (
		serverCount = 4
		postEvery   = 35 * time.Millisecond
		lookEvery   = 70 * time.Millisecond
		total       = 40 * time.Second
		// The site file has for_s = 5.0, x = 0.03 and share = 0.6 for "garble" with "extra late". Of
		// four servers, 0.6 are two.
		episode    = 5 * time.Second
		pause      = time.Second
		extraShare = 0.03
		garbling   = 2
	)
	p.store.Put(platform.OperatorTopic, platform.DocumentKey, []byte(plainDocument))
	var servers []*plainServer
	for i := range serverCount {
		s, err := newPlainServer(p, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return err
		}
		servers = append(servers, s)
		defer p.register(s.id, "plain", s.listener.Addr().String(), fmt.Sprintf("zone-%d", i+1), plainSlots)()
	}
	if err := p.startGateways(2); err != nil {
		return err
	}
	time.Sleep(time.Second)
	end := time.Now().Add(total)
	if p.trouble {
		go func() {
			for time.Now().Before(end) {
				p.note("trouble: i-1 and i-2 send additional bytes after %v of their answers", extraShare)
				for _, s := range servers[:garbling] {
					s.setExtra(extraShare)
				}
				time.Sleep(episode)
				p.note("trouble ends")
				for _, s := range servers {
					s.setExtra(0)
				}
				time.Sleep(pause)
			}
		}()
	}
	var mu sync.Mutex
	answers := map[string]answer{}
	var load sync.WaitGroup
	send := func(c *client, method, path, id string) {
		load.Go(func() {
			body := ""
			if method == "POST" {
				body = strings.Repeat("x", 600)
			}
			p.note("client sends %s %s", method, id)
			a := c.do(method, path, id, body, 1500*time.Millisecond)
			p.note("client gets %d for %s, error %v", a.status, id, a.err)
			mu.Lock()
			answers[id] = a
			mu.Unlock()
		})
	}
	for i, g := range p.gateways {
		c := newClient(g)
		load.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				send(c, "POST", "/post/1", fmt.Sprintf("post-%d-%d", i, n))
				time.Sleep(postEvery)
			}
		})
		load.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				send(c, "GET", "/look/1", fmt.Sprintf("look-%d-%d", i, n))
				time.Sleep(lookEvery)
			}
		})
	}
	load.Wait()
	time.Sleep(500 * time.Millisecond)
	p.checkOnce(servers, answers)
	return nil
}

// checkOnce checks the rules TWICE and REFUSED for the requests that must not be repeated.
func (p *play) checkOnce(servers []*plainServer, answers map[string]answer) {
	runs := map[string][]run{}
	for _, s := range servers {
		s.mu.Lock()
		for id, r := range s.runs {
			runs[id] = append(runs[id], r...)
		}
		s.mu.Unlock()
	}
	posts, served := 0, 0
	for _, id := range sortedKeys(answers) {
		if !strings.HasPrefix(id, "post-") {
			continue
		}
		posts++
		a := answers[id]
		if a.err == nil && a.status == 200 {
			served++
		}
		if len(runs[id]) > 1 {
			p.breaks("TWICE: %s ran %d times, at %s and %s; its client got %d", id, len(runs[id]), runs[id][0].server, runs[id][1].server, a.status)
		}
		if a.err == nil && (a.status == 503 || a.status == 429) && len(runs[id]) > 0 {
			p.breaks("REFUSED: %s was answered %d and has run at %s", id, a.status, runs[id][0].server)
		}
	}
	p.note("%d posts, %d served", posts, served)
	fmt.Printf("%d posts, %d served\n", posts, served)
}
