package relayapi

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
)

// TunnelRequest is the first message of a tunnel, from the VM that opens it. The peer opens a
// connection to the server and replies with a TunnelReply. After that both sides send bytes,
// and the peer states how the server's connection ended.
type TunnelRequest struct {
	// Server is the ID of a backend server, and StartedAtMillis the Unix time at which its
	// process started.
	Server          string `json:"server"`
	StartedAtMillis int64  `json:"started_at_ms"`
}

// Rejection is the reason for which a peer opens no connection, empty if it has.
type Rejection string

// Values of Rejection.
const (
	// RejectedBusy means that the peer takes no further tunnels, or shuts down.
	RejectedBusy Rejection = "busy"
	// RejectedUnknown means that the peer does not know the server's process.
	RejectedUnknown Rejection = "unknown"
	// RejectedCut means that the peer's own links to the service's servers are cut.
	RejectedCut Rejection = "cut"
	// RejectedAnnounced means that the server has told the peer that it wants no requests.
	RejectedAnnounced Rejection = "announced"
	// RejectedRefused means that nothing listens at the server's address.
	RejectedRefused Rejection = "refused"
	// RejectedUnreachable means that the peer could not connect to the server for another
	// reason.
	RejectedUnreachable Rejection = "unreachable"
)

// TunnelReply is the peer's reply to a TunnelRequest.
type TunnelReply struct {
	Rejection Rejection `json:"rejection,omitempty"`
}

// ConnectionEnd states how the connection to a server ended.
type ConnectionEnd string

// Values of ConnectionEnd.
const (
	// EndClosed means that the server has closed it in an orderly way.
	EndClosed ConnectionEnd = "closed"
	// EndReset means that it was reset.
	EndReset ConnectionEnd = "reset"
	// EndUnlinked means that it was reset before any answer, and that the peer's link to the
	// server may be cut.
	EndUnlinked ConnectionEnd = "unlinked"
	// EndFailed means any other error.
	EndFailed ConnectionEnd = "failed"
)

// frameKind is the first byte of a message in a tunnel.
type frameKind byte

const (
	frameRequest frameKind = iota
	frameReply
	frameBytes
	frameEnd
)

// maxTunnelChunk bounds the bytes of one message.
const maxTunnelChunk = 16 << 10

type frame struct {
	kind frameKind
	data []byte
}

// frameEncoding encodes the messages of a tunnel: a byte for the kind, then the data.
type frameEncoding struct{}

func (frameEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	f := msg.(*frame)
	return append([]byte{byte(f.kind)}, f.data...), nil
}

func (frameEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	if len(buf) == 0 {
		return errors.New("empty message in a tunnel")
	}
	f := msg.(*frame)
	f.kind, f.data = frameKind(buf[0]), append([]byte(nil), buf[1:]...)
	return nil
}

// Tunnel is one end of a tunnel.
type Tunnel struct{ stream drpc.Stream }

// ServeTunnel returns the peer's end of a tunnel, and what it was asked for.
func ServeTunnel(stream drpc.Stream) (*Tunnel, *TunnelRequest, error) {
	t, in := &Tunnel{stream}, &TunnelRequest{}
	if err := t.receiveJSON(frameRequest, in); err != nil {
		return nil, nil, errors.Wrap(err, "receive request for a tunnel")
	}
	return t, in, nil
}

// OpenTunnel asks the peer at the other end of conn for a tunnel, which ends with ctx.
func OpenTunnel(ctx context.Context, conn drpc.Conn, in *TunnelRequest) (*Tunnel, *TunnelReply, error) {
	stream, err := conn.NewStream(ctx, TunnelMethod, frameEncoding{})
	if err != nil {
		return nil, nil, errors.Wrap(err, "open tunnel")
	}
	t, out := &Tunnel{stream}, &TunnelReply{}
	if err := t.sendJSON(frameRequest, in); err != nil {
		return nil, nil, errors.Wrap(err, "request tunnel")
	}
	if err := t.receiveJSON(frameReply, out); err != nil {
		return nil, nil, errors.Wrap(err, "receive reply to the request for a tunnel")
	}
	return t, out, nil
}

// Reply sends the peer's reply.
func (t *Tunnel) Reply(out TunnelReply) error { return t.sendJSON(frameReply, out) }

// Write sends bytes.
func (t *Tunnel) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		chunk := p[sent:min(sent+maxTunnelChunk, len(p))]
		if err := t.stream.MsgSend(&frame{frameBytes, chunk}, frameEncoding{}); err != nil {
			return sent, errors.Wrap(err, "send in a tunnel")
		}
		sent += len(chunk)
	}
	return sent, nil
}

// SendEnd states how the connection to the server ended.
func (t *Tunnel) SendEnd(end ConnectionEnd) error {
	return errors.Wrap(t.stream.MsgSend(&frame{frameEnd, []byte(end)}, frameEncoding{}), "end tunnel")
}

// Receive returns the next bytes, or how the connection to the server has ended.
func (t *Tunnel) Receive() (data []byte, end ConnectionEnd, err error) {
	f := &frame{}
	if err := t.stream.MsgRecv(f, frameEncoding{}); err != nil {
		return nil, "", errors.Wrap(err, "receive in a tunnel")
	}
	switch f.kind {
	case frameBytes:
		return f.data, "", nil
	case frameEnd:
		return nil, ConnectionEnd(f.data), nil
	}
	return nil, "", errors.Newf("unexpected message of kind %d in a tunnel", f.kind)
}

// CloseSend tells the other end that nothing more will be sent.
func (t *Tunnel) CloseSend() error { return errors.Wrap(t.stream.CloseSend(), "close tunnel") }

// Ended returns a channel that is closed once the tunnel has ended.
func (t *Tunnel) Ended() <-chan struct{} { return t.stream.Context().Done() }

func (t *Tunnel) sendJSON(kind frameKind, message any) error {
	data, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	return errors.Wrap(t.stream.MsgSend(&frame{kind, data}, frameEncoding{}), "send")
}

func (t *Tunnel) receiveJSON(kind frameKind, message any) error {
	f := &frame{}
	if err := t.stream.MsgRecv(f, frameEncoding{}); err != nil {
		return errors.Wrap(err, "receive")
	}
	if f.kind != kind {
		return errors.Newf("message of kind %d, want %d", f.kind, kind)
	}
	return errors.Wrap(json.Unmarshal(f.data, message), "decode message")
}
