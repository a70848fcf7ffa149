package httpserver

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestBytesFollowHeadOfStream: the answer to a HEAD request has no body, not even an empty one in
// chunks, which the caller would take for the next answer.
func TestBytesFollowHeadOfStream(t *testing.T) {
	s := startServer(t, Config{}, func(w http.ResponseWriter, r *http.Request) {
		stream, err := StartStream(w, r, http.StatusOK)
		if err != nil {
			t.Error(err)
		}
		_, _ = stream.Write([]byte("body"))
		stream.End(time.Second)
	})
	for _, protocol := range []string{"1.1", "1.0"} {
		conn, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		reader := bufio.NewReader(conn)
		for range 3 {
			fmt.Fprintf(conn, "HEAD / HTTP/%s\r\nHost: a\r\nConnection: keep-alive\r\n\r\n", protocol)
			resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodHead})
			if err != nil {
				t.Fatalf("HTTP/%s: %v", protocol, err)
			}
			if resp.StatusCode != http.StatusOK || reader.Buffered() > 0 {
				t.Errorf("HTTP/%s: %s, %d bytes after the head", protocol, resp.Status, reader.Buffered())
			}
			if resp.Close {
				break
			}
		}
	}
}
