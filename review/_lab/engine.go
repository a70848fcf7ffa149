package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that an engine has begun to work on.
type run struct {
	id, tenant, path string
	body             int
	at               time.Time
}

// engine is a stand-in for an engine. answer gives its answer to a request; it has run it.
type engine struct {
	id, service, zone string
	rec               *record
	server            *http.Server
	listener          net.Listener
	born              int64
	answer            func(w http.ResponseWriter, r *http.Request, body []byte)

	mu   sync.Mutex
	seq  int
	runs []run
}

func (c *cluster) startEngine(id, service, zone string, answer func(w http.ResponseWriter, r *http.Request, body []byte)) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, zone: zone, rec: c.rec, listener: l, answer: answer, born: time.Now().UnixMilli()}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(l) }()
	if err := c.store.TryPut("keyed.servers", id, e.entry()); err != nil {
		return nil, err
	}
	c.rec.addf("engine %s of %s: registered at %s", id, service, l.Addr())
	return e, nil
}

// entry returns the engine's entry for the store.
func (e *engine) entry() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	data, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": e.zone, "version": "v1", "slots": 64, "state": "ready",
		"coldLeftMs": 0, "seq": e.seq, "born": e.born,
	})
	if err != nil {
		panic(err)
	}
	return data
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Coltsfootpath-Expect-Engine"); expected != "" && expected != e.id {
		w.Header().Set("Coltsfootpath-Engine-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Coltsfootpath-Request-Id")
	if r.URL.Path == "/healthz" {
		w.Header().Set("Coltsfootpath-Engine-Id", e.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	if id == "" {
		w.Header().Set("Coltsfootpath-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Coltsfootpath-Request-Id", id)
	w.Header().Set("Coltsfootpath-Engine-Seal", e.id+"."+id)
	e.mu.Lock()
	e.runs = append(e.runs, run{id: id, tenant: r.Header.Get("Coltsfootpath-Tenant"), path: r.URL.Path, body: len(body), at: time.Now()})
	e.mu.Unlock()
	e.rec.addf("engine %s: runs %s %s id=%s tenant=%q bytes=%d", e.id, r.Method, r.URL.Path, id, r.Header.Get("Coltsfootpath-Tenant"), len(body))
	e.answer(w, r, body)
}

// ran returns the number of times that the engine has run a request.
func (e *engine) ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, x := range e.runs {
		if x.id == id {
			n++
		}
	}
	return n
}

// answerPlain is the answer of a sound plain service.
func answerPlain(w http.ResponseWriter, r *http.Request, _ []byte) {
	fmt.Fprintf(w, "done %s", r.Header.Get("Coltsfootpath-Request-Id"))
}
