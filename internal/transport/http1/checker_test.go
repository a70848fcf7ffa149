package http1_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/transport/http1"
)

const (
	ok      = "HTTP/1.1 200 OK\r\n"
	chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
)

// accepted are answers that are unusual and valid, invalidAnswers some that are not.
var (
	accepted = map[string]string{
		"no blank after the status":    "HTTP/1.1 200\r\n\r\n",
		"empty reason":                 "HTTP/1.1 200 \r\n\r\n",
		"bytes outside ASCII":          "HTTP/1.1 200 \xe9\r\nX: \xff\r\n\r\n",
		"later minor version":          "HTTP/1.9 200 OK\r\n\r\n",
		"status without a name":        "HTTP/1.1 999 \r\n\r\n",
		"all token characters":         ok + "!#$%&'*+-.^_`|~09azAZ:\r\n\r\n",
		"tabs around a value":          ok + "X:\t a\tb \t\r\n\r\n",
		"the same length twice":        ok + "Content-Length: 1\r\ncontent-length:1\r\n\r\nx",
		"length 0 beside 204":          "HTTP/1.1 204 None\r\nContent-Length: 0\r\n\r\n" + ok + "\r\n",
		"length beside 304":            "HTTP/1.1 304 None\r\nContent-Length: 5\r\n\r\n" + ok + "\r\n",
		"coding in another case":       ok + "transfer-ENCODING:CHUNKED\t\r\n\r\n00A;x\r\n0123456789\r\n0\r\n\r\n",
		"chunk extensions":             chunked + "1;a;b=c;d=\"e\\\" ;\xe9\"\r\nx\r\n0;f\r\n\r\n",
		"trailers":                     chunked + "0\r\nX: y\r\nContent-Length: 9\r\n\r\n",
		"answers one after the other":  ok + "Content-Length: 0\r\n\r\n" + chunked + "0\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n" + ok + "\r\n",
		"any bytes without a length":   ok + "\r\n\x00 garbage\n\n",
		"any bytes of a stated length": ok + "Content-Length: 3\r\n\r\n\x00\r\n" + ok + "\r\n",
	}
	invalidAnswers = map[string]string{
		"blank in a name":              ok + "X Y: z\r\n",
		"blank after a name":           ok + "X : z\r\n",
		"continued field":              ok + "X: y\r\n z\r\n",
		"LF alone":                     ok + "X: y\n",
		"LF alone at the end":          ok + "\n",
		"two CR":                       ok + "X: y\r\r\n",
		"two blanks before the status": "HTTP/1.1  200 OK\r\n",
		"tab after the status":         "HTTP/1.1 200\tOK\r\n",
		"control byte in the reason":   "HTTP/1.1 200 O\x00K\r\n",
		"other major version":          "HTTP/2.0 200 OK\r\n",
		"status 000":                   "HTTP/1.1 000 None\r\n",
		"status 101":                   "HTTP/1.1 101 Switching Protocols\r\n",
		"empty line before":            "\r\n",
		"coding and length":            ok + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n",
		"coding in HTTP/1.0":           "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"two codings":                  ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"length with a sign":           ok + "Content-Length: +1\r\n",
		"length in two forms":          ok + "Content-Length: 1\r\nContent-Length: 01\r\n",
		"length beside 204":            "HTTP/1.1 204 None\r\nContent-Length: 1\r\n\r\n",
		"coding beside 204":            "HTTP/1.1 204 None\r\nTransfer-Encoding: chunked\r\n\r\n",
		"length beside 103":            "HTTP/1.1 103 Hints\r\nContent-Length: 1\r\n\r\n",
		"blank after a chunk size":     chunked + "1 \r\n",
		"no chunk size":                chunked + "\r\n",
		"chunk size beyond 63 bits":    chunked + "8000000000000000\r\n",
		"empty chunk extension":        chunked + "1;\r\n",
		"open string in an extension":  chunked + "1;a=\"b\r\n",
		"control byte in an extension": chunked + "1;a=\"\x01\"\r\n",
		"data after a chunk":           chunked + "1\r\nxy\r\n",
		"blank in the name of trailer": chunked + "0\r\nX Y: z\r\n",
		"endless line":                 ok + "X: " + strings.Repeat("y", 100_000),
	}
)

// check checks a stream in pieces of the given size.
func check(stream string, size int) (valid int, err error) {
	var c http1.Checker
	for stream != "" && err == nil {
		n := 0
		piece := stream[:min(size, len(stream))]
		stream = stream[len(piece):]
		n, err = c.Check([]byte(piece))
		valid += n
	}
	return valid, err
}

func TestValidAnswerIsRejected(t *testing.T) {
	for name, stream := range accepted {
		for _, size := range []int{1, 2, 7, len(stream)} {
			if n, err := check(stream, size); err != nil || n != len(stream) {
				t.Errorf("%s, in pieces of %d bytes: %d of %d bytes are valid: %v", name, size, n, len(stream), err)
			}
		}
	}
}

// TestInvalidAnswerIsAccepted: no byte is accepted from the end of the first invalid line on.
func TestInvalidAnswerIsAccepted(t *testing.T) {
	for name, stream := range invalidAnswers {
		for _, size := range []int{1, 2, 7, len(stream)} {
			if n, err := check(stream+"x", size); !errors.Is(err, http1.ErrInvalid) || n >= len(stream) {
				t.Errorf("%s, in pieces of %d bytes: %d of %d bytes are valid: error %v, want ErrInvalid", name, size, n, len(stream), err)
			}
		}
	}
}

// TestHeadIsFollowedByContent: answers to HEAD requests state the framing of content that they
// don't have.
func TestHeadIsFollowedByContent(t *testing.T) {
	c := http1.Checker{NoContent: true}
	for _, framing := range []string{"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		if n, err := c.Check([]byte(ok + framing + "\r\n")); err != nil {
			t.Errorf("%q: %d bytes are valid: %v", framing, n, err)
		}
	}
}
