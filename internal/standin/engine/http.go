package engine

import (
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/protocol/engineapi"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpclient"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
)

const (
	maxBodyBytes = 4 << 20
	kvFetchPath  = "/v1/kv/fetch"
)

// Server serves an engine's HTTP protocol, and /faults, which sets its faults.
type Server struct {
	engine *Engine
	client *httpclient.Client
}

// NewServer returns a server for an engine.
func NewServer(e *Engine) *Server {
	return &Server{engine: e, client: httpclient.New()}
}

// Handler returns a handler for all paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.GeneratePath, s.generate)
	mux.HandleFunc("POST "+engineapi.CancelPath, jsonHandler(func(r *http.Request, in engineapi.AttemptRequest) (struct{}, error) {
		s.engine.Cancel(in.Attempt)
		return struct{}{}, nil
	}))
	mux.HandleFunc("GET "+engineapi.LoadPath, func(w http.ResponseWriter, r *http.Request) {
		httpserver.WriteJSON(w, http.StatusOK, s.engine.Load())
	})
	mux.HandleFunc("GET "+engineapi.CacheEventsPath, func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
		httpserver.WriteJSON(w, http.StatusOK, engineapi.CacheEventsAnswer{Events: s.engine.CacheEvents(from)})
	})
	mux.HandleFunc("POST "+engineapi.ExportPath, jsonHandler(func(r *http.Request, in engineapi.AttemptRequest) (ports.KVCache, error) {
		return s.engine.ExportKV(in.Attempt)
	}))
	mux.HandleFunc("GET "+kvFetchPath, s.fetchKV)
	mux.HandleFunc("POST "+engineapi.ImportPath, jsonHandler(s.importKV))
	mux.HandleFunc("POST "+engineapi.OrderPath, jsonHandler(func(r *http.Request, in ports.Order) (struct{}, error) {
		return struct{}{}, s.engine.ExecuteOrder(in)
	}))
	mux.HandleFunc("POST /faults", jsonHandler(func(r *http.Request, in Faults) (Faults, error) {
		s.engine.SetFaults(in)
		return in, nil
	}))
	return mux
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var req ports.GenerateRequest
	if err := httpserver.ReadJSON(r, maxBodyBytes, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var events *httpserver.EventStream
	err := s.engine.Generate(r.Context(), req, func(f ports.Frame) error {
		if events == nil {
			events = httpserver.NewEventStream(w, r)
		}
		return events.Send(engineapi.FrameEvent, f)
	})
	if err != nil && events == nil {
		http.Error(w, err.Error(), statusOf(err))
	}
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, ports.ErrRejected):
		return http.StatusNotFound
	case errors.Is(err, ports.ErrOutdatedFencingToken):
		return http.StatusPreconditionFailed
	}
	return http.StatusInternalServerError
}

func (s *Server) fetchKV(w http.ResponseWriter, r *http.Request) {
	tokens, ok := s.engine.ExportedTokens(r.URL.Query().Get("handle"))
	if !ok {
		http.Error(w, "unknown export handle", http.StatusNotFound)
		return
	}
	httpserver.WriteJSON(w, http.StatusOK, tokens)
}

func (s *Server) importKV(r *http.Request, in engineapi.ImportRequest) (struct{}, error) {
	var tokens []string
	url := "http://" + in.Source + kvFetchPath + "?handle=" + in.Cache.Handle
	if err := s.client.CallJSON(r.Context(), http.MethodGet, url, nil, &tokens); err != nil {
		return struct{}{}, err
	}
	s.engine.ImportKV(tokens)
	return struct{}{}, nil
}

func jsonHandler[In, Out any](f func(*http.Request, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := httpserver.ReadJSON(r, maxBodyBytes, &in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := f(r, in)
		if err != nil {
			http.Error(w, err.Error(), statusOf(err))
			return
		}
		httpserver.WriteJSON(w, http.StatusOK, out)
	}
}
