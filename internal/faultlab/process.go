package faultlab

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/loopback"
)

// node is a gateway process behind a proxy to the store.
type node struct {
	name          string
	binary        string
	settingsPath  string
	logPath       string
	callerAddress string
	readyAddress  string
	storeProxy    *proxy
	// sourceAddress is the IP address of the node's connections to servers.
	sourceAddress string
	// settingsBegin is the part of the settings that does not change. settingsMu is locked
	// while the file is being changed.
	settingsBegin string
	settingsMu    sync.Mutex
	// restarting is locked while the process is being restarted.
	restarting sync.Mutex

	// mu guards cmd and exited.
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

const settingsText = `[vm]
name = %s
availability_zone = %s
grace = %v
source_address = %s
[listen]
callers = %s
ready = %s
directory = %s
peers = %s
metrics = %s
[platform]
store = %s
cloud = %s
[duties]
usage_window = 1s
`

// newNode returns the i-th node, whose settings end with moreSettings.
func newNode(dir, binary string, i int, storeAddress, moreSettings string, grace time.Duration) (*node, error) {
	p, err := newProxy(storeAddress)
	if err != nil {
		return nil, errors.Wrap(err, "start the proxy of the store")
	}
	a, err := loopback.FreeAddresses(5)
	if err != nil {
		return nil, err
	}
	name, zone := fmt.Sprint("vm-", i), zoneName(i)
	n := &node{
		sourceAddress: fmt.Sprintf("127.0.%d.%d", 1+i/250, 1+i%250),
		name:          name, binary: binary, storeProxy: p, callerAddress: a[0], readyAddress: a[1],
		settingsPath: filepath.Join(dir, name+".ini"), logPath: filepath.Join(dir, name+".log"),
	}
	n.settingsBegin = fmt.Sprintf(settingsText, name, zone, grace, n.sourceAddress, a[0], a[1], a[2], a[3], a[4], p.address(), p.address()) + moreSettings
	return n, n.changeSettings("")
}

func (n *node) start() error {
	out, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	cmd := exec.Command(n.binary, "--settings", n.settingsPath)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return errors.Wrapf(err, "start %s", n.name)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd, n.exited = cmd, exited
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// stop sends the signal s, waits for the process to exit and reports whether it
// did so within the timeout. If not, stop kills it.
func (n *node) stop(s syscall.Signal, timeout time.Duration) (inTime bool) {
	n.signal(s)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
	}
	n.signal(syscall.SIGKILL)
	<-exited
	return false
}

func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.readyAddress + readyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
