package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/protocol/peerapi"
	"coltsfootpath.example/coltsfootpath/internal/standin/cloud"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
)

// FuzzDecodeGenerate checks that accepted values are within their limits, and
// that rejections state "not run".
func FuzzDecodeGenerate(f *testing.F) {
	for _, text := range []string{`{"prompt":"a","max_tokens":1}`, `{"prompt":" ","max_tokens":1}`, `{"prompt":"a","max_tokens":-1}`,
		`{"prompt":"a","max_tokens":1,"deadline_ms":9223372036854775807,"from_offset":9223372036854775807}`, `{"prompt":1}`, `null`, `[`, "\xff"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		in, rejection := decodeGenerate(body)
		if rejection != nil {
			if rejection.Run != callerapi.NotRun || rejection.Code.Status() >= http.StatusInternalServerError {
				t.Fatalf("%+v", rejection)
			}
			return
		}
		deadline := time.Duration(in.DeadlineMillis) * time.Millisecond
		if in.MaxTokens < 1 || in.MaxTokens > maxTokensLimit || in.FromOffset < 0 || deadline < 0 || strings.TrimSpace(in.Prompt) == "" {
			t.Fatalf("accepted %+v", in)
		}
	})
}

// FuzzKeyIssuedAt checks that an accepted time is unchanged after formatting
// and parsing it again.
func FuzzKeyIssuedAt(f *testing.F) {
	for _, text := range []string{"2026-01-01T00:00:00Z", "2026-01-01T00:00:00.123456789+09:00", "", " ", "0001-01-01T00:00:00Z", "yesterday", "9999-12-31T23:59:59Z"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		at, rejection := keyIssuedAt(&http.Request{Header: http.Header{callerapi.KeyIssuedAtHeader: {text}}})
		if rejection != nil || at.IsZero() {
			return
		}
		again := http.Header{callerapi.KeyIssuedAtHeader: {at.Format(time.RFC3339Nano)}}
		back, rejection := keyIssuedAt(&http.Request{Header: again})
		if rejection != nil || !back.Equal(at) {
			t.Fatalf("%q: parsed as %v, parsed again as %v, error %v", text, at, back, rejection)
		}
	})
}

// FuzzPeerHandlers passes arbitrary messages to the handlers of the peer
// protocol.
func FuzzPeerHandlers(f *testing.F) {
	member := &peerapi.Member{Vm: "entry-2", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", Incarnation: 1}
	for _, in := range []proto.Message{
		&peerapi.ProbeRequest{}, &peerapi.ProbeRequest{From: member},
		&peerapi.ProbeRequest{From: &peerapi.Member{Vm: "entry-1", Incarnation: 1 << 63, State: 1 << 31}},
	} {
		data, err := proto.Marshal(in)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	var settings Settings
	settings.Schema()
	settings.VM, settings.AvailabilityZone = "entry-1", "zone-a"
	settings.Listen, settings.PeerListen, settings.MetricsListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	n, err := Start(settings, Dependencies{Log: logservice.New(logservice.Config{}), Cloud: cloud.New(cloud.Config{}), Clock: ports.SystemClock{}})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(n.Close)
	p := &peerServer{node: n}
	f.Fuzz(func(t *testing.T, data []byte) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		var probe peerapi.ProbeRequest
		if proto.Unmarshal(data, &probe) == nil {
			if reply, err := p.Probe(ctx, &probe); err == nil && reply.GetFrom().GetVm() != "entry-1" {
				t.Fatalf("reply is from %+v, want entry-1", reply.GetFrom())
			}
		}
		var via peerapi.ProbeViaRequest
		if proto.Unmarshal(data, &via) == nil {
			_, _ = p.ProbeVia(ctx, &via)
		}
		if _, err := p.ControlState(ctx, &peerapi.ControlStateRequest{}); err != nil {
			t.Fatal(err)
		}
		if _, err := p.Burn(ctx, &peerapi.BurnRequest{}); err != nil {
			t.Fatal(err)
		}
	})
}
