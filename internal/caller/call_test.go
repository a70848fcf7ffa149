package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
)

// TestCallerRetriesAreMarked rejects the first request as not run and aborts the
// next two: every request after an aborted one must be marked as a retry, also on
// a reused connection.
func TestCallerRetriesAreMarked(t *testing.T) {
	var marks []string
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	defer server.Close()
	mux.HandleFunc("GET "+callerapi.AddressesPath, func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(callerapi.AddressesAnswer{Addresses: []callerapi.Address{{Address: r.Host}}, CacheMillis: 60_000})
	})
	mux.HandleFunc(callerapi.RequestPath, func(w http.ResponseWriter, r *http.Request) {
		marks = append(marks, r.Header.Get(callerapi.ResendHeader))
		switch len(marks) {
		case 1:
			w.WriteHeader(http.StatusTooManyRequests)
			_ = json.NewEncoder(w).Encode(callerapi.ErrorAnswer{Error: callerapi.Error{Code: callerapi.LimitReached, Run: callerapi.NotRun, RetryAfterMillis: 1}})
		case 2, 3:
			panic(http.ErrAbortHandler)
		default:
			_ = json.NewEncoder(w).Encode(callerapi.CallAnswer{Body: []byte(`{}`)})
		}
	})
	client := New(Config{Seeds: []string{strings.TrimPrefix(server.URL, "http://")}})
	defer client.Close()
	key := Key{Value: "k", IssuedAt: time.Now()}
	if _, retries, err := client.CallWithKey(context.Background(), "ledger", "deposit", &key, "body"); err != nil || retries != 3 {
		t.Fatal(retries, err)
	}
	if got := strings.Join(marks, ","); got != ",,true,true" || !key.MayHaveRun {
		t.Errorf("retry marks are %q", got)
	}
}
