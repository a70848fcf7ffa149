package claims_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/internal/state/calls"
)

// BenchmarkClaims sends calls at a fixed rate over eight VMs, each with its
// share of the append budget, to a log with a latency of one millisecond.
func BenchmarkClaims(b *testing.B) {
	for _, perSecond := range []int{20, 100, 400, 1000} {
		b.Run(fmt.Sprintf("%d-calls-per-second", perSecond), func(b *testing.B) { benchClaims(b, perSecond) })
	}
}

func benchClaims(b *testing.B, perSecond int) {
	const vms = 8
	log := logservice.New(logservice.Config{})
	log.SetFaults(logservice.Faults{SlowMillis: 1})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var nodes []*vm
	for i := range vms {
		v := startVM(ctx, log, fmt.Sprintf("entry-%d", i))
		v.writer.SetVMCount(vms)
		nodes = append(nodes, v)
	}
	latencies := make([]time.Duration, b.N)
	var failed int
	var mu sync.Mutex
	var sent sync.WaitGroup
	startedAt := time.Now()
	b.ResetTimer()
	for i := range b.N {
		time.Sleep(time.Until(startedAt.Add(time.Duration(i) * time.Second / time.Duration(perSecond))))
		sent.Go(func() {
			start, claim := time.Now(), newClaim(fmt.Sprint("k", i), fmt.Sprint("t", i))
			v := nodes[i%vms]
			_, err := v.claim(claim)
			latencies[i] = time.Since(start)
			if err != nil {
				mu.Lock()
				failed++
				mu.Unlock()
			}
			_ = v.Finish(ctx, claim, calls.ResultRan, []byte(`{"receipt":1}`))
		})
	}
	sent.Wait()
	b.StopTimer()
	elapsed := time.Since(startedAt).Seconds()
	appends, _ := log.Counts()
	slices.Sort(latencies)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(appends)/float64(b.N), "appends/call")
	b.ReportMetric(float64(appends)/elapsed, "appends/s")
	b.ReportMetric(float64(latencies[b.N/2].Microseconds())/1000, "claim-p50-ms")
	b.ReportMetric(float64(latencies[b.N*95/100].Microseconds())/1000, "claim-p95-ms")
	b.ReportMetric(float64(failed), "refused")
	b.ReportMetric(float64(recordBytes(b)), "bytes/call")
}

// recordBytes returns the encoded size of a claim and its outcome, as every VM
// reads them.
func recordBytes(b *testing.B) int {
	claim := newClaim("3f0c9a52-deposit-000001", "entry-01-1767225600000000000-1")
	claim.Fingerprint, claim.VM = 1<<63, "entry-01"
	outcome := calls.Outcome{ID: claim.ID, Token: claim.Token, Result: calls.ResultRan, Body: []byte(`{"receipt":1}`)}
	total := 0
	for _, r := range []calls.Record{{At: time.Now(), Claim: &claim}, {At: time.Now(), Outcome: &outcome}} {
		data, err := calls.Encode(r)
		if err != nil {
			b.Fatal(err)
		}
		total += base64.StdEncoding.EncodedLen(len(data))
	}
	return total
}
