package gateway

import (
	"bufio"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
	"coltsfootpath.example/coltsfootpath/platform"
)

// arrivalKind is the kind of an arrival.
type arrivalKind int

const (
	// arrivedHead is the head of the answer.
	arrivedHead arrivalKind = iota
	// arrivedEvent is a complete event of a stream.
	arrivedEvent
	// arrivedEnd is the end of the exchange, complete or not.
	arrivedEnd
)

// arrival is what an exchange passes to its request.
type arrival struct {
	kind   arrivalKind
	answer *upstream.Answer
	event  event
	// body is the body of an answer that is no stream, and partialBytes the number of
	// bytes after the last complete event of a stream.
	body         []byte
	partialBytes int
	// buffer holds body if the answer is complete.
	buffer *answerBuffer
	// err is set if the answer can't be read to its end.
	err error
	// isEndChecked is set once the end of an answer that has ended with its connection was
	// checked, isEndRejected if it is not believed. server is the server's state afterwards,
	// serverCheckDelay later if isEndHeld is set.
	isEndChecked, isEndRejected, isEndHeld bool
	server                                 serverState
}

const (
	// maxRejectionBytes bounds the body of an answer which states that the request did
	// not run.
	maxRejectionBytes = 64 << 10
	// rejectionBodyTimeout bounds the time to receive that body.
	rejectionBodyTimeout = 250 * time.Millisecond
)

// deliver passes an arrival to the request. It returns false if the request has left.
func (a *attempt) deliver(x arrival) bool {
	select {
	case a.arrivals <- x:
		return true
	case <-a.left:
		return false
	}
}

// exchange sends the request and delivers what arrives, up to arrivedEnd. The connection is
// released before.
func (a *attempt) exchange(request upstream.Request) {
	answer, err := a.send(request)
	if err != nil {
		a.deliver(arrival{kind: arrivedEnd, err: err})
		return
	}
	defer answer.Close()
	head := platform.DecodeAnswer(answer.Status, answer.Header)
	if !a.deliver(arrival{kind: arrivedHead, answer: answer}) {
		return
	}
	end := arrival{kind: arrivedEnd}
	switch {
	case head.NotRun:
		end.err = answer.Discard(maxRejectionBytes, rejectionBodyTimeout)
	case !a.q.isStreamAnswer(answer):
		buffer := a.q.node.answerMemory.newBuffer(answer.Abort)
		end.err = buffer.readAll(answer.Body, maxAnswerBytes)
		end.body = buffer.data
		if end.err == nil {
			buffer.complete()
			end.buffer = buffer
		} else {
			buffer.release()
		}
	case head.Sealed:
		end.partialBytes, end.err = a.deliverEvents(answer)
	}
	answer.Close()
	if !a.deliver(end) && end.buffer != nil {
		end.buffer.release()
	}
}

// send sends the request, and returns once the head of its answer has arrived. If the links to
// the service's servers are cut, the request is sent through a peer.
func (a *attempt) send(request upstream.Request) (*upstream.Answer, error) {
	n, server := a.q.node, a.placed.server
	if request.Connection == nil {
		if !n.usesTunnels(server.service) {
			answer, err := server.pool.Do(a.ctx, request)
			if !isLinkFailure(err) || a.ctx.Err() != nil {
				return answer, err
			}
			n.recordLinkFailure(server, a.startedAt)
			if !errors.Is(err, upstream.ErrNotSent) || !n.usesTunnels(server.service) {
				return nil, err
			}
		}
		connection, err := n.tunnels.connect(a.ctx, a.placed)
		if err != nil {
			return nil, err
		}
		request.Connection = connection
	}
	a.isTunneled.Store(request.Connection.IsAdopted())
	return server.pool.Do(a.ctx, request)
}

// deliverEvents delivers the events of a stream. It returns the error that ended it and the
// number of bytes after the last complete event.
func (a *attempt) deliverEvents(answer *upstream.Answer) (partialBytes int, err error) {
	reader := bufio.NewReader(answer.Body)
	size := streamSize{lastID: a.q.lastEventID}
	buffer := a.q.node.answerMemory.newBuffer(answer.Abort)
	defer buffer.release()
	for {
		ev, err := readEvent(reader, buffer)
		if err != nil {
			return len(ev.raw), buffer.readError(err)
		}
		if err := size.add(ev); err != nil {
			return len(ev.raw), err
		}
		if !a.deliver(arrival{kind: arrivedEvent, event: ev}) {
			return 0, a.ctx.Err()
		}
		buffer.release()
	}
}

const (
	// maxStreamBytes bounds the stream of one answer.
	maxStreamBytes = 16 << 20
	// maxSurplusBytes bounds the events of one answer whose ids do not increase, or that
	// have none.
	maxSurplusBytes = 1 << 20
)

// streamSize counts the bytes of the stream of one answer.
type streamSize struct {
	// lastID is the highest id of an event so far, -1 before the first.
	lastID         int64
	total, surplus int
}

// add counts an event. It returns an error if the stream exceeds a limit.
func (s *streamSize) add(ev event) error {
	s.total += len(ev.raw)
	if ev.id > s.lastID {
		s.lastID = ev.id
	} else {
		s.surplus += len(ev.raw)
	}
	switch {
	case s.total > maxStreamBytes:
		return errors.Mark(errors.Newf("stream exceeds %d bytes", maxStreamBytes), upstream.ErrInvalid)
	case s.surplus > maxSurplusBytes:
		return errors.Mark(errors.Newf("events without a new id exceed %d bytes", maxSurplusBytes), upstream.ErrInvalid)
	}
	return nil
}
