package httpserver

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
)

const (
	// acceptTimeout bounds the time for which stopAccepting waits for the accept
	// loop.
	acceptTimeout = 5 * time.Second
	// errorDelay delays each error that Accept returns.
	errorDelay = 5 * time.Millisecond
)

// listener closes acceptEnded once Accept has failed because the listener is
// closed.
type listener struct {
	net.Listener
	// awaitBarrier waits until the read loop has handled all events that it had
	// received before the call.
	awaitBarrier func()
	// makeRoom closes an idle connection if no further one may be open. It returns false if
	// that fails.
	makeRoom    func(caller string) bool
	acceptEnded chan struct{}
	once        sync.Once
	sleep       func(time.Duration)
}

func newListener(inner net.Listener, awaitBarrier func()) *listener {
	return &listener{Listener: inner, awaitBarrier: awaitBarrier, makeRoom: func(string) bool { return true }, acceptEnded: make(chan struct{}), sleep: time.Sleep}
}

// Accept returns the next connection. Only one loop calls it, so an error after
// a close means that all earlier connections have been taken over by the
// library. The library's loop retries at once, so errors are delayed: without the
// delay a lack of descriptors, or the time until Stop, would keep the CPU busy.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.accept()
	if errors.Is(err, net.ErrClosed) {
		l.once.Do(func() { close(l.acceptEnded) })
	}
	if err != nil {
		l.sleep(errorDelay)
		return nil, err
	}
	// The conversion duplicates the file descriptor, so it comes before the barrier.
	// The read loop finds connections by descriptor: an event that it received for a
	// connection which has been closed since would close a new one that has got the
	// same descriptor.
	nonBlocking, err := nbio.NBConn(conn)
	if err != nil {
		return conn, nil
	}
	l.awaitBarrier()
	return nonBlocking, nil
}

// accept returns the next connection for which there is room.
func (l *listener) accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.makeRoom(conn.RemoteAddr().String()) {
			return conn, err
		}
		_ = conn.Close()
	}
}

// stopAccepting closes the listener and waits until the accept loop has
// received the error. The library's Stop must not run while a connection is
// being accepted: the connection's file descriptor would outlive the poller, or
// collide with another one of the same number.
func (l *listener) stopAccepting() {
	_ = l.Close()
	select {
	case <-l.acceptEnded:
	case <-time.After(acceptTimeout):
	}
}
