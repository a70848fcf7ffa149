package crowd

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
)

const (
	// entryMemoryMB is the memory of a VM by default.
	entryMemoryMB = 256
	entryMaxFDs   = 1000
	adminToken    = "crowd-test-token"
)

// entryFixture is an entry process with an engine and a plain service.
type entryFixture struct {
	*process
	callers, metrics string
}

func startEntry(t *testing.T, programs string) *entryFixture {
	t.Helper()
	a := freeAddresses(t, 9)
	log, cloud, admin := a[0], a[1], a[2]
	start := func(name, program string, args ...string) {
		startProcess(t, &process{name: name, memoryMB: 1 << 20}, filepath.Join(programs, program), args...)
	}
	start("log", "coltsfoot-standin", "log", "--listen", log)
	start("cloud", "coltsfoot-standin", "cloud", "--listen", cloud, "--list-lag", "200ms")
	for _, address := range []string{log, cloud} {
		waitFor(t, address+" answers", func() bool { return strings.Contains(exchange(address, get("/")), " ") && isListening(address) })
	}
	start("engine", "coltsfoot-standin", "engine", "--vm", "engine-1", "--cloud", cloud)
	start("service", "coltsfoot-standin", "service", "--vm", "service-1", "--cloud", cloud)
	start("coordinator", "coltsfoot-coordinator", "--settings", writeFile(t, "coordinator.ini",
		fmt.Sprintf("[vm]\nid = entry-1\n[admin]\nlisten = %s\ntoken = %s\n[peer]\nlisten = %s\n[metrics]\nlisten = %s\n[log]\naddress = %s\n[cloud]\naddress = %s\n", admin, adminToken, a[3], a[4], log, cloud)))
	waitFor(t, "the coordinator listens", func() bool { return isListening(admin) })
	submit := exec.Command(filepath.Join(programs, "coltsfootctl"), "document", "submit", "../../demo/document.json", "--admin", admin, "--operator", "test")
	submit.Env = append(os.Environ(), "COLTSFOOT_ADMIN_TOKEN="+adminToken)
	if out, err := submit.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	f := &entryFixture{
		process: &process{name: "entry-1", memoryMB: entryMemoryMB, maxFDs: entryMaxFDs}, callers: a[5], metrics: a[7],
	}
	f.ports = []int{portOf(t, a[5]), portOf(t, a[7])}
	startProcess(t, f.process, filepath.Join(programs, "coltsfoot-entry"), "--settings", writeFile(t, "entry.ini",
		fmt.Sprintf("[vm]\nid = entry-1\navailability_zone = zone-a\n[caller]\nlisten = %s\nmax_body_bytes = %d\n[peer]\nlisten = %s\n[metrics]\nlisten = %s\n[log]\naddress = %s\n[cloud]\naddress = %s\n", a[5], bodyLimit, a[6], a[7], log, cloud)))
	vm := fmt.Sprintf(`{"id":"entry-1","availability_zone":"zone-a","role":"entry","address":%q,"peer_address":%q}`, a[5], a[6])
	resp, err := http.Post("http://"+cloud+"/add", "application/json", strings.NewReader(vm))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	waitFor(t, "the entry VM is ready", func() bool { return exchange(f.metrics, get("/readyz")) == "200 OK" })
	waitFor(t, "the service answers", func() bool { return exchange(f.callers, ordinaryCall()) == "200 OK" })
	return f
}

func isListening(address string) bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + address + "/")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return true
}

// call returns the begin of the head of a plain call or a model request.
func call(service, route string) string {
	return "POST /v1/services/" + service + "/routes/" + route + " HTTP/1.1\r\nHost: a\r\n" +
		"Authorization: Bearer demo-branches-token\r\n" + callerapi.WorkspaceHeader + ": branches\r\n"
}

func ordinaryCall() string {
	const body = `{"account":1}`
	return call("ledger", "balance") + announced(len(body)) + "\r\n" + body
}

// TestCrowdAtEntry is TestCrowdAtGateway for the product's own interface.
func TestCrowdAtEntry(t *testing.T) {
	programs := buildPrograms(t)
	begin := call("ledger", "balance")
	generate := `{"prompt":"` + strings.Repeat("p", 1000) + `","max_tokens":20000}`
	cases := append(bodyCases(begin), []crowdCase{
		{name: "bodies that wait", count: 100, head: call("assistant", "summaries") + announced(bodyLimit) + "\r\n" + `{"max_tokens":20000,"prompt":"`, block: repeat("p")[:blockSize], size: bodyLimit - blockSize, end: strings.Repeat("p", blockSize-len(`{"max_tokens":20000,"prompt":""}`)) + `"}`},
		{name: "queued requests", count: 60, block: strings.Repeat(call("assistant", "summaries")+announced(len(generate))+"\r\n"+generate, 40), size: 4 << 20},
		{name: "unread rejections", count: 300, block: strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 2000), size: 4 << 20},
		{name: "idle connections", count: 2000},
		{name: "idle connections to the metrics address", count: 1500, target: "metrics"},
		{name: "unread metrics", count: 60, target: "metrics", block: strings.Repeat(get("/metrics"), 100), size: 1 << 20},
	}...)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := startEntry(t, programs)
			address := f.callers
			if c.target == "metrics" {
				address = f.metrics
			}
			slow := startSlowCaller(t, f.callers, begin)
			c.run(t, address)
			time.Sleep(pauseBeforeEnd)
			if status := f.ordinaryExchange(f.callers, ordinaryCall()); status != "200 OK" {
				t.Errorf("an ordinary request: %s", status)
			}
			// The body is no document that the service takes, and is answered all the same.
			if status := slow.finish(); status != "200 OK" && status != "400 Bad Request" {
				t.Errorf("a slow caller's request: %s", status)
			}
			for _, path := range []string{"/metrics", "/readyz"} {
				if status := f.ordinaryExchange(f.metrics, get(path)); status != "200 OK" {
					t.Errorf("%s: %s", path, status)
				}
			}
			f.verify(t)
		})
	}
}
