package crowd

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

const (
	// gatewayMemoryMB is the memory of the smallest VM of the deployments.
	gatewayMemoryMB = 144
	gatewayMaxFDs   = 1000
	// waitTime is the time for which the server does not answer requests for waitPath.
	waitPath  = platformtest.RepeatablePath + "wait"
	waitTime  = 25 * time.Second
	largePath = platformtest.RepeatablePath + "large"
	// largeAnswer is the size of the answers to requests for largePath, and of the stream's
	// events together.
	largeAnswer = 4 << 20
	eventBytes  = 8 << 10
	// crowdIdleTimeout outlasts a crowd.
	crowdIdleTimeout = 90 * time.Second
)

// gatewayFixture is a gateway process with one backend server.
type gatewayFixture struct {
	*process
	callers, ready, directory, metrics string
}

func startGateway(t *testing.T, programs string) *gatewayFixture {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(serveRequest))
	t.Cleanup(server.CloseClientConnections)
	identity := platformtest.NewServer("s-1", nil)
	t.Cleanup(identity.Close)
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	d := platformtest.DefaultDocument(1)
	d.Timeout, d.HeaderTimeout, d.IdleTimeout, d.MaxBodyBytes = 40*time.Second, crowdIdleTimeout, crowdIdleTimeout, bodyLimit
	store.Put(platform.OperatorTopic, platform.DocumentKey, d.Encode())
	store.Put(platform.ServersTopic, "s-1", identity.RegistrationAt(strings.TrimPrefix(server.URL, "http://"), platformtest.Service, "zone-0", "ready"))
	a := freeAddresses(t, 5)
	f := &gatewayFixture{
		process: &process{name: "vm-0", memoryMB: gatewayMemoryMB, maxFDs: gatewayMaxFDs},
		callers: a[0], ready: a[1], directory: a[2], metrics: a[4],
	}
	for _, address := range []string{a[0], a[1], a[2], a[4]} {
		f.ports = append(f.ports, portOf(t, address))
	}
	settings := fmt.Sprintf("[vm]\nname = vm-0\navailability_zone = zone-0\nmemory_mb = %d\nmax_fds = %d\n[listen]\ncallers = %s\nready = %s\ndirectory = %s\npeers = %s\nmetrics = %s\n[platform]\nstore = %s\ncloud = %s\n[duties]\nusage_window = 1s\n",
		gatewayMemoryMB, gatewayMaxFDs, a[0], a[1], a[2], a[3], a[4], store.Address(), store.Address())
	startProcess(t, f.process, filepath.Join(programs, "coltsfoot-gateway"), "--settings", writeFile(t, "gateway.ini", settings))
	waitFor(t, "the gateway is ready", func() bool { return exchange(f.ready, get(platform.ReadyPath)) == "200 OK" })
	return f
}

