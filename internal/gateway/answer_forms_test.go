package gateway

import (
	"fmt"
	"slices"
	"strings"
)

// usualAnswer is an answer in its usual form.
type usualAnswer struct {
	status  string
	fields  []string
	framing string
	body    string
}

// encode returns the answer's bytes.
func (h usualAnswer) encode() string {
	head := "HTTP/1.1 " + h.status + "\r\n" + strings.Join(h.fields, "\r\n") + "\r\n"
	switch h.framing {
	case byLength:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(h.body), h.body)
	case byChunks:
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(h.body), h.body)
	}
	return head + "\r\n" + h.body
}

// answerForm is an unusual form of an answer.
type answerForm struct {
	name string
	// framing is the only one to which the case applies, empty if it applies to each.
	framing string
	// closes is set if the server closes the connection after the answer. It does so in any case
	// after one without framing.
	closes bool
	// encode returns the bytes of the answer.
	encode func(h usualAnswer) string
}

// withReplaced returns the answer with a part of its bytes replaced.
func withReplaced(old, replacement string) func(usualAnswer) string {
	return func(h usualAnswer) string { return strings.Replace(h.encode(), old, replacement, 1) }
}

// withLine returns the answer with a line before its first field.
func withLine(line string) func(usualAnswer) string {
	return func(h usualAnswer) string {
		h.fields = append([]string{line}, h.fields...)
		return h.encode()
	}
}

// after returns the answer after other bytes.
func after(bytes string) func(usualAnswer) string {
	return func(h usualAnswer) string { return bytes + h.encode() }
}

// Framings of answers.
const (
	byLength = "length"
	byChunks = "chunks"
	unframed = "none"
)

// otherAnswer is a broken answer to another request.
const otherAnswer = "HTTP/1.1 200 OK\r\nColtsfootpath-Request-Id: other\r\nServer-Leaving: 1\r\nX Note: v\r\nContent-Length: 1\r\n\r\nx"

