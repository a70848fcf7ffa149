package gateway

import (
	"context"
	"fmt"
	"testing"

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
