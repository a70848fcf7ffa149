package gateway

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

const (
	// maxTakenBytes bounds the bytes of a request that are taken: twice the largest body, in
	// chunks of one byte with six on the wire, and what the kernel buffers.
	maxTakenBytes = 6*2*defaultMaxBodyBytes + 16<<20
	// maxParseTime bounds the time for that on a busy machine.
	maxParseTime = 2 * time.Minute
)

// TestRequestHasNoEnd: callers send bytes without end; they are rejected because of their
// number and not of the time, their connections are closed, and nothing reaches a server.
func TestRequestHasNoEnd(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	s := f.addServer("s-1", nil)
	n := f.startNode("vm-1", 1)
	const head = "POST /once/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-w\r\nColtsfootpath-Request-Id: id-1\r\nColtsfootpath-Deadline-Ms: 2500\r\n"
	for name, request := range map[string]struct {
		start, unit string
		status      string
	}{
		"garbage":         {"", "x", "400"},
		"request line":    {"POST /once/", "x", "431"},
		"head line":       {head + "X: ", "x", "431"},
		"head lines":      {head, "X: y\r\n", "431"},
		"chunks":          {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", "413"},
		"length":          {head + "Content-Length: 1000000000000\r\n\r\n", "x", "413"},
		"chunk extension": {head + "Transfer-Encoding: chunked\r\n\r\n1;", "x", "4"},
		"trailers":        {head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X: y\r\n", "4"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", n.settings.CallerAddress)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			reply := make(chan string, 1)
			go func() {
				text, _ := io.ReadAll(c)
				reply <- string(text)
			}()
			_ = c.SetDeadline(time.Now().Add(maxParseTime))
			_, err = io.WriteString(c, request.start)
			block := strings.Repeat(request.unit, 1+(32<<10)/len(request.unit))
			sent := 0
			for err == nil && sent <= maxTakenBytes {
				_, err = io.WriteString(c, block)
				sent += len(block)
			}
			if err == nil {
				t.Errorf("%d bytes were taken", sent)
			}
			if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
				t.Errorf("the connection stays open: %v", err)
			}
			// The answer is lost if the connection is reset.
			if text := <-reply; text != "" && !strings.HasPrefix(text, "HTTP/1.1 "+request.status) {
				t.Errorf("answer %q, want status %s", text, request.status)
			}
		})
	}
	t.Cleanup(func() {
		if runs := s.Runs(); len(runs) > 0 {
			t.Errorf("the server ran %+v", runs)
		}
	})
}

// TestRejectionsHaveFewLogLines: requests that are rejected for what callers send fill neither
// the log nor the memory.
func TestRejectionsHaveFewLogLines(t *testing.T) {
	var l lineLimit
	now := time.Unix(100, 0)
	lines := 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		if l.allow(now) {
			lines++
		}
	}
	if lines < maxRejectionLines || lines > 11*maxRejectionLines {
		t.Errorf("%d lines in 10 s", lines)
	}
}
