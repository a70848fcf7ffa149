package digest

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"google.golang.org/protobuf/encoding/protowire"

	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
)

// newestRelease names the newest release whose digests other builds read.
const newestRelease = "digest-5f3d562"

// TestGoldenDigest: digests are exchanged by builds of different releases. A change of their
// bytes must be one that the builds in use read; it gets a new golden file beside the old ones.
func TestGoldenDigest(t *testing.T) {
	goldie.New(t).Assert(t, newestRelease, []byte(hex.EncodeToString(Marshal(sampleDigest()))))
}

// TestDigestsOfEarlierReleases decodes the digests of all releases.
func TestDigestsOfEarlierReleases(t *testing.T) {
	files, err := filepath.Glob("testdata/digest-*.golden")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d golden files, error %v", len(files), err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		data, err := hex.DecodeString(strings.TrimSpace(string(text)))
		if err != nil {
			t.Fatal(err)
		}
		got, err := Unmarshal(data)
		if err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		if want := sampleDigest(); !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v\nwant %+v", file, got, want)
		}
	}
}

// TestDigestOfLaterRelease: fields that this build does not know are ignored, whatever their
// type.
func TestDigestOfLaterRelease(t *testing.T) {
	data := Marshal(sampleDigest())
	data = protowire.AppendVarint(protowire.AppendTag(data, 900, protowire.VarintType), 7)
	data = protowire.AppendBytes(protowire.AppendTag(data, 901, protowire.BytesType), []byte("later"))
	usage := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), 358000001)
	usage = protowire.AppendString(protowire.AppendTag(usage, usageWorkspace, protowire.BytesType), "w")
	usage = protowire.AppendVarint(protowire.AppendTag(usage, 3, protowire.VarintType), 4)
	usage = protowire.AppendString(protowire.AppendTag(usage, 9, protowire.BytesType), "later")
	data = protowire.AppendBytes(protowire.AppendTag(data, fieldUsage, protowire.BytesType), usage)
	data = protowire.AppendFixed64(protowire.AppendTag(data, 902, protowire.Fixed64Type), 7)
	got, err := Unmarshal(data)
	if err != nil {
		t.Fatal(err)
	}
	want := sampleDigest()
	want.Usage = append(want.Usage, gossip.Usage{Window: 358000001, Workspace: "w", Count: 4})
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
}

// TestLearnedCostsAreOptional: the tokens that requests are expected to produce and samples of
// servers' speeds are added to a load as numbers, which earlier builds ignore, and a load without
// them has the bytes of before.
func TestLearnedCostsAreOptional(t *testing.T) {
	d := sampleDigest()
	before := Marshal(d)
	d.Loads[0].SpeedSamples, d.Loads[0].SpeedSum, d.Loads[0].AnswerTokens = 3, 51, 640
	got, err := Unmarshal(Marshal(d))
	if err != nil || !reflect.DeepEqual(got, d) {
		t.Errorf("got %+v, error %v\nwant %+v", got, err, d)
	}
	if added := len(Marshal(d)) - len(before); added != 6 {
		t.Errorf("they take %d bytes, want 6", added)
	}
}
