package gateway

import (
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/transport/upstream"
)

const (
	// answerMemoryShare of the VM's memory may hold answers, or events of streams, of
	// more than smallAnswerBytes.
	answerMemoryShare = 0.125
	// smallAnswerBytes is the size up to which the buffer of an answer or event is not
	// counted. Maximum connections to servers bound their number.
	smallAnswerBytes = 16 << 10
	// sendStall is the time after which an answer of which the caller receives nothing is given
	// up if the memory is needed for others.
	sendStall = time.Second
	// initialBufferBytes is the size of an answer's first buffer.
	initialBufferBytes = 4 << 10
	// initialEventBytes is the size of an event's first buffer.
	initialEventBytes = 256
)

// errAnswerMemory means that the answers that this node reads at the same time take too
// much memory, and that this one takes most.
var errAnswerMemory = errors.New("answers exceed the memory for them")

// answerMemory bounds the bytes of answers that a node holds at the same time. If they
// exceed the limit, one whose caller has not received anything for sendStall is given up, or
// else the largest one that is still being read. It is safe for concurrent use.
type answerMemory struct {
	mu    sync.Mutex
	limit int64
	used  int64
	// reading holds the counted buffers of answers that are being read, and sending those that
	// are being sent to their callers.
	reading, sending map[*answerBuffer]struct{}
}

func newAnswerMemory(settings *Settings) *answerMemory {
	m := &answerMemory{reading: map[*answerBuffer]struct{}{}, sending: map[*answerBuffer]struct{}{}}
	m.configure(settings)
	return m
}

// configure sets the limit from the settings.
func (m *answerMemory) configure(settings *Settings) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = int64(answerMemoryShare * settings.MemoryMB * megabyte)
}

// answerBuffer holds the received bytes of one answer or event. Only its reader may use it,
// and, after complete, its owner.
type answerBuffer struct {
	memory *answerMemory
	// abort ends the reading of the answer, and later its sending. It must not block.
	abort func()
	data  []byte

	// counted and givenUp are guarded by memory.mu.
	counted int64
	givenUp bool
	// unsent returns the number of bytes that wait to be sent to the caller, if the answer is
	// being sent. sentAt is the time at which the caller was last seen to have received
	// something, and unsentThen the number of unsent bytes at that time. All are guarded by
	// memory.mu, too.
	unsent     func() int64
	unsentThen int64
	sentAt     time.Time
}

// newBuffer returns an empty buffer. If the answer is given up, abort is called.
func (m *answerMemory) newBuffer(abort func()) *answerBuffer {
	return &answerBuffer{memory: m, abort: abort}
}

// reserve counts size more bytes for a buffer. It gives up larger ones if necessary, and
// returns an error if there are none.
func (m *answerMemory) reserve(b *answerBuffer, size int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for m.used+size > m.limit && !b.givenUp {
		if stalled := m.longestStalled(time.Now()); stalled != nil {
			m.giveUp(stalled)
			continue
		}
		largest := b
		for other := range m.reading {
			if other != b && other.counted > max(largest.counted, b.counted+size) {
				largest = other
			}
		}
		m.giveUp(largest)
	}
	if b.givenUp {
		return errAnswerMemory
	}
	b.counted += size
	m.used += size
	m.reading[b] = struct{}{}
	return nil
}

// giveUp stops counting a buffer and ends its reading. The caller must hold the lock.
func (m *answerMemory) giveUp(b *answerBuffer) {
	m.used -= b.counted
	b.counted, b.givenUp = 0, true
	delete(m.reading, b)
	delete(m.sending, b)
	b.abort()
}

// longestStalled returns the answer whose caller has received nothing for longest, nil if all
// have received something within sendStall. The caller must hold the lock.
func (m *answerMemory) longestStalled(now time.Time) *answerBuffer {
	var stalled *answerBuffer
	for b := range m.sending {
		if unsent := b.unsent(); unsent != b.unsentThen {
			b.unsentThen, b.sentAt = unsent, now
		}
		if now.Sub(b.sentAt) > sendStall && (stalled == nil || b.sentAt.Before(stalled.sentAt)) {
			stalled = b
		}
	}
	return stalled
}

// send states that the answer is being sent from now on, and that abort ends that. unsent
// returns the number of bytes that wait to be sent. Neither may block.
func (b *answerBuffer) send(unsent func() int64, abort func()) {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.abort, b.unsent, b.sentAt, b.unsentThen = abort, unsent, time.Now(), unsent()
	if b.counted > 0 {
		b.memory.sending[b] = struct{}{}
	}
}

// unreserve counts size bytes less for a buffer.
func (m *answerMemory) unreserve(b *answerBuffer, size int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	size = min(size, b.counted)
	b.counted -= size
	m.used -= size
}

// grow makes room for size bytes in all. It returns an error if the memory for answers is
// exhausted.
func (b *answerBuffer) grow(size int) error {
	if size > smallAnswerBytes {
		if err := b.memory.reserve(b, int64(size)); err != nil {
			return err
		}
	}
	previous := b.data
	b.data = make([]byte, len(previous), size)
	copy(b.data, previous)
	if cap(previous) > smallAnswerBytes {
		b.memory.unreserve(b, int64(cap(previous)))
	}
	return nil
}

// readAll reads the body of an answer. It returns an error if the body exceeds maxBytes.
func (b *answerBuffer) readAll(body io.Reader, maxBytes int) error {
	for {
		if len(b.data) == cap(b.data) {
			size := max(initialBufferBytes, 2*cap(b.data))
			if size >= maxBytes {
				size = maxBytes + 1
			}
			if err := b.grow(size); err != nil {
				return err
			}
		}
		n, err := body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case len(b.data) > maxBytes:
			return errors.Mark(errors.Newf("answer exceeds %d bytes", maxBytes), upstream.ErrInvalid)
		case err == io.EOF:
			return nil
		case err != nil:
			return b.readError(err)
		}
	}
}

// append adds bytes to the buffer.
func (b *answerBuffer) append(p []byte) error {
	if size := len(b.data) + len(p); size > cap(b.data) {
		next := max(size, 2*cap(b.data), initialEventBytes)
		if size <= smallAnswerBytes {
			next = min(next, smallAnswerBytes)
		}
		if err := b.grow(next); err != nil {
			return err
		}
	}
	b.data = append(b.data, p...)
	return nil
}

// readError returns the reason for which the answer can't be read.
func (b *answerBuffer) readError(err error) error {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	if b.givenUp {
		return errAnswerMemory
	}
	return err
}

// complete states that the answer has been read. It is no longer given up.
func (b *answerBuffer) complete() {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	delete(b.memory.reading, b)
}

// release drops the bytes. The buffer can then be used for the next event.
func (b *answerBuffer) release() {
	b.data = nil
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.memory.used -= b.counted
	b.counted = 0
	delete(b.memory.reading, b)
	delete(b.memory.sending, b)
}

// holdAnswer makes buffer the last complete answer of the request, and releases the one
// before. buffer may be nil.
func (q *request) holdAnswer(buffer *answerBuffer) {
	if q.held != nil {
		q.held.release()
	}
	q.held = buffer
}
