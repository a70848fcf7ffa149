package httpserver

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// unbufferedWriteBytes is the length of a write that the library sends without
// buffering it.
const unbufferedWriteBytes = 100 << 10

// isAnswer reports whether got is the answer to body.
func isAnswer(got []byte, body string) bool {
	rest, ok := strings.CutPrefix(string(got), body)
	if len(body)%8 != 0 {
		return ok && rest == ""
	}
	return ok && rest == strings.Repeat(body[:1], unbufferedWriteBytes)
}

// isTimeout reports whether a request timed out without an answer.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// TestEachRequestIsHandledOnceAndAnswered sends requests over persistent
// connections and cancels some in the middle. Each handler must get the header
// and body of one request, each request must be handled at most once, and each
// caller must get its own answer.
func TestEachRequestIsHandledOnceAndAnswered(t *testing.T) {
	const callers, requestsPerCaller = 64, 400
	var mu sync.Mutex
	handled := map[string]int{}
	s := startServer(t, Config{}, func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(r, 1<<20)
		if err != nil {
			return
		}
		id, _, _ := strings.Cut(string(body), " ")
		if got := r.Header.Get("Request-Id"); got != id {
			t.Errorf("header of request %s with body of request %s", got, id)
		}
		mu.Lock()
		handled[id]++
		mu.Unlock()
		if rand.IntN(4) == 0 {
			time.Sleep(time.Duration(rand.IntN(3000)) * time.Microsecond)
		}
		_, _ = w.Write(body)
		if len(body)%8 == 0 {
			_, _ = w.Write(bytes.Repeat(body[:1], unbufferedWriteBytes))
		}
	})
	client := &http.Client{Timeout: testTimeout / 2, Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := range requestsPerCaller {
				id := fmt.Sprintf("%d-%d", c, i)
				ctx, cancel := context.WithCancel(context.Background())
				if rand.IntN(20) == 0 {
					time.AfterFunc(time.Duration(rand.IntN(2000))*time.Microsecond, cancel)
				}
				body := id + " " + strings.Repeat("x", rand.IntN(400))
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address()+"/", io.NopCloser(strings.NewReader(body)))
				if err != nil {
					t.Error(err)
					cancel()
					return
				}
				req.ContentLength = int64(len(body))
				req.Header.Set("Request-Id", id)
				resp, err := client.Do(req)
				if isTimeout(err) || err != nil && ctx.Err() == nil {
					t.Errorf("request %s: %v", id, err)
					cancel()
					return
				}
				if err == nil {
					got, readErr := io.ReadAll(resp.Body)
					resp.Body.Close()
					if readErr == nil && !isAnswer(got, body) {
						t.Errorf("request %s got the answer %.20q", id, got)
					}
				}
				cancel()
			}
		})
	}
	wg.Wait()
	for id, n := range handled {
		if n != 1 {
			t.Errorf("request %s was handled %d times", id, n)
		}
	}
}
