// Package ports declares the interfaces of the external services that the
// decision code depends on: the platform's log and cloud, the backend servers,
// and a clock. Each interface has one adapter in the transport layer; another
// environment, such as a test bench, only needs other adapters.
package ports

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/state/fleet"
)

// Errors returned by adapters, to be tested with errors.Is.
var (
	// ErrNotSent means that no part of the call left this process.
	ErrNotSent = errors.New("not sent")
	// ErrRejected means that the other side answered that it rejected the call;
	// it did nothing.
	ErrRejected = errors.New("refused")
	// ErrOverloaded means that the other side had no capacity and did nothing.
	ErrOverloaded = errors.New("overloaded")
	// ErrInterrupted means that the connection ended before the answer was
	// complete.
	ErrInterrupted = errors.New("connection ended before the answer was complete")
	// ErrOutdatedFencingToken means that an order carried a fencing token below
	// the highest one already received.
	ErrOutdatedFencingToken = errors.New("outdated fencing token")
	// ErrUnavailable means that the platform's service did not accept the call.
	ErrUnavailable = errors.New("unavailable")
)

// TrimmedError reports that the log no longer holds the requested offset.
type TrimmedError struct {
	Earliest uint64
}

// Error returns the error text.
func (e *TrimmedError) Error() string {
	return "log no longer holds the requested offset"
}

// LogRecord is one record of a stream. Offsets start at 1 and have no gaps.
type LogRecord struct {
	Offset uint64
	Data   []byte
}

// LogBatch is the result of one read.
type LogBatch struct {
	Records  []LogRecord
	Earliest uint64
	// Next is the offset from which the next read has to continue.
	Next uint64
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds records in order. On any error but ErrNotSent and ErrRejected
	// the records may nevertheless have been added.
	Append(ctx context.Context, stream string, records [][]byte) (first uint64, err error)
	// Read returns records starting at offset from, and waits up to wait for the
	// first one.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (LogBatch, error)
}

// Types of the state layer that are exchanged with the platform's services.
type (
	// Role is the kind of program that a VM runs.
	Role = fleet.Role
	// VM is one entry of the cloud's list of VMs, which lags behind.
	VM = fleet.VM
	// LoadReport is an engine's report of its own load, which lags behind.
	LoadReport = fleet.LoadReport
)

// Roles of VMs.
const (
	EntryRole   = fleet.EntryRole
	EngineRole  = fleet.EngineRole
	ServiceRole = fleet.ServiceRole
)

// Price is the price of a VM of one class in an availability zone, in millionths
// of the currency unit per hour.
type Price struct {
	AvailabilityZone string `json:"availability_zone"`
	Class            string `json:"class"`
	Reclaimable      bool   `json:"reclaimable"`
	PricePerHour     int64  `json:"micros_per_hour"`
}

// Cloud is the platform's cloud API.
type Cloud interface {
	ListVMs(ctx context.Context) ([]VM, error)
	// Notices lists the VMs under a reclaim notice, without the lag of ListVMs.
	Notices(ctx context.Context) ([]VM, error)
	Prices(ctx context.Context) ([]Price, error)
	// StartVM is idempotent for each order id.
	StartVM(ctx context.Context, order StartOrder) (VM, error)
	StopVM(ctx context.Context, id string, fencingToken uint64) error
}

// StartOrder requests the start of one VM.
type StartOrder struct {
	OrderID          string `json:"order_id"`
	AvailabilityZone string `json:"availability_zone"`
	Class            string `json:"class"`
	Reclaimable      bool   `json:"reclaimable"`
	Role             Role   `json:"role"`
	FencingToken     uint64 `json:"fencing"`
}

// GenerateRequest requests tokens from an engine.
type GenerateRequest struct {
	// Attempt is the unique identifier of this attempt; frames repeat it.
	Attempt   string `json:"attempt"`
	Model     string `json:"model"`
	Route     string `json:"route"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// Generated holds the tokens already produced by earlier attempts.
	Generated []string `json:"generated,omitempty"`
	// KVHandle names an imported cache that covers Prompt and Generated.
	KVHandle string `json:"kv_handle,omitempty"`
	// Priority is 0 for the most urgent.
	Priority int `json:"priority"`
}

// Frame is one part of an engine's answer.
type Frame struct {
	Attempt string `json:"attempt"`
	// Offset is the index of the first of Tokens in the complete answer.
	Offset int      `json:"offset"`
	Tokens []string `json:"tokens,omitempty"`
	// Prefilled is the number of tokens prefilled before the first token.
	Prefilled int  `json:"prefilled,omitempty"`
	Done      bool `json:"done,omitempty"`
	// Total is the length of the complete answer in tokens; it is set with
	// Done.
	Total int `json:"total,omitempty"`
}

// CacheEvent reports that a prefix block entered or left an engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// Values of OrderKind.
const (
	LoadModel   OrderKind = "load_model"
	UnloadModel OrderKind = "unload_model"
	ChangeRole  OrderKind = "change_role"
)

// Order requests a state of an engine. Orders are idempotent.
type Order struct {
	Kind         OrderKind `json:"kind"`
	Model        string    `json:"model,omitempty"`
	Role         string    `json:"role,omitempty"`
	FencingToken uint64    `json:"fencing"`
}

// KVCache describes the exported KV cache of one stream.
type KVCache struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
	Bytes  int64  `json:"bytes"`
}

// Engine sends requests to the model engine at an address.
type Engine interface {
	// Generate calls onFrame for each frame in the order received and returns
	// nil after the frame with Done.
	Generate(ctx context.Context, address string, req GenerateRequest, onFrame func(Frame) error) error
	Cancel(ctx context.Context, address, attempt string) error
	Load(ctx context.Context, address string) (LoadReport, error)
	CacheEvents(ctx context.Context, address string, from uint64) ([]CacheEvent, error)
	ExportKV(ctx context.Context, address, attempt string) (KVCache, error)
	ImportKV(ctx context.Context, address, source string, cache KVCache) error
	Order(ctx context.Context, address string, order Order) error
}

// CallRequest is one call to a plain service.
type CallRequest struct {
	Service string          `json:"service"`
	Version string          `json:"version"`
	Route   string          `json:"route"`
	Key     string          `json:"key"`
	Body    json.RawMessage `json:"body"`
}

// CallResult is a plain service's answer.
type CallResult struct {
	Body json.RawMessage `json:"body"`
}

// PlainService sends calls to the plain service at an address.
type PlainService interface {
	Call(ctx context.Context, address string, req CallRequest) (CallResult, error)
}

// Clock provides monotonic time and timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the clock of the running process.
type SystemClock struct{}

// Now returns the current time with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns a channel that receives after d.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
