package entry

import (
	"context"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/internal/coordination/ports"
	"coltsfootpath.example/coltsfootpath/internal/standin/cloud"
	"coltsfootpath.example/coltsfootpath/internal/standin/logservice"
	"coltsfootpath.example/coltsfootpath/internal/state/control"
)

// startWithPeers starts a node whose cloud lists the given peers.
func startWithPeers(t *testing.T, log *logservice.Log, peers ...*Node) *Node {
	t.Helper()
	list := cloud.New(cloud.Config{})
	for _, p := range peers {
		list.Add(ports.VM{ID: p.settings.VM, Role: ports.EntryRole, PeerAddress: p.PeerAddress()})
	}
	var settings Settings
	settings.Schema()
	settings.VM, settings.AvailabilityZone = "entry-late", "zone-b"
	settings.Listen, settings.PeerListen, settings.MetricsListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.Workers = 1
	n, err := Start(settings, Dependencies{Log: log, Cloud: list, Clock: ports.SystemClock{}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

func waitApplied(t *testing.T, n *Node, offset uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := n.controlFollower.WaitFor(ctx, offset); err != nil {
		t.Fatal(err)
	}
}

func appendLaterDocument(t *testing.T, log *logservice.Log, base uint64) {
	t.Helper()
	record, err := control.Encode(control.Record{
		Writer:   control.WriterID{Incarnation: "late", Sequence: base},
		Document: &control.DocumentSubmission{Base: base, Document: testDocument()},
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(t.Context(), control.Stream, [][]byte{record}); err != nil {
		t.Fatal(err)
	}
}

// TestNodeStartsFromAPeerWhileTheLogIsDown checks that a new node loads the
// document from a peer during a log outage, and the next document from the log
// after the outage.
func TestNodeStartsFromAPeerWhileTheLogIsDown(t *testing.T) {
	log := logservice.New(logservice.Config{})
	first := startNode(t, log)
	log.SetFaults(logservice.Faults{Outage: true})
	late := startWithPeers(t, log, first)
	waitApplied(t, late, 1)
	if !late.Ready() || late.Revision() != 1 {
		t.Fatalf("ready %v revision %d", late.Ready(), late.Revision())
	}
	log.SetFaults(logservice.Faults{})
	appendLaterDocument(t, log, 1)
	waitApplied(t, late, 2)
	if late.Revision() != 2 {
		t.Fatal(late.Revision())
	}
}

// TestNodeStartsFromAPeerBehindATrimmedLog checks that a new node loads a
// peer's state when the log has neither the document nor a checkpoint any more.
func TestNodeStartsFromAPeerBehindATrimmedLog(t *testing.T) {
	log := logservice.New(logservice.Config{})
	first := startNode(t, log)
	log.Trim(control.Stream, 2)
	late := startWithPeers(t, log, first)
	waitApplied(t, late, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for !late.Ready() && ctx.Err() == nil {
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	if late.Revision() != 1 || !late.control.Complete() {
		t.Fatal(late.Revision(), late.control.Complete())
	}
}
