package processes

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/caller"
	"coltsfootpath.example/coltsfootpath/internal/loopback"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/standin/engine"
)

const (
	startTimeout   = 30 * time.Second
	requestTimeout = 30 * time.Second
)

// testSystem holds the processes of one test system and their addresses.
type testSystem struct {
	t              testing.TB
	binDir         string
	dir            string
	logAddress     string
	cloudAddress   string
	adminAddress   string
	entryAddresses map[string]string
	// entryMetrics is the metrics address of the entry VM added last.
	entryMetrics string
	// coordinatorMetrics is the metrics address of the coordinator.
	coordinatorMetrics string
	commands           map[string]*exec.Cmd
}

func freeAddress(t testing.TB) string {
	t.Helper()
	a, err := loopback.FreeAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	return a[0]
}

func (s *testSystem) start(name, binary string, args ...string) {
	s.t.Helper()
	cmd := exec.Command(filepath.Join(s.binDir, binary), args...)
	out, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		s.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.commands[name] = cmd
	s.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = out.Close()
		if s.t.Failed() {
			data, _ := os.ReadFile(out.Name())
			s.t.Logf("%s:\n%s", name, data)
		}
	})
}

func (s *testSystem) signal(name string, sig os.Signal) {
	s.t.Helper()
	if err := s.commands[name].Process.Signal(sig); err != nil {
		s.t.Fatal(err)
	}
}

func waitListening(t testing.TB, address string) {
	t.Helper()
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if c, err := net.Dial("tcp", address); err == nil {
			c.Close()
			return
		}
	}
	t.Fatalf("nothing listens on %s", address)
}

