package entry

import (
	"fmt"
	"strings"
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/standin/cloud"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/internal/state/requests"
)

// BenchmarkHandOver measures the handover of finished answers with 500 prompt
// and 250 answer tokens each. Run it with -benchtime 1x.
func BenchmarkHandOver(b *testing.B) {
	prompt := strings.Repeat("history ", 500)
	answer := strings.Split(strings.Repeat("token ", 250), " ")
	for _, size := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprintf("requests=%d", size), func(b *testing.B) {
			log, vms := logservice.New(logservice.Config{}), cloud.New(cloud.Config{})
			from, to := startNodeAs(b, "entry-1", log, vms), startNodeAs(b, "entry-2", log, vms)
			vms.Add(entryVM(from, "entry-1"))
			vms.Add(entryVM(to, "entry-2"))
			waitUntil(b, "entry-2 is listed", func() bool { return from.listsEntryVM("entry-2") })
			for i := range size {
				spec := requests.Spec{
					ID: requests.ID{Workspace: "branches", Key: fmt.Sprint(i)}, Keyed: true, Service: "assistant", Route: "ask", Version: "v1",
					Prompt: prompt, MaxTokens: len(answer), Fingerprint: uint64(i), Deadline: from.clock.Now().Add(from.settings.DefaultDeadline),
				}
				from.requests.AddFinished(spec, answer, requests.End{}, from.clock.Now())
			}
			b.ResetTimer()
			from.handOverAll(b.Context())
			b.StopTimer()
			got := 0
			for i := range size {
				if _, ok := to.requests.Find(requests.ID{Workspace: "branches", Key: fmt.Sprint(i)}); ok {
					got++
				}
			}
			if got != size {
				b.Fatalf("%d of %d answers were taken over", got, size)
			}
			b.ReportMetric(float64(b.Elapsed().Milliseconds()), "ms")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(size), "us/request")
			b.ReportMetric(0, "ns/op")
		})
	}
}
