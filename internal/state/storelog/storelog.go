// Package storelog names positions in the logs of the platform's store. The store may
// come back from a copy that is some seconds old. Its era then rises by one, and offsets
// are given out again, so an offset means nothing without its era.
package storelog

import "fmt"

const (
	// offsetBits leaves 17 bits for the era in a number that a float64 holds exactly.
	offsetBits = 36
	// EraCount is the number of eras that positions distinguish. A store may count its
	// eras from any number, so that of an era is taken modulo EraCount. Positions are
	// below 1<<63.
	EraCount = 1 << 27
)

// Position is an offset in an era. Later positions are higher: those of an era are above
// all those of earlier eras. In era 0, positions equal offsets.
type Position uint64

// At returns the position of an offset in an era.
func At(era, offset uint64) Position { return Position(era<<offsetBits | offset) }

// Era returns the position's era.
func (p Position) Era() uint64 { return uint64(p) >> offsetBits }

// Offset returns the position's offset.
func (p Position) Offset() uint64 { return uint64(p) & (1<<offsetBits - 1) }

// String returns the offset, preceded by the era unless that is 0.
func (p Position) String() string {
	if p.Era() == 0 {
		return fmt.Sprint(p.Offset())
	}
	return fmt.Sprintf("%d/%d", p.Era(), p.Offset())
}
