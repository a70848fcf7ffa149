// Package caller is a client for the caller API. It fetches and caches the
// addresses of entry VMs, connects to them directly, and retries with the same
// key. A retried stream continues at the offset that it has reached.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/transport/http1"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpclient"
)

const (
	addressTimeout = time.Second
	retryDelay     = 50 * time.Millisecond
	maxAnswerBytes = 16 << 20
	// stallTimeout bounds the time for which a stream receives no data. It is several
	// times the keep-alive interval of entry VMs.
	stallTimeout = 3 * time.Second
	// failureTTL is the time for which a failed address is tried last.
	failureTTL = 10 * time.Second
)

// Config holds the caller's identity and the addresses to start from.
type Config struct {
	Seeds            []string
	Workspace        string
	Token            string
	AvailabilityZone string
}

// Client calls entry VMs on behalf of one caller. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client

	mu                sync.Mutex
	addresses         []string
	addressesExpireAt time.Time
	nextIndex         int
	// lastFailure holds the time of each address's last failure. Addresses that
	// failed within failureTTL are tried last.
	lastFailure map[string]time.Time
}

// New returns a client that fetches addresses from the seeds.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, lastFailure: map[string]time.Time{}, http: &http.Client{Transport: &http.Transport{
		DialContext: http1.Checked((&net.Dialer{}).DialContext), MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
	}}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Timing holds the time until the first token and the times between later batches
// of tokens.
type Timing struct {
	FirstToken    time.Duration
	BetweenTokens []time.Duration
}

// Answer is the complete answer to a model request.
type Answer struct {
	Tokens  []string
	End     callerapi.EndFrame
	Timing  Timing
	Retries int
}

// ErrInterrupted is returned when a stream ended before the answer was complete.
var ErrInterrupted = errors.New("stream ended before the answer was complete")

// errMoved is returned when the answer continues at the addresses that the entry
// VM named.
var errMoved = errors.New("answer continues at another address")

// Generate sends a model request and retries until the answer is complete, the
// request is finally rejected, or ctx ends.
func (c *Client) Generate(ctx context.Context, service, route, key string, in callerapi.GenerateRequest) (Answer, error) {
	return c.GenerateWithCallback(ctx, service, route, key, in, func() {})
}

// GenerateWithCallback sends a model request like Generate, and calls onTokens whenever
// tokens are received.
func (c *Client) GenerateWithCallback(ctx context.Context, service, route, key string, in callerapi.GenerateRequest, onTokens func()) (Answer, error) {
	var answer Answer
	startedAt := time.Now()
	lastTokensAt := startedAt
	deadline := in.DeadlineMillis
	for {
		in.FromOffset = len(answer.Tokens)
		if deadline > 0 {
			// A retry sends the remaining time until the caller's deadline.
			in.DeadlineMillis = max(deadline-int(time.Since(startedAt).Milliseconds()), 1)
		}
		err := c.generateOnce(ctx, service, route, key, in, func(tokens []string) {
			now := time.Now()
			if len(answer.Tokens) == 0 {
				answer.Timing.FirstToken = now.Sub(startedAt)
			} else {
				answer.Timing.BetweenTokens = append(answer.Timing.BetweenTokens, now.Sub(lastTokensAt))
			}
			lastTokensAt = now
			answer.Tokens = append(answer.Tokens, tokens...)
			onTokens()
		}, &answer.End)
		if err == nil {
			return answer, nil
		}
		wait, retry := c.retryAfter(err)
		if !retry {
			return answer, err
		}
		answer.Retries++
		if !sleep(ctx, wait) {
			return answer, err
		}
	}
}

// retryAfter returns the delay before the retry that follows err, and false if a
// retry is pointless. It also updates the address that the retry uses.
func (c *Client) retryAfter(err error) (time.Duration, bool) {
	var rejection *callerapi.Error
	if errors.As(err, &rejection) {
		if rejection.Code == callerapi.Draining || rejection.Code == callerapi.NotReady {
			c.expireAddresses()
		}
		wait := time.Duration(rejection.RetryAfterMillis) * time.Millisecond
		return wait, wait > 0 && rejection.Code != callerapi.CrashesBackends
	}
	if errors.Is(err, errMoved) {
		return 0, true
	}
	c.markFailed()
	return retryDelay, true
}

func sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// stallReader postpones a stream's timeout whenever data is received.
type stallReader struct {
	body  io.Reader
	timer *time.Timer
}

// Read reads from the stream and restarts the timeout.
func (s *stallReader) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	s.timer.Reset(stallTimeout)
	return n, err
}

