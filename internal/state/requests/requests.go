// Package requests holds the open and the recently finished requests of one entry
// VM, so that a caller's retry joins the running request or gets its answer.
package requests

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ID identifies a request by its workspace and key.
type ID struct {
	Workspace string
	Key       string
}

// Spec holds the immutable parameters of a request.
type Spec struct {
	ID ID
	// Keyed is false if the caller sent no key and therefore can't retry the request.
	Keyed       bool
	Fingerprint uint64
	Service     string
	Route       string
	Version     string
	Prompt      string
	MaxTokens   int
	Deadline    time.Time
}

// End is the outcome of a request. Failure is an encoded error of the caller API,
// empty if the answer is complete or another entry VM took over the request.
type End struct {
	Failure    []byte
	Recomputed int
	// MovedTo is the entry VM that took over the request, nil for none.
	MovedTo *Owner
}

// Owner is an entry VM that runs a request.
type Owner struct {
	VM               string
	AvailabilityZone string
	CallerAddress    string
	PeerAddress      string
}

// Request is a request with the part of its answer that has been received.
type Request struct {
	Spec

	// mu is acquired after the table's lock, never before it.
	mu          sync.Mutex
	tokens      []string
	end         *End
	endedAt     time.Time
	readers     int
	unreadSince time.Time
	changed     chan struct{}
	done        chan struct{}
	// copiedFrom is the entry VM whose answer this request copies, nil for none.
	copiedFrom *Owner
	// handedOver is true once another entry VM also holds the finished answer.
	handedOver bool
	// answeringVersion is the version that answers the request, empty for
	// Spec.Version.
	answeringVersion string
	// held is the memory that the request counts with in the table's tableHeld, which is nil
	// if the table does not hold the request.
	held      int64
	tableHeld *atomic.Int64
}

// grow counts the memory of further tokens. mu must be held.
func (r *Request) grow(tokens []string) {
	if r.tableHeld != nil {
		size := tokensMemory(tokens)
		r.held += size
		r.tableHeld.Add(size)
	}
}

func newRequest(spec Spec, tokens []string, now time.Time) *Request {
	return &Request{Spec: spec, tokens: tokens, changed: make(chan struct{}), done: make(chan struct{}), unreadSince: now}
}

// Done is closed when the request has ended.
func (r *Request) Done() <-chan struct{} {
	return r.done
}

// CopyFrom sets the owner whose answer the request copies. A nil owner means that
// the request runs on this entry VM.
func (r *Request) CopyFrom(owner *Owner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.copiedFrom = owner
}

// CopiedFrom returns the entry VM whose answer the request copies, nil if the request
// runs on this entry VM.
func (r *Request) CopiedFrom() *Owner {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.copiedFrom
}

// MarkHandedOver records that another entry VM also holds the finished answer.
func (r *Request) MarkHandedOver() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handedOver = true
}

// HandedOver reports whether another entry VM also holds the finished answer.
func (r *Request) HandedOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.handedOver
}

// SetVersion sets the version that answers the request. It must be called before the
// first token or the end becomes visible to readers.
func (r *Request) SetVersion(version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answeringVersion = version
}

// AppendMissing appends the tokens of full that the answer does not have yet. full
// must begin with the answer so far.
func (r *Request) AppendMissing(full []string) {
	have, _ := r.Snapshot()
	if len(full) > len(have) {
		r.Append(len(have), full[len(have):])
	}
}

// Append appends tokens at offset and reports whether it did. It does nothing if
// offset is not the answer's length or the request has ended.
func (r *Request) Append(offset int, tokens []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != nil || offset != len(r.tokens) {
		return false
	}
	r.tokens = append(r.tokens, tokens...)
	r.grow(tokens)
	r.notifyReaders()
	return true
}

// SwitchVersion sets the version that answers the request and reports whether it did.
// It does nothing if the answer already has tokens or the request has ended.
func (r *Request) SwitchVersion(version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.tokens) > 0 || r.end != nil {
		return false
	}
	r.answeringVersion = version
	return true
}

