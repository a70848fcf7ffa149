package logservice

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/protocol/logapi"
	"coltsfootpath.example/coltsfootpath/internal/transport/httpserver"
)

const (
	maxAppendBytes = 16 << 20
	maxReadWait    = 30 * time.Second
)

// Handler serves the log's HTTP protocol, and /faults, which sets the faults.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/append", l.serveAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/read", l.serveRead)
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := httpserver.ReadJSON(r, maxAppendBytes, &f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.SetFaults(f)
		httpserver.WriteJSON(w, http.StatusOK, f)
	})
	return mux
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var req logapi.AppendRequest
	if err := httpserver.ReadJSON(r, maxAppendBytes, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	first, err := l.Append(r.Context(), r.PathValue("stream"), req.Records)
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	httpserver.WriteJSON(w, http.StatusOK, logapi.AppendAnswer{First: first})
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, ports.ErrRejected):
		return http.StatusTooManyRequests
	case errors.Is(err, ports.ErrInterrupted):
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter from is not an offset", http.StatusBadRequest)
		return
	}
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	wait := min(time.Duration(waitMillis)*time.Millisecond, maxReadWait)
	batch, err := l.Read(r.Context(), r.PathValue("stream"), from, wait)
	var trimmed *ports.TrimmedError
	if errors.As(err, &trimmed) {
		httpserver.WriteJSON(w, http.StatusOK, logapi.ReadAnswer{Earliest: trimmed.Earliest, Trimmed: true})
		return
	}
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	answer := logapi.ReadAnswer{Earliest: batch.Earliest, Next: batch.Next}
	for _, rec := range batch.Records {
		answer.Records = append(answer.Records, logapi.Record{Offset: rec.Offset, Data: rec.Data})
	}
	httpserver.WriteJSON(w, http.StatusOK, answer)
}
