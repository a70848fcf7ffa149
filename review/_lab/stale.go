package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["stale"] = stale }

// stale: the store is down for some seconds: it takes calls and answers none. Once it is back, the
// operator takes keys away. Requests with these keys are sent to all machines from contactMs after
// the store's return on.
func stale(rec *record, trouble bool) (bool, error) {
	const (
		configBound = 2 * time.Second // configMs
		contact     = 3 * time.Second // contactMs
		down        = 5 * time.Second
		rounds      = 8
	)
	c, err := newCluster(rec)
	if err != nil {
		return false, err
	}
	defer c.close()
	e, err := c.startEngine("i-0", "wuno96b", "zone-a", answerPlain)
	if err != nil {
		return false, err
	}
	tenants := func(round int) []map[string]any {
		// Round r has the keys of the tenants from r on.
		out := oneTenant()
		for i := round; i <= rounds; i++ {
			out = append(out, map[string]any{"name": fmt.Sprintf("tenant-%d", i), "apiKeys": []string{fmt.Sprintf("key-%d", i)}})
		}
		return out
	}
	if err := c.putConfig(plainConfig(1, tenants(0))); err != nil {
		return false, err
	}
	cl := newCloud(rec)
	storeAddress := c.store.Address()
	var proxies []*proxy
	for i := range 6 {
		address, err := cl.addressFor(fmt.Sprint(i + 1))
		if err != nil {
			return false, err
		}
		m := c.addMachine(fmt.Sprintf("front-zone-%c-%d", 'a'+i%3, 1+i/3), fmt.Sprintf("zone-%c", 'a'+i%3), i+1, address)
		p, err := newProxy(storeAddress, func(line string) {
			if strings.Contains(line, "topic=keyed.op") {
				rec.addf("store: does not answer %s: %s", m.name, line)
			}
		})
		if err != nil {
			return false, err
		}
		proxies = append(proxies, p)
		m.store = p.address()
		if err := c.start(m); err != nil {
			return false, err
		}
	}
	if err := c.awaitReady(20*time.Second, c.machines...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	broken := 0
	for round := 1; round <= rounds; round++ {
		if trouble {
			for _, p := range proxies {
				p.setSilent(true)
			}
			rec.addf("store: down")
		}
		time.Sleep(down)
		for _, p := range proxies {
			p.setSilent(false)
		}
		back := time.Now()
		rec.addf("store: up")
		time.Sleep(100 * time.Millisecond)
		if err := c.putConfig(plainConfig(1+round, tenants(round))); err != nil {
			return false, err
		}
		acked := time.Now()
		key := fmt.Sprintf("key-%d", round-1)
		time.Sleep(time.Until(back.Add(contact + 5*time.Millisecond)))
		var mu sync.Mutex
		var asked sync.WaitGroup
		for i, m := range c.machines {
			asked.Go(func() {
				for k := range 20 {
					sent := time.Now()
					id := fmt.Sprintf("%02x%02x%04x", round, i, k)
					a := send(m, request{method: http.MethodPost, path: "/puxa403/2f", id: id, key: key, deadline: 1500 * time.Millisecond, body: []byte(id)})
					if e.ran(id) > 0 {
						rec.addf("BROKEN: %s: id=%s with %s ran, sent %v after the store's return and %v after the acknowledgement of the configuration without that key (bound %v); status %d", m.name, id, key, sent.Sub(back), sent.Sub(acked), configBound, a.status)
						mu.Lock()
						broken++
						mu.Unlock()
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		asked.Wait()
		rec.addf("round %d: asked all machines with %s", round, key)
		time.Sleep(1500 * time.Millisecond)
	}
	rec.addf("%d requests ran with a key that was taken away more than %v before", broken, configBound)
	return broken > 0, nil
}
