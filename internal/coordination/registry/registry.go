// Package registry records which entry VM runs the request of a key. The registrar
// of a key is chosen by rendezvous hashing, so all entry VMs with the same members
// choose the same one without communication. A registration is a hint: its loss
// causes at most a second computation, never a wrong answer. The package does no
// I/O: the caller sends the registrations.
package registry

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootpath.example/coltsfootpath/internal/state/requests"
)

// Key identifies a request across all entry VMs.
type Key = requests.ID

// Hash returns the hash by which Choose selects the registrar of the key.
func Hash(k Key) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(k.Workspace)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(k.Key)
	return digest.Sum64()
}

// Choose returns the index of the member with the highest weight for hash, or -1
// if there are no members. members holds VM ids.
func Choose(hash uint64, members []string) int {
	best, bestWeight := -1, uint64(0)
	for i, m := range members {
		if w := weight(hash, m); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

func weight(hash uint64, member string) uint64 {
	var prefix [8]byte
	binary.LittleEndian.PutUint64(prefix[:], hash)
	digest := xxhash.New()
	_, _ = digest.Write(prefix[:])
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}

// Owner identifies the entry VM that runs a request.
type Owner = requests.Owner

// Registration holds the owner and the fingerprint of a key's request.
type Registration struct {
	Owner       Owner
	Fingerprint uint64
}

type entry struct {
	Registration
	expiresAt time.Time
}

// Table holds the registrations of one registrar. It is safe for concurrent use.
type Table struct {
	maxRegistrations int

	mu    sync.Mutex
	byKey map[Key]entry
}

// NewTable returns a table of at most maxRegistrations registrations.
func NewTable(maxRegistrations int) *Table {
	return &Table{maxRegistrations: maxRegistrations, byKey: map[Key]entry{}}
}

// Register stores requested as the key's registration, which expires at until,
// unless a registration of another owner is present. It returns the registration
// that applies. replaces is the VM of an owner that no longer has the request and
// may be replaced. A registration with another fingerprint never replaces a present
// one. If the table is full, Register returns a new registration without storing
// it.
func (t *Table) Register(key Key, requested Registration, replaces string, until, now time.Time) Registration {
	t.mu.Lock()
	defer t.mu.Unlock()
	present, ok := t.byKey[key]
	ok = ok && present.expiresAt.After(now)
	if ok && present.Fingerprint != requested.Fingerprint {
		return present.Registration
	}
	if ok && present.Owner.VM != requested.Owner.VM && present.Owner.VM != replaces {
		return present.Registration
	}
	if !ok && len(t.byKey) >= t.maxRegistrations {
		return requested
	}
	t.byKey[key] = entry{Registration: requested, expiresAt: until}
	return requested
}

// Sweep removes the expired registrations.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, e := range t.byKey {
		if !e.expiresAt.After(now) {
			delete(t.byKey, key)
		}
	}
}

// Len returns the number of registrations.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byKey)
}
