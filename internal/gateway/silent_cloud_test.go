package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestSilentReportsOutlastLease: usage reports get no answer. The holder renews its lease
// between any two of them, instead of sending those of all windows first.
func TestSilentReportsOutlastLease(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.addServer("s-1", nil)
	var mu sync.Mutex
	var appendsAtCall []int
	cloud := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/usage" {
			mu.Lock()
			appendsAtCall = append(appendsAtCall, f.store.Appends(dutyTopic))
			mu.Unlock()
		}
		// The end of the connection shows only after the body.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	t.Cleanup(cloud.Close)
	settings := f.settings("vm-1")
	settings.CloudAddress = strings.TrimPrefix(cloud.URL, "http://")
	settings.UsageWindow, settings.UsageReportTimeout = 3*time.Second, time.Second
	n, err := Start(settings, f.logs)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	f.eventually("node is ready", func() bool { return n.Ready() && n.backends.count() == 1 })
	const calls = 7
	for i := 0; ; i++ {
		do(t, n, call{method: "GET", path: "/again/x", key: "key-w", id: fmt.Sprint("r-", i)})
		mu.Lock()
		made := len(appendsAtCall)
		mu.Unlock()
		if made >= calls {
			break
		}
		if i > 1000 {
			t.Fatalf("%d reports were sent", made)
		}
		time.Sleep(50 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	for i := 1; i < len(appendsAtCall); i++ {
		if appendsAtCall[i] == appendsAtCall[i-1] {
			t.Errorf("reports %d and %d were sent without a renewal between them: records in the log at each report: %v", i-1, i, appendsAtCall)
			break
		}
	}
}
