package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["samename"] = sameName }

const lease = 3 * time.Second

// sameName: a machine is replaced by one at another address that bears its name. The old one is
// still there for a while.
func sameName(rec *record, trouble bool) (bool, error) {
	c, err := newCluster(rec)
	if err != nil {
		return false, err
	}
	defer c.close()
	for i := range 2 {
		if _, err := c.startEngine(fmt.Sprintf("i-%d", i), "wuno96b", "zone-a", answerPlain); err != nil {
			return false, err
		}
	}
	if err := c.putConfig(plainConfig(7, oneTenant())); err != nil {
		return false, err
	}
	cl := newCloud(rec)
	add := func(name string, host int) (*machine, error) {
		m := c.addMachine(name, "zone-a", host, "")
		var err error
		m.cloud, err = cl.addressFor(m.ip)
		return m, err
	}
	for i := range 3 {
		m, err := add(fmt.Sprintf("front-zone-a-%d", i+1), i+1)
		if err != nil {
			return false, err
		}
		if err := c.start(m); err != nil {
			return false, err
		}
		if i == 0 {
			// The first machine takes the lease.
			time.Sleep(time.Second)
		}
	}
	if err := c.awaitReady(20*time.Second, c.machines...); err != nil {
		return false, err
	}
	var load sync.WaitGroup
	stop := make(chan struct{})
	for i := range 3 {
		load.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				send(c.machines[i], request{method: http.MethodGet, path: "/cufi504/fi50/2f", id: fmt.Sprintf("%04x%08x", i, k), key: "i9n73hh2b9wu3fexd9dn", deadline: 1500 * time.Millisecond})
			}
		})
	}
	time.Sleep(12 * time.Second)
	old := c.machines[0]
	name := old.name
	if !trouble {
		name = "front-zone-a-4"
	}
	successor, err := add(name, 4)
	if err != nil {
		return false, err
	}
	successor.firstStart = false
	if err := c.start(successor); err != nil {
		return false, err
	}
	if err := c.awaitReady(20*time.Second, successor); err != nil {
		return false, err
	}
	time.Sleep(40 * time.Second)
	close(stop)
	load.Wait()
	old.stop(syscall.SIGTERM)
	calls := cl.calls()
	broken := 0
	for i, a := range calls {
		for j := i + 1; j < len(calls) && calls[j].at.Sub(a.at) <= lease; j++ {
			b := calls[j]
			if b.machine == a.machine || b.subject != a.subject {
				continue
			}
			for k := j + 1; k < len(calls) && calls[k].at.Sub(a.at) <= lease; k++ {
				if calls[k].machine == a.machine && calls[k].subject == a.subject {
					rec.addf("BROKEN: %s: %s (fence %d), %s (fence %d), %s (fence %d) within %v", a.subject, a.machine, a.token, b.machine, b.token, calls[k].machine, calls[k].token, calls[k].at.Sub(a.at))
					broken++
				}
			}
		}
	}
	holders := map[string]int{}
	for _, x := range calls {
		holders[x.machine]++
	}
	rec.addf("accepted calls by machine: %v; %d times A, B, A", holders, broken)
	return broken > 0, nil
}
