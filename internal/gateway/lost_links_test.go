package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// cutForm is what happens to a VM's connections to servers while its links are cut.
type cutForm int

const (
	// linksUp lets all bytes through.
	linksUp cutForm = iota
	// linksHang holds up all bytes; connections are not opened.
	linksHang
	// linksRefuse resets open connections and refuses new ones.
	linksRefuse
	// linksResetNew lets open connections live on, and resets new ones once they are open.
	linksResetNew
	// linksResetAll resets open connections, and new ones once they are open.
	linksResetAll
)

// links are the links of one VM to the backend servers.
type links struct {
	mu     sync.Mutex
	form   cutForm
	conns  map[*linkConn]bool
	change chan struct{}
	// delay is the time before a connection is opened, and delayed the number of connections
	// that were.
	delay   time.Duration
	delayed int
}

func newLinks() *links { return &links{conns: map[*linkConn]bool{}, change: make(chan struct{})} }

// set cuts or restores the links.
func (l *links) set(form cutForm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.form = form
	close(l.change)
	l.change = make(chan struct{})
	for c := range l.conns {
		if form == linksRefuse || form == linksResetAll {
			c.fail(syscall.ECONNRESET)
		}
	}
}

func (l *links) state() (cutForm, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.form, l.change
}

// setDelay delays the connections that are opened from now on.
func (l *links) setDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay, l.delayed = delay, 0
}

// delayedCount returns the number of connections that were delayed.
func (l *links) delayedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delayed
}

// awaitDelay waits before a connection is opened.
func (l *links) awaitDelay() {
	l.mu.Lock()
	delay := l.delay
	if delay > 0 {
		l.delayed++
	}
	l.mu.Unlock()
	time.Sleep(delay)
}

// dial opens a connection over the links.
func (l *links) dial(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
	l.awaitDelay()
	form, _ := l.state()
	switch form {
	case linksHang:
		ctx, cancel := context.WithTimeout(ctx, d.Timeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	case linksRefuse:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: raw, links: l, failed: make(chan struct{})}
	if form == linksResetNew || form == linksResetAll {
		c.fail(syscall.ECONNRESET)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// linkConn is a connection over a VM's links.
type linkConn struct {
	net.Conn
	links  *links
	once   sync.Once
	failed chan struct{}
	err    error
}

func (c *linkConn) fail(err error) {
	c.once.Do(func() {
		c.err = err
		close(c.failed)
		_ = c.Conn.Close()
	})
}

func (c *linkConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// pass waits while the links hang.
func (c *linkConn) pass() error {
	for {
		form, change := c.links.state()
		select {
		case <-c.failed:
			return c.err
		default:
		}
		if form != linksHang {
			return nil
		}
		select {
		case <-change:
		case <-c.failed:
		}
	}
}

func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if passErr := c.pass(); passErr != nil {
		return 0, passErr
	}
	return n, err
}

func (c *linkConn) Write(p []byte) (int, error) {
	select {
	case <-c.failed:
		return 0, c.err
	default:
	}
	if form, _ := c.links.state(); form == linksHang {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *linkConn) Close() error {
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	c.fail(net.ErrClosed)
	return nil
}

// startLinkedNodes starts nodes whose links to the servers can be cut.
func startLinkedNodes(f *fixture, count, servers int) (nodes []*Node, cuts []*links) {
	f.t.Helper()
	for i := range count {
		l := newLinks()
		n := newNode(f.settings(fmt.Sprint("vm-", i)), f.logs)
		n.backends.dial = l.dial
		if err := n.start(); err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(n.Close)
		nodes, cuts = append(nodes, n), append(cuts, l)
	}
	for _, n := range nodes {
		f.eventually("nodes are ready and know each other", func() bool {
			return n.Ready() && n.backends.count() == servers && n.members.count() == count
		})
	}
	return nodes, cuts
}

// cutContactTime is the time from the begin of a cut until VMs must serve again.
const cutContactTime = 3 * time.Second

// TestVMWithoutLinksToServersServesNothing: the links of some VMs to all servers are cut.
func TestVMWithoutLinksToServersServesNothing(t *testing.T) {
	t.Parallel()
	for _, trial := range []struct {
		nodes, cut int
		form       cutForm
	}{{4, 1, linksHang}, {4, 2, linksHang}, {6, 3, linksRefuse}, {4, 2, linksResetNew}, {4, 3, linksRefuse}} {
		t.Run(fmt.Sprint(trial), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			for i := range 4 {
				f.addServer(fmt.Sprint("s-", i), nil)
			}
			nodes, cuts := startLinkedNodes(f, trial.nodes, 4)
			load := func() (stops []func() []reply) {
				for i, n := range nodes {
					path := []string{"/again/x", "/once/x"}[i%2]
					stops = append(stops, steadyCalls(t, n, path, 40*time.Millisecond))
				}
				return stops
			}
			before := load()
			time.Sleep(500 * time.Millisecond)
			for _, l := range cuts[:trial.cut] {
				l.set(trial.form)
			}
			time.Sleep(cutContactTime)
			during := load()
			time.Sleep(2 * time.Second)
			for _, stop := range before {
				stop()
			}
			var served, sent [2]int
			for i, stop := range during {
				group := 0
				if i < trial.cut {
					group = 1
				}
				for _, got := range stop() {
					sent[group]++
					if got.status == http.StatusOK {
						served[group]++
					}
				}
			}
			for i, l := range cuts[:trial.cut] {
				l.set(linksUp)
				f.eventually("links are restored", func() bool { return !nodes[i].links.AnyCut() })
			}
			failed := sent[1] - served[1]
			t.Logf("cut VMs served %d of %d, the others %d of %d", served[1], sent[1], served[0], sent[0])
			if failed > 10+sent[1]/50 && float64(served[1])/float64(sent[1]) < float64(served[0])/float64(sent[0])*2/3 {
				t.Errorf("%d of %d requests failed at cut VMs, allowed %d", failed, sent[1], 10+sent[1]/50)
			}
		})
	}
}
