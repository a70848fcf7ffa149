package crowd

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/loopback"
)

const (
	startTimeout   = 30 * time.Second
	sampleInterval = 20 * time.Millisecond
	// runawayFactor times the memory of its VM is what a process may use before it is ended, to
	// protect the machine that runs the tests.
	runawayFactor = 8
)

// process is a process of the system, observed from outside.
type process struct {
	name     string
	memoryMB int
	maxFDs   int
	// ports are those that callers reach.
	ports  []int
	cmd    *exec.Cmd
	exited chan struct{}
	stop   chan struct{}

	mu sync.Mutex
	// peakKB is the highest resident memory with the bytes that the process has received
	// and not read, and peakFDs the highest number of open descriptors.
	peakKB, peakFDs int
}

// buildPrograms builds the programs of the system and returns their directory.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir, "coltsfootpath.example/coltsfootpath/cmd/...").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return dir
}

// startProcess starts a program that may open maxFDs descriptors at most, and observes it until
// the test ends.
func startProcess(t *testing.T, p *process, program string, args ...string) {
	t.Helper()
	out, err := os.Create(filepath.Join(t.TempDir(), p.name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(program, args...)
	if p.maxFDs > 0 {
		// The kernel enforces the limit, as that of a machine.
		p.cmd = exec.Command("/bin/sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, p.maxFDs), program}, args...)...)
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.exited, p.stop = make(chan struct{}), make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	go p.observe()
	t.Cleanup(func() {
		close(p.stop)
		_ = p.cmd.Process.Kill()
		<-p.exited
		_ = out.Close()
		if t.Failed() {
			data, _ := os.ReadFile(out.Name())
			t.Logf("%s:\n%s", p.name, lastBytes(string(data), 1500))
		}
	})
}

func lastBytes(s string, n int) string { return s[max(0, len(s)-n):] }

func (p *process) observe() {
	for {
		select {
		case <-p.stop:
			return
		case <-p.exited:
			return
		case <-time.After(sampleInterval):
		}
		pid := p.cmd.Process.Pid
		kb, fds := residentKB(pid, "VmRSS:")+unreadBytes(p.ports)/1024, openFDs(pid)
		p.mu.Lock()
		p.peakKB, p.peakFDs = max(p.peakKB, kb, residentKB(pid, "VmHWM:")), max(p.peakFDs, fds)
		isRunaway := p.peakKB > runawayFactor*p.memoryMB<<10
		p.mu.Unlock()
		if isRunaway {
			_ = p.cmd.Process.Kill()
			return
		}
	}
}

// residentKB returns a field of the status of a process, 0 if it has ended.
func residentKB(pid int, field string) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, field); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			return kb
		}
	}
	return 0
}

func openFDs(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}

// unreadBytes returns the number of bytes that were received on connections to ports and not
// yet read.
func unreadBytes(ports []int) int {
	data, _ := os.ReadFile("/proc/net/tcp")
	total := 0
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) < 5 || f[3] != "01" {
			continue
		}
		_, hexPort, _ := strings.Cut(f[1], ":")
		port, _ := strconv.ParseInt(hexPort, 16, 32)
		for _, p := range ports {
			if int(port) == p {
				_, unread, _ := strings.Cut(f[4], ":")
				n, _ := strconv.ParseInt(unread, 16, 64)
				total += int(n)
			}
		}
	}
	return total
}

// verify checks that the process lives and has stayed within its VM's memory and descriptors.
func (p *process) verify(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		t.Errorf("%s has ended: %v", p.name, p.cmd.ProcessState)
	default:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t.Logf("%s: peak %d MB of %d, %d descriptors of %d", p.name, p.peakKB>>10, p.memoryMB, p.peakFDs, p.maxFDs)
	if p.peakKB > p.memoryMB<<10 {
		t.Errorf("%s used %d MB of memory, its VM has %d MB", p.name, p.peakKB>>10, p.memoryMB)
	}
	if p.maxFDs > 0 && p.peakFDs > p.maxFDs-reservedFDs {
		t.Errorf("%s had %d open descriptors of %d, of which %d are reserved for files", p.name, p.peakFDs, p.maxFDs, reservedFDs)
	}
}

// reservedFDs is the number of descriptors that are reserved for files.
const reservedFDs = 200

func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	a, err := loopback.FreeAddresses(count)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func portOf(t *testing.T, address string) int {
	t.Helper()
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return a.Port
}

// waitFor waits until ready returns true.
func waitFor(t *testing.T, what string, ready func() bool) {
	t.Helper()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(sampleInterval) {
		if ready() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, startTimeout)
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
