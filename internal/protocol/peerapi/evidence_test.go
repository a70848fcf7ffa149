package peerapi

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"coltsfootpath.example/coltsfootpath/internal/coordination/evidence"
)

// maxControlBytes bounds the control traffic of a node in one second.
const maxControlBytes = 3 << 10

// TestEvidenceRoundTripWithinBudget checks that a report with the maximum
// number of samples fits maxControlBytes and is unchanged after encoding and
// decoding.
func TestEvidenceRoundTripWithinBudget(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	c := evidence.NewCounter("entry-vm-with-a-long-name-01", uint64(time.Now().UnixNano()))
	for i := range 100_000 {
		key := evidence.Key{Move: "assistant-to-v2", Version: "v1", Route: fmt.Sprint("clerk-questions-", i%evidence.MaxSamples), Step: 3}
		c.Record(key, evidence.Outcome{
			Failed:        i%100 == 0,
			FirstToken:    time.Duration(3e8 * math.Exp(0.6*random.NormFloat64())),
			BetweenTokens: time.Duration(25e6 * math.Exp(0.4*random.NormFloat64())),
		})
	}
	report := c.Report("1")
	data, err := proto.Marshal(EncodeEvidence(report))
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > maxControlBytes {
		t.Fatalf("report with %d samples has %d bytes", len(report.Samples), len(data))
	}
	var in EvidenceRequest
	if err := proto.Unmarshal(data, &in); err != nil {
		t.Fatal(err)
	}
	if got := DecodeEvidence(&in); !reflect.DeepEqual(got, report) {
		t.Fatalf("got %+v, want %+v", got, report)
	}
}
