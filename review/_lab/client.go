package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// request is one client attempt.
type request struct {
	method, path, id, key string
	deadline              time.Duration
	body                  []byte
	header                map[string]string
}

// answer is what a client got.
type answer struct {
	err    error
	status int
	seal   string
	body   []byte
}

// host is the name under which clients ask.
const host = "ficu95.example"

// send sends a request to a machine on a new connection and reads the whole answer.
func send(m *machine, q request) answer {
	client := &http.Client{Timeout: q.deadline + time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	r, err := http.NewRequest(q.method, "http://"+m.address(portCallers)+q.path, bytes.NewReader(q.body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.Header.Set("Coltsfootpath-Request-Id", q.id)
	r.Header.Set("Coltsfootpath-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set("Authorization", "Bearer "+q.key)
	}
	for k, v := range q.header {
		r.Header.Set(k, v)
	}
	resp, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{err: err, status: resp.StatusCode, seal: resp.Header.Get("Coltsfootpath-Engine-Seal"), body: data}
}
