package faultlab

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what a proxy does to the bytes that pass it.
type Fault int32

// Faults of a proxy.
const (
	// Clear passes everything on.
	Clear Fault = iota
	// Delay holds each piece up for delayTime.
	Delay
	// Reset closes all connections and refuses new ones.
	Reset
	// OneWay passes on what clients send and drops the answers.
	OneWay
	// Silence drops everything, and keeps connections open.
	Silence
	faults
)

var faultNames = [...]string{"clear", "delay", "reset", "one-way", "silence"}

// String returns the fault's name.
func (f Fault) String() string { return faultNames[f] }

const delayTime = 150 * time.Millisecond

// proxy passes TCP connections on to one address, with a fault that can be
// changed at any time. What one silence has swallowed never comes.
type proxy struct {
	listener net.Listener
	target   string
	fault    atomic.Int32

	mu   sync.Mutex
	open map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, open: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(f Fault) {
	p.fault.Store(int32(f))
	if f == Reset {
		p.closeAll()
	}
}

func (p *proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.closeAll()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if Fault(p.fault.Load()) == Reset {
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.open[client], p.open[server] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.pass(server, client, false, done)
	go p.pass(client, server, true, done)
	<-done
	_ = client.Close()
	_ = server.Close()
	<-done
	p.mu.Lock()
	delete(p.open, client)
	delete(p.open, server)
	p.mu.Unlock()
}

// pass copies one direction. A connection that has lost bytes is of no use any
// more: it stays silent until one of its ends gives it up.
func (p *proxy) pass(to, from net.Conn, answers bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			f := Fault(p.fault.Load())
			lost = lost || f == Silence || f == OneWay && answers
			if f == Delay {
				time.Sleep(delayTime)
			}
			if !lost {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}
