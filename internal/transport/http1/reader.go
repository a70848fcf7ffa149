package http1

import (
	"context"
	"io"
	"net"
)

// Reader reads the bytes that a server sends. It returns an error marked with ErrInvalid in place
// of the first line that is invalid, so that a parser of its output never sees the end of a broken
// head.
type Reader struct {
	Checker
	source io.Reader
}

// NewReader returns a reader of source, at the start of an answer.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Read reads from the source.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.source.Read(p)
	valid, checkErr := r.Check(p[:n])
	if checkErr != nil {
		return valid, checkErr
	}
	return n, err
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Checked returns a function that opens connections with dial for an http.Transport whose requests
// are not HEAD requests. Reads fail at the first invalid line of an answer, so that the transport
// returns an error and closes the connection.
func Checked(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, reader: NewReader(c)}, nil
	}
}

type conn struct {
	net.Conn
	reader *Reader
}

func (c *conn) Read(p []byte) (int, error) { return c.reader.Read(p) }
