package httpserver

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"k8s.io/klog/v2"
)

const (
	// barrierTimeout bounds the wait for the read loop.
	barrierTimeout = 500 * time.Millisecond
	// reopenPause is the pause between attempts to open the barrier again.
	reopenPause = time.Second
)

// barrier waits for the library's read loop by sending it a byte over a connection
// of its own. The loop handles events in batches. Once it has received the byte, it
// has handled all events of earlier batches.
type barrier struct {
	// passed receives a value for each received byte, unless one is pending.
	passed chan struct{}

	mu sync.Mutex
	// client is the sending end, address its address, by which the receiving end is
	// identified, and server the latter.
	client  net.Conn
	address string
	server  *nbio.Conn
	isOpen  bool
	// isClosed is set once the server is closed.
	isClosed bool
}

func newBarrier() *barrier { return &barrier{passed: make(chan struct{}, 1)} }

// open connects to the server's own address and waits until the read loop has
// received a byte.
func (b *barrier) open(address string) error {
	if b.closed() {
		return nil
	}
	conn, err := net.DialTimeout("tcp", address, startTimeout)
	if err != nil {
		return errors.Wrapf(err, "connect to own address %s", address)
	}
	b.mu.Lock()
	if b.isClosed {
		b.mu.Unlock()
		_ = conn.Close()
		return nil
	}
	b.client, b.address, b.server = conn, conn.LocalAddr().String(), nil
	b.mu.Unlock()
	if !b.await(startTimeout) {
		_ = conn.Close()
		return errors.Newf("read loop did not handle the connection to own address %s", address)
	}
	b.mu.Lock()
	b.isOpen = true
	b.mu.Unlock()
	return nil
}

func (b *barrier) closed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isClosed
}

// reopen replaces a connection that has failed. It must not block the accept loop,
// which accepts the new connection.
func (b *barrier) reopen() {
	b.mu.Lock()
	b.isOpen = false
	client := b.client
	b.mu.Unlock()
	_ = client.Close()
	go func() {
		for {
			err := b.open(client.RemoteAddr().String())
			if err == nil {
				return
			}
			klog.Warningf("httpserver: barrier is not open: %v", err)
			time.Sleep(reopenPause)
		}
	}()
}

// await sends a byte and reports whether the read loop received it in time.
func (b *barrier) await(timeout time.Duration) bool {
	b.mu.Lock()
	client := b.client
	b.mu.Unlock()
	select {
	case <-b.passed:
	default:
	}
	if _, err := client.Write([]byte{0}); err != nil {
		return false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-b.passed:
		return true
	case <-timer.C:
		return false
	}
}

// awaitOrReopen is await with barrierTimeout. Until the barrier is open, and if it
// fails, a connection may be closed before its first request is read.
func (b *barrier) awaitOrReopen() {
	b.mu.Lock()
	isOpen := b.isOpen
	b.mu.Unlock()
	if isOpen && !b.await(barrierTimeout) {
		klog.Warningf("httpserver: read loop did not pass the barrier within %v", barrierTimeout)
		b.reopen()
	}
}

// receive reports whether conn is the receiving end. If so, it lets await return.
func (b *barrier) receive(conn *nbio.Conn) bool {
	b.mu.Lock()
	if b.server == nil && b.address != "" && conn.RemoteAddr().String() == b.address {
		b.server = conn
		// The library's idle timer must not close the connection.
		_ = conn.SetReadDeadline(time.Time{})
	}
	isServer := conn == b.server
	b.mu.Unlock()
	if !isServer {
		return false
	}
	select {
	case b.passed <- struct{}{}:
	default:
	}
	return true
}

// isServer reports whether conn is the receiving end.
func (b *barrier) isServer(conn *nbio.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return conn == b.server || b.server == nil && conn.RemoteAddr().String() == b.address
}

func (b *barrier) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isOpen, b.isClosed = false, true
	if b.client != nil {
		_ = b.client.Close()
	}
}
