// Package service is a small stand-in for a plain service. It counts runs by
// key, so that tests can detect a second run of a non-repeatable call.
package service

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/protocol/serviceapi"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
)

// Faults holds the faults that can be set at run time.
type Faults struct {
	// SlowMillis is the duration of each run in milliseconds.
	SlowMillis int `json:"slow_ms"`
	// FailRatio is the fraction of calls that fail before they run, 0 to 1.
	FailRatio float64 `json:"fail_ratio"`
	// AnswerLossRatio is the fraction of calls that run but whose answer is lost,
	// 0 to 1.
	AnswerLossRatio float64 `json:"lose_answers"`
}

// Service is the plain service stand-in. It is safe for concurrent use.
type Service struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
	runs   map[string]int
}

// New returns a service whose faults are drawn from seed.
func New(seed uint64) *Service {
	return &Service{random: rand.New(rand.NewPCG(seed, 3)), runs: map[string]int{}}
}

// SetFaults replaces the active faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the number of runs by "route/key".
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// ErrInjected is returned for calls that Faults.FailRatio makes fail. They did not
// run.
var ErrInjected = errors.New("service failed before running the call")

// Receipt is the body of an answer. Run numbers the runs of its route and key
// from 1.
type Receipt struct {
	Route string          `json:"route"`
	Key   string          `json:"key"`
	Run   int             `json:"run"`
	Echo  json.RawMessage `json:"echo,omitempty"`
}

// Call runs one call. A failure injected before the run is returned as a
// rejection, a lost answer as an interrupted connection.
func (s *Service) Call(ctx context.Context, req ports.CallRequest) (ports.CallResult, error) {
	s.mu.Lock()
	f := s.faults
	failBeforeRun := f.FailRatio > 0 && s.random.Float64() < f.FailRatio
	loseAnswer := f.AnswerLossRatio > 0 && s.random.Float64() < f.AnswerLossRatio
	s.mu.Unlock()
	if failBeforeRun {
		return ports.CallResult{}, errors.Mark(ErrInjected, ports.ErrRejected)
	}
	if f.SlowMillis > 0 {
		time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
	}
	s.mu.Lock()
	name := req.Route + "/" + req.Key
	s.runs[name]++
	receipt := Receipt{Route: req.Route, Key: req.Key, Run: s.runs[name], Echo: req.Body}
	s.mu.Unlock()
	if loseAnswer {
		return ports.CallResult{}, errors.Wrap(ports.ErrInterrupted, "answer lost")
	}
	body, err := json.Marshal(receipt)
	return ports.CallResult{Body: body}, err
}

const maxBodyBytes = 4 << 20

// Handler serves the service's HTTP protocol, /faults, which sets the faults,
// and /runs, which returns the runs by key.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+serviceapi.CallPath, s.serveCall)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, r *http.Request) {
		httpserver.WriteJSON(w, http.StatusOK, s.Runs())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := httpserver.ReadJSON(r, maxBodyBytes, &f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
		httpserver.WriteJSON(w, http.StatusOK, f)
	})
	return mux
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	var req ports.CallRequest
	if err := httpserver.ReadJSON(r, maxBodyBytes, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result, err := s.Call(r.Context(), req)
	switch {
	case err == nil:
		httpserver.WriteJSON(w, http.StatusOK, result)
	case errors.Is(err, ports.ErrRejected):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusBadGateway)
	}
}
