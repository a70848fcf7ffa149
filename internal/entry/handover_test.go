package entry

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/caller"
	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/protocol/callerapi"
)

// streamCallers holds concurrent callers that read long answers.
type streamCallers struct {
	c       *cluster
	prompts []string
	answers []caller.Answer
	errs    []error
	all     sync.WaitGroup
}

// startStreams requests answers of want tokens, and returns once an attempt has
// been started for each.
func (c *cluster) startStreams(count, want int) *streamCallers {
	s := &streamCallers{c: c, prompts: make([]string, count), answers: make([]caller.Answer, count), errs: make([]error, count)}
	before := c.sumCounter("attempts_begun_total", "")
	for i := range count {
		s.prompts[i] = longPrompt(i, 30)
		client := c.caller()
		s.all.Go(func() {
			s.answers[i], s.errs[i] = client.Generate(c.ctx, "assistant", "ask", fmt.Sprintf("stream-%d", i),
				callerapi.GenerateRequest{Prompt: s.prompts[i], MaxTokens: want})
		})
	}
	c.waitFor("running streams", func() bool { return c.sumCounter("attempts_begun_total", "") >= before+float64(count) })
	return s
}

// check waits for all answers, compares them with the engines' output, and
// returns the number of caller retries.
func (s *streamCallers) check(want int) (retries int) {
	s.c.t.Helper()
	s.all.Wait()
	for i, a := range s.answers {
		if s.errs[i] != nil || len(a.Tokens) != want {
			s.c.t.Fatalf("stream %d: %d tokens, error %v", i, len(a.Tokens), s.errs[i])
		}
		s.c.checkTokens(s.prompts[i], 0, a.Tokens)
		retries += a.Retries
	}
	return retries
}

func entryVMIn(zone string) func(ports.VM) bool {
	return func(vm ports.VM) bool { return vm.Role == ports.EntryRole && vm.AvailabilityZone == zone }
}

// TestEntryZoneReclaimedTwice reclaims the entry VMs of one availability zone
// and then those of another. Open streams must continue on the remaining entry
// VMs.
func TestEntryZoneReclaimedTwice(t *testing.T) {
	c := startCluster(t, 6, 4, nil)
	const want = 250
	s := c.startStreams(20, want)
	c.cloud.Reclaim(800*time.Millisecond, entryVMIn("zone-a"))
	c.waitFor("the first handover", func() bool { return c.sumCounter("handed_over_requests_total", "") > 0 })
	c.cloud.Reclaim(800*time.Millisecond, entryVMIn("zone-b"))
	retries := s.check(want)
	t.Logf("handed over %.0f, taken over %.0f, caller retries %d, generated %d of %d", c.sumCounter("handed_over_requests_total", ""),
		c.sumCounter("taken_over_requests_total", ""), retries, c.generated(), 20*want)
}

// TestNoticeTooShort reclaims entry VMs before they can complete their
// handover.
func TestNoticeTooShort(t *testing.T) {
	c := startCluster(t, 6, 4, nil)
	const want = 200
	s := c.startStreams(20, want)
	c.cloud.Reclaim(time.Millisecond, entryVMIn("zone-a"))
	s.check(want)
}

// TestSuccessorKilledAfterHandover kills the entry VMs of one zone after a
// handover, including any that have just taken requests over.
func TestSuccessorKilledAfterHandover(t *testing.T) {
	c := startCluster(t, 4, 4, nil)
	const want = 250
	s := c.startStreams(12, want)
	c.cloud.Reclaim(800*time.Millisecond, entryVMIn("zone-a"))
	c.waitFor("a handover", func() bool { return c.sumCounter("received_requests_total", "") > 0 })
	for _, n := range c.nodes {
		if n.settings.AvailabilityZone == "zone-b" {
			c.cloud.Remove(n.settings.VM)
			n.Close()
		}
	}
	s.check(want)
}

// TestDrainKeepsOpenStreams drains an entry VM during open streams, while callers
// still use its address. No stream may break off, and new requests must be
// served.
func TestDrainKeepsOpenStreams(t *testing.T) {
	c := startCluster(t, 3, 3, nil)
	const want = 250
	s := c.startStreams(9, want)
	drained := make(chan error, 1)
	node := c.nodes[0]
	go func() { drained <- node.Drain(c.ctx) }()
	c.waitFor("draining", node.isLeaving)
	for i := range 3 {
		key := fmt.Sprintf("late-%d", i)
		r := c.send(node, key, "asked late", 20, 0, 0, nil)
		if !r.complete || len(r.tokens) != 20 {
			t.Fatalf("request at a draining entry VM: %+v %+v", r, r.err)
		}
	}
	for _, a := range node.addresses("zone-a") {
		if a.Address == node.CallerAddress() {
			t.Fatal("the address of a draining entry VM is still returned to callers")
		}
	}
	s.check(want)
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
}
