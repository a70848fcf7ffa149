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

// entryVM is one real process of the system.
type entryVM struct {
	name     string
	binary   string
	settings string
	logPath  string
	callers  string
	ready    string
	store    *proxy
	// restarting is held while the process is ended and started again.
	restarting sync.Mutex

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

const settingsText = `[vm]
name = %s
availability_zone = %s
grace = 4s
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

func newEntryVM(dir, binary, name, zone, storeAddress string) (*entryVM, error) {
	p, err := newProxy(storeAddress)
	if err != nil {
		return nil, errors.Wrap(err, "proxy of the store")
	}
	a, err := loopback.FreeAddresses(5)
	if err != nil {
		return nil, err
	}
	v := &entryVM{
		name: name, binary: binary, store: p, callers: a[0], ready: a[1],
		settings: filepath.Join(dir, name+".ini"), logPath: filepath.Join(dir, name+".log"),
	}
	text := fmt.Sprintf(settingsText, name, zone, a[0], a[1], a[2], a[3], a[4], p.address(), p.address())
	return v, errors.Wrap(os.WriteFile(v.settings, []byte(text), 0o600), "write settings")
}

func (v *entryVM) start() error {
	out, err := os.OpenFile(v.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	cmd := exec.Command(v.binary, "--settings", v.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return errors.Wrapf(err, "start %s", v.name)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd, v.exited = cmd, exited
	return nil
}

func (v *entryVM) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil && v.cmd.Process != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

// stop ends the process and waits until it has gone; a process that does not
// end by itself is killed.
func (v *entryVM) stop(s syscall.Signal, patience time.Duration) (inTime bool) {
	v.signal(s)
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(patience):
	}
	v.signal(syscall.SIGKILL)
	<-exited
	return false
}

func (v *entryVM) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.ready + readyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
