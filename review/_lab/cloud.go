package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// cloud is a stand-in for the platform's calls for singleton duties. Each machine has an address
// of its own, by which the machine that calls is told from others.
type cloud struct {
	rec *record

	mu      sync.Mutex
	highest map[string]uint64
}

func newCloud(rec *record) *cloud { return &cloud{rec: rec, highest: map[string]uint64{}} }

// addressFor returns the address for the calls of one machine.
func (c *cloud) addressFor(machine string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(machine, w, r) }))
	}()
	return l.Addr().String(), nil
}

func (c *cloud) serve(machine string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in struct {
		Window  int64          `json:"windowId"`
		Counts  map[string]int `json:"counts"`
		Service string         `json:"service"`
		Zone    string         `json:"zone"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	subject := "usage"
	if r.URL.Path == "/scale" {
		subject = "scale " + in.Service + " " + in.Zone
	}
	token, _ := strconv.ParseUint(r.Header.Get("Coltsfootpath-Fence-Token"), 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	holder := r.Header.Get("Coltsfootpath-Duty-Holder")
	if token < c.highest[subject] {
		c.rec.addf("cloud: refuses %s from machine %s, holder=%s fence=%d (seen %d)", subject, machine, holder, token, c.highest[subject])
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.highest[subject] = token
	counts, _ := json.Marshal(in.Counts)
	c.rec.addf("cloud: accepts %s from machine %s, holder=%s fence=%d window=%d counts=%s", subject, machine, holder, token, in.Window, counts)
	w.WriteHeader(http.StatusOK)
}
