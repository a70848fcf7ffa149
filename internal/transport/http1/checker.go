// Package http1 checks that what a server sends is HTTP/1.1 as RFC 9112 defines it. The standard
// library's reader, which parses answers, is more lenient: it takes lines that are no fields for
// fields, joins or ignores others, and so may read another body than the server sent.
package http1

import (
	"bytes"
	"math"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// ErrInvalid means that a server has sent bytes that RFC 9112 does not allow.
var ErrInvalid = errors.New("invalid HTTP/1.1")

// maxLineBytes bounds a line of a head, of a chunk or of a trailer section.
const maxLineBytes = 64 << 10

// part is the part of an answer that a Checker expects next.
type part int

const (
	statusLine part = iota
	fieldLine
	// content is content whose length is known.
	content
	chunkSize
	chunkData
	// chunkEnd is the CRLF after the data of a chunk.
	chunkEnd
	trailerLine
	// unframed is content that ends with the connection.
	unframed
)

// Checker checks the answers that arrive on a connection, one after the other. The zero value
// expects the first of them.
type Checker struct {
	// NoContent is set while the answers are those to HEAD requests. Their heads state the framing
	// of content that does not follow.
	NoContent bool
	// OnHead is called at the end of each head. It may be nil.
	OnHead func(ChangedFields)

	next part
	// line is the part that has arrived of a line that has not ended.
	line []byte
	head head
	// left is the number of bytes left of the content or of the chunk.
	left uint64
	// err is the first error. Nothing is valid after it.
	err error
}

// ChangedFields are the fields of a head that the library's reader removes or adds.
type ChangedFields struct {
	// Connection holds the values of Connection, which is removed if one of them is "close".
	Connection []string
	// HasCacheControl is false if there is no Cache-Control, which is added beside
	// "Pragma: no-cache".
	HasCacheControl bool
}

// head is what the lines of a head state about the framing, and its changed fields.
type head struct {
	changed              ChangedFields
	status, minorVersion int
	lengths, codings     int
	length               uint64
	lengthText           string
}

// Err returns the first error, nil if all bytes were valid.
func (c *Checker) Err() error { return c.err }

// Check checks the next bytes of a connection. It returns the number of bytes before the line that
// is invalid, and an error marked with ErrInvalid if there is one. A line that has not ended is
// not checked, so that its first bytes may be among those returned, but never its end.
func (c *Checker) Check(p []byte) (valid int, err error) {
	for valid < len(p) && c.err == nil {
		var n int
		n, c.err = c.check(p[valid:])
		valid += n
	}
	return valid, c.err
}

// check checks the rest of the part that is expected, as far as it is in p.
func (c *Checker) check(p []byte) (valid int, err error) {
	switch c.next {
	case unframed:
		return len(p), nil
	case content, chunkData:
		n := int(min(c.left, uint64(len(p))))
		if c.left -= uint64(n); c.left == 0 {
			c.endData()
		}
		return n, nil
	}
	end := bytes.IndexByte(p, '\n') + 1
	if end == 0 {
		if c.line = append(c.line, p...); len(c.line) > maxLineBytes {
			return 0, errors.Mark(errors.Newf("line exceeds %d bytes", maxLineBytes), ErrInvalid)
		}
		return len(p), nil
	}
	line := p[:end]
	if len(c.line) > 0 {
		c.line = append(c.line, line...)
		line, c.line = c.line, c.line[:0]
	}
	if err := c.checkLine(line); err != nil {
		return 0, errors.Mark(err, ErrInvalid)
	}
	return end, nil
}

// endData moves on after the last byte of content or of a chunk.
func (c *Checker) endData() {
	if c.next == chunkData {
		c.next = chunkEnd
	} else {
		c.next = statusLine
	}
}

// checkLine checks a line with its end. A line that ends without CR is invalid, as LF alone may
// just as well be a byte inside it.
func (c *Checker) checkLine(line []byte) error {
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return errors.Newf("line %q does not end with CRLF", quoted(line))
	}
	switch c.next {
	case statusLine:
		return c.checkStatusLine(text)
	case fieldLine:
		if len(text) == 0 {
			return c.endHead()
		}
		return c.checkHeadField(text)
	case trailerLine:
		if len(text) == 0 {
			c.next = statusLine
			return nil
		}
		_, _, err := splitField(text)
		return err
	case chunkSize:
		return c.checkChunkSize(text)
	}
	if len(text) > 0 {
		return errors.Newf("chunk goes on with %q after its end", quoted(text))
	}
	c.next = chunkSize
	return nil
}

// checkStatusLine checks a status line. The blank after the status may be missing.
func (c *Checker) checkStatusLine(line []byte) error {
	const version, status = len("HTTP/1."), len("HTTP/1.1 ")
	if len(line) < status+3 || string(line[:version]) != "HTTP/1." || !isDigit(line[version]) || line[version+1] != ' ' {
		return errors.Newf("invalid status line %q", quoted(line))
	}
	code, reason := line[status:status+3], line[status+3:]
	if !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) || len(reason) > 0 && reason[0] != ' ' || !isFieldValue(reason) {
		return errors.Newf("invalid status line %q", quoted(line))
	}
	c.head = head{minorVersion: int(line[version] - '0')}
	c.head.status, _ = strconv.Atoi(string(code))
	switch {
	case c.head.status < http.StatusContinue:
		return errors.Newf("answer has the status %s", code)
	case c.head.status == http.StatusSwitchingProtocols:
		return errors.New("server switches to a protocol that was not asked for")
	}
	c.next = fieldLine
	return nil
}

