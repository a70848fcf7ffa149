// Package engine is a small stand-in for a model engine. It simulates
// continuous batching with a simple cost model, a size-limited prefix cache,
// priorities, resumption, cancellation, KV export and import, delayed and lossy
// cache events, delayed load reports, and orders with an optional check of the
// fencing token.
package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/state/prefix"
)

// Faults holds the faults that can be set at run time. Model and Route, if set,
// restrict FailRatio and StepsPerToken to requests for them. MinRunning
// restricts these two to times at which at least that number of sequences is
// running.
type Faults struct {
	Model      string `json:"model,omitempty"`
	Route      string `json:"route,omitempty"`
	MinRunning int    `json:"under_load,omitempty"`
	// FailRatio is the fraction of requests that fail, 0 to 1.
	FailRatio float64 `json:"fail_ratio,omitempty"`
	// StepsPerToken is the number of decode steps per token; 0 means 1.
	StepsPerToken int `json:"stretch,omitempty"`
	// CrashMarker crashes the engine when it is one of a prompt's tokens.
	CrashMarker string `json:"crash_marker,omitempty"`
	// EventLossRatio is the fraction of cache events that are lost, 0 to 1.
	EventLossRatio float64 `json:"lose_events,omitempty"`
}

// Config configures an Engine.
type Config struct {
	Cost          CostModel
	Models        []string
	ChecksFencing bool
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// EventLag is the delay before cache events are published.
	EventLag time.Duration
	Seed     uint64
	// OnCrash is called in its own goroutine when a prompt with the crash marker
	// has crashed the engine.
	OnCrash func()
}

// DefaultCost is the cost model of a small, fast engine for tests and demos.
var DefaultCost = CostModel{
	StepBase:        4 * time.Millisecond,
	StepPerSequence: 100 * time.Microsecond,
	PrefillPerToken: 50 * time.Microsecond,
	PrefillChunk:    256,
	Slots:           32,
	CacheBlocks:     2048,
}

type stream struct {
	prompt string
	frames chan ports.Frame
}

type export struct {
	tokens []string
}

type timedLoad struct {
	at   time.Time
	load ports.LoadReport
}

type timedEvent struct {
	visibleAt time.Time
	event     ports.CacheEvent
}

// Engine is a running engine stand-in. It is safe for concurrent use.
type Engine struct {
	cfg Config

	mu      sync.Mutex
	faults  Faults
	random  *rand.Rand
	batch   *Batch
	streams map[string]*stream
	exports map[string]export
	models  []string
	role    string
	// fencingToken is the highest fencing token received with an order.
	fencingToken uint64
	orderCount   int
	loadHistory  []timedLoad
	events       []timedEvent
	wake         chan struct{}
	stopped      chan struct{}
	stopOnce     sync.Once

	work Work
}

// Work counts an engine's processed tokens.
type Work struct {
	Prefilled int
	Generated int
	// Recomputed is the part of Prefilled spent on resumed answers.
	Recomputed int
}

// Add adds another engine's counts to w.
func (w *Work) Add(o Work) {
	w.Prefilled += o.Prefilled
	w.Generated += o.Generated
	w.Recomputed += o.Recomputed
}

// New starts an engine. A zero Cost means DefaultCost.
func New(cfg Config) *Engine {
	if cfg.Cost.Slots == 0 {
		cfg.Cost = DefaultCost
	}
	e := &Engine{
		cfg:     cfg,
		random:  rand.New(rand.NewPCG(cfg.Seed, 2)),
		batch:   NewBatch(cfg.Cost),
		streams: map[string]*stream{},
		exports: map[string]export{},
		models:  slices.Clone(cfg.Models),
		wake:    make(chan struct{}, 1),
		stopped: make(chan struct{}),
	}
	go e.run()
	return e
}

// Stop stops the engine and aborts its streams. It may be called repeatedly.
func (e *Engine) Stop() {
	e.stopOnce.Do(func() { close(e.stopped) })
}

// SetFaults replaces the active faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Unload removes a model without an order, as if it had never been loaded.
func (e *Engine) Unload(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == model })
}

