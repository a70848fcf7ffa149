package httpserver

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"
)

// EventStream writes server-sent events, each flushed as it is sent.
type EventStream struct {
	w       http.ResponseWriter
	flusher http.Flusher
}

// NewEventStream sends the headers of an event stream on w.
func NewEventStream(w http.ResponseWriter) *EventStream {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	flusher, _ := w.(http.Flusher)
	return &EventStream{w: w, flusher: flusher}
}

// Send writes value as one event of the given type.
func (s *EventStream) Send(event string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	msg := sse.Message{Type: sse.Type(event)}
	msg.AppendData(string(data))
	if _, err := msg.WriteTo(s.w); err != nil {
		return errors.Wrap(err, "write event")
	}
	if s.flusher != nil {
		s.flusher.Flush()
	}
	return nil
}

// KeepAlive writes a comment, which readers skip. It allows them to distinguish a
// stream without new events from a server that hangs.
func (s *EventStream) KeepAlive() error {
	var msg sse.Message
	msg.AppendComment("keep-alive")
	if _, err := msg.WriteTo(s.w); err != nil {
		return errors.Wrap(err, "write comment")
	}
	if s.flusher != nil {
		s.flusher.Flush()
	}
	return nil
}
