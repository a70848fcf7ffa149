package digest

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"coltsfootpath.example/coltsfootpath/internal/coordination/quarantine"
)

// Field numbers of a unit, a request content or a part of prompts, and of its events.
const (
	fieldContentHash = iota + 1
	fieldContentGeneration
	fieldContentStored
	fieldContentEvent
	fieldContentVouched
	fieldContentDimension
	fieldContentName

	fieldEventKind   = 1
	fieldEventServer = 2
	fieldEventMillis = 3
)

// maxContentEvents bounds the events of one unit in a message.
const maxContentEvents = 64

// MarshalContent encodes the state of a unit, for digests and for the store.
func MarshalContent(e *quarantine.Entry) []byte {
	b := appendVarint(nil, fieldContentHash, e.Content)
	b = appendVarint(b, fieldContentGeneration, uint64(e.Generation))
	b = appendVarint(b, fieldContentStored, e.StoredIn)
	b = appendVarint(b, fieldContentVouched, uint64(e.VouchedMillis))
	if e.Dimension != quarantine.Content {
		b = appendVarint(b, fieldContentDimension, uint64(e.Dimension))
		b = appendString(b, fieldContentName, e.Name)
	}
	var inner []byte
	for _, ev := range e.Events {
		inner = appendVarint(inner[:0], fieldEventKind, uint64(ev.Kind))
		inner = appendVarint(inner, fieldEventServer, uint64(ev.Server))
		b = appendMessage(b, fieldContentEvent, appendVarint(inner, fieldEventMillis, uint64(ev.AtMillis)))
	}
	return b
}

// UnmarshalContent decodes the state of a unit.
func UnmarshalContent(b []byte) (quarantine.Entry, error) {
	var e quarantine.Entry
	var nestedErr error
	err := forEachField(b, func(num protowire.Number, v uint64, bytes []byte) {
		switch num {
		case fieldContentHash:
			e.Content = v
		case fieldContentGeneration:
			e.Generation = uint32(clamp(v))
		case fieldContentStored:
			e.StoredIn = v
		case fieldContentVouched:
			e.VouchedMillis = int64(v)
		case fieldContentDimension:
			e.Dimension = quarantine.Dimension(min(v, 255))
		case fieldContentName:
			e.Name = string(bytes)
		case fieldContentEvent:
			ev, err := unmarshalEvent(bytes)
			nestedErr = errors.CombineErrors(nestedErr, err)
			if len(e.Events) < maxContentEvents {
				e.Events = append(e.Events, ev)
			}
		}
	})
	return e, errors.CombineErrors(err, nestedErr)
}

func unmarshalEvent(b []byte) (quarantine.Event, error) {
	var ev quarantine.Event
	err := forEachField(b, func(num protowire.Number, v uint64, _ []byte) {
		switch num {
		case fieldEventKind:
			ev.Kind = quarantine.Kind(min(v, 255))
		case fieldEventServer:
			ev.Server = uint32(v)
		case fieldEventMillis:
			ev.AtMillis = int64(v)
		}
	})
	return ev, err
}

// ContentsTopic is the keyed topic of the store that holds the quarantined units, by
// UnitKey.
const ContentsTopic = "keyed.coltsfoot.contents"

// ContentKey formats a request content's hash, for the store and for log lines.
func ContentKey(content uint64) string { return fmt.Sprintf("%016x", content) }

// UnitKey formats the hash of an entry's unit, for the store and for log lines.
func UnitKey(e *quarantine.Entry) string {
	if e.Dimension == quarantine.PromptPart {
		return "part-" + ContentKey(e.Content)
	}
	return ContentKey(e.Content)
}

// UnmarshalStoredContent decodes a record of ContentsTopic that the store has in an era.
func UnmarshalStoredContent(key string, value []byte, era uint64) (quarantine.Entry, error) {
	e, err := UnmarshalContent(value)
	if err == nil && UnitKey(&e) != key {
		err = errors.Newf("record of key %q holds unit %s", key, UnitKey(&e))
	}
	e.StoredIn = era + 1
	return e, err
}
