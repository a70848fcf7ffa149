package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
)

// rawServer answers requests without length or chunks as answer writes them. It resets
// connections beyond limit, if that is positive.
type rawServer struct {
	id     string
	l      net.Listener
	answer func(c net.Conn, r *http.Request)
	limit  int

	mu                      sync.Mutex
	conns                   map[net.Conn]bool
	accepted, requests      int
	reset, open, mostAtOnce int
}

func newRawServer(t testing.TB, id string) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{id: id, l: l, conns: map[net.Conn]bool{}}
	t.Cleanup(s.end)
	return s
}

func (s *rawServer) start() { go s.accept() }

func (s *rawServer) registration(state string) []byte {
	return fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"zone-a","version":"v1","slots":200,"state":%q,"born":1000,"seq":1}`, s.l.Addr(), state)
}

func (s *rawServer) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.accepted++
		if s.limit > 0 && s.open >= s.limit {
			s.reset++
			s.mu.Unlock()
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			continue
		}
		s.open++
		s.mostAtOnce = max(s.mostAtOnce, s.open)
		s.conns[c] = true
		s.mu.Unlock()
		go func() {
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				s.mu.Lock()
				s.requests++
				s.mu.Unlock()
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nColtsfootpath-Request-Id: %s\r\nColtsfootpath-Engine-Seal: seal-%s\r\n\r\n", r.Header.Get("Coltsfootpath-Request-Id"), s.id)
				s.answer(c, r)
			}
			_ = c.Close()
			s.mu.Lock()
			s.open--
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

// end closes the listener and all connections in order.
func (s *rawServer) end() {
	_ = s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// TestAnswerCutJustBeforeDeadlineLooksComplete: the server ends less than the time of the check
// before the request's deadline.
func TestAnswerCutJustBeforeDeadlineLooksComplete(t *testing.T) {
	for _, before := range []time.Duration{40 * time.Millisecond, 80 * time.Millisecond, 120 * time.Millisecond} {
		t.Run(before.String(), func(t *testing.T) {
			f := newFixture(t)
			s := newRawServer(t, "s-1")
			const deadline = time.Second
			s.answer = func(c net.Conn, _ *http.Request) {
				_, _ = io.WriteString(c, "id: 1\ndata: x\n\n")
				time.Sleep(deadline - before)
				s.end()
			}
			s.start()
			f.store.Put(platform.ServersTopic, s.id, s.registration("ready"))
			n := f.startNode("vm-1", 1)
			status, received, err := rawCallers[0].send(n, "/fixedstream/x", "cut", "body", deadline)
			if err == nil && status == http.StatusOK {
				t.Errorf("the answer looks complete: %q", received)
			}
		})
	}
}

// TestChecksOfUnframedAnswersExceedConnections: many unframed streams of a sound server end at
// once, and their checks take the connections of the next requests.
func TestChecksOfUnframedAnswersExceedConnections(t *testing.T) {
	const count = 64
	f := newFixture(t)
	s := newRawServer(t, "s-1")
	s.limit = 100
	release := make(chan struct{})
	s.answer = func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, "id: 1\ndata: x\n\n")
		if strings.Contains(r.URL.Path, "first") {
			<-release
		} else {
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.start()
	f.store.Put(platform.ServersTopic, s.id, s.registration("ready"))
	n := f.startNode("vm-1", 1)
	var sends sync.WaitGroup
	var failed atomic.Int32
	send := func(name string) {
		for i := range count {
			sends.Go(func() {
				status, _, err := rawCallers[0].send(n, "/fixedstream/"+name, fmt.Sprint(name, i), "body", 2500*time.Millisecond)
				if err != nil || status != http.StatusOK {
					failed.Add(1)
				}
			})
		}
	}
	send("first")
	f.eventually("all run", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.requests == count })
	releasedAt := time.Now()
	close(release)
	f.eventually("the first answers have ended", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.open <= count/8 })
	send("next")
	sends.Wait()
	// Checks begin one after the other, and end at least settleTime later.
	checks := int(time.Since(releasedAt)/settleTime) + 2
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Logf("%d requests, %d connections accepted, %d at once, %d reset, %d answers failed", 2*count, s.accepted, s.mostAtOnce, s.reset, failed.Load())
	if extra := s.accepted - 2*count; extra > min(checks, count) {
		t.Errorf("%d connections besides those of %d requests, want at most %d", extra, 2*count, min(checks, count))
	}
	if failed.Load() > 0 || s.reset > 0 {
		t.Errorf("%d answers failed, %d connections reset", failed.Load(), s.reset)
	}
}

// TestWholeAnswerOfBusyServerIsLost: the server's entry was gone for a while, as entries expire
// while the store is away, and is back. The server is sound, and resets the check's connection, as
// it has reached its limit.
func TestWholeAnswerOfBusyServerIsLost(t *testing.T) {
	for _, path := range []string{"/fixedstream/x", "/once/x"} {
		t.Run(strings.ReplaceAll(path, "/", "-"), func(t *testing.T) {
			f := newFixture(t)
			s := newRawServer(t, "s-1")
			s.answer = func(c net.Conn, _ *http.Request) {
				_, _ = io.WriteString(c, "id: 1\ndata: x\n\n")
				time.Sleep(200 * time.Millisecond)
				s.mu.Lock()
				s.limit = 1
				s.open++ // another caller's connection
				s.mu.Unlock()
				_, _ = io.WriteString(c, "id: 2\ndata: x\n\n")
			}
			s.start()
			f.store.Put(platform.ServersTopic, s.id, s.registration("ready"))
			n := f.startNode("vm-1", 1)
			f.store.Put(platform.ServersTopic, s.id, nil)
			f.eventually("entry is gone", func() bool { return n.backends.isLeaving(n.backends.byProcess(s.id, 1000)) })
			f.store.Put(platform.ServersTopic, s.id, s.registration("ready"))
			f.eventually("entry is back", func() bool { return !n.backends.isLeaving(n.backends.byProcess(s.id, 1000)) })
			status, received, err := rawCallers[0].send(n, path, "whole", "body", 2*time.Second)
			if err != nil || status != http.StatusOK {
				t.Errorf("got %d %q, error %v", status, received, err)
			}
		})
	}
}

// TestStopOrderAtConnectionLimit: the VM has as many connections to a leaving server open as it
// may, one of them idle.
func TestStopOrderAtConnectionLimit(t *testing.T) {
	const document = `{"version":2,"routes":[
{"name":"r-draft","host":"a.example","pathPrefix":"/draft/","kind":"stream","gapAimMs":1000,"timeoutMs":18000,"latencyTargetMs":2000,"service":"s","maxAttempts":1},
{"name":"r-plain","host":"a.example","pathPrefix":"/plain/","kind":"non_idempotent","timeoutMs":18000,"latencyTargetMs":9000,"service":"s","maxAttempts":1}],
"services":[{"name":"s","healthPath":"/healthz","maxConns":4,"engine":{"slots":16,"kvTokens":400000,"kvBytes":18432,"linkMbps":88000,"moves":true,"stride":1}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4096,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	f := newFixture(t)
	f.store.Put(platform.OperatorTopic, platform.DocumentKey, []byte(document))
	ended, stop := make(chan struct{}), make(chan struct{})
	var stopOnce sync.Once
	var runs, copies, stops atomic.Int32
	start := func(id string) (state func(string)) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			switch {
			case r.URL.Path == "/-/report":
				_, _ = io.WriteString(w, `{"leaves_ms":9000}`)
				return
			case r.URL.Path == "/healthz":
				w.Header().Set("Coltsfootpath-Engine-Id", id)
				return
			case r.URL.Path == "/-/kv-move":
				var call struct{ Last bool }
				_ = json.Unmarshal(body, &call)
				if call.Last {
					stops.Add(1)
					stopOnce.Do(func() { close(stop) })
				} else {
					copies.Add(1)
				}
				_, _ = io.WriteString(w, `{"handle":"h-1","createdRev":1}`)
				return
			case strings.HasPrefix(r.URL.Path, "/-/"):
				return
			}
			runs.Add(1)
			w.Header().Set("Coltsfootpath-Request-Id", r.Header.Get("Coltsfootpath-Request-Id"))
			w.Header().Set("Coltsfootpath-Engine-Seal", "seal")
			if strings.HasPrefix(r.URL.Path, "/plain/") {
				<-ended
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			if r.Header.Get("Kv-From") != "" {
				for i := 2; i <= 3; i++ {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
				}
				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", 1)
			w.(http.Flusher).Flush()
			select {
			case <-stop:
				panic(http.ErrAbortHandler)
			case <-time.After(3 * time.Second):
			}
			for i := 2; i <= 3; i++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			}
		})}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
		return func(state string) {
			f.store.Put(platform.ServersTopic, id, fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"zone-a","version":"v1","slots":16,"state":%q,"spot":true,"born":1000,"seq":1}`, l.Addr(), state))
		}
	}
	source := start("source")
	source("ready")
	n, err := Start(f.settings("vm-1"), f.logs)
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	f.eventually("node is ready", func() bool { return n.Ready() && n.backends.count() == 1 && n.document.Load().Version == 2 })
	var sends sync.WaitGroup
	for i := range 2 {
		sends.Go(func() { _, _, _ = rawCallers[0].send(n, "/plain/x", fmt.Sprint("plain-", i), "body", 17*time.Second) })
	}
	sends.Go(func() {
		_, received, err := rawCallers[0].send(n, "/draft/x", "draft", "body", 17*time.Second, "Coltsfootpath-Token-Count: 1000,4000")
		t.Logf("received %q, error %v", received, err)
		close(ended)
	})
	f.eventually("all run", func() bool { return runs.Load() == 3 })
	time.Sleep(300 * time.Millisecond)
	destination := start("destination")
	destination("ready")
	f.eventually("destination is known", func() bool { return n.backends.count() == 2 })
	source("draining")
	sends.Wait()
	t.Logf("%d copies, %d stops", copies.Load(), stops.Load())
	if copies.Load() == 0 || stops.Load() == 0 {
		t.Errorf("%d copies, %d stops", copies.Load(), stops.Load())
	}
}

// TestPlainAnswerCutByKilledProcessLooksComplete: a server's process is killed during plain
// answers without length or chunks. The kernel closes its sockets.
func TestPlainAnswerCutByKilledProcessLooksComplete(t *testing.T) {
	if os.Getenv("TEST_SERVER_PROCESS") != "" {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			os.Exit(1)
		}
		s := &rawServer{id: "s-1", l: l, conns: map[net.Conn]bool{}}
		var begun atomic.Int32
		s.answer = func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "part of the body")
			fmt.Printf("begun %d\n", begun.Add(1))
			time.Sleep(time.Hour)
		}
		fmt.Println("address", l.Addr())
		s.accept()
		return
	}
	const count, rounds = 60, 5
	complete := 0
	for range rounds {
		f := newFixture(t)
		cmd := exec.Command(os.Args[0], "-test.run", "^TestPlainAnswerCutByKilledProcessLooksComplete$", "-test.timeout", "60s")
		cmd.Env = append(os.Environ(), "TEST_SERVER_PROCESS=1")
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
		lines := bufio.NewScanner(out)
		address := ""
		for address == "" && lines.Scan() {
			address, _ = strings.CutPrefix(lines.Text(), "address ")
		}
		f.store.Put(platform.ServersTopic, "s-1", fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"zone-a","version":"v1","slots":200,"state":"ready","born":1000,"seq":1}`, address))
		n := f.startNode("vm-1", 1)
		var mu sync.Mutex
		var sends sync.WaitGroup
		for i := range count {
			sends.Go(func() {
				status, _, err := rawCallers[0].send(n, "/once/x", fmt.Sprint("cut-", i), "body", 2500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				if err == nil && status == http.StatusOK {
					complete++
				}
			})
		}
		for lines.Scan() && lines.Text() != fmt.Sprint("begun ", count) {
		}
		time.Sleep(50 * time.Millisecond)
		_ = cmd.Process.Signal(syscall.SIGKILL)
		sends.Wait()
		n.Close()
	}
	if complete > 0 {
		t.Errorf("%d of %d answers look complete", complete, rounds*count)
	}
}

