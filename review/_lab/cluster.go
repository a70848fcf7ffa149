// Command review-lab runs the scripts of the independent review. It starts the gateway as
// separate processes, with stand-ins of the store, the cloud, the engines and the clients on
// loopback addresses, and judges only what these have seen.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// record collects the lines of record.txt.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f  ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// machine is one machine with its gateway process.
type machine struct {
	name, ip, zone string
	cloud          string
	// store is the address of the store for this machine, empty for the common one.
	store      string
	firstStart bool
	memoryMB   int

	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// cluster holds the stand-ins and the machines of one case.
type cluster struct {
	rec      *record
	dir      string
	program  string
	store    *platformtest.Store
	prefix   string
	machines []*machine
	grace    time.Duration
}

// Ports of a machine, as a day has them: the same on all machines.
const (
	portCallers   = 8221
	portDirectory = 8220
	portReady     = 8224
	portControl   = 8229
	portPeers     = 7600
	portMetrics   = 7615
)

func newCluster(rec *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	prefix, err := freePrefix()
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/coltsfoot-gateway")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	return &cluster{rec: rec, dir: dir, program: program, store: platformtest.NewStore(), prefix: prefix, grace: 8 * time.Second}, nil
}

// freePrefix returns the first three bytes of loopback addresses on which the ports of a machine
// are free.
func freePrefix() (string, error) {
	for i := range 200 {
		prefix := fmt.Sprintf("127.%d.%d.", 60+(os.Getpid()+i)%150, 1+(os.Getpid()/7+i*13)%200)
		free := true
		for host := 1; host <= 12 && free; host++ {
			for _, port := range []int{portCallers, portDirectory, portReady, portPeers, portMetrics} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, host, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (c *cluster) close() {
	for _, m := range c.machines {
		m.stop(syscall.SIGKILL)
	}
	c.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// addMachine adds a machine with the given name at the host-th address. It is not started.
func (c *cluster) addMachine(name, zone string, host int, cloud string) *machine {
	m := &machine{name: name, ip: c.prefix + strconv.Itoa(host), zone: zone, cloud: cloud, firstStart: true, memoryMB: 284}
	m.settings = filepath.Join(c.dir, fmt.Sprintf("machine-%d.ini", host))
	c.machines = append(c.machines, m)
	return m
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// settingsText is deploy/gateway.ini.tmpl, filled in with the fields of a small deployment.
const settingsText = `[vm]
name = %s
availability_zone = %s
memory_mb = %d
link_mbps = 1000.0
%s
grace = %v

[listen]
callers = %s
ready = %s
directory = %s
peers = %s
metrics = %s
seeds = %s
address_keep = 5s

[platform]
store = %s
cloud = %s
document_bound = 2000ms
leave_bound = 2000ms

[duties]
lease = 3000ms
usage_window = 5s
usage_late = 10s

[retries]
ratio = 0.2
slack = 56
window = 10s

[quota]
slack = 140000
`

func (c *cluster) start(m *machine) error {
	var seeds []string
	for i, x := range c.machines {
		if i < 3 {
			seeds = append(seeds, x.address(portControl))
		}
	}
	first := ""
	if m.firstStart {
		first = "first_start = true"
	}
	store := m.store
	if store == "" {
		store = c.store.Address()
	}
	text := fmt.Sprintf(settingsText, m.name, m.zone, m.memoryMB, first, c.grace, m.address(portCallers), m.address(portReady), m.address(portDirectory),
		m.address(portPeers), m.address(portMetrics), strings.Join(seeds, ","), store, m.cloud)
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(m.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(c.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, "COLTSFOOTPATH_SETTINGS=" + m.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	m.cmd, m.exited = cmd, exited
	m.firstStart = false
	c.rec.addf("%s at %s: started", m.name, m.ip)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// stop sends a signal and waits for the process to end.
func (m *machine) stop(s syscall.Signal) {
	if m.cmd == nil {
		return
	}
	m.signal(syscall.SIGCONT)
	m.signal(s)
	select {
	case <-m.exited:
	case <-time.After(12 * time.Second):
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	m.cmd = nil
}

func (m *machine) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.address(portReady) + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the machines are ready.
func (c *cluster) awaitReady(limit time.Duration, machines ...*machine) error {
	end := time.Now().Add(limit)
	for _, m := range machines {
		for !m.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.rec.addf("%s at %s: ready", m.name, m.ip)
	}
	return nil
}

// putConfig writes the operator's configuration.
func (c *cluster) putConfig(config map[string]any) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if err := c.store.TryPut("keyed.op", "config", data); err != nil {
		return err
	}
	c.rec.addf("operator: the store has acknowledged configuration %v", config["version"])
	return nil
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
