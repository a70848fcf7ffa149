// Package digest encodes what entry VMs tell each other a few times a second:
// datagrams that may be lost, late or repeated.
package digest

import (
	"math"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
)

// Field numbers.
const (
	fieldVM = iota + 1
	fieldIncarnation
	fieldSequence
	fieldZone
	fieldCaller
	fieldPeer
	fieldFlags
	fieldWall
	fieldFence
	fieldHolder
	fieldHolderAge
	fieldDocumentEnd
	fieldServersEnd
	fieldKind
	fieldCapacity
	fieldCount
	fieldWork
	fieldLoad
	fieldQuota
	fieldUsage
	fieldMember
	fieldMove
	fieldHolderEnd
)

const (
	flagReady = 1 << iota
	flagDraining
	flagReadsStore
)

// memoryUnit and prefillUnit are the tokens that one unit on the wire stands
// for: views lag anyway, and bytes between zones are dear.
const (
	memoryUnit  = 256
	prefillUnit = 64
)

func text(b []byte, field protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), s)
}

func number(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

func group(b []byte, field protowire.Number, inner []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), inner)
}

// Marshal encodes the digest.
func Marshal(d *gossip.Digest) []byte {
	b := appendMember(make([]byte, 0, 512), &d.Member, d.ReadsStore)
	b = number(b, fieldSequence, d.Sequence)
	b = number(b, fieldWall, uint64(d.WallMillis))
	b = number(b, fieldFence, d.Fence)
	b = text(b, fieldHolder, d.HolderAddress)
	b = number(b, fieldHolderAge, d.HolderAgeMillis)
	b = number(b, fieldHolderEnd, d.HolderEnd)
	b = number(b, fieldDocumentEnd, d.DocumentEnd)
	b = number(b, fieldServersEnd, d.ServersEnd)
	b = number(b, fieldKind, uint64(d.Kind))
	b = number(b, fieldCount, uint64(d.Count))
	var inner []byte
	for _, w := range d.Work {
		inner = number(inner[:0], 1, uint64(w.Service))
		b = group(b, fieldWork, number(inner, 2, w.Millis))
	}
	for _, l := range d.Loads {
		inner = number(inner[:0], 1, uint64(l.Server))
		inner = number(inner, 2, (l.Prefill+prefillUnit-1)/prefillUnit)
		inner = number(inner, 3, l.Running)
		b = group(b, fieldLoad, number(inner, 4, l.Memory/memoryUnit))
	}
	for _, q := range d.Quotas {
		inner = number(inner[:0], 1, uint64(q.Workspace))
		b = group(b, fieldQuota, number(inner, 2, q.Total))
	}
	for _, u := range d.Usage {
		inner = number(inner[:0], 1, uint64(u.Window))
		inner = text(inner, 2, u.Workspace)
		b = group(b, fieldUsage, number(inner, 3, uint64(u.Count)))
	}
	for _, m := range d.Moves {
		inner = number(inner[:0], 1, uint64(m.Service))
		inner = number(inner, 2, m.Order)
		inner = number(inner, 3, uint64(m.Phase))
		inner = number(inner, 4, m.New)
		inner = number(inner, 5, m.NewBad)
		inner = number(inner, 6, m.Old)
		b = group(b, fieldMove, number(inner, 7, m.OldBad))
	}
	for i := range d.Members {
		b = group(b, fieldMember, appendMember(inner[:0], &d.Members[i], false))
	}
	return b
}

func appendMember(b []byte, m *gossip.Member, reads bool) []byte {
	var flags uint64
	if m.Ready {
		flags |= flagReady
	}
	if m.Draining {
		flags |= flagDraining
	}
	if reads {
		flags |= flagReadsStore
	}
	b = text(b, fieldVM, m.VM)
	b = number(b, fieldIncarnation, m.Incarnation)
	b = text(b, fieldZone, m.AvailabilityZone)
	b = text(b, fieldCaller, m.CallerAddress)
	b = text(b, fieldPeer, m.PeerAddress)
	b = number(b, fieldCapacity, uint64(m.Capacity))
	return number(b, fieldFlags, flags)
}

