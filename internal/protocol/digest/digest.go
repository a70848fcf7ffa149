// Package digest encodes the digests that entry VMs send each other a few times
// a second, in datagrams that may be lost, delayed or repeated.
package digest

import (
	"math"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"coltsfootpath.example/coltsfootpath/internal/coordination/gossip"
	"coltsfootpath.example/coltsfootpath/internal/coordination/serverlimit"
	"coltsfootpath.example/coltsfootpath/internal/coordination/singleton"
	"coltsfootpath.example/coltsfootpath/internal/state/storelog"
)

// Field numbers of a digest. Those that describe a VM are also used in the
// nested message of a member.
const (
	fieldVM = iota + 1
	fieldIncarnation
	fieldSequence
	fieldZone
	fieldCaller
	fieldPeer
	fieldFlags
	fieldWallMillis
	fieldFencingToken
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
	fieldContent
	fieldStoreEra
	fieldDocumentAge
	fieldServersAge
	fieldLimit
	fieldBrittle
)

// limitUnits is the number of units on the wire of a limit of one request per second.
const limitUnits = 1000

const (
	flagReady = 1 << iota
	flagDraining
	flagReadsStore
	flagCutOff
)

// memoryUnitTokens, prefillUnitTokens and answerUnitTokens are the numbers of tokens per unit on the
// wire. The coarse units save bytes, because traffic between availability zones is
// expensive. Finer values would not help, as digests are out of date anyway.
const (
	memoryUnitTokens  = 256
	prefillUnitTokens = 64
	answerUnitTokens  = 64
)

// appendString appends a string field unless s is empty.
func appendString(b []byte, field protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), s)
}

// appendVarint appends a varint field unless v is 0.
func appendVarint(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

// offsetIn returns the offset of a position, 0 if it is of another era.
func offsetIn(era uint64, p storelog.Position) uint64 {
	if p.Era() != era {
		return 0
	}
	return p.Offset()
}

// appendAge appends an age of a confirmation, plus 1, unless it is not known.
func appendAge(b []byte, field protowire.Number, age gossip.ConfirmationAge) []byte {
	if !age.Known {
		return b
	}
	return appendVarint(b, field, min(age.Millis, math.MaxInt32-1)+1)
}

// decodeAge decodes a value that appendAge has appended.
func decodeAge(v uint64) gossip.ConfirmationAge {
	if v == 0 {
		return gossip.ConfirmationAge{}
	}
	return gossip.ConfirmationAge{Known: true, Millis: clamp(v) - 1}
}

// appendMessage appends a nested message.
func appendMessage(b []byte, field protowire.Number, inner []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), inner)
}

