package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/coordination/topicview"
	"coltsfootpath.example/coltsfootpath/internal/protocol/digest"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// TestPanicEndsOnlyItsRequest: an answer that no code expects must not end the process, and
// with it all other requests.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	f := newFixture(t)
	f.addServer("s-1", always(platformtest.Behavior{}))
	n := f.startNode("vm-1", 1)
	var unexpected atomic.Bool
	onHead := n.backends.onHead
	n.backends.onHead = func(b *backend, status int, header http.Header, sentAt time.Time) {
		if unexpected.Swap(false) {
			panic("an answer that nobody expected")
		}
		onHead(b, status, header, sentAt)
	}
	post := func(id string) int {
		c := call{method: "POST", path: "/once/x", key: "key-w", id: id, body: "x"}
		response, err := http.DefaultClient.Do(c.request(t, context.Background(), n))
		if err != nil {
			t.Fatalf("request %s: %v", id, err)
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	unexpected.Store(true)
	if status := post("r-1"); status != http.StatusBadGateway {
		t.Errorf("the request whose answer caused a panic got %d, want 502: it may have run", status)
	}
	if status := post("r-2"); status != http.StatusOK {
		t.Errorf("the next request got %d", status)
	}
}

// TestPanicDropsOnlyItsMessage: neither a digest nor a record that no code expects may end the
// loop that reads the next one.
func TestPanicDropsOnlyItsMessage(t *testing.T) {
	f := newFixture(t)
	f.addServer("s-1", nil)
	n := f.startNode("vm-1", 1)
	data := digest.Marshal(allDigest(n, 1))
	// The loops are stopped, so that only the test uses the core that is missing.
	n.cancel()
	n.members.close()
	n.loops.Wait()
	n.members.core = nil
	if n.contain("digest", func() { n.members.receiveDatagram(data) }) {
		t.Error("a digest for a node without a core caused no panic: the test shows nothing")
	}
	if !n.members.mu.TryLock() {
		t.Fatal("the lock of the members is held after the panic")
	}
	n.members.mu.Unlock()
	n.members.core = gossip.New(gossip.DefaultConfig, n.members.identity())
	applied := 0
	n.serverFollower.apply = func(topicview.Change) {
		applied++
		panic("a record that nobody expected")
	}
	n.serverFollower.update(func(*topicview.View) []topicview.Change { return make([]topicview.Change, 2) })
	if applied != 2 {
		t.Errorf("%d of 2 records were applied", applied)
	}
}

// TestLoopRunsAgainAfterPanic: a loop that has panicked does its work again.
func TestLoopRunsAgainAfterPanic(t *testing.T) {
	n := newNode(Settings{}, discard{})
	n.ctx, n.cancel = context.WithCancel(context.Background())
	t.Cleanup(n.Close)
	again := make(chan struct{})
	runs := 0
	n.runLoop(n.ctx, "test", func(context.Context) {
		if runs++; runs == 1 {
			panic("once")
		}
		close(again)
	})
	select {
	case <-again:
	case <-time.After(testTimeout):
		t.Fatal("the loop did not run again")
	}
}
