package main

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// proxy passes the connections of one machine on to the store. While it is silent, it takes
// connections and calls and answers nothing; what was open or is opened then never answers, also
// later. New connections work again afterwards.
type proxy struct {
	listener net.Listener
	target   string
	// onCall is called with the first line of a call that is not passed on.
	onCall func(line string)

	mu     sync.Mutex
	silent bool
	open   map[*proxied]bool
}

type proxied struct {
	mu     sync.Mutex
	silent bool
}

func (p *proxied) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func newProxy(target string, onCall func(line string)) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, onCall: onCall, open: map[*proxied]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
	if silent {
		for c := range p.open {
			c.mu.Lock()
			c.silent = true
			c.mu.Unlock()
		}
	}
}

func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	state := &proxied{}
	p.mu.Lock()
	state.silent = p.silent
	p.open[state] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.open, state)
		p.mu.Unlock()
	}()
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		defer client.Close()
		buffer := make([]byte, 64<<10)
		for {
			n, err := server.Read(buffer)
			if n > 0 && !state.isSilent() {
				if _, err := client.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				if !state.isSilent() {
					return
				}
				// The connection stays open without an answer.
				_, _ = io.Copy(io.Discard, client)
				return
			}
		}
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := client.Read(buffer)
		if n > 0 {
			if state.isSilent() {
				line, _, _ := strings.Cut(string(buffer[:n]), "\r\n")
				p.onCall(line)
			} else if _, err := server.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
