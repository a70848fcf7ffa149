// Package engineapi defines the HTTP protocol of model engines. Bodies are
// JSON: the types of package ports and the ones below.
package engineapi

import "coltsfootpath.example/coltsfootpath/internal/coordination/ports"

// Paths of an engine.
const (
	GeneratePath    = "/v1/generate"
	CancelPath      = "/v1/cancel"
	LoadPath        = "/v1/load"
	CacheEventsPath = "/v1/cache-events"
	ExportPath      = "/v1/kv/export"
	ImportPath      = "/v1/kv/import"
	OrderPath       = "/v1/orders"
)

// FrameEvent is the type of events that carry a frame.
const FrameEvent = "frame"

// AttemptRequest names a running attempt.
type AttemptRequest struct {
	Attempt string `json:"attempt"`
}

// ImportRequest asks an engine to fetch a cache from the engine at Source.
type ImportRequest struct {
	Source string        `json:"source"`
	Cache  ports.KVCache `json:"cache"`
}

// CacheEventsAnswer lists events in order of their sequence numbers, which may
// have gaps.
type CacheEventsAnswer struct {
	Events []ports.CacheEvent `json:"events"`
}
