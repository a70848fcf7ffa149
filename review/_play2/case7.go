package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
)

func init() { cases["7"] = playCrashDuringFreeze }

// lookupDocument has the plain service and a route as the sheet of the small deployment states them.
const lookupDocument = `{"version":1,"routes":[
{"name":"look","host":"ficu95.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":2000,"latencyTargetMs":300,"service":"plain","maxAttempts":2,"priority":2}],
"services":[{"name":"plain","healthPath":"/healthz","maxConns":96}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":15000},
"tenants":[{"name":"tenant-1","apiKeys":["key-1"],"unit":"tokens","plainTokens":200,"ratePerS":0,"burst":0}]}`

const (
	bodyLines = 20
	lineBytes = 40
)

// wholeBody is the body of the answer to a request.
func wholeBody(id string) string {
	var b strings.Builder
	for i := range bodyLines {
		fmt.Fprintf(&b, "%-*s\n", lineBytes-1, fmt.Sprintf("line %d of %s", i, id))
	}
	return b.String()
}

// lineServer is a stand-in for an engine of the plain service whose answers have no length. It
// writes the lines of an answer as it makes them.
type lineServer struct {
	p       *play
	id      string
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	// cut counts the answers that the crash has cut in their body.
	cut int
}

func (s *lineServer) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener, s.conns, s.address = l, map[net.Conn]bool{}, l.Addr().String()
	conns := s.conns
	s.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			conns[c] = true
			s.mu.Unlock()
			go func() {
				s.serve(c)
				s.mu.Lock()
				delete(conns, c)
				s.mu.Unlock()
			}()
		}
	}()
	return nil
}

// crash ends the process: the system closes its listener and its connections.
func (s *lineServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *lineServer) serve(c net.Conn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	id := req.Header.Get(headerID)
	if want := req.Header.Get(headerExpect); want != s.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", headerID, id, headerServer, s.id)
		return
	}
	if id == "" {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", headerServer, s.id)
		return
	}
	s.p.note("server %s runs %s", s.id, id)
	// 60 ms on average.
	work := min(time.Duration((20+rand.ExpFloat64()*40)*float64(time.Millisecond)), 450*time.Millisecond)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nConnection: close\r\n\r\n", headerID, id, headerSeal, s.id)
	body := wholeBody(id)
	for i := range bodyLines {
		time.Sleep(work / bodyLines)
		if _, err := io.WriteString(c, body[i*lineBytes:(i+1)*lineBytes]); err != nil {
			s.p.note("server %s has crashed in the answer to %s, after %d of %d lines", s.id, id, i, bodyLines)
			s.mu.Lock()
			s.cut++
			s.mu.Unlock()
			return
		}
	}
}

// playCrashDuringFreeze lets a server crash and come back at its address while a gateway is frozen.
func playCrashDuringFreeze(p *play) error {
	const (
		serverCount = 4
		lookEvery   = 25 * time.Millisecond
		rounds      = 12
		downTime    = 1200 * time.Millisecond
		freezeTime  = 1500 * time.Millisecond
		entryLag    = 800 * time.Millisecond
		pause       = 4 * time.Second
	)
	p.store.Put(platform.OperatorTopic, platform.DocumentKey, []byte(lookupDocument))
	var servers []*lineServer
	var stops []func(remove bool)
	for i := range serverCount {
		s := &lineServer{p: p, id: fmt.Sprintf("i-%d", i+1)}
		if err := s.listen("127.0.0.1:0"); err != nil {
			return err
		}
		servers = append(servers, s)
		stops = append(stops, p.register(s.id, "plain", s.address, fmt.Sprintf("zone-%d", i+1), "v1", plainSlots))
	}
	if err := p.startGateways(2); err != nil {
		return err
	}
	ended := make(chan struct{})
	var load sync.WaitGroup
	var mu sync.Mutex
	asked, whole := 0, 0
	for i, g := range p.gateways {
		c := newClient(g)
		load.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-ended:
					return
				case <-time.After(lookEvery):
				}
				id := fmt.Sprintf("look-%d-%d", i, n)
				load.Go(func() {
					p.note("client sends %s", id)
					a := c.do("GET", "/look/1", id, "", 4*time.Second)
					p.note("client gets %d for %s, %d bytes, error %v", a.status, id, len(a.body), a.err)
					isWhole := a.body == wholeBody(id)
					mu.Lock()
					asked++
					if a.err == nil && a.status == http.StatusOK && isWhole {
						whole++
					}
					mu.Unlock()
					if a.err == nil && a.status == http.StatusOK && !isWhole {
						p.breaks("MIXED: the client got 200 for %s as complete, with %d of %d bytes", id, len(a.body), bodyLines*lineBytes)
					}
				})
			}
		})
	}
	time.Sleep(2 * time.Second)
	for round := range rounds {
		if !p.trouble {
			time.Sleep(freezeTime + pause)
			continue
		}
		s, g := servers[round%serverCount], p.gateways[round%len(p.gateways)]
		p.note("trouble: %s stands still for %v, server %s crashes and is back after %v", g.name, freezeTime, s.id, downTime)
		_ = g.cmd.Process.Signal(syscall.SIGSTOP)
		woken := time.AfterFunc(freezeTime, func() {
			p.note("%s goes on", g.name)
			_ = g.cmd.Process.Signal(syscall.SIGCONT)
		})
		time.Sleep(20 * time.Millisecond)
		s.crash()
		time.Sleep(downTime)
		if err := s.listen(s.address); err != nil {
			woken.Stop()
			return err
		}
		p.note("server %s is back", s.id)
		i := round % serverCount
		stops[i](false)
		time.Sleep(entryLag)
		stops[i] = p.register(s.id, "plain", s.address, fmt.Sprintf("zone-%d", i+1), "v1", plainSlots)
		p.note("server %s has written its entry", s.id)
		time.Sleep(pause - downTime - entryLag + freezeTime)
	}
	close(ended)
	load.Wait()
	cut := 0
	for i, s := range servers {
		stops[i](true)
		s.mu.Lock()
		cut += s.cut
		s.mu.Unlock()
	}
	p.note("%d look-ups, %d whole answers, %d answers cut by crashes", asked, whole, cut)
	fmt.Printf("%d look-ups, %d whole answers, %d answers cut by crashes\n", asked, whole, cut)
	return nil
}