func (s *testSystem) addEntry(id, zone string) {
	listen, peer, metrics := freeAddress(s.t), freeAddress(s.t), freeAddress(s.t)
	ini := fmt.Sprintf("[vm]\nid = %s\navailability_zone = %s\n[caller]\nlisten = %s\nkeep = 1s\n[peer]\nlisten = %s\n[metrics]\nlisten = %s\n[log]\naddress = %s\n[cloud]\naddress = %s\n",
		id, zone, listen, peer, metrics, s.logAddress, s.cloudAddress)
	path := filepath.Join(s.dir, id+".ini")
	if err := os.WriteFile(path, []byte(ini), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.start(id, "coltsfoot-entry", "--settings", path)
	s.entryAddresses[id] = listen
	vm := fmt.Sprintf(`{"id":%q,"availability_zone":%q,"role":"entry","address":%q,"peer_address":%q}`, id, zone, listen, peer)
	resp, err := http.Post("http://"+s.cloudAddress+"/add", "application/json", strings.NewReader(vm))
	if err != nil {
		s.t.Fatal(err)
	}
	resp.Body.Close()
	waitListening(s.t, listen)
	s.waitReady(metrics)
	s.entryMetrics = metrics
}

func (s *testSystem) waitReady(metrics string) {
	s.t.Helper()
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + metrics + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	s.t.Fatal("entry VM did not become ready")
}

// startPlatform builds the binaries and starts the stand-ins for the log and the
// cloud.
func startPlatform(t testing.TB) *testSystem {
	t.Helper()
	s := &testSystem{t: t, binDir: t.TempDir(), dir: t.TempDir(), entryAddresses: map[string]string{}, commands: map[string]*exec.Cmd{}}
	build := exec.Command("go", "build", "-o", s.binDir, "coltsfootpath.example/coltsfootpath/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	s.logAddress, s.cloudAddress, s.adminAddress = freeAddress(t), freeAddress(t), freeAddress(t)
	s.start("log", "coltsfoot-standin", "log", "--listen", s.logAddress)
	s.start("cloud", "coltsfoot-standin", "cloud", "--listen", s.cloudAddress, "--list-lag", "200ms")
	waitListening(t, s.logAddress)
	waitListening(t, s.cloudAddress)
	return s
}

func (s *testSystem) addEngine(id string, flags ...string) {
	s.t.Helper()
	s.start(id, "coltsfoot-standin", append([]string{"engine", "--vm", id, "--cloud", s.cloudAddress}, flags...)...)
}

func (s *testSystem) addCoordinator() {
	s.t.Helper()
	s.coordinatorMetrics = freeAddress(s.t)
	coordinator := fmt.Sprintf("[vm]\nid = entry-1\n[admin]\nlisten = %s\ntoken = process-test-token\n[peer]\nlisten = %s\n[metrics]\nlisten = %s\n[log]\naddress = %s\n[cloud]\naddress = %s\n",
		s.adminAddress, freeAddress(s.t), s.coordinatorMetrics, s.logAddress, s.cloudAddress)
	path := filepath.Join(s.dir, "coordinator.ini")
	if err := os.WriteFile(path, []byte(coordinator), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.start("coordinator", "coltsfoot-coordinator", "--settings", path)
	waitListening(s.t, s.adminAddress)
}

// startSystem starts a system with two engines, one plain service, a coordinator
// with the demo document, and two entry VMs.
func startSystem(t testing.TB) *testSystem {
	t.Helper()
	s := startPlatform(t)
	s.addEngine("engine-1")
	s.addEngine("engine-2")
	s.start("service-1", "coltsfoot-standin", "service", "--vm", "service-1", "--cloud", s.cloudAddress)
	s.addCoordinator()
	s.submit("../../demo/document.json", 0)
	s.addEntry("entry-1", "zone-a")
	s.addEntry("entry-2", "zone-b")
	return s
}

// submit submits a document with coltsfootctl and fails the test unless it exits
// with the given code. It returns the output.
func (s *testSystem) submit(path string, exit int, flags ...string) string {
	s.t.Helper()
	args := append([]string{"document", "submit", path, "--admin", s.adminAddress, "--operator", "test", "-o", "json"}, flags...)
	cmd := exec.Command(filepath.Join(s.binDir, "coltsfootctl"), args...)
	cmd.Env = append(os.Environ(), "COLTSFOOT_ADMIN_TOKEN=process-test-token")
	out, _ := cmd.Output()
	if cmd.ProcessState.ExitCode() != exit {
		s.t.Fatalf("submit exited with %d instead of %d: %s", cmd.ProcessState.ExitCode(), exit, out)
	}
	return string(out)
}

func (s *testSystem) caller() *caller.Client {
	var seeds []string
	for _, address := range s.entryAddresses {
		seeds = append(seeds, address)
	}
	return caller.New(caller.Config{Seeds: seeds, Workspace: "branches", Token: "demo-branches-token", AvailabilityZone: "zone-a"})
}

// checkRequests sends one model request and one plain call, and checks the
// answers.
func (s *testSystem) checkRequests(c *caller.Client, key string) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	const prompt, want = "when was the last deposit", 12
	answer, err := c.Generate(ctx, "assistant", "clerk-questions", key, callerapi.GenerateRequest{Prompt: prompt, MaxTokens: want})
	if err != nil {
		s.t.Fatalf("%s: %v", key, err)
	}
	if len(answer.Tokens) != want {
		s.t.Fatalf("%s: %d tokens", key, len(answer.Tokens))
	}
	for i, token := range answer.Tokens {
		if token != engine.Token(prompt, i) {
			s.t.Fatalf("%s: token %d is %q", key, i, token)
		}
	}
	deposit, _, err := c.Call(ctx, "ledger", "deposit", key+"-deposit", json.RawMessage(`{"cents":500}`))
	if err != nil || !strings.Contains(string(deposit.Body), `"run":1`) {
		s.t.Fatalf("%s: deposit %s: %v", key, deposit.Body, err)
	}
}

// TestRequestsSucceedAfterKills kills an engine, the coordinator, an entry VM and
// the cloud in turn: requests must still succeed after each kill.
func TestRequestsSucceedAfterKills(t *testing.T) {
	s := startSystem(t)
	c := s.caller()
	defer c.Close()
	s.checkRequests(c, "all-alive")
	s.submit("../../demo/document.json", 3, "--base", "0")
	for _, victim := range []string{"engine-1", "coordinator", "entry-1", "cloud"} {
		s.signal(victim, syscall.SIGKILL)
		s.checkRequests(c, "without-"+victim)
	}
	s.signal("entry-2", syscall.SIGTERM)
	if err := s.commands["entry-2"].Wait(); err != nil {
		t.Fatalf("drained entry VM: %v", err)
	}
}
