package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one run of a request at a server.
type run struct {
	server string
	at     time.Time
}

// plainServer is a stand-in for an engine of the plain service.
type plainServer struct {
	p        *play
	id       string
	listener net.Listener
	slots    chan struct{}
	mu       sync.Mutex
	// extra is the share of its complete answers after which it sends additional bytes, late:
	// where the next answer on the connection is expected.
	extra  float64
	queued int
	runs   map[string][]run
}

const (
	plainSlots = 6
	plainQueue = 24
)

func newPlainServer(p *play, id string) (*plainServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &plainServer{p: p, id: id, listener: l, slots: make(chan struct{}, plainSlots), runs: map[string][]run{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// strayBytes are the additional bytes: the answer of a server that sheds, as "fleetbench wire"
// shows it. They name no request.
const strayBytes = "HTTP/1.1 503 Service Unavailable\r\n" + headerNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"

func (s *plainServer) setExtra(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extra = share
}

func (s *plainServer) drawExtra() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.Float64() < s.extra
}

// work returns the time that a request takes: 30 ms on average.
func work() time.Duration {
	return min(time.Duration((10+rand.ExpFloat64()*20)*float64(time.Millisecond)), 220*time.Millisecond)
}

func (s *plainServer) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	isLate := false
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get(headerID)
		if isLate {
			s.p.note("server %s sends additional bytes where its answer to %s is expected", s.id, id)
			if _, err := io.WriteString(c, strayBytes); err != nil {
				return
			}
		}
		if _, err := io.WriteString(c, s.answer(req, id)); err != nil {
			return
		}
		isLate = s.drawExtra()
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
	s.mu.Lock()
	s.runs[id] = append(s.runs[id], run{s.id, time.Now()})
	s.mu.Unlock()
	s.p.note("server %s runs %s %s", s.id, req.Method, id)
	time.Sleep(work())
	<-s.slots
	s.mu.Lock()
	s.queued--
	s.mu.Unlock()
	body := "done by " + s.id + " for " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Length: %d\r\n\r\n%s", headerID, id, headerSeal, s.id, len(body), body)
}
