package faultlab

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Fault selects how a proxy treats the bytes it forwards.
type Fault int32

// Faults that a proxy applies to all of its connections.
const (
	// NoFault forwards everything.
	NoFault Fault = iota
	// Delay forwards each chunk after forwardDelay.
	Delay
	// Reset closes all connections and each new one.
	Reset
	// DropAnswers forwards bytes from clients and drops the answers.
	DropAnswers
	// DropAll drops everything but keeps connections open.
	DropAll
	faultCount
)

var faultNames = [...]string{"clear", "delay", "reset", "one-way", "silence"}

// String returns the fault's name in the log.
func (f Fault) String() string { return faultNames[f] }

const forwardDelay = 150 * time.Millisecond

// linkCut selects what happens to the connections of one client whose link to a proxy is cut.
// New ones are reset in all cases: a proxy can't leave them unopened.
type linkCut int

const (
	// notCut forwards everything.
	notCut linkCut = iota
	// cutReset resets open connections too.
	cutReset
	// cutSilent drops the bytes of open connections.
	cutSilent
	// cutNew lets open connections live on.
	cutNew
	linkCutCount
)

var linkCutNames = [...]string{"none", "reset", "silent", "new"}

func (l linkCut) String() string { return linkCutNames[l] }

// proxy forwards TCP connections to one address, with a fault that can be
// changed at any time. Bytes that a fault has dropped are never delivered.
type proxy struct {
	fault atomic.Int32

	mu            sync.Mutex
	listenAddress string
	target        string
	listener      net.Listener
	conns         map[net.Conn]bool
	// cuts holds the clients whose links are cut, by IP address.
	cuts map[string]linkCut
	// silencings counts the calls of silence. A connection drops all bytes once there are
	// more than when it began.
	silencings atomic.Int32
}

// silence makes the open connections silent for good, without a reset. New ones work.
func (p *proxy) silence() { p.silencings.Add(1) }

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listenAddress: l.Addr().String(), listener: l, target: target, conns: map[net.Conn]bool{}, cuts: map[string]linkCut{}}
	go p.acceptLoop(l)
	return p, nil
}

func (p *proxy) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listenAddress
}

// refuse refuses new connections until listenAgain.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
}

// listenAgain accepts connections again and forwards them to target. The address
// changes if another socket has got the port in the meantime.
func (p *proxy) listenAgain(target string) error {
	l, err := net.Listen("tcp", p.address())
	if err != nil {
		l, err = net.Listen("tcp", "127.0.0.1:0")
	}
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener, p.listenAddress, p.target = l, l.Addr().String(), target
	p.mu.Unlock()
	go p.acceptLoop(l)
	return nil
}

func (p *proxy) setFault(f Fault) {
	p.fault.Store(int32(f))
	if f == Reset {
		p.closeAll()
	}
}

// cut cuts the link of a client, or restores it.
func (p *proxy) cut(client string, how linkCut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cuts[client] = how
	for c := range p.conns {
		if how == cutReset && clientOf(c) == client {
			reset(c)
		}
	}
}

func (p *proxy) cutOf(client net.Conn) linkCut {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cuts[clientOf(client)]
}

// clientOf returns the IP address of a connection's other end.
func clientOf(c net.Conn) string {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return host
}

func (p *proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) close() {
	p.refuse()
	p.closeAll()
}

func (p *proxy) acceptLoop(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if Fault(p.fault.Load()) == Reset || p.cutOf(c) != notCut {
			reset(c)
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	done := make(chan bool, 2)
	go func() { done <- p.forward(server, client, client) }()
	go func() { done <- p.forward(client, server, client) }()
	if inOrder := <-done; inOrder {
		_ = client.Close()
		_ = server.Close()
	} else {
		reset(client)
		reset(server)
	}
	<-done
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// reset closes a connection such that its other end sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// forward copies one direction of a client's connection until it ends. After it has dropped bytes it forwards nothing more, as the
// stream would have a gap; the connection stays open until one of its ends closes it.
// forward reports whether everything was forwarded and the connection closed in order.
func (p *proxy) forward(to, from, client net.Conn) (inOrder bool) {
	buffer := make([]byte, 32<<10)
	dropped, begun := false, p.silencings.Load()
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			f := Fault(p.fault.Load())
			dropped = dropped || p.silencings.Load() != begun || f == DropAll || f == DropAnswers && to == client || p.cutOf(client) == cutSilent
			if f == Delay {
				time.Sleep(forwardDelay)
			}
			if !dropped {
				if _, err := to.Write(buffer[:n]); err != nil {
					return false
				}
			}
		}
		if err != nil {
			return !dropped && errors.Is(err, io.EOF)
		}
	}
}
