// Package http1test provides answers that RFC 9112 does not allow, for the tests of clients.
package http1test

import (
	"fmt"
	"strings"
)

// InvalidAnswers returns answers with the given status and body that are broken, each in another
// way. The connection is to be closed after them.
func InvalidAnswers(status int, body string) map[string]string {
	statusLine := fmt.Sprintf("HTTP/1.1 %d Status\r\n", status)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	const coding = "Transfer-Encoding: chunked\r\n"
	chunks := func(sizeEnd, trailer string) string {
		return fmt.Sprintf("\r\n%x%s\r\n%s\r\n0\r\n%s\r\n", len(body), sizeEnd, body, trailer)
	}
	whole := statusLine + length + "\r\n" + body
	return map[string]string{
		"blank in a name":              statusLine + "X Note: v\r\n" + length + "\r\n" + body,
		"blank after the length":       statusLine + strings.Replace(length, ":", " :", 1) + "\r\n" + body,
		"blank before the length":      statusLine + "X-Note: v\r\n " + length + "\r\n" + body,
		"blank after the coding":       statusLine + strings.Replace(coding, ":", " :", 1) + length + "\r\n" + body,
		"control byte in a name":       statusLine + "X\x01Note: v\r\n" + length + "\r\n" + body,
		"control byte in a value":      statusLine + "X-Note: \x01\r\n" + length + "\r\n" + body,
		"LF alone":                     statusLine + "X-Note: v\n" + length + "\r\n" + body,
		"other major version":          strings.Replace(whole, "HTTP/1.1", "HTTP/2.0", 1),
		"two blanks before the status": strings.Replace(whole, "HTTP/1.1 ", "HTTP/1.1  ", 1),
		"control byte in the reason":   strings.Replace(whole, "Status", "St\x01tus", 1),
		"coding beside a length":       statusLine + length + coding + chunks("", ""),
		"coding in HTTP/1.0":           strings.Replace(statusLine+coding+"\r\n"+body, "HTTP/1.1", "HTTP/1.0", 1),
		"blank after a chunk size":     statusLine + coding + chunks(" ", ""),
		"blank in a trailer":           statusLine + coding + chunks("", "X Note: v\r\n"),
		"blank in an interim answer":   "HTTP/1.1 103 Early Hints\r\nX Note: v\r\n\r\n" + whole,
		"switch of protocols":          "HTTP/1.1 101 Switching Protocols\r\n\r\n" + whole,
		"status 000":                   strings.Replace(whole, fmt.Sprintf(" %d ", status), " 000 ", 1),
	}
}
