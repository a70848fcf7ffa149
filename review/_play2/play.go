// Command play2 plays the scripted cases of the second review: real gateway processes on loopback
// addresses, with stand-ins of the platform, of servers and of clients.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(p *play) error{}

func main() {
	name := flag.String("case", "", "number of the case")
	dir := flag.String("dir", "", "folder for record.txt")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		os.Exit(exitNotRun)
	}
	p, err := newPlay(*dir)
	if err == nil {
		err = run(p)
	}
	os.Exit(p.finish(err))
}

// play is one run of a case.
type play struct {
	trouble bool
	store   *platformtest.Store
	tmp     string
	began   time.Time

	mu       sync.Mutex
	record   *os.File
	broken   []string
	gateways []*gateway
}

func newPlay(dir string) (*play, error) {
	p := &play{trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if p.record, err = os.Create(filepath.Join(dir, "record.txt")); err != nil {
		return p, err
	}
	if p.tmp, err = os.MkdirTemp("", "review-2-"); err != nil {
		return p, err
	}
	p.store = platformtest.NewStore()
	p.note("trouble %v", p.trouble)
	return p, nil
}

// note writes a line of record.txt.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.record != nil {
		fmt.Fprintf(p.record, "%8.3f "+format+"\n", append([]any{time.Since(p.began).Seconds()}, args...)...)
	}
}

// breaks records that the rule is broken.
func (p *play) breaks(format string, args ...any) {
	p.note("BROKEN "+format, args...)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = append(p.broken, fmt.Sprintf(format, args...))
}

// finish ends all processes and returns the exit code.
func (p *play) finish(err error) int {
	for _, g := range p.gateways {
		g.kill()
	}
	if p.store != nil {
		p.store.Close()
	}
	if p.tmp != "" {
		_ = os.RemoveAll(p.tmp)
	}
	code := exitHeld
	switch {
	case err != nil:
		p.note("not run: %v", err)
		fmt.Println("not run:", err)
		code = exitNotRun
	case len(p.broken) > 0:
		fmt.Printf("rule broken %d times, first: %s\n", len(p.broken), p.broken[0])
		code = exitBroken
	default:
		fmt.Println("rule held")
	}
	p.note("exit %d", code)
	return code
}

// gateway is a process of the deploy file on a machine of its own, a loopback address.
type gateway struct {
	name, zone, ip string
	callers, ready string
	cmd            *exec.Cmd
	exited         chan struct{}
}

