// Package upstream sends requests to backend servers over persistent HTTP/1.1
// connections. It tracks whether a request has left this process and whether an
// answer belongs to that request: servers may close or reset connections, and
// answer early, late, twice or not at all. The standard library's transport
// hides these cases and may retry a request on its own.
package upstream

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/transport/http1"
)

// Errors returned by Pool.Do.
var (
	// ErrNotSent means that no byte of the request has left this process.
	ErrNotSent = errors.New("not sent")
	// ErrIncomplete means that the request was sent but no complete answer was
	// received. The request may have run.
	ErrIncomplete = errors.New("cut")
	// ErrAnswerStarted means that the first bytes of an answer were received, so
	// the request has run.
	ErrAnswerStarted = errors.New("answer has started")
	// ErrInvalid means that bytes were received that are no answer, or no part of one, see
	// package http1, or more of them than an answer may have. The server had not closed the connection.
	ErrInvalid = errors.New("invalid answer")
	// ErrWithdrawn means that Request.MaySend has returned false.
	ErrWithdrawn = errors.New("request withdrawn")
	// ErrConnectionLimit means that the number of this process's open connections to
	// the server has reached Config.MaxConnections.
	ErrConnectionLimit = errors.New("connection limit reached")
	// ErrNewConnection means that the request was sent on a connection that was opened for
	// it.
	ErrNewConnection = errors.New("on a new connection")
)

// Config bounds the connections to one server.
type Config struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// MaxConnections returns the largest number of connections that this process
	// may have open to the server. It is called with the pool's lock held.
	MaxConnections func() int
	// DefaultIdleTimeout bounds the idle time of a connection whose server sends no
	// Keep-Alive timeout.
	DefaultIdleTimeout time.Duration
	// OnData is called whenever the head of an answer to a request, or a part of its
	// body, has arrived from the server. It may be nil.
	OnData func()
	// OnHead is called with the head of each final answer that arrives, whatever request it
	// belongs to, and the time at which the last request on its connection was sent. It may
	// be nil.
	OnHead func(status int, header http.Header, sentAt time.Time)
	// HeadWait is the time for which the head of an answer is still awaited once its request
	// has been cancelled. The connection is closed for sending meanwhile.
	HeadWait time.Duration
	// SourceAddress is the local address of connections. It may be nil.
	SourceAddress net.IP
	// Dial opens connections in place of the dialer, which has the timeouts and options
	// for the connection. It may be nil.
	Dial func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error)
}

const (
	// idleMargin is subtracted from the Keep-Alive timeout that a server sends,
	// to allow for the network latency of the next request.
	idleMargin = 400 * time.Millisecond
	// maxAnswersPerRequest bounds the answers read for one request, including
	// skipped ones that are interim or belong to other requests. A connection may
	// have carried many requests whose surplus answers are late.
	maxAnswersPerRequest = 256
	// maxSkippedBytes bounds the bodies of the answers skipped for one request.
	maxSkippedBytes = 1 << 20
	// maxHeadBytes bounds the head of an answer. Decoded, it can take twenty times as
	// much memory.
	maxHeadBytes    = 16 << 10
	readBufferBytes = 8 << 10
	// maxInlineBodyBytes is the size of the largest body that is written together
	// with the head. A longer body is written while the answer is read, because
	// a server may answer before it has read the body.
	maxInlineBodyBytes = 8 << 10
	// A connection to a VM that no longer exists is detected within
	// keepAliveIdle + keepAliveProbes*keepAliveInterval.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	userTimeoutMillis = 3000
	// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define.
	tcpUserTimeout = 18
)

// Pool holds the connections to one server. It is safe for concurrent use.
type Pool struct {
	address string
	cfg     Config

	// mu is a leaf lock: while it is held, no lock is acquired except those that
	// cfg.MaxConnections acquires.
	mu        sync.Mutex
	idle      []*conn // in the order of their last use
	openCount int     // connections in use, idle or being opened
	lingering int     // those in use whose requests have been cancelled
	closed    bool
}

