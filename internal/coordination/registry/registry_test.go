package registry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestChooseMovesOnlyKeysOfRemovedMember(t *testing.T) {
	members := []string{"entry-1", "entry-2", "entry-3", "entry-4"}
	for i := range 1000 {
		hash := Hash(Key{Workspace: "w", Key: fmt.Sprint(i)})
		before := members[Choose(hash, members)]
		after := members[1:][Choose(hash, members[1:])]
		if before != members[0] && before != after {
			t.Fatalf("key %d moved from %s to %s, which are both present", i, before, after)
		}
	}
	if Choose(1, nil) != -1 {
		t.Fatal("Choose returned an index without members, want -1")
	}
}

// TestAtMostOneOwner compares the table with a simple model: the owner changes
// only if the sender replaces the present owner by name, or after expiry.
func TestAtMostOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(100)
		key := Key{Workspace: "w", Key: "k"}
		now := startTime
		owner, until := "", time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "wait")) * time.Second)
			vm := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "vm")
			replaces := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "replaces")
			end := now.Add(30 * time.Second)
			got := table.Register(key, Registration{Owner: Owner{VM: vm}, Fingerprint: 7}, replaces, end, now)
			if owner == "" || !until.After(now) || owner == replaces || owner == vm {
				owner, until = vm, end
			}
			if got.Owner.VM != owner {
				t.Fatalf("owner is %s, want %s", got.Owner.VM, owner)
			}
			other := table.Register(key, Registration{Owner: Owner{VM: "z"}, Fingerprint: 8}, owner, end, now)
			if other.Fingerprint != 7 {
				t.Fatal("a request with another fingerprint replaced the registration")
			}
		}
		table.Sweep(now.Add(time.Minute))
		if table.Len() != 0 {
			t.Fatal("expired registrations were not removed")
		}
	})
}
