package processes

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
	"coltsfootpath.example/coltsfootpath/internal/state/document"
)

// metric reads one metric of the entry VM added last.
func (s *testSystem) metric(name string) float64 {
	s.t.Helper()
	return s.metricAt(s.entryMetrics, name)
}

func (s *testSystem) metricAt(address, name string) float64 {
	s.t.Helper()
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			n, err := strconv.ParseFloat(value, 64)
			if err != nil {
				s.t.Fatal(err)
			}
			return n
		}
	}
	s.t.Fatalf("metric %s is missing", name)
	return 0
}

const (
	cpuMetric    = "process_cpu_seconds_total"
	memoryMetric = "process_resident_memory_bytes"

	settleTime  = 3 * time.Second
	measureTime = 10 * time.Second
	engineSlots = 32
)

// documentWithHighLimit writes the demo document with a request limit above the
// benchmarks' load, and returns its path.
func (s *testSystem) documentWithHighLimit() string {
	s.t.Helper()
	data, err := os.ReadFile("../../demo/document.json")
	if err != nil {
		s.t.Fatal(err)
	}
	path := filepath.Join(s.dir, "document.json")
	text := strings.Replace(string(data), `"requests_per_second": 50`, `"requests_per_second": 5000, "burst": 5000`, 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// BenchmarkStreams measures one entry VM's CPU time per token and memory per open
// stream, with engines that generate about 30 tokens per second and stream.
// Run it with -benchtime 1x.
func BenchmarkStreams(b *testing.B) {
	for _, streams := range []int{40, 165, 400} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			s := startPlatform(b)
			for i := range (streams + engineSlots - 1) / engineSlots * 2 {
				s.addEngine(fmt.Sprintf("engine-%02d", i), "--step", "30ms")
			}
			s.addCoordinator()
			s.submit(s.documentWithHighLimit(), 0)
			s.addEntry("entry-1", "zone-a")
			time.Sleep(settleTime)
			idleMemory := s.metric(memoryMetric)
			ctx, stop := context.WithCancel(context.Background())
			var tokens atomic.Int64
			var callers sync.WaitGroup
			for i := range streams {
				callers.Go(func() { s.streamUntilDone(ctx, i, &tokens) })
			}
			time.Sleep(settleTime)
			cpu, before := s.metric(cpuMetric), tokens.Load()
			time.Sleep(measureTime)
			used, generated := s.metric(cpuMetric)-cpu, tokens.Load()-before
			memory := s.metric(memoryMetric)
			stop()
			callers.Wait()
			b.ReportMetric(float64(generated)/measureTime.Seconds(), "tokens/s")
			b.ReportMetric(used/float64(generated)*1e6, "cpu-us/token")
			b.ReportMetric(used/measureTime.Seconds()*100, "%core")
			b.ReportMetric((memory-idleMemory)/float64(streams)/1024, "KB/stream")
			b.ReportMetric(idleMemory/(1<<20), "idle-MB")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// streamUntilDone sends one model request after another until ctx ends, and adds
// the tokens of complete answers to tokens.
func (s *testSystem) streamUntilDone(ctx context.Context, i int, tokens *atomic.Int64) {
	c := s.caller()
	defer c.Close()
	const want = 100
	for n := 0; ctx.Err() == nil; n++ {
		prompt := fmt.Sprintf("question %d of caller %d", n, i)
		answer, err := c.Generate(ctx, "assistant", "clerk-questions", fmt.Sprintf("bench-%d-%d", i, n),
			callerapi.GenerateRequest{Prompt: prompt, MaxTokens: want})
		if err == nil {
			tokens.Add(int64(len(answer.Tokens)))
		}
	}
}

// BenchmarkIdleNode measures the CPU time and memory of an entry VM that serves no
// requests, by the number of engines that it polls for their load.
// Run it with -benchtime 1x.
func BenchmarkIdleNode(b *testing.B) {
	for _, engines := range []int{4, 12, 36} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			s := startPlatform(b)
			for i := range engines {
				s.addEngine(fmt.Sprintf("engine-%02d", i))
			}
			s.addCoordinator()
			s.submit(s.documentWithHighLimit(), 0)
			s.addEntry("entry-1", "zone-a")
			time.Sleep(settleTime)
			cpu := s.metric(cpuMetric)
			time.Sleep(measureTime)
			b.ReportMetric((s.metric(cpuMetric)-cpu)/measureTime.Seconds()*100, "%core")
			b.ReportMetric(s.metric(memoryMetric)/(1<<20), "MB")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// documentWithWorkspaces writes the demo document with count additional
// workspaces, and returns its path.
func (s *testSystem) documentWithWorkspaces(count int) string {
	s.t.Helper()
	data, err := os.ReadFile("../../demo/document.json")
	if err != nil {
		s.t.Fatal(err)
	}
	doc, err := document.Decode(data)
	if err != nil {
		s.t.Fatal(err)
	}
	for i := range count {
		w := doc.Workspaces[0]
		w.Name = fmt.Sprintf("workspace-%04d", i)
		doc.Workspaces = append(doc.Workspaces, w)
	}
	if data, err = json.Marshal(doc); err != nil {
		s.t.Fatal(err)
	}
	path := filepath.Join(s.dir, "large.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// BenchmarkIdleCoordinator measures the CPU time and memory of the lease holder,
// by the number of workspaces in the document.
// Run it with -benchtime 1x.
func BenchmarkIdleCoordinator(b *testing.B) {
	for _, workspaces := range []int{5, 50, 500} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			s := startPlatform(b)
			s.addCoordinator()
			s.submit(s.documentWithWorkspaces(workspaces), 0)
			time.Sleep(settleTime)
			cpu := s.metricAt(s.coordinatorMetrics, cpuMetric)
			time.Sleep(measureTime)
			used := s.metricAt(s.coordinatorMetrics, cpuMetric) - cpu
			b.ReportMetric(used/measureTime.Seconds()*100, "%core")
			b.ReportMetric(s.metricAt(s.coordinatorMetrics, memoryMetric)/(1<<20), "MB")
			b.ReportMetric(s.metricAt(s.coordinatorMetrics, "coltsfoot_coordinator_holds_lease"), "holds-lease")
			b.ReportMetric(0, "ns/op")
		})
	}
}
