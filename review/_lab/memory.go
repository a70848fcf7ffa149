package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = memory }

// memoryOf returns the resident memory of a process in MB.
func memoryOf(m *machine) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

func memory(rec *record, trouble bool) (bool, error) {
	n := 24
	if s := os.Getenv("N"); s != "" {
		n, _ = strconv.Atoi(s)
	}
	c, err := newCluster(rec)
	if err != nil {
		return false, err
	}
	defer c.close()
	answer := func(w http.ResponseWriter, r *http.Request, body []byte) {
		time.Sleep(300 * time.Millisecond)
		answerPlain(w, r, body)
	}
	for i := range 4 {
		if _, err := c.startEngine(fmt.Sprintf("i-%d", i), "wuno96b", "zone-a", answer); err != nil {
			return false, err
		}
	}
	if err := c.putConfig(plainConfig(7, oneTenant())); err != nil {
		return false, err
	}
	cl := newCloud(rec)
	address, err := cl.addressFor("1")
	if err != nil {
		return false, err
	}
	m := c.addMachine("front-zone-a-1", "zone-a", 1, address)
	if err := c.start(m); err != nil {
		return false, err
	}
	if err := c.awaitReady(20*time.Second, m); err != nil {
		return false, err
	}
	most, killed := 0, false
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			if x := memoryOf(m); x > most {
				most = x
				if x > m.memoryMB && !killed {
					killed = true
					rec.addf("platform: process has %d MB of %d: killed", x, m.memoryMB)
					m.signal(syscall.SIGKILL)
				}
			}
		}
	}()
	body := make([]byte, 4194304)
	for i := range body {
		body[i] = 'a'
	}
	var wg sync.WaitGroup
	for i := range n {
		ask := func() {
			a := send(m, request{method: http.MethodPost, path: "/puxa403/2f", id: fmt.Sprintf("%08x", i), key: "i9n73hh2b9wu3fexd9dn", deadline: 1500 * time.Millisecond, body: body})
			rec.addf("client: id=%08x status=%d err=%v", i, a.status, a.err)
		}
		if trouble {
			wg.Go(ask)
		} else {
			ask()
		}
	}
	wg.Wait()
	close(done)
	rec.addf("most memory %d MB, killed %v", most, killed)
	return killed, nil
}