// Marshal encodes a digest.
func Marshal(d *gossip.Digest) []byte {
	b := appendMember(make([]byte, 0, 512), &d.Member, d.ReadsStore)
	b = appendVarint(b, fieldSequence, d.Sequence)
	b = appendVarint(b, fieldWallMillis, uint64(d.WallMillis))
	b = appendVarint(b, fieldFencingToken, d.FencingToken)
	b = appendString(b, fieldHolder, d.HolderAddress)
	b = appendVarint(b, fieldHolderAge, d.HolderAgeMillis)
	// Positions are sent as offsets, to save bytes, with one era for all. A position of
	// another era is left out: its holder is behind.
	era := max(d.DocumentEnd, d.ServersEnd).Era()
	b = appendVarint(b, fieldStoreEra, era)
	b = appendVarint(b, fieldHolderEnd, offsetIn(singleton.EraOf(d.FencingToken), d.HolderEnd))
	b = appendVarint(b, fieldDocumentEnd, offsetIn(era, d.DocumentEnd))
	b = appendVarint(b, fieldServersEnd, offsetIn(era, d.ServersEnd))
	b = appendAge(b, fieldDocumentAge, d.DocumentAge)
	b = appendAge(b, fieldServersAge, d.ServersAge)
	b = appendVarint(b, fieldKind, uint64(d.Kind))
	b = appendVarint(b, fieldCount, uint64(d.Count))
	var inner []byte
	for _, w := range d.Work {
		inner = appendVarint(inner[:0], 1, uint64(w.Service))
		b = appendMessage(b, fieldWork, appendVarint(inner, 2, w.Millis))
	}
	for _, l := range d.Loads {
		inner = appendVarint(inner[:0], 1, uint64(l.Server))
		inner = appendVarint(inner, 2, (l.PrefillTokens+prefillUnitTokens-1)/prefillUnitTokens)
		inner = appendVarint(inner, 3, l.Running)
		inner = appendVarint(inner, 4, l.MemoryTokens/memoryUnitTokens)
		inner = appendVarint(inner, 5, l.SpeedSamples)
		inner = appendVarint(inner, 6, l.SpeedSum)
		b = appendMessage(b, fieldLoad, appendVarint(inner, 7, (l.AnswerTokens+answerUnitTokens-1)/answerUnitTokens))
	}
	for _, q := range d.AdmittedTotals {
		inner = appendVarint(inner[:0], 1, uint64(q.Workspace))
		b = appendMessage(b, fieldQuota, appendVarint(inner, 2, q.Total))
	}
	for _, u := range d.Usage {
		inner = appendVarint(inner[:0], 1, uint64(u.Window))
		inner = appendString(inner, 2, u.Workspace)
		b = appendMessage(b, fieldUsage, appendVarint(inner, 3, uint64(u.Count)))
	}
	for _, m := range d.Moves {
		inner = appendVarint(inner[:0], 1, uint64(m.Service))
		inner = appendVarint(inner, 2, m.Order)
		inner = appendVarint(inner, 3, uint64(m.Phase))
		inner = appendVarint(inner, 4, m.NewAnswers)
		inner = appendVarint(inner, 5, m.NewFailures)
		inner = appendVarint(inner, 6, m.OldAnswers)
		inner = appendVarint(inner, 7, m.OldFailures)
		inner = appendVarint(inner, 8, m.NewTimed)
		inner = appendVarint(inner, 9, m.NewSlow)
		inner = appendVarint(inner, 10, m.OldTimed)
		inner = appendVarint(inner, 11, m.OldSlow)
		inner = appendVarint(inner, 12, m.NewSent)
		b = appendMessage(b, fieldMove, appendVarint(inner, 13, m.OldSent))
	}
	for _, l := range d.Limits {
		b = appendMessage(b, fieldLimit, appendStatement(inner[:0], &l))
	}
	for _, l := range d.Brittle {
		b = appendMessage(b, fieldBrittle, appendStatement(inner[:0], &l))
	}
	for i := range d.Contents {
		b = appendMessage(b, fieldContent, MarshalContent(&d.Contents[i]))
	}
	for i := range d.Members {
		b = appendMessage(b, fieldMember, appendMember(inner[:0], &d.Members[i], false))
	}
	return b
}

func appendStatement(b []byte, s *serverlimit.Statement) []byte {
	b = appendVarint(b, 1, uint64(s.Server))
	b = appendVarint(b, 2, uint64(s.At))
	if !s.Ended {
		b = appendVarint(b, 3, uint64(math.Round(s.Rate*limitUnits))+1)
	}
	return appendVarint(b, 4, uint64(s.Places))
}

func decodeStatement(v []uint64) serverlimit.Statement {
	s := serverlimit.Statement{Server: uint32(v[1]), At: int64(v[2] & math.MaxInt64), Ended: v[3] == 0, Places: int(clamp(v[4]))}
	if !s.Ended {
		s.Rate = min(float64(v[3]-1)/limitUnits, serverlimit.MaxRate)
	}
	return s
}

func appendMember(b []byte, m *gossip.Member, readsStore bool) []byte {
	var flags uint64
	if m.Ready {
		flags |= flagReady
	}
	if m.Draining {
		flags |= flagDraining
	}
	if readsStore {
		flags |= flagReadsStore
	}
	if m.IsCutOff {
		flags |= flagCutOff
	}
	b = appendString(b, fieldVM, m.VM)
	b = appendVarint(b, fieldIncarnation, m.Incarnation)
	b = appendString(b, fieldZone, m.AvailabilityZone)
	b = appendString(b, fieldCaller, m.CallerAddress)
	b = appendString(b, fieldPeer, m.PeerAddress)
	b = appendVarint(b, fieldCapacity, uint64(m.LinkMbps))
	return appendVarint(b, fieldFlags, flags)
}

