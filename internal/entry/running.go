package entry

import (
	"sync"

	"coltsfootpath.example/coltsfootpath/internal/state/requests"
)

// runningAttempt identifies an attempt that has been given a backend server.
type runningAttempt struct {
	number int
	name   string
}

// runningSet holds the running attempts by backend server.
type runningSet struct {
	mu       *sync.Mutex
	byServer map[string]map[*requestRun]runningAttempt
}

func newRunningSet() runningSet {
	return runningSet{mu: &sync.Mutex{}, byServer: map[string]map[*requestRun]runningAttempt{}}
}

func (s runningSet) add(server string, r *requestRun, a runningAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byServer[server] == nil {
		s.byServer[server] = map[*requestRun]runningAttempt{}
	}
	s.byServer[server][r] = a
}

// remove removes an attempt. A later attempt of the same run on the server
// stays.
func (s runningSet) remove(server string, r *requestRun, attempt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byServer[server][r].number == attempt {
		delete(s.byServer[server], r)
	}
	if len(s.byServer[server]) == 0 {
		delete(s.byServer, server)
	}
}

// onServer returns a copy of the attempts on a server.
func (s runningSet) onServer(server string) map[*requestRun]runningAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[*requestRun]runningAttempt, len(s.byServer[server]))
	for r, a := range s.byServer[server] {
		out[r] = a
	}
	return out
}

// runTable maps requests to their runs.
type runTable struct {
	mu        sync.Mutex
	byRequest map[*requests.Request]*requestRun
}

func newRunTable() *runTable {
	return &runTable{byRequest: map[*requests.Request]*requestRun{}}
}

func (t *runTable) add(r *requestRun) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byRequest[r.req] = r
}

func (t *runTable) remove(r *requestRun) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byRequest, r.req)
}

func (t *runTable) find(req *requests.Request) *requestRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byRequest[req]
}
