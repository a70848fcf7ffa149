package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
)

// relocationDocument is a document with engines that copy memory, and a stream that may not be
// resumed.
const relocationDocument = `{"version":2,"routes":[
{"name":"r-draft","host":"a.example","pathPrefix":"/draft/","kind":"stream","gapAimMs":500,"timeoutMs":9000,"latencyTargetMs":500,"service":"s","maxAttempts":1}],
"services":[{"name":"s","healthPath":"/healthz","maxConns":400,"engine":{"slots":16,"kvTokens":400000,"kvBytes":18432,"linkMbps":88000,"moves":true,"stride":1}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4096,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

const (
	// movingEvents is the number of events of a movingEngine's answers, and movingPause the time
	// between two.
	movingEvents = 60
	movingPause  = 30 * time.Millisecond
)

// movingEngine is an engine that copies the memory of its runs.
type movingEngine struct {
	id     string
	server *httptest.Server
	// failCopies makes it reject copies, failStops only those that stop the run, and
	// loseCopies makes it reject requests that go on with a copy.
	failCopies, failStops, loseCopies bool

	mu sync.Mutex
	// runs counts the requests that began anew, and continued those that went on with a copy.
	runs, continued int
	stop            chan struct{}
	stopped         bool
	dropped         int
}

func startMovingEngine(t *testing.T, id string) *movingEngine {
	e := &movingEngine{id: id, stop: make(chan struct{})}
	e.server = httptest.NewServer(e)
	t.Cleanup(e.server.Close)
	return e
}

func (e *movingEngine) address() string { return strings.TrimPrefix(e.server.URL, "http://") }

func (e *movingEngine) register(f *fixture, state string) {
	f.store.Put(platform.ServersTopic, e.id, fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"zone-a","version":"v1","slots":16,"state":%q,"spot":true,"born":1000,"seq":1}`, e.address(), state))
}

func (e *movingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/-/report":
		_, _ = w.Write([]byte(`{"leaves_ms":1500}`))
	case r.URL.Path == "/-/kv-move":
		e.copyMemory(w, r)
	case strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
		e.mu.Lock()
		e.dropped++
		e.mu.Unlock()
	default:
		e.answer(w, r)
	}
}

func (e *movingEngine) copyMemory(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Last bool `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if call.Last && !e.stopped {
		e.stopped = true
		close(e.stop)
	}
	if e.failCopies || e.failStops && call.Last {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte(`{"handle":"h-1","createdRev":5}`))
}

// answer streams the events after the last one that the request names.
func (e *movingEngine) answer(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	from := r.Header.Get("Kv-From")
	if from != "" && e.loseCopies {
		e.mu.Unlock()
		w.Header().Set("Coltsfootpath-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if from == "" {
		e.runs++
	} else {
		e.continued++
	}
	e.mu.Unlock()
	next := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Coltsfootpath-Request-Id", r.Header.Get("Coltsfootpath-Request-Id"))
	w.Header().Set("Coltsfootpath-Engine-Seal", "seal-"+e.id)
	for i := next; i <= movingEvents; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		w.(http.Flusher).Flush()
		select {
		case <-e.stop:
			panic(http.ErrAbortHandler)
		case <-time.After(movingPause):
		}
	}
}

// TestStreamMovesFromLeavingServer: a reclaimable engine announces that it leaves, during a
// stream that may not be resumed. The stream goes on with its memory on another engine: the
// caller gets every event once, in one answer with the seal of the first engine. Before, the
// stream was cut with its engine.
func TestStreamMovesFromLeavingServer(t *testing.T) {
	for _, c := range []struct {
		name                              string
		failCopies, failStops, loseCopies bool
		// whole is set if the caller gets its whole answer, and moved if on another engine.
		whole, moved bool
	}{
		{name: "moved", whole: true, moved: true},
		{name: "destination without room", failCopies: true, whole: true},
		{name: "source lost during the stop", failStops: true},
		{name: "copy lost", loseCopies: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.store.Put(platform.OperatorTopic, platform.DocumentKey, []byte(relocationDocument))
			engines := map[string]*movingEngine{}
			for _, id := range []string{"s-0", "s-1"} {
				e := startMovingEngine(t, id)
				e.failCopies, e.failStops, e.loseCopies = c.failCopies, c.failStops, c.loseCopies
				engines[id] = e
				e.register(f, "ready")
			}
			n := f.startNode("vm-1", 2)
			f.eventually("document is active", func() bool { return n.document.Load().Version == 2 })
			result := make(chan reply, 1)
			go func() {
				result <- do(t, n, call{method: "POST", path: "/draft/x", id: "x", body: "x", header: map[string]string{"Coltsfootpath-Deadline-Ms": "8000", "Coltsfootpath-Token-Count": "1000,60"}})
			}()
			var source *movingEngine
			f.eventually("request runs", func() bool {
				for _, e := range engines {
					if e.counts(t).runs > 0 {
						source = e
					}
				}
				return source != nil
			})
			source.register(f, "draining")
			got := <-result
			runs, continued := 0, 0
			for _, e := range engines {
				counts := e.counts(t)
				runs, continued = runs+counts.runs, continued+counts.continued
			}
			whole := got.err == nil && got.status == http.StatusOK && got.body == eventText(1, movingEvents)
			if whole != c.whole || runs != 1 || (continued == 1) != c.moved {
				t.Errorf("whole %v, want %v; %d runs, want 1; %d continued, want moved %v; status %d, error %v, body ends %q",
					whole, c.whole, runs, continued, c.moved, got.status, got.err, got.body[max(0, len(got.body)-60):])
			}
			if seal := got.header.Get("Coltsfootpath-Engine-Seal"); seal != "seal-"+source.id {
				t.Errorf("seal %q, want that of the first engine, %s", seal, source.id)
			}
		})
	}
}

type engineCounts struct{ runs, continued int }

func (e *movingEngine) counts(t *testing.T) engineCounts {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	return engineCounts{e.runs, e.continued}
}