// bounds holds the fields of the settings that are alike on all machines, as the site file and
// DEPLOY.md state them for a small deployment.
var bounds = map[string]string{
	"limits.memoryMb": "284", "limits.maxFds": "4100", "limits.linkMbps": "1000.0", "bootstrap": "true",
	"bounds.graceS": "8", "bounds.ttl_max_s": "5", "bounds.configMs": "2000", "bounds.drainMs": "2000", "bounds.leaseMs": "3000",
	"bounds.usageWindowS": "5", "bounds.usageLateS": "10", "bounds.budgetRatio": "0.2", "bounds.budgetSlack": "56",
	"bounds.budgetWindowS": "10", "bounds.quotaSlack": "140000", "portRange.0": "7600",
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-zA-Z0-9_.]+)\}\}(.*?)\{\{/([a-zA-Z0-9_.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9_.]+)\}\}`)
)

// fill fills in the template of the settings, as DEPLOY.md describes it.
func fill(template string, fields map[string]string) string {
	template = section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		value := fields[m[1]]
		if value == "" || value == "false" || m[1] != m[3] {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", value)
	})
	return placeholder.ReplaceAllStringFunc(template, func(s string) string {
		return fields[placeholder.FindStringSubmatch(s)[1]]
	})
}

// startGateways starts count gateways in zones of their own and waits until they are ready.
func (p *play) startGateways(count int) error {
	template, err := os.ReadFile("deploy/gateway.ini.tmpl")
	if err != nil {
		return err
	}
	net2, net3 := 1+rand.IntN(200), 1+rand.IntN(200)
	var seeds []string
	for i := range count {
		ip := fmt.Sprintf("127.%d.%d.%d", net2, net3, 11+i)
		p.gateways = append(p.gateways, &gateway{name: fmt.Sprintf("front-%d", i+1), zone: fmt.Sprintf("zone-%d", i+1), ip: ip, callers: ip + ":8221", ready: ip + ":8224"})
		seeds = append(seeds, ip+":8229")
	}
	for _, g := range p.gateways {
		fields := map[string]string{
			"nodeName": g.name, "zone": g.zone, "ip": g.ip, "listen.front": g.callers, "listen.ready": g.ready, "listen.directory": g.ip + ":8220",
			"seeds": strings.Join(seeds[:min(len(seeds), 3)], ","), "platform.address": p.store.Address(), "cloud.address": p.store.Address(),
		}
		for k, v := range bounds {
			fields[k] = v
		}
		path := filepath.Join(p.tmp, g.name+".conf")
		if err := os.WriteFile(path, []byte(fill(string(template), fields)), 0o600); err != nil {
			return err
		}
		if err := g.start(path, filepath.Join(p.tmp, g.name+".log")); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range p.gateways {
			if g.isReady() {
				ready++
			}
		}
		if ready == count {
			p.note("%d gateways are ready", count)
			return nil
		}
	}
	return fmt.Errorf("gateways are not ready")
}

func (g *gateway) start(settings, log string) error {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.cmd = exec.Command("target/coltsfoot-gateway")
	g.cmd.Env = []string{"COLTSFOOTPATH_SETTINGS=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	g.cmd.Stdout, g.cmd.Stderr = out, out
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.exited = exited
	go func() {
		_ = g.cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	return nil
}

func (g *gateway) kill() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	<-g.exited
}

func (g *gateway) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Headers of the platform's protocol.
const (
	headerID       = "Coltsfootpath-Request-Id"
	headerSeal     = "Coltsfootpath-Engine-Seal"
	headerNotRun   = "Coltsfootpath-Not-Run"
	headerExpect   = "Coltsfootpath-Expect-Engine"
	headerServer   = "Coltsfootpath-Engine-Id"
	headerDeadline = "Coltsfootpath-Deadline-Ms"
	apiKey         = "key-1"
	host           = "ficu95.example"
)

// beat is the interval at which servers write their entries.
const beat = 1200 * time.Millisecond

// register writes the entry of a server every beat until the returned function is called,
// which can remove it.
func (p *play) register(id, service, address, zone, version string, slots int) (stop func(remove bool)) {
	born, done := time.Now().UnixMilli(), make(chan struct{})
	put := func(seq int) {
		entry, _ := json.Marshal(map[string]any{
			"service": service, "address": address, "zone": zone, "version": version, "slots": slots, "state": "ready", "coldLeftMs": 0, "seq": seq, "born": born,
		})
		p.store.Put(platform.ServersTopic, id, entry)
	}
	put(1)
	go func() {
		for seq := 2; ; seq++ {
			select {
			case <-done:
				return
			case <-time.After(beat):
				put(seq)
			}
		}
	}()
	var once sync.Once
	return func(remove bool) {
		once.Do(func() { close(done) })
		if remove {
			p.store.Put(platform.ServersTopic, id, nil)
		}
	}
}

// answer is what a client has received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// client sends requests to one gateway over connections that it keeps.
type client struct {
	http *http.Client
	base string
}

func newClient(g *gateway) *client {
	return &client{base: "http://" + g.callers, http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4,
	}}}
}

func (c *client) do(method, path, id, body string, deadline time.Duration) answer {
	req, err := http.NewRequest(method, c.base+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set(headerID, id)
	req.Header.Set(headerDeadline, fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	c.http.Timeout = deadline + 2*time.Second
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	_, err = b.ReadFrom(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: b.String(), err: err}
}