// Work returns the work done so far.
func (e *Engine) Work() Work {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.work
}

func (e *Engine) run() {
	for {
		e.mu.Lock()
		idle := e.batch.Idle()
		e.mu.Unlock()
		if idle {
			select {
			case <-e.wake:
			case <-e.stopped:
				return
			}
			continue
		}
		e.mu.Lock()
		duration, emissions := e.batch.Step()
		e.recordStep()
		e.mu.Unlock()
		select {
		case <-time.After(duration):
		case <-e.stopped:
			return
		}
		e.deliver(emissions)
	}
}

func (e *Engine) deliver(emissions []Emission) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, em := range emissions {
		s := e.streams[em.Sequence.Attempt]
		if s == nil {
			continue
		}
		e.work.Prefilled += em.Prefilled
		e.work.Generated++
		if em.Offset > 0 {
			e.work.Recomputed += em.Prefilled
		}
		frame := ports.Frame{
			Attempt:   em.Sequence.Attempt,
			Offset:    em.Offset,
			Tokens:    []string{Token(s.prompt, em.Offset)},
			Prefilled: em.Prefilled,
			Done:      em.Done,
		}
		if em.Done {
			frame.Total = em.Sequence.TotalTokens
		}
		s.frames <- frame
	}
}

func (e *Engine) recordStep() {
	now := time.Now()
	for _, ev := range e.batch.TakeCacheEvents() {
		if e.faults.EventLossRatio > 0 && e.random.Float64() < e.faults.EventLossRatio {
			continue
		}
		e.events = append(e.events, timedEvent{visibleAt: now.Add(e.cfg.EventLag), event: ev})
	}
	if extra := len(e.events) - maxPendingEvents; extra > 0 {
		e.events = e.events[extra:]
	}
	e.loadHistory = append(e.loadHistory, timedLoad{at: now, load: e.batch.Load()})
	for len(e.loadHistory) > 1 && now.Sub(e.loadHistory[1].at) > e.cfg.LoadLag {
		e.loadHistory = e.loadHistory[1:]
	}
}

// ErrModelMissing means that the requested model is not loaded.
var ErrModelMissing = errors.New("model is not loaded")

// ErrInjected is returned for requests that Faults.FailRatio makes fail.
var ErrInjected = errors.New("injected engine failure")

// Generate runs a request and calls onFrame for each frame, until the last
// frame, an error from onFrame, the end of ctx or the engine's stop.
func (e *Engine) Generate(ctx context.Context, req ports.GenerateRequest, onFrame func(ports.Frame) error) error {
	s, err := e.startAttempt(req)
	if err != nil {
		return err
	}
	defer e.removeAttempt(req.Attempt)
	for {
		select {
		case frame := <-s.frames:
			if err := onFrame(frame); err != nil {
				return err
			}
			if frame.Done {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		case <-e.stopped:
			return errors.Wrap(ports.ErrInterrupted, "engine stopped")
		}
	}
}

func (e *Engine) startAttempt(req ports.GenerateRequest) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.models, req.Model) {
		return nil, errors.Mark(ErrModelMissing, ports.ErrRejected)
	}
	if _, ok := e.streams[req.Attempt]; ok {
		return nil, errors.Mark(errors.New("attempt is already running"), ports.ErrRejected)
	}
	e.crashOnMarker(req.Prompt)
	fault := e.faultFor(req)
	if fault.FailRatio > 0 && e.random.Float64() < fault.FailRatio {
		return nil, ErrInjected
	}
	s := &stream{prompt: req.Prompt, frames: make(chan ports.Frame, req.MaxTokens+1)}
	e.streams[req.Attempt] = s
	e.batch.Add(&Sequence{
		Attempt:       req.Attempt,
		Model:         req.Model,
		Route:         req.Route,
		Priority:      req.Priority,
		InitialTokens: append(prefix.Tokens(req.Prompt), req.Generated...),
		NextToken:     len(req.Generated),
		TotalTokens:   req.MaxTokens,
		StepsPerToken: fault.StepsPerToken,
	})
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s, nil
}

