package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"coltsfootpath.example/coltsfootpath/platform"
	"coltsfootpath.example/coltsfootpath/platform/platformtest"
)

// TestAnswerCutByServerExitLooksComplete: a server ends during an answer without length or
// chunks, and its connections are closed in order. Servers that leave, whose entries are gone or
// that nobody has told anything end in this way.
func TestAnswerCutByServerExitLooksComplete(t *testing.T) {
	cut := platformtest.Behavior{Framing: platformtest.FramingNone, Cut: platformtest.CutBeforeEvent, CutEvent: 2, EventPause: 200 * time.Millisecond, End: platformtest.EndCrashInOrder}
	for _, told := range []string{"draining", "removed", "nothing"} {
		for _, path := range []string{"/fixedstream/x", "/stream/x", "/once/x", "/again/x"} {
			for _, caller := range []rawCaller{rawCallers[0], rawCallers[2]} {
				t.Run(told+strings.ReplaceAll(path, "/", "-")+"-"+caller.protocol, func(t *testing.T) {
					t.Parallel()
					f := newFixture(t)
					s := f.addServer("s-1", always(cut))
					s.RestartAfter = testTimeout
					n := f.startNode("vm-1", 1)
					go func() {
						for len(s.Runs()) == 0 {
							time.Sleep(5 * time.Millisecond)
						}
						switch told {
						case "draining":
							f.store.Put(platform.ServersTopic, s.ID, s.Registration("s", "zone-a", "draining"))
						case "removed":
							f.store.Put(platform.ServersTopic, s.ID, nil)
						}
					}()
					status, received, err := caller.send(n, path, "cut", "body", 2*time.Second)
					if err == nil && status == http.StatusOK {
						t.Errorf("the answer looks complete: %q", received)
					}
				})
			}
		}
	}
}

// TestAnswerOfLeavingServerIsLost: a server that leaves and lives on ends an answer without length
// or chunks itself.
func TestAnswerOfLeavingServerIsLost(t *testing.T) {
	whole := platformtest.Behavior{Framing: platformtest.FramingNone, EventPause: 150 * time.Millisecond}
	for _, path := range []string{"/fixedstream/x", "/stream/x", "/once/x", "/again/x"} {
		t.Run(strings.ReplaceAll(path, "/", "-"), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			s := f.addServer("s-1", always(whole))
			n := f.startNode("vm-1", 1)
			go func() {
				for len(s.Runs()) == 0 {
					time.Sleep(5 * time.Millisecond)
				}
				f.store.Put(platform.ServersTopic, s.ID, s.Registration("s", "zone-a", "draining"))
			}()
			want := "answer of s-1 to whole"
			if strings.Contains(path, "stream") {
				want = eventText(1, platformtest.EventCount)
			}
			status, received, err := rawCallers[0].send(n, path, "whole", "body", 2*time.Second)
			if err != nil || status != http.StatusOK || received != want {
				t.Errorf("got %d %q, error %v", status, received, err)
			}
			if len(s.Runs()) != 1 {
				t.Errorf("%d runs, want 1", len(s.Runs()))
			}
		})
	}
}

// TestAnswerStoppedAtItsDeadlineLooksComplete: a server stops its run at the time that it was given
// and closes the connection in order.
func TestAnswerStoppedAtItsDeadlineLooksComplete(t *testing.T) {
	const margin = 8 * time.Millisecond
	f := newFixture(t)
	f.addServer("s-1", func(_ int, r platformtest.Run) platformtest.Behavior {
		millis, err := strconv.Atoi(r.Header.Get("Coltsfootpath-Deadline-Ms"))
		if err != nil {
			t.Error(err)
		}
		return platformtest.Behavior{Framing: platformtest.FramingNone, Cut: platformtest.CutBeforeEvent, CutEvent: 1, Delay: time.Duration(millis)*time.Millisecond - margin}
	})
	n := f.startNode("vm-1", 1)
	for _, path := range []string{"/fixedstream/x", "/stream/x", "/once/x", "/again/x"} {
		for _, caller := range []rawCaller{rawCallers[0], rawCallers[2]} {
			for i := range 5 {
				status, received, err := caller.send(n, path, fmt.Sprint("late-", i), "body", 300*time.Millisecond)
				if err == nil && status == http.StatusOK {
					t.Errorf("%s, %s: the answer looks complete: %q", path, caller.name, received)
				}
			}
		}
	}
}
