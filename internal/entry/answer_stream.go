package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/requests"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
)

// answerStream sends a request's answer to one caller.
type answerStream struct {
	node   *Node
	w      http.ResponseWriter
	r      *http.Request
	target target
	req    *requests.Request
	// offset is the number of tokens that the caller already has.
	offset int
	// events is nil until the first event is sent.
	events *httpserver.EventStream
}

// run sends the answer from s.offset until it is complete, has failed or has
// moved, or until the caller disconnects. The event stream is opened with the
// first token or keep-alive; an earlier error is sent as a plain response with
// its own HTTP status.
func (s *answerStream) run(ctx context.Context) {
	defer s.close()
	for {
		tokens, end, err := nextOrTimeout(ctx, s.req, s.offset)
		switch {
		case err != nil:
		case len(tokens) > 0:
			err = s.sendTokens(tokens)
		case end == nil:
			err = s.open().KeepAlive()
		default:
			s.finish(end)
			return
		}
		if err != nil {
			return
		}
	}
}

func (s *answerStream) open() *httpserver.EventStream {
	if s.events == nil {
		s.events = httpserver.NewEventStream(s.w, s.r)
	}
	return s.events
}

// close ends the event stream if it was opened. The final event states whether the
// answer is complete.
func (s *answerStream) close() {
	if s.events != nil {
		s.events.End(streamCloseTimeout)
	}
}

// streamCloseTimeout bounds the wait until a slow caller has received the final event.
const streamCloseTimeout = 2 * time.Second

func (s *answerStream) sendTokens(tokens []string) error {
	frame := callerapi.TokensFrame{Offset: s.offset, Tokens: tokens}
	s.offset += len(tokens)
	return s.open().Send(callerapi.TokensEvent, frame)
}

// finish sends the final event: the error, the new location of a moved request,
// or the end of the answer.
func (s *answerStream) finish(end *requests.End) {
	all, _ := s.req.Snapshot()
	switch {
	case end.Failure != nil:
		s.fail(decodeFailure(end.Failure))
	case end.MovedTo != nil:
		s.node.countRequest(s.target, movedCode)
		_ = s.open().Send(callerapi.MovedEvent, s.node.movedFrame(*end.MovedTo, s.offset))
	case s.offset > len(all):
		s.fail(newError(callerapi.OffsetBeyondAnswer, callerapi.HasRun, "the offset is beyond the answer of %d tokens", len(all)))
	default:
		s.node.countRequest(s.target, servedCode)
		_ = s.open().Send(callerapi.EndEvent, callerapi.EndFrame{
			Tokens:     len(all),
			Digest:     digestOf(all),
			Recomputed: end.Recomputed,
			Version:    s.req.AnsweringVersion(),
		})
	}
}

// fail sends an error, within the event stream if that is already open.
func (s *answerStream) fail(e *callerapi.Error) {
	e = hideNotRunFromRetry(s.r, e)
	if s.events == nil {
		s.node.writeError(s.w, s.target, e)
		return
	}
	s.node.countRequest(s.target, e.Code)
	_ = s.events.Send(callerapi.ErrorEvent, e)
}

// digestOf returns the xxHash digest of a complete answer, in hexadecimal.
func digestOf(tokens []string) string {
	digest := xxhash.New()
	for _, token := range tokens {
		_, _ = digest.WriteString(token)
		_, _ = digest.Write([]byte{0})
	}
	return strconv.FormatUint(digest.Sum64(), 16)
}

const movedCode = "moved"

// movedFrame returns the frame that redirects a caller to the new owner of its
// request. The addresses of other entry VMs follow as alternatives.
func (n *Node) movedFrame(to requests.Owner, offset int) callerapi.MovedFrame {
	frame := callerapi.MovedFrame{Offset: offset}
	frame.Addresses = append(frame.Addresses, callerapi.Address{Address: to.CallerAddress, AvailabilityZone: to.AvailabilityZone})
	for _, a := range n.addresses(to.AvailabilityZone) {
		if a.Address != to.CallerAddress {
			frame.Addresses = append(frame.Addresses, a)
		}
	}
	return frame
}

func decodeFailure(data []byte) *callerapi.Error {
	var e callerapi.Error
	if err := json.Unmarshal(data, &e); err != nil {
		return newError(callerapi.Internal, callerapi.RunUnknown, "the stored failure can't be decoded")
	}
	return &e
}
