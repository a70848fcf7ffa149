package httpserver

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// acceptTimeout bounds how long a close waits for the accepting loop's end.
	acceptTimeout = 5 * time.Second
	// closedPause is kept before each error of a closed listener is returned.
	closedPause = 5 * time.Millisecond
)

// listener tells when the loop that accepts from it has ended.
type listener struct {
	net.Listener
	ended chan struct{}
	once  sync.Once
	pause func(time.Duration)
}

func newListener(inner net.Listener) *listener {
	return &listener{Listener: inner, ended: make(chan struct{}), pause: time.Sleep}
}

// Accept returns the next connection. It is called from one loop, so that its
// error after a close comes once every earlier connection has been taken. The
// library's loop goes on calling until its Stop has begun, and would leave the
// processor to nothing else.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		l.once.Do(func() { close(l.ended) })
		l.pause(closedPause)
	}
	return conn, err
}

// stopAccepting closes the listener and waits for the loop's end. The library's
// Stop must not run while a connection is being taken: the connection's file
// descriptor would outlive the poller, or hit another one of the same number.
func (l *listener) stopAccepting() {
	_ = l.Close()
	select {
	case <-l.ended:
	case <-time.After(acceptTimeout):
	}
}
