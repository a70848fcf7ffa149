package httpclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/protocol/engineapi"
	"coltsfootpath.example/coltsfootpath/internal/protocol/serviceapi"
)

const engineCallTimeout = 2 * time.Second

// Engine is the adapter for model engines.
type Engine struct {
	client *Client
}

var _ ports.Engine = (*Engine)(nil)

// NewEngine returns an adapter for engines at any address.
func NewEngine(client *Client) *Engine {
	return &Engine{client: client}
}

// Generate runs a request and calls onFrame for each frame of the answer. It
// returns nil only after the last frame.
func (e *Engine) Generate(ctx context.Context, address string, req ports.GenerateRequest, onFrame func(ports.Frame) error) error {
	done := false
	err := e.client.Stream(ctx, "http://"+address+engineapi.GeneratePath, req, func(ev Event) error {
		var frame ports.Frame
		if err := json.Unmarshal(ev.Data, &frame); err != nil {
			return errors.Mark(errors.Wrap(err, "decode frame"), ports.ErrInterrupted)
		}
		if frame.Offset < 0 || frame.Prefilled < 0 || frame.Total < 0 {
			return errors.Wrap(ports.ErrInterrupted, "frame has a negative offset, prefilled count or total")
		}
		if err := onFrame(frame); err != nil {
			return err
		}
		if frame.Done {
			done = true
			return ErrStop
		}
		return nil
	})
	if err != nil {
		return err
	}
	if !done {
		return errors.Wrap(ports.ErrInterrupted, "stream ended before its last frame")
	}
	return nil
}

func (e *Engine) call(ctx context.Context, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	return e.client.CallJSON(ctx, method, url, in, out)
}

// Cancel cancels an attempt.
func (e *Engine) Cancel(ctx context.Context, address, attempt string) error {
	return e.call(ctx, http.MethodPost, "http://"+address+engineapi.CancelPath, engineapi.AttemptRequest{Attempt: attempt}, nil)
}

// Load returns the engine's load report, which may be older than its present load.
func (e *Engine) Load(ctx context.Context, address string) (ports.LoadReport, error) {
	var report ports.LoadReport
	err := e.call(ctx, http.MethodGet, "http://"+address+engineapi.LoadPath, nil, &report)
	return report, err
}

// CacheEvents returns the cache events with sequence numbers of at least from.
func (e *Engine) CacheEvents(ctx context.Context, address string, from uint64) ([]ports.CacheEvent, error) {
	var answer engineapi.CacheEventsAnswer
	url := fmt.Sprintf("http://%s%s?from=%d", address, engineapi.CacheEventsPath, from)
	err := e.call(ctx, http.MethodGet, url, nil, &answer)
	return answer.Events, err
}

// ExportKV exports the KV cache of a running attempt.
func (e *Engine) ExportKV(ctx context.Context, address, attempt string) (ports.KVCache, error) {
	var cache ports.KVCache
	err := e.call(ctx, http.MethodPost, "http://"+address+engineapi.ExportPath, engineapi.AttemptRequest{Attempt: attempt}, &cache)
	return cache, err
}

// ImportKV makes the engine at address fetch a KV cache from the engine at
// source. Only ctx bounds its duration.
func (e *Engine) ImportKV(ctx context.Context, address, source string, cache ports.KVCache) error {
	in := engineapi.ImportRequest{Source: source, Cache: cache}
	return e.client.CallJSON(ctx, http.MethodPost, "http://"+address+engineapi.ImportPath, in, nil)
}

// Order sends an order. The error is marked with ports.ErrOutdatedFencingToken if
// the engine rejected the order because of its fencing token.
func (e *Engine) Order(ctx context.Context, address string, order ports.Order) error {
	return e.call(ctx, http.MethodPost, "http://"+address+engineapi.OrderPath, order, nil)
}

// PlainService is the adapter for plain services.
type PlainService struct {
	client *Client
}

var _ ports.PlainService = (*PlainService)(nil)

// NewPlainService returns an adapter for services at any address.
func NewPlainService(client *Client) *PlainService {
	return &PlainService{client: client}
}

// Call runs one call. This adapter never retries it.
func (p *PlainService) Call(ctx context.Context, address string, req ports.CallRequest) (ports.CallResult, error) {
	var result ports.CallResult
	err := p.client.CallJSON(ctx, http.MethodPost, "http://"+address+serviceapi.CallPath, req, &result)
	if err == nil && result.Body == nil {
		result.Body = json.RawMessage("null")
	}
	return result, err
}
