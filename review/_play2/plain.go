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
	"time"
)

// run is one run of a request at a server.
type run struct {
	id      string
	version string
	at      time.Time
	failed  bool
}

// plainServer is a stand-in for an engine of the plain service.
type plainServer struct {
	p           *play
	id, version string
	// failing is the share of the requests on failingPath that it fails.
	failing  float64
	listener net.Listener
	slots    chan struct{}

	mu     sync.Mutex
	queued int
	conns  map[net.Conn]bool
	runs   []run
}

// failingPath is the path of the route on which a bad version fails.
const failingPath = "/post/"

const (
	plainSlots = 6
	plainQueue = 24
)

func newPlainServer(p *play, id, version string, failing float64) (*plainServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &plainServer{p: p, id: id, version: version, failing: failing, listener: l, slots: make(chan struct{}, plainSlots), conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s, nil
}

// stop ends the server at once, with its connections.
func (s *plainServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// work returns the time that a request takes: 30 ms on average.
func work() time.Duration {
	return min(time.Duration((10+rand.ExpFloat64()*20)*float64(time.Millisecond)), 220*time.Millisecond)
}

func (s *plainServer) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, s.answer(req, req.Header.Get(headerID))); err != nil {
			return
		}
	}
}

// answer runs a request unless the server rejects it, and returns the answer.
func (s *plainServer) answer(req *http.Request, id string) string {
	if want := req.Header.Get(headerExpect); want != "" && want != s.id {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerID, id, headerServer, s.id)
	}
	if id == "" && req.URL.Path == "/healthz" {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerServer, s.id)
	}
	s.mu.Lock()
	isFull := s.queued >= plainSlots+plainQueue
	if !isFull {
		s.queued++
	}
	s.mu.Unlock()
	if isFull {
		s.p.note("server %s rejects %s: 503, not run", s.id, id)
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerID, id, headerNotRun)
	}
	s.slots <- struct{}{}
	failed := strings.HasPrefix(req.URL.Path, failingPath) && rand.Float64() < s.failing
	s.p.note("server %s (%s) runs %s %s, fails %v", s.id, s.version, req.Method, id, failed)
	time.Sleep(work())
	<-s.slots
	s.mu.Lock()
	s.queued--
	s.runs = append(s.runs, run{id, s.version, time.Now(), failed})
	s.mu.Unlock()
	if failed {
		return fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\n%s: %s\r\n%s: seal-%s\r\nContent-Length: 0\r\n\r\n", headerID, id, headerSeal, s.id)
	}
	body := "done by " + s.id + " for " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Length: %d\r\n\r\n%s", headerID, id, headerSeal, s.id, len(body), body)
}
