package http1_test

import (
	"fmt"
	"slices"
	"strings"

	"pgregory.net/rapid"
)

// pick draws one of the valid items, or now and then one of the others.
func pick(t *rapid.T, label string, valid, others []string) string {
	if len(others) > 0 && rapid.IntRange(0, 19).Draw(t, "break "+label) == 13 {
		valid = others
	}
	return rapid.SampledFrom(valid).Draw(t, label)
}

// drawAnswer draws an answer that is mostly valid.
func drawAnswer(t *rapid.T, id string, isInterim bool) string {
	version := pick(t, "version", []string{"HTTP/1.1", "HTTP/1.1", "HTTP/1.0", "HTTP/1.2"}, []string{"HTTP/2.0", "HTTP/1.", "http/1.1", "HTTP/0.9", "HTTP/1.11"})
	status := pick(t, "status", []string{" 200 OK", " 404 Not Found", " 503 ", " 204 No Content", " 304 Not Modified", " 599", " 200 \xe9\t"},
		[]string{"  200 OK", "\t200 OK", " 20 OK", " 2000 OK", " 200OK", " +20 OK", " 000 OK", " 200 O\x01K", " 200\tOK"})
	if isInterim {
		status = pick(t, "interim", []string{" 103 Early Hints", " 100 Continue", " 100"}, []string{" 101 Switching Protocols", " 1000", " 99 None"})
	}
	var lines []string
	if id != "" {
		lines = append(lines, "Id: "+id)
	}
	for range rapid.IntRange(0, 3).Draw(t, "fields") {
		lines = append(lines, pick(t, "field", []string{"X-Note: v", "x-note:w", "X-Note: \t a b\t", "Server-Leaving: 1", "X-Empty:", "X!#$%&'*+-.^_`|~: v", "X-Text: \xe9\"(;:", "Keep-Alive: timeout=5", "Connection: close, X-Note", "connection:x-note", "Pragma: no-cache", "Cache-Control: no-cache"},
			[]string{"X-Note : v", "X Note: v", "X\tNote: v", "X\x01: v", "\xe9: v", "X-Note: a\x00b", "X-Note: a\x7fb", " folded", "\tX-Fold: v", ": v", "garbage", "X(: v", "Id : a"}))
	}
	body := rapid.SampledFrom([]string{"body", "", "id: 1\ndata: x\n\n", "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"}).Draw(t, "body")
	hasNoContent := isInterim || strings.HasPrefix(status, " 204") || strings.HasPrefix(status, " 304")
	content := body
	switch framing := rapid.IntRange(0, 9).Draw(t, "framing"); {
	case hasNoContent && framing < 8:
		content = ""
	case framing < 4:
		lines = append(lines, pick(t, "length", []string{"Content-Length: ", "content-length:", "Content-Length: 00"}, []string{"Content-Length : ", " Content-Length: ", "Content-Length: +", "Content-Length: 0x", "Content-Length:\x01"})+fmt.Sprint(len(body)))
	case framing < 8:
		if version == "HTTP/1.0" {
			version = pick(t, "version with a coding", []string{"HTTP/1.1"}, []string{"HTTP/1.0"})
		}
		lines = append(lines, pick(t, "coding", []string{"Transfer-Encoding: chunked", "transfer-encoding:CHUNKED\t"}, []string{"Transfer-Encoding : chunked", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: identity", "Transfer-Encoding:", " Transfer-Encoding: chunked"}))
		content = drawChunks(t, body)
	case framing == 8:
		lines = append(lines, fmt.Sprint("Content-Length: ", len(body)), pick(t, "second", []string{fmt.Sprint("content-length:", len(body))}, []string{"Content-Length: 5", "Transfer-Encoding: chunked", fmt.Sprint("Content-Length: 0", len(body))}))
	}
	if rapid.Bool().Draw(t, "reversed") {
		slices.Reverse(lines)
	}
	head := version + status + "\r\n"
	for _, line := range lines {
		head += line + "\r\n"
	}
	return head + "\r\n" + content
}

// lineEnds end a line, validly or not.
var lineEnds = [][]string{{"\r\n"}, {"\n", "\r\r\n", "\r", ""}}

func drawChunks(t *rapid.T, body string) string {
	out := ""
	for body != "" {
		n := rapid.IntRange(1, len(body)).Draw(t, "chunk")
		out += fmt.Sprintf("%x", n) + pick(t, "extension", []string{"", ";a", ";a=b;c=\"d \\\" e\""}, []string{" ", ";", ";a\x01", ";a=\"b", ";a b", "; a", " ;a", ";a=", "x"}) + pick(t, "line end", lineEnds[0], lineEnds[1])
		out += body[:n] + pick(t, "chunk end", lineEnds[0], append(lineEnds[1], "x\r\n"))
		body = body[n:]
	}
	out += pick(t, "last", []string{"0", "000", "0;a"}, []string{"0 ", "+0", "", "0x0"}) + "\r\n"
	for range rapid.IntRange(0, 2).Draw(t, "trailers") {
		out += pick(t, "trailer", []string{"X-Note: v", "X-Note:", "Content-Length: 4"}, []string{"X Note: v", "X-Note : v", "X\x01: v", "X-Note: \x01", "garbage", " folded"}) + "\r\n"
	}
	return out + pick(t, "end", lineEnds[0], lineEnds[1])
}

// drawStream draws the bytes of a connection: interim answers, answers to other requests, the answer
// and what follows it, cut off or with a byte changed now and then.
func drawStream(t *rapid.T) string {
	stream := ""
	for range rapid.IntRange(0, 3).Draw(t, "before") / 2 {
		stream += drawAnswer(t, "", true)
	}
	for range rapid.IntRange(0, 3).Draw(t, "others") / 3 {
		stream += drawAnswer(t, "other", false)
	}
	stream += drawAnswer(t, ownID, false)
	stream += rapid.SampledFrom([]string{"", "", "x", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\ny", "\r\n\r\n", "garbage\r\n"}).Draw(t, "after")
	switch at := rapid.IntRange(0, len(stream)-1).Draw(t, "place"); rapid.IntRange(0, 9).Draw(t, "change") {
	case 5:
		replacement := rapid.SampledFrom([]string{"", " ", "\t", "\r", "\n", "\x00", ":", "\x7f", "\x80", ";", "\"", "0", "\r\n", "\r\n\r\n"}).Draw(t, "replacement")
		stream = stream[:at] + replacement + stream[at+rapid.IntRange(0, 1).Draw(t, "removed"):]
	case 6:
		stream = stream[:at]
	}
	return stream
}

// drawPieces splits a stream into the pieces in which it arrives.
func drawPieces(t *rapid.T, stream string) []string {
	var pieces []string
	for range rapid.IntRange(0, 4).Draw(t, "splits") {
		if len(stream) > 1 {
			n := rapid.IntRange(1, len(stream)-1).Draw(t, "split")
			pieces, stream = append(pieces, stream[:n]), stream[n:]
		}
	}
	if stream != "" {
		pieces = append(pieces, stream)
	}
	return pieces
}
