package httpserver

import (
	"io"
	"net/http"
	"reflect"
	"strings"

	"github.com/lesismal/nbio/nbhttp"
)

const (
	// headerLineBytes is the memory of a header line beyond its bytes, and trailerNameBytes
	// that of a name in a Trailer header, which the library splits.
	headerLineBytes  = 160
	trailerNameBytes = 128
	// maxBodyFactor times the largest body is the size from which a body is rejected before it
	// is complete. Handlers answer shorter ones that are too long.
	maxBodyFactor = 2
	// maxFramingFactor bounds the bytes of a body with its framing, as a multiple of the largest
	// body. A body in chunks of one byte has six times its size.
	maxFramingFactor = 16
	// maxQueuedRequests bounds the requests of a connection that wait for earlier ones on it.
	maxQueuedRequests = 64
	// maxDroppedBytes bounds the bytes that are received on a connection after it was rejected.
	maxDroppedBytes = 1 << 20
)

// receiver is the library's processor of one connection with the bounds that the library lacks.
// It keeps bodies in one buffer, where the library has a buffer for each chunk. Only the read
// loop uses it.
type receiver struct {
	nbhttp.Processor
	limits Limits
	// body holds the received part of the present request's body, and bodyBytes is its size. The
	// part beyond the largest body is not kept.
	body      []byte
	bodyBytes int
	// headBytes is the size of the present head's lines, trailerBytes that of its trailers,
	// and lineMemory the memory of both.
	headBytes, trailerBytes int
	lineMemory              int64
	// wireBytes is the number of bytes received for the present request.
	wireBytes int64
	// tooLong is the status for a request that exceeds a limit, 0 if it does not.
	tooLong int
}

func (c *receiver) begin(limits Limits, received int) {
	c.limits = limits
	c.wireBytes += int64(received)
}

// OnHeader counts a line of the head.
func (c *receiver) OnHeader(parser *nbhttp.Parser, key, value string) {
	size := len(key) + len(value) + len(": \r\n")
	c.headBytes += size
	c.lineMemory += int64(size + headerLineBytes)
	if key == "Trailer" {
		c.lineMemory += int64(strings.Count(value, ",") * trailerNameBytes)
	}
	if c.headBytes > c.limits.HeadBytes {
		c.tooLong = http.StatusRequestHeaderFieldsTooLarge
		return
	}
	c.Processor.OnHeader(parser, key, value)
}

// OnContentLength rejects a body that is announced to be too long before it is received.
func (c *receiver) OnContentLength(parser *nbhttp.Parser, length int) {
	if length > maxBodyFactor*c.limits.BodyBytes {
		c.tooLong = http.StatusRequestEntityTooLarge
	}
	c.Processor.OnContentLength(parser, length)
}

// OnBody adds a part of the body. The parser passes parts of more than readBufferBytes from a
// buffer that it does not use again, so that these are not copied.
func (c *receiver) OnBody(_ *nbhttp.Parser, data []byte) error {
	c.bodyBytes += len(data)
	switch {
	case c.bodyBytes > maxBodyFactor*c.limits.BodyBytes:
		c.tooLong = http.StatusRequestEntityTooLarge
		return nbhttp.ErrTooLong
	case c.bodyBytes > c.limits.BodyBytes:
		c.body = nil
		return nil
	}
	if c.body == nil && len(data) > readBufferBytes {
		c.body = data[:len(data):len(data)]
		return nil
	}
	c.body = append(c.body, data...)
	return nil
}

// OnTrailerHeader bounds trailers as the head. Nothing reads them, so they are dropped.
func (c *receiver) OnTrailerHeader(_ *nbhttp.Parser, key, value string) {
	c.trailerBytes += len(key) + len(value) + len(": \r\n")
	if c.trailerBytes > c.limits.HeadBytes {
		c.tooLong = http.StatusRequestHeaderFieldsTooLarge
	}
}

// excess returns the status with which the connection is rejected if the parser holds cached
// bytes, 0 if the request is within the limits.
func (c *receiver) excess(cached int) int {
	switch {
	case c.tooLong != 0:
		return c.tooLong
	case cached > maxBodyFactor*c.limits.BodyBytes+c.limits.HeadBytes, c.wireBytes > maxFramingFactor*int64(c.limits.BodyBytes)+int64(c.limits.HeadBytes):
		return http.StatusRequestEntityTooLarge
	}
	return 0
}

// memory returns the memory of the request that is being received. capacity is that of the
// parser's buffer.
func (c *receiver) memory(capacity int) int64 {
	return int64(capacity) + int64(cap(c.body)) + c.lineMemory
}

// complete returns the body of the request that was just received, and prepares for the next.
func (c *receiver) complete() *body {
	b := &body{data: c.body, memory: c.memory(0), isTooLong: c.bodyBytes > c.limits.BodyBytes}
	c.bodyBytes = 0
	c.body, c.headBytes, c.trailerBytes, c.lineMemory, c.wireBytes = nil, 0, 0, 0, 0
	return b
}

// cachedBytes returns the length and the capacity of the buffer in which the parser holds an
// incomplete part of a request. The library does not export it.
func cachedBytes(parser *nbhttp.Parser) (length, capacity int) {
	cached := reflect.ValueOf(parser).Elem().FieldByIndex(cachedField)
	if cached.IsNil() {
		return 0, 0
	}
	return cached.Elem().Len(), cached.Elem().Cap()
}

var cachedField = func() []int {
	field, ok := reflect.TypeFor[nbhttp.Parser]().FieldByName("bytesCached")
	if !ok {
		panic("httpserver: nbhttp.Parser has no field bytesCached")
	}
	return field.Index
}()

// body is the complete body of a request.
type body struct {
	data []byte
	// read is the number of bytes that Read has returned.
	read int
	// memory is the memory of the whole request.
	memory int64
	// isTooLong is set if the body exceeded the largest size and was not kept.
	isTooLong bool
	// isExcess is set for a request beyond maxQueuedRequests, over the limits or of a rejected
	// connection, which is not handled.
	isExcess bool
	// isOverload is set if the callers' requests hold too much memory for this one.
	isOverload bool
}

func (b *body) Read(p []byte) (int, error) {
	if b.isTooLong {
		return 0, ErrBodyTooLarge
	}
	if b.read == len(b.data) {
		return 0, io.EOF
	}
	n := copy(p, b.data[b.read:])
	b.read += n
	return n, nil
}

func (b *body) Close() error { return nil }

// IsOverload reports whether requests that run hold too much of the memory that callers may use.
// The request has not run, and the handler must reject it.
func IsOverload(r *http.Request) bool {
	b, ok := r.Body.(*body)
	return ok && b.isOverload
}
