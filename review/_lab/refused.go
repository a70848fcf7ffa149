package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["refused"] = refused }

// plainConfig is a configuration with one plain service and two routes to it.
func plainConfig(version int, tenants []map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-post", "host": host, "pathPrefix": "/puxa403/", "kind": "non_idempotent", "timeoutMs": 1500, "latencyTargetMs": 150, "priority": 2, "maxAttempts": 1, "service": "wuno96b"},
			{"name": "r-get", "host": host, "pathPrefix": "/cufi504/", "kind": "idempotent", "timeoutMs": 1500, "latencyTargetMs": 150, "priority": 2, "maxAttempts": 2, "service": "wuno96b"},
		},
		"services": []map[string]any{{"name": "wuno96b", "healthPath": "/healthz", "maxConns": 110}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  tenants,
	}
}

func oneTenant() []map[string]any {
	return []map[string]any{{"name": "hule930", "apiKeys": []string{"i9n73hh2b9wu3fexd9dn"}}}
}

// refused: an engine fails part of the postings that it has run, with 503 and without
// Coltsfootpath-Not-Run. The client does what the pages say of a 503: it sends the posting again.
func refused(rec *record, trouble bool) (bool, error) {
	c, err := newCluster(rec)
	if err != nil {
		return false, err
	}
	defer c.close()
	var mu sync.Mutex
	postings := map[string]int{}
	n := 0
	answer := func(w http.ResponseWriter, r *http.Request, body []byte) {
		mu.Lock()
		postings[string(body)]++
		n++
		fails := trouble && n%3 == 0
		mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		if fails {
			rec.addf("engine: has run id=%s and answers 503 without Coltsfootpath-Not-Run", r.Header.Get("Coltsfootpath-Request-Id"))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		answerPlain(w, r, body)
	}
	var engines []*engine
	for i := range 2 {
		e, err := c.startEngine(fmt.Sprintf("i-%d", i), "wuno96b", "zone-a", answer)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := c.putConfig(plainConfig(7, oneTenant())); err != nil {
		return false, err
	}
	cl := newCloud(rec)
	for i := range 2 {
		address, err := cl.addressFor(fmt.Sprint(i + 1))
		if err != nil {
			return false, err
		}
		m := c.addMachine(fmt.Sprintf("front-zone-a-%d", i+1), "zone-a", i+1, address)
		if err := c.start(m); err != nil {
			return false, err
		}
	}
	if err := c.awaitReady(20*time.Second, c.machines...); err != nil {
		return false, err
	}
	broken := 0
	for i := range 30 {
		body := fmt.Sprintf("posting-%d", i)
		for attempt := range 2 {
			q := request{method: http.MethodPost, path: "/puxa403/2f", id: fmt.Sprintf("%08x%08x", i, attempt), key: "i9n73hh2b9wu3fexd9dn", deadline: 1500 * time.Millisecond, body: []byte(body)}
			a := send(c.machines[i%2], q)
			ran := 0
			for _, e := range engines {
				ran += e.ran(q.id)
			}
			rec.addf("client: id=%s %s status=%d seal=%q err=%v, ran %d times", q.id, body, a.status, a.seal, a.err, ran)
			isPromise := a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421
			if isPromise && ran > 0 {
				rec.addf("BROKEN: id=%s was answered %d and has run", q.id, a.status)
				broken++
			}
			if !isPromise {
				break
			}
		}
	}
	twice := 0
	for body, k := range postings {
		if k > 1 {
			twice++
			rec.addf("%s was recorded %d times", body, k)
		}
	}
	rec.addf("%d requests were answered with a promise and had run; %d of 30 postings were recorded more than once", broken, twice)
	return broken > 0, nil
}
