package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// hasBody reports whether an answer has a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// TestStatusWithoutNameBecomes200: answers of known length and streams keep any status, and are
// framed so that the connection can be used again.
func TestStatusWithoutNameBecomes200(t *testing.T) {
	s := startServer(t, Config{}, func(w http.ResponseWriter, r *http.Request) {
		kind, text, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		status, err := strconv.Atoi(text)
		if err != nil {
			t.Error(err)
		}
		w.Header().Set("X-Own", text)
		if kind == "plain" {
			body := ""
			if hasBody(r.Method, status) {
				body = "body"
			}
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			WriteHeader(w, status)
			_, _ = io.WriteString(w, body)
			return
		}
		stream, err := StartStream(w, r, status)
		if err != nil {
			t.Error(err)
		}
		if hasBody(r.Method, status) {
			_, _ = io.WriteString(stream, "body")
		}
		stream.End(time.Second)
	})
	for _, kind := range []string{"plain", "stream"} {
		for _, protocol := range []string{"1.1", "1.0"} {
			for _, method := range []string{http.MethodGet, http.MethodHead} {
				t.Run(fmt.Sprint(kind, " ", protocol, " ", method), func(t *testing.T) {
					var conn net.Conn
					var reader *bufio.Reader
					for _, status := range []int{200, 299, 204, 304, 404, 499, 500, 520, 600, 999, 200} {
						if conn == nil {
							var err error
							if conn, err = net.Dial("tcp", s.Address()); err != nil {
								t.Fatal(err)
							}
							defer conn.Close()
							_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
							reader = bufio.NewReader(conn)
						}
						fmt.Fprintf(conn, "%s /%s/%d HTTP/%s\r\nHost: a\r\nConnection: keep-alive\r\n\r\n", method, kind, status, protocol)
						resp, err := http.ReadResponse(reader, &http.Request{Method: method})
						if err != nil {
							t.Fatalf("status %d: %v", status, err)
						}
						body, err := io.ReadAll(resp.Body)
						want := ""
						if hasBody(method, status) {
							want = "body"
						}
						if resp.StatusCode != status || string(body) != want || err != nil || resp.Header.Get("X-Own") != strconv.Itoa(status) || reader.Buffered() > 0 {
							t.Errorf("status %d: got %s, %q, error %v, headers %v, %d bytes after it", status, resp.Status, body, err, resp.Header, reader.Buffered())
						}
						if resp.Close {
							conn = nil
						}
					}
				})
			}
		}
	}
}

// TestStatusOutsideOfRangeBecomes200: what is no status is an error of this process.
func TestStatusOutsideOfRangeBecomes200(t *testing.T) {
	for _, status := range []int{-1, 0, 99, 1000} {
		for name, answer := range map[string]http.HandlerFunc{
			"plain": func(w http.ResponseWriter, _ *http.Request) { WriteHeader(w, status) },
			"stream": func(w http.ResponseWriter, r *http.Request) {
				if stream, err := StartStream(w, r, status); err == nil {
					stream.End(time.Second)
				}
			},
		} {
			s := startServer(t, Config{}, answer)
			for _, protocol := range []string{"1.1", "1.0"} {
				conn, err := net.Dial("tcp", s.Address())
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
				fmt.Fprintf(conn, "GET / HTTP/%s\r\nHost: a\r\n\r\n", protocol)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil || resp.StatusCode != http.StatusInternalServerError {
					t.Errorf("status %d, %s, HTTP/%s: got %+v, %v", status, name, protocol, resp, err)
				}
			}
		}
	}
}
