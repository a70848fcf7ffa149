package lab

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/ctl"
	"coltsfootpath.example/coltsfootpath/internal/protocol/adminapi"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
)

// activationSize has as many entry VMs as DefaultSize but only a few engines.
var activationSize = Size{AvailabilityZones: 4, EntryVMs: 8, Engines: 2, Services: 1, Workers: 8}

// awaitActiveEverywhere waits until the active revision of every entry VM is at
// least the given one.
func (c *Cluster) awaitActiveEverywhere(ctx context.Context, revision uint64) error {
	for {
		c.mu.Lock()
		outdated := 0
		for _, n := range c.entries {
			if n.Revision() < revision {
				outdated++
			}
		}
		c.mu.Unlock()
		if outdated == 0 {
			return nil
		}
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// BenchmarkActiveEverywhere measures the time from the submission of a
// document until it is active on every entry VM.
func BenchmarkActiveEverywhere(b *testing.B) {
	for name, faults := range map[string]logservice.Faults{
		"healthy":           {},
		"slow 500ms":        {SlowMillis: 500},
		"slow 1s":           {SlowMillis: 1000},
		"slow 2s":           {SlowMillis: 2000},
		"slow 4s":           {SlowMillis: 4000},
		"half answers lost": {AnswerLossRatio: 0.5},
	} {
		b.Run(name, func(b *testing.B) { benchmarkActivation(b, faults) })
	}
}

func benchmarkActivation(b *testing.B, faults logservice.Faults) {
	c, err := NewCluster(activationSize, 1)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	if err := c.submitDocument(b.Context()); err != nil {
		b.Fatal(err)
	}
	if err := c.WaitReady(b.Context()); err != nil {
		b.Fatal(err)
	}
	client := ctl.AdminClient{Address: c.AdminAddress(), Token: adminToken}
	data, err := json.Marshal(Document())
	if err != nil {
		b.Fatal(err)
	}
	c.Log.SetFaults(faults)
	var latencies []time.Duration
	notAccepted := map[adminapi.SubmitResult]int{}
	for b.Loop() {
		current, err := client.Document(b.Context())
		if err != nil {
			b.Fatal(err)
		}
		submittedAt := time.Now()
		answer, err := client.Submit(b.Context(), adminapi.SubmitRequest{Base: current.Revision, Operator: "bench", Document: data})
		if err != nil {
			b.Fatal(err)
		}
		if answer.Result != adminapi.Accepted {
			notAccepted[answer.Result]++
			continue
		}
		if err := c.awaitActiveEverywhere(b.Context(), answer.Revision); err != nil {
			b.Fatal(err)
		}
		latencies = append(latencies, time.Since(submittedAt))
	}
	if len(latencies) == 0 {
		b.Fatal("no document was accepted: ", notAccepted)
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Milliseconds()), "ms-p50")
	b.ReportMetric(float64(latencies[len(latencies)-1].Milliseconds()), "ms-max")
	b.ReportMetric(float64(len(latencies)), "accepted")
	b.ReportMetric(0, "ns/op")
	if len(notAccepted) > 0 {
		b.Log("not accepted: ", notAccepted)
	}
}
