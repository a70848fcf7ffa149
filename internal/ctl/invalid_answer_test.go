package ctl

import (
	"testing"

	"github.com/cockroachdb/errors"

	"coltsfootpath.example/coltsfootpath/internal/app"
	"coltsfootpath.example/coltsfootpath/internal/loopback"
	"coltsfootpath.example/coltsfootpath/internal/protocol/adminapi"
	"coltsfootpath.example/coltsfootpath/internal/transport/http1/http1test"
)

// TestInvalidAnswerIsBelieved: an answer of a coordinator that RFC 9112 does not allow is reported
// as no answer.
func TestInvalidAnswerIsBelieved(t *testing.T) {
	for _, status := range []int{200, 409, 500} {
		for name, sent := range http1test.InvalidAnswers(status, `{"error":"x"}`) {
			address, stop, err := loopback.Serve(sent)
			if err != nil {
				t.Fatal(err)
			}
			client := &AdminClient{Address: address}
			_, submitErr := client.Submit(t.Context(), adminapi.SubmitRequest{})
			_, statusErr := client.Status(t.Context())
			for _, err := range []error{submitErr, statusErr} {
				var exit *app.ExitError
				if !errors.As(err, &exit) || exit.Code != app.ExitUnavailable {
					t.Errorf("status %d, %s: error %v, want exit code %d", status, name, err, app.ExitUnavailable)
				}
			}
			stop()
		}
	}
}
