package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
)

func init() { cases["6"] = playReuseDuringFreeze }

// streamDocument has the engines' service with a route of streams and a plain service, as the sheet
// of the small deployment states them.
const streamDocument = `{"version":1,"routes":[
{"name":"drill","host":"ficu95.example","pathPrefix":"/drill/","kind":"stream","resumable":false,"timeoutMs":12000,"latencyTargetMs":500,"gapAimMs":400,"service":"llm","maxAttempts":1,"sticky":true},
{"name":"review","host":"ficu95.example","pathPrefix":"/review/","kind":"stream","resumable":true,"timeoutMs":15000,"latencyTargetMs":1200,"gapAimMs":400,"service":"llm","maxAttempts":2,"sticky":true},
{"name":"look","host":"ficu95.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":2000,"latencyTargetMs":300,"service":"plain","maxAttempts":2}],
"services":[{"name":"llm","healthPath":"/healthz","maxConns":360,"engine":{"slots":64,"kvTokens":569166,"stride":6}},
{"name":"plain","healthPath":"/healthz","maxConns":96}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":15000},
"tenants":[{"name":"tenant-1","apiKeys":["key-1"],"unit":"tokens","plainTokens":200,"ratePerS":0,"burst":0}]}`

const (
	eventCount = 60
	eventPause = 40 * time.Millisecond
)

// streamServer is a stand-in for a model engine. Its streams have no length and end with their
// connection. With isPlain it is a server of the plain service.
type streamServer struct {
	p        *play
	id       string
	isPlain  bool
	born     int64
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
	cut   int
}

func newStreamServer(p *play, id, address string, isPlain bool) (*streamServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &streamServer{p: p, id: id, isPlain: isPlain, born: time.Now().UnixMilli(), listener: l, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for s.serve(c, reader) {
				}
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
			}()
		}
	}()
	return s, nil
}

