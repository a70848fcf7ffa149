package gateway

import (
	"context"
	"fmt"
	"testing"

	"coltsfootpath.example/coltsfootpath/internal/protocol/digest"
	"coltsfootpath.example/coltsfootpath/platform"
)

// TestDocumentWaitsForSilentReadToTimeOut: all connections to the store fall silent, and a
// document follows. It is in force at all VMs before any of them gives up its silent read.
func TestDocumentWaitsForSilentReadToTimeOut(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{1, 2, 5} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.addServer("s-1", nil)
			var nodes []*Node
			for i := range vms {
				nodes = append(nodes, f.startNode(fmt.Sprint("vm-", i), 1))
			}
			inForce := func(version int64) func() bool {
				return func() bool {
					for _, n := range nodes {
						if n.document.Load().Version != version {
							return false
						}
					}
					return true
				}
			}
			// All reads begin anew with this document.
			f.putDocument(2)
			f.eventually("document 2 is in force", inForce(2))
			f.store.SilenceConnections()
			f.putDocument(3)
			f.eventually("document 3 is in force", inForce(3))
			if f.logs.hasLine("store lost", "topic="+platform.OperatorTopic) {
				t.Error("a silent read has timed out")
			}
		})
	}
}

// TestChangeWaitsForCallBegunBeforeStoreReturned: the store gives no answers for a while. What
// follows its return is in force at all VMs before any of them gives up a call that it made
// before and that is never answered.
func TestChangeWaitsForCallBegunBeforeStoreReturned(t *testing.T) {
	t.Parallel()
	for _, topic := range []string{platform.OperatorTopic, platform.ServersTopic} {
		for _, vms := range []int{1, 2, 5} {
			t.Run(fmt.Sprint(topic, ", ", vms, " VMs"), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				server := f.addServer("s-1", nil)
				var nodes []*Node
				for i := range vms {
					nodes = append(nodes, f.startNode(fmt.Sprint("vm-", i), 1))
				}
				f.store.StopAnswering()
				f.eventually("all VMs have asked the store twice", func() bool { return f.store.Unanswered(topic) >= 2*vms })
				f.store.AnswerAgain()
				givenUp := func() int {
					return f.logs.countLines("store call-failed", "topic="+topic, context.DeadlineExceeded.Error())
				}
				before := givenUp()
				f.putDocument(2)
				f.store.Put(platform.ServersTopic, "s-1", server.Registration("s", "zone-a", "draining"))
				for _, n := range nodes {
					f.eventually("the change is in force", func() bool {
						if topic == platform.OperatorTopic {
							return n.document.Load().Version == 2
						}
						return n.serverFollower.end() == 2
					})
				}
				if count := givenUp() - before; count > 0 {
					t.Errorf("%d calls were given up before the change was in force", count)
				}
			})
		}
	}
}

// TestOtherTopicsWaitForCallBegunBeforeStoreReturned: the store gives no answers while a VM
// starts. After its return the VM registers itself, and lists the quarantined contents, before
// it gives up a call that it made before.
func TestOtherTopicsWaitForCallBegunBeforeStoreReturned(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.addServer("s-1", nil)
	f.store.StopAnswering()
	n, err := Start(f.settings("vm-1"), f.logs)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	f.eventually("the VM lists both topics", func() bool {
		return f.store.Unanswered(vmsTopic) > 0 && f.store.Unanswered(digest.ContentsTopic) > 0
	})
	f.store.AnswerAgain()
	f.eventually("both topics are listed", func() bool { return n.members.vmsListed.Load() && n.quarantiner.isListed() })
	if f.logs.hasLine("members not-registered") || f.logs.hasLine("store lost", "topic="+digest.ContentsTopic) {
		t.Error("a call that the store never answers was given up")
	}
}

// TestLeaseWaitsForReadBegunBeforeStoreReturned: the lease holder's renewal gets no answer, nor
// does its read of the log after that. Once the store is back, the holder has read the log, and
// renewed its lease, before it gives up that read.
func TestLeaseWaitsForReadBegunBeforeStoreReturned(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.addServer("s-1", nil)
	n := f.startNode("vm-1", 1)
	holds := func() bool { _, _, holds := n.duties.leaseState(n.now()); return holds }
	f.eventually("the VM holds the lease", holds)
	f.store.StopAnswering()
	f.eventually("the log is read after a renewal without an answer", func() bool { return f.store.Unanswered(dutyTopic) >= 2 })
	f.store.AnswerAgain()
	appends := f.store.Appends(dutyTopic)
	f.eventually("the lease is renewed", func() bool { return f.store.Appends(dutyTopic) > appends && holds() })
	if f.logs.hasLine("duties not-read") {
		t.Error("a read that the store never answers was given up")
	}
}

// TestSilentReadOfContentsOutlastsDigests: the VM's held read of the quarantined contents has
// fallen silent, and the digests that bring the same news cease. The VM reads what follows in
// the store before the silent read has timed out.
func TestSilentReadOfContentsOutlastsDigests(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.addServer("s-1", nil)
	n, other := f.startNode("vm-1", 1), f.startNode("vm-2", 1)
	read := func(n *Node, records uint64) bool {
		n.quarantiner.mu.Lock()
		defer n.quarantiner.mu.Unlock()
		return n.quarantiner.end.Offset() >= records
	}
	for _, x := range []*Node{n, other} {
		f.eventually("the VM knows the other one", func() bool {
			return x.members.count() == 2 && x.quarantiner.isListed() && x.members.isComplete()
		})
	}
	// The next reads are long ones.
	f.store.AppendRecord(digest.ContentsTopic, platform.EncodeKeyed("unreadable-1", []byte("1")))
	for _, x := range []*Node{n, other} {
		f.eventually("the first record is read", func() bool { return read(x, 1) })
	}
	f.store.SilenceConnections()
	other.members.close()
	f.store.AppendRecord(digest.ContentsTopic, platform.EncodeKeyed("unreadable-2", []byte("2")))
	f.eventually("the second record is read", func() bool { return read(n, 2) })
	if f.logs.hasLine("store lost", "topic="+digest.ContentsTopic) {
		t.Error("the silent read has timed out")
	}
}

// TestRecoveredVMCountsAsFailing: the store gives no answers for a while. After its return no VM
// goes on taking its copies for outdated, nor one that relies on others to read the store.
func TestRecoveredVMCountsAsFailing(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.addServer("s-1", nil)
	var nodes []*Node
	for i := range 8 {
		nodes = append(nodes, f.startNode(fmt.Sprint("vm-", i), 1))
	}
	followers := func(holds func(x *follower) bool) func() bool {
		return func() bool {
			for _, n := range nodes {
				if !holds(n.operatorFollower) || !holds(n.serverFollower) {
					return false
				}
			}
			return true
		}
	}
	f.eventually("some VM relies on others", func() bool {
		for _, n := range nodes {
			if n.members.mayRelyOnReaders() {
				return true
			}
		}
		return false
	})
	f.store.StopAnswering()
	f.eventually("all VMs have failed calls", followers(func(x *follower) bool { return x.isFailing() }))
	f.store.AnswerAgain()
	f.eventually("no VM has", followers(func(x *follower) bool { return !x.isFailing() }))
}