// conn is a connection with its state between requests.
type conn struct {
	net.Conn
	// writing is held during a write, and guards writeErr, the first error of a write.
	writing  sync.Mutex
	writeErr error
	reader   *bufio.Reader
	// source reads from Conn, and checked from source.
	source  *source
	checked *http1.Reader
	// headLimit is what reader reads from. It bounds the bytes that are read from checked for
	// the head of an answer.
	headLimit *io.LimitedReader
	// changed holds the changed fields of the heads that checked has read and reader has not
	// returned.
	changed     []http1.ChangedFields
	idleTimeout time.Duration
	idleSince   time.Time
	reused      bool
	// adopted is set for a connection that the pool has not opened. It carries one request,
	// and does not count.
	adopted bool
}

// NewPool returns a pool without connections.
func NewPool(address string, cfg Config) *Pool {
	return &Pool{address: address, cfg: cfg}
}

// Close closes the idle connections. A connection in use is closed when its
// request ends.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// CloseIdle closes the connections that carry no request.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.openCount -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// Sweep closes the connections that have exceeded their idle timeout.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) > c.idleTimeout {
			expired = append(expired, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.openCount -= len(expired)
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// Request is one HTTP request in encoded form.
type Request struct {
	Method string
	// Head is the request line and the header fields, up to and including the
	// empty line.
	Head []byte
	Body []byte
	// Matches reports whether an answer with this status and header belongs to
	// the request.
	Matches func(status int, header http.Header) bool
	// MaxIdle bounds the idle time of a reused connection. A short time makes it
	// unlikely that a request which must not run twice is sent on a connection
	// that the server is closing.
	MaxIdle time.Duration
	// MaySend is called when a connection is at hand, before the request is written to
	// it. If it returns false, the request is not sent.
	MaySend func() bool
	// FinishHead, if set, appends the rest of the head once a connection is at hand.
	FinishHead func(head []byte) []byte
	// Connection is the connection to send the request on. If it is nil, the pool
	// chooses one.
	Connection *Connection
	// OnData is called whenever the head of the answer, or a part of its body, has
	// arrived. It may be nil.
	OnData func()
}

// Answer is a server's answer with an unread body.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	// OnNewConnection is true if the connection was opened for this request.
	OnNewConnection bool

	// onData is Request.OnData.
	onData func()
	// end is written by Body.
	end        End
	pool       *Pool
	conn       *conn
	resp       *http.Response
	written    chan error
	stopCancel func() bool
	closeOnce  sync.Once
	sentAt     time.Time
	// mu guards hasHead, which is set once the head has been read or given up, and lingers,
	// which is set if the request was cancelled before and the head is still awaited.
	mu               sync.Mutex
	hasHead, lingers bool
}

// End states how the end of an answer was recognized.
type End int

const (
	// EndNotSeen means that the answer has not been read to its end.
	EndNotSeen End = iota
	// EndFramed means that the length in the head, or the last chunk with its
	// trailer, has been read.
	EndFramed
	// EndOfConnection means that the answer has no framing, and that the server has
	// closed the connection in an orderly way.
	EndOfConnection
)

var endNames = [...]string{"not-seen", "framed", "connection"}

func (e End) String() string { return endNames[e] }

// End returns how the end of the answer was recognized by the last read of Body.
func (a *Answer) End() End { return a.end }

// body reads the body of an answer and records its end.
type body struct {
	answer *Answer
	inner  io.Reader
}

func (b body) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if n > 0 {
		b.answer.recordData()
	}
	// The standard library returns this very error for the end only, and others
	// for a connection that ends too early.
	if err == io.EOF {
		b.answer.end = EndFramed
		if b.answer.Framing() == "none" && b.inner != http.NoBody {
			b.answer.end = EndOfConnection
		}
		return n, err
	}
	if err != nil {
		err = b.answer.conn.readError(err)
	}
	return n, err
}

// Do sends the request and returns once the head of its answer has been read.
// The caller must close the answer. The connection is closed if ctx ends before
// the answer is closed. Every error is marked with ErrNotSent or ErrIncomplete,
// and, if they apply, with the other errors above.
func (p *Pool) Do(ctx context.Context, req Request) (*Answer, error) {
	c, err := p.connectionFor(ctx, &req)
	if err != nil {
		return nil, err
	}
	if req.MaySend != nil && !req.MaySend() {
		p.discard(c)
		return nil, errors.Mark(ErrWithdrawn, ErrNotSent)
	}
	if req.FinishHead != nil {
		req.Head = req.FinishHead(req.Head)
	}
	return p.exchange(ctx, c, req)
}

