// Package digest is the message by which entry VMs tell each other a few times
// a second what they do: a datagram that may be lost, late or repeated.
package digest

import (
	"math"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// Digest is what one entry VM tells of itself.
type Digest struct {
	VM               string
	Incarnation      uint64
	Sequence         uint64
	AvailabilityZone string
	CallerAddress    string
	PeerAddress      string
	Ready            bool
	Draining         bool
	// WallMillis is the sender's time of day.
	WallMillis int64
	// Fence is the highest fence of the single duties that the sender knows,
	// and Holds tells whether it is its own.
	Fence uint64
	Holds bool
	// DocumentVersion is the version of the sender's document.
	DocumentVersion int64
	// WorkMillis is the engine time that the sender has asked for since its
	// start, by service hash.
	Work  []Work
	Loads []Load
	// Quotas are sums since the sender's start, by workspace hash.
	Quotas []Quota
	Usage  []Usage
	// Members are other VMs' peer addresses.
	Members []string
}

// Work is the engine time that a service has been asked for.
type Work struct {
	Service uint32
	Millis  uint64
}

// Load is the sender's work on one backend server, by the server's hash.
type Load struct {
	Server  uint32
	Prefill uint64
	Running uint64
	Memory  uint64
}

// Quota is what the sender has admitted of a workspace.
type Quota struct {
	Workspace uint32
	Total     uint64
}

// Usage is the number of requests that began at the sender in a window.
type Usage struct {
	Window    int64
	Workspace string
	Count     int
}

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
	fieldDocument
	fieldWork
	fieldLoad
	fieldQuota
	fieldUsage
	fieldMember
)

const (
	flagReady = 1 << iota
	flagDraining
	flagHolds
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
func (d *Digest) Marshal() []byte {
	var flags uint64
	if d.Ready {
		flags |= flagReady
	}
	if d.Draining {
		flags |= flagDraining
	}
	if d.Holds {
		flags |= flagHolds
	}
	b := make([]byte, 0, 512)
	b = text(b, fieldVM, d.VM)
	b = number(b, fieldIncarnation, d.Incarnation)
	b = number(b, fieldSequence, d.Sequence)
	b = text(b, fieldZone, d.AvailabilityZone)
	b = text(b, fieldCaller, d.CallerAddress)
	b = text(b, fieldPeer, d.PeerAddress)
	b = number(b, fieldFlags, flags)
	b = number(b, fieldWall, uint64(d.WallMillis))
	b = number(b, fieldFence, d.Fence)
	b = number(b, fieldDocument, uint64(d.DocumentVersion))
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
	for _, m := range d.Members {
		b = text(b, fieldMember, m)
	}
	return b
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
func Unmarshal(b []byte) (*Digest, error) {
	d := &Digest{}
	var inner error
	err := fields(b, func(num protowire.Number, v uint64, bytes []byte) {
		switch num {
		case fieldVM:
			d.VM = string(bytes)
		case fieldIncarnation:
			d.Incarnation = v
		case fieldSequence:
			d.Sequence = v
		case fieldZone:
			d.AvailabilityZone = string(bytes)
		case fieldCaller:
			d.CallerAddress = string(bytes)
		case fieldPeer:
			d.PeerAddress = string(bytes)
		case fieldFlags:
			d.Ready, d.Draining, d.Holds = v&flagReady != 0, v&flagDraining != 0, v&flagHolds != 0
		case fieldWall:
			d.WallMillis = int64(v)
		case fieldFence:
			d.Fence = v
		case fieldDocument:
			d.DocumentVersion = int64(v)
		case fieldMember:
			d.Members = append(d.Members, string(bytes))
		default:
			inner = errors.CombineErrors(inner, d.unmarshalGroup(num, bytes))
		}
	})
	if err == nil {
		err = inner
	}
	if err != nil {
		return nil, err
	}
	if d.VM == "" || d.Incarnation == 0 {
		return nil, errors.New("digest names no VM")
	}
	return d, nil
}

func (d *Digest) unmarshalGroup(num protowire.Number, bytes []byte) error {
	var v [5]uint64
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
		d.Work = append(d.Work, Work{Service: uint32(v[1]), Millis: v[2]})
	case fieldLoad:
		d.Loads = append(d.Loads, Load{Server: uint32(v[1]), Prefill: bounded(v[2]) * prefillUnit, Running: bounded(v[3]), Memory: bounded(v[4]) * memoryUnit})
	case fieldQuota:
		d.Quotas = append(d.Quotas, Quota{Workspace: uint32(v[1]), Total: v[2]})
	case fieldUsage:
		d.Usage = append(d.Usage, Usage{Window: int64(v[1]), Workspace: s, Count: int(bounded(v[3]))})
	}
	return err
}

// bounded keeps a number from another process in a range that sums stay in.
func bounded(v uint64) uint64 { return min(v, math.MaxInt32) }
