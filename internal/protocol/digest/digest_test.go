package digest

import (
	"reflect"
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/coordination/quarantine"
	"coltsfootpath.example/coltsfootpath/internal/coordination/serverlimit"
	"coltsfootpath.example/coltsfootpath/internal/state/storelog"
)

// sampleDigest returns a digest with an entry in every list.
func sampleDigest() *gossip.Digest {
	d := &gossip.Digest{
		Sequence: 7, WallMillis: 1_790_000_000_000, FencingToken: uint64(storelog.At(2, 40)), HolderEnd: storelog.At(2, 77), HolderAddress: "10.0.0.9:1", HolderAgeMillis: 30, DocumentEnd: storelog.At(2, 5), ServersEnd: storelog.At(2, 90),
		Limits:      []serverlimit.Statement{{Server: 9, Rate: 0.3, At: 1_790_000_000_000}, {Server: 10, At: 1_790_000_000_001}, {Server: 11, Ended: true, At: 1_790_000_000_002}},
		Brittle:     []serverlimit.Statement{{Server: 9, Rate: 3, Places: 6, At: 1_790_000_000_000}, {Server: 11, Ended: true, At: 1_790_000_000_002}},
		DocumentAge: gossip.ConfirmationAge{Known: true}, ServersAge: gossip.ConfirmationAge{Known: true, Millis: 1234},
		Kind: gossip.Zone, Count: 3, ReadsStore: true,
		Loads:          []gossip.Load{{Server: 5, PrefillTokens: 640, Running: 3, MemoryTokens: 2560}},
		AdmittedTotals: []gossip.AdmittedTotal{{Workspace: 6, Total: 123456}},
		Work:           []gossip.Work{{Service: 1, Millis: 77}},
		Usage:          []gossip.Usage{{Window: 358000000, Workspace: "w", Count: 12}},
		Moves:          []gossip.Move{{Service: 1, Order: 4, Phase: 2, NewAnswers: 5, NewFailures: 1, OldAnswers: 50, OldFailures: 2, NewTimed: 6, NewSlow: 3, OldTimed: 51, OldSlow: 4, NewSent: 8, OldSent: 70}},
		Contents: []quarantine.Entry{{Content: 1 << 63, Generation: 2, StoredIn: 3, VouchedMillis: 1_790_000_000_003, Events: []quarantine.Event{
			{Kind: quarantine.Ended, Server: 9, AtMillis: 1_790_000_000_001}, {Kind: quarantine.TrialStarted, AtMillis: 1_790_000_000_002}}},
			{Content: 3, Dimension: quarantine.PromptPart, Name: "5c1e07a2", Events: []quarantine.Event{{Kind: quarantine.Answered, AtMillis: 1_790_000_000_001}}}},
	}
	d.VM, d.Incarnation, d.AvailabilityZone, d.CallerAddress, d.PeerAddress, d.LinkMbps = "vm-1", 99, "zone-a", "10.0.0.1:80", "10.0.0.1:7600", 1000
	d.Ready, d.Draining = true, true
	d.Members = []gossip.Member{{Identity: gossip.Identity{VM: "vm-2", Incarnation: 1, PeerAddress: "10.0.0.2:7600", LinkMbps: 10}, Ready: true}}
	return d
}

func TestDigestRoundTrip(t *testing.T) {
	want := sampleDigest()
	got, err := Unmarshal(Marshal(want))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v\nwant %+v", got, want)
	}
}

// FuzzUnmarshal checks that no datagram causes a panic and that each accepted
// digest can be encoded and decoded again.
func FuzzUnmarshal(f *testing.F) {
	f.Add(Marshal(sampleDigest()))
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0x02, 'a', 'b', 0x10, 0x01, 0x32, 0x01, 'x'})
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Unmarshal(data)
		if err != nil {
			return
		}
		again, err := Unmarshal(Marshal(d))
		if err != nil {
			t.Fatalf("cannot decode the encoded form of an accepted digest: %v", err)
		}
		if again.VM != d.VM || again.Sequence != d.Sequence || len(again.Loads) != len(d.Loads) {
			t.Fatalf("%+v became %+v after encoding and decoding", d, again)
		}
	})
}