// crash ends the process: the system closes its listener and its connections.
func (s *streamServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// serve answers one request and reports whether the connection stays open.
func (s *streamServer) serve(c net.Conn, reader *bufio.Reader) bool {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	id := req.Header.Get(headerID)
	echo := ""
	if id != "" {
		echo = headerID + ": " + id + "\r\n"
	}
	if want := req.Header.Get(headerExpect); want != "" && want != s.id {
		s.p.note("server %s is asked for %s at %s: 421", s.id, want, req.URL.Path)
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s%s: %s\r\nContent-Length: 0\r\n\r\n", echo, headerServer, s.id)
		return true
	}
	switch {
	case id == "" && req.URL.Path == "/-/report" && !s.isPlain:
		body, _ := json.Marshal(map[string]any{"stage": "unified", "models": []any{}, "busy": false, "seq": 0, "waiting": 0, "running": 1, "kvUsed": 0, "kvTotal": 569166, "handles": 0, "born": s.born})
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return true
	case id == "" || s.isPlain:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s: %s\r\n%s: seal-%s\r\nContent-Length: 0\r\n\r\n", echo, headerServer, s.id, headerSeal, s.id)
		return true
	}
	first := 0
	if text := req.Header.Get("Last-Event-Id"); text != "" {
		if _, err := fmt.Sscan(text, &first); err == nil {
			first++
		}
	}
	s.p.note("server %s runs %s from event %d", s.id, id, first)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s%s: seal-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", echo, headerSeal, s.id)
	for i := first; i < eventCount; i++ {
		time.Sleep(eventPause)
		if _, err := fmt.Fprintf(c, "id: %d\ndata: piece %d of %s\n\n", i, i, id); err != nil {
			s.p.note("server %s has ended in the stream of %s, before event %d of %d", s.id, id, i, eventCount)
			s.mu.Lock()
			s.cut++
			s.mu.Unlock()
			return false
		}
	}
	return false
}

// registerStream writes the entry of a server once, and then every beat.
func (p *play) registerStream(s *streamServer, service, zone string, slots int) func(remove bool) {
	done := make(chan struct{})
	put := func(seq int) {
		entry, _ := json.Marshal(map[string]any{
			"service": service, "address": s.listener.Addr().String(), "zone": zone, "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": 0, "seq": seq, "born": s.born,
		})
		p.store.Put(platform.ServersTopic, s.id, entry)
	}
	put(1)
	go func() {
		for seq := 2; ; seq++ {
			select {
			case <-done:
				return
			case <-time.After(beat):
				put(seq)
			}
		}
	}()
	var once sync.Once
	return func(remove bool) {
		once.Do(func() { close(done) })
		if remove {
			p.store.Put(platform.ServersTopic, s.id, nil)
		}
	}
}

var eventID = regexp.MustCompile(`(?m)^id: (\d+)$`)

// doStream sends a request for a stream and returns the answer with what has arrived of it.
func (c *client) doStream(path, id string) answer {
	req, err := http.NewRequest("POST", c.base+path, strings.NewReader(strings.Repeat("x", 800)))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set(headerID, id)
	req.Header.Set(headerDeadline, "12000")
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Coltsfootpath-Model", "m")
	req.Header.Set("Coltsfootpath-Token-Count", "826,360")
	req.Header.Set("Coltsfootpath-Prompt-Prefix", fmt.Sprintf("5c1e07a2:119,91bd3f06:79,%x:628", id))
	c.http.Timeout = 20 * time.Second
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	_, err = b.ReadFrom(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: b.String(), err: err}
}

// playReuseDuringFreeze lets an engine crash for good while a gateway stands still, and its address be
// used again by a server of another service.
func playReuseDuringFreeze(p *play) error {
	const (
		engineCount = 9
		streamEvery = 120 * time.Millisecond
		rounds      = 7
		reuseAfter  = 2200 * time.Millisecond
		freezeTime  = 2600 * time.Millisecond
		entryTime   = 3 * beat
		pause       = 9 * time.Second
	)
	p.store.Put(platform.OperatorTopic, platform.DocumentKey, []byte(streamDocument))
	var engines []*streamServer
	var leaves []func(remove bool)
	var others []func()
	defer func() {
		for _, end := range others {
			end()
		}
	}()
	add := func(number int) error {
		s, err := newStreamServer(p, fmt.Sprintf("i-llm-%d", number), "127.0.0.1:0", false)
		if err != nil {
			return err
		}
		engines = append(engines, s)
		leaves = append(leaves, p.registerStream(s, "llm", fmt.Sprintf("zone-%d", number%2+1), 64))
		return nil
	}
	for i := range engineCount {
		if err := add(i); err != nil {
			return err
		}
	}
	if err := p.startGateways(2); err != nil {
		return err
	}
	ended := make(chan struct{})
	var load sync.WaitGroup
	var mu sync.Mutex
	asked, whole, broken := 0, 0, 0
	for i, g := range p.gateways {
		c := newClient(g)
		load.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-ended:
					return
				case <-time.After(streamEvery):
				}
				path, id := []string{"/drill/1", "/review/1"}[n%2], fmt.Sprintf("stream-%d-%d", i, n)
				load.Go(func() {
					p.note("client sends %s %s", path, id)
					a := c.doStream(path, id)
					got := eventID.FindAllStringSubmatch(a.body, -1)
					p.note("client gets %d for %s, %d events, error %v", a.status, id, len(got), a.err)
					mu.Lock()
					asked++
					switch {
					case a.err == nil && a.status == http.StatusOK && len(got) == eventCount:
						whole++
					case a.err != nil || a.status != http.StatusOK:
						broken++
					}
					mu.Unlock()
					if a.err == nil && a.status == http.StatusOK && len(got) < eventCount {
						p.breaks("ORDER: the stream of %s (%s) ended as complete after %d of %d events", id, path, len(got), eventCount)
					}
				})
			}
		})
	}
	time.Sleep(4 * time.Second)
	for round := range rounds {
		if !p.trouble {
			time.Sleep(pause)
			continue
		}
		s, g := engines[round], p.gateways[round%len(p.gateways)]
		begun := time.Now()
		p.note("trouble: %s stands still for %v, engine %s crashes for good", g.name, freezeTime, s.id)
		_ = g.cmd.Process.Signal(syscall.SIGSTOP)
		woken := time.AfterFunc(freezeTime, func() {
			p.note("%s goes on", g.name)
			_ = g.cmd.Process.Signal(syscall.SIGCONT)
		})
		time.Sleep(20 * time.Millisecond)
		s.crash()
		leaves[round](false)
		time.Sleep(time.Until(begun.Add(reuseAfter)))
		other, err := newStreamServer(p, fmt.Sprintf("i-plain-%d", round), s.listener.Addr().String(), true)
		if err != nil {
			woken.Stop()
			return err
		}
		p.note("server %s of the plain service has the address", other.id)
		leave := p.registerStream(other, "plain", "zone-1", plainSlots)
		others = append(others, func() { leave(true); other.crash() })
		time.Sleep(time.Until(begun.Add(entryTime)))
		leaves[round](true)
		p.note("the entry of %s is removed", s.id)
		if err := add(engineCount + round); err != nil {
			return err
		}
		time.Sleep(time.Until(begun.Add(pause)))
	}
	close(ended)
	load.Wait()
	cut := 0
	for i, s := range engines {
		leaves[i](true)
		s.mu.Lock()
		cut += s.cut
		s.mu.Unlock()
	}
	p.note("%d streams, %d whole, %d failed or broken off, %d cut by crashes", asked, whole, broken, cut)
	fmt.Printf("%d streams, %d whole, %d failed or broken off, %d cut by crashes\n", asked, whole, broken, cut)
	return nil
}