func (p *Pool) connectionFor(ctx context.Context, req *Request) (*conn, error) {
	if req.Connection != nil {
		return req.Connection.conn, nil
	}
	return p.acquire(ctx, req.MaxIdle)
}

// exchange sends the request on a connection and reads the head of its answer.
func (p *Pool) exchange(ctx context.Context, c *conn, req Request) (*Answer, error) {
	a := &Answer{pool: p, conn: c, onData: req.OnData, OnNewConnection: !c.reused, written: make(chan error, 1), sentAt: time.Now()}
	a.stopCancel = context.AfterFunc(ctx, a.cancel)
	c.checked.NoContent = req.Method == http.MethodHead
	err := errors.Wrap(a.write(req), "write request")
	if err == nil {
		err = a.readHead(req)
	}
	lingers := a.endHead()
	if err == nil {
		return a, nil
	}
	if lingers && !errors.Is(err, ErrAnswerStarted) {
		go a.linger(req)
	} else {
		a.Close()
	}
	if a.OnNewConnection {
		err = errors.Mark(err, ErrNewConnection)
	}
	return nil, errors.Mark(err, ErrIncomplete)
}

// cancel ends the exchange because its context has ended. If the answer has not begun, the
// connection is only closed for sending: the server stops its work as if it were closed, and
// what it still states can be read.
func (a *Answer) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	half, ok := a.conn.Conn.(interface{ CloseWrite() error })
	if !ok || a.hasHead || !a.requestWritten() || !a.pool.mayLinger() {
		_ = a.conn.Close()
		return
	}
	a.lingers = true
	if half.CloseWrite() != nil || a.conn.SetReadDeadline(time.Now()) != nil {
		_ = a.conn.Close()
	}
}

// endHead records that the head has been read or given up, and reports whether the request was
// cancelled before.
func (a *Answer) endHead() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hasHead = true
	return a.lingers
}

// linger awaits the head of the answer to a cancelled request.
func (a *Answer) linger(req Request) {
	if a.conn.SetReadDeadline(time.Now().Add(a.pool.cfg.HeadWait)) == nil {
		// An error tells nothing that matters: nobody waits for the answer.
		_ = a.readHead(req)
	}
	a.Close()
}

// mayLinger counts a connection whose request has been cancelled, unless a quarter of the
// pool's connections are in that state.
func (p *Pool) mayLinger() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.cfg.HeadWait <= 0 || p.lingering >= (p.cfg.MaxConnections()+3)/4 {
		return false
	}
	p.lingering++
	return true
}

// write sends the request and reports the result on a.written. A body longer
// than maxInlineBodyBytes is written in the background.
func (a *Answer) write(req Request) error {
	if len(req.Body) <= maxInlineBodyBytes {
		_, err := a.conn.Write(append(req.Head, req.Body...))
		a.written <- err
		return err
	}
	go func() {
		_, err := a.conn.Write(req.Head)
		if err == nil {
			_, err = a.conn.Write(req.Body)
		}
		a.written <- err
	}()
	return nil
}

// protocolName begins every answer.
const protocolName = "HTTP/"

// awaitAnswer waits for the first bytes of an answer. It returns an error as soon as a byte
// has arrived that can't be one of them.
func (c *conn) awaitAnswer() error {
	for n := 1; n <= len(protocolName); n++ {
		b, err := c.reader.Peek(n)
		if err != nil {
			return err
		}
		if b[n-1] != protocolName[n-1] {
			return errors.Mark(errors.Newf("answer begins with %q", b), ErrInvalid)
		}
	}
	return nil
}

// readResponse reads the next head on the connection.
func (c *conn) readResponse(method string) (*http.Response, error) {
	c.headLimit.N = maxHeadBytes
	err := c.awaitAnswer()
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: method})
	}
	switch {
	case err == nil:
		c.headLimit.N = math.MaxInt64
		c.restoreFields(resp.Header)
		return resp, nil
	case c.headLimit.N <= 0:
		err = errors.Mark(errors.Newf("head of answer exceeds %d bytes", maxHeadBytes), ErrInvalid)
	default:
		err = errors.Wrap(c.readError(err), "read answer")
	}
	if c.headLimit.N < maxHeadBytes || c.checked.Err() != nil {
		err = errors.Mark(err, ErrAnswerStarted)
	}
	return nil, err
}

