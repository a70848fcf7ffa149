package httpclient

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkLoadPoll measures the time and the bytes of polling one engine's
// load report, for different numbers of loaded models. The time includes that
// of the server, which runs in the same process.
func BenchmarkLoadPoll(b *testing.B) {
	for _, models := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			var list []string
			for i := range models {
				list = append(list, fmt.Sprintf("\"savings-7b-v%d\"", i))
			}
			body := fmt.Sprintf(`{"running":12,"waiting":3,"queued_prefill":2048,"slots":32,"models":[%s],"at":"2026-12-03T21:45:27.123456789Z"}`, strings.Join(list, ","))
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "application/json")
				_, _ = w.Write([]byte(body))
			}))
			defer server.Close()
			var bytes atomic.Int64
			client := New()
			transport := client.http.Transport.(*http.Transport)
			dial := transport.DialContext
			transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				return countingConn{Conn: conn, bytes: &bytes}, err
			}
			engine := NewEngine(client)
			address := strings.TrimPrefix(server.URL, "http://")
			var report ports.LoadReport
			for b.Loop() {
				var err error
				if report, err = engine.Load(b.Context(), address); err != nil {
					b.Fatal(err)
				}
			}
			if len(report.Models) != models {
				b.Fatal(report)
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/poll")
		})
	}
}
