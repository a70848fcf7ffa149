// Package callerapi defines the HTTP protocol between callers and entry VMs,
// with JSON bodies, and server-sent events for streamed answers.
package callerapi

import (
	"encoding/json"
	"net/http"
)

// Paths and headers of the caller API.
const (
	AddressesPath = "/v1/addresses"
	// RequestPath is the pattern for both model requests and plain calls.
	RequestPath = "POST /v1/services/{service}/routes/{route}"

	WorkspaceHeader      = "Coltsfoot-Workspace"
	IdempotencyKeyHeader = "Idempotency-Key"
	// KeyIssuedAtHeader holds the time at which the caller created its key, in
	// RFC 3339 format. All requests with one key must have the same time.
	KeyIssuedAtHeader = "Coltsfoot-Key-Issued-At"
	// ResendHeader is "true" on a caller retry: a request whose key the caller
	// has already sent without receiving an answer, or while it waits for one.
	// Such a request is never answered with "not run", because the earlier one
	// may still run.
	ResendHeader = "Coltsfoot-Resend"
	MaxKeyBytes  = 128
)

// Address is an address to which a caller may connect.
type Address struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
}

// AddressesAnswer lists entry VMs. Callers try them in order and may cache the
// answer for CacheMillis.
type AddressesAnswer struct {
	Addresses   []Address `json:"addresses"`
	CacheMillis int64     `json:"keep_ms"`
}

// GenerateRequest is the body of a model request.
type GenerateRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// DeadlineMillis is the caller's time limit for the complete answer.
	DeadlineMillis int `json:"deadline_ms,omitempty"`
	// FromOffset is the number of tokens that the caller has already received.
	FromOffset int `json:"from_offset,omitempty"`
}

// Event names of a streamed answer.
const (
	TokensEvent = "tokens"
	MovedEvent  = "moved"
	EndEvent    = "end"
	ErrorEvent  = "error"
)

// TokensFrame carries tokens from Offset on.
type TokensFrame struct {
	Offset int      `json:"offset"`
	Tokens []string `json:"tokens"`
}

// MovedFrame asks the caller to repeat its request with the same key, at one of
// Addresses and from Offset.
type MovedFrame struct {
	Offset    int       `json:"offset"`
	Addresses []Address `json:"addresses"`
}

// EndFrame ends a complete answer.
type EndFrame struct {
	Tokens     int    `json:"tokens"`
	Digest     string `json:"digest"`
	Recomputed int    `json:"recomputed"`
	Version    string `json:"version"`
}

// RunStatus states whether a rejected or failed request has run.
type RunStatus string

// Run statuses.
const (
	NotRun     RunStatus = "not_run"
	HasRun     RunStatus = "has_run"
	RunUnknown RunStatus = "unknown"
)

// Code is a stable error code.
type Code string

// Error codes.
const (
	MalformedRequest   Code = "malformed_request"
	BodyTooLarge       Code = "body_too_large"
	MissingKey         Code = "missing_key"
	Unauthenticated    Code = "unauthenticated"
	UnknownWorkspace   Code = "unknown_workspace"
	UnknownService     Code = "unknown_service"
	UnknownRoute       Code = "unknown_route"
	RouteNotAllowed    Code = "route_not_allowed"
	KeyConflict        Code = "key_conflict"
	KeyExpired         Code = "key_expired"
	LimitReached       Code = "limit_reached"
	NoCapacity         Code = "no_capacity"
	DeadlineTooShort   Code = "deadline_too_short"
	DeadlinePassed     Code = "deadline_passed"
	LogUnavailable     Code = "log_unavailable"
	NotReady           Code = "not_ready"
	Draining           Code = "draining"
	CrashesBackends    Code = "crashes_backend_servers"
	BackendFailed      Code = "backend_failed"
	OutcomeUnknown     Code = "outcome_unknown"
	CallUnderWay       Code = "call_under_way"
	Internal           Code = "internal"
	OffsetBeyondAnswer Code = "offset_beyond_answer"
	// Cancelled means that no caller has read the answer for some time. A caller
	// retry continues the request.
	Cancelled Code = "cancelled"
)

// Error is a rejection or a final failure.
type Error struct {
	Code    Code      `json:"code"`
	Message string    `json:"message"`
	Run     RunStatus `json:"run"`
	// RetryAfterMillis is set if a caller retry after this time may succeed.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// Error returns the code and the message.
func (e *Error) Error() string {
	return string(e.Code) + ": " + e.Message
}

// ErrorAnswer is the body of an answer with a status other than 200.
type ErrorAnswer struct {
	Error Error `json:"error"`
}

// CallAnswer is the answer to a plain call.
type CallAnswer struct {
	Body json.RawMessage `json:"body"`
	// Replayed is true if Body is the recorded answer of an earlier run.
	Replayed bool `json:"replayed,omitempty"`
}

var statusByCode = map[Code]int{
	MalformedRequest:   http.StatusBadRequest,
	BodyTooLarge:       http.StatusRequestEntityTooLarge,
	MissingKey:         http.StatusBadRequest,
	Unauthenticated:    http.StatusUnauthorized,
	UnknownWorkspace:   http.StatusUnauthorized,
	UnknownService:     http.StatusNotFound,
	UnknownRoute:       http.StatusNotFound,
	RouteNotAllowed:    http.StatusForbidden,
	KeyConflict:        http.StatusConflict,
	KeyExpired:         http.StatusGone,
	LimitReached:       http.StatusTooManyRequests,
	NoCapacity:         http.StatusServiceUnavailable,
	DeadlineTooShort:   http.StatusServiceUnavailable,
	DeadlinePassed:     http.StatusGatewayTimeout,
	LogUnavailable:     http.StatusServiceUnavailable,
	NotReady:           http.StatusServiceUnavailable,
	Draining:           http.StatusServiceUnavailable,
	CrashesBackends:    http.StatusBadGateway,
	BackendFailed:      http.StatusBadGateway,
	OutcomeUnknown:     http.StatusBadGateway,
	CallUnderWay:       http.StatusConflict,
	Internal:           http.StatusInternalServerError,
	OffsetBeyondAnswer: http.StatusBadRequest,
	Cancelled:          http.StatusServiceUnavailable,
}

// Status returns the HTTP status of the code.
func (c Code) Status() int {
	if s, ok := statusByCode[c]; ok {
		return s
	}
	return http.StatusInternalServerError
}
