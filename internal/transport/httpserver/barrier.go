package httpserver

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"k8s.io/klog/v2"
)

// barrierTimeout bounds the wait for the read loop.
const barrierTimeout = time.Second

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
}

func newBarrier() *barrier { return &barrier{passed: make(chan struct{}, 1)} }

// open connects to the server's own address and waits until the read loop has
// received a byte.
func (b *barrier) open(address string) error {
	conn, err := net.DialTimeout("tcp", address, startTimeout)
	if err != nil {
		return errors.Wrapf(err, "connect to own address %s", address)
	}
	b.mu.Lock()
	b.client, b.address = conn, conn.LocalAddr().String()
	b.mu.Unlock()
	if !b.await(startTimeout) {
		return errors.Newf("read loop did not handle the connection to own address %s", address)
	}
	b.mu.Lock()
	b.isOpen = true
	b.mu.Unlock()
	return nil
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

// awaitOrLog is await with barrierTimeout, once the barrier is open. Without the
// barrier, a connection may be closed before its first request is read.
func (b *barrier) awaitOrLog() {
	b.mu.Lock()
	isOpen := b.isOpen
	b.mu.Unlock()
	if isOpen && !b.await(barrierTimeout) {
		klog.Warningf("httpserver: read loop did not pass the barrier within %v", barrierTimeout)
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

func (b *barrier) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isOpen = false
	if b.client != nil {
		_ = b.client.Close()
	}
}