// invalidAnswers are answers whose heads, chunks or trailers RFC 9112 does not allow.
var invalidAnswers = []answerForm{
	{"blank after a name", "", false, withLine("X-Note : v")},
	{"blank in a name", "", false, withLine("X Note: v")},
	{"tab in a name", "", false, withLine("X\tNote: v")},
	{"control byte in a name", "", false, withLine("X\x01Note: v")},
	{"delete byte in a name", "", false, withLine("X\x7fNote: v")},
	{"separator in a name", "", false, withLine("X(Note): v")},
	{"letter outside ASCII in a name", "", false, withLine("X\xe9Note: v")},
	{"no name", "", false, withLine(": v")},
	{"no colon", "", false, withLine("garbage")},
	{"control byte in a value", "", false, withLine("X-Note: a\x00b")},
	{"line that begins with a blank", "", false, withReplaced("X-Own: own\r\n", "X-Own: own\r\n Content-Note: v\r\n")},
	{"first line that begins with a blank", "", false, withLine(" X-Note: v")},
	{"line that ends without CR", "", false, withReplaced("X-Own: own\r\n", "X-Own: own\nContent-Note: v\r\n")},
	{"line that ends with two CR", "", false, withLine("X-Note: v\r")},
	{"blank after the name of the seal", "", false, withLine("Coltsfootpath-Engine-Seal : seal")},
	{"blank after Content-Length", byLength, true, withReplaced("Content-Length:", "Content-Length :")},
	{"blank in Content-Length", byLength, true, withReplaced("Content-Length:", "Content Length:")},
	{"blank before Content-Length", byLength, true, withReplaced("Content-Length:", " Content-Length:")},
	{"blank after Transfer-Encoding", byChunks, true, withReplaced("Transfer-Encoding:", "Transfer-Encoding :")},
	{"blank before Transfer-Encoding", byChunks, true, withReplaced("Transfer-Encoding:", "\tTransfer-Encoding:")},
	{"blank after Transfer-Encoding beside a length", byLength, false, withLine("Transfer-Encoding : chunked")},

	{"two blanks before the status", "", false, withReplaced("HTTP/1.1 ", "HTTP/1.1  ")},
	{"tab before the status", "", false, withReplaced("HTTP/1.1 ", "HTTP/1.1\t")},
	{"control byte in the reason", "", false, withReplaced(" OK\r\n", " O\x01K\r\n")},
	{"CR in the reason", "", false, withReplaced(" OK\r\n", " O\rK\r\n")},
	{"status 000", "", false, withReplaced("HTTP/1.1 ", "HTTP/1.1 000 None\r\nX-Note: v\r\n\r\nHTTP/1.1 ")},
	{"status line that ends without CR", "", false, withReplaced(" OK\r\n", " OK\n")},
	{"HTTP/2.0", "", false, withReplaced("HTTP/1.1", "HTTP/2.0")},
	{"HTTP/0.9", "", true, withReplaced("HTTP/1.1", "HTTP/0.9")},
	{"HTTP/1.11", "", false, withReplaced("HTTP/1.1", "HTTP/1.11")},
	{"switch of protocols", "", false, after("HTTP/1.1 101 Switching Protocols\r\n\r\n")},

	{"length beside chunks", byChunks, false, withLine("Content-Length: 4")},
	{"chunks in HTTP/1.0", byChunks, true, withReplaced("HTTP/1.1", "HTTP/1.0")},
	{"chunks twice", byChunks, false, withLine("Transfer-Encoding: chunked")},
	{"unknown coding", byChunks, false, withReplaced("Transfer-Encoding: chunked", "Transfer-Encoding: gzip, chunked")},
	{"identity coding", byLength, false, withLine("Transfer-Encoding: identity")},
	{"two lengths", byLength, false, withLine("Content-Length: 4")},
	{"signed length", byLength, false, withReplaced("Content-Length: ", "Content-Length: +")},
	{"empty length", unframed, false, withLine("Content-Length:")},
	{"length beside 204", "", false, after("HTTP/1.1 204 None\r\nColtsfootpath-Request-Id: other\r\nContent-Length: 4\r\n\r\nbody")},

	{"blank after a chunk size", byChunks, false, withReplaced("\r\n\r\n", "\r\n\r\n1 \r\nx\r\n")},
	{"signed chunk size", byChunks, false, withReplaced("\r\n\r\n", "\r\n\r\n+1\r\nx\r\n")},
	{"control byte in a chunk extension", byChunks, false, withReplaced("\r\n\r\n", "\r\n\r\n1;a\x01\r\nx\r\n")},
	{"chunk line that ends without CR", byChunks, false, withReplaced("\r\n\r\n", "\r\n\r\n1\nx\r\n")},
	{"chunk longer than its size", byChunks, false, withReplaced("\r\n\r\n", "\r\n\r\n1\r\nxy\r\n")},
	{"blank in the name of a trailer", byChunks, false, withReplaced("\r\n0\r\n", "\r\n0\r\nX Note: v\r\n")},
	{"blank after the name of a trailer", byChunks, false, withReplaced("\r\n0\r\n", "\r\n0\r\nX-Note : v\r\n")},
	{"control byte in a trailer", byChunks, false, withReplaced("\r\n0\r\n", "\r\n0\r\nX-Note: a\x01\r\n")},
	{"trailer without a colon", byChunks, false, withReplaced("\r\n0\r\n", "\r\n0\r\ngarbage\r\n")},
	{"trailer that begins with a blank", byChunks, false, withReplaced("\r\n0\r\n", "\r\n0\r\nX-Note: v\r\n w: x\r\n")},

	{"blank in an interim answer", "", false, after("HTTP/1.1 103 Early Hints\r\nX Note: v\r\n\r\n")},
	{"interim answer with a length", "", false, after("HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\nbody")},
	{"interim answer with chunks", "", false, after("HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")},
	{"interim answer without CR", "", false, after("HTTP/1.1 100 Continue\n\n")},
	{"blank in the answer to another request", "", false, after(otherAnswer)},
}

