// Package httpclient implements the interfaces of package ports over HTTP. It uses
// the standard library's client because answers are streamed here, and nbhttp's
// client returns an answer only when it is complete.
package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/transport/http1"
)

const (
	dialTimeout         = 2 * time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConns        = 2048
	maxIdleConnsPerHost = 256
	maxAnswerBytes      = 64 << 20
	maxErrorBodyBytes   = 4 << 10
	maxStreamEventBytes = 1 << 20
)

// Client sends requests with JSON bodies over HTTP.
type Client struct {
	http *http.Client
}

// New returns a client with its own connection pool.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         http1.Checked(dialer.DialContext),
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	}}}
}

// CloseIdleConnections closes the connections that carry no request.
func (c *Client) CloseIdleConnections() {
	c.http.CloseIdleConnections()
}

// StatusError reports an answer with a status other than 200.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status text and the start of the body.
func (e *StatusError) Error() string {
	return http.StatusText(e.Status) + ": " + e.Body
}

// do sends a request and returns an answer with status 200. An error is marked
// with ports.ErrNotSent if there was no connection, so that no part of the
// request left this process, and otherwise as an interrupted connection. Any
// other status of a complete answer is returned as a *StatusError.
//
// The request must not have an Idempotency-Key header, with which net/http
// would retry a POST on its own.
func (c *Client) do(ctx context.Context, method, url string, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "encode request"), ports.ErrNotSent)
		}
		body = bytes.NewReader(data)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, body)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "build request"), ports.ErrNotSent)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if !connected.Load() {
			return nil, errors.Mark(err, ports.ErrNotSent)
		}
		return nil, errors.Mark(err, ports.ErrInterrupted)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, statusError(resp)
}

// statusError returns the answer as a *StatusError, marked with the error of
// package ports for its status if there is one. An answer that breaks off within
// maxErrorBodyBytes is returned as an interrupted connection.
func statusError(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "read answer with status %d", resp.StatusCode), ports.ErrInterrupted)
	}
	err = error(&StatusError{Status: resp.StatusCode, Body: string(bytes.TrimSpace(data))})
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusNotFound:
		return errors.Mark(err, ports.ErrRejected)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return errors.Mark(err, ports.ErrOverloaded)
	case http.StatusPreconditionFailed:
		return errors.Mark(err, ports.ErrOutdatedFencingToken)
	}
	return err
}

// CallJSON sends a request, with in as its JSON body unless in is nil, and decodes
// the answer into out unless out is nil.
func (c *Client) CallJSON(ctx context.Context, method, url string, in, out any) error {
	resp, err := c.do(ctx, method, url, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "read answer"), ports.ErrInterrupted)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Mark(errors.Wrap(err, "decode answer"), ports.ErrInterrupted)
	}
	return nil
}

// Event is one server-sent event.
type Event struct {
	Type string
	Data []byte
}

// Stream sends a POST request with in as its JSON body and calls onEvent for each
// event of the answer. It returns nil if the stream ended or onEvent returned
// ErrStop.
func (c *Client) Stream(ctx context.Context, url string, in any, onEvent func(Event) error) error {
	resp, err := c.do(ctx, http.MethodPost, url, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return ReadEvents(resp.Body, onEvent)
}

// ErrStop is returned by an event handler to end a stream without an error.
var ErrStop = errors.New("stop")

// ReadEvents calls onEvent for each event in body. It returns nil if body ended
// or onEvent returned ErrStop.
func ReadEvents(body io.Reader, onEvent func(Event) error) error {
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxStreamEventBytes}) {
		if err != nil {
			return errors.Mark(errors.Wrap(err, "read stream"), ports.ErrInterrupted)
		}
		if err := onEvent(Event{Type: ev.Type, Data: []byte(ev.Data)}); err != nil {
			if errors.Is(err, ErrStop) {
				return nil
			}
			return err
		}
	}
	return nil
}
