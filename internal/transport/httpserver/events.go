package httpserver

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"
)

// EventStream writes server-sent events, each sent at once.
type EventStream struct {
	*Stream
	// headErr is the error of sending the head.
	headErr error
}

// NewEventStream sends the headers of an event stream on w.
func NewEventStream(w http.ResponseWriter, r *http.Request) *EventStream {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	stream, err := StartStream(w, r, http.StatusOK)
	return &EventStream{Stream: stream, headErr: err}
}

// Send writes value as one event of the given type.
func (s *EventStream) Send(event string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	msg := sse.Message{Type: sse.Type(event)}
	msg.AppendData(string(data))
	return s.send(&msg)
}

// KeepAlive writes a comment, which readers skip. It allows them to distinguish a
// stream without new events from a server that hangs.
func (s *EventStream) KeepAlive() error {
	var msg sse.Message
	msg.AppendComment("keep-alive")
	return s.send(&msg)
}

func (s *EventStream) send(msg *sse.Message) error {
	if s.headErr != nil {
		return s.headErr
	}
	var buffer bytes.Buffer
	if _, err := msg.WriteTo(&buffer); err != nil {
		return errors.Wrap(err, "encode event")
	}
	_, err := s.Write(buffer.Bytes())
	return errors.Wrap(err, "write event")
}
