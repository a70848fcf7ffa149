package httpclient

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

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

// callsTo returns calls of each kind to address.
func callsTo(address string) map[string]func(ctx context.Context) error {
	client := New()
	return map[string]func(ctx context.Context) error{
		"generate": func(ctx context.Context) error {
			return NewEngine(client).Generate(ctx, address, ports.GenerateRequest{}, func(ports.Frame) error { return nil })
		},
		"load":  func(ctx context.Context) error { _, err := NewEngine(client).Load(ctx, address); return err },
		"order": func(ctx context.Context) error { return NewEngine(client).Order(ctx, address, ports.Order{}) },
		"call": func(ctx context.Context) error {
			_, err := NewPlainService(client).Call(ctx, address, ports.CallRequest{})
			return err
		},
		"append": func(ctx context.Context) error {
			_, err := NewLog(client, address).Append(ctx, "calls", [][]byte{{1}})
			return err
		},
		"start VM": func(ctx context.Context) error {
			_, err := NewCloud(client, address).StartVM(ctx, ports.StartOrder{})
			return err
		},
		"stop VM": func(ctx context.Context) error { return NewCloud(client, address).StopVM(ctx, "vm", 1) },
	}
}

// checkInterrupted makes a call of each kind to a server that gives an answer which is broken, and
// checks that the call may have been carried out.
func checkInterrupted(t *testing.T, name, answer string) {
	t.Helper()
	address, stop, err := loopback.Serve(answer)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for call, run := range callsTo(address) {
		if err := run(ctx); !errors.Is(err, ports.ErrInterrupted) || errors.IsAny(err, ports.ErrRejected, ports.ErrOverloaded, ports.ErrOutdatedFencingToken, ports.ErrNotSent) {
			t.Errorf("%s, %s: error %v, want ErrInterrupted alone", name, call, err)
		}
	}
}

// TestCutRejectionIsBelieved: a failure answer that breaks off does not state that the call was
// rejected.
func TestCutRejectionIsBelieved(t *testing.T) {
	for _, status := range []int{400, 404, 412, 429, 500, 503} {
		for _, rest := range []string{"Content-Length: 8\r\n\r\nfail", "Transfer-Encoding: chunked\r\n\r\n4\r\nfail\r\n", "Transfer-Encoding: chunked\r\n\r\n4\r\nfail\r\n0\r\nX\x01: v\r\n\r\n"} {
			checkInterrupted(t, fmt.Sprintf("status %d, %q", status, rest), fmt.Sprintf("HTTP/1.1 %d Status\r\n%s", status, rest))
		}
	}
}