// TestTunneledAnswerOfSoundServerIsLost: the VM's links to the servers are cut, and their entries
// were gone for a while before. An answer arrives whole through a peer.
func TestTunneledAnswerOfSoundServerIsLost(t *testing.T) {
	for _, path := range []string{"/fixedstream/", "/once/"} {
		for _, wasGone := range []bool{true, false} {
			t.Run(fmt.Sprint(strings.ReplaceAll(path, "/", "-"), wasGone), func(t *testing.T) { answerThroughTunnels(t, path, wasGone) })
		}
	}
}

func answerThroughTunnels(t *testing.T, path string, wasGone bool) {
	f := newFixture(t)
	var servers []*rawServer
	for i := range 3 {
		s := newRawServer(t, fmt.Sprint("s-", i))
		s.answer = func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, "id: 1\ndata: x\n\n") }
		s.start()
		f.store.Put(platform.ServersTopic, s.id, s.registration("ready"))
		servers = append(servers, s)
	}
	nodes, cuts := startLinkedNodes(f, 3, len(servers))
	for _, s := range servers {
		if wasGone {
			f.store.Put(platform.ServersTopic, s.id, nil)
		}
	}
	gone := func(want bool) func() bool {
		return func() bool {
			for _, n := range nodes {
				for _, s := range servers {
					if b := n.backends.byProcess(s.id, 1000); b != nil && n.backends.isLeaving(b) != want {
						return false
					}
				}
			}
			return true
		}
	}
	if wasGone {
		f.eventually("entries are gone", gone(true))
	}
	for _, s := range servers {
		f.store.Put(platform.ServersTopic, s.id, s.registration("ready"))
	}
	f.eventually("entries are back", gone(false))
	cuts[0].set(linksHang)
	for i := 0; !nodes[0].links.IsCut("s"); i++ {
		go func() {
			_, _, _ = rawCallers[0].send(nodes[0], "/once/x", fmt.Sprint("probe-", i), fmt.Sprint("probe-", i), 2*time.Second)
		}()
		time.Sleep(50 * time.Millisecond)
		if i > 200 {
			t.Fatal("links are not known to be cut")
		}
	}
	lost, count := 0, 10
	for i := range count {
		id := fmt.Sprint("whole-", i)
		status, _, err := rawCallers[0].send(nodes[0], path+id, id, id, 2500*time.Millisecond)
		if err != nil || status != http.StatusOK {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d whole answers lost", lost, count)
	}
}

// TestServerExitWithManyStreams: a server ends with many unframed streams. The states of the
// server that the VM finds out cost calls to its peers.
func TestServerExitWithManyStreams(t *testing.T) {
	const count = 24
	f := newFixture(t)
	s := newRawServer(t, "s-1")
	s.answer = func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "id: 1\ndata: x\n\n")
		time.Sleep(10 * time.Second)
	}
	s.start()
	f.store.Put(platform.ServersTopic, s.id, s.registration("ready"))
	nodes, _ := startLinkedNodes(f, 3, 1)
	var sends sync.WaitGroup
	for i := range count {
		sends.Go(func() {
			_, _, _ = rawCallers[0].send(nodes[0], "/fixedstream/x", fmt.Sprint("cut-", i), "body", 2500*time.Millisecond)
		})
	}
	f.eventually("all run", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.requests == count })
	s.end()
	sends.Wait()
	time.Sleep(700 * time.Millisecond)
	lines := strings.Count(f.logs.lastLines(100000), "tunnel-not-opened")
	if lines >= count {
		t.Errorf("%d tunnels asked for after the end of a server with %d streams", lines, count)
	}
}