// fields calls f for each field of a message.
func fields(b []byte, f func(num protowire.Number, v uint64, bytes []byte)) error {
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errors.Wrap(protowire.ParseError(n), "tag")
		}
		b = b[n:]
		var v uint64
		var bytes []byte
		switch typ {
		case protowire.VarintType:
			v, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			bytes, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(num, typ, b)
		}
		if n < 0 {
			return errors.Wrapf(protowire.ParseError(n), "field %d", num)
		}
		b = b[n:]
		f(num, v, bytes)
	}
	return nil
}

// Unmarshal decodes a digest. Unknown fields are passed over.
func Unmarshal(b []byte) (*gossip.Digest, error) {
	d := &gossip.Digest{}
	var inner error
	err := fields(b, func(num protowire.Number, v uint64, bytes []byte) {
		if takeMember(&d.Member, num, v, bytes) {
			d.ReadsStore = d.ReadsStore || num == fieldFlags && v&flagReadsStore != 0
			return
		}
		switch num {
		case fieldSequence:
			d.Sequence = v
		case fieldWall:
			d.WallMillis = int64(v)
		case fieldFence:
			d.Fence = v
		case fieldHolder:
			d.HolderAddress = string(bytes)
		case fieldHolderAge:
			d.HolderAgeMillis = bounded(v)
		case fieldHolderEnd:
			d.HolderEnd = v
		case fieldDocumentEnd:
			d.DocumentEnd = v
		case fieldServersEnd:
			d.ServersEnd = v
		case fieldKind:
			d.Kind = gossip.Kind(bounded(v))
		case fieldCount:
			d.Count = int(bounded(v))
		default:
			inner = errors.CombineErrors(inner, unmarshalGroup(d, num, bytes))
		}
	})
	if err == nil {
		err = inner
	}
	if err != nil {
		return nil, err
	}
	if d.VM == "" || d.Incarnation == 0 || d.PeerAddress == "" {
		return nil, errors.New("digest names no VM")
	}
	return d, nil
}

// takeMember takes a field that says who a VM is.
func takeMember(m *gossip.Member, num protowire.Number, v uint64, bytes []byte) bool {
	switch num {
	case fieldVM:
		m.VM = string(bytes)
	case fieldIncarnation:
		m.Incarnation = v
	case fieldZone:
		m.AvailabilityZone = string(bytes)
	case fieldCaller:
		m.CallerAddress = string(bytes)
	case fieldPeer:
		m.PeerAddress = string(bytes)
	case fieldCapacity:
		m.Capacity = int(bounded(v))
	case fieldFlags:
		m.Ready, m.Draining = v&flagReady != 0, v&flagDraining != 0
	default:
		return false
	}
	return true
}

func unmarshalGroup(d *gossip.Digest, num protowire.Number, bytes []byte) error {
	if num == fieldMember {
		var m gossip.Member
		err := fields(bytes, func(n protowire.Number, v uint64, text []byte) { takeMember(&m, n, v, text) })
		d.Members = append(d.Members, m)
		return err
	}
	var v [8]uint64
	var s string
	err := fields(bytes, func(n protowire.Number, x uint64, text []byte) {
		if n >= 1 && int(n) < len(v) {
			v[n] = x
		}
		if text != nil {
			s = string(text)
		}
	})
	switch num {
	case fieldWork:
		d.Work = append(d.Work, gossip.Work{Service: uint32(v[1]), Millis: v[2]})
	case fieldLoad:
		d.Loads = append(d.Loads, gossip.Load{Server: uint32(v[1]), Prefill: bounded(v[2]) * prefillUnit, Running: bounded(v[3]), Memory: bounded(v[4]) * memoryUnit})
	case fieldQuota:
		d.Quotas = append(d.Quotas, gossip.Quota{Workspace: uint32(v[1]), Total: v[2]})
	case fieldMove:
		d.Moves = append(d.Moves, gossip.Move{
			Service: uint32(v[1]), Order: v[2], Phase: int(bounded(v[3])),
			New: bounded(v[4]), NewBad: bounded(v[5]), Old: bounded(v[6]), OldBad: bounded(v[7]),
		})
	case fieldUsage:
		d.Usage = append(d.Usage, gossip.Usage{Window: int64(v[1]), Workspace: s, Count: int(bounded(v[3]))})
	}
	return err
}

// bounded keeps a number from another process in a range that sums stay in.
func bounded(v uint64) uint64 { return min(v, math.MaxInt32) }
