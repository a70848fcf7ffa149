package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
	"coltsfootpath.example/coltsfootpath/platform"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// event is one complete event of a stream, with its bytes as received. id is -1
// if the event has none.
type event struct {
	raw []byte
	id  int64
}

// readEvent reads the next event into an empty buffer. If the stream ends, it returns an
// error and the bytes of the incomplete event, none if the stream ends between two events.
func readEvent(r *bufio.Reader, buffer *answerBuffer) (event, error) {
	ev := event{id: -1}
	isLineStart := true
	for {
		line, err := r.ReadSlice('\n')
		if appendErr := buffer.append(line); appendErr != nil {
			return ev, appendErr
		}
		if ev.raw = buffer.data; len(ev.raw) > maxEventBytes {
			return ev, errors.Newf("event exceeds %d bytes", maxEventBytes)
		}
		isPart := errors.Is(err, bufio.ErrBufferFull)
		isWhole := isLineStart && !isPart
		isLineStart = !isPart
		switch {
		case err != nil && !isPart:
			return ev, err
		case !isWhole:
			continue
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return ev, nil
		}
		if text, ok := strings.CutPrefix(string(line), "id:"); ok {
			if id, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64); err == nil {
				ev.id = id
			}
		}
	}
}

// errEndInEvent means that a stream ended inside an event.
var errEndInEvent = errors.Wrap(io.ErrUnexpectedEOF, "stream ended inside an event")

// receiveEvent forwards an event of a stream. It reports whether the attempt has ended,
// and its outcome.
func (a *attempt) receiveEvent(ev event) (outcome attemptOutcome, ended bool) {
	q, n := a.q, a.q.node
	if !a.hasEvent {
		a.hasEvent = true
		a.recordFirstEvent()
	}
	if q.isRepeated(ev) {
		n.log.Failure("stream", "event-again", "id", q.call.ID, "event", ev.id, "last", q.lastEventID)
		return 0, false
	}
	if ev.id >= 0 && q.lastEventID >= 0 && ev.id != q.lastEventID+1 {
		return a.handleLost(errors.Newf("event %d received after event %d", ev.id, q.lastEventID)), true
	}
	a.progress.countEvent(n.now())
	q.eventCount++
	n.backends.recordProduced(a.placed, q.predictedAnswer, float64(q.producedTokens()))
	if err := q.forwardEvent(a.answer, ev); err != nil {
		return outcomeCallerLeft, true
	}
	return 0, false
}

// isRepeated reports whether the caller has received the event.
func (q *request) isRepeated(ev event) bool { return ev.id >= 0 && ev.id <= q.lastEventID }

// recordFirstEvent records that the server has started to answer.
func (a *attempt) recordFirstEvent() {
	q, n := a.q, a.q.node
	now := n.now()
	n.backends.endPrefill(a.placed)
	if q.timeToFirstByte == 0 {
		q.timeToFirstByte = now.Sub(q.startedAt)
	}
	q.countUsage(now)
	q.countFirstToken(now)
	n.moves.firstAnswer(a.placed, false, now.Sub(a.startedAt), now)
	n.health.RecordOutcome(a.placed.health, health.Outcome{Ratio: a.placed.choice.Ratio(now.Sub(a.startedAt))}, now)
}

// forwardEvent sends one event to the caller, preceded by the head of the answer
// if none has been sent.
func (q *request) forwardEvent(answer *upstream.Answer, ev event) error {
	if err := q.sendHead(answer); err != nil {
		return err
	}
	if _, err := q.stream.Write(ev.raw); err != nil {
		return err
	}
	if ev.id >= 0 {
		q.lastEventID = ev.id
	}
	q.recordProgress(q.node.now())
	return nil
}

// recordProgress records that an event was forwarded.
func (q *request) recordProgress(now time.Time) {
	if q.hasForwarded {
		q.longestPause = max(q.longestPause, now.Sub(q.progressAt))
	}
	q.hasForwarded = true
	q.progressAt = now
}

// hasLongPause reports whether two events were forwarded further apart than the route's pause
// target.
func (q *request) hasLongPause() bool {
	return q.longestPause > 0 && q.route.PauseTarget > 0 && q.longestPause > q.route.PauseTarget
}

// sendHead sends the head of the answer unless it has been sent.
func (q *request) sendHead(answer *upstream.Answer) (err error) {
	if q.stream != nil {
		return nil
	}
	platform.CopyAnswerHeaders(q.w.Header(), answer.Header)
	q.closeIfDraining()
	q.stream, err = httpserver.StartStream(q.w, q.r, answer.Status)
	return err
}

// endStream handles the end of a stream. The stream is complete only if the end of the
// answer was seen between two events.
func (a *attempt) endStream(x arrival) attemptOutcome {
	q, err := a.q, x.err
	q.partialEventBytes = x.partialBytes
	switch {
	case !a.head.Sealed:
		err = errors.New("stream answer has no seal")
	case a.answer.End() == upstream.EndNotSeen:
	case x.partialBytes > 0:
		err = errEndInEvent
	case x.isEndRejected:
	case !a.hasEvent && a.answer.End() == upstream.EndOfConnection:
		err = errors.New("stream ended without a length or an event")
	default:
		a.recordAnswer(x)
		return q.finishStream(a.answer)
	}
	if !a.hasEvent {
		q.countUsage(q.node.now())
	}
	return a.handleLost(errors.Wrapf(err, "%d bytes after the last event", x.partialBytes))
}

// finishStream ends the answer to the caller after a complete stream.
func (q *request) finishStream(answer *upstream.Answer) attemptOutcome {
	if err := q.sendHead(answer); err != nil {
		return outcomeCallerLeft
	}
	q.stream.End(closeTimeout)
	q.recordResult("served", "", answer.Status)
	return outcomeAnswered
}
