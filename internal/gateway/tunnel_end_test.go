package gateway

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"coltsfootpath.example/coltsfootpath/internal/protocol/relayapi"
)

// brokenStream is a stream to a peer on which the first message can be sent only. The peer's reply
// has arrived, and nothing else until some time after the stream is cancelled.
type brokenStream struct {
	drpc.Stream
	ctx        context.Context
	messages   int
	hasReplied bool
}

func (s *brokenStream) Context() context.Context { return s.ctx }

func (s *brokenStream) CloseSend() error { return nil }

func (s *brokenStream) MsgSend(drpc.Message, drpc.Encoding) error {
	if s.messages++; s.messages > 1 {
		return errors.New("connection to the peer is broken")
	}
	return nil
}

func (s *brokenStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	if !s.hasReplied {
		s.hasReplied = true
		return enc.Unmarshal([]byte("\x01{}"), msg)
	}
	<-s.ctx.Done()
	time.Sleep(50 * time.Millisecond)
	return s.ctx.Err()
}

// brokenPeer is a connection that opens brokenStreams.
type brokenPeer struct{ drpc.Conn }

func (brokenPeer) NewStream(ctx context.Context, _ string, _ drpc.Encoding) (drpc.Stream, error) {
	return &brokenStream{ctx: ctx}, nil
}

// TestBrokenTunnelLooksClosedInOrder: a tunnel on which nothing can be sent any more has not ended
// as its server's connection.
func TestBrokenTunnelLooksClosedInOrder(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	tunnel, _, err := relayapi.OpenTunnel(ctx, brokenPeer{}, &relayapi.TunnelRequest{})
	if err != nil {
		t.Fatal(err)
	}
	local, remote := net.Pipe()
	c := &tunnelConn{Conn: local}
	go (&tunnels{}).send(tunnel, remote, cancel)
	go c.receive(tunnel, remote)
	if _, err := c.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err == io.EOF || !errors.Is(err, errTunnelLost) {
		t.Errorf("error %v, want %v", err, errTunnelLost)
	}
}
