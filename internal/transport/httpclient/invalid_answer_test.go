package httpclient

import (
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/transport/http1/http1test"
)

// TestInvalidAnswerIsBelieved: an answer that RFC 9112 does not allow states neither a result nor
// that a call was rejected.
func TestInvalidAnswerIsBelieved(t *testing.T) {
	for _, status := range []int{200, 400, 404, 412, 429, 503} {
		body := "{}"
		if status == 200 {
			body = "event: frame\ndata: {\"done\":true}\n\n"
		}
		for name, answer := range http1test.InvalidAnswers(status, body) {
			if status == 200 && name == "blank in a trailer" {
				// The last frame, before the trailer, completes a stream.
				continue
			}
			checkInterrupted(t, name, answer)
		}
	}
	for name, answer := range http1test.InvalidAnswers(200, "{}") {
		checkInterrupted(t, name, answer)
	}
}