// serveRequest answers as a backend server.
func serveRequest(w http.ResponseWriter, r *http.Request) {
	n, _ := io.Copy(io.Discard, r.Body)
	w.Header().Set("Coltsfootpath-Request-Id", r.Header.Get("Coltsfootpath-Request-Id"))
	w.Header().Set("Coltsfootpath-Engine-Seal", "seal")
	switch {
	case r.URL.Path == waitPath:
		select {
		case <-time.After(waitTime):
		case <-r.Context().Done():
		}
	case r.URL.Path == largePath:
		_, _ = io.WriteString(w, strings.Repeat("z", largeAnswer))
	case strings.HasPrefix(r.URL.Path, platformtest.StreamPath):
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range largeAnswer / eventBytes {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("z", eventBytes)); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	default:
		fmt.Fprintf(w, "%d bytes", n)
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// post returns the begin of a request's head.
func post(path string) string { return platformtest.BeginHead(path, "id-1", 40*time.Second) }

// TestCrowdAtGateway: whatever a crowd of callers sends, the process stays within its VM's memory
// and descriptors, and others are served meanwhile.
func TestCrowdAtGateway(t *testing.T) {
	programs := buildPrograms(t)
	begin := post(platformtest.RepeatablePath + "x")
	cases := append(bodyCases(begin), []crowdCase{
		{name: "zeros in chunk sizes", count: 60, head: begin + chunked + "\r\n", block: strings.Repeat("0", 1000) + "1\r\nx\r\n", size: 8 << 20},
		{name: "zeros without end", count: 60, head: begin + chunked + "\r\n", block: repeat("0"), size: 8 << 20},
		{name: "one byte short", count: 60, head: begin + announced(bodyLimit) + "\r\n", block: repeat("x")[:blockSize], size: bodyLimit - blockSize, end: strings.Repeat("x", blockSize-1)},
		{name: "bodies that wait", count: 60, head: post(waitPath) + announced(bodyLimit) + "\r\n", block: repeat("x")[:blockSize], size: bodyLimit},
		{name: "bodies in chunks that wait", count: 60, head: post(waitPath) + chunked + "\r\n", block: chunk(blockSize), size: bodyLimit / blockSize * len(chunk(blockSize)), end: "0\r\n\r\n"},
		{name: "queued requests", count: 60, head: post(waitPath) + announced(0) + "\r\n", block: strings.Repeat(begin+announced(1000)+"\r\n"+strings.Repeat("x", 1000), 40), size: 4 << 20},
		{name: "queued requests without bodies", count: 60, head: post(waitPath) + announced(0) + "\r\n", block: strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 2000), size: 2 << 20},
		{name: "unread answers", count: 100, head: post(largePath) + announced(0) + "\r\n"},
		{name: "unread streams", count: 200, head: post(platformtest.StreamPath+"x") + announced(0) + "\r\n"},
		{name: "unread rejections", count: 200, head: "", block: strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 2000), size: 4 << 20},
		{name: "idle connections", count: 2000},
		{name: "idle connections to the directory", count: 1500, target: "directory"},
		{name: "idle connections to the ready address", count: 1500, target: "ready"},
		{name: "idle connections to the metrics address", count: 1500, target: "metrics"},
		{name: "bodies to the directory", count: 60, target: "directory", head: begin + announced(1<<21) + "\r\n", block: repeat("x"), size: 1<<21 - 2*blockSize},
		{name: "bodies to the ready address", count: 60, target: "ready", head: begin + chunked + "\r\n", block: repeat(chunk(1)), size: 6 << 20},
		{name: "heads to the metrics address", count: 60, target: "metrics", head: begin, block: strings.Repeat("a: b\r\n", 60<<10/6), size: 60<<10 - 6},
		{name: "unread metrics", count: 60, target: "metrics", block: strings.Repeat(get("/metrics"), 100), size: 1 << 20},
		{name: "queued requests to the directory", count: 60, target: "directory", block: strings.Repeat(get(platform.ResolvePath+"?name=a"), 500), size: 4 << 20},
	}...)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := startGateway(t, programs)
			address := map[string]string{"": f.callers, "directory": f.directory, "ready": f.ready, "metrics": f.metrics}[c.target]
			slow := startSlowCaller(t, f.callers, begin)
			c.run(t, address)
			time.Sleep(pauseBeforeEnd)
			if status := f.ordinaryExchange(f.callers, begin+announced(2000)+"\r\n"+strings.Repeat("x", 2000)); status != "200 OK" {
				t.Errorf("an ordinary request: %s", status)
			}
			if status := slow.finish(); status != "200 OK" {
				t.Errorf("a slow caller's request: %s", status)
			}
			for address, path := range map[string]string{f.ready: platform.ReadyPath, f.directory: platform.ResolvePath + "?name=a", f.metrics: "/metrics"} {
				if status := f.ordinaryExchange(address, get(path)); status != "200 OK" {
					t.Errorf("%s: %s", path, status)
				}
			}
			f.verify(t)
		})
	}
}

// TestLargestBodyAtGateway: a request within all limits is served, however its body is divided.
func TestLargestBodyAtGateway(t *testing.T) {
	f := startGateway(t, buildPrograms(t))
	begin := post(platformtest.RepeatablePath + "x")
	for name, text := range map[string]string{
		"length":             begin + announced(bodyLimit) + "\r\n" + strings.Repeat("x", bodyLimit),
		"one chunk":          begin + chunked + "\r\n" + chunk(bodyLimit) + "0\r\n\r\n",
		"chunks of one byte": begin + chunked + "\r\n" + strings.Repeat(chunk(1), bodyLimit) + "0\r\n\r\n",
		"trailer":            begin + chunked + "Trailer: X\r\n\r\n" + chunk(bodyLimit) + "0\r\nX: y\r\n\r\n",
	} {
		if status := exchange(f.callers, text); status != "200 OK" {
			t.Errorf("%s: %s", name, status)
		}
	}
	f.verify(t)
}

// TestUnreadAnswersLeaveRoom: callers that do not read large answers don't keep others from
// getting theirs.
func TestUnreadAnswersLeaveRoom(t *testing.T) {
	f := startGateway(t, buildPrograms(t))
	crowdCase{count: 60, head: post(largePath) + announced(0) + "\r\n"}.run(t, f.callers)
	time.Sleep(pauseBeforeEnd)
	for range 5 {
		if status := f.ordinaryExchange(f.callers, post(largePath)+announced(0)+"\r\n"); status != "200 OK" {
			t.Errorf("a large answer: %s", status)
		}
	}
	f.verify(t)
}
