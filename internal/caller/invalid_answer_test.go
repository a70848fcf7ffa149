package caller

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/loopback"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/transport/http1/http1test"
)

// TestInvalidAnswerIsBelieved: an answer that RFC 9112 does not allow is no result, does not state
// that a call has not run, and holds no addresses.
func TestInvalidAnswerIsBelieved(t *testing.T) {
	for status, answer := range map[int]any{
		200: struct {
			callerapi.CallAnswer
			callerapi.AddressesAnswer
		}{callerapi.CallAnswer{Body: []byte("{}")}, callerapi.AddressesAnswer{Addresses: []callerapi.Address{{Address: "entry-2"}}, CacheMillis: 60_000}},
		429: callerapi.ErrorAnswer{Error: callerapi.Error{Code: callerapi.LimitReached, Run: callerapi.NotRun, RetryAfterMillis: 1}},
	} {
		body, err := json.Marshal(answer)
		if err != nil {
			t.Fatal(err)
		}
		for name, sent := range http1test.InvalidAnswers(status, string(body)) {
			address, stop, err := loopback.Serve(sent)
			if err != nil {
				t.Fatal(err)
			}
			client := New(Config{})
			client.addresses, client.addressesExpireAt = []string{address}, time.Now().Add(time.Hour)
			_, err = client.callOnce(t.Context(), "s", "r", Key{Value: "k"}, nil)
			var rejection *callerapi.Error
			if err == nil || errors.As(err, &rejection) || hasCertainlyNotRun(err) {
				t.Errorf("status %d, %s: call: error %v", status, name, err)
			}
			if got, err := client.fetchAddressesFrom(t.Context(), address); err == nil {
				t.Errorf("status %d, %s: addresses %v", status, name, got)
			}
			client.Close()
			stop()
		}
	}
}
