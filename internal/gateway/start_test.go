package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/protocol/relayapi"
	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// listedServers takes four pages of a listing.
const listedServers = 1600

// putServers registers servers at which nothing listens.
func (f *fixture) putServers(count int) {
	s := platformtest.NewServer("s-0000", nil)
	s.Close()
	records := make([]platform.Item, 0, count)
	for i := range count {
		address := fmt.Sprintf("127.1.%d.%d:1", i/250, i%250+1)
		records = append(records, platform.Item{Key: fmt.Sprintf("s-%04d", i), Value: s.RegistrationAt(address, "s", "zone-a", "ready")})
	}
	f.store.PutAll(platform.ServersTopic, records)
}

// TestListingContinuesAfterFailedPage: the store rejects the third page a few times.
func TestListingContinuesAfterFailedPage(t *testing.T) {
	f := newFixture(t)
	f.putServers(listedServers)
	var rejected atomic.Int32
	f.store.OnPage(func(topic string, page int) int {
		if topic == platform.ServersTopic && page == 2 && rejected.Add(1) <= 3 {
			return http.StatusServiceUnavailable
		}
		return 0
	})
	f.startNode("vm-1", listedServers)
	for page, want := range []int{1, 1, 4, 1} {
		if got := f.store.PageCalls(platform.ServersTopic, page); got != want {
			t.Errorf("page %d was requested %d times, want %d", page, got, want)
		}
	}
}

// TestRecordsDuringListing: while a node lists, a server of a page that was read leaves, and one
// is added. The last record is one that no listing shows.
func TestRecordsDuringListing(t *testing.T) {
	f := newFixture(t)
	f.putServers(listedServers)
	f.store.Put(platform.ServersTopic, "s-gone", []byte("{}"))
	f.store.Put(platform.ServersTopic, "s-gone", nil)
	var changed atomic.Bool
	f.store.OnPage(func(topic string, page int) int {
		if topic == platform.ServersTopic && page == 2 && changed.CompareAndSwap(false, true) {
			f.store.Put(platform.ServersTopic, "s-0001", nil)
			f.store.Put(platform.ServersTopic, "s-0000b", f.store.Newest(platform.ServersTopic, "s-0000"))
			f.store.Put(platform.ServersTopic, "s-0002", nil)
		}
		return 0
	})
	n := f.startNode("vm-1", listedServers-1)
	for page := range 4 {
		if got := f.store.PageCalls(platform.ServersTopic, page); got != 1 {
			t.Errorf("page %d was requested %d times", page, got)
		}
	}
	for id, want := range map[string]bool{"s-0000b": true, "s-0001": false, "s-0002": false, "s-gone": false} {
		if got := n.serverFollower.hasValue(id); got != want {
			t.Errorf("server %s is known: %v, want %v", id, got, want)
		}
	}
}

// hasValue reports whether the newest record of a key has a value.
func (f *follower) hasValue(key string) bool {
	for _, r := range f.recordsSince(0).Records {
		if r.Key == key {
			return len(r.Value) > 0
		}
	}
	return false
}

// startingVMs is the number of VMs that start together, more than form a mesh.
const startingVMs = 24

// TestAllVMsStartTogether: all VMs of a deployment with hubs have run before, and start at the
// same time while the store's bandwidth suffices for a few listings a second.
func TestAllVMsStartTogether(t *testing.T) {
	f := newFixture(t)
	f.putServers(listedServers)
	var all []Settings
	for i := range startingVMs {
		settings := f.settings(fmt.Sprint("vm-", i))
		settings.AvailabilityZone = fmt.Sprint("zone-", i%3)
		own, err := json.Marshal(registration{Peer: settings.PeerAddress, Zone: settings.AvailabilityZone, Capacity: int(settings.LinkMbps)})
		if err != nil {
			t.Fatal(err)
		}
		f.store.Put(vmsTopic, settings.VM, own)
		all = append(all, settings)
	}
	listingBytes := 0
	for number, after := 0, ""; number < 4; number++ {
		listingBytes += f.store.PageBytes(platform.ServersTopic, after)
		after = fmt.Sprintf("s-%04d", (number+1)*500-1)
	}
	f.store.SetListingBandwidth(8 * listingBytes)
	var nodes []*Node
	for _, settings := range all {
		n, err := Start(settings, f.logs)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		f.eventually("node is ready", func() bool { return n.Ready() && n.backends.count() == listedServers })
	}
	listed := float64(f.store.ListedBytes(platform.ServersTopic)) / float64(listingBytes)
	t.Logf("%d VMs read %.1f listings of %d bytes, %d calls for the first page", startingVMs, listed, listingBytes, f.store.PageCalls(platform.ServersTopic, 0))
	if listed > startingVMs/2 {
		t.Errorf("%d VMs read %.1f listings from the store", startingVMs, listed)
	}
	if got := f.store.Appends(vmsTopic); got != startingVMs {
		t.Errorf("%d registrations of %d VMs, all of which were registered before", got, startingVMs)
	}
}

// TestRecordsForOlderPeers: a peer that does not know packed records gets them unpacked, and one
// that does gets the same records in fewer bytes.
func TestRecordsForOlderPeers(t *testing.T) {
	f := newFixture(t)
	f.putServers(listedServers)
	n := f.startNode("vm-1", listedServers)
	plain, err := n.Records(t.Context(), &relayapi.RecordsRequest{Topic: platform.ServersTopic})
	if err != nil || len(plain.Records) != listedServers || len(plain.Packed) > 0 {
		t.Fatalf("%d records, %d bytes packed, error %v", len(plain.Records), len(plain.Packed), err)
	}
	packed, err := n.Records(t.Context(), &relayapi.RecordsRequest{Topic: platform.ServersTopic, TakesPacked: true})
	if err != nil || len(packed.Records) > 0 || packed.End != plain.End || packed.Full != plain.Full {
		t.Fatalf("%+v, error %v", packed, err)
	}
	text, err := json.Marshal(plain.Records)
	if err != nil {
		t.Fatal(err)
	}
	if len(packed.Packed) > len(text)/4 {
		t.Errorf("%d bytes packed of %d", len(packed.Packed), len(text))
	}
	fetched, err := relayapi.FetchRecords(t.Context(), n.peerPool.Conn(t.Context(), n.settings.PeerAddress), &relayapi.RecordsRequest{Topic: platform.ServersTopic, TakesPacked: true})
	if err != nil {
		t.Fatal(err)
	}
	if len(fetched.Records) != listedServers || len(fetched.Packed) > 0 || !strings.HasPrefix(fetched.Records[0].Key, "s-") {
		t.Errorf("%d records fetched, %d bytes packed", len(fetched.Records), len(fetched.Packed))
	}
}