func (e *Engine) faultFor(req ports.GenerateRequest) Faults {
	f := e.faults
	if f.Model != "" && f.Model != req.Model {
		return Faults{}
	}
	if f.Route != "" && f.Route != req.Route {
		return Faults{}
	}
	if e.batch.Load().Running < f.MinRunning {
		return Faults{}
	}
	return f
}

func (e *Engine) crashOnMarker(prompt string) {
	if e.faults.CrashMarker == "" || !slices.Contains(prefix.Tokens(prompt), e.faults.CrashMarker) {
		return
	}
	e.Stop()
	if e.cfg.OnCrash != nil {
		go e.cfg.OnCrash()
	}
}

func (e *Engine) removeAttempt(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, attempt)
	e.batch.Remove(attempt)
}

// Cancel removes an attempt from the batch. Its stream receives no further
// frames.
func (e *Engine) Cancel(attempt string) {
	e.removeAttempt(attempt)
}

// Load returns the load report from about Config.LoadLag ago.
func (e *Engine) Load() ports.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	report := ports.LoadReport{Slots: e.cfg.Cost.Slots, At: now}
	if e.batch.Idle() && (len(e.loadHistory) == 0 || now.Sub(e.loadHistory[len(e.loadHistory)-1].at) > e.cfg.LoadLag) {
		e.loadHistory = nil
	}
	if len(e.loadHistory) > 0 {
		report = e.loadHistory[0].load
		report.At = e.loadHistory[0].at
	}
	report.Models = slices.Clone(e.models)
	return report
}

// CacheEvents returns the published events whose sequence number is at least
// from.
func (e *Engine) CacheEvents(from uint64) []ports.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	var out []ports.CacheEvent
	for _, t := range e.events {
		if t.event.Sequence >= from && !t.visibleAt.After(now) {
			out = append(out, t.event)
		}
	}
	return out
}

const kvBytesPerToken = 128 << 10

// ExportKV exports the KV cache of a running attempt whose prefill is complete.
func (e *Engine) ExportKV(attempt string) (ports.KVCache, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, st := e.batch.FindRunning(attempt), e.streams[attempt]
	if s == nil || st == nil || s.remainingPrefill > 0 {
		return ports.KVCache{}, errors.Mark(errors.New("attempt has no KV cache yet"), ports.ErrRejected)
	}
	tokens := prefix.Tokens(st.prompt)
	for i := range s.NextToken {
		tokens = append(tokens, Token(st.prompt, i))
	}
	handle := fmt.Sprintf("kv-%s-%d", attempt, len(tokens))
	e.exports[handle] = export{tokens: tokens}
	return ports.KVCache{Handle: handle, Tokens: len(tokens), Bytes: int64(len(tokens)) * kvBytesPerToken}, nil
}

// ExportedTokens returns the tokens covered by an exported KV cache, and false
// if the handle is unknown.
func (e *Engine) ExportedTokens(handle string) ([]string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	exported, ok := e.exports[handle]
	return exported.tokens, ok
}

// ImportKV adds the tokens of an exported KV cache to this engine's prefix
// cache.
func (e *Engine) ImportKV(tokens []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.ImportPrefix(tokens)
}

// ExecuteOrder executes an order. If fencing is checked, it rejects orders with
// an outdated fencing token.
func (e *Engine) ExecuteOrder(o ports.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && o.FencingToken < e.fencingToken {
		return errors.Wrapf(ports.ErrOutdatedFencingToken, "token %d is below %d", o.FencingToken, e.fencingToken)
	}
	e.fencingToken = max(e.fencingToken, o.FencingToken)
	e.orderCount++
	switch o.Kind {
	case ports.LoadModel:
		if !slices.Contains(e.models, o.Model) {
			e.models = append(e.models, o.Model)
		}
	case ports.UnloadModel:
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == o.Model })
	case ports.ChangeRole:
		e.role = o.Role
	default:
		return errors.Mark(errors.Newf("unknown order kind %q", o.Kind), ports.ErrRejected)
	}
	return nil
}