// invalidLines are lines that are no fields.
var invalidLines = []struct{ name, line string }{
	{"blank before a name", " X-Note: v"},
	{"blank in a name", "X Note: v"},
	{"blank after a name", "X-Note : v"},
	{"tab after a name", "X-Note\t: v"},
	{"control byte before a name", "\x01X-Note: v"},
	{"control byte in a name", "X\x01Note: v"},
	{"control byte after a name", "X-Note\x01: v"},
	{"control byte in a value", "X-Note: a\x01"},
	{"no name", ": v"},
	{"no colon", "garbage"},
	{"continued line", "X-Note: v\r\n w"},
	{"line that ends without CR", "X-Note: v\nX-Other: w"},
}

// allInvalidAnswers returns invalidAnswers, and answers with each of invalidLines in the head, in
// that of an interim answer or of an answer to another request, and in the trailers.
func allInvalidAnswers() []answerForm {
	forms := slices.Clone(invalidAnswers)
	for _, l := range invalidLines {
		forms = append(forms,
			answerForm{l.name + ", head", "", false, withLine(l.line)},
			answerForm{l.name + ", last line of the head", "", false, func(a usualAnswer) string {
				return strings.Replace(a.encode(), "\r\n\r\n", "\r\n"+l.line+"\r\n\r\n", 1)
			}},
			answerForm{l.name + ", interim answer", "", false, after("HTTP/1.1 103 Early Hints\r\n" + l.line + "\r\n\r\n")},
			answerForm{l.name + ", answer to another request", "", false, after("HTTP/1.1 200 OK\r\nColtsfootpath-Request-Id: other\r\nServer-Leaving: 1\r\n" + l.line + "\r\nContent-Length: 1\r\n\r\nx")},
			answerForm{l.name + ", trailer", byChunks, false, withReplaced("\r\n0\r\n", "\r\n0\r\n"+l.line+"\r\n")},
		)
	}
	return forms
}

// validAnswers are answers that RFC 9112 allows.
var validAnswers = []answerForm{
	{"usual", "", false, usualAnswer.encode},
	{"no reason", "", false, withReplaced(" OK\r\n", "\r\n")},
	{"empty reason", "", false, withReplaced(" OK\r\n", " \r\n")},
	{"bytes outside ASCII", "", false, withReplaced(" OK\r\n", " \xe9\r\n")},
	{"later minor version", "", false, withReplaced("HTTP/1.1", "HTTP/1.9")},
	{"HTTP/1.0", unframed, false, withReplaced("HTTP/1.1", "HTTP/1.0")},
	{"unusual name", "", false, withLine("X!#$%&'*+-.^_`|~: v")},
	{"no blank before a value", "", false, withLine("x-note:v")},
	{"blanks around a value", "", false, withLine("X-Note: \t v\t ")},
	{"empty value", "", false, withLine("X-Note:")},
	{"length twice", byLength, false, func(h usualAnswer) string { return withLine(fmt.Sprint("Content-Length: ", len(h.body)))(h) }},
	{"name of the coding in capitals", byChunks, false, withReplaced("Transfer-Encoding: chunked", "TRANSFER-ENCODING:CHUNKED")},
	{"chunk extensions", byChunks, false, withReplaced("\r\n0\r\n", "\r\n00;a;b=c;d=\"e \xe9\"\r\n")},
	{"trailers", byChunks, false, withReplaced("\r\n0\r\n", "\r\n0\r\nX-Note: v\r\nContent-Length: 1\r\n")},
	{"interim answers", "", false, after("HTTP/1.1 100\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Note: v\r\n\r\n")},
	{"answers to other requests", "", false, after("HTTP/1.1 204 None\r\nColtsfootpath-Request-Id: other\r\nContent-Length: 0\r\n\r\nHTTP/1.1 304 None\r\nColtsfootpath-Request-Id: other\r\nContent-Length: 4\r\n\r\n")},
}

// isHeadInvalid reports whether the head of the answer is broken, not what follows it.
func (c answerForm) isHeadInvalid() bool {
	return !strings.Contains(c.name, "chunk ") && !strings.Contains(c.name, "trailer")
}
