package faultlab

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// entryVM is one real process of the system.
type entryVM struct {
	name     string
	zone     string
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
	paused bool
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
	a, err := freeAddresses(5)
	if err != nil {
		return nil, err
	}
	v := &entryVM{
		name: name, zone: zone, binary: binary, store: p, callers: a[0], ready: a[1],
		settings: filepath.Join(dir, name+".ini"), logPath: filepath.Join(dir, name+".log"),
	}
	text := fmt.Sprintf(settingsText, name, zone, a[0], a[1], a[2], a[3], a[4], p.address(), p.address())
	return v, errors.Wrap(os.WriteFile(v.settings, []byte(text), 0o600), "write settings")
}

// Ports are taken below the range that the kernel gives to outgoing
// connections, so that none is taken away while a process is down.
const (
	firstPort = 20000
	lastPort  = 32000
	// portStride keeps runs beside each other apart.
	portStride = 1009
)

var ports struct {
	sync.Mutex
	next int
}

func freeAddresses(count int) ([]string, error) {
	ports.Lock()
	defer ports.Unlock()
	if ports.next == 0 {
		ports.next = firstPort + os.Getpid()*portStride%(lastPort-firstPort)
	}
	var out []string
	for tried := 0; len(out) < count && tried < lastPort-firstPort; tried++ {
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		ports.next++
		if ports.next >= lastPort {
			ports.next = firstPort
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		out = append(out, address)
	}
	if len(out) < count {
		return nil, errors.New("no free ports")
	}
	return out, nil
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
	v.cmd, v.exited, v.paused = cmd, exited, false
	return nil
}

func (v *entryVM) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil && v.cmd.Process != nil {
		_ = v.cmd.Process.Signal(s)
		v.paused = s == syscall.SIGSTOP || v.paused && s != syscall.SIGCONT
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
