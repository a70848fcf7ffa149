package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// statusServer is a backend server that answers with the status in the path of a request, in
// the framing there, and with its seal.
type statusServer struct {
	id   string
	mu   sync.Mutex
	runs map[string]int
}

var statusPath = regexp.MustCompile(`/(\d{3})-(\w+)-`)

func (f *fixture) addStatusServer(id string) *statusServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	s := &statusServer{id: id, runs: map[string]int{}}
	f.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	entry := platformtest.NewServer(id, nil)
	f.store.Put(platform.ServersTopic, id, entry.RegistrationAt(listener.Addr().String(), "s", "zone-a", "ready"))
	entry.Close()
	return s
}

func (s *statusServer) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Coltsfootpath-Request-Id")
		parts := statusPath.FindStringSubmatch(r.URL.Path)
		if id == "" || parts == nil {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			continue
		}
		s.mu.Lock()
		s.runs[id]++
		s.mu.Unlock()
		status, framing := parts[1], parts[2]
		body := statusBody(r.Method, r.URL.Path, status)
		head := fmt.Sprintf("HTTP/1.1 %s Own\r\nColtsfootpath-Request-Id: %s\r\nColtsfootpath-Engine-Seal: seal\r\nX-Own: own\r\n", status, id)
		switch framing {
		case "length":
			if status != "204" && status != "304" {
				head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
			}
			fmt.Fprintf(c, "%s\r\n%s", head, body)
		case "close":
			fmt.Fprintf(c, "%s\r\n%s", head, body)
			return
		case "headonly":
			fmt.Fprintf(c, "%s\r\n", head)
		case "answer":
			fmt.Fprintf(c, "%sContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nColtsfootpath-Request-Id: %s\r\nColtsfootpath-Engine-Seal: seal\r\nContent-Length: 4\r\n\r\nbody", head, id)
		}
	}
}

// statusBody returns the body of an answer, empty if it has none.
func statusBody(method, path, status string) string {
	switch {
	case method == http.MethodHead || status == "204" || status == "304":
		return ""
	case strings.Contains(path, "stream") && status[0] == '2':
		return eventText(1, platformtest.EventCount)
	}
	return "body of " + status
}

func (s *statusServer) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// statusTrial sends requests to a node with statusServers.
type statusTrial struct {
	*fixture
	servers []*statusServer
	node    *Node
	sent    int
}

func newStatusTrial(t *testing.T) *statusTrial {
	s := &statusTrial{fixture: newFixture(t)}
	for _, id := range []string{"s-1", "s-2"} {
		s.servers = append(s.servers, s.addStatusServer(id))
	}
	s.node = s.startNode("vm-1", len(s.servers))
	settings := s.node.settings
	settings.RetrySlack = 10_000
	s.node.Reload(settings)
	return s
}

// send sends a request on a new connection, and another one on the same if it is kept. It returns
// the answers, and how often servers have run each request.
func (s *statusTrial) send(caller rawCaller, method, path, status, framing string) (replies []reply, runs []int) {
	conn, err := net.Dial("tcp", s.node.settings.CallerAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	reader := bufio.NewReader(conn)
	for range 2 {
		s.sent++
		id := fmt.Sprint("id-", s.sent)
		fmt.Fprintf(conn, "%s %s%s-%s-%s HTTP/%s\r\nHost: a.example\r\nAuthorization: Bearer key-w\r\nColtsfootpath-Request-Id: %s\r\nColtsfootpath-Deadline-Ms: 1000\r\nConnection: %s\r\nContent-Length: 0\r\n\r\n",
			method, path, status, framing, id, caller.protocol, id, caller.connection)
		resp, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return append(replies, reply{err: err}), append(runs, s.runsOf(id))
		}
		body, err := io.ReadAll(resp.Body)
		replies, runs = append(replies, reply{resp.StatusCode, resp.Header, string(body), err}), append(runs, s.runsOf(id))
		if resp.Close {
			break
		}
	}
	if n := reader.Buffered(); n > 0 {
		s.t.Errorf("%s %s %s: %d bytes after the answer with status %s", caller.name, method, path, n, status)
	}
	return replies, runs
}

func (s *statusTrial) runsOf(id string) (runs int) {
	for _, server := range s.servers {
		runs += server.runsOf(id)
	}
	return runs
}

// TestStatusOfServerIsReplaced: callers get any status of a server with its headers and body,
// after as many runs as for one that has a name.
func TestStatusOfServerIsReplaced(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"200", "299", "204", "304", "399", "499", "500", "520", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			s := newStatusTrial(t)
			for _, path := range []string{"/once/", "/again/", "/stream/", "/fixedstream/"} {
				for _, method := range []string{http.MethodPost, http.MethodHead} {
					for _, caller := range rawCallers {
						wantRuns := 1
						if code, _ := strconv.Atoi(status); code >= 500 && (path == "/again/" || path == "/stream/") {
							wantRuns = 2
						}
						replies, runs := s.send(caller, method, path, status, "length")
						for i, got := range replies {
							want := statusBody(method, path, status)
							if fmt.Sprint(got.status) != status || got.err != nil || got.body != want || got.header.Get("X-Own") != "own" || got.header.Get("Coltsfootpath-Engine-Seal") != "seal" || runs[i] != wantRuns {
								t.Errorf("%s %s %s: got %+v after %d runs, want status %s, %q after %d", caller.name, method, path, got, runs[i], status, want, wantRuns)
							}
						}
					}
				}
			}
		})
	}
}

// TestStatusBelow100IsForwarded: no status below 100 reaches a caller, nor a success that follows
// it on the connection.
func TestStatusBelow100IsForwarded(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "099"} {
		for _, framing := range []string{"length", "close", "headonly", "answer"} {
			t.Run(status+" "+framing, func(t *testing.T) {
				t.Parallel()
				s := newStatusTrial(t)
				for _, path := range []string{"/once/", "/again/", "/stream/", "/fixedstream/"} {
					for _, caller := range rawCallers {
						replies, runs := s.send(caller, http.MethodPost, path, status, framing)
						for i, got := range replies {
							if got.err == nil && (got.status < http.StatusInternalServerError || got.header.Get("Coltsfootpath-Engine-Seal") != "") {
								t.Errorf("%s %s: got %+v", caller.name, path, got)
							}
							if wasOnce := path == "/once/" || path == "/fixedstream/"; wasOnce && runs[i] > 1 {
								t.Errorf("%s %s: %d runs", caller.name, path, runs[i])
							}
						}
					}
				}
			})
		}
	}
}