// AnsweringVersion returns the version that answers the request.
func (r *Request) AnsweringVersion() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answeringVersion != "" {
		return r.answeringVersion
	}
	return r.Version
}

// Finish ends the request. Calls after the first have no effect.
func (r *Request) Finish(end End, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != nil {
		return
	}
	r.end = &end
	r.endedAt = now
	close(r.done)
	r.notifyReaders()
}

// EndedAt returns the time at which the request ended, zero while it is open.
func (r *Request) EndedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endedAt
}

// notifyReaders wakes the callers that wait in Next. The caller holds r.mu.
func (r *Request) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Snapshot returns the answer so far, and the end, which is nil while the request
// is open.
func (r *Request) Snapshot() (tokens []string, end *End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokens[:len(r.tokens):len(r.tokens)], r.end
}

// Next waits until the answer has tokens at or after offset, or the request has
// ended. It returns these tokens and the end, which is nil while the request is
// open.
func (r *Request) Next(ctx context.Context, offset int) (tokens []string, end *End, err error) {
	for {
		r.mu.Lock()
		all, end, changed := r.tokens, r.end, r.changed
		r.mu.Unlock()
		if offset < len(all) || end != nil {
			return all[min(offset, len(all)):len(all):len(all)], end, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// AddReader adds a caller that reads the answer.
func (r *Request) AddReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
}

// RemoveReader removes a caller that has stopped reading.
func (r *Request) RemoveReader(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	r.unreadSince = now
}

// UnreadSince returns the time at which the request was created or its last reader
// was removed, and whether it has no reader now.
func (r *Request) UnreadSince() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unreadSince, r.readers == 0
}

// ErrConflict is returned if the key belongs to a different request.
var ErrConflict = errors.New("key belongs to a different request")

// ErrFull is returned if the table holds its maximum number of open requests.
var ErrFull = errors.New("too many open requests")

// Table holds requests by id.
type Table struct {
	maxOpen   int
	maxBytes  int64
	retention time.Duration
	// held is the memory of the requests in the table. It is atomic, as answers grow without
	// the table's lock.
	held atomic.Int64

	// mu is the first lock in the order: table, request, fleet.
	mu        sync.Mutex
	byID      map[ID]*Request
	openCount int
}

// NewTable returns a table that holds at most maxOpen open requests, and retains
// finished ones for the given duration, or for less if the prompts and answers of all
// exceed maxBytes. maxBytes bounds new requests, too.
func NewTable(maxOpen int, maxBytes int64, retention time.Duration) *Table {
	return &Table{maxOpen: maxOpen, maxBytes: maxBytes, retention: retention, byID: map[ID]*Request{}}
}

const (
	// promptFactor times its length is the memory of a prompt, of which the run holds parts.
	promptFactor = 2
	// tokenOverheadBytes is the memory of a token beyond its text.
	tokenOverheadBytes = 32
)

func tokensMemory(tokens []string) int64 {
	size := int64(0)
	for _, token := range tokens {
		size += int64(len(token)) + tokenOverheadBytes
	}
	return size
}

// add adds a request. mu must be held.
func (t *Table) add(r *Request) {
	if previous, ok := t.byID[r.ID]; ok {
		t.drop(previous)
	}
	r.mu.Lock()
	r.tableHeld, r.held = &t.held, int64(promptFactor*len(r.Prompt))+tokensMemory(r.tokens)
	t.held.Add(r.held)
	r.mu.Unlock()
	t.byID[r.ID] = r
}

// drop removes a request. mu must be held.
func (t *Table) drop(r *Request) {
	delete(t.byID, r.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tableHeld != nil {
		t.held.Add(-r.held)
		r.tableHeld = nil
	}
}

// hasRoom reports whether there is memory for a prompt, or else no other request. It removes
// finished requests, those that ended first, as far as that is needed. mu must be held.
func (t *Table) hasRoom(prompt string) bool {
	size := int64(promptFactor * len(prompt))
	if t.held.Load()+size > t.maxBytes {
		t.dropFinished(size)
	}
	return t.held.Load()+size <= t.maxBytes || t.openCount == 0
}

// dropFinished removes finished requests until there is room for size bytes.
func (t *Table) dropFinished(size int64) {
	type finished struct {
		request *Request
		endedAt time.Time
	}
	var all []finished
	for _, r := range t.byID {
		r.mu.Lock()
		if r.end != nil {
			all = append(all, finished{r, r.endedAt})
		}
		r.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b finished) int { return a.endedAt.Compare(b.endedAt) })
	for _, f := range all {
		if t.held.Load()+size <= t.maxBytes {
			return
		}
		t.drop(f.request)
	}
}

// Open returns the request with the spec's id, which it creates with the given
// tokens if there is none, and reports whether it created it. It returns
// ErrConflict if the existing request has another fingerprint, and ErrFull if a new
// one would exceed the limit.
func (t *Table) Open(spec Spec, tokens []string, now time.Time) (*Request, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.byID[spec.ID]; ok {
		if r.Fingerprint != spec.Fingerprint {
			return nil, false, ErrConflict
		}
		return r, false, nil
	}
	if t.openCount >= t.maxOpen || !t.hasRoom(spec.Prompt) {
		return nil, false, ErrFull
	}
	r := newRequest(spec, tokens, now)
	t.add(r)
	t.openCount++
	return r, true, nil
}

// Reopen replaces a request that has ended with a new one, which begins with the
// tokens that callers may already have received. It returns nil if the table no
// longer holds the ended request, for example because another call has replaced it.
func (t *Table) Reopen(ended *Request, spec Spec, now time.Time) (*Request, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID[spec.ID] != ended {
		return nil, nil
	}
	if t.openCount >= t.maxOpen {
		return nil, ErrFull
	}
	tokens, _ := ended.Snapshot()
	r := newRequest(spec, tokens, now)
	t.add(r)
	t.openCount++
	return r, nil
}

// AddFinished adds a request that has ended on another entry VM, for callers'
// retries, unless the table already holds one with the same id. It returns the
// request that the table holds for the id.
func (t *Table) AddFinished(spec Spec, tokens []string, end End, now time.Time) *Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.byID[spec.ID]; ok {
		return r
	}
	r := newRequest(spec, tokens, now)
	r.Finish(end, now)
	t.add(r)
	return r
}

