package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/loopback"
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

// TestBrokenListOfAddressesIsUsed: addresses are taken from complete answers of success only.
func TestBrokenListOfAddressesIsUsed(t *testing.T) {
	const list = `{"addresses":[{"address":"entry-2"}],"keep_ms":60000}`
	for name, v := range map[string]struct {
		answer string
		want   int
	}{
		"complete":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n35\r\n" + list + "\r\n0\r\n\r\n", 1},
		"no last chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n35\r\n" + list + "\r\n", 0},
		"bytes after":   {"HTTP/1.1 200 OK\r\nContent-Length: 57\r\n\r\n" + list + "]]]]", 0},
		"failure":       {"HTTP/1.1 503 Unavailable\r\nContent-Length: 53\r\n\r\n" + list, 0},
	} {
		address, stop, err := loopback.Serve(v.answer)
		if err != nil {
			t.Fatal(err)
		}
		client := New(Config{})
		got, err := client.fetchAddressesFrom(t.Context(), address)
		if len(got.Addresses) != v.want || (err == nil) != (v.want > 0) {
			t.Errorf("%s: addresses %v, error %v, want %d", name, got.Addresses, err, v.want)
		}
		client.Close()
		stop()
	}
}
