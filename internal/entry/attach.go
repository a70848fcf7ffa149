package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/protocol/peerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/requests"
)

const (
	// attachKeepaliveInterval is the interval of the empty frames to followers
	// and of the keep-alives to callers while there are no new tokens.
	attachKeepaliveInterval = 500 * time.Millisecond
	// attachStallTimeout bounds a follower's wait for the next frame.
	attachStallTimeout = 3 * time.Second
	// maxOwnerHops bounds the owners that a follower tries one after another.
	maxOwnerHops = 6
)

// errOwnerLost means that the owner can't be reached or no longer has the
// request.
var errOwnerLost = errors.New("owner does not have the request")

// movedError means that another entry VM owns the request now.
type movedError struct{ to requests.Owner }

// Error names the VM that owns the request now.
func (e *movedError) Error() string { return "request has moved to " + e.to.VM }

// follow copies the answer of the request from its owner until it ends. If the
// owner is lost and no other one is registered, or after maxOwnerHops owners,
// this node continues the request from the tokens copied so far.
func (n *Node) follow(ctx context.Context, t target, req *requests.Request, owner requests.Owner) {
	for range maxOwnerHops {
		if owner.VM == n.settings.VM {
			break
		}
		req.CopyFrom(&owner)
		err := n.attachTo(ctx, req, owner)
		if hasEnded(req) || ctx.Err() != nil {
			n.requests.MarkClosed()
			return
		}
		var moved *movedError
		if errors.As(err, &moved) {
			owner = moved.to
			continue
		}
		klog.Infof("entry: owner lost vm=%s key=%s err=%q", owner.VM, req.ID.Key, err)
		owner = n.register(ctx, req, owner.VM).Owner
	}
	req.CopyFrom(nil)
	n.metrics.takenOverRequests.Inc()
	n.resume(req, t)
}

func hasEnded(req *requests.Request) bool {
	_, end := req.Snapshot()
	return end != nil
}

// attachTo copies frames from the owner until the request ends. It returns an
// error if the owner is lost, a *movedError if the owner has handed the request
// over.
func (n *Node) attachTo(ctx context.Context, req *requests.Request, owner requests.Owner) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tokens, _ := req.Snapshot()
	stream, err := n.peerPool.Client(ctx, owner.PeerAddress).Attach(ctx, &peerapi.AttachRequest{
		Workspace:   req.ID.Workspace,
		Key:         req.ID.Key,
		Fingerprint: req.Fingerprint,
		FromOffset:  uint32(len(tokens)),
	})
	if err != nil {
		return errors.Mark(err, errOwnerLost)
	}
	defer stream.Close()
	frames := make(chan *peerapi.AnswerFrame)
	go receiveFrames(ctx, stream, frames)
	expired := n.clock.After(req.Deadline.Sub(n.clock.Now()))
	for {
		select {
		case f, ok := <-frames:
			if !ok {
				return errOwnerLost
			}
			if err := n.applyFrame(req, f); err != nil || hasEnded(req) {
				return err
			}
		case <-n.clock.After(attachStallTimeout):
			return errors.Wrap(errOwnerLost, "no frame from the owner")
		case <-expired:
			n.finishWithError(req, newError(callerapi.DeadlinePassed, callerapi.RunUnknown, "the deadline has passed"))
			return nil
		case <-req.Done():
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// receiveFrames forwards frames until the stream or ctx ends, then closes
// frames.
func receiveFrames(ctx context.Context, stream peerapi.DRPCPeer_AttachClient, frames chan<- *peerapi.AnswerFrame) {
	defer close(frames)
	for {
		f, err := stream.Recv()
		if err != nil {
			return
		}
		select {
		case frames <- f:
		case <-ctx.Done():
			return
		}
	}
}

// applyFrame adds a frame of the owner to the local copy of the request.
func (n *Node) applyFrame(req *requests.Request, f *peerapi.AnswerFrame) error {
	switch {
	case f.GetUnknown():
		return errOwnerLost
	case f.GetMoved() != nil:
		return &movedError{to: ownerOfMember(f.GetMoved())}
	case len(f.GetError()) > 0:
		req.Finish(requests.End{Failure: f.GetError()}, n.clock.Now())
		return nil
	}
	if f.GetVersion() != "" {
		req.SetVersion(f.GetVersion())
	}
	req.Append(int(f.GetOffset()), f.GetTokens())
	if f.GetDone() {
		req.Finish(requests.End{Recomputed: int(f.GetRecomputed())}, n.clock.Now())
	}
	return nil
}

// Attach streams the answer of a request that this node runs or has finished
// and still keeps.
func (p *peerServer) Attach(in *peerapi.AttachRequest, stream peerapi.DRPCPeer_AttachStream) error {
	n := p.node
	req, ok := n.requests.Find(requests.ID{Workspace: in.GetWorkspace(), Key: in.GetKey()})
	switch {
	case !ok:
		return stream.Send(&peerapi.AnswerFrame{Unknown: true})
	case req.Fingerprint != in.GetFingerprint():
		return stream.Send(&peerapi.AnswerFrame{Error: encodeError(keyConflictError())})
	}
	if owner := req.CopiedFrom(); owner != nil {
		return stream.Send(&peerapi.AnswerFrame{Moved: memberOf(*owner)})
	}
	req.AddReader()
	defer func() { req.RemoveReader(n.clock.Now()) }()
	return n.sendFrames(stream, req, int(in.GetFromOffset()))
}

// sendFrames sends the answer from offset until it ends or the follower
// disconnects.
func (n *Node) sendFrames(stream peerapi.DRPCPeer_AttachStream, req *requests.Request, offset int) error {
	for {
		tokens, end, err := nextOrTimeout(stream.Context(), req, offset)
		if err != nil {
			return err
		}
		frame := &peerapi.AnswerFrame{Offset: uint32(offset), Tokens: tokens, Version: req.AnsweringVersion()}
		offset += len(tokens)
		last := end != nil && len(tokens) == 0
		if last {
			fillEndFrame(frame, end)
		}
		if err := stream.Send(frame); err != nil || last {
			return err
		}
	}
}

func fillEndFrame(frame *peerapi.AnswerFrame, end *requests.End) {
	switch {
	case end.MovedTo != nil:
		frame.Moved = memberOf(*end.MovedTo)
	case end.Failure != nil:
		frame.Error = end.Failure
	default:
		frame.Done, frame.Recomputed = true, uint32(end.Recomputed)
	}
}

// nextOrTimeout waits like req.Next. It returns no tokens, no end and no error if
// there is neither a new token nor the end within attachKeepaliveInterval.
func nextOrTimeout(ctx context.Context, req *requests.Request, offset int) ([]string, *requests.End, error) {
	wait, cancel := context.WithTimeout(ctx, attachKeepaliveInterval)
	defer cancel()
	tokens, end, err := req.Next(wait, offset)
	if err != nil && ctx.Err() == nil {
		return nil, nil, nil
	}
	return tokens, end, err
}

func keyConflictError() *callerapi.Error {
	return newError(callerapi.KeyConflict, callerapi.NotRun, "the key is already used by a different request")
}

func encodeError(e *callerapi.Error) []byte {
	data, err := json.Marshal(e)
	if err != nil {
		return []byte("{}")
	}
	return data
}

// finishWithError ends the request with an error.
func (n *Node) finishWithError(req *requests.Request, e *callerapi.Error) {
	req.Finish(requests.End{Failure: encodeError(e)}, n.clock.Now())
}