// restoreFields undoes the changes of the library's reader to the header of the next head.
func (c *conn) restoreFields(header http.Header) {
	changed := c.changed[0]
	c.changed = c.changed[1:]
	if len(changed.Connection) > 0 {
		header["Connection"] = changed.Connection
	}
	if !changed.HasCacheControl {
		delete(header, "Cache-Control")
	}
}

// readError adds the reason to an error of a parser: the error of the connection, or that
// the bytes received are invalid.
func (c *conn) readError(err error) error {
	if invalid := c.checked.Err(); invalid != nil {
		return errors.Mark(invalid, ErrInvalid)
	}
	reason := c.source.err
	switch {
	case reason == nil:
		return errors.Mark(err, ErrInvalid)
	case reason == io.EOF:
		reason = io.ErrUnexpectedEOF
	}
	if errors.Is(err, reason) {
		return err
	}
	return errors.Wrapf(reason, "%v", err)
}

// readHead reads the head of the answer. It skips interim answers and answers
// that belong to other requests.
func (a *Answer) readHead(req Request) error {
	skipped := int64(0)
	for range maxAnswersPerRequest {
		resp, err := a.conn.readResponse(req.Method)
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if a.pool.cfg.OnHead != nil {
			a.pool.cfg.OnHead(resp.StatusCode, resp.Header, a.sentAt)
		}
		if req.Matches(resp.StatusCode, resp.Header) {
			a.Status, a.Header, a.resp = resp.StatusCode, resp.Header, resp
			a.Body = body{answer: a, inner: resp.Body}
			a.recordData()
			return nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes+1))
		skipped += n
		switch {
		case err != nil:
			return errors.Wrap(a.conn.readError(err), "skip answer to another request")
		case skipped > maxSkippedBytes:
			return errors.Mark(errors.Newf("answers to other requests exceed %d bytes", maxSkippedBytes), ErrInvalid)
		case resp.Close:
			return errors.New("connection ends with the answer to another request")
		}
	}
	return errors.Mark(errors.Newf("received %d interim answers or answers to other requests", maxAnswersPerRequest), ErrInvalid)
}

// Framing names the way in which the end of the answer's body is marked: "length",
// "chunks", or "none" if the body ends with its connection.
func (a *Answer) Framing() string {
	switch {
	case len(a.resp.TransferEncoding) > 0:
		return "chunks"
	case a.resp.ContentLength >= 0:
		return "length"
	}
	return "none"
}

// Abort closes the connection, so that reads of the body return an error. It may be called
// at any time; the answer must still be closed.
func (a *Answer) Abort() { _ = a.conn.Close() }

// Discard reads the rest of the body, so that the connection can be reused. It returns an
// error if the body does not end within maxBytes and timeout.
func (a *Answer) Discard(maxBytes int64, timeout time.Duration) error {
	if err := a.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxBytes+1))
	switch {
	case err != nil:
		return err
	case a.end == EndNotSeen:
		return errors.Mark(errors.Newf("body exceeds %d bytes", maxBytes), ErrInvalid)
	}
	return a.conn.SetReadDeadline(time.Time{})
}

// Close releases the connection of the answer. The connection is kept for reuse if the
// request was completely written, the end of the answer was seen in its framing, and the
// answer permits it. Further calls have no effect.
func (a *Answer) Close() {
	a.closeOnce.Do(func() {
		if a.lingers {
			a.pool.mu.Lock()
			a.pool.lingering--
			a.pool.mu.Unlock()
		}
		if !a.stopCancel() || !a.keepsConnection() {
			a.pool.discard(a.conn)
			return
		}
		a.conn.idleTimeout = keepAliveTimeout(a.Header, a.pool.cfg.DefaultIdleTimeout)
		a.pool.release(a.conn)
	})
}

// keepsConnection reports whether the connection can carry another request.
func (a *Answer) keepsConnection() bool {
	return a.end == EndFramed && !a.conn.adopted && !a.resp.Close && a.requestWritten() && a.conn.reader.Buffered() == 0 && a.conn.checked.Err() == nil
}

