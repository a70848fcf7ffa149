package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/health"
	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
	"coltsfootpath.example/coltsfootpath/platform"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// event is one whole event of a stream, as it came.
type event struct {
	raw []byte
	id  int64
}

// readEvent reads the next event. io.EOF means that the stream has ended
// between two events; an end within one is an error.
func readEvent(r *bufio.Reader) (event, error) {
	ev := event{id: -1}
	for {
		line, err := r.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(ev.raw) > maxEventBytes {
				return ev, errors.Newf("event of more than %d bytes", maxEventBytes)
			}
			continue
		case errors.Is(err, io.EOF) && len(ev.raw) == 0:
			return ev, io.EOF
		case err != nil:
			return ev, errors.Wrapf(err, "event broke off after %d bytes", len(ev.raw))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return ev, nil
		}
		if text, ok := strings.CutPrefix(string(line), "id:"); ok {
			if id, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64); err == nil {
				ev.id = id
			}
		}
		if len(ev.raw) > maxEventBytes {
			return ev, errors.Newf("event of more than %d bytes", maxEventBytes)
		}
	}
}

// receiveStream passes the events of an answer on as they come.
func (a *attemptRun) receiveStream(answer *upstream.Answer, sealed bool) end {
	q, n := a.q, a.q.node
	if !sealed {
		answer.Close(false)
		q.countBegun(n.now())
		return a.lost(errors.New("stream without a seal"))
	}
	reader := bufio.NewReader(answer.Body)
	first := true
	for {
		ev, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			answer.Close(true)
			return a.streamEnded(answer, first)
		}
		if err != nil {
			answer.Close(false)
			if first {
				q.countBegun(n.now())
			}
			return a.lost(err)
		}
		if first {
			first = false
			a.firstEvent()
		}
		a.news(q.pauseBound())
		if ev.id >= 0 && ev.id <= q.lastEvent {
			n.log.Failure("stream", "event-again", "id", q.call.ID, "event", ev.id, "last", q.lastEvent)
			continue
		}
		if ev.id >= 0 && q.lastEvent >= 0 && ev.id != q.lastEvent+1 {
			answer.Close(false)
			return a.lost(errors.Newf("event %d follows %d", ev.id, q.lastEvent))
		}
		if err := q.passEvent(answer, ev); err != nil {
			answer.Close(false)
			return endLeft
		}
	}
}

// firstEvent notes that the server has begun to answer.
func (a *attemptRun) firstEvent() {
	q, n := a.q, a.q.node
	now := n.now()
	n.backends.began(a.pick)
	if q.firstAfter == 0 {
		q.firstAfter = now.Sub(q.began)
	}
	q.countBegun(now)
	n.health.Ended(a.pick.health, health.Outcome{Ratio: a.pick.choice.Ratio(now.Sub(a.began))}, now)
}

// passEvent sends one event to the caller, after the head of the first answer.
func (q *request) passEvent(answer *upstream.Answer, ev event) error {
	if !q.headSent {
		q.sendHead(answer)
	}
	if _, err := q.w.Write(ev.raw); err != nil {
		return err
	}
	if f, ok := q.w.(http.Flusher); ok {
		f.Flush()
	}
	if ev.id >= 0 {
		q.lastEvent = ev.id
	}
	return nil
}

func (q *request) sendHead(answer *upstream.Answer) {
	q.headSent = true
	platform.CopyAnswerHeaders(q.w.Header(), answer.Header)
	q.markClosing()
	q.w.WriteHeader(answer.Status)
}

// streamEnded ends an answer whose stream has ended in order.
func (a *attemptRun) streamEnded(answer *upstream.Answer, empty bool) end {
	q := a.q
	if empty && !answer.Delimited() {
		return a.lost(errors.New("stream without length and events"))
	}
	if !q.headSent {
		q.sendHead(answer)
	}
	q.closeIfAsked()
	q.done("served", "", answer.Status)
	return endAnswered
}