// generateOnce sends a model request once to the current address and reads the
// stream to its end.
func (c *Client) generateOnce(ctx context.Context, service, route, key string, in callerapi.GenerateRequest, onTokens func([]string), end *callerapi.EndFrame) error {
	address, err := c.currentAddress(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := time.AfterFunc(stallTimeout, cancel)
	defer stall.Stop()
	resp, err := c.post(ctx, address, service, route, key, in, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRejection(resp)
	}
	events := eventReader{client: c, received: in.FromOffset, onTokens: onTokens, end: end}
	err = httpclient.ReadEvents(&stallReader{body: resp.Body, timer: stall}, events.handle)
	if err == nil && !events.complete {
		return ErrInterrupted
	}
	return err
}

// eventReader handles the events of one streamed answer.
type eventReader struct {
	client   *Client
	received int
	onTokens func([]string)
	end      *callerapi.EndFrame
	// complete is true once the end event has been received.
	complete bool
}

func (r *eventReader) handle(ev httpclient.Event) error {
	switch ev.Type {
	case callerapi.TokensEvent:
		return r.handleTokens(ev.Data)
	case callerapi.EndEvent:
		r.complete = true
		return json.Unmarshal(ev.Data, r.end)
	case callerapi.ErrorEvent:
		var rejection callerapi.Error
		if err := json.Unmarshal(ev.Data, &rejection); err != nil {
			return err
		}
		return &rejection
	case callerapi.MovedEvent:
		if r.client.useSuccessors(ev.Data) {
			return errMoved
		}
		return ErrInterrupted
	}
	return nil
}

func (r *eventReader) handleTokens(data []byte) error {
	var f callerapi.TokensFrame
	if err := json.Unmarshal(data, &f); err != nil {
		return err
	}
	if f.Offset != r.received {
		return errors.Newf("received tokens at offset %d instead of %d", f.Offset, r.received)
	}
	r.received += len(f.Tokens)
	r.onTokens(f.Tokens)
	return nil
}

func readRejection(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	var answer callerapi.ErrorAnswer
	if err := json.Unmarshal(data, &answer); err != nil || answer.Error.Code == "" {
		return errors.Newf("status %d: %s", resp.StatusCode, data)
	}
	return &answer.Error
}

// post posts a request to an entry VM, with the extra headers in addition to the
// usual ones.
func (c *Client) post(ctx context.Context, address, service, route, key string, body any, extra http.Header) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	url := "http://" + address + "/v1/services/" + service + "/routes/" + route
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport doesn't retry by itself, as it would because
	// of the idempotency key. Only this package retries, so that it can mark each
	// retry.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	req.Header.Set(callerapi.WorkspaceHeader, c.cfg.Workspace)
	req.Header.Set(callerapi.IdempotencyKeyHeader, key)
	for name, values := range extra {
		req.Header[name] = values
	}
	return c.http.Do(req)
}

// currentAddress returns the address to call next. It fetches addresses first if
// there are none or they have expired; if that fails, expired ones are used.
func (c *Client) currentAddress(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 || time.Now().After(c.addressesExpireAt) {
		if err := c.fetchAddresses(ctx); err != nil && len(c.addresses) == 0 {
			return "", err
		}
	}
	return c.addresses[c.nextIndex%len(c.addresses)], nil
}

// fetchAddresses requests the list of addresses from the known addresses and the
// seeds, one after another, until one answers. The caller must hold c.mu.
func (c *Client) fetchAddresses(ctx context.Context) error {
	var lastErr error
	for _, source := range c.moveFailedToEnd(append(append([]string{}, c.addresses...), c.cfg.Seeds...)) {
		answer, err := c.fetchAddressesFrom(ctx, source)
		if err != nil || len(answer.Addresses) == 0 {
			lastErr = errors.Wrapf(err, "fetch addresses from %s", source)
			c.lastFailure[source] = time.Now()
			continue
		}
		c.setAddresses(answer)
		return nil
	}
	if lastErr == nil {
		lastErr = errors.New("no known address and no seed to fetch addresses from")
	}
	return lastErr
}

func (c *Client) setAddresses(answer callerapi.AddressesAnswer) {
	c.addresses = c.addresses[:0:0]
	for _, a := range answer.Addresses {
		c.addresses = append(c.addresses, a.Address)
	}
	c.addresses = c.moveFailedToEnd(c.addresses)
	c.nextIndex = 0
	c.addressesExpireAt = time.Now().Add(time.Duration(answer.CacheMillis) * time.Millisecond)
}

// moveFailedToEnd returns the addresses with those that failed within failureTTL
// moved to the end.
func (c *Client) moveFailedToEnd(addresses []string) []string {
	var working, failed []string
	for _, a := range addresses {
		if at, ok := c.lastFailure[a]; ok && time.Since(at) < failureTTL {
			failed = append(failed, a)
			continue
		}
		working = append(working, a)
	}
	return append(working, failed...)
}

func (c *Client) fetchAddressesFrom(ctx context.Context, source string) (callerapi.AddressesAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	var answer callerapi.AddressesAnswer
	url := "http://" + source + callerapi.AddressesPath + "?availability_zone=" + c.cfg.AvailabilityZone
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return answer, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	switch {
	case err != nil:
		return answer, err
	case resp.StatusCode != http.StatusOK:
		return answer, errors.Newf("status %d: %s", resp.StatusCode, data)
	}
	return answer, json.Unmarshal(data, &answer)
}

// markFailed marks the current address as failed and selects the next one. Once
// all addresses have been tried, they expire.
func (c *Client) markFailed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) > 0 {
		c.lastFailure[c.addresses[c.nextIndex%len(c.addresses)]] = time.Now()
	}
	c.nextIndex++
	if c.nextIndex%max(len(c.addresses), 1) == 0 {
		c.addressesExpireAt = time.Time{}
	}
}

// expireAddresses makes the next call fetch addresses.
func (c *Client) expireAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextIndex++
	c.addressesExpireAt = time.Time{}
}

// useSuccessors replaces the addresses by those in a moved event. It returns false
// if the event can't be decoded or has no address.
func (c *Client) useSuccessors(data []byte) bool {
	var f callerapi.MovedFrame
	if json.Unmarshal(data, &f) != nil || len(f.Addresses) == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = nil
	for _, a := range f.Addresses {
		c.addresses = append(c.addresses, a.Address)
	}
	c.nextIndex = 0
	return true
}
