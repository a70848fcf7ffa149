package gateway

import (
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