// requestWritten reports whether the request was completely written. It does
// not wait.
func (a *Answer) requestWritten() bool {
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// keepAliveTimeout returns the idle time after which a connection must not be reused:
// the server's Keep-Alive timeout less idleMargin, or fallback if the server sent
// none.
func keepAliveTimeout(h http.Header, fallback time.Duration) time.Duration {
	for item := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(item), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(text); err == nil && n > 0 {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return fallback
}

// acquire returns the most recently used idle connection that can be reused, or
// a new one.
func (p *Pool) acquire(ctx context.Context, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.popIdle()
		if c == nil {
			break
		}
		idle := time.Since(c.idleSince)
		if idle <= min(c.idleTimeout, maxIdle) && isReusable(c.Conn) {
			c.reused = true
			return c, nil
		}
		p.discard(c)
	}
	return p.open(ctx)
}

// open opens a new connection. Its errors are marked with ErrNotSent.
func (p *Pool) open(ctx context.Context) (*conn, error) {
	if err := p.reserve(); err != nil {
		return nil, err
	}
	c, err := p.dial(ctx)
	if err != nil {
		p.mu.Lock()
		p.openCount--
		p.mu.Unlock()
		return nil, errors.Mark(err, ErrNotSent)
	}
	return c, nil
}

// popIdle removes and returns the most recently used idle connection, nil if
// there is none.
func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// reserve counts a connection that is about to be opened, unless the limit has been
// reached.
func (p *Pool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCount >= p.cfg.MaxConnections() {
		return errors.Mark(ErrConnectionLimit, ErrNotSent)
	}
	p.openCount++
	return nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{
		Timeout: p.cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeoutMillis)
			})
			return errors.CombineErrors(err, optErr)
		},
	}
	if p.cfg.SourceAddress != nil {
		d.LocalAddr = &net.TCPAddr{IP: p.cfg.SourceAddress}
	}
	open := p.cfg.Dial
	if open == nil {
		open = func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	raw, err := open(ctx, &d, p.address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return newConn(raw), nil
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.source = &source{Reader: c}
	c.checked = http1.NewReader(c.source)
	c.checked.OnHead = func(f http1.ChangedFields) { c.changed = append(c.changed, f) }
	c.headLimit = &io.LimitedReader{R: c.checked, N: math.MaxInt64}
	c.reader = bufio.NewReaderSize(c.headLimit, readBufferBytes)
	return c
}

// Write records the first error.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read returns io.EOF only if the other end has closed the connection in an orderly way. The
// system reports a reset to one call only: if that is a write, reads return io.EOF.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
}

// endError returns the error with which the connection has ended, io.EOF if it was closed in an
// orderly way. It ends a write in progress, as no answer follows on the connection.
func (c *conn) endError() error {
	// If this fails, the connection is closed, which ends the write, too.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	// EPIPE means that the other end had closed the connection in an orderly way before it reset it.
	if c.writeErr == nil || errors.IsAny(c.writeErr, os.ErrDeadlineExceeded, syscall.EPIPE) {
		return io.EOF
	}
	return errors.Wrap(c.writeErr, "connection ended")
}

// source keeps the last error of a connection.
type source struct {
	io.Reader
	err error
}

func (s *source) Read(p []byte) (n int, err error) {
	n, err = s.Reader.Read(p)
	s.err = err
	return n, err
}

// recordData reports that a part of the answer has arrived.
func (a *Answer) recordData() {
	if a.pool.cfg.OnData != nil {
		a.pool.cfg.OnData()
	}
	if a.onData != nil {
		a.onData()
	}
}

// CheckListening opens a connection to the server and closes it again after the time settle. It
// returns ErrClosedAtOnce if the other end has closed or reset it by then.
func (p *Pool) CheckListening(ctx context.Context, settle time.Duration) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	defer c.Close()
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait after connect")
	case <-time.After(settle):
	}
	if !isReusable(c.Conn) {
		return ErrClosedAtOnce
	}
	return nil
}

// ErrClosedAtOnce means that the other end closed a connection before any request.
var ErrClosedAtOnce = errors.New("connection closed by the other end once it was open")

// release makes c idle, or closes it if the pool is closed.
func (p *Pool) release(c *conn) {
	if c.adopted {
		p.discard(c)
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.openCount--
	p.mu.Unlock()
	_ = c.Close()
}

// discard closes c and stops counting it.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	if !c.adopted {
		p.openCount--
	}
	p.mu.Unlock()
	_ = c.Close()
}

// isReusable reports whether the connection is open and has no unread data.
// Data that arrives between two requests is unsolicited.
func isReusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (errors.Is(peekErr, syscall.EAGAIN) || errors.Is(peekErr, syscall.EWOULDBLOCK))
}
