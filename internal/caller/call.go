package caller

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
)

// Key is an idempotency key with the state that the caller keeps for it.
type Key struct {
	Value string
	// IssuedAt is the time at which the key was created; it never changes.
	IssuedAt time.Time
	// MayHaveRun is true if an earlier call with this key may have run; later calls
	// are then marked as retries.
	MayHaveRun bool
}

// Call calls a plain service and retries with the same key. It also returns the
// number of retries.
func (c *Client) Call(ctx context.Context, service, route, key string, body any) (callerapi.CallAnswer, int, error) {
	return c.CallWithKey(ctx, service, route, &Key{Value: key}, body)
}

// CallWithKey calls a plain service and retries until the call is answered or finally
// rejected, or ctx ends. It sets key.MayHaveRun once the call may have run, and
// marks the retries after that. It also returns the number of retries.
func (c *Client) CallWithKey(ctx context.Context, service, route string, key *Key, body any) (callerapi.CallAnswer, int, error) {
	for retries := 0; ; retries++ {
		answer, err := c.callOnce(ctx, service, route, *key, body)
		if err == nil {
			return answer, retries, nil
		}
		key.MayHaveRun = key.MayHaveRun || !hasCertainlyNotRun(err)
		wait, retry := c.retryAfter(err)
		if !retry || !sleep(ctx, wait) {
			return answer, retries, err
		}
	}
}

// hasCertainlyNotRun reports whether a failed call has not run and never will.
func hasCertainlyNotRun(err error) bool {
	var rejection *callerapi.Error
	if errors.As(err, &rejection) {
		return rejection.Run == callerapi.NotRun
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// callOnce sends a call once to the current address.
func (c *Client) callOnce(ctx context.Context, service, route string, key Key, body any) (callerapi.CallAnswer, error) {
	var answer callerapi.CallAnswer
	header := http.Header{}
	if !key.IssuedAt.IsZero() {
		header.Set(callerapi.KeyIssuedAtHeader, key.IssuedAt.UTC().Format(time.RFC3339Nano))
	}
	if key.MayHaveRun {
		header.Set(callerapi.ResendHeader, "true")
	}
	address, err := c.currentAddress(ctx)
	if err != nil {
		return answer, err
	}
	resp, err := c.post(ctx, address, service, route, key.Value, body, header)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer, readRejection(resp)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(data, &answer)
}
