package http1_test

import (
	"net/textproto"
	"regexp"
	"strconv"
	"strings"
)

// strictAnswer is an answer as the grammar of RFC 9112 defines it.
type strictAnswer struct {
	minorVersion, status int
	// fields holds the values of each field, by canonical name.
	fields map[string][]string
	body   string
	// isHeadValid is set if the head is complete and valid, whatever follows it.
	isHeadValid bool
	// endsConnection is set if the answer ends with its connection.
	endsConnection bool
}

// verdict is what a strict reader says about the bytes of a connection.
type verdict int

const (
	// valid means that an answer is complete.
	valid verdict = iota
	// invalid means that the bytes are no answer, whatever follows them.
	invalid
	// incomplete means that the bytes end inside an answer.
	incomplete
)

// The expressions are applied to text in which each rune stands for a byte.
const (
	token      = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+"
	fieldText  = `[\t\x{20}-\x{7e}\x{80}-\x{ff}]*`
	quotedText = `"(?:[\t \x{21}\x{23}-\x{5b}\x{5d}-\x{7e}\x{80}-\x{ff}]|\\[\t\x{20}-\x{7e}\x{80}-\x{ff}])*"`
)

var (
	// The blank before an empty reason may be missing.
	statusLine = regexp.MustCompile(`\AHTTP/1\.([0-9]) ([0-9]{3})(?: ` + fieldText + `)?\r\n\z`)
	field      = regexp.MustCompile(`\A(` + token + `):(` + fieldText + `)\r\n\z`)
	chunkSize  = regexp.MustCompile(`\A([0-9A-Fa-f]{1,15})(?:;` + token + `(?:=(?:` + token + `|` + quotedText + `))?)*\r\n\z`)
	digits     = regexp.MustCompile(`\A[0-9]{1,18}\z`)
)

// strictReader reads answers from the bytes of a connection that has ended.
type strictReader struct{ rest string }

// bytesToRunes returns a text in which each rune stands for a byte of s.
func bytesToRunes(s string) string {
	runes := make([]rune, len(s))
	for i := range len(s) {
		runes[i] = rune(s[i])
	}
	return string(runes)
}

// line returns the next line with its end.
func (r *strictReader) line() (string, verdict) {
	end := strings.IndexByte(r.rest, '\n')
	if end < 0 {
		return "", incomplete
	}
	line := r.rest[:end+1]
	r.rest = r.rest[end+1:]
	return bytesToRunes(line), valid
}

// bytes returns the next n bytes.
func (r *strictReader) bytes(n int) (string, verdict) {
	if n > len(r.rest) {
		return "", incomplete
	}
	data := r.rest[:n]
	r.rest = r.rest[n:]
	return data, valid
}

// fields reads field lines up to the empty line.
func (r *strictReader) fields() (map[string][]string, verdict) {
	fields := map[string][]string{}
	for {
		line, v := r.line()
		if v != valid {
			return nil, v
		}
		if line == "\r\n" {
			return fields, valid
		}
		m := field.FindStringSubmatch(line)
		if m == nil {
			return nil, invalid
		}
		name := textproto.CanonicalMIMEHeaderKey(m[1])
		value := make([]byte, 0, len(m[2]))
		for _, b := range m[2] {
			value = append(value, byte(b))
		}
		fields[name] = append(fields[name], strings.Trim(string(value), " \t"))
	}
}

// answer reads the next final answer. Interim ones are skipped.
func (r *strictReader) answer(isHead bool) (strictAnswer, verdict) {
	for {
		a, v := r.anyAnswer(isHead)
		if v != valid || a.status >= 200 {
			return a, v
		}
	}
}

// ownAnswer reads answers up to the first one with an id, as a pool does: after one to another request,
// the connection may have ended. It also returns the statuses of the heads that are valid.
func (r *strictReader) ownAnswer(id string, isHead bool) (a strictAnswer, v verdict, heads []int) {
	for {
		a, v := r.answer(isHead)
		if a.isHeadValid && a.status >= 200 {
			heads = append(heads, a.status)
		}
		ids := a.fields["Id"]
		switch {
		case v != valid || len(ids) > 0 && ids[0] == id:
			return a, v, heads
		case a.endsConnection || a.minorVersion == 0 || closes(a.fields["Connection"]):
			return a, incomplete, heads
		}
	}
}

// closes reports whether a connection is closed after an answer with these values of Connection.
func closes(connection []string) bool {
	for option := range strings.SplitSeq(strings.Join(connection, ","), ",") {
		if strings.EqualFold(strings.Trim(option, " \t"), "close") {
			return true
		}
	}
	return false
}

// anyAnswer reads the next answer.
func (r *strictReader) anyAnswer(isHead bool) (strictAnswer, verdict) {
	line, v := r.line()
	if v != valid {
		return strictAnswer{}, v
	}
	m := statusLine.FindStringSubmatch(line)
	if m == nil {
		return strictAnswer{}, invalid
	}
	a := strictAnswer{}
	a.minorVersion, _ = strconv.Atoi(m[1])
	a.status, _ = strconv.Atoi(m[2])
	if a.status < 100 || a.status == 101 {
		return a, invalid
	}
	if a.fields, v = r.fields(); v != valid {
		return a, v
	}
	codings, lengths := a.fields["Transfer-Encoding"], a.fields["Content-Length"]
	length := -1
	for _, text := range lengths {
		if !digits.MatchString(text) || text != lengths[0] {
			return a, invalid
		}
		length, _ = strconv.Atoi(text)
	}
	isChunked := len(codings) > 0
	if isChunked && (len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") || length >= 0 || a.minorVersion == 0) {
		return a, invalid
	}
	hasNoContent := a.status < 200 || a.status == 204
	if hasNoContent && (isChunked || length > 0) {
		return a, invalid
	}
	a.isHeadValid = true
	switch {
	case hasNoContent || a.status == 304 || isHead:
	case isChunked:
		a.body, v = r.chunks()
	case length >= 0:
		a.body, v = r.bytes(length)
	default:
		a.body, r.rest, a.endsConnection = r.rest, "", true
	}
	return a, v
}

// chunks reads chunks and trailers.
func (r *strictReader) chunks() (string, verdict) {
	body := ""
	for {
		line, v := r.line()
		if v != valid {
			return "", v
		}
		m := chunkSize.FindStringSubmatch(line)
		if m == nil {
			return "", invalid
		}
		size, _ := strconv.ParseInt(m[1], 16, 64)
		if size == 0 {
			_, v := r.fields()
			return body, v
		}
		data, v := r.bytes(int(size))
		if v != valid {
			return "", v
		}
		body += data
		end, v := r.line()
		switch {
		case v != valid:
			return "", v
		case end != "\r\n":
			return "", invalid
		}
	}
}