// Find returns the request with the given id.
func (t *Table) Find(id ID) (*Request, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[id]
	return r, ok
}

// MarkClosed decrements the number of open requests. It must be called once for
// each request created by Open or Reopen, when the request has ended.
func (t *Table) MarkClosed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openCount--
}

// Remove removes a request, so that its key can be reused.
func (t *Table) Remove(r *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID[r.ID] == r {
		t.drop(r)
	}
}

// All returns all requests, both open and finished.
func (t *Table) All() []*Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*Request, 0, len(t.byID))
	for _, r := range t.byID {
		out = append(out, r)
	}
	return out
}

// UnreadRequests returns the open requests that have had no reader for longer than
// timeout.
func (t *Table) UnreadRequests(now time.Time, timeout time.Duration) []*Request {
	var out []*Request
	for _, r := range t.OpenRequests() {
		if since, unread := r.UnreadSince(); unread && now.Sub(since) > timeout {
			out = append(out, r)
		}
	}
	return out
}

// OpenCount returns the number of open requests.
func (t *Table) OpenCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.openCount
}

// OpenRequests returns the requests that have not ended.
func (t *Table) OpenRequests() []*Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*Request
	for _, r := range t.byID {
		if _, end := r.Snapshot(); end == nil {
			out = append(out, r)
		}
	}
	return out
}

// Sweep removes the requests that ended more than the retention time before now.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.byID {
		r.mu.Lock()
		old := r.end != nil && now.Sub(r.endedAt) > t.retention
		r.mu.Unlock()
		if old {
			t.drop(r)
		}
	}
	if t.held.Load() > t.maxBytes {
		t.dropFinished(0)
	}
}
