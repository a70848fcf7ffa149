package upstream

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// Connection is a new connection that is set aside for one request. It must be passed to
// Pool.Do in a Request, or released.
type Connection struct {
	pool *Pool
	conn *conn
}

// maxCheckAnswerBytes bounds the body of the answer to a check.
const maxCheckAnswerBytes = 64 << 10

// Connect opens a new connection. If check is not nil, it is sent first, and Connect
// returns an error unless the server answers it before ctx ends; the status does not
// matter.
func (p *Pool) Connect(ctx context.Context, check *Request) (*Connection, error) {
	c, err := p.open(ctx)
	if err != nil {
		return nil, err
	}
	if check == nil {
		return &Connection{p, c}, nil
	}
	a, err := p.exchange(ctx, c, *check)
	if err != nil {
		return nil, errors.Wrap(err, "check server")
	}
	_, err = io.Copy(io.Discard, io.LimitReader(a.Body, maxCheckAnswerBytes))
	if err == nil && a.end == EndNotSeen {
		err = errors.Mark(errors.Newf("body exceeds %d bytes", maxCheckAnswerBytes), ErrInvalid)
	}
	if err != nil || !a.stopCancel() || !a.keepsConnection() {
		p.discard(c)
		if err != nil {
			return nil, errors.Wrap(err, "read answer to check")
		}
		return p.Connect(ctx, nil)
	}
	return &Connection{p, c}, nil
}

// Release returns the connection to its pool.
func (c *Connection) Release() {
	c.conn.idleTimeout = c.pool.cfg.DefaultIdleTimeout
	c.pool.release(c.conn)
}

// IsOpen reports whether the other end has neither closed the connection nor sent anything.
func (c *Connection) IsOpen() bool { return isReusable(c.conn.Conn) }

// Adopt returns a connection to the pool's server that was opened elsewhere. It carries one
// request and does not count as one of the pool's.
func (p *Pool) Adopt(raw net.Conn) *Connection {
	c := newConn(raw)
	c.adopted = true
	return &Connection{p, c}
}

// IsAdopted reports whether the connection was opened elsewhere.
func (c *Connection) IsAdopted() bool { return c.conn.adopted }

// Dial opens a connection that is not used by the pool, but counts as one of it until it is
// closed. Its errors are marked with ErrNotSent. Reads return io.EOF only if the other end has
// closed the connection in an orderly way.
func (p *Pool) Dial(ctx context.Context) (net.Conn, error) {
	c, err := p.open(ctx)
	if err != nil {
		return nil, err
	}
	return &dialed{Conn: c, release: func() { p.discard(c) }}, nil
}

// dialed is a connection that was opened by Dial.
type dialed struct {
	net.Conn
	once    sync.Once
	release func()
}

func (d *dialed) Close() error {
	d.once.Do(d.release)
	return nil
}
