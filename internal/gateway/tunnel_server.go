package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"coltsfootpath.example/coltsfootpath/internal/protocol/relayapi"
	"coltsfootpath.example/coltsfootpath/internal/transport/http1"
	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
	"coltsfootpath.example/coltsfootpath/platform"
)

const (
	// tunnelMemoryShare of the VM's memory may be used by tunnels of peers.
	tunnelMemoryShare = 0.125
	// tunnelBytes is the memory that one tunnel takes at most, with the buffers of its two
	// connections.
	tunnelBytes = 64 << 10
	// tunnelBufferBytes is the size of the buffer for what a server sends.
	tunnelBufferBytes = 16 << 10
	// maxObservedHead bounds the head of an answer that is read for the server's statements.
	maxObservedHead = 16 << 10
)

// maxTunnels returns the number of tunnels that this node serves at the same time.
func (t *tunnels) maxTunnels() int64 {
	return int64(tunnelMemoryShare * t.node.settings.MemoryMB * megabyte / tunnelBytes)
}

// Tunnel serves a tunnel of a peer.
func (n *Node) Tunnel(stream drpc.Stream) error {
	tunnel, in, err := relayapi.ServeTunnel(stream)
	if err != nil {
		return err
	}
	n.openRequests.Add(1)
	defer n.openRequests.Add(-1)
	n.metrics.servedTunnels.Set(float64(n.tunnels.served.Add(1)))
	defer func() { n.metrics.servedTunnels.Set(float64(n.tunnels.served.Add(-1))) }()
	server, connection, rejection := n.tunnels.accept(stream.Context(), in)
	if rejection != "" {
		return tunnel.Reply(relayapi.TunnelReply{Rejection: rejection})
	}
	defer connection.Close()
	startedAt := n.now()
	if err := tunnel.Reply(relayapi.TunnelReply{}); err != nil {
		return err
	}
	go func() {
		defer connection.Close()
		for canWrite := true; ; {
			data, _, err := tunnel.Receive()
			if err != nil {
				return
			}
			if canWrite {
				// The reader learns how the connection ended, after what the server had sent.
				_, err = connection.Write(data)
				canWrite = err == nil
			}
		}
	}()
	return n.tunnels.forward(tunnel, server, connection, startedAt)
}

// accept decides whether this node takes a tunnel, and connects to its server.
func (t *tunnels) accept(ctx context.Context, in *relayapi.TunnelRequest) (*backend, net.Conn, relayapi.Rejection) {
	n, now := t.node, t.node.now()
	server := n.backends.byProcess(in.Server, in.StartedAtMillis)
	switch {
	case n.closing.Load() || t.served.Load() > t.maxTunnels():
		return nil, nil, relayapi.RejectedBusy
	case server == nil:
		return nil, nil, relayapi.RejectedUnknown
	case !n.backends.wantsRequests(server, now):
		return nil, nil, relayapi.RejectedAnnounced
	}
	if n.links.IsCut(server.service) {
		// The cut may have ended: a few are tried, where all VMs are cut off.
		if !n.checks.acquire(server.service) {
			return nil, nil, relayapi.RejectedCut
		}
		defer n.checks.release(server.service)
	}
	connection, err := server.pool.Dial(ctx)
	switch {
	case err == nil:
		return server, connection, ""
	case errors.Is(err, upstream.ErrConnectionLimit) || ctx.Err() != nil:
		return nil, nil, relayapi.RejectedBusy
	}
	// This is no evidence for a check of this VM's own links: the servers may be down, and the
	// peers would ask each other in turn.
	switch {
	case n.links.IsCut(server.service):
		return nil, nil, relayapi.RejectedCut
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, nil, relayapi.RejectedRefused
	}
	return nil, nil, relayapi.RejectedUnreachable
}

// forward passes on what the server sends, and records what it states about itself.
func (t *tunnels) forward(tunnel *relayapi.Tunnel, server *backend, connection net.Conn, startedAt time.Time) error {
	n, observer := t.node, &headObserver{}
	buffer := make([]byte, tunnelBufferBytes)
	for hasAnswered := false; ; {
		size, err := connection.Read(buffer)
		if size > 0 {
			if !hasAnswered {
				hasAnswered = true
				n.recordLinkWorked(server, startedAt)
			}
			if answer := observer.observe(buffer[:size]); answer != nil {
				n.recordStatements(server, startedAt, platform.DecodeAnswer(answer.StatusCode, answer.Header))
			}
			if _, sendErr := tunnel.Write(buffer[:size]); sendErr != nil {
				return sendErr
			}
		}
		switch {
		case err == nil:
		case err == io.EOF:
			return tunnel.SendEnd(relayapi.EndClosed)
		case errors.IsAny(err, syscall.ECONNRESET, syscall.EPIPE):
			if !hasAnswered && n.isLinkSuspect(server) {
				n.recordLinkFailure(server, startedAt)
				return tunnel.SendEnd(relayapi.EndUnlinked)
			}
			return tunnel.SendEnd(relayapi.EndReset)
		case errors.Is(err, net.ErrClosed):
			// The other end has closed the tunnel.
			return nil
		default:
			return tunnel.SendEnd(relayapi.EndFailed)
		}
	}
}

// headObserver finds the head of the answer in what a server sends.
type headObserver struct {
	buffer []byte
	done   bool
}

// observe returns the answer, without its body, once its head is complete, and nil otherwise.
func (o *headObserver) observe(data []byte) *http.Response {
	if o.done {
		return nil
	}
	o.buffer = append(o.buffer, data...)
	for {
		end := bytes.Index(o.buffer, []byte("\r\n\r\n"))
		if end < 0 {
			o.finish(len(o.buffer) > maxObservedHead)
			return nil
		}
		end += len("\r\n\r\n")
		answer, err := readHead(o.buffer[:end])
		o.buffer = o.buffer[end:]
		if err == nil && answer.StatusCode < http.StatusOK {
			continue
		}
		o.finish(true)
		if err != nil {
			return nil
		}
		return answer
	}
}

// readHead returns the answer that has the given head.
func readHead(head []byte) (*http.Response, error) {
	return http.ReadResponse(bufio.NewReader(http1.NewReader(bytes.NewReader(head))), nil)
}

func (o *headObserver) finish(done bool) {
	if done {
		o.done, o.buffer = true, nil
	}
}

// isLinkSuspect reports whether this VM's link to a server that has reset a connection may be cut:
// the server neither refuses connections, as it does once it has ended, nor keeps one open.
func (n *Node) isLinkSuspect(b *backend) bool {
	err := n.checkListening(b)
	return err != nil && !errors.Is(err, syscall.ECONNREFUSED)
}
