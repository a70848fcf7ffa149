package requests

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func spec(key string, promptBytes int) Spec {
	return Spec{ID: ID{Workspace: "w", Key: key}, Prompt: strings.Repeat("p", promptBytes)}
}

// TestTableIsBoundedByMemory: finished requests leave first, those that ended longest ago, then
// new ones are rejected, and what is counted matches what is held.
func TestTableIsBoundedByMemory(t *testing.T) {
	const maxBytes = 100 << 10
	now := time.Unix(1_800_000_000, 0)
	table := NewTable(1000, maxBytes, time.Minute)
	var finished []*Request
	for i := range 40 {
		now = now.Add(time.Millisecond)
		r, created, err := table.Open(spec(strconv.Itoa(i), 1<<10), nil, now)
		if err != nil || !created {
			t.Fatalf("request %d: created %v, %v", i, created, err)
		}
		r.Append(0, []string{strings.Repeat("t", 1<<10)})
		r.Finish(End{}, now)
		table.MarkClosed()
		finished = append(finished, r)
	}
	if _, ok := table.Find(finished[0].ID); ok {
		t.Error("the request that ended first is still held")
	}
	if _, ok := table.Find(finished[39].ID); !ok {
		t.Error("the request that ended last is not held")
	}
	open := 0
	for i := range 100 {
		_, _, err := table.Open(spec("open-"+strconv.Itoa(i), 2<<10), nil, now)
		if errors.Is(err, ErrFull) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		open++
	}
	if open != maxBytes/(promptFactor*2<<10) {
		t.Errorf("%d requests of %d bytes are open", open, 2<<10)
	}
	if held := table.held.Load(); held > maxBytes || held != int64(open*promptFactor*2<<10) {
		t.Errorf("%d bytes are counted", held)
	}
	for _, r := range table.All() {
		table.Remove(r)
	}
	if held := table.held.Load(); held != 0 {
		t.Errorf("%d bytes are counted for an empty table", held)
	}
}

// TestLargeRequestIsAccepted: a single request is accepted whatever its size, also in place of
// finished ones.
func TestLargeRequestIsAccepted(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := NewTable(10, 1<<10, time.Minute)
	r, _, err := table.Open(spec("large", 1<<20), nil, now)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := table.Open(spec("second", 1), nil, now); !errors.Is(err, ErrFull) {
		t.Errorf("second request: %v", err)
	}
	r.Finish(End{}, now)
	table.MarkClosed()
	if _, _, err := table.Open(spec("third", 1<<20), nil, now); err != nil {
		t.Errorf("request after the large one: %v", err)
	}
	if _, ok := table.Find(r.ID); ok {
		t.Error("the finished request is still held")
	}
}