// checkHeadField checks a field of a head, and records what head holds of it.
func (c *Checker) checkHeadField(line []byte) error {
	name, value, err := splitField(line)
	if err != nil {
		return err
	}
	h := &c.head
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if !bytes.EqualFold(value, []byte("chunked")) {
			return errors.Newf("transfer coding %q is not supported", quoted(value))
		}
		if h.codings++; h.codings > 1 {
			return errors.New("answer has two transfer codings")
		}
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseUint(string(value), 10, 63)
		if err != nil {
			return errors.Newf("invalid Content-Length %q", quoted(value))
		}
		if h.lengths++; h.lengths > 1 && h.lengthText != string(value) {
			return errors.Newf("answer has the lengths %s and %s", quoted([]byte(h.lengthText)), quoted(value))
		}
		h.length, h.lengthText = n, string(value)
	case bytes.EqualFold(name, []byte("Connection")):
		h.changed.Connection = append(h.changed.Connection, string(value))
	case bytes.EqualFold(name, []byte("Cache-Control")):
		h.changed.HasCacheControl = true
	}
	return nil
}

// endHead checks the framing that a head states, and determines what follows it.
func (c *Checker) endHead() error {
	h := &c.head
	hasContent := h.status >= http.StatusOK && h.status != http.StatusNoContent
	switch {
	case h.codings > 0 && h.lengths > 0:
		return errors.New("answer has both a transfer coding and a length")
	case h.codings > 0 && h.minorVersion == 0:
		return errors.New("answer in HTTP/1.0 has a transfer coding")
	case !hasContent && (h.codings > 0 || h.length > 0):
		return errors.Newf("answer with the status %d states that it has content", h.status)
	}
	if c.OnHead != nil {
		c.OnHead(h.changed)
	}
	switch {
	case !hasContent || h.status == http.StatusNotModified || c.NoContent || h.lengths > 0 && h.length == 0:
		c.next = statusLine
	case h.codings > 0:
		c.next = chunkSize
	case h.lengths > 0:
		c.next, c.left = content, h.length
	default:
		c.next = unframed
	}
	return nil
}

// checkChunkSize checks the line before the data of a chunk.
func (c *Checker) checkChunkSize(line []byte) error {
	size, extensions, _ := bytes.Cut(line, []byte{';'})
	for _, b := range size {
		if !isDigit(b) && (b|0x20 < 'a' || b|0x20 > 'f') {
			return errors.Newf("invalid chunk size %q", quoted(line))
		}
	}
	n, err := strconv.ParseUint(string(size), 16, 64)
	if err != nil || n > math.MaxInt64 {
		return errors.Newf("invalid chunk size %q", quoted(line))
	}
	if len(size) < len(line) && !areChunkExtensions(extensions) {
		return errors.Newf("invalid chunk extension %q", quoted(line))
	}
	c.next, c.left = chunkData, n
	if n == 0 {
		c.next = trailerLine
	}
	return nil
}

// areChunkExtensions reports whether p is a list of chunk extensions, separated by semicolons.
// Blanks are invalid outside quoted strings.
func areChunkExtensions(p []byte) bool {
	for {
		name := tokenLength(p)
		if name == 0 {
			return false
		}
		p = p[name:]
		if len(p) > 0 && p[0] == '=' {
			value := max(tokenLength(p[1:]), quotedStringLength(p[1:]))
			if value == 0 {
				return false
			}
			p = p[1+value:]
		}
		switch {
		case len(p) == 0:
			return true
		case p[0] != ';':
			return false
		}
		p = p[1:]
	}
}

// splitField returns the name and the value of a field. A line that begins with a blank, and so
// continues the field before it, is invalid: it may just as well be a field of its own.
func splitField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte{':'})
	switch {
	case !ok:
		return nil, nil, errors.Newf("line %q is no field", quoted(line))
	case len(name) == 0 || tokenLength(name) < len(name):
		return nil, nil, errors.Newf("invalid field name %q", quoted(name))
	case !isFieldValue(value):
		return nil, nil, errors.Newf("invalid value %q of field %s", quoted(value), quoted(name))
	}
	return name, bytes.Trim(value, " \t"), nil
}

// isFieldValue reports whether p holds no control characters but tabs.
func isFieldValue(p []byte) bool {
	for _, b := range p {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// tokenLength returns the length of the token at the start of p, 0 if there is none.
func tokenLength(p []byte) int {
	for i, b := range p {
		if !isTokenByte(b) {
			return i
		}
	}
	return len(p)
}

func isTokenByte(b byte) bool {
	return isDigit(b) || b|0x20 >= 'a' && b|0x20 <= 'z' || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) >= 0
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// quotedStringLength returns the length of the quoted string at the start of p, 0 if there is none.
func quotedStringLength(p []byte) int {
	if len(p) == 0 || p[0] != '"' {
		return 0
	}
	for i := 1; i < len(p); i++ {
		switch {
		case p[i] == '"':
			return i + 1
		case p[i] == '\\':
			i++
		}
		if i < len(p) && !isFieldValue(p[i:i+1]) {
			return 0
		}
	}
	return 0
}

// maxQuotedBytes is the number of bytes of a line that an error quotes.
const maxQuotedBytes = 80

func quoted(line []byte) []byte { return line[:min(len(line), maxQuotedBytes)] }
