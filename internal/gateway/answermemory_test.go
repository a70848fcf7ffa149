package gateway

import (
	"bytes"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
)

// memoryModel holds buffers of random answers, and which of them were aborted.
type memoryModel struct {
	memory  *answerMemory
	buffers []*answerBuffer
	aborted map[*answerBuffer]bool
}

func (m *memoryModel) open() *answerBuffer {
	var b *answerBuffer
	b = m.memory.newBuffer(func() { m.aborted[b] = true })
	m.buffers = append(m.buffers, b)
	return b
}

// check compares the memory's count with what its buffers hold.
func (m *memoryModel) check(t *testing.T) {
	held := int64(0)
	for _, b := range m.buffers {
		if size := int64(cap(b.data)); size > smallAnswerBytes && !m.aborted[b] {
			held += size
		}
	}
	if held != m.memory.used || held > m.memory.limit {
		t.Fatalf("%d bytes are held, %d counted, limit %d", held, m.memory.used, m.memory.limit)
	}
}

// TestAnswersExceedMemory opens, grows, completes and releases random buffers.
func TestAnswersExceedMemory(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		m := &memoryModel{memory: newAnswerMemory(&Settings{MemoryMB: 8}), aborted: map[*answerBuffer]bool{}}
		for range 300 {
			if len(m.buffers) == 0 || random.IntN(3) == 0 {
				m.open()
			}
			i := random.IntN(len(m.buffers))
			switch b := m.buffers[i]; random.IntN(8) {
			case 0:
				b.complete()
			case 1:
				b.release()
			default:
				err := b.append(make([]byte, random.IntN(60<<10)))
				if err != nil && !m.aborted[b] {
					t.Fatalf("seed %d: %v, but the answer goes on", seed, err)
				}
			}
			for i := 0; i < len(m.buffers); i++ {
				if b := m.buffers[i]; m.aborted[b] {
					if !errors.Is(b.readError(io.ErrUnexpectedEOF), errAnswerMemory) {
						t.Fatalf("seed %d: an aborted answer has another error", seed)
					}
					b.release()
					m.buffers = append(m.buffers[:i], m.buffers[i+1:]...)
					i--
				}
			}
			m.check(t)
		}
		for _, b := range m.buffers {
			b.release()
		}
		if m.memory.used != 0 || len(m.memory.reading) != 0 {
			t.Fatalf("seed %d: %d bytes are counted at the end", seed, m.memory.used)
		}
	}
}

// TestLargestAnswerIsKept: a small answer must not be given up for larger ones.
func TestLargestAnswerIsKept(t *testing.T) {
	m := &memoryModel{memory: newAnswerMemory(&Settings{MemoryMB: 8}), aborted: map[*answerBuffer]bool{}}
	var large []*answerBuffer
	for range 3 {
		b := m.open()
		if err := b.append(make([]byte, 300<<10)); err != nil {
			t.Fatal(err)
		}
		large = append(large, b)
	}
	for range 20 {
		small := m.open()
		if err := small.append(make([]byte, 40<<10)); err != nil || m.aborted[small] {
			t.Fatalf("small answer: %v", err)
		}
	}
	if !m.aborted[large[0]] && !m.aborted[large[1]] && !m.aborted[large[2]] {
		t.Error("no large answer was given up")
	}
}

// TestAnswerOfAnyLengthIsRead reads answers around the sizes at which the buffer grows.
func TestAnswerOfAnyLengthIsRead(t *testing.T) {
	const maxBytes = 100_000
	memory := newAnswerMemory(&Settings{MemoryMB: 8})
	for _, length := range []int{0, 1, initialBufferBytes - 1, initialBufferBytes, initialBufferBytes + 1, smallAnswerBytes, smallAnswerBytes + 1, maxBytes - 1, maxBytes, maxBytes + 1} {
		body := strings.Repeat("x", length)
		for _, r := range []io.Reader{strings.NewReader(body), iotest.HalfReader(strings.NewReader(body)), iotest.DataErrReader(strings.NewReader(body))} {
			b := memory.newBuffer(func() {})
			err := b.readAll(r, maxBytes)
			if (err == nil) != (length <= maxBytes) || err == nil && !bytes.Equal(b.data, []byte(body)) || cap(b.data) > maxBytes+1 {
				t.Errorf("%d bytes: got %d, error %v", length, len(b.data), err)
			}
			b.release()
		}
	}
	if memory.used != 0 {
		t.Errorf("%d bytes are counted at the end", memory.used)
	}
}

// TestStalledAnswerMakesRoom: an answer whose caller receives nothing is given up for others, and
// one whose caller is slow is not.
func TestStalledAnswerMakesRoom(t *testing.T) {
	memory := newAnswerMemory(&Settings{MemoryMB: 8})
	open := func(size int) (b *answerBuffer, isAborted *bool) {
		aborted := false
		b = memory.newBuffer(func() { aborted = true })
		if err := b.append(make([]byte, size)); err != nil {
			t.Fatal(err)
		}
		b.complete()
		return b, &aborted
	}
	slowUnsent := int64(100)
	stalled, _ := open(400 << 10)
	slow, _ := open(400 << 10)
	var stalledAborted, slowAborted bool
	stalled.send(func() int64 { return 100 }, func() { stalledAborted = true })
	slow.send(func() int64 { return slowUnsent }, func() { slowAborted = true })
	stalled.sentAt = stalled.sentAt.Add(-2 * sendStall)
	slow.sentAt = slow.sentAt.Add(-2 * sendStall)
	slowUnsent--
	other, otherAborted := open(500 << 10)
	if !stalledAborted || slowAborted || *otherAborted {
		t.Errorf("given up: stalled %v, slow %v, other %v", stalledAborted, slowAborted, *otherAborted)
	}
	for _, b := range []*answerBuffer{stalled, slow, other} {
		b.release()
	}
	if memory.used != 0 || len(memory.sending) != 0 {
		t.Errorf("%d bytes and %d answers are left", memory.used, len(memory.sending))
	}
}