// forEachField calls f for each field of an encoded message, with the value in
// v or bytes depending on the field's wire type.
func forEachField(b []byte, f func(num protowire.Number, v uint64, bytes []byte)) error {
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

// Unmarshal decodes a digest. Fields that it does not know are ignored, as the sender may be of
// a later release.
func Unmarshal(b []byte) (*gossip.Digest, error) {
	d := &gossip.Digest{}
	var nestedErr error
	var era, holderEnd, documentEnd, serversEnd uint64
	err := forEachField(b, func(num protowire.Number, v uint64, bytes []byte) {
		if setMemberField(&d.Member, num, v, bytes) {
			d.ReadsStore = d.ReadsStore || num == fieldFlags && v&flagReadsStore != 0
			return
		}
		switch num {
		case fieldSequence:
			d.Sequence = v
		case fieldWallMillis:
			d.WallMillis = int64(v)
		case fieldFencingToken:
			d.FencingToken = v
		case fieldHolder:
			d.HolderAddress = string(bytes)
		case fieldHolderAge:
			d.HolderAgeMillis = clamp(v)
		case fieldHolderEnd:
			holderEnd = v
		case fieldDocumentEnd:
			documentEnd = v
		case fieldServersEnd:
			serversEnd = v
		case fieldStoreEra:
			era = v
		case fieldDocumentAge:
			d.DocumentAge = decodeAge(v)
		case fieldServersAge:
			d.ServersAge = decodeAge(v)
		case fieldKind:
			d.Kind = gossip.Kind(clamp(v))
		case fieldCount:
			d.Count = int(clamp(v))
		case fieldMember, fieldContent, fieldWork, fieldLoad, fieldQuota, fieldMove, fieldLimit, fieldBrittle, fieldUsage:
			nestedErr = errors.CombineErrors(nestedErr, unmarshalNested(d, num, bytes))
		}
	})
	d.DocumentEnd, d.ServersEnd = storelog.At(era, documentEnd), storelog.At(era, serversEnd)
	if holderEnd > 0 {
		d.HolderEnd = storelog.At(singleton.EraOf(d.FencingToken), holderEnd)
	}
	if err == nil {
		err = nestedErr
	}
	if err != nil {
		return nil, err
	}
	if d.VM == "" || d.Incarnation == 0 || d.PeerAddress == "" {
		return nil, errors.New("digest lacks the VM, incarnation or peer address")
	}
	return d, nil
}

// setMemberField stores a field in m and reports whether the field describes a
// VM.
func setMemberField(m *gossip.Member, num protowire.Number, v uint64, bytes []byte) bool {
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
		m.LinkMbps = int(clamp(v))
	case fieldFlags:
		m.Ready, m.Draining, m.IsCutOff = v&flagReady != 0, v&flagDraining != 0, v&flagCutOff != 0
	default:
		return false
	}
	return true
}

// usageWorkspace is the field of a usage count that holds the workspace's name.
const usageWorkspace = 2

// unmarshalNested decodes the nested message of field num and appends it to d.
// Unknown fields are ignored.
func unmarshalNested(d *gossip.Digest, num protowire.Number, bytes []byte) error {
	if num == fieldMember {
		var m gossip.Member
		err := forEachField(bytes, func(n protowire.Number, v uint64, text []byte) { setMemberField(&m, n, v, text) })
		d.Members = append(d.Members, m)
		return err
	}
	if num == fieldContent {
		e, err := UnmarshalContent(bytes)
		if err == nil {
			d.Contents = append(d.Contents, e)
		}
		return err
	}
	var v [14]uint64
	var s string
	err := forEachField(bytes, func(n protowire.Number, x uint64, text []byte) {
		if n >= 1 && int(n) < len(v) {
			v[n] = x
		}
		if n == usageWorkspace {
			s = string(text)
		}
	})
	switch num {
	case fieldWork:
		d.Work = append(d.Work, gossip.Work{Service: uint32(v[1]), Millis: v[2]})
	case fieldLoad:
		d.Loads = append(d.Loads, gossip.Load{
			Server: uint32(v[1]), PrefillTokens: clamp(v[2]) * prefillUnitTokens, Running: clamp(v[3]), MemoryTokens: clamp(v[4]) * memoryUnitTokens,
			AnswerTokens: clamp(v[7]) * answerUnitTokens,
			SpeedSamples: clamp(v[5]), SpeedSum: clamp(v[6]),
		})
	case fieldQuota:
		d.AdmittedTotals = append(d.AdmittedTotals, gossip.AdmittedTotal{Workspace: uint32(v[1]), Total: v[2]})
	case fieldMove:
		d.Moves = append(d.Moves, gossip.Move{
			Service: uint32(v[1]), Order: v[2], Phase: int(clamp(v[3])),
			NewAnswers: clamp(v[4]), NewFailures: clamp(v[5]), OldAnswers: clamp(v[6]), OldFailures: clamp(v[7]),
			NewTimed: clamp(v[8]), NewSlow: clamp(v[9]), OldTimed: clamp(v[10]), OldSlow: clamp(v[11]),
			NewSent: clamp(v[12]), OldSent: clamp(v[13]),
		})
	case fieldLimit:
		d.Limits = append(d.Limits, decodeStatement(v[:]))
	case fieldBrittle:
		d.Brittle = append(d.Brittle, decodeStatement(v[:]))
	case fieldUsage:
		d.Usage = append(d.Usage, gossip.Usage{Window: int64(v[1]), Workspace: s, Count: int(clamp(v[3]))})
	}
	return err
}

// clamp limits a number received from another process, so that sums of such
// numbers do not overflow.
func clamp(v uint64) uint64 { return min(v, math.MaxInt32) }
