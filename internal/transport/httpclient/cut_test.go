package httpclient

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/loopback"
	"coltsfootpath.example/coltsfootpath/internal/protocol/engineapi"
)

// serveCut serves an answer without framing that is cut after cutAt bytes of its body.
func serveCut(t *testing.T, body string, cutAt int) string {
	t.Helper()
	address, stop, err := loopback.Serve("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body[:cutAt])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return address
}

// TestCutAnswerIsTakenAsWhole cuts the answers of engines and services at every byte,
// in the framing that shows no cut.
func TestCutAnswerIsTakenAsWhole(t *testing.T) {
	frame := func(f ports.Frame) string {
		data, err := json.Marshal(f)
		if err != nil {
			t.Fatal(err)
		}
		return fmt.Sprintf("event: %s\ndata: %s\n\n", engineapi.FrameEvent, data)
	}
	stream := frame(ports.Frame{Attempt: "a", Tokens: []string{"x"}}) + frame(ports.Frame{Attempt: "a", Offset: 1, Tokens: []string{"y"}, Done: true, Total: 2})
	result := `{"Body":{"balance":120}}`
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for cutAt := range stream {
		tokens := 0
		err := NewEngine(New()).Generate(ctx, serveCut(t, stream, cutAt), ports.GenerateRequest{}, func(f ports.Frame) error {
			tokens += len(f.Tokens)
			return nil
		})
		if err == nil && tokens != 2 {
			t.Errorf("stream cut at %d of %d bytes: complete with %d tokens", cutAt, len(stream), tokens)
		}
	}
	for cutAt := range result {
		if got, err := NewPlainService(New()).Call(ctx, serveCut(t, result, cutAt), ports.CallRequest{}); err == nil {
			t.Errorf("result cut at %d of %d bytes: %s", cutAt, len(result), got.Body)
		}
	}
}
