package httpclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
)

// staticTransport is a transport that returns the same answer to every request.
type staticTransport struct {
	status int
	body   []byte
}

// RoundTrip returns the answer.
func (a staticTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: a.status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(a.body)), Request: r}, nil
}

func clientWithAnswer(status int, body []byte) *Client {
	return &Client{http: &http.Client{Transport: staticTransport{status: status, body: body}}}
}

var statuses = []int{http.StatusOK, http.StatusBadRequest, http.StatusTooManyRequests, http.StatusBadGateway, http.StatusPreconditionFailed}

// FuzzLogAnswers checks that no answer of the log makes offsets decrease or
// skip.
func FuzzLogAnswers(f *testing.F) {
	for _, text := range []string{`{"records":[{"offset":5,"data":"YQ=="}],"earliest":1,"next":6}`, `{"trimmed":true,"earliest":9}`,
		`{"records":[{"offset":1,"data":"YQ=="},{"offset":9,"data":"YQ=="}],"next":3}`, `{"first":7}`, `{"records":[null]}`, `{}`, `null`, `x`} {
		f.Add(uint8(0), []byte(text))
		f.Add(uint8(2), []byte(text))
	}
	f.Fuzz(func(t *testing.T, status uint8, body []byte) {
		log := NewLog(clientWithAnswer(statuses[int(status)%len(statuses)], body), "127.0.0.1:1")
		const from = 5
		batch, err := log.Read(context.Background(), "calls", from, 0)
		if err == nil {
			checkBatch(t, batch, from)
		}
		_, _ = log.Append(context.Background(), "calls", [][]byte{{1}})
	})
}

// checkBatch checks that a batch read at from has contiguous offsets.
func checkBatch(t *testing.T, batch ports.LogBatch, from uint64) {
	t.Helper()
	next := uint64(from)
	for _, r := range batch.Records {
		if r.Offset != next {
			t.Fatalf("offset %d follows %d", r.Offset, next-1)
		}
		next++
	}
	if batch.Next != next {
		t.Fatalf("next is %d after %d", batch.Next, next-1)
	}
}

// FuzzEngineFrames checks that Generate succeeds only if it received the last
// frame.
func FuzzEngineFrames(f *testing.F) {
	for _, text := range []string{
		"event: frame\ndata: {\"attempt\":\"a\",\"offset\":0,\"tokens\":[\"x\"]}\n\nevent: frame\ndata: {\"attempt\":\"a\",\"offset\":1,\"done\":true,\"total\":1}\n\n",
		"event: frame\ndata: {\"attempt\":\"a\",\"tokens\":[\"x\"]}\n\n", "data: {\n\n", "data: null\n\n", ": comment\n\n", "", "data: {\"offset\":-5,\"done\":true}\n\n",
	} {
		f.Add(uint8(0), []byte(text))
	}
	f.Add(uint8(3), []byte("bad gateway"))
	f.Fuzz(func(t *testing.T, status uint8, body []byte) {
		engine := NewEngine(clientWithAnswer(statuses[int(status)%len(statuses)], body))
		done := false
		err := engine.Generate(context.Background(), "127.0.0.1:1", ports.GenerateRequest{}, func(frame ports.Frame) error {
			if done {
				t.Fatal("received a frame after the last one")
			}
			if frame.Offset < 0 || frame.Total < 0 || frame.Prefilled < 0 {
				t.Fatalf("negative numbers: %+v", frame)
			}
			done = frame.Done
			return nil
		})
		if (err == nil) != done {
			t.Fatalf("done=%v err=%v", done, err)
		}
		_, _ = engine.Load(context.Background(), "127.0.0.1:1")
		_, _ = engine.CacheEvents(context.Background(), "127.0.0.1:1", 0)
	})
}

// FuzzServiceAnswers checks that a call which may have run is never reported as
// not run.
func FuzzServiceAnswers(f *testing.F) {
	for _, text := range []string{`{"body":{"receipt":1}}`, `{"body":null}`, `{}`, `{`, ``, `[]`} {
		for status := range statuses {
			f.Add(uint8(status), []byte(text))
		}
	}
	f.Fuzz(func(t *testing.T, status uint8, body []byte) {
		code := statuses[int(status)%len(statuses)]
		result, err := NewPlainService(clientWithAnswer(code, body)).Call(context.Background(), "127.0.0.1:1", ports.CallRequest{})
		notRun := errors.IsAny(err, ports.ErrNotSent, ports.ErrRejected, ports.ErrOverloaded)
		if mayHaveRun := code == http.StatusOK || code == http.StatusBadGateway; mayHaveRun && notRun {
			t.Fatalf("status %d: %v", code, err)
		}
		if err == nil && len(result.Body) == 0 {
			t.Fatalf("%q has no body", body)
		}
	})
}
